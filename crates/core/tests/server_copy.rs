//! Replication of the list of servers between entries.

use std::time::Duration;

use googletest::prelude::*;
use headlatch_core::{
    direct::server_copy::{RemovedServer, RevisionedRecord, ServerChanges, ServerCopy},
    time::Moment,
};
use headlatch_types::{
    store::{StoreEra, StoreRevision},
    traffic::{ServerId, ServerRecord, StartTime},
};

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

/// A position in a later era of the store.
fn in_era(era: u16, number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra::new(era), number).expect("revision in range")
}

/// The full list of a later era.
fn list_of_era(era: u16, covered: u64, set: &[(&str, u64)]) -> ServerChanges {
    let set = set.iter().map(|(id, revision)| RevisionedRecord {
        revision: in_era(era, *revision),
        record: record(id, false),
    });
    let covered = in_era(era, covered);
    ServerChanges { covered, newest: covered, whole: true, set: set.collect(), gone: Vec::new() }
}

fn record(id: &str, draining: bool) -> ServerRecord {
    ServerRecord {
        id: ServerId(id.into()),
        started_at: None,
        service: "s".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "z1".parse().expect("a name"),
        slots: 8,
        draining,
        cold_ms: 0,
        models: Vec::new(),
    }
}

fn marked(id: &str, revision: u64) -> RevisionedRecord {
    RevisionedRecord { revision: StoreRevision::from_wire(revision), record: record(id, false) }
}

fn changes(covered: u64, whole: bool, set: Vec<RevisionedRecord>, gone: &[&str]) -> ServerChanges {
    let gone = gone.iter().map(|id| RemovedServer {
        // The store reports the revision of the last change before the removal.
        revision: StoreRevision::from_wire(1),
        id: ServerId((*id).into()),
    });
    let newest = StoreRevision::from_wire(covered);
    ServerChanges {
        covered: StoreRevision::from_wire(covered),
        newest,
        whole,
        set,
        gone: gone.collect(),
    }
}

fn ids(changes: &ServerChanges) -> Vec<String> {
    changes.set.iter().map(|marked| marked.record.id.0.to_string()).collect()
}

#[gtest]
fn no_changes_are_returned_before_the_first_list() {
    expect_that!(ServerCopy::default().changes_after(StoreRevision::from_wire(0)), none());
}

#[gtest]
fn slightly_outdated_entry_receives_a_delta() {
    let mut copy = ServerCopy::default();
    copy.take(at(0), &changes(10, true, vec![marked("a", 1), marked("b", 2)], &[]));
    copy.take(at(0), &changes(12, false, vec![marked("c", 12)], &[]));
    copy.take(at(0), &changes(14, false, Vec::new(), &["a"]));
    let update = copy.changes_after(StoreRevision::from_wire(10)).expect("a list is here");
    expect_that!(update.whole, eq(false));
    expect_that!(ids(&update), elements_are![eq("c")]);
    expect_that!(update.gone.len(), eq(1));
    expect_that!(update.covered, eq(StoreRevision::from_wire(14)));
    let update = copy.changes_after(StoreRevision::from_wire(14)).expect("a list is here");
    expect_that!(ids(&update), is_empty());
    expect_that!(update.gone.len(), eq(0));
}

#[gtest]
fn new_entry_receives_the_full_list() {
    let mut copy = ServerCopy::default();
    copy.take(at(0), &changes(10, true, vec![marked("a", 1), marked("b", 2)], &[]));
    let update = copy.changes_after(StoreRevision::from_wire(0)).expect("a list is here");
    expect_that!(update.whole, eq(true));
    expect_that!(ids(&update), elements_are![eq("a"), eq("b")]);
}

#[gtest]
fn server_missing_from_a_later_list_is_removed_until_readded() {
    let mut copy = ServerCopy::default();
    copy.take(at(0), &changes(10, true, vec![marked("a", 1), marked("b", 2)], &[]));
    copy.take(at(0), &changes(20, true, vec![marked("b", 2)], &[]));
    let update = copy.changes_after(StoreRevision::from_wire(10)).expect("a list is here");
    expect_that!(update.gone.first().map(|gone| gone.id.0.to_string()), some(eq("a")));
    copy.take(at(0), &changes(25, false, vec![marked("a", 25)], &[]));
    let update = copy.changes_after(StoreRevision::from_wire(10)).expect("a list is here");
    expect_that!(update.gone.len(), eq(0));
    expect_that!(ids(&update), elements_are![eq("a")]);
}

/// A delayed list from the store must not revert changes received from another entry.
#[gtest]
fn delayed_list_does_not_revert_changes() {
    let mut copy = ServerCopy::default();
    copy.take(at(0), &changes(10, true, vec![marked("a", 1), marked("b", 2)], &[]));
    copy.take(at(0), &changes(20, false, vec![marked("b", 18), marked("c", 20)], &["a"]));
    let late = changes(15, true, vec![marked("a", 1), marked("b", 2)], &[]);
    let remaining = copy.newer_changes(late);
    expect_that!(remaining.whole, eq(false));
    expect_that!(ids(&remaining), is_empty());
    // A newer list is applied in full.
    let newer = copy.newer_changes(changes(30, true, vec![marked("b", 18), marked("d", 30)], &[]));
    expect_that!(newer.whole, eq(true));
    expect_that!(ids(&newer), elements_are![eq("b"), eq("d")]);
}

fn known_ids(copy: &ServerCopy) -> Vec<String> {
    copy.ids().into_iter().map(|id| id.0.to_string()).collect()
}

#[gtest]
fn list_of_a_later_era_is_newer_although_its_revisions_are_smaller() {
    let mut copy = ServerCopy::default();
    copy.take(at(0), &changes(150, true, vec![marked("a", 140)], &[]));
    let list = copy.newer_changes(list_of_era(1, 90, &[("a", 80)]));
    expect_that!(list.whole, eq(true));
    expect_that!(ids(&list), elements_are![eq("a")]);
    copy.take(at(0), &list);
    // A late response of the earlier era changes nothing.
    let late = copy.newer_changes(changes(160, true, vec![marked("a", 155)], &["a"]));
    expect_that!(late.whole, eq(false));
    expect_that!((ids(&late).len(), late.gone.len()), eq((0, 0)));
    // An entry of the earlier era gets the full list, however large its own revisions.
    let update = copy.changes_after(StoreRevision::from_wire(200)).expect("a list is here");
    expect_that!(update.whole, eq(true));
    expect_that!(update.covered, eq(in_era(1, 90)));
}

#[gtest]
fn servers_that_a_later_era_lacks_are_removed_only_after_they_could_register_again() {
    let mut copy = ServerCopy::default();
    let known = vec![marked("a", 1), marked("b", 120), marked("c", 130), marked("d", 140)];
    copy.take(at(0), &changes(150, true, known, &[]));
    copy.take(at(1000), &list_of_era(1, 90, &[("a", 1)]));
    expect_that!(known_ids(&copy), elements_are![eq("a"), eq("b"), eq("c"), eq("d")]);
    // One registers again, and the store removes another one.
    let registered = ServerChanges { whole: false, ..list_of_era(1, 92, &[("b", 91)]) };
    copy.take(at(2000), &registered);
    let gone = RemovedServer { revision: in_era(1, 93), id: ServerId("c".into()) };
    let removed = ServerChanges { whole: false, gone: vec![gone], ..list_of_era(1, 93, &[]) };
    copy.take(at(2100), &removed);
    // A further list of the same era neither removes the others nor prolongs their time.
    copy.take(at(2500), &list_of_era(1, 93, &[("a", 1), ("b", 91)]));
    expect_that!(known_ids(&copy), elements_are![eq("a"), eq("b"), eq("d")]);
    expect_that!(copy.remove_unregistered(at(2900)).len(), eq(0));
    let removed = copy.remove_unregistered(at(3000));
    expect_that!(removed, elements_are![eq(&ServerId("d".into()))]);
    // Others may know that it has registered again.
    let update = copy.changes_after(in_era(1, 80)).expect("a list is here");
    expect_that!(update.gone.iter().any(|gone| gone.id.0.as_ref() == "d"), eq(false));
    expect_that!(known_ids(&copy), elements_are![eq("a"), eq("b")]);
    expect_that!(copy.remove_unregistered(at(9000)).len(), eq(0));
}

/// A server that was kept at the first rollback has its time again at the second one.
#[gtest]
fn second_rollback_within_the_registration_time_prolongs_it() {
    let mut copy = ServerCopy::default();
    copy.take(at(0), &changes(150, true, vec![marked("a", 140)], &[]));
    copy.take(at(1000), &list_of_era(1, 90, &[]));
    copy.take(at(3000), &list_of_era(2, 80, &[]));
    expect_that!(copy.remove_unregistered(at(4900)).len(), eq(0));
    expect_that!(copy.remove_unregistered(at(5000)).len(), eq(1));
}

#[gtest]
fn later_era_does_not_restore_an_earlier_process_of_a_server() {
    let started = |era, number, born| {
        let record = ServerRecord { started_at: Some(StartTime(born)), ..record("a", false) };
        RevisionedRecord { revision: in_era(era, number), record }
    };
    let mut copy = ServerCopy::default();
    copy.take(at(0), &changes(150, true, vec![started(0, 140, 2000)], &[]));
    let list = ServerChanges { set: vec![started(1, 80, 1000)], ..list_of_era(1, 90, &[]) };
    expect_that!(ids(&copy.newer_changes(list)), is_empty());
    let list = ServerChanges { set: vec![started(1, 91, 3000)], ..list_of_era(1, 91, &[]) };
    expect_that!(ids(&copy.newer_changes(list)), elements_are![eq("a")]);
}
