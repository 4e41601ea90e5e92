//! Entries that read a large plan over one narrow link after a power loss. Additional calls take
//! bandwidth from transfers in progress, so a retry before a transfer has ended delays all of them.
//! Runs in virtual time.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use googletest::prelude::*;
use headlatch_daemon::direct::facts::{AlwaysOpen, FactUpdate, follow};
use headlatch_outside::{
    OutsideFuture,
    facts::{FactChanges, FactList, FactStore, FactTopic, Freshness, StoreFailure},
};
use headlatch_types::{ByteProgress, store::StoreRevision};
use tokio::{sync::mpsc, time::Instant};

/// Size of a plan of about 1,500 routes, in bytes.
const PLAN_BYTES: usize = 500_000;

/// Interval at which each transfer receives its share of the link.
const TICK: Duration = Duration::from_millis(20);

/// Time without data after which the client abandons a response.
const CLIENT_SILENCE: Duration = Duration::from_secs(3);

/// A store behind a link that is shared equally by all transfers.
#[derive(Debug)]
struct NarrowStore {
    bytes_per_second: usize,
    /// No data arrives from this time on.
    cut_from: Option<Instant>,
    /// Time at which watches report a change of the plan.
    changed: Option<Instant>,
    transfers: AtomicU32,
    calls: AtomicU32,
}

/// Counts a transfer while it is in progress.
struct TransferGuard<'a>(&'a AtomicU32);

impl Drop for TransferGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl NarrowStore {
    fn new(megabits: usize) -> Self {
        let (transfers, calls) = (AtomicU32::default(), AtomicU32::default());
        let bytes_per_second = megabits * 125_000;
        Self { bytes_per_second, cut_from: None, changed: None, transfers, calls }
    }

    fn share(&self) -> usize {
        let transfers = self.transfers.load(Ordering::Relaxed) as usize;
        self.bytes_per_second / (1000 / TICK.as_millis() as usize) / transfers
    }

    async fn transfer(&self, progress: &ByteProgress) -> std::result::Result<(), StoreFailure> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.transfers.fetch_add(1, Ordering::Relaxed);
        let _guard = TransferGuard(&self.transfers);
        let mut left = PLAN_BYTES;
        while left > 0 {
            tokio::time::sleep(TICK).await;
            if self.cut_from.is_some_and(|cut| Instant::now() >= cut) {
                tokio::time::sleep(CLIENT_SILENCE).await;
                return Err(StoreFailure::Unreachable("silent for 3000 ms".to_owned()));
            }
            let received = self.share().min(left);
            left -= received;
            progress.add(received);
        }
        Ok(())
    }
}

impl FactStore for NarrowStore {
    fn list(
        &self,
        _topic: FactTopic,
        _freshness: Freshness,
        progress: ByteProgress,
    ) -> OutsideFuture<'_, std::result::Result<FactList, StoreFailure>> {
        Box::pin(async move {
            self.transfer(&progress).await?;
            Ok(FactList {
                facts: Vec::new(),
                at: StoreRevision::from_wire(1),
                ..FactList::default()
            })
        })
    }

    fn watch(
        &self,
        _topic: FactTopic,
        after: StoreRevision,
        wait: Duration,
        progress: ByteProgress,
    ) -> OutsideFuture<'_, std::result::Result<FactChanges, StoreFailure>> {
        Box::pin(async move {
            let end = Instant::now() + wait;
            let changed = self.changed.filter(|at| after.number() < 2 && *at <= end);
            let Some(changed) = changed else {
                tokio::time::sleep(wait).await;
                return Ok(FactChanges { changes: Vec::new(), at: after });
            };
            tokio::time::sleep_until(changed).await;
            self.transfer(&progress).await?;
            Ok(FactChanges { changes: Vec::new(), at: StoreRevision::from_wire(2) })
        })
    }
}

/// Starts `readers` at once; returns the time until all have read the plan and the number of calls.
async fn time_to_read(store: NarrowStore, readers: usize) -> (Duration, u32) {
    let (begun, store) = (Instant::now(), Arc::new(store));
    let (listed, mut lists) = mpsc::unbounded_channel();
    for _ in 0..readers {
        let (store, listed) = (store.clone(), listed.clone());
        let take = move |news: FactUpdate| {
            if matches!(news, FactUpdate::All(_)) {
                listed.send(()).expect("the test waits");
            }
        };
        tokio::spawn(follow(store, FactTopic::Plan, Arc::default(), Arc::new(AlwaysOpen), take));
    }
    for _ in 0..readers {
        let waited = tokio::time::timeout(Duration::from_secs(120), lists.recv()).await;
        if waited.is_err() {
            break;
        }
    }
    (begun.elapsed(), store.calls.load(Ordering::Relaxed))
}

/// Readers that wait on a narrow link must not add load by repeating their calls.
#[gtest]
#[tokio::test(start_paused = true)]
async fn readers_on_a_narrow_link_take_only_their_transfer_time() {
    for (megabits, readers) in [(20, 4), (6, 2), (3, 2), (2, 4), (1, 2)] {
        let (took, calls) = time_to_read(NarrowStore::new(megabits), readers).await;
        let least = Duration::from_secs_f64(
            (PLAN_BYTES * 8 * readers) as f64 / (megabits * 1_000_000) as f64,
        );
        expect_that!(took, le(least.mul_f64(1.1) + TICK * 4), "{megabits} Mbit/s, {readers}");
        expect_that!(calls, eq(readers as u32), "{megabits} Mbit/s, {readers}");
    }
}

/// A stalled transfer must not block reading: another call is due within 1.5 s of the stall; the test
/// allows 2.1 s.
#[gtest]
#[tokio::test(start_paused = true)]
async fn stalled_transfer_is_followed_by_another_call() {
    let cut_from = Some(Instant::now() + Duration::from_millis(500));
    let store = Arc::new(NarrowStore { cut_from, ..NarrowStore::new(2) });
    let (topic, gate) = (FactTopic::Plan, Arc::new(AlwaysOpen));
    let reading =
        tokio::spawn(follow(store.clone(), topic, Arc::default(), gate, |_: FactUpdate| {}));
    tokio::time::sleep(Duration::from_millis(500 + 2100)).await;
    reading.abort();
    expect_that!(store.calls.load(Ordering::Relaxed), ge(2));
}

/// A large change that arrives slowly must not be treated as a lost watch: at whatever time during
/// the watch it is made, it takes only its transfer time and no additional call.
#[gtest]
#[tokio::test(start_paused = true)]
async fn large_change_over_a_narrow_link_is_read_completely() {
    for tenths in 0..20 {
        let changed = Instant::now() + Duration::from_millis(6000 + tenths * 100);
        let store = Arc::new(NarrowStore { changed: Some(changed), ..NarrowStore::new(1) });
        let (notify_read, mut read) = mpsc::unbounded_channel();
        let take = move |news: FactUpdate| {
            if news.covered().number() >= 2 {
                notify_read.send(()).expect("the test waits");
            }
        };
        let (topic, gate) = (FactTopic::Plan, Arc::new(AlwaysOpen));
        let reading = tokio::spawn(follow(store.clone(), topic, Arc::default(), gate, take));
        read.recv().await;
        reading.abort();
        expect_that!(changed.elapsed(), le(Duration::from_millis(4400)), "{tenths}");
        expect_that!(store.calls.load(Ordering::Relaxed), eq(2), "{tenths}");
    }
}
