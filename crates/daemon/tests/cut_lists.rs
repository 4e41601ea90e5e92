//! Lists that the store does not continue. Guards against taking the part that could be read for the whole, and
//! against serving nothing as long as the rest is missing.

mod support;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use googletest::prelude::*;
use headlatch_daemon::direct::{
    facts::{AlwaysOpen, FactUpdate, follow},
    state::EntryState,
};
use headlatch_outside::{
    OutsideFuture,
    facts::{
        DeadEnd, Fact, FactChange, FactChanges, FactList, FactStore, FactTopic, Freshness,
        ListExtent, NamedFact, StoreFailure,
    },
};
use headlatch_types::{
    ByteProgress,
    reading::FieldIssues,
    store::{StoreEra, StoreRevision},
};
use support::{TestHeaders, plan, record, settings};

fn position(era: u16, number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra::new(era), number).expect("revision in range")
}

fn named(name: &str, revision: StoreRevision, fact: Fact) -> NamedFact {
    let field_issues = FieldIssues::default();
    NamedFact { name: name.to_owned(), revision, fact: Ok(fact), field_issues }
}

fn server(name: &str, revision: StoreRevision) -> NamedFact {
    let address = "127.0.0.1:9".parse().expect("an address");
    named(name, revision, Fact::Server(record(name, address, "z1")))
}

fn cut(facts: Vec<NamedFact>, at: StoreRevision) -> FactList {
    let dead_end = DeadEnd { name: "a&b".to_owned(), reason: "400 Bad Request".to_owned() };
    FactList { facts, at, extent: ListExtent::Cut, dead_ends: vec![dead_end] }
}

fn whole(facts: Vec<NamedFact>, at: StoreRevision) -> FactUpdate {
    FactUpdate::from(FactList { facts, at, ..FactList::default() })
}

fn entry_with_plan() -> Arc<EntryState> {
    let state = EntryState::new(settings(), Arc::new(TestHeaders));
    state.apply_plan(plan(5), "test");
    state
}

fn servers(state: &EntryState) -> Vec<String> {
    let table = state.servers();
    let mut names: Vec<String> = table.records().map(|record| record.id.to_string()).collect();
    names.sort();
    names
}

/// The servers behind the end of the cut list were removed.
#[gtest]
#[test]
fn a_cut_list_removes_no_server() {
    let state = entry_with_plan();
    let listed = ["i1", "i2"].map(|name| server(name, position(0, 3)));
    state.apply_servers_update(whole(listed.into(), position(0, 4)));
    let list =
        cut(vec![server("i1", position(0, 3)), server("i0", position(0, 5))], position(0, 6));
    state.apply_servers_update(FactUpdate::from(list));
    expect_that!(servers(&state), eq(&["i0", "i1", "i2"]));
}

/// Other entries took the servers of a cut list for all servers, at the position of the list.
#[gtest]
#[test]
fn a_cut_list_is_not_passed_on_to_other_entries() {
    for era in [0, 1] {
        let state = entry_with_plan();
        let list = cut(vec![server("i1", position(era, 3))], position(era, 4));
        state.apply_servers_update(FactUpdate::from(list));
        let changes = vec![
            FactChange::Set(server("i2", position(era, 5))),
            FactChange::Gone { name: "i1".to_owned(), revision: position(era, 6) },
        ];
        let changes = FactChanges { changes, at: position(era, 6) };
        state.apply_servers_update(FactUpdate::ChangesSinceCut(changes));
        expect_that!(servers(&state), eq(&["i2"]));
        expect_that!(state.server_changes(StoreRevision::default()), none());
        expect_that!(state.newest_servers(), eq(StoreRevision::default()));
        expect_that!(state.servers_age().covered(), eq(StoreRevision::default()));
        expect_that!(state.newest_era(), eq(StoreEra::new(era)));
        let listed = ["i2", "i3"].map(|name| server(name, position(era, 5)));
        state.apply_servers_update(whole(listed.into(), position(era, 7)));
        expect_that!(servers(&state), eq(&["i2", "i3"]));
        let told = state.server_changes(StoreRevision::default()).expect("a list");
        expect_that!((told.whole, told.covered, told.set.len()), eq((true, position(era, 7), 2)));
    }
}

/// An entry said that it was ready, without any server.
#[gtest]
#[test]
fn a_cut_list_makes_an_entry_ready_once_it_knows_a_server() {
    let state = entry_with_plan();
    state.apply_servers_update(FactUpdate::from(cut(Vec::new(), position(0, 4))));
    expect_that!(state.is_ready(), eq(false));
    let changes = vec![FactChange::Set(server("i2", position(0, 5)))];
    let changes = FactChanges { changes, at: position(0, 5) };
    state.apply_servers_update(FactUpdate::ChangesSinceCut(changes));
    expect_that!(state.is_ready(), eq(true));
}

/// The plan counted as confirmed by a list that ended in front of it.
#[gtest]
#[test]
fn a_cut_list_without_the_plan_does_not_confirm_it() {
    let state = entry_with_plan();
    state.apply_plan_update(FactUpdate::from(cut(Vec::new(), position(0, 4))));
    expect_that!(state.plan.age().age(state.now()), none());
    let main = named("main", position(0, 3), Fact::Plan(Box::new(plan(6))));
    state.apply_plan_update(FactUpdate::from(cut(vec![main], position(0, 4))));
    expect_that!(state.plan_version(), eq(plan(6).version));
    expect_that!(state.plan.age().age(state.now()), some(anything()));
}

/// Orders of a cut list are carried out, and not reported to other entries as all there are.
#[gtest]
#[test]
fn evacuations_of_a_cut_list_are_in_force() {
    let state = entry_with_plan();
    let order =
        |name: &str| named(name, position(0, 3), Fact::Evacuation(name.parse().expect("a name")));
    state.apply_evacuations_update(FactUpdate::from(cut(vec![order("z1")], position(0, 4))));
    expect_that!(state.evacuated().domains, is_empty());
    expect_that!(state.evacuated().mark, eq(StoreRevision::default()));
    expect_that!(state.evacuations_in_force().len(), eq(1));
    state.apply_evacuations_update(FactUpdate::from(cut(vec![order("z2")], position(0, 5))));
    expect_that!(state.evacuations_in_force().len(), eq(1));
    state.apply_evacuations_update(whole(Vec::new(), position(0, 6)));
    expect_that!(state.evacuations_in_force(), is_empty());
}

/// A store whose lists are cut until it is mended, and whose watches bring nothing.
#[derive(Debug, Default)]
struct CutStore {
    is_mended: AtomicBool,
    lists: AtomicU32,
}

impl FactStore for CutStore {
    fn list(
        &self,
        _topic: FactTopic,
        _freshness: Freshness,
        _progress: ByteProgress,
    ) -> OutsideFuture<'_, std::result::Result<FactList, StoreFailure>> {
        self.lists.fetch_add(1, Ordering::Relaxed);
        let at = position(0, 4);
        let list = match self.is_mended.load(Ordering::Relaxed) {
            true => FactList { at, ..FactList::default() },
            false => cut(Vec::new(), at),
        };
        Box::pin(async move { Ok(list) })
    }

    fn watch(
        &self,
        _topic: FactTopic,
        after: StoreRevision,
        wait: Duration,
        _progress: ByteProgress,
    ) -> OutsideFuture<'_, std::result::Result<FactChanges, StoreFailure>> {
        Box::pin(async move {
            tokio::time::sleep(wait).await;
            Ok(FactChanges { changes: Vec::new(), at: after })
        })
    }
}

/// The topic was never listed again, or again and again without a pause.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_cut_list_is_watched_and_listed_anew_now_and_then() {
    let store = Arc::new(CutStore::default());
    let updates: Arc<Mutex<Vec<FactUpdate>>> = Arc::default();
    let taken = updates.clone();
    let take = move |update| taken.lock().expect("lock is not poisoned").push(update);
    let gate = Arc::new(AlwaysOpen);
    let following =
        tokio::spawn(follow(store.clone(), FactTopic::Servers, Arc::default(), gate, take));
    tokio::time::sleep(Duration::from_secs(60)).await;
    let lists = store.lists.load(Ordering::Relaxed);
    expect_that!(lists, all![ge(6), le(10)]);
    let seen = std::mem::take(&mut *updates.lock().expect("lock is not poisoned"));
    expect_that!(seen.iter().all(FactUpdate::is_partial), eq(true));
    let is_watched = |update: &&FactUpdate| matches!(update, FactUpdate::ChangesSinceCut(_));
    expect_that!(seen.iter().filter(is_watched).count(), ge(30));
    store.is_mended.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(13)).await;
    following.abort();
    let seen = updates.lock().expect("lock is not poisoned");
    expect_that!(seen.iter().any(|update| matches!(update, FactUpdate::All(_))), eq(true));
    expect_that!(seen.last().is_some_and(FactUpdate::is_partial), eq(false));
    expect_that!(store.lists.load(Ordering::Relaxed), eq(lists + 1));
}
