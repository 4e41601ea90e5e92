//! Entries whose store comes back from an older copy of itself and gives out revisions again.

mod support;

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use headlatch_daemon::direct::entry::DirectEntry;
use headlatch_http::Connections;
use headlatch_outside::headers::HeaderFormat;
use headlatch_platform::{PlatformHeaders, PlatformStore};
use headlatch_types::{store::StoreEra, traffic::PlanVersion};
use http::StatusCode;
use serde_json::json;
use support::{
    ask_with,
    entries::{EntryProcess, start_all_with},
    rollback_store::{RollbackStore, StoreCopy, config_spec, server_spec},
    settings,
    signaling::SignalingServer,
};
use tokio::{runtime::Runtime, time::Instant};

/// Time after a server's word in the store that it leaves from which it must get no request.
const DRAIN_TIME: Duration = Duration::from_millis(2000);

/// Time for which a server may take to write itself again after the store came back.
const REWRITE_TIME: Duration = Duration::from_millis(2000);

/// Time after which an order to evacuate a failure domain must be in force.
const EVACUATION_TIME: Duration = Duration::from_millis(5000);

/// Servers `i0` to `iN` of one service, listed by a store.
struct Fleet {
    store: RollbackStore,
    servers: Vec<SignalingServer>,
}

impl Fleet {
    async fn new(servers: usize) -> Self {
        let store = RollbackStore::start().await;
        store.put("config", "main", config_spec(5));
        let mut fleet = Self { store, servers: Vec::new() };
        for number in 0..servers {
            fleet.servers.push(SignalingServer::start().await);
            fleet.list(number, "ready", 0);
        }
        fleet
    }

    /// Writes the record of a server, in the failure domain `z1`, and returns its revision.
    fn list(&self, number: usize, state: &str, cold_ms: u64) -> u64 {
        let spec = server_spec(self.servers[number].address, "z1", state, cold_ms);
        self.store.put("servers", &format!("i{number}"), spec)
    }

    /// Has the servers write their records as they change often, `times` times each.
    fn rewrite(&self, times: u64) {
        for round in 0..times {
            for number in 0..self.servers.len() {
                self.list(number, "ready", (times - round) / 2);
            }
        }
    }

    fn client(&self) -> Arc<PlatformStore> {
        client_of(&self.store)
    }

    async fn start_entry(&self, evacuate_ms: Option<u64>) -> DirectEntry {
        let mut own = settings();
        own.direct.reads_evacuations = evacuate_ms.is_some();
        let (store, headers) = (self.client(), Arc::new(PlatformHeaders));
        let entry = DirectEntry::start_with_quarantines(own, store.clone(), headers, store).await;
        let entry = entry.expect("entry starts");
        while !entry.state.is_ready() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        entry
    }

    /// Takes the store away for a moment and brings it back from `copy`.
    async fn roll_back(&self, copy: StoreCopy) {
        self.store.go_away();
        tokio::time::sleep(Duration::from_millis(300)).await;
        self.store.come_back_from(copy);
    }

    /// Number of requests that each server gets of `times` sent through `entry`, and their statuses.
    async fn arrivals_of(
        &self,
        entry: &DirectEntry,
        times: usize,
    ) -> (Vec<usize>, Vec<StatusCode>) {
        let count = || self.servers.iter().map(|server| server.arrivals().len());
        let before: Vec<usize> = count().collect();
        let mut statuses = Vec::new();
        for _ in 0..times {
            statuses.push(ask(entry).await);
        }
        (count().zip(before).map(|(now, before)| now - before).collect(), statuses)
    }
}

fn client_of(store: &RollbackStore) -> Arc<PlatformStore> {
    Arc::new(PlatformStore::new(store.address, Arc::new(Connections::default())))
}

async fn ask(entry: &DirectEntry) -> StatusCode {
    let asked = ask_with(entry.address, "/safe/a", &[("request-id", "r1")]).await;
    asked.expect("response").status
}

/// Waits until `done` holds, for `limit` at most; returns whether it does.
async fn holds_within(limit: Duration, done: impl Fn() -> bool) -> bool {
    let until = Instant::now() + limit;
    while !done() && Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    done()
}

/// Waits until the entry has read everything that the store holds.
async fn wait_until_read(entry: &DirectEntry, fleet: &Fleet) {
    let cold = server_spec(fleet.servers[0].address, "z1", "ready", 7);
    fleet.store.put("servers", "i0", cold);
    let known = || entry.state.servers().records().any(|record| record.cold_ms == 7);
    expect_that!(holds_within(Duration::from_secs(5), known).await, eq(true));
}

/// Incident 0015: the word came at a smaller revision than one at which the server had been ready.
#[gtest]
#[tokio::test]
async fn leaving_server_gets_no_request_after_a_store_rollback() {
    let fleet = Fleet::new(2).await;
    let entry = fleet.start_entry(None).await;
    let copy = fleet.store.copy();
    fleet.rewrite(10);
    wait_until_read(&entry, &fleet).await;
    fleet.roll_back(copy).await;
    tokio::time::sleep(REWRITE_TIME).await;
    fleet.list(0, "draining", 0);
    tokio::time::sleep(DRAIN_TIME).await;
    let (arrivals, statuses) = fleet.arrivals_of(&entry, 40).await;
    expect_that!(statuses, each(eq(&StatusCode::OK)));
    expect_that!(arrivals, eq(&vec![0, 40]));
}

/// A watch from a revision that the store has given out again returns only what came after it.
#[gtest]
#[tokio::test]
async fn change_at_a_revision_given_out_again_is_not_missed() {
    let fleet = Fleet::new(2).await;
    let entry = fleet.start_entry(None).await;
    let copy = fleet.store.copy();
    // The entry pauses after these changes, and its next watch comes when the store is back.
    wait_until_read(&entry, &fleet).await;
    fleet.store.come_back_from(copy);
    fleet.list(0, "draining", 0);
    for version in 6..16 {
        fleet.store.put("config", "main", config_spec(version));
    }
    tokio::time::sleep(DRAIN_TIME).await;
    let (arrivals, _) = fleet.arrivals_of(&entry, 40).await;
    expect_that!(arrivals, eq(&vec![0, 40]));
    expect_that!(entry.state.plan_version(), eq(PlanVersion(15)));
}

/// Only two of three entries read the store. The third has the changes from them.
#[gtest]
fn leaving_server_gets_no_request_from_an_entry_that_does_not_read_the_rolled_back_store() {
    let callers = Runtime::new().expect("runtime");
    let fleet = callers.block_on(Fleet::new(2));
    let headers: Arc<dyn HeaderFormat> = Arc::new(PlatformHeaders);
    let entries = start_all_with(1..=3, &fleet.client(), &fleet.client(), &headers);
    let copy = fleet.store.copy();
    fleet.rewrite(10);
    callers.block_on(async {
        for process in &entries {
            wait_until_read(&process.entry, &fleet).await;
        }
        fleet.roll_back(copy).await;
        tokio::time::sleep(REWRITE_TIME).await;
        fleet.list(0, "draining", 0);
        tokio::time::sleep(DRAIN_TIME).await;
        for process in &entries {
            let (arrivals, _) = fleet.arrivals_of(&process.entry, 20).await;
            expect_that!(arrivals, eq(&vec![0, 20]));
        }
    });
    entries.into_iter().for_each(EntryProcess::kill);
}

/// The store turns one entry away for good, and one starts in the new era beside it.
#[gtest]
fn entry_without_the_store_follows_others_into_a_new_era() {
    let callers = Runtime::new().expect("runtime");
    let fleet = callers.block_on(Fleet::new(2));
    let part = callers.block_on(RollbackStore::start());
    let copy = fleet.store.copy();
    fleet.store.come_back_from(copy.clone());
    part.come_back_from(copy.clone());
    let headers: Arc<dyn HeaderFormat> = Arc::new(PlatformHeaders);
    let start = |number, store| {
        let (facts, quarantines) = (client_of(store), client_of(store));
        EntryProcess::start_with(number, 31..=33, facts, quarantines, headers.clone())
    };
    let mut entries = vec![start(31, &fleet.store), start(32, &part)];
    callers.block_on(async {
        let know = || entries.iter().all(|one| one.knows(2));
        expect_that!(holds_within(Duration::from_secs(5), know).await, eq(true));
        fleet.rewrite(10);
        part.go_away();
        for process in &entries {
            wait_until_read(&process.entry, &fleet).await;
        }
        fleet.roll_back(copy).await;
        tokio::time::sleep(REWRITE_TIME).await;
    });
    entries.push(start(33, &fleet.store));
    callers.block_on(async {
        let know = || entries.iter().all(|one| one.knows(3));
        expect_that!(holds_within(Duration::from_secs(5), know).await, eq(true));
        fleet.list(0, "draining", 0);
        tokio::time::sleep(DRAIN_TIME).await;
        for process in &entries {
            let (arrivals, _) = fleet.arrivals_of(&process.entry, 20).await;
            expect_that!(arrivals, eq(&vec![0, 20]));
            expect_that!(process.entry.state.newest_era(), eq(StoreEra::new(2)));
        }
    });
    entries.into_iter().for_each(EntryProcess::kill);
}

/// The store's copy is from before the server said that it leaves, and the server says it again late.
#[gtest]
#[tokio::test]
async fn rollback_does_not_take_back_that_a_server_leaves() {
    let fleet = Fleet::new(2).await;
    let entry = fleet.start_entry(None).await;
    let copy = fleet.store.copy();
    wait_until_read(&entry, &fleet).await;
    fleet.list(0, "draining", 0);
    tokio::time::sleep(DRAIN_TIME).await;
    fleet.roll_back(copy).await;
    for _ in 0..20 {
        let (arrivals, _) = fleet.arrivals_of(&entry, 5).await;
        expect_that!(arrivals[0], eq(0));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    // It is registered as ready before it says again that it leaves.
    fleet.list(0, "ready", 0);
    for _ in 0..20 {
        let (arrivals, _) = fleet.arrivals_of(&entry, 5).await;
        expect_that!(arrivals[0], eq(0));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// The store's copy still lists a server that had been removed.
#[gtest]
#[tokio::test]
async fn rollback_does_not_bring_back_a_removed_server() {
    let fleet = Fleet::new(2).await;
    let entry = fleet.start_entry(None).await;
    let copy = fleet.store.copy();
    wait_until_read(&entry, &fleet).await;
    fleet.store.remove("servers", "i0");
    tokio::time::sleep(DRAIN_TIME).await;
    fleet.roll_back(copy).await;
    for _ in 0..20 {
        let (arrivals, _) = fleet.arrivals_of(&entry, 5).await;
        expect_that!(arrivals[0], eq(0));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    // It lives and writes again.
    fleet.list(0, "ready", 0);
    let is_used = async {
        while fleet.arrivals_of(&entry, 5).await.0[0] == 0 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    expect_that!(tokio::time::timeout(Duration::from_secs(3), is_used).await, ok(anything()));
}

/// The store's copy is from before the servers were registered.
#[gtest]
#[tokio::test]
async fn servers_that_the_copy_lacks_serve_until_they_had_time_to_write_again() {
    let empty = Fleet::new(0).await.store.copy();
    let fleet = Fleet::new(2).await;
    let entry = fleet.start_entry(None).await;
    wait_until_read(&entry, &fleet).await;
    fleet.roll_back(empty).await;
    let back = Instant::now();
    while back.elapsed() < REWRITE_TIME {
        let (_, statuses) = fleet.arrivals_of(&entry, 2).await;
        expect_that!(statuses, each(eq(&StatusCode::OK)));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // One of them has written again, the other one is gone.
    fleet.list(1, "ready", 0);
    let known = || entry.state.servers().records().count() == 1;
    expect_that!(holds_within(Duration::from_secs(3), known).await, eq(true));
    let (arrivals, statuses) = fleet.arrivals_of(&entry, 10).await;
    expect_that!(statuses, each(eq(&StatusCode::OK)));
    expect_that!(arrivals, eq(&vec![0, 10]));
}

/// An older configuration in the store's copy replaces the accepted one neither at an entry that has it
/// nor at one that starts beside it.
#[gtest]
fn rollback_does_not_revert_an_accepted_configuration() {
    let callers = Runtime::new().expect("runtime");
    let fleet = callers.block_on(Fleet::new(1));
    let headers: Arc<dyn HeaderFormat> = Arc::new(PlatformHeaders);
    let start = |number| {
        EntryProcess::start_with(number, 11..=12, fleet.client(), fleet.client(), headers.clone())
    };
    let first = start(11);
    let copy = fleet.store.copy();
    fleet.store.put("config", "main", config_spec(9));
    let knows = |process: &EntryProcess| {
        callers.block_on(holds_within(Duration::from_secs(5), || {
            process.entry.state.plan_version() == PlanVersion(9)
        }))
    };
    expect_that!(knows(&first), eq(true));
    callers.block_on(fleet.roll_back(copy));
    let second = start(12);
    expect_that!(knows(&second), eq(true));
    expect_that!(first.entry.state.plan_version(), eq(PlanVersion(9)));
    [first, second].into_iter().for_each(EntryProcess::kill);
}

/// A quarantine that the store has lost would be unknown to a fleet that starts anew.
#[gtest]
#[tokio::test]
async fn quarantine_is_written_again_after_a_store_rollback() {
    let fleet = Fleet::new(1).await;
    let copy = fleet.store.copy();
    let digest = "00000000000000ab";
    fleet.store.put("quarantines", digest, json!({ "until_ms": u64::MAX / 2 }));
    let entry = fleet.start_entry(None).await;
    let restored = || !entry.state.quarantine.refused(entry.state.now()).is_empty();
    expect_that!(holds_within(Duration::from_secs(5), restored).await, eq(true));
    fleet.roll_back(copy).await;
    let is_kept = || fleet.store.names("quarantines").iter().any(|name| name == digest);
    expect_that!(holds_within(Duration::from_secs(5), is_kept).await, eq(true));
}

/// All entries know the quarantine, and all would write it.
#[gtest]
fn lost_quarantine_is_written_by_one_entry_of_a_failure_domain() {
    let callers = Runtime::new().expect("runtime");
    let fleet = callers.block_on(Fleet::new(1));
    let copy = fleet.store.copy();
    let digest = "00000000000000ab";
    fleet.store.put("quarantines", digest, json!({ "until_ms": u64::MAX / 2 }));
    let headers: Arc<dyn HeaderFormat> = Arc::new(PlatformHeaders);
    let entries = start_all_with(21..=23, &fleet.client(), &fleet.client(), &headers);
    callers.block_on(async {
        let knows = |process: &EntryProcess| {
            !process.entry.state.quarantine.refused(process.entry.state.now()).is_empty()
        };
        let all_know = || entries.iter().all(knows);
        expect_that!(holds_within(Duration::from_secs(5), all_know).await, eq(true));
        fleet.roll_back(copy).await;
        tokio::time::sleep(Duration::from_secs(5)).await;
    });
    let calls = fleet.store.calls();
    let writes = calls.iter().filter(|line| line.starts_with("POST /objects/quarantines"));
    expect_that!(writes.count(), eq(1));
    expect_that!(fleet.store.names("quarantines"), elements_are![eq(digest)]);
    entries.into_iter().for_each(EntryProcess::kill);
}

/// Orders to evacuate at revisions that have been given out before.
#[gtest]
#[tokio::test]
async fn evacuation_ordered_and_withdrawn_after_a_store_rollback_is_in_force() {
    let fleet = Fleet::new(1).await;
    let entry = fleet.start_entry(Some(5000)).await;
    let copy = fleet.store.copy();
    fleet.rewrite(10);
    fleet.store.put("evacuations", "z2", json!({}));
    wait_until_read(&entry, &fleet).await;
    let domains = || entry.state.evacuated().domains.len();
    expect_that!(holds_within(EVACUATION_TIME, || domains() == 1).await, eq(true));
    fleet.roll_back(copy).await;
    fleet.store.put("evacuations", "z2", json!({}));
    fleet.store.put("evacuations", "z1", json!({}));
    expect_that!(holds_within(EVACUATION_TIME, || domains() == 2).await, eq(true));
    expect_that!(ask(&entry).await, eq(StatusCode::SERVICE_UNAVAILABLE));
    fleet.store.remove("evacuations", "z1");
    expect_that!(holds_within(EVACUATION_TIME, || domains() == 1).await, eq(true));
    expect_that!(ask(&entry).await, eq(StatusCode::OK));
}

/// The store's copy is from before the order.
#[gtest]
#[tokio::test]
async fn rollback_does_not_take_back_an_evacuation_before_it_could_be_ordered_again() {
    let fleet = Fleet::new(1).await;
    let entry = fleet.start_entry(Some(5000)).await;
    let copy = fleet.store.copy();
    fleet.store.put("evacuations", "z1", json!({}));
    let ordered = || !entry.state.evacuated().domains.is_empty();
    expect_that!(holds_within(EVACUATION_TIME, ordered).await, eq(true));
    fleet.roll_back(copy).await;
    let back = Instant::now();
    while back.elapsed() < REWRITE_TIME {
        expect_that!(ask(&entry).await, eq(StatusCode::SERVICE_UNAVAILABLE));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // The operator does not order it again.
    let is_served = async {
        while ask(&entry).await != StatusCode::OK {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    expect_that!(tokio::time::timeout(EVACUATION_TIME, is_served).await, ok(anything()));
}
