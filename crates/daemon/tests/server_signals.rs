//! Drain announcements and backoffs in responses of servers apply regardless of the store.

mod support;

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use headlatch_daemon::direct::entry::DirectEntry;
use headlatch_http::CallResponse;
use headlatch_outside::{
    facts::{Fact, FactTopic},
    headers::HeaderFormat,
};
use headlatch_platform::PlatformHeaders;
use http::StatusCode;
use support::{
    TestStore, ask_with,
    entries::{EntryProcess, start_all_with},
    kept::KeptList,
    plan, record, settings,
    signaling::SignalingServer,
};
use tokio::runtime::Runtime;

/// An entry in front of servers of one service, all of which the store lists as ready.
struct Fixture {
    entry: DirectEntry,
    servers: Vec<SignalingServer>,
}

impl Fixture {
    async fn new(count: usize) -> Self {
        let store = Arc::new(TestStore::default());
        store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan(5))));
        let mut servers = Vec::new();
        for number in 0..count {
            let server = SignalingServer::start().await;
            let name = format!("i{number}");
            store.set(FactTopic::Servers, &name, Fact::Server(record(&name, server.address, "z1")));
            servers.push(server);
        }
        let entry = DirectEntry::start(settings(), store, Arc::new(PlatformHeaders)).await;
        let entry = entry.expect("entry starts");
        while !entry.state.is_ready() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Self { entry, servers }
    }

    async fn ask(&self, path: &str) -> CallResponse {
        let lines = [("request-id", "r1"), ("api-key", "k")];
        ask_with(self.entry.address, path, &lines).await.expect("response")
    }

    /// Sends `times` requests, alternating between the kinds of routes, and returns the statuses.
    async fn ask_repeatedly(&self, times: usize) -> Vec<StatusCode> {
        let mut statuses = Vec::new();
        for number in 0..times {
            let path = ["/safe/a", "/once/a", "/quick/a"][number % 3];
            statuses.push(self.ask(path).await.status);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        statuses
    }
}

#[gtest]
#[tokio::test]
async fn leaving_server_gets_no_request_while_store_is_silent() {
    let fixture = Fixture::new(2).await;
    let leaving = &fixture.servers[0];
    leaving.serve_with(&["server-leaving: 1", "connection: close"]);
    while leaving.arrivals().is_empty() {
        fixture.ask("/safe/a").await;
    }
    let before = leaving.arrivals().len();
    let statuses = fixture.ask_repeatedly(60).await;
    expect_that!(statuses, each(eq(&StatusCode::OK)));
    expect_that!(leaving.arrivals().len(), eq(before));
}

#[gtest]
#[tokio::test]
async fn a_malformed_drain_announcement_is_counted_and_taken_as_draining() {
    let fixture = Fixture::new(2).await;
    let leaving = &fixture.servers[0];
    leaving.serve_with(&["server-leaving: soon"]);
    while leaving.arrivals().is_empty() {
        fixture.ask("/safe/a").await;
    }
    fixture.ask_repeatedly(20).await;
    expect_that!(leaving.arrivals().len(), eq(1));
    expect_that!(fixture.entry.state.metrics.malformed_signals("draining"), eq(1));
}

#[gtest]
#[tokio::test]
async fn a_service_whose_servers_all_drain_refuses_at_once() {
    let fixture = Fixture::new(2).await;
    fixture.servers.iter().for_each(|server| server.serve_with(&["server-leaving: 1"]));
    fixture.ask_repeatedly(4).await;
    let begun = tokio::time::Instant::now();
    let answer = fixture.ask("/once/a").await;
    expect_that!(begun.elapsed(), lt(Duration::from_millis(200)));
    expect_that!(answer.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(answer.headers.contains_key("retry-after"), eq(true));
}

#[gtest]
fn a_drain_announcement_to_one_entry_holds_for_others() {
    let callers = Runtime::new().expect("runtime");
    let store = Arc::new(TestStore::default());
    store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan(5))));
    let servers = [(); 2].map(|()| callers.block_on(SignalingServer::start()));
    for (number, server) in servers.iter().enumerate() {
        let name = format!("i{number}");
        store.set(FactTopic::Servers, &name, Fact::Server(record(&name, server.address, "z1")));
    }
    let headers: Arc<dyn HeaderFormat> = Arc::new(PlatformHeaders);
    let entries = start_all_with(1..=2, &store, &Arc::<KeptList>::default(), &headers);
    let ask = |entry: &EntryProcess| {
        let lines = [("request-id", "r1"), ("api-key", "k")];
        let asked = ask_with(entry.entry.address, "/safe/a", &lines);
        callers.block_on(asked).expect("response").status
    };
    servers[0].serve_with(&["server-leaving: 1"]);
    while servers[0].arrivals().is_empty() {
        ask(&entries[0]);
    }
    std::thread::sleep(Duration::from_millis(800));
    for _ in 0..30 {
        expect_that!(ask(&entries[1]), eq(StatusCode::OK));
    }
    expect_that!(servers[0].arrivals().len(), eq(1));
    entries.into_iter().for_each(EntryProcess::kill);
}

#[gtest]
#[tokio::test]
async fn a_server_gets_no_request_before_its_retry_after() {
    let fixture = Fixture::new(4).await;
    let backing_off = &fixture.servers[..3];
    backing_off.iter().for_each(|server| server.refuse_with(&["retry-after: 1.5"]));
    while backing_off.iter().any(|server| server.arrivals().is_empty()) {
        fixture.ask("/safe/a").await;
    }
    let told: Vec<_> = backing_off.iter().map(|server| server.arrivals()).collect();
    let statuses = fixture.ask_repeatedly(60).await;
    expect_that!(statuses, each(eq(&StatusCode::OK)));
    for (server, told) in backing_off.iter().zip(&told) {
        let until = told[0] + Duration::from_millis(1500);
        let early = server.arrivals().iter().filter(|at| **at < until).count();
        expect_that!(early, eq(1));
    }
}

#[gtest]
#[tokio::test]
async fn a_service_whose_servers_all_back_off_refuses_until_the_first_is_free() {
    let fixture = Fixture::new(2).await;
    fixture.servers.iter().for_each(|server| server.refuse_with(&["retry-after: 4"]));
    fixture.ask_repeatedly(3).await;
    let begun = tokio::time::Instant::now();
    let answer = fixture.ask("/safe/a").await;
    expect_that!(begun.elapsed(), lt(Duration::from_millis(200)));
    expect_that!(answer.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    let rest = answer.headers.get("retry-after").and_then(|value| value.to_str().ok());
    expect_that!(rest.and_then(|rest| rest.parse::<f64>().ok()), some(all![ge(3.0), le(4.0)]));
    let arrivals = fixture.servers.iter().map(|server| server.arrivals().len());
    expect_that!(arrivals.sum::<usize>(), eq(2));
}

#[gtest]
#[tokio::test]
async fn a_malformed_retry_after_is_counted_and_replaced_by_a_default() {
    let fixture = Fixture::new(2).await;
    let backing_off = &fixture.servers[0];
    backing_off.refuse_with(&["retry-after: Thu, 03 Dec 2026 10:00:00 GMT"]);
    while backing_off.arrivals().is_empty() {
        fixture.ask("/safe/a").await;
    }
    fixture.ask_repeatedly(30).await;
    expect_that!(backing_off.arrivals().len(), eq(1));
    expect_that!(fixture.entry.state.metrics.malformed_signals("retry_after"), eq(1));
}
