//! Unknown headers in responses of servers are visible to operators by name.

mod support;

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use headlatch_daemon::direct::entry::DirectEntry;
use headlatch_outside::facts::{Fact, FactTopic};
use headlatch_platform::PlatformHeaders;
use support::{TestStore, ask_with, plan, record, settings, signaling::SignalingServer};

#[gtest]
#[tokio::test]
async fn an_unknown_header_is_counted_by_name() {
    let store = Arc::new(TestStore::default());
    store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan(5))));
    let server = SignalingServer::start().await;
    server.serve_with(&["server-mood: low", "content-type: text/plain", "keep-alive: timeout=5"]);
    store.set(FactTopic::Servers, "i0", Fact::Server(record("i0", server.address, "z1")));
    let entry = DirectEntry::start(settings(), store, Arc::new(PlatformHeaders)).await;
    let entry = entry.expect("entry starts");
    while !entry.state.is_ready() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for number in 0..3 {
        let id = format!("{number}");
        let lines = [("request-id", id.as_str()), ("api-key", "k")];
        ask_with(entry.address, "/safe/a", &lines).await.expect("response");
    }
    let metrics = &entry.state.metrics;
    expect_that!(metrics.unknown_headers("server-mood"), eq(3));
    for known in ["content-type", "keep-alive", "request-id", "response-stamp", "other"] {
        expect_that!(metrics.unknown_headers(known), eq(0), "{known}");
    }
}
