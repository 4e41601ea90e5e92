//! Suspension of the machine for several seconds. The monotonic clock excludes that time, so an
//! entry relying on it underestimates the age of facts and overestimates the time left for requests.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use googletest::prelude::*;
use headlatch_core::time::Moment;
use headlatch_daemon::{
    direct::{entry::DirectEntry, state::EntryState},
    timer::{KernelSuspendClock, NodeClock, SuspendSource, SystemTimer, TimerService},
};
use headlatch_outside::facts::{Fact, FactTopic, NamedFact};
use headlatch_types::{reading::FieldIssues, store::StoreRevision, traffic::PlanVersion};
use support::{TestHeaders, TestStore, plan, settings};

/// Suspended time set by a test, in milliseconds.
#[derive(Debug, Clone, Default)]
struct TestSuspendSource(Arc<AtomicU64>);

impl TestSuspendSource {
    fn suspend(&self, millis: u64) {
        self.0.fetch_add(millis, Ordering::Relaxed);
    }
}

impl SuspendSource for TestSuspendSource {
    fn suspended(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Relaxed))
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn clock_includes_suspended_time() {
    let source = TestSuspendSource::default();
    let clock = NodeClock::new(Box::new(source.clone()));
    tokio::time::advance(Duration::from_secs(1)).await;
    expect_that!(clock.now(), eq(Moment::from_micros(1_000_000)));
    source.suspend(10_000);
    tokio::time::advance(Duration::from_millis(10)).await;
    expect_that!(clock.now(), eq(Moment::from_micros(11_010_000)));
    expect_that!(clock.suspended(), eq(Duration::from_secs(10)));
}

/// The time sent with ticks includes suspended time.
#[gtest]
#[tokio::test(start_paused = true)]
async fn ticks_include_suspended_time() {
    let source = TestSuspendSource::default();
    let timer = SystemTimer::with_suspend_source(Box::new(source.clone()));
    let mut ticks = timer.subscribe(Duration::from_millis(100));
    let before = ticks.next().await.expect("a tick");
    source.suspend(5000);
    tokio::time::advance(Duration::from_millis(100)).await;
    let after = ticks.next().await.expect("a tick");
    expect_that!(after.since(before), ge(Duration::from_millis(5100)));
    expect_that!(timer.now(), ge(after));
}

#[gtest]
fn kernel_clock_reports_no_suspension_without_one() {
    let kernel = KernelSuspendClock::default();
    std::thread::sleep(Duration::from_millis(50));
    expect_that!(kernel.suspended(), lt(Duration::from_millis(20)));
}

/// After a suspension of ten seconds the entry must age its facts by that time and list everything
/// again, since it may have missed change notifications.
#[gtest]
#[tokio::test(start_paused = true)]
async fn entry_ages_and_relists_its_facts_after_suspension() {
    let source = TestSuspendSource::default();
    let clock = NodeClock::new(Box::new(source.clone()));
    let state = EntryState::with_clock(settings(), Arc::new(TestHeaders), clock);
    let store = Arc::new(TestStore::default());
    store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan(5))));
    let entry =
        DirectEntry::start_on(state.clone(), store.clone()).await.expect("the entry starts");
    while state.routes().is_none() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let newer = NamedFact {
        name: "main".to_owned(),
        revision: StoreRevision::from_wire(2),
        fact: Ok(Fact::Plan(Box::new(plan(6)))),
        field_issues: FieldIssues::default(),
    };
    store.replace_silently(FactTopic::Plan, newer);
    source.suspend(10_000);
    tokio::time::sleep(Duration::from_millis(6)).await;
    let age = state.plan.age().age(state.now());
    expect_that!(age, some(ge(Duration::from_secs(10))));
    tokio::time::sleep(Duration::from_millis(400)).await;
    expect_that!(state.plan_version(), eq(PlanVersion(6)));
    drop(entry);
}
