//! Replication of the list of servers between entries.

use googletest::prelude::*;
use headlatch_core::direct::server_copy::{
    RemovedServer, RevisionedRecord, ServerChanges, ServerCopy,
};
use headlatch_types::{
    store::StoreRevision,
    traffic::{ServerId, ServerRecord},
};

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
    copy.take(&changes(10, true, vec![marked("a", 1), marked("b", 2)], &[]));
    copy.take(&changes(12, false, vec![marked("c", 12)], &[]));
    copy.take(&changes(14, false, Vec::new(), &["a"]));
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
    copy.take(&changes(10, true, vec![marked("a", 1), marked("b", 2)], &[]));
    let update = copy.changes_after(StoreRevision::from_wire(0)).expect("a list is here");
    expect_that!(update.whole, eq(true));
    expect_that!(ids(&update), elements_are![eq("a"), eq("b")]);
}

#[gtest]
fn server_missing_from_a_later_list_is_removed_until_readded() {
    let mut copy = ServerCopy::default();
    copy.take(&changes(10, true, vec![marked("a", 1), marked("b", 2)], &[]));
    copy.take(&changes(20, true, vec![marked("b", 2)], &[]));
    let update = copy.changes_after(StoreRevision::from_wire(10)).expect("a list is here");
    expect_that!(update.gone.first().map(|gone| gone.id.0.to_string()), some(eq("a")));
    copy.take(&changes(25, false, vec![marked("a", 25)], &[]));
    let update = copy.changes_after(StoreRevision::from_wire(10)).expect("a list is here");
    expect_that!(update.gone.len(), eq(0));
    expect_that!(ids(&update), elements_are![eq("a")]);
}

/// A delayed list from the store must not revert changes received from another entry.
#[gtest]
fn delayed_list_does_not_revert_changes() {
    let mut copy = ServerCopy::default();
    copy.take(&changes(10, true, vec![marked("a", 1), marked("b", 2)], &[]));
    copy.take(&changes(20, false, vec![marked("b", 18), marked("c", 20)], &["a"]));
    let late = changes(15, true, vec![marked("a", 1), marked("b", 2)], &[]);
    let remaining = copy.newer_changes(late);
    expect_that!(remaining.whole, eq(false));
    expect_that!(ids(&remaining), is_empty());
    // A newer list is applied in full.
    let newer = copy.newer_changes(changes(30, true, vec![marked("b", 18), marked("d", 30)], &[]));
    expect_that!(newer.whole, eq(true));
    expect_that!(ids(&newer), elements_are![eq("b"), eq("d")]);
}
