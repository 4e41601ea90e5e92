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
    store::{StoreEra, StoreRevision},
    traffic::{AllowedRegions, ServerId, ServerRecord, StartTime},
};

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

/// A position in a later era of the store.
fn in_era(era: u16, number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra::new(era), number).expect("revision in range")
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

/// Incident 0015: revisions of a store that came back older are smaller than those given out before.
#[gtest]
fn server_that_leaves_in_a_later_era_is_leaving() {
    let mut servers = LeavingServers::default();
    servers.record_ready(at(0), 7, mark(150));
    servers.begin_era(at(1000), in_era(1, 84));
    servers.record_ready(at(1000), 7, in_era(1, 80));
    expect_that!(servers.is_leaving(7), eq(false));
    expect_that!(servers.record_leaving(at(2000), 7, in_era(1, 90)), eq(true));
    // A peer that is still in the earlier era does not bring it back.
    servers.merge(at(2100), LeavingNotice { server: 7, revision: mark(151), returned: true });
    expect_that!(servers.is_leaving(7), eq(true));
}

#[gtest]
fn record_of_the_older_copy_does_not_end_leaving_state_but_a_later_one_does() {
    let mut servers = LeavingServers::default();
    servers.record_ready(at(0), 7, mark(100));
    servers.record_leaving(at(500), 7, mark(110));
    servers.begin_era(at(1000), in_era(1, 84));
    // The copy is from before the server left.
    servers.record_ready(at(1000), 7, in_era(1, 80));
    expect_that!(servers.is_leaving(7), eq(true));
    expect_that!(servers.record_ready(at(2000), 7, in_era(1, 90)), eq(true));
    expect_that!(servers.is_leaving(7), eq(false));
}

#[gtest]
fn carried_leaving_state_of_a_listed_server_ends_after_the_hold_time() {
    let mut servers = LeavingServers::default();
    for server in [7, 8] {
        servers.record_leaving(at(500), server, mark(110));
    }
    servers.begin_era(at(1000), in_era(1, 84));
    servers.record_ready(at(1000), 7, in_era(1, 80));
    servers.release_carried(at(5900));
    expect_that!(servers.is_leaving(7), eq(true));
    servers.release_carried(at(6100));
    expect_that!(servers.is_leaving(7), eq(false));
    // It is not listed in the new era.
    expect_that!(servers.is_leaving(8), eq(true));
    // A second rollback does not revive the state.
    servers.begin_era(at(7000), in_era(2, 60));
    expect_that!(servers.is_leaving(7), eq(false));
}

#[gtest]
fn word_of_the_later_era_outlasts_the_hold_time_of_carried_leaving_state() {
    let mut servers = LeavingServers::default();
    servers.record_leaving(at(500), 7, mark(110));
    servers.begin_era(at(1000), in_era(1, 84));
    servers.record_ready(at(1000), 7, in_era(1, 80));
    servers.record_leaving(at(2000), 7, in_era(1, 90));
    servers.release_carried(at(6100));
    expect_that!(servers.is_leaving(7), eq(true));
}

/// A carried state that is gossiped as a word of the later era would never be released by those who hear it.
#[gtest]
fn carried_leaving_state_is_gossiped_as_of_the_earlier_era() {
    let (mut one, mut other) = (LeavingServers::default(), LeavingServers::default());
    one.record_leaving(at(500), 7, mark(110));
    for servers in [&mut one, &mut other] {
        servers.begin_era(at(1000), in_era(1, 84));
        servers.record_ready(at(1000), 7, in_era(1, 80));
    }
    let notices = one.recent(at(1100));
    let revisions: Vec<_> = notices.iter().map(|notice| notice.revision).collect();
    expect_that!(revisions, eq(&vec![mark(110)]));
    for notice in notices {
        expect_that!(other.merge(at(1100), notice), eq(true));
    }
    other.release_carried(at(6200));
    expect_that!(other.is_leaving(7), eq(false));
}

/// Entries that have not read the store since the rollback still send notices of the earlier era.
#[gtest]
fn late_notice_of_an_earlier_era_counts_unless_it_was_outdated_there() {
    let mut servers = LeavingServers::default();
    servers.record_ready(at(0), 7, mark(100));
    servers.record_ready(at(0), 8, mark(120));
    servers.begin_era(at(1000), in_era(1, 84));
    servers.record_ready(at(1000), 7, in_era(1, 80));
    servers.record_ready(at(1000), 8, in_era(1, 81));
    expect_that!(servers.record_leaving(at(1100), 7, mark(110)), eq(true));
    expect_that!(servers.record_leaving(at(1100), 8, mark(110)), eq(false));
    // A server that has written in the new era is judged by that.
    servers.record_ready(at(1200), 9, in_era(1, 95));
    expect_that!(servers.record_leaving(at(1300), 9, mark(130)), eq(false));
}

#[gtest]
fn draining_record_of_an_earlier_era_holds_for_lifetime_of_process() {
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
    let id = ServerId("i1".into());
    let mut table = ServerTable::new("z1".parse().expect("a name"), Default::default());
    table.set(at(0), record(1000, true), mark(110));
    table.begin_era(at(1000), in_era(1, 84));
    table.set(at(1000), record(1000, false), in_era(1, 80));
    expect_that!(table.is_planned_shutdown(&id), eq(true));
    // It registers as ready before it announces draining again.
    table.set(at(2000), record(1000, false), in_era(1, 90));
    expect_that!(table.is_planned_shutdown(&id), eq(true));
    table.set(at(3000), record(2000, false), in_era(1, 91));
    expect_that!(table.is_planned_shutdown(&id), eq(false));
}
