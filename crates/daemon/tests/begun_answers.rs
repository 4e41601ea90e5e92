//! Guards against streams that are cut off midway although every server is alive.
//!
//! While newer weights were wanted, an entry gave servers with older weights less time than the
//! request had left: only the time for which the older weights could still be used. The server
//! stopped at that limit in the middle of the stream. If no server had the newer weights yet, or
//! the stopped attempt was the second of two, the entry could only close the caller's connection.
//! With three versions published within one second and no other disturbance, 50 streams ended
//! within 0.2 s of each other, 7.7 s after the first version. The servers had used up the time they
//! were given (`served_ms` 2293 of `given_ms` 2417, `given_by` weights, `cause` no_server, `events`
//! 43) and could have continued.

mod support;

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use headlatch_core::direct::retry_share::RetryBudget;
use headlatch_daemon::direct::entry::DirectEntry;
use headlatch_outside::facts::{Fact, FactTopic};
use headlatch_types::traffic::{
    EngineCapacity, HeldModel, ServerRecord, ServicePlan, TargetWeights, TrafficPlan, WeightVersion,
};
use support::{
    TestHeaders, TestStore, agent::drain_notices_for_change, ask_with, paced::EventPace, plan,
    record, server::TestServer, settings,
};

const MODEL: &str = "m";

/// Time in which all servers switch to new weights.
const WEIGHTS_TIME: Duration = Duration::from_millis(2000);

fn engine_plan() -> TrafficPlan {
    let engine = EngineCapacity {
        slots: 4,
        step_ms: 7.0,
        stride: 7,
        read_per_second: 30_000.0,
        models: vec![MODEL.parse().expect("valid name")],
        ..EngineCapacity::default()
    };
    let service = ServicePlan { engine: Some(engine), ..ServicePlan::default() };
    TrafficPlan { services: [("s".into(), service)].into(), ..plan(5) }
}

fn engine(name: &str, server: &TestServer, zone: &str, version: u64) -> ServerRecord {
    let model = MODEL.parse().expect("valid name");
    let held = HeldModel { model, version: WeightVersion(version), layers: Vec::new() };
    ServerRecord { models: vec![held], ..record(name, server.address, zone) }
}

/// An entry in front of two engines.
struct Fixture {
    entry: DirectEntry,
    store: Arc<TestStore>,
    first: TestServer,
    second: TestServer,
}

impl Fixture {
    async fn new(first: EventPace, second: EventPace) -> Self {
        Self::with_plan(engine_plan(), first, second).await
    }

    async fn with_plan(plan: TrafficPlan, first: EventPace, second: EventPace) -> Self {
        let store = Arc::new(TestStore::default());
        let (first, second) = (TestServer::start(first).await, TestServer::start(second).await);
        store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan)));
        store.set(FactTopic::Servers, "i1", Fact::Server(engine("i1", &first, "z1", 1)));
        store.set(FactTopic::Servers, "i2", Fact::Server(engine("i2", &second, "z2", 1)));
        let mut settings = settings();
        settings.direct.weights_time = WEIGHTS_TIME;
        let entry = DirectEntry::start(settings, store.clone(), Arc::new(TestHeaders)).await;
        let entry = entry.expect("entry starts");
        while !entry.state.is_ready() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Self { entry, store, first, second }
    }

    /// Publishes a version of the weights and waits until the entry knows of it.
    async fn publish_version(&self, version: u64) {
        let model = MODEL.parse().expect("valid name");
        let wanted = TargetWeights { model, version: WeightVersion(version) };
        self.store.set(FactTopic::Weights, MODEL, Fact::Weights(wanted));
        let model = MODEL.parse().expect("valid name");
        while self.entry.state.weights().newest(&model) != Some(WeightVersion(version)) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Event ids that a caller receives, and whether the response was complete.
    async fn stream(&self) -> (Vec<u64>, bool) {
        let lines = [("x-key", "k"), ("x-model", MODEL), ("x-tokens", "140")];
        let answer = ask_with(self.entry.address, "/stream/x", &lines).await;
        let Ok(answer) = answer else { return (Vec::new(), false) };
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
        (ids.collect(), true)
    }
}

fn complete_stream() -> (Vec<u64>, bool) {
    ((1..=20).collect(), true)
}

/// The stream begins 1.2 s after newer weights were published and takes 1 s. By then servers with
/// older weights have only 0.4 s left, and no server has newer ones.
#[gtest]
#[tokio::test]
async fn a_stream_that_began_on_older_weights_is_served_to_its_end() {
    let pace = EventPace { gap: Duration::from_millis(50), ..EventPace::default() };
    let fixture = Fixture::new(pace, pace).await;
    fixture.publish_version(2).await;
    tokio::time::sleep(Duration::from_millis(1200)).await;
    expect_that!(fixture.stream().await, eq(&complete_stream()));
    let sends = fixture.first.seen().len() + fixture.second.seen().len();
    expect_that!(sends, eq(1), "no other server can continue the stream");
}

/// Starts a stream, lets the server's agent announce a change, and returns how many streams the
/// entry reports as kept there.
async fn kept_streams_reported(plan: TrafficPlan) -> u32 {
    let pace = EventPace { gap: Duration::from_millis(100), ..EventPace::default() };
    let fixture = Arc::new(Fixture::with_plan(plan, pace, pace).await);
    let asking = fixture.clone();
    let stream = tokio::spawn(async move { asking.stream().await });
    tokio::time::sleep(Duration::from_millis(400)).await;
    let drains = drain_notices_for_change(&fixture.entry.state, fixture.first.address).await;
    expect_that!(stream.await.expect("stream task ends"), eq(&complete_stream()));
    drains.iter().map(|drain| drain.unresumable).sum()
}

/// Only the report of an entry keeps an agent from a switch that cuts off running streams. Of 178
/// streams lost with two versions and no disturbance, 117 had an attempt left but no server with
/// room, and 37 had no attempt left.
#[gtest]
#[tokio::test]
async fn an_entry_tells_a_changing_server_which_streams_nobody_could_go_on_with() {
    expect_that!(kept_streams_reported(engine_plan()).await, eq(0));
    let mut plan = engine_plan();
    plan.routes.iter_mut().for_each(|route| route.max_attempts = 1);
    expect_that!(kept_streams_reported(plan).await, eq(1));
}

/// A plan whose streams wait 0.8 s for an event and 1.2 s for the response head before another
/// server is asked.
fn short_timeout_plan() -> TrafficPlan {
    let mut plan = engine_plan();
    for route in &mut plan.routes {
        route.objective_ms = 300;
        route.pause_objective_ms = 100;
    }
    plan
}

/// Silence for 1.5 s after the third event.
fn pause_after_third_event() -> EventPace {
    EventPace { pause: Some((3, Duration::from_millis(1500))), ..EventPace::default() }
}

/// An entry dropped a server that had been silent for 0.8 s before it asked whether another server
/// could continue the stream.
#[gtest]
#[tokio::test]
async fn a_pause_does_not_cut_a_stream_if_the_second_server_refuses_or_is_silent() {
    let refuses = EventPace { refuses: true, ..EventPace::default() };
    let silent = EventPace { head: Duration::from_secs(30), ..EventPace::default() };
    for second in [refuses, silent] {
        let fixture =
            Fixture::with_plan(short_timeout_plan(), pause_after_third_event(), second).await;
        expect_that!(fixture.stream().await, eq(&complete_stream()), "second: {second:?}");
        expect_that!(fixture.second.seen().len(), ge(1));
    }
}

#[gtest]
#[tokio::test]
async fn a_pause_costs_nothing_where_nobody_may_be_asked() {
    let late_head = EventPace { head: Duration::from_millis(1700), ..EventPace::default() };
    for first in [pause_after_third_event(), late_head] {
        let fixture = Fixture::with_plan(short_timeout_plan(), first, EventPace::default()).await;
        let budget = RetryBudget { ratio: 0.0, slack: 0.0, window: Duration::from_secs(10) };
        fixture.entry.state.retries().set_budget(budget);
        expect_that!(fixture.stream().await, eq(&complete_stream()), "first: {first:?}");
        expect_that!(fixture.second.seen(), is_empty());
    }
}

/// The first server to send the next event continues the stream; one that stays silent must not end
/// it.
#[gtest]
#[tokio::test]
async fn a_stream_goes_on_elsewhere_when_its_server_is_silent_for_good() {
    let silent = EventPace { pause: Some((3, Duration::from_secs(60))), ..EventPace::default() };
    let fixture = Fixture::with_plan(short_timeout_plan(), silent, EventPace::default()).await;
    expect_that!(fixture.stream().await, eq(&complete_stream()));
    let seen = fixture.second.seen();
    expect_that!(seen.len(), eq(1));
    expect_that!(seen[0], contains_substring("x-last: 3"));
}
