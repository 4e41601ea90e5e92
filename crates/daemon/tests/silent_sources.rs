//! Unresponsive sources, in virtual time: how long an entry keeps outdated data while other processes
//! have newer data.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use googletest::prelude::*;
use headlatch_core::direct::peers::{DomainKey, PeerKind, PeerNotice};
use headlatch_daemon::direct::{
    facts::{AlwaysOpen, FactUpdate, ReadGate, ReaderRole, follow},
    state::EntryState,
};
use headlatch_outside::{
    OutsideFuture,
    facts::{FactChanges, FactList, FactStore, FactTopic, Freshness, StoreFailure},
    headers::{ForwardMetadata, HeaderFormat, RequestMetadata, ResponseMetadata},
};
use headlatch_types::{
    ByteProgress,
    id::DomainId,
    settings::DaemonSettings,
    store::StoreRevision,
    traffic::{PlanVersion, TrafficPlan},
};
use http::{HeaderMap, StatusCode};
use tokio::{sync::Notify, time::Instant};

/// Maximum time until the platform's client times out a call without a response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// A store that does not respond to calls made before `answers_from`, not even later, and responds to
/// those made afterwards.
#[derive(Debug)]
struct SilentStore {
    answers_from: Instant,
}

impl FactStore for SilentStore {
    fn list(
        &self,
        _topic: FactTopic,
        _freshness: Freshness,
        _progress: ByteProgress,
    ) -> OutsideFuture<'_, std::result::Result<FactList, StoreFailure>> {
        let answers = Instant::now() >= self.answers_from;
        Box::pin(async move {
            if answers {
                return Ok(FactList {
                    facts: Vec::new(),
                    at: StoreRevision::from_wire(1),
                    ..FactList::default()
                });
            }
            tokio::time::sleep(CLIENT_TIMEOUT).await;
            Err(StoreFailure::Unreachable("no answer in time".to_owned()))
        })
    }

    fn watch(
        &self,
        _topic: FactTopic,
        _after: StoreRevision,
        _time: Duration,
        _progress: ByteProgress,
    ) -> OutsideFuture<'_, std::result::Result<FactChanges, StoreFailure>> {
        Box::pin(std::future::pending())
    }
}

/// Time from the store's recovery to the first successful list, for a reader whose calls went
/// unanswered for `silence`.
async fn time_to_list(silence: Duration) -> Duration {
    let store = Arc::new(SilentStore { answers_from: Instant::now() + silence });
    let returned = store.answers_from;
    let listed = Arc::new(Notify::new());
    let notify = listed.clone();
    let following = tokio::spawn(follow(
        store,
        FactTopic::Plan,
        Arc::default(),
        Arc::new(AlwaysOpen),
        move |_: FactUpdate| notify.notify_one(),
    ));
    listed.notified().await;
    following.abort();
    returned.elapsed()
}

/// A process must be up to date 3 s after the store recovers, including changes accepted in between, so
/// the store must be read well before.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_store_that_was_silent_is_read_soon_after_its_return() {
    for tenths in 10..100 {
        let silence = Duration::from_millis(tenths * 100);
        let waited = time_to_list(silence).await;
        expect_that!(waited, le(Duration::from_millis(1800)), "after a silence of {silence:?}");
    }
}

/// Header format that reads and writes nothing: these tests send no requests.
#[derive(Debug)]
struct NoHeaders;

impl HeaderFormat for NoHeaders {
    fn read_request(&self, _headers: &HeaderMap) -> RequestMetadata {
        RequestMetadata::default()
    }

    fn write_request(&self, _headers: &mut HeaderMap, _facts: &ForwardMetadata) {}

    fn read_answer(&self, _status: StatusCode, _headers: &HeaderMap) -> ResponseMetadata {
        ResponseMetadata::default()
    }

    fn write_id(&self, _headers: &mut HeaderMap, _request: &str) {}
}

fn entry() -> Arc<EntryState> {
    let text = serde_json::json!({
        "box": "e1", "domain": "z1", "region": "r1", "control": "10.0.0.1:7700",
        "admin": "10.0.0.1:1", "platform": "http://10.0.0.1:2", "drain_seconds": 1,
        "entry": { "listen": "10.0.0.1:3" },
        "direct": {
            "zones": { "z1": "r1" },
            "retry": { "ratio": 1.0, "slack": 100.0, "window_seconds": 10.0 }
        }
    });
    let settings = match DaemonSettings::parse(&text.to_string()) {
        Ok(DaemonSettings::DirectEntry(settings)) => *settings,
        other => panic!("these are settings of a direct entry, not {other:?}"),
    };
    EntryState::new(settings, Arc::new(NoHeaders))
}

fn plan(version: u64) -> TrafficPlan {
    TrafficPlan { version: PlanVersion(version), ..TrafficPlan::default() }
}

/// Delivers a notice of an entry of another failure domain that has plan `version`.
fn receive_plan_version(state: &EntryState, version: u64) {
    static SEQUENCE: AtomicU64 = AtomicU64::new(1);
    let from: SocketAddr = "10.1.0.1:7700".parse().expect("an address");
    let domain: DomainId = "z2".parse().expect("a name");
    let notice = PeerNotice {
        sequence: SEQUENCE.fetch_add(1, Ordering::Relaxed),
        plan: version,
        ..PeerNotice::empty(from, PeerKind::Entry, DomainKey::from(&domain))
    };
    state.peers().receive(state.now(), notice);
    state.record_peer_plan_version(PlanVersion(version));
}

/// An entry reads the store, but its watch returns nothing, while another failure domain advertises a
/// newer plan ten times a second. After 500 ms the entry must be able to fetch it there at any time,
/// regardless of the number of failures.
#[gtest]
#[tokio::test(start_paused = true)]
async fn an_entry_that_stays_behind_goes_on_asking() {
    let state = entry();
    state.apply_plan(plan(5), "store");
    for tick in 0..40 {
        receive_plan_version(&state, 6);
        let due = tick >= 5;
        let asks = state.newer_plan_holder().is_some();
        expect_that!(asks || !due, eq(true), "{} ms behind", tick * 100);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// A request that the active plan does not allow waits for a newer plan, but only for a limited time.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_newer_plan_is_waited_for_until_it_is_here_or_the_time_is_over() {
    let state = entry();
    state.apply_plan(plan(5), "store");
    let begun = Instant::now();
    let wait = Duration::from_millis(300);
    expect_that!(state.plan.newer_than(PlanVersion(5), wait).await, eq(false));
    expect_that!(begun.elapsed(), eq(wait));
    let updater = state.clone();
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(100)).await;
        updater.apply_plan(plan(6), "peer");
    });
    let begun = Instant::now();
    expect_that!(state.plan.newer_than(PlanVersion(5), wait).await, eq(true));
    expect_that!(begun.elapsed(), eq(Duration::from_millis(100)));
    expect_that!(state.plan.newer_than(PlanVersion(5), wait).await, eq(true));
}

/// Delivers a notice of the entry of the own failure domain that is first by address, stating whether
/// the store responds to it.
fn receive_near_notice(state: &EntryState, sequence: u64, reads_store: bool) {
    let from: SocketAddr = "10.0.0.0:7700".parse().expect("an address");
    let domain: DomainId = "z1".parse().expect("a name");
    let notice = PeerNotice {
        sequence,
        reads_store,
        ..PeerNotice::empty(from, PeerKind::Entry, DomainKey::from(&domain))
    };
    state.peers().receive(state.now(), notice);
}

/// The active reader of a failure domain is the first entry by address to which the store responds.
#[gtest]
#[tokio::test(start_paused = true)]
async fn the_active_role_passes_on_when_the_first_entry_loses_the_store() {
    let state = entry();
    expect_that!(state.role(), eq(ReaderRole::Active));
    receive_near_notice(&state, 1, true);
    expect_that!(state.role(), eq(ReaderRole::Standby));
    receive_near_notice(&state, 2, false);
    expect_that!(state.role(), eq(ReaderRole::Active));
    receive_near_notice(&state, 3, true);
    expect_that!(state.role(), eq(ReaderRole::Standby));
    // The first entry has stopped sending notices.
    tokio::time::sleep(Duration::from_secs(6)).await;
    state.refresh_loads();
    expect_that!(state.role(), eq(ReaderRole::Active));
}
