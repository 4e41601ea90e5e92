//! Guards against half an answer that is passed on as whole, because the process that accepts connections
//! at its server's address is another one.

mod support;

use std::{net::SocketAddr, sync::Arc, thread, time::Duration};

use googletest::prelude::*;
use headlatch_daemon::direct::entry::DirectEntry;
use headlatch_http::CallResponse;
use headlatch_outside::facts::{Fact, FactTopic};
use headlatch_types::traffic::{Route, RouteKind, ServicePlan, TrafficPlan};
use http::StatusCode;
use rstest::rstest;
use support::{
    TestHeaders, TestStore, ask,
    cut_path::CutPath,
    instance::{HealthPace, InstancePace, InstanceServer, body_of},
    plan, record, route, settings,
};
use tokio::runtime::{Builder, Runtime};

const SLOW_HEALTH: HealthPace = HealthPace::Slow(Duration::from_millis(700));

/// Halves that arrive 1.2 s apart.
const HALVES: InstancePace = InstancePace {
    head: Duration::ZERO,
    pause: Duration::from_millis(1200),
    health: HealthPace::Free,
    has_length: false,
    names_itself: true,
};

/// A body that arrives at once, after 0.5 s of work.
const LATE_BURST: InstancePace = InstancePace {
    head: Duration::from_millis(500),
    pause: Duration::ZERO,
    health: HealthPace::Free,
    has_length: false,
    names_itself: true,
};

const PATHS: [&str; 3] = ["/once/x", "/safe/x", "/final/x"];

fn checked_plan() -> TrafficPlan {
    let health_path = Some("/health".parse().expect("a path"));
    let mut plan = plan(5);
    plan.routes.push(Route { resumable: false, ..route("final", RouteKind::Stream) });
    plan.services = [("s".into(), ServicePlan { health_path, ..ServicePlan::default() })].into();
    plan
}

/// An entry in a thread of its own, which can be frozen, in front of one server.
struct Fixture {
    machine: Runtime,
    entry: DirectEntry,
    server: InstanceServer,
}

impl Fixture {
    fn new(pace: InstancePace) -> Self {
        Self::with_path(pace, |server| server)
    }

    /// As [`Self::new`], with the server listed at the address that `path_to` returns.
    fn with_path(pace: InstancePace, path_to: impl FnOnce(SocketAddr) -> SocketAddr) -> Self {
        let free = "127.0.0.1:0".parse().expect("an address");
        let server = InstanceServer::start("i1", free, pace);
        let store = Arc::new(TestStore::default());
        store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(checked_plan())));
        let listed = path_to(server.address);
        store.set(FactTopic::Servers, "i1", Fact::Server(record("i1", listed, "z1")));
        let machine = Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let machine = machine.expect("a runtime");
        let entry = machine.block_on(async move {
            let entry = DirectEntry::start(settings(), store, Arc::new(TestHeaders)).await;
            let entry = entry.expect("entry starts");
            while !entry.state.is_ready() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            entry
        });
        Self { machine, entry, server }
    }

    /// Blocks the only thread of the entry.
    fn freeze(&self, time: Duration) {
        self.machine.spawn(async move { thread::sleep(time) });
    }

    /// Freezes the entry, and meanwhile replaces the server by another process.
    fn replace_server_unnoticed(&mut self, pace: InstancePace) -> InstanceServer {
        self.freeze(Duration::from_millis(600));
        thread::sleep(Duration::from_millis(100));
        self.server.crash();
        thread::sleep(Duration::from_millis(200));
        InstanceServer::start("i2", self.server.address, pace)
    }

    fn ask(&self, path: &'static str) -> thread::JoinHandle<Result<CallResponse, String>> {
        let address = self.entry.address;
        thread::spawn(move || {
            let caller = Builder::new_current_thread().enable_all().build().expect("a runtime");
            caller.block_on(ask(address, path, "k"))
        })
    }
}

fn is_whole(answer: &Result<CallResponse, String>) -> bool {
    let has_all = |answer: &CallResponse| answer.body == body_of("r1").as_bytes();
    answer.as_ref().is_ok_and(|answer| answer.status == StatusCode::OK && has_all(answer))
}

fn is_cut(answer: &Result<CallResponse, String>) -> bool {
    answer.as_ref().is_ok_and(|answer| answer.status == StatusCode::OK) && !is_whole(answer)
}

/// Half of an answer was passed on as whole.
#[rstest]
#[case::frozen_between_the_halves(HALVES, 150)]
#[case::frozen_before_the_head(InstancePace { head: Duration::from_millis(60), ..HALVES }, 20)]
#[case::frozen_in_a_long_pause(HALVES, 400)]
#[case::replaced_by_a_busy_server(InstancePace { health: HealthPace::Busy, ..HALVES }, 150)]
#[case::replaced_by_a_slow_server(InstancePace { health: SLOW_HEALTH, ..HALVES }, 150)]
#[case::named_by_health_checks(InstancePace { names_itself: false, ..HALVES }, 150)]
#[case::named_by_slow_health_checks(InstancePace { names_itself: false, health: SLOW_HEALTH, ..HALVES }, 150)]
#[case::not_named(InstancePace { names_itself: false, health: HealthPace::Busy, ..HALVES }, 150)]
fn half_an_answer_of_a_replaced_server_is_not_passed_on(
    #[case] pace: InstancePace,
    #[case] frozen_after_ms: u64,
) {
    let mut fixture = Fixture::new(pace);
    let asked = PATHS.map(|path| (path, fixture.ask(path)));
    thread::sleep(Duration::from_millis(frozen_after_ms));
    let _other = fixture.replace_server_unnoticed(pace);
    for (path, asked) in asked {
        let answer = asked.join().expect("the caller ends");
        assert_that!(is_cut(&answer), eq(false), "{path}: {answer:?}");
    }
}

/// The same without a suspension: the path to the server was cut while it was replaced.
#[rstest]
#[case::soon_after_the_first_half(50)]
#[case::in_a_long_pause(400)]
fn half_an_answer_behind_a_cut_path_is_not_passed_on(#[case] cut_after_ms: u64) {
    let mut path = None;
    let mut fixture = Fixture::with_path(HALVES, |server| path.insert(CutPath::to(server)).address);
    let path = path.expect("it was made");
    let asked = PATHS.map(|path| (path, fixture.ask(path)));
    thread::sleep(Duration::from_millis(cut_after_ms));
    path.cut();
    fixture.server.crash();
    thread::sleep(Duration::from_millis(300));
    let _other = InstanceServer::start("i2", fixture.server.address, HALVES);
    path.restore();
    for (path, asked) in asked {
        let answer = asked.join().expect("the caller ends");
        assert_that!(is_cut(&answer), eq(false), "{path}: {answer:?}");
    }
}

/// A check that a busy server fails would cut whole answers.
#[rstest]
#[case::free(HALVES)]
#[case::busy(InstancePace { health: HealthPace::Busy, ..HALVES })]
#[case::slow(InstancePace { health: SLOW_HEALTH, ..HALVES })]
#[case::named_by_slow_health_checks(InstancePace { names_itself: false, health: SLOW_HEALTH, ..HALVES })]
#[case::free_late(LATE_BURST)]
#[case::busy_late(InstancePace { health: HealthPace::Busy, ..LATE_BURST })]
#[case::slow_late(InstancePace { health: SLOW_HEALTH, ..LATE_BURST })]
fn whole_answers_of_a_busy_server_are_passed_on(#[case] pace: InstancePace) {
    let fixture = Fixture::new(pace);
    let asked = PATHS.map(|path| (path, fixture.ask(path)));
    for (path, asked) in asked {
        let answer = asked.join().expect("the caller ends");
        assert_that!(is_whole(&answer), eq(true), "{path}: {answer:?}");
    }
}

/// Answers without long pauses must not cost requests to their servers.
#[test]
fn servers_of_fast_answers_are_not_asked() {
    let pace = InstancePace { pause: Duration::from_millis(20), ..HALVES };
    let fixture = Fixture::new(pace);
    let asked = PATHS.map(|path| (path, fixture.ask(path)));
    for (path, asked) in asked {
        assert_that!(is_whole(&asked.join().expect("the caller ends")), eq(true), "{path}");
    }
    let metrics = &fixture.entry.state.metrics;
    assert_that!(metrics.liveness_checks("answer_end", false, "alive"), eq(3));
}

/// A server that crashed under a request and was back counted as alive, and its end was not counted
/// against the request.
#[test]
fn server_that_is_replaced_under_a_request_counts_as_ended() {
    let pace = InstancePace { has_length: true, ..HALVES };
    let mut fixture = Fixture::new(pace);
    let asked = fixture.ask("/once/x");
    thread::sleep(Duration::from_millis(150));
    let _other = fixture.replace_server_unnoticed(pace);
    assert_that!(is_whole(&asked.join().expect("the caller ends")), eq(false));
    assert_that!(fixture.entry.state.metrics.liveness_checks("break", true, "replaced"), eq(1));
}
