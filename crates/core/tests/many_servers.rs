//! What an entry does with a list of thousands of servers, and who reads such a list after all processes
//! have started at once. Each entry that lacked the list read it for itself, and worked out the index of all
//! servers anew for each of them.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use headlatch_core::direct::{
    fact_age::ChangeMark,
    plan_readers::fallback_read_delay,
    server_copy::{RevisionedRecord, ServerChanges, ServerCopy},
};
use headlatch_types::traffic::{ServerId, ServerRecord};

#[path = "support/entry.rs"]
mod entry;

use entry::{at, server, table};

/// Far more servers than there are, so that work by pairs of them takes minutes.
const SERVERS: usize = 20_000;

/// Time for all that is done with them.
const MOST_TIME: Duration = Duration::from_secs(10);

fn servers(count: usize) -> Vec<ServerRecord> {
    (0..count).map(|index| server(&format!("s{index:05}"), "z1", 1)).collect()
}

fn listed(servers: &[ServerRecord], covered: u64) -> ServerChanges {
    let marked = |record: &ServerRecord| RevisionedRecord {
        revision: ChangeMark(1),
        record: record.clone(),
    };
    ServerChanges {
        covered: ChangeMark(covered),
        newest: ChangeMark(1),
        whole: true,
        set: servers.iter().map(marked).collect(),
        gone: Vec::new(),
    }
}

#[gtest]
fn a_list_of_servers_takes_time_by_their_number_and_not_by_pairs() {
    let begun = Instant::now();
    let servers = servers(SERVERS);
    let mut table = table(&servers);
    let ids: Vec<ServerId> = servers.iter().map(|record| record.id.clone()).collect();
    table.keep_only(at(1), &ids, ChangeMark(2));
    table.set_notices(&HashMap::new());
    let mut copy = ServerCopy::default();
    for covered in 1..4 {
        let changes = copy.newer_changes(listed(&servers, covered));
        copy.take(&changes);
    }
    expect_that!(table.records().count(), eq(SERVERS));
    expect_that!(begun.elapsed(), lt(MOST_TIME));
}

#[gtest]
fn servers_are_found_under_their_service_while_they_come_move_and_go() {
    let mut table = table(&servers(3));
    let moved = ServerRecord { service: "other".into(), ..server("s00001", "z1", 1) };
    table.set(at(1), moved, ChangeMark(2));
    table.remove(at(2), &ServerId("s00000".into()), ChangeMark(3));
    let chosen = |service: &str| {
        let regions = headlatch_types::traffic::AllowedRegions::Anywhere;
        let query = headlatch_core::direct::server_table::ServerQuery {
            service,
            engine: None,
            regions: &regions,
            least: None,
            tried: &[],
            draw: 1,
        };
        match table.choose(at(3), &query) {
            headlatch_core::direct::server_table::ServerChoice::Server(server) => {
                server.id.to_string()
            }
            _ => "nobody".to_owned(),
        }
    };
    expect_that!(chosen("llm"), eq("s00002"));
    expect_that!(chosen("other"), eq("s00001"));
    expect_that!(chosen("third"), eq("nobody"));
}

/// Processes of a failure domain that read the store by themselves in the first seconds of a start.
#[gtest]
fn those_who_read_for_themselves_after_a_start_do_not_grow_with_the_fleet() {
    let read_within = |processes: usize, seconds: u64| {
        let turns =
            (0..processes).map(|before| fallback_read_delay(Duration::from_millis(1_500), before));
        turns.filter(|turn| *turn <= Duration::from_secs(seconds)).count()
    };
    for processes in [12, 100, 200, 1_000] {
        expect_that!(read_within(processes, 2), eq(2), "{processes} processes");
        expect_that!(read_within(processes, 5), eq(6), "{processes} processes");
    }
    // Whoever is alone waits for nobody.
    expect_that!(
        fallback_read_delay(Duration::from_millis(1_500), 0),
        eq(Duration::from_millis(1_500))
    );
}
