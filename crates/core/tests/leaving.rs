//! Gossip about draining and deregistered servers.

use std::time::Duration;

use googletest::prelude::*;
use headlatch_core::{
    direct::{
        leaving::{LeavingNotice, LeavingServers, MAX_LEAVING_NOTICES},
        server_table::{Ineligible, ServerChoice, ServerQuery, ServerTable},
    },
    time::Moment,
};
use headlatch_types::{
    store::StoreRevision,
    traffic::{AllowedRegions, ServerId, ServerRecord, StartTime},
};

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

fn mark(number: u64) -> StoreRevision {
    StoreRevision::from_wire(number)
}

#[gtest]
fn only_newer_record_ends_leaving_state() {
    let mut servers = LeavingServers::default();
    expect_that!(servers.record_ready(at(0), 7, mark(5)), eq(false));
    expect_that!(servers.is_leaving(7), eq(false));
    expect_that!(servers.record_leaving(at(10), 7, mark(9)), eq(true));
    expect_that!(servers.record_leaving(at(20), 7, mark(9)), eq(false));
    expect_that!(servers.is_leaving(7), eq(true));
    // An outdated listing does not change the state.
    servers.record_ready(at(30), 7, mark(5));
    expect_that!(servers.is_leaving(7), eq(true));
    // The record expired while the store was unavailable, and the server has returned.
    servers.record_ready(at(40), 7, mark(12));
    expect_that!(servers.is_leaving(7), eq(false));
    // A peer without the newer record still sends the old notice.
    expect_that!(servers.record_leaving(at(50), 7, mark(9)), eq(false));
    expect_that!(servers.is_leaving(7), eq(false));
}

#[gtest]
fn deletion_with_unchanged_revision_counts_as_leaving() {
    let mut servers = LeavingServers::default();
    servers.record_ready(at(0), 7, mark(5));
    expect_that!(servers.record_leaving(at(10), 7, mark(5)), eq(true));
    servers.record_ready(at(20), 7, mark(6));
    expect_that!(servers.is_leaving(7), eq(false));
}

#[gtest]
fn leaving_notices_expire_and_are_not_echoed() {
    let (mut one, mut other) = (LeavingServers::default(), LeavingServers::default());
    one.record_leaving(at(0), 7, mark(9));
    for second in 0..60 {
        let now = at(second * 1000);
        for notice in one.recent(now) {
            other.merge(now, notice);
        }
        for notice in other.recent(now) {
            one.merge(now, notice);
        }
    }
    expect_that!(one.recent(at(60_000)), is_empty());
    expect_that!(other.recent(at(60_000)), is_empty());
    expect_that!(other.is_leaving(7), eq(true));
}

#[gtest]
fn leaving_notices_are_truncated_to_the_newest() {
    let mut servers = LeavingServers::default();
    for server in 0..100 {
        servers.record_leaving(at(0), server, mark(u64::from(server) + 1));
    }
    let notices = servers.recent(at(0));
    expect_that!(notices.len(), eq(MAX_LEAVING_NOTICES));
    expect_that!(
        notices[0],
        eq(LeavingNotice { server: 99, revision: mark(100), returned: false })
    );
}

#[gtest]
fn returned_server_is_gossiped_to_entries_without_store() {
    let (mut reads, mut silent) = (LeavingServers::default(), LeavingServers::default());
    silent.record_ready(at(0), 7, mark(5));
    reads.record_ready(at(0), 7, mark(5));
    reads.record_leaving(at(100), 7, mark(9));
    reads.recent(at(200)).into_iter().for_each(|notice| {
        silent.merge(at(200), notice);
    });
    expect_that!(silent.is_leaving(7), eq(true));
    expect_that!(reads.record_ready(at(2000), 7, mark(12)), eq(true));
    reads.recent(at(2100)).into_iter().for_each(|notice| {
        silent.merge(at(2100), notice);
    });
    expect_that!(silent.is_leaving(7), eq(false));
    // Servers that never left are not gossiped.
    reads.record_ready(at(2000), 8, mark(3));
    expect_that!(reads.recent(at(2100)).len(), eq(1));
}

#[gtest]
fn drain_announcement_holds_for_lifetime_of_process() {
    let record = |born, draining| ServerRecord {
        id: ServerId("i1".into()),
        started_at: Some(StartTime(born)),
        service: "s".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "z1".parse().expect("a name"),
        slots: 4,
        draining,
        cold_ms: 0,
        models: Vec::new(),
    };
    let query = ServerQuery {
        service: "s",
        engine: None,
        regions: &AllowedRegions::Anywhere,
        min_version: None,
        tried: &[],
        random: 1,
    };
    let chosen = |table: &ServerTable, now| match table.choose(now, &query) {
        ServerChoice::Server(server) => Some(server),
        _ => None,
    };
    let mut table = ServerTable::new("z1".parse().expect("a name"), Default::default());
    table.set(at(0), record(1000, false), mark(1));
    let server = chosen(&table, at(0)).expect("a server");
    expect_that!(table.check_eligibility(at(0), &server), ok(anything()));
    expect_that!(table.mark_draining(at(10), server.life), eq(true));
    expect_that!(table.mark_draining(at(20), server.life), eq(false));
    expect_that!(table.recent_draining_lives(at(30)), eq(&vec![server.life]));
    expect_that!(table.recent_draining_lives(at(9000)), is_empty());
    // A request for which the server was selected earlier is not sent either.
    expect_that!(table.check_eligibility(at(30), &server), err(eq(Ineligible::Draining)));
    // The store keeps listing the server as ready, also with newer revisions.
    for (millis, revision) in [(40, 1), (5_000, 7), (70_000, 9)] {
        table.set(at(millis), record(1000, false), mark(revision));
        table.retain_listed(at(millis), &[ServerId("i1".into())], mark(revision));
        expect_that!(chosen(&table, at(millis)), none());
        expect_that!(table.is_planned_shutdown(&server.id), eq(true));
    }
    // The record expires and reappears.
    table.remove(at(80_000), &server.id, mark(10));
    table.set(at(80_100), record(1000, false), mark(11));
    expect_that!(chosen(&table, at(80_100)), none());
    // The server restarts.
    table.set(at(81_000), record(2000, false), mark(12));
    expect_that!(chosen(&table, at(81_000)), some(anything()));
}
