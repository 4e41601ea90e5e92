//! An entry in front of one full engine: which requests it sheds, what it counts, and when shedding
//! ends.

mod support;

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use headlatch_core::direct::size_class::SizeClass;
use headlatch_daemon::{direct::entry::DirectEntry, metrics::RequestStep};
use headlatch_outside::facts::{Fact, FactTopic};
use headlatch_types::traffic::{
    EngineCapacity, HeldModel, Route, RouteKind, ServerRecord, ServicePlan, TrafficPlan,
    WeightVersion,
};
use http::StatusCode;
use support::{
    TestHeaders, TestStore, ask, paced::EventPace, plan, record, route, server::TestServer,
    settings,
};

/// Slots of the engine; two more requests may queue there.
const SLOTS: u32 = 4;

/// Number of concurrent requests.
const REQUESTS: u64 = 40;

/// An entry in front of one engine whose streams take 1 s.
struct Fixture {
    entry: DirectEntry,
    /// Keeps the engine running.
    _engine: TestServer,
}

impl Fixture {
    async fn new() -> Self {
        let figures = EngineCapacity {
            slots: SLOTS,
            step_ms: 7.0,
            stride: 7,
            read_per_second: 30_000.0,
            usual_prompt: 300,
            usual_answer: 100,
            ..EngineCapacity::default()
        };
        let service = ServicePlan { engine: Some(figures), ..ServicePlan::default() };
        let stream = Route { objective_ms: 500, ..route("stream", RouteKind::Stream) };
        let services = [("s".into(), service)].into();
        let plan = TrafficPlan { services, routes: vec![stream], ..plan(5) };
        let pace = EventPace { gap: Duration::from_millis(50), ..EventPace::default() };
        let engine = TestServer::start(pace).await;
        let model = "m".parse().expect("valid name");
        let held = HeldModel { model, version: WeightVersion(1), layers: Vec::new() };
        let server = ServerRecord { models: vec![held], ..record("i1", engine.address, "z1") };
        let store = Arc::new(TestStore::default());
        store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan)));
        store.set(FactTopic::Servers, "i1", Fact::Server(server));
        let entry = DirectEntry::start(settings(), store, Arc::new(TestHeaders)).await;
        let entry = entry.expect("entry starts");
        while !entry.state.is_ready() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Self { entry, _engine: engine }
    }

    /// Statuses of concurrent requests with distinct contents.
    async fn ask_concurrently(&self) -> Vec<StatusCode> {
        let address = self.entry.address;
        let asking = (0..REQUESTS).map(|nth| {
            tokio::spawn(async move {
                let answer = ask(address, &format!("/stream/{nth}"), "k").await;
                answer.expect("response").status
            })
        });
        let mut statuses = Vec::new();
        for one in asking.collect::<Vec<_>>() {
            statuses.push(one.await.expect("task does not panic"));
        }
        statuses
    }

    /// Number of requests of any size that reached this step.
    fn step_count(&self, step: RequestStep) -> u64 {
        let metrics = &self.entry.state.metrics;
        SizeClass::ALL.iter().map(|size| metrics.steps("stream", *size, step)).sum()
    }
}

#[gtest]
#[tokio::test]
async fn a_full_engine_sheds_excess_requests_and_all_steps_are_counted() {
    let fixture = Fixture::new().await;
    let statuses = fixture.ask_concurrently().await;
    let served = statuses.iter().filter(|status| **status == StatusCode::OK).count() as u64;
    let refused =
        statuses.iter().filter(|status| **status == StatusCode::SERVICE_UNAVAILABLE).count() as u64;
    expect_that!(served + refused, eq(REQUESTS));
    expect_that!(served, all![ge(1), le(u64::from(SLOTS) + 2)]);
    expect_that!(fixture.step_count(RequestStep::Received), eq(REQUESTS));
    expect_that!(fixture.step_count(RequestStep::Admitted), eq(served));
    expect_that!(fixture.step_count(RequestStep::Refused), eq(refused));
    let answered = fixture.step_count(RequestStep::InTime) + fixture.step_count(RequestStep::Late);
    expect_that!(answered, eq(served));
    let text = fixture.entry.state.metrics.text();
    expect_that!(text, contains_substring("headlatch_requests_by_size_total{"));
}

#[gtest]
#[tokio::test]
async fn requests_are_admitted_again_once_the_engine_is_free() {
    let fixture = Fixture::new().await;
    fixture.ask_concurrently().await;
    // All streams have ended; the shedding of a moment ago must not continue.
    for nth in 0..3 {
        let answer = ask(fixture.entry.address, &format!("/stream/later-{nth}"), "k").await;
        expect_that!(answer.expect("response").status, eq(StatusCode::OK), "{nth}");
    }
}
