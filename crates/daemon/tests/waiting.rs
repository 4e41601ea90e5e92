//! An entry in front of one full engine: which requests wait for it, and how they leave the queue.

mod support;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use googletest::prelude::*;
use headlatch_core::direct::admission::urgency::UrgencyRank;
use headlatch_daemon::direct::{entry::DirectEntry, state::EntryState};
use headlatch_http::CallResponse;
use headlatch_outside::facts::{Fact, FactTopic};
use headlatch_types::traffic::{
    EngineCapacity, HeldModel, Route, RouteKind, ServerRecord, ServicePlan, TrafficPlan,
    WeightVersion,
};
use http::StatusCode;
use support::{
    TestHeaders, TestStore, ask_with, paced::EventPace, plan, record, route, server::TestServer,
    settings,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::Instant,
};

/// Slots of the engine.
const SLOTS: u32 = 4;

/// Requests that the engine gets at most: two more than its slots may queue there.
const ENGINE_LIMIT: usize = 6;

type Answer = std::result::Result<CallResponse, String>;

/// An entry in front of one engine, with a route for each rank.
struct Fixture {
    state: Arc<EntryState>,
    entry: DirectEntry,
    address: SocketAddr,
    engine: TestServer,
    store: Arc<TestStore>,
    model: HeldModel,
}

impl Fixture {
    /// Streams of the engine take 20 times `gap`.
    async fn new(gap: Duration) -> Self {
        Self::with_plan(gap, engine_plan(5)).await
    }

    async fn with_plan(gap: Duration, plan: TrafficPlan) -> Self {
        let engine = TestServer::start(EventPace { gap, ..EventPace::default() }).await;
        let model = "m".parse().expect("valid name");
        let model = HeldModel { model, version: WeightVersion(1), layers: Vec::new() };
        let store = Arc::new(TestStore::default());
        let mut own = settings();
        own.node.drain = Duration::from_secs(8);
        let state = EntryState::new(own, Arc::new(TestHeaders));
        let server =
            ServerRecord { models: vec![model.clone()], ..record("i1", engine.address, "z1") };
        store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan)));
        store.set(FactTopic::Servers, "i1", Fact::Server(server));
        let entry =
            DirectEntry::start_on(state.clone(), store.clone()).await.expect("entry starts");
        while !state.is_ready() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let address = entry.address;
        Self { state, entry, address, engine, store, model }
    }

    /// Sends a request to the route of a rank, or to the path as it is.
    fn ask(&self, path: &str, rank: Option<usize>) -> JoinHandle<Answer> {
        let address = self.address;
        let path = match rank {
            Some(rank) => path.replace("/stream/", &format!("/stream/rank-{rank}/")),
            None => path.to_owned(),
        };
        tokio::spawn(async move {
            ask_with(address, &path, &[("x-key", "k"), ("x-id", path.as_str())]).await
        })
    }

    /// Sends as many requests as the engine takes and returns once all have arrived there.
    async fn fill(&self) -> Vec<JoinHandle<Answer>> {
        let mut answers = Vec::new();
        for number in 0..ENGINE_LIMIT {
            answers.push(self.ask(&format!("/stream/fill-{number}"), None));
            until(|| self.engine.seen().len() == number + 1).await;
        }
        answers
    }

    async fn until_waiting(&self, count: usize) {
        until(|| self.state.waiting.count() == count).await;
    }

    fn outcomes(&self, rank: usize, outcome: &str) -> u64 {
        self.state.metrics.queue_outcomes("s", UrgencyRank::new(rank), outcome)
    }
}

/// Polls until `is_true`, for 5 s at most.
async fn until(is_true: impl Fn() -> bool) {
    let begun = Instant::now();
    while !is_true() {
        assert!(begun.elapsed() < Duration::from_secs(5), "the condition has not become true");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

fn engine_plan(version: u64) -> TrafficPlan {
    plan_with(version, [0, 1, 2, 3])
}

/// A plan whose routes `stream-0` to `stream-3` have these priorities; `brief` has that of `stream-1`, `stream`
/// that of `stream-3`.
fn plan_with(version: u64, priorities: [u8; 4]) -> TrafficPlan {
    let figures = EngineCapacity {
        slots: SLOTS,
        step_ms: 7.0,
        stride: 7,
        read_per_second: 30_000.0,
        usual_prompt: 300,
        usual_answer: 20,
        ..EngineCapacity::default()
    };
    let service = ServicePlan { engine: Some(figures), ..ServicePlan::default() };
    let mut routes: Vec<Route> = (0..)
        .zip(priorities)
        .map(|(nth, priority)| Route {
            path_prefix: format!("/stream/rank-{nth}/"),
            priority,
            ..route(&format!("stream-{nth}"), RouteKind::Stream)
        })
        .collect();
    routes.push(Route { priority: priorities[3], ..route("stream", RouteKind::Stream) });
    let brief = Route { objective_ms: 400, timeout_ms: 1500, ..route("brief", RouteKind::Stream) };
    routes.push(Route { priority: priorities[1], ..brief });
    TrafficPlan { services: [("s".into(), service)].into(), routes, ..plan(version) }
}

async fn answer(asked: JoinHandle<Answer>) -> CallResponse {
    asked.await.expect("task does not panic").expect("response")
}

fn retry_after(answer: &CallResponse) -> Option<f64> {
    answer.headers.get("retry-after")?.to_str().ok()?.parse().ok()
}

/// Guards against refusals while a slot becomes free within the objective.
#[gtest]
#[tokio::test]
async fn a_request_waits_for_a_freed_slot_and_is_served() {
    let fixture = Fixture::new(Duration::from_millis(30)).await;
    let filled = fixture.fill().await;
    let asked = fixture.ask("/stream/waits", Some(1));
    fixture.until_waiting(1).await;
    expect_that!(fixture.state.metrics.waiting("s", UrgencyRank::new(1)), eq(1));
    expect_that!(answer(asked).await.status, eq(StatusCode::OK));
    for one in filled {
        expect_that!(answer(one).await.status, eq(StatusCode::OK));
    }
    expect_that!(fixture.outcomes(1, "sent"), eq(1));
    expect_that!(fixture.state.metrics.waiting("s", UrgencyRank::new(1)), eq(0));
    expect_that!(fixture.state.waiting.count(), eq(0));
}

/// Guards against a queue for services that do not distinguish urgencies: they are served as before.
#[gtest]
#[tokio::test]
async fn a_request_without_urgency_is_refused_at_once_with_a_fixed_retry_after() {
    let fixture = Fixture::with_plan(Duration::from_millis(50), plan_with(5, [1; 4])).await;
    let _filled = fixture.fill().await;
    let begun = Instant::now();
    for number in 0..8 {
        let refused = answer(fixture.ask(&format!("/brief/{number}"), None)).await;
        expect_that!(refused.status, eq(StatusCode::SERVICE_UNAVAILABLE));
        expect_that!(retry_after(&refused), some(all![ge(0.7), le(1.7)]));
        let cause = String::from_utf8_lossy(&refused.body).into_owned();
        expect_that!(cause, any![eq("servers_full\n"), eq("load_shed\n")]);
    }
    expect_that!(begun.elapsed(), lt(Duration::from_millis(500)));
    expect_that!(fixture.engine.seen().len(), eq(ENGINE_LIMIT));
    expect_that!(
        fixture.state.metrics.text(),
        not(contains_substring("headlatch_queue_outcomes_total{"))
    );
}

/// Guards against a request that is not urgent being sent first because it came first.
#[gtest]
#[tokio::test]
async fn a_more_urgent_request_is_sent_first() {
    let fixture = Fixture::new(Duration::from_millis(30)).await;
    let filled = fixture.fill().await;
    let patient = fixture.ask("/stream/patient", Some(3));
    fixture.until_waiting(1).await;
    let urgent = fixture.ask("/stream/urgent", Some(0));
    fixture.until_waiting(2).await;
    for one in filled.into_iter().chain([patient, urgent]) {
        expect_that!(answer(one).await.status, eq(StatusCode::OK));
    }
    let seen = fixture.engine.seen();
    let place = |path: &str| seen.iter().position(|head| head.contains(path));
    expect_that!(place("/urgent"), some(lt(place("/patient").expect("it is sent"))));
}

/// Guards against waiting requests that are sent in the order of an earlier plan.
#[gtest]
#[tokio::test]
async fn a_plan_that_changes_priorities_changes_the_order_of_waiting_requests() {
    let fixture = Fixture::new(Duration::from_millis(60)).await;
    let filled = fixture.fill().await;
    let asked = [fixture.ask("/stream/patient", Some(0)), fixture.ask("/stream/urgent", Some(2))];
    fixture.until_waiting(2).await;
    let waiting = |rank| fixture.state.metrics.waiting("s", UrgencyRank::new(rank));
    expect_that!([0, 1, 2, 3].map(waiting), eq([1, 0, 1, 0]));
    let newer = plan_with(6, [3, 2, 1, 0]);
    fixture.store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(newer)));
    until(|| [0, 1, 2, 3].map(waiting) == [0, 1, 0, 1]).await;
    for one in filled.into_iter().chain(asked) {
        expect_that!(answer(one).await.status, eq(StatusCode::OK));
    }
    let seen = fixture.engine.seen();
    let place = |path: &str| seen.iter().position(|head| head.contains(path));
    expect_that!(place("/urgent"), some(lt(place("/patient").expect("it is sent"))));
    expect_that!([0, 1, 2, 3].map(waiting), eq([0; 4]));
}

/// Guards against tickets of callers that disconnect, and against sending their requests to an engine.
#[gtest]
#[tokio::test]
async fn a_caller_that_closes_its_connection_leaves_the_queue_at_once() {
    let fixture = Fixture::new(Duration::from_millis(60)).await;
    let filled = fixture.fill().await;
    let mut stream = TcpStream::connect(fixture.address).await.expect("entry listens");
    let head =
        "GET /stream/rank-1/gone HTTP/1.1\r\nhost: a.example\r\nx-key: k\r\nx-id: gone\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("connection is open");
    fixture.until_waiting(1).await;
    let closed = Instant::now();
    drop(stream);
    fixture.until_waiting(0).await;
    expect_that!(closed.elapsed(), lt(Duration::from_millis(300)));
    expect_that!(fixture.outcomes(1, "left"), eq(1));
    for one in filled {
        expect_that!(answer(one).await.status, eq(StatusCode::OK));
    }
    expect_that!(fixture.engine.seen().len(), eq(ENGINE_LIMIT));
}

/// Guards against a planned stop that cuts off waiting requests although there is time to serve them.
#[gtest]
#[tokio::test]
async fn a_planned_stop_serves_the_requests_that_wait() {
    // The engine is busy until after the entry has stopped to accept connections, 2.7 s after the request.
    let fixture = Fixture::new(Duration::from_millis(170)).await;
    let _filled = fixture.fill().await;
    let asked = fixture.ask("/stream/waits", Some(1));
    fixture.until_waiting(1).await;
    let state = fixture.state.clone();
    let stopped = tokio::spawn(fixture.entry.leave());
    expect_that!(answer(asked).await.status, eq(StatusCode::OK));
    stopped.await.expect("task does not panic");
    expect_that!(state.waiting.count(), eq(0));
    expect_that!(state.metrics.queue_outcomes("s", UrgencyRank::new(1), "sent"), eq(1));
}

/// Guards against requests held until their deadline, and against a time that callers do not honour.
#[gtest]
#[tokio::test]
async fn a_request_that_would_be_late_is_refused_with_the_retry_after_of_return_time() {
    let fixture = Fixture::new(Duration::from_millis(100)).await;
    let _filled = fixture.fill().await;
    let begun = Instant::now();
    let refused = answer(fixture.ask("/brief/late", None)).await;
    expect_that!(begun.elapsed(), lt(Duration::from_millis(800)));
    expect_that!(refused.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(String::from_utf8_lossy(&refused.body), eq("queue_late\n"));
    // At most a third of the 1.5 s that the route allows, less the time waited.
    expect_that!(retry_after(&refused), some(all![ge(0.1), le(0.5)]));
    expect_that!(fixture.outcomes(1, "late"), eq(1));
}

/// Guards against waiting requests that are sent although a newer plan would deny them.
#[gtest]
#[tokio::test]
async fn a_request_whose_route_is_removed_while_it_waits_is_denied() {
    let fixture = Fixture::new(Duration::from_millis(60)).await;
    let _filled = fixture.fill().await;
    let asked = fixture.ask("/stream/waits", Some(1));
    fixture.until_waiting(1).await;
    let newer = TrafficPlan { routes: Vec::new(), ..engine_plan(6) };
    fixture.store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(newer)));
    let denied = answer(asked).await;
    expect_that!(denied.status, eq(StatusCode::NOT_FOUND));
    expect_that!(retry_after(&denied), none());
    expect_that!(fixture.outcomes(1, "refused"), eq(1));
}

/// Guards against requests that wait for a server which has left.
#[gtest]
#[tokio::test]
async fn waiting_requests_are_refused_once_all_servers_leave() {
    let fixture = Fixture::new(Duration::from_millis(100)).await;
    let _filled = fixture.fill().await;
    let asked: Vec<_> =
        (0..3).map(|nth| fixture.ask(&format!("/stream/{nth}"), Some(nth))).collect();
    fixture.until_waiting(3).await;
    let models = vec![fixture.model.clone()];
    let server = record("i1", fixture.engine.address, "z1");
    let server = ServerRecord { models, draining: true, ..server };
    let begun = Instant::now();
    fixture.store.set(FactTopic::Servers, "i1", Fact::Server(server));
    for one in asked {
        let refused = answer(one).await;
        expect_that!(refused.status, eq(StatusCode::SERVICE_UNAVAILABLE));
        expect_that!(String::from_utf8_lossy(&refused.body), eq("no_server\n"));
        expect_that!(retry_after(&refused), some(all![ge(0.7), le(1.7)]));
    }
    expect_that!(begun.elapsed(), lt(Duration::from_millis(1500)));
}

/// Guards against requests that are refused one after the other, so that the last of many hold their callers for
/// long although no server is left.
#[gtest]
#[tokio::test]
async fn many_waiting_requests_are_refused_together_once_no_server_is_left() {
    let fixture = Fixture::new(Duration::from_millis(100)).await;
    let _filled = fixture.fill().await;
    let asked: Vec<_> =
        (0..100).map(|nth| fixture.ask(&format!("/stream/{nth}"), Some(1))).collect();
    fixture.until_waiting(100).await;
    let server = record("i1", fixture.engine.address, "z1");
    let models = vec![fixture.model.clone()];
    let server = ServerRecord { models, draining: true, ..server };
    let begun = Instant::now();
    fixture.store.set(FactTopic::Servers, "i1", Fact::Server(server));
    fixture.until_waiting(0).await;
    // One by one they take 5 ms each.
    expect_that!(begun.elapsed(), lt(Duration::from_millis(250)));
    for one in asked {
        let refused = answer(one).await;
        expect_that!(String::from_utf8_lossy(&refused.body), eq("no_server\n"));
    }
}

/// Guards against requests of a removed route that wait on behind others.
#[gtest]
#[tokio::test]
async fn many_waiting_requests_are_denied_together_once_their_route_is_removed() {
    let fixture = Fixture::new(Duration::from_millis(100)).await;
    let _filled = fixture.fill().await;
    let asked: Vec<_> =
        (0..100).map(|nth| fixture.ask(&format!("/stream/{nth}"), Some(1))).collect();
    fixture.until_waiting(100).await;
    let newer = TrafficPlan { routes: Vec::new(), ..engine_plan(6) };
    let begun = Instant::now();
    fixture.store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(newer)));
    fixture.until_waiting(0).await;
    expect_that!(begun.elapsed(), lt(Duration::from_millis(250)));
    for one in asked {
        expect_that!(answer(one).await.status, eq(StatusCode::NOT_FOUND));
    }
}

/// Guards against requests that may not wait any more because a server could not be connected.
#[gtest]
#[tokio::test]
async fn a_request_waits_after_an_attempt_that_sent_nothing() {
    let fixture = Fixture::new(Duration::from_millis(30)).await;
    let filled = fixture.fill().await;
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = closed.local_addr().expect("listener is bound");
    drop(closed);
    let server =
        ServerRecord { models: vec![fixture.model.clone()], ..record("i2", address, "z1") };
    fixture.store.set(FactTopic::Servers, "i2", Fact::Server(server));
    until(|| fixture.state.servers().records().count() == 2).await;
    let asked = fixture.ask("/stream/waits", Some(1));
    expect_that!(answer(asked).await.status, eq(StatusCode::OK));
    expect_that!(fixture.outcomes(1, "sent"), eq(1));
    for one in filled {
        expect_that!(answer(one).await.status, eq(StatusCode::OK));
    }
}
