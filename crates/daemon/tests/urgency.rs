//! Urgency of requests at an entry: what servers are told, what is counted, and which services it concerns.

mod support;

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use headlatch_core::direct::admission::urgency::UrgencyRank;
use headlatch_daemon::{direct::entry::DirectEntry, metrics::RequestStep};
use headlatch_outside::facts::{Fact, FactTopic};
use headlatch_types::traffic::{
    EngineCapacity, HeldModel, Route, RouteKind, ServerRecord, ServicePlan, Tenant, TrafficPlan,
    WeightVersion,
};
use http::StatusCode;
use support::{
    TestHeaders, TestStore, ask, header, paced::EventPace, plan, record, route, server::TestServer,
    settings,
};

/// Slots of the engine; two more requests may queue there.
const SLOTS: u32 = 4;

/// Number of concurrent requests.
const REQUESTS: usize = 40;

/// An entry in front of one engine whose streams take 0.4 s, with the routes `chat` and `batch`.
struct Fixture {
    entry: DirectEntry,
    store: Arc<TestStore>,
    engine: TestServer,
}

/// A plan in which the two routes have these priorities, with an organisation of priority 0 (key `first`) and
/// one without (key `k`).
fn plan_with(version: u64, chat: u8, batch: u8) -> TrafficPlan {
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
    let stream =
        |name, priority| Route { objective_ms: 500, priority, ..route(name, RouteKind::Stream) };
    let mut plan = plan(version);
    plan.services = [("s".into(), service)].into();
    plan.routes = vec![stream("chat", chat), stream("batch", batch)];
    let keys = vec!["first".to_owned()];
    plan.tenants.push(Tenant {
        name: "first".into(),
        keys,
        priority: Some(0),
        allowed_regions: Default::default(),
    });
    plan
}

impl Fixture {
    async fn new(plan: TrafficPlan) -> Self {
        let pace = EventPace { gap: Duration::from_millis(20), ..EventPace::default() };
        let engine = TestServer::start(pace).await;
        let model = "m".parse().expect("valid name");
        let held = HeldModel { model, version: WeightVersion(1), layers: Vec::new() };
        let server = ServerRecord { models: vec![held], ..record("i1", engine.address, "z1") };
        let store = Arc::new(TestStore::default());
        store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan)));
        store.set(FactTopic::Servers, "i1", Fact::Server(server));
        let entry = DirectEntry::start(settings(), store.clone(), Arc::new(TestHeaders)).await;
        let entry = entry.expect("entry starts");
        while !entry.state.is_ready() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Self { entry, store, engine }
    }

    /// Puts a newer plan in force.
    async fn set_plan(&self, plan: TrafficPlan) {
        let version = plan.version;
        self.store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan)));
        while self.entry.state.plan_version() < version {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Priority that the engine is told of a request; none if there is no such header.
    async fn told_priority(&self, path: &str, key: &str) -> Option<String> {
        let answer = ask(self.entry.address, path, key).await.expect("response");
        assert_eq!(answer.status, StatusCode::OK);
        let head = self.engine.seen().pop().expect("the engine was asked");
        header(&head, "x-priority").map(str::to_owned)
    }

    fn count(&self, rank: usize, step: RequestStep) -> u64 {
        self.entry.state.metrics.urgencies("s", UrgencyRank::new(rank), step)
    }
}

/// Guards against servers that order their waiting requests without knowing the urgency, or by another plan
/// than the one in force.
#[gtest]
#[tokio::test]
async fn servers_are_told_the_rank_under_the_plan_in_force() {
    let fixture = Fixture::new(plan_with(5, 0, 2)).await;
    expect_that!(fixture.told_priority("/chat/1", "first").await, some(eq("0")));
    expect_that!(fixture.told_priority("/batch/2", "first").await, some(eq("1")));
    expect_that!(fixture.told_priority("/chat/3", "k").await, some(eq("2")));
    expect_that!(fixture.told_priority("/batch/4", "k").await, some(eq("3")));
    fixture.set_plan(plan_with(6, 2, 0)).await;
    expect_that!(fixture.told_priority("/chat/5", "k").await, some(eq("3")));
    expect_that!(fixture.told_priority("/batch/6", "k").await, some(eq("2")));
    fixture.set_plan(plan_with(7, 1, 1)).await;
    expect_that!(fixture.told_priority("/chat/7", "first").await, none());
}

/// Guards against a header or metrics for services that do not distinguish urgencies: routes of one priority,
/// or no engines.
#[gtest]
#[tokio::test]
async fn services_without_urgency_are_served_as_before() {
    let mut plain = plan_with(5, 0, 2);
    plain.services.clear();
    for plan in [plan_with(5, 1, 1), plain] {
        let fixture = Fixture::new(plan).await;
        expect_that!(fixture.told_priority("/chat/1", "first").await, none());
        expect_that!(fixture.told_priority("/batch/2", "k").await, none());
        let text = fixture.entry.state.metrics.text();
        expect_that!(text, not(contains_substring("headlatch_requests_by_urgency_total{")));
    }
}

/// Guards against refused, timely and late requests that are not counted by rank.
#[gtest]
#[tokio::test]
async fn outcomes_are_counted_by_service_and_rank() {
    let fixture = Fixture::new(plan_with(5, 0, 2)).await;
    let address = fixture.entry.address;
    let asking = (0..REQUESTS).map(|nth| {
        let path = format!("/{}/{nth}", ["chat", "batch"][nth % 2]);
        tokio::spawn(async move { ask(address, &path, "k").await.expect("response").status })
    });
    let mut refused = [0, 0];
    for (nth, one) in asking.collect::<Vec<_>>().into_iter().enumerate() {
        let status = one.await.expect("task does not panic");
        refused[nth % 2] += u64::from(status == StatusCode::SERVICE_UNAVAILABLE);
    }
    expect_that!(refused[0] + refused[1], ge(1));
    // The organisation with the key `k` has no priority; the other one has the ranks 0 and 1.
    for (rank, refused) in [(2, refused[0]), (3, refused[1])] {
        expect_that!(fixture.count(rank, RequestStep::Refused), eq(refused));
        let served =
            fixture.count(rank, RequestStep::InTime) + fixture.count(rank, RequestStep::Late);
        expect_that!(served, eq(REQUESTS as u64 / 2 - refused));
    }
    expect_that!(fixture.count(0, RequestStep::Refused), eq(0));
}
