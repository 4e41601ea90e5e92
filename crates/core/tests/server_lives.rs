//! A server that restarts under the same ID has lost all state of the earlier process. Guards against entries
//! applying state of the earlier process, which they keep by server ID, to the new one.

use std::time::Duration;

use googletest::prelude::*;
use headlatch_core::{
    direct::{
        peers::ServerNotice,
        server_table::{
            ChosenServer, Ineligible, ServerChoice, ServerOutcome, ServerQuery, ServerTable,
        },
    },
    time::Moment,
};
use headlatch_types::{
    store::StoreRevision,
    traffic::{AllowedRegions, ServerId, ServerRecord, StartTime, WeightVersion},
};

fn record(born: u64) -> ServerRecord {
    ServerRecord {
        id: ServerId("i1".into()),
        started_at: Some(StartTime(born)),
        service: "s".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "z1".parse().expect("a name"),
        slots: 4,
        draining: false,
        cold_ms: 0,
        models: Vec::new(),
    }
}

fn at(millis: u64) -> Moment {
    Moment::from_micros(millis * 1000)
}

fn choose(table: &ServerTable, now: Moment) -> Option<ChosenServer> {
    let query = ServerQuery {
        service: "s",
        engine: None,
        regions: &AllowedRegions::Anywhere,
        min_version: None,
        tried: &[],
        random: 1,
    };
    match table.choose(now, &query) {
        ServerChoice::Server(server) => Some(server),
        _ => None,
    }
}

fn table() -> ServerTable {
    let zone = "z1".parse().expect("a name");
    let mut table = ServerTable::new(zone, Default::default());
    table.set(at(0), record(1000), StoreRevision::from_wire(1));
    table
}

#[gtest]
fn each_process_has_its_own_key() {
    let mut table = table();
    let first = choose(&table, at(0)).expect("a server");
    table.set(at(1), record(1000), StoreRevision::from_wire(2));
    expect_that!(choose(&table, at(1)).expect("a server").life, eq(first.life));
    table.set(at(2), record(2000), StoreRevision::from_wire(3));
    expect_that!(choose(&table, at(2)).expect("a server").life, not(eq(first.life)));
}

#[gtest]
fn failures_of_earlier_process_do_not_exclude_server() {
    let mut table = table();
    let first = choose(&table, at(0)).expect("a server");
    for _ in 0..5 {
        table.begin(&first.id, 0);
        table.end_chosen(at(10), &first, ServerOutcome::Lost);
    }
    expect_that!(choose(&table, at(100)), none());
    table.set(at(100), record(2000), StoreRevision::from_wire(2));
    expect_that!(choose(&table, at(100)), some(anything()));
    // A late failure of a request to the earlier process does not count against the new one.
    table.begin(&first.id, 0);
    table.end_chosen(at(110), &first, ServerOutcome::Lost);
    expect_that!(choose(&table, at(110)), some(anything()));
}

#[gtest]
fn agent_notice_of_earlier_process_is_ignored() {
    let mut table = table();
    let notice = ServerNotice {
        address: record(1000).address,
        whole: Some(WeightVersion(3)),
        changing: true,
        staged: None,
        sharing: None,
        zone: "z1".parse().expect("a name"),
        service: "s".to_owned(),
        pace: None,
    };
    table.set_notice(notice.address, Some(notice));
    expect_that!(choose(&table, at(0)), none(), "it is changing");
    table.set(at(1), record(2000), StoreRevision::from_wire(2));
    expect_that!(choose(&table, at(1)), some(anything()));
}

#[gtest]
fn backoff_holds_for_process_and_ends_with_probe() {
    let mut table = table();
    let server = choose(&table, at(0)).expect("a server");
    table.start_backoff(at(0), &server, Duration::from_secs(3));
    // A late response requests a shorter backoff.
    table.start_backoff(at(10), &server, Duration::from_secs(1));
    expect_that!(choose(&table, at(2_900)), none());
    expect_that!(table.check_eligibility(at(2_900), &server), err(eq(Ineligible::BackingOff)));
    expect_that!(table.retry_after(at(2_000), "s"), some(eq(Duration::from_secs(1))));
    // A request that was in flight before the backoff succeeds in the meantime.
    table.begin(&server.id, 0);
    table.finish_prefill(&server.id, 0);
    table.end_chosen(at(2_500), &server, ServerOutcome::Answered);
    expect_that!(choose(&table, at(2_900)), none());
    expect_that!(choose(&table, at(3_000)), some(anything()));
    table.begin(&server.id, 0);
    expect_that!(choose(&table, at(3_010)), none());
    table.finish_prefill(&server.id, 0);
    table.end_chosen(at(3_020), &server, ServerOutcome::Answered);
    table.begin(&server.id, 0);
    expect_that!(choose(&table, at(3_030)), some(anything()));
    table.start_backoff(at(3_040), &server, Duration::from_secs(60));
    table.set(at(3_050), record(2000), StoreRevision::from_wire(2));
    expect_that!(choose(&table, at(3_060)), some(anything()));
    // A response of the earlier process does not affect the new one.
    table.start_backoff(at(3_070), &server, Duration::from_secs(60));
    expect_that!(choose(&table, at(3_080)), some(anything()));
}
