//! Store calls of topic readers whose gate is closed.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU16, AtomicU32, Ordering},
    },
    time::Duration,
};

use googletest::prelude::*;
use headlatch_daemon::direct::facts::{FactUpdate, ReadGate, ReaderRole, follow};
use headlatch_outside::{
    OutsideFuture,
    facts::{FactChanges, FactList, FactStore, FactTopic, Freshness, StoreFailure},
};
use headlatch_types::{
    ByteProgress,
    store::{StoreEra, StoreRevision},
};
use tokio::sync::Notify;

/// A store that counts its calls, and fails every list while `fails` is set.
#[derive(Debug, Default)]
struct CountingStore {
    lists: AtomicU32,
    watches: AtomicU32,
    fails: AtomicBool,
    /// Era of its responses.
    era: AtomicU16,
    /// Whether a watch was cancelled.
    cancelled: Arc<AtomicBool>,
}

/// Records the cancellation of a watch when dropped.
struct WatchGuard(Arc<AtomicBool>);

impl Drop for WatchGuard {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

impl FactStore for CountingStore {
    fn list(
        &self,
        _topic: FactTopic,
        _freshness: Freshness,
        _progress: ByteProgress,
    ) -> OutsideFuture<'_, std::result::Result<FactList, StoreFailure>> {
        self.lists.fetch_add(1, Ordering::Relaxed);
        let fails = self.fails.load(Ordering::Relaxed);
        let era = StoreEra::new(self.era.load(Ordering::Relaxed));
        Box::pin(async move {
            match fails {
                true => Err(StoreFailure::Unreachable("it is down".to_owned())),
                false => Ok(FactList { facts: Vec::new(), at: era.start(), ..FactList::default() }),
            }
        })
    }

    fn watch(
        &self,
        _topic: FactTopic,
        after: StoreRevision,
        _time: Duration,
        _progress: ByteProgress,
    ) -> OutsideFuture<'_, std::result::Result<FactChanges, StoreFailure>> {
        self.watches.fetch_add(1, Ordering::Relaxed);
        let guard = WatchGuard(self.cancelled.clone());
        Box::pin(async move {
            let _guard = guard;
            tokio::time::sleep(Duration::from_secs(600)).await;
            Ok(FactChanges { changes: Vec::new(), at: after })
        })
    }
}

#[derive(Debug, Default)]
struct TestGate {
    open: AtomicBool,
    era: AtomicU16,
    answered: AtomicBool,
}

impl ReadGate for TestGate {
    fn is_open(&self) -> bool {
        self.open.load(Ordering::Relaxed)
    }

    fn note(&self, answered: bool) {
        self.answered.store(answered, Ordering::Relaxed);
    }

    /// Watches of these tests never complete, so that only the gate can end them.
    fn role(&self) -> ReaderRole {
        ReaderRole::Standby
    }

    fn newest_era(&self) -> StoreEra {
        StoreEra::new(self.era.load(Ordering::Relaxed))
    }
}

struct Fixture {
    store: Arc<CountingStore>,
    gate: Arc<TestGate>,
    refresh: Arc<Notify>,
}

impl Fixture {
    fn start() -> Self {
        let fixture = Self { store: Arc::default(), gate: Arc::default(), refresh: Arc::default() };
        let (store, gate, refresh) =
            (fixture.store.clone(), fixture.gate.clone(), fixture.refresh.clone());
        tokio::spawn(follow(store, FactTopic::Plan, refresh, gate, |_: FactUpdate| {}));
        fixture
    }

    fn calls(&self) -> (u32, u32) {
        let (lists, watches) = (&self.store.lists, &self.store.watches);
        (lists.load(Ordering::Relaxed), watches.load(Ordering::Relaxed))
    }
}

/// Waits until `done` holds; the test runner's timeout ends a wait without success.
async fn until(done: impl Fn() -> bool) {
    while !done() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Waits for one or two polls of a closed gate; a longer wait must not cause calls either.
async fn wait_for_polls() {
    tokio::time::sleep(Duration::from_millis(450)).await;
}

#[gtest]
#[tokio::test]
async fn a_closed_gate_prevents_calls_until_it_opens() {
    let fixture = Fixture::start();
    wait_for_polls().await;
    expect_that!(fixture.calls(), eq((0, 0)));
    fixture.gate.open.store(true, Ordering::Relaxed);
    until(|| fixture.calls() == (1, 1)).await;
    // Another entry has taken over reading: the watch is cancelled, and nothing is listed.
    fixture.gate.open.store(false, Ordering::Relaxed);
    until(|| fixture.store.cancelled.load(Ordering::Relaxed)).await;
    wait_for_polls().await;
    expect_that!(fixture.calls(), eq((1, 1)));
}

#[gtest]
#[tokio::test]
async fn a_refresh_lists_once_although_the_gate_is_closed() {
    let fixture = Fixture::start();
    fixture.refresh.notify_one();
    until(|| fixture.calls() == (1, 1)).await;
    until(|| fixture.store.cancelled.load(Ordering::Relaxed)).await;
    wait_for_polls().await;
    expect_that!(fixture.calls(), eq((1, 1)));
}

#[gtest]
#[tokio::test]
async fn the_gate_records_whether_calls_succeed() {
    let fixture = Fixture::start();
    fixture.store.fails.store(true, Ordering::Relaxed);
    fixture.gate.answered.store(true, Ordering::Relaxed);
    fixture.gate.open.store(true, Ordering::Relaxed);
    until(|| !fixture.gate.answered.load(Ordering::Relaxed)).await;
    fixture.store.fails.store(false, Ordering::Relaxed);
    until(|| fixture.gate.answered.load(Ordering::Relaxed)).await;
}

/// The store would let a watch of an earlier era wait as if nothing had changed, for up to 29 s.
#[gtest]
#[tokio::test]
async fn a_watch_of_an_earlier_era_is_cancelled_once_another_process_knows_a_later_one() {
    let fixture = Fixture::start();
    fixture.gate.open.store(true, Ordering::Relaxed);
    until(|| fixture.calls() == (1, 1)).await;
    fixture.store.era.store(1, Ordering::Relaxed);
    wait_for_polls().await;
    expect_that!(fixture.calls(), eq((1, 1)));
    fixture.gate.era.store(1, Ordering::Relaxed);
    until(|| fixture.calls() == (2, 2)).await;
    wait_for_polls().await;
    expect_that!(fixture.calls(), eq((2, 2)));
}

/// Guards against calls in quick succession to a part of the store that is behind.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_store_that_stays_in_an_earlier_era_is_listed_with_backoff_and_not_watched() {
    let fixture = Fixture::start();
    fixture.gate.era.store(1, Ordering::Relaxed);
    fixture.gate.open.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(20)).await;
    let (lists, watches) = fixture.calls();
    expect_that!(lists, all!(ge(10), le(35)));
    expect_that!(watches, eq(0));
    fixture.store.era.store(1, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(2)).await;
    expect_that!(fixture.calls().1, eq(1));
}
