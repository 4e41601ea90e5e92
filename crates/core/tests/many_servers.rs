//! Scaling with thousands of servers. Guards against quadratic work when an entry rebuilds the index of all
//! servers for each server in a list, and against every entry reading the list from the store when all
//! processes start at the same time.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use headlatch_core::direct::{
    plan_readers::fallback_read_delay,
    server_copy::{RevisionedRecord, ServerChanges, ServerCopy},
};
use headlatch_types::{
    store::StoreRevision,
    traffic::{ServerId, ServerRecord},
};

#[path = "support/entry.rs"]
mod entry;

use entry::{at, server, table};

/// Far more servers than in real deployments, so that quadratic work takes minutes.
const SERVERS: usize = 20_000;

/// Maximum time for all operations on the list.
const MAX_TIME: Duration = Duration::from_secs(10);

fn servers(count: usize) -> Vec<ServerRecord> {
    (0..count).map(|index| server(&format!("s{index:05}"), "z1", 1)).collect()
}

fn listed(servers: &[ServerRecord], covered: u64) -> ServerChanges {
    let marked = |record: &ServerRecord| RevisionedRecord {
        revision: StoreRevision::from_wire(1),
        record: record.clone(),
    };
    ServerChanges {
        covered: StoreRevision::from_wire(covered),
        newest: StoreRevision::from_wire(1),
        whole: true,
        set: servers.iter().map(marked).collect(),
        gone: Vec::new(),
    }
}

#[gtest]
fn server_list_is_processed_in_linear_time() {
    let begun = Instant::now();
    let servers = servers(SERVERS);
    let mut table = table(&servers);
    let ids: Vec<ServerId> = servers.iter().map(|record| record.id.clone()).collect();
    table.retain_listed(at(1), &ids, StoreRevision::from_wire(2));
    table.set_notices(&HashMap::new());
    let mut copy = ServerCopy::default();
    for covered in 1..4 {
        let changes = copy.newer_changes(listed(&servers, covered));
        copy.take(at(0), &changes);
    }
    expect_that!(table.records().count(), eq(SERVERS));
    expect_that!(begun.elapsed(), lt(MAX_TIME));
}

#[gtest]
fn service_index_follows_added_moved_and_removed_servers() {
    let mut table = table(&servers(3));
    let moved = ServerRecord { service: "other".into(), ..server("s00001", "z1", 1) };
    table.set(at(1), moved, StoreRevision::from_wire(2));
    table.remove(at(2), &ServerId("s00000".into()), StoreRevision::from_wire(3));
    let chosen = |service: &str| {
        let regions = headlatch_types::traffic::AllowedRegions::Anywhere;
        let query = headlatch_core::direct::server_table::ServerQuery {
            service,
            engine: None,
            regions: &regions,
            min_version: None,
            tried: &[],
            random: 1,
        };
        match table.choose(at(3), &query) {
            headlatch_core::direct::server_table::ServerChoice::Server(server) => {
                server.id.to_string()
            }
            _ => "unavailable".to_owned(),
        }
    };
    expect_that!(chosen("llm"), eq("s00002"));
    expect_that!(chosen("other"), eq("s00001"));
    expect_that!(chosen("third"), eq("unavailable"));
}

/// Counts the processes of a failure domain that read the store themselves in the first seconds after a start.
#[gtest]
fn store_readers_after_start_do_not_grow_with_fleet() {
    let read_within = |processes: usize, seconds: u64| {
        let turns =
            (0..processes).map(|before| fallback_read_delay(Duration::from_millis(1_500), before));
        turns.filter(|turn| *turn <= Duration::from_secs(seconds)).count()
    };
    for processes in [12, 100, 200, 1_000] {
        expect_that!(read_within(processes, 2), eq(2), "{processes} processes");
        expect_that!(read_within(processes, 5), eq(6), "{processes} processes");
    }
    // The first process waits only for the initial delay.
    expect_that!(
        fallback_read_delay(Duration::from_millis(1_500), 0),
        eq(Duration::from_millis(1_500))
    );
}
