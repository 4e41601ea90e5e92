//! Draining of a server before it changes its weights.

use std::collections::BTreeMap;

use googletest::prelude::*;
use headlatch_core::direct::{
    draining::{DrainView, QueueReport, may_change},
    peers::{DomainKey, DrainNotice, DrainReport, PeerKind, PeerNotice, PeerTable},
    server_table::{ChosenServer, ContinuationLimits, ServerChoice, ServerQuery, ServerTable},
};
use headlatch_types::{
    quantity::RequestRate,
    traffic::{AllowedRegions, ServerId, ServerRecord, WeightVersion},
};

#[path = "support/entry.rs"]
mod entry;

use entry::{at, changing, millis, notice, server, table};

#[gtest]
fn entry_confirms_drain_of_changing_server() {
    let record = server("a", "z1", 1);
    let mut table = table(std::slice::from_ref(&record));
    let id = ServerId("a".into());
    table.begin(&id, 100);
    table.begin(&id, 0);
    expect_that!(table.drains(at(0), &BTreeMap::new()), is_empty());
    let changing = changing(&record);
    table.set_notice(record.address, Some(changing));
    let drain = |waiting| vec![DrainNotice { server: record.address, waiting, unresumable: 0 }];
    expect_that!(table.drains(at(0), &BTreeMap::new()), eq(&drain(2)));
    table.finish_prefill(&id, 100);
    table.finish_prefill(&id, 0);
    expect_that!(table.drains(at(0), &BTreeMap::new()), eq(&drain(0)));
}

/// Table with three streams at the changing server of a service and `elsewhere` requests at the other server.
fn table_with_streams(elsewhere: u32) -> (ServerTable, ServerId, ServerRecord) {
    let (one, other) = (server("a", "z1", 1), server("b", "z1", 1));
    let mut table = table(&[one.clone(), other.clone()]);
    let id = ServerId("a".into());
    for _ in 0..3 {
        table.begin(&id, 100);
        table.finish_prefill(&id, 100);
    }
    for _ in 0..elsewhere {
        table.begin(&other.id, 0);
    }
    let changing = changing(&one);
    table.set_notice(one.address, Some(changing));
    (table, id, one)
}

fn unmovable_streams(table: &ServerTable, limits: ContinuationLimits) -> u32 {
    let limits = [("llm".into(), limits)].into();
    table.drains(at(0), &limits).iter().map(|drain| drain.unresumable).sum()
}

#[gtest]
fn entry_reports_streams_that_cannot_be_resumed() {
    let limits =
        ContinuationLimits { layers: 0, min_version: None, retries: 10, within_region: false };
    let (mut table, id, record) = table_with_streams(0);
    expect_that!(unmovable_streams(&table, limits), eq(0));
    // One stream has no attempts left.
    table.begin_pinned_stream(&id);
    expect_that!(unmovable_streams(&table, limits), eq(1));
    table.end_pinned_stream(&id);
    expect_that!(unmovable_streams(&table, limits), eq(0));
    // The retry budget is used up; the weights of the other server are too old.
    expect_that!(unmovable_streams(&table, ContinuationLimits { retries: 2, ..limits }), eq(3));
    let least = Some(WeightVersion(2));
    expect_that!(
        unmovable_streams(&table, ContinuationLimits { min_version: least, ..limits }),
        eq(3)
    );
    // The other server has no capacity.
    let room = record.slots + 6;
    let (full, ..) = table_with_streams(room - 2);
    expect_that!(unmovable_streams(&full, limits), eq(3));
    let (free, ..) = table_with_streams(room - 3);
    expect_that!(unmovable_streams(&free, limits), eq(0));
}

/// The server on which the streams would be resumed.
fn other_server(table: &ServerTable) -> ChosenServer {
    let query = ServerQuery {
        service: "llm",
        engine: None,
        regions: &AllowedRegions::Anywhere,
        min_version: None,
        tried: &[],
        random: 1,
    };
    match table.choose(at(0), &query) {
        ServerChoice::Server(server) => server,
        other => panic!("the other server is free, not {other:?}"),
    }
}

#[gtest]
fn a_rate_limited_server_has_no_room_for_streams_of_others() {
    let limits =
        ContinuationLimits { layers: 0, min_version: None, retries: 10, within_region: false };
    let (mut table, ..) = table_with_streams(0);
    let other = other_server(&table);
    table.record_limit(at(0), other.life, Some(RequestRate::from_milli(2000)), at(0));
    expect_that!(unmovable_streams(&table, limits), eq(3));
}

#[gtest]
fn a_server_in_backoff_has_no_room_for_streams_of_others() {
    let limits =
        ContinuationLimits { layers: 0, min_version: None, retries: 10, within_region: false };
    let (mut table, ..) = table_with_streams(0);
    let other = other_server(&table);
    table.start_backoff(at(0), &other, millis(500));
    expect_that!(unmovable_streams(&table, limits), eq(3));
}

#[gtest]
fn a_change_waits_for_streams_that_nobody_could_go_on_with() {
    let entries = DrainReport { unresumable: 1, ..DrainReport::default() };
    let view = |waited, active| DrainView {
        waited: millis(waited),
        is_first: false,
        requests: Some(QueueReport { queued: 0, active }),
        entries,
    };
    expect_that!(may_change(&view(900, 1)), eq(false));
    expect_that!(may_change(&view(1400, 9)), eq(false));
    // The last stream has ended, but its entry has not reported that yet.
    expect_that!(may_change(&view(900, 0)), eq(true));
    expect_that!(may_change(&view(1500, 9)), eq(true));
    // Requests that have not started still delay the change.
    let waiting = DrainReport { waiting: 1, ..entries };
    expect_that!(may_change(&DrainView { entries: waiting, ..view(1500, 9) }), eq(false));
}

#[gtest]
fn every_live_entry_must_confirm_drain() {
    let mut peers = PeerTable::new("10.0.0.1:7".parse().expect("an address"), DomainKey(1));
    let server = "10.0.0.9:80".parse().expect("an address");
    let confirmed = |from, waiting| PeerNotice {
        drains: vec![DrainNotice { server, waiting, unresumable: waiting }],
        ..notice(from, 1, 2, 0)
    };
    peers.receive(at(0), notice("10.0.0.2:7", 1, 1, 0));
    peers.receive(at(0), confirmed("10.0.0.3:7", 2));
    peers.receive(at(0), PeerNotice { kind: PeerKind::Agent, ..notice("10.0.0.4:7", 1, 1, 0) });
    let report = peers.drain_report(server);
    expect_that!(report, eq(DrainReport { unconfirmed: 1, waiting: 2, unresumable: 2 }));
    peers.receive(at(10), confirmed("10.0.0.2:7", 0));
    expect_that!(peers.drain_report(server).unconfirmed, eq(0));
}

#[gtest]
fn nothing_may_wait_at_a_server_that_changes() {
    let confirmed = DrainReport::default();
    let view = |waited, queued, active, entries| DrainView {
        waited: millis(waited),
        is_first: false,
        requests: Some(QueueReport { queued, active }),
        entries,
    };
    expect_that!(may_change(&view(100, 0, 1, confirmed)), eq(true));
    expect_that!(may_change(&view(100, 0, 5, confirmed)), eq(false));
    expect_that!(may_change(&view(900, 0, 5, confirmed)), eq(true));
    expect_that!(may_change(&view(900, 1, 5, confirmed)), eq(false));
    let waiting = DrainReport { unconfirmed: 0, waiting: 1, unresumable: 0 };
    expect_that!(may_change(&view(900, 0, 0, waiting)), eq(false));
    let silent = DrainReport { unconfirmed: 1, waiting: 0, unresumable: 0 };
    expect_that!(may_change(&view(900, 0, 0, silent)), eq(false));
    // An entry that is silent for longer than the timeout is considered gone.
    expect_that!(may_change(&view(1800, 0, 0, silent)), eq(true));
    let unknown = DrainView { requests: None, ..view(900, 0, 0, confirmed) };
    expect_that!(may_change(&unknown), eq(false));
    // The first server waits less for running requests, but not for queued ones.
    let first = DrainView { is_first: true, ..view(300, 0, 9, confirmed) };
    expect_that!(may_change(&first), eq(true));
    let first = DrainView { is_first: true, ..view(300, 1, 9, confirmed) };
    expect_that!(may_change(&first), eq(false));
}

/// A server restarted under another ID is listed next to its old record for a while.
#[gtest]
fn agent_notice_applies_to_every_record_at_its_address() {
    let former = server("a", "z1", 1);
    let again = ServerRecord { address: former.address, ..server("b", "z1", 1) };
    let mut table = table(&[former.clone(), again]);
    let agent_notice = changing(&former);
    table.set_notices(&[(former.address, agent_notice)].into());
    expect_that!(table.drains(at(0), &BTreeMap::new()).len(), eq(2));
}
