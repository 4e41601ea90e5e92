//! Requests that are in progress at the end of a planned stop of an entry. Guards against closing their connections
//! without an answer, and against sending requests that can't end before the entry does.

mod support;

use std::{collections::HashSet, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use headlatch_daemon::direct::entry::DirectEntry;
use headlatch_http::{ConnectionChoice, Connections};
use headlatch_outside::facts::{Fact, FactTopic};
use headlatch_types::{
    RunVerdict,
    traffic::{Route, RouteKind, ServerRecord},
};
use http::{HeaderMap, Method, StatusCode};
use http_body_util::BodyExt;
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;
use support::{
    TestHeaders, TestStore, header, record, route,
    server::{Responder, TestServer},
    settings,
    two_servers::plan_with_live_streams,
};
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    runtime::Runtime,
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

/// Grace period of the entries under test.
const GRACE: Duration = Duration::from_secs(5);

/// Works for as many milliseconds as the path says: `/once/250`.
#[derive(Debug, Clone, Copy)]
struct WorkingServer;

impl Responder for WorkingServer {
    async fn answer(&self, stream: &mut TcpStream, head: &str) -> std::io::Result<()> {
        let path = head.split(' ').nth(1).unwrap_or_default();
        let work = path.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
        sleep(Duration::from_millis(work)).await;
        let id = header(head, "x-id").unwrap_or_default();
        let body = "id: 1\ndata: piece\n\n";
        let length = body.len();
        let text = format!(
            "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\ncontent-length: {length}\r\n\r\n{body}"
        );
        stream.write_all(text.as_bytes()).await
    }
}

/// An entry in a runtime of its own, which ends with it as a process would.
struct Fixture {
    runtime: Runtime,
    entry: DirectEntry,
    address: SocketAddr,
    servers: [TestServer; 2],
}

impl Fixture {
    async fn new() -> Self {
        let store = Arc::new(TestStore::default());
        let mut plan = plan_with_live_streams();
        plan.routes.push(Route { timeout_ms: 1000, ..route("brief", RouteKind::Once) });
        store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan)));
        let servers =
            [TestServer::start(WorkingServer).await, TestServer::start(WorkingServer).await];
        for (name, server) in ["i1", "i2"].into_iter().zip(&servers) {
            let record = ServerRecord { slots: 64, ..record(name, server.address, "z1") };
            store.set(FactTopic::Servers, name, Fact::Server(record));
        }
        let mut settings = settings();
        settings.node.drain = GRACE;
        let runtime = Runtime::new().expect("a runtime");
        let start = DirectEntry::start(settings, store, Arc::new(TestHeaders));
        let entry = runtime.spawn(start).await.expect("no panic").expect("entry starts");
        while !entry.state.is_ready() {
            sleep(Duration::from_millis(5)).await;
        }
        let address = entry.address;
        Self { runtime, entry, address, servers }
    }

    fn sends(&self) -> usize {
        self.servers.iter().map(|server| server.seen().len()).sum()
    }

    /// Stops the entry, and then ends its process.
    async fn stop(self) {
        self.runtime.spawn(self.entry.leave()).await.expect("no panic");
        self.runtime.shutdown_background();
    }
}

/// What a caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Outcome {
    Answer {
        status: StatusCode,
        has_retry_after: bool,
    },
    /// The connection could not be opened, or was closed before the request was sent.
    NotSent,
    /// The connection was closed without a complete answer.
    Closed(String),
}

impl Outcome {
    fn is_answer(&self, status: StatusCode) -> bool {
        matches!(self, Self::Answer { status: got, .. } if *got == status)
    }
}

/// A caller that keeps its connection.
struct Caller {
    address: SocketAddr,
    connections: Connections,
}

impl Caller {
    fn new(address: SocketAddr) -> Self {
        Self { address, connections: Connections::default() }
    }

    async fn ask(&self, path: &str, id: &str) -> Outcome {
        let choice = ConnectionChoice::Kept;
        let opened = self.connections.get(self.address, choice, Duration::from_secs(1)).await;
        let Ok((mut connection, _)) = opened else { return Outcome::NotSent };
        let mut headers = HeaderMap::new();
        for (name, value) in [("x-id", id), ("x-key", "k"), ("host", "a.example")] {
            headers.insert(name, value.parse().expect("a value"));
        }
        let uri = path.parse().expect("a path");
        let answer = match connection.send(Method::GET, uri, headers, Bytes::new()).await {
            Ok(answer) => answer,
            Err(error) if error.verdict == RunVerdict::NotRun => {
                return Outcome::NotSent;
            }
            Err(error) => return Outcome::Closed(error.message),
        };
        let (status, has_retry_after) =
            (answer.status(), answer.headers().contains_key("retry-after"));
        match answer.into_body().collect().await {
            Ok(_) => {
                self.connections.release(connection);
                Outcome::Answer { status, has_retry_after }
            }
            Err(error) => Outcome::Closed(error.to_string()),
        }
    }
}

#[rstest]
#[tokio::test]
async fn requests_in_progress_at_the_end_of_a_stop_are_answered(
    #[values("/once/60000", "/live/60000", "/safe/60000", "/stream/60000")] path: &'static str,
) {
    let fixture = Fixture::new().await;
    let mut asked = JoinSet::new();
    for number in 0..24 {
        let caller = Caller::new(fixture.address);
        asked.spawn(async move { caller.ask(path, &format!("r{number}")).await });
    }
    while fixture.sends() < 24 {
        sleep(Duration::from_millis(5)).await;
    }
    let begun = Instant::now();
    fixture.stop().await;
    assert!(begun.elapsed() < GRACE, "after {:?}", begun.elapsed());
    for outcome in asked.join_all().await {
        // It may have run, so that the answer must promise nothing.
        assert!(outcome.is_answer(StatusCode::BAD_GATEWAY), "{outcome:?}");
    }
}

/// Requests come on kept connections until the entry is gone.
#[tokio::test]
async fn a_request_that_cannot_end_before_its_entry_is_refused_when_it_comes() {
    let fixture = Fixture::new().await;
    let address = fixture.address;
    let callers = [(); 4].map(|()| Caller::new(address));
    for caller in &callers {
        assert!(caller.ask("/once/0", "first").await.is_answer(StatusCode::OK));
    }
    let sends = fixture.sends();
    let Fixture { runtime, entry, servers, .. } = fixture;
    let leaving = runtime.spawn(entry.leave());
    sleep(Duration::from_millis(300)).await;
    // The time limit of these routes is 15 s, later than the end of the entry.
    let [once, live, brief, safe] = &callers;
    for (caller, path) in [(once, "/once/0"), (live, "/live/0")] {
        let begun = Instant::now();
        let outcome = caller.ask(path, "r").await;
        let refused =
            Outcome::Answer { status: StatusCode::SERVICE_UNAVAILABLE, has_retry_after: true };
        assert_eq!(outcome, refused, "{path}");
        assert!(begun.elapsed() < Duration::from_millis(200));
    }
    let now_sent = || servers.iter().map(|server| server.seen().len()).sum::<usize>();
    assert_eq!(now_sent(), sends, "a refused request is not sent");
    // One that ends in time is served, and so is one that callers may repeat.
    assert!(brief.ask("/brief/100", "r").await.is_answer(StatusCode::OK));
    assert!(safe.ask("/safe/100", "r").await.is_answer(StatusCode::OK));
    leaving.await.expect("the entry stops");
    runtime.shutdown_background();
}

/// Time after the beginning of a stop before which an entry closes no connection of its own accord.
const LAST_ACCEPTED: Duration = Duration::from_millis(2650);

/// A request whose connection was closed without an answer.
#[derive(Debug)]
#[allow(dead_code)]
struct ClosedRequest {
    id: String,
    path: String,
    /// Since the beginning of the play.
    sent: Duration,
    error: String,
}

/// Plays a stop beside callers that keep asking on open connections, with work of 0.3 to 5.7 s, until the entry is
/// gone. Returns what was closed without an answer, and how many requests got one.
async fn play_stop(seed: u64) -> (Vec<String>, usize) {
    let mut random = StdRng::seed_from_u64(seed);
    let fixture = Fixture::new().await;
    let address = fixture.address;
    let begun = Instant::now();
    let stop_at = begun + Duration::from_millis(random.random_range(0..600));
    let mut callers = JoinSet::new();
    for number in 0..24 {
        let mut random = StdRng::seed_from_u64(seed * 1000 + number);
        callers.spawn(async move {
            let caller = Caller::new(address);
            let (mut closed, mut answered) = (Vec::new(), 0);
            for round in 0.. {
                let kind = ["once", "live", "safe", "stream", "brief"][random.random_range(0..5)];
                let work = match random.random_bool(0.5) {
                    true => random.random_range(0..300),
                    false => random.random_range(300..5700),
                };
                let (path, id) = (format!("/{kind}/{work}"), format!("r{number}-{round}"));
                let sent = begun.elapsed();
                match caller.ask(&path, &id).await {
                    Outcome::Answer { .. } => answered += 1,
                    Outcome::NotSent => return (closed, answered),
                    Outcome::Closed(error) => closed.push(ClosedRequest { id, path, sent, error }),
                }
                sleep(Duration::from_millis(random.random_range(0..100))).await;
                if begun.elapsed() > 2 * GRACE {
                    return (closed, answered);
                }
            }
            (closed, answered)
        });
    }
    sleep_until(stop_at).await;
    let Fixture { runtime, entry, servers, .. } = fixture;
    runtime.spawn(entry.leave()).await.expect("no panic");
    runtime.shutdown_background();
    let played = callers.join_all().await;
    let answered = played.iter().map(|(_, answered)| answered).sum();
    let seen: HashSet<String> = servers.iter().flat_map(ids_seen).collect();
    let last = stop_at - begun + LAST_ACCEPTED;
    let closed = played.into_iter().flat_map(|(closed, _)| closed);
    // A request that crosses the close of its connection and that no server has seen is not lost: it may be sent again.
    let lost = closed.filter(|one| one.sent < last || seen.contains(&one.id));
    let lost = lost.map(|one| format!("seed {seed}, last at {last:?}: {one:?}")).collect();
    (lost, answered)
}

fn ids_seen(server: &TestServer) -> Vec<String> {
    let seen = server.seen();
    seen.iter().filter_map(|head| header(head, "x-id")).map(str::to_owned).collect()
}

async fn assert_stops_hold(seeds: impl Iterator<Item = u64>) {
    let mut plays = JoinSet::new();
    for seed in seeds {
        plays.spawn(play_stop(seed));
    }
    for (closed, answered) in plays.join_all().await {
        assert!(closed.is_empty(), "{closed:#?}");
        assert!(answered >= 24, "{answered} answers");
    }
}

#[tokio::test]
async fn a_stop_closes_no_connection_without_an_answer() {
    assert_stops_hold(1..=6).await;
}

/// By hand: `cargo test -p headlatch-daemon --test planned_stops -- --ignored`.
#[tokio::test]
#[ignore = "takes minutes"]
async fn fifty_stops_close_no_connection_without_an_answer() {
    for first in (100..150).step_by(10) {
        assert_stops_hold(first..first + 10).await;
    }
}
