//! Guards against one caller's request that crashes every server that starts to run it, so that
//! callers of harmless requests lose their answers too.
//!
//! Attempts and retries were counted per request and per entry. The same content arrived again
//! under a new id, at any entry, and started with a full set of attempts: it crashed one server,
//! the stream was continued on a second one, and that crashed as well. Servers were back some
//! seconds later and were selected again. This went on for 40 s, and 55 servers crashed because of
//! one content. The log of one such request shows two attempts that end `Broken` with 0 events
//! after 102 and 110 ms, then `stream_cut` with cause `attempts_used`; other requests fail with
//! `not_connected` (connection refused) and `servers_full`.

mod support;

use std::{
    sync::Arc,
    time::{Duration, SystemTime},
};

use googletest::prelude::*;
use headlatch_core::direct::request_digest::{RequestContent, RequestDigests};
use headlatch_daemon::direct::{
    entry::DirectEntry,
    quarantine::{QuarantineList, QuarantineNotices},
};
use headlatch_http::{CallRequest, CallResponse, CallTarget, Connections};
use headlatch_outside::{
    facts::{Fact, FactTopic},
    quarantine::{QuarantineEntry, UnixMillis},
};
use headlatch_types::{
    request::{QuarantineKey, RequestDigest},
    traffic::ServerRecord,
};
use http::{HeaderMap, Method, StatusCode};
use support::{
    TestHeaders, TestStore, ask_with, kept::KeptList, mortal::MortalServer, paced::EventPace, plan,
    record, settings,
};

/// An entry in front of servers that a harmful request crashes.
struct Fixture {
    entry: DirectEntry,
    servers: Vec<MortalServer>,
    store: Arc<TestStore>,
}

impl Fixture {
    async fn new(count: usize) -> Self {
        Self::with_quarantines(count, Arc::default()).await
    }

    async fn with_quarantines(count: usize, kept: Arc<KeptList>) -> Self {
        Self::with_pace(count, kept, EventPace::default()).await
    }

    async fn with_pace(count: usize, kept: Arc<KeptList>, pace: EventPace) -> Self {
        let store = Arc::new(TestStore::default());
        store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan(5))));
        let mut servers = Vec::new();
        for number in 0..count {
            let server = MortalServer::start(pace).await;
            let name = format!("i{number}");
            let fact = Fact::Server(record(&name, server.address, "z1"));
            store.set(FactTopic::Servers, &name, fact);
            servers.push(server);
        }
        let headers = Arc::new(TestHeaders);
        let entry =
            DirectEntry::start_with_quarantines(settings(), store.clone(), headers, kept).await;
        let entry = entry.expect("entry starts");
        while !entry.state.is_ready() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Self { entry, servers, store }
    }

    async fn ask(&self, path: &str) -> std::result::Result<CallResponse, String> {
        ask_with(self.entry.address, path, &[("x-key", "k")]).await
    }

    /// Sends a harmful request until it is refused.
    async fn quarantine_harmful_request(&self) {
        let refused = |answer: &CallResponse| answer.status == StatusCode::SERVICE_UNAVAILABLE;
        for _ in 0..3 {
            if self.ask("/stream/harmful").await.as_ref().is_ok_and(refused) {
                return;
            }
        }
    }

    fn ended_servers(&self) -> usize {
        self.servers.iter().filter(|server| server.has_ended()).count()
    }
}

fn is_complete(answer: &std::result::Result<CallResponse, String>) -> bool {
    let last = |answer: &CallResponse| String::from_utf8_lossy(&answer.body).contains("piece 20\n");
    answer.as_ref().is_ok_and(|answer| answer.status == StatusCode::OK && last(answer))
}

#[gtest]
#[tokio::test]
async fn a_request_that_crashes_servers_is_not_sent_to_ever_more_of_them() {
    let fixture = Fixture::new(6).await;
    for coming in 0..8 {
        let answer = fixture.ask("/stream/harmful").await;
        expect_that!(is_complete(&answer), eq(false), "coming {coming}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    expect_that!(fixture.ended_servers(), le(3));
    for number in 0..6 {
        let answer = fixture.ask(&format!("/stream/sound{number}")).await;
        expect_that!(is_complete(&answer), eq(true), "sound request {number}: {answer:?}");
    }
}

/// Answers without length or chunks end with their connections, as those of a server that crashes do.
#[gtest]
#[tokio::test]
async fn a_close_delimited_answer_does_not_vouch_for_what_ended_its_server() {
    let pace = EventPace { close_delimited: true, ..EventPace::default() };
    let fixture = Fixture::with_pace(6, Arc::default(), pace).await;
    for coming in 0..8 {
        let _ = fixture.ask("/stream/harmful").await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        expect_that!(fixture.ended_servers(), le(3), "coming {coming}");
    }
    for number in 0..6 {
        let answer = fixture.ask(&format!("/stream/sound{number}")).await;
        expect_that!(is_complete(&answer), eq(true), "sound request {number}: {answer:?}");
    }
}

/// A process that ends may close its connections before it stops listening.
#[gtest]
#[tokio::test]
async fn a_server_that_stops_listening_last_does_not_vouch_for_what_ended_it() {
    let listens_on = Duration::from_millis(20);
    let pace = EventPace { close_delimited: true, listens_on, ..EventPace::default() };
    let fixture = Fixture::with_pace(6, Arc::default(), pace).await;
    for coming in 0..8 {
        let _ = fixture.ask("/stream/harmful").await;
        tokio::time::sleep(Duration::from_millis(40)).await;
        expect_that!(fixture.ended_servers(), le(3), "coming {coming}");
    }
}

#[gtest]
#[tokio::test]
async fn a_close_delimited_stream_whose_server_ends_is_continued_elsewhere() {
    let gap = Duration::from_millis(30);
    let pace = EventPace { close_delimited: true, gap, ..EventPace::default() };
    let fixture = Fixture::with_pace(2, Arc::default(), pace).await;
    let end = async {
        while fixture.servers.iter().all(|server| server.seen().is_empty()) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(gap * 4).await;
        let busy = fixture.servers.iter().find(|server| !server.seen().is_empty());
        busy.expect("a server has the request").end();
    };
    let (answer, ()) = tokio::join!(fixture.ask("/stream/sound"), end);
    expect_that!(is_complete(&answer), eq(true), "{answer:?}");
}

#[gtest]
#[tokio::test]
async fn a_close_delimited_answer_whose_server_ends_is_not_passed_on_as_whole() {
    let gap = Duration::from_millis(30);
    let pace = EventPace { close_delimited: true, gap, ..EventPace::default() };
    let fixture = Fixture::with_pace(1, Arc::default(), pace).await;
    let end = async {
        while fixture.servers[0].seen().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        tokio::time::sleep(gap * 4).await;
        fixture.servers[0].end();
    };
    let (answer, ()) = tokio::join!(fixture.ask("/once/sound"), end);
    expect_that!(answer.map(|answer| answer.status), not(ok(eq(&StatusCode::OK))));
}

fn unix_now() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.expect("clock is after 1970").as_millis() as u64
}

#[gtest]
#[tokio::test]
async fn a_quarantined_request_is_refused_at_once_with_a_long_retry_after() {
    let fixture = Fixture::new(4).await;
    fixture.quarantine_harmful_request().await;
    let begun = tokio::time::Instant::now();
    let answer = fixture.ask("/stream/harmful").await.expect("response");
    expect_that!(begun.elapsed(), lt(Duration::from_millis(100)));
    expect_that!(answer.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    let rest = answer.headers.get("retry-after").and_then(|value| value.to_str().ok());
    expect_that!(rest.and_then(|rest| rest.parse::<f64>().ok()), some(ge(60.0)));
    // The same path with another query counts as the same content, since callers may add
    // parameters.
    let answer = fixture.ask("/stream/harmful?try=3").await.expect("response");
    expect_that!(answer.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(fixture.ended_servers(), eq(3));
}

/// Several servers of a service are lost at once while all of them run harmless streams.
#[gtest]
#[tokio::test]
async fn sound_requests_are_served_again_after_their_servers_were_lost_together() {
    let fixture = Fixture::new(6).await;
    let paths: Vec<String> = (0..12).map(|number| format!("/stream/sound{number}")).collect();
    let asked = futures_util::future::join_all(paths.iter().map(|path| fixture.ask(path)));
    let lost = async {
        for wave in [0..2, 2..4] {
            tokio::time::sleep(Duration::from_millis(70)).await;
            fixture.servers[wave].iter().for_each(MortalServer::end);
        }
    };
    let _ = tokio::join!(asked, lost);
    expect_that!(fixture.ended_servers(), eq(4));
    let refused = fixture.entry.state.quarantine.refused(fixture.entry.state.now());
    expect_that!(refused, eq(&QuarantineList::default()));
    tokio::time::sleep(Duration::from_millis(700)).await;
    for path in &paths {
        expect_that!(is_complete(&fixture.ask(path).await), eq(true), "{path}");
    }
}

/// A draining server ends in the middle of its remaining requests.
#[gtest]
#[tokio::test]
async fn a_planned_shutdown_of_a_server_raises_no_suspicion() {
    let fixture = Fixture::new(2).await;
    let server = &fixture.servers[0];
    let draining = ServerRecord { draining: true, ..record("i0", server.address, "z1") };
    let asked = (0..6).map(|number| format!("/stream/sound{number}"));
    let asked: Vec<_> = asked.collect();
    let asked = futures_util::future::join_all(asked.iter().map(|path| fixture.ask(path)));
    let ends = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        fixture.store.set(FactTopic::Servers, "i0", Fact::Server(draining));
        tokio::time::sleep(Duration::from_millis(50)).await;
        server.end();
    };
    let _ = tokio::join!(asked, ends);
    expect_that!(server.seen(), not(is_empty()));
    let now = fixture.entry.state.now();
    expect_that!(fixture.entry.state.quarantine.notices(now), eq(&QuarantineNotices::default()));
}

#[gtest]
#[tokio::test]
async fn another_entry_refuses_a_reported_request_from_the_start() {
    let (first, second) = (Fixture::new(4).await, Fixture::new(3).await);
    first.quarantine_harmful_request().await;
    expect_that!(first.ended_servers(), eq(3));
    let told = first.entry.state.quarantine.notices(first.entry.state.now());
    second.entry.state.quarantine.merge_notices(second.entry.state.now(), &told.suspects, &[]);
    let answer = second.ask("/stream/harmful").await.expect("response");
    expect_that!(answer.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(second.ended_servers(), eq(0));
}

/// Digest of a request that the test caller sends.
fn digest_of(path: &str) -> RequestDigest {
    let content = RequestContent {
        caller: Some("t"),
        method: "GET",
        host: "a.example",
        path,
        query: None,
        body: b"",
    };
    RequestDigests::of(&content).whole
}

/// An attempt that still waits for a response is cancelled when another entry reports the request.
#[gtest]
#[tokio::test]
async fn an_attempt_without_a_response_is_cancelled_once_the_request_is_refused() {
    let fixture = Fixture::new(2).await;
    let slow = EventPace { head: Duration::from_secs(5), ..EventPace::default() };
    let server = MortalServer::start(slow).await;
    for (name, server) in [("i0", &server), ("i1", &server)] {
        let fact = Fact::Server(record(name, server.address, "z1"));
        fixture.store.set(FactTopic::Servers, name, fact);
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let begun = tokio::time::Instant::now();
    let refuse = async {
        while server.seen().is_empty() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let state = &fixture.entry.state;
        let left = Duration::from_secs(60);
        state.quarantine.restore(
            state.now(),
            QuarantineKey::Request(digest_of("/stream/sound")),
            left,
        );
    };
    let (answer, ()) = tokio::join!(fixture.ask("/stream/sound"), refuse);
    expect_that!(begun.elapsed(), lt(Duration::from_secs(2)));
    expect_that!(answer.expect("response").status, eq(StatusCode::BAD_GATEWAY));
}

/// All entries may be killed at once, and none has a disk.
#[gtest]
#[tokio::test]
async fn a_quarantine_survives_the_restart_of_all_entries() {
    let kept = Arc::new(KeptList::default());
    kept.fail(1);
    let first = Fixture::with_quarantines(4, kept.clone()).await;
    first.quarantine_harmful_request().await;
    while kept.kept().is_empty() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let until = kept.kept()[0].until.0;
    expect_that!(until, all![gt(unix_now() + 500_000), le(unix_now() + 600_000)]);
    drop(first);
    let over = QuarantineEntry {
        key: QuarantineKey::Request(RequestDigest(7)),
        until: UnixMillis(unix_now() - 1),
    };
    kept.change(|kept| kept.push(over)).expect("record is stored");
    let second = Fixture::with_quarantines(3, kept.clone()).await;
    while second.entry.state.quarantine.refused(second.entry.state.now()).is_empty() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let answer = second.ask("/stream/harmful").await.expect("response");
    expect_that!(answer.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(second.ended_servers(), eq(0));
    // Expired records are removed.
    while kept.kept().len() > 1 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Quarantines that a list did not reach were forgotten for good.
#[gtest]
#[tokio::test]
async fn the_rest_of_a_cut_list_of_quarantines_is_restored_once_it_goes_on() {
    let kept = Arc::new(KeptList::default());
    let until = UnixMillis(unix_now() + 500_000);
    let keys = [7, 8].map(|digest| QuarantineKey::Request(RequestDigest(digest)));
    let entries = keys.map(|key| QuarantineEntry { key, until });
    kept.change(|kept| kept.extend(entries)).expect("records are stored");
    kept.set_readable(1);
    let fixture = Fixture::with_quarantines(3, kept.clone()).await;
    let state = &fixture.entry.state;
    let refused = || state.quarantine.refused(state.now()).iter().count();
    while refused() == 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    expect_that!(refused(), eq(1));
    expect_that!(state.metrics.store_events("list_cut"), ge(1));
    kept.set_readable(usize::MAX);
    let restored = async {
        while refused() < 2 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    expect_that!(tokio::time::timeout(Duration::from_secs(10), restored).await, ok(anything()));
}

async fn admin(fixture: &Fixture, method: Method, target: impl Into<CallTarget>) -> CallResponse {
    let request = CallRequest::get(target).sending(method, HeaderMap::new(), "".into());
    let connections = Connections::default();
    let called = connections.call(fixture.entry.admin, request, 1 << 20, Duration::from_secs(5));
    called.await.expect("response")
}

#[gtest]
#[tokio::test]
async fn an_operator_sees_what_is_refused_and_can_lift_it() {
    let kept = Arc::new(KeptList::default());
    let fixture = Fixture::with_quarantines(6, kept.clone()).await;
    fixture.quarantine_harmful_request().await;
    let shown = admin(&fixture, Method::GET, "/quarantine").await;
    let shown: serde_json::Value = serde_json::from_slice(&shown.body).expect("JSON");
    let digest = shown[0]["content"].as_str().expect("digest").to_owned();
    expect_that!(shown[0]["ends"].as_u64(), some(eq(3)));
    expect_that!(shown[0]["left_s"].as_u64(), some(ge(590)));
    let bad = admin(&fixture, Method::DELETE, "/quarantine/none").await;
    expect_that!(bad.status, eq(StatusCode::BAD_REQUEST));
    let own = || CallTarget::new("/quarantine").segment(&digest);
    let lifted = admin(&fixture, Method::DELETE, own()).await;
    expect_that!(lifted.status, eq(StatusCode::OK));
    let again = admin(&fixture, Method::DELETE, own()).await;
    expect_that!(again.status, eq(StatusCode::NOT_FOUND));
    expect_that!(&admin(&fixture, Method::GET, "/quarantine").await.body[..], eq(b"[]\n"));
    while !kept.kept().is_empty() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // The request is tried again and judged from the start.
    fixture.quarantine_harmful_request().await;
    expect_that!(fixture.ended_servers(), eq(6));
}
