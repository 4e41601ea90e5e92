//! A server that ends and restarts under the same id, over real sockets.

mod support;

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use headlatch_daemon::direct::entry::DirectEntry;
use headlatch_outside::facts::{Fact, FactTopic};
use headlatch_types::traffic::{ServerRecord, StartTime};
use http::StatusCode;
use support::{
    TestHeaders, TestStore, ask_with, mortal::MortalServer, paced::EventPace, plan, record,
    settings,
};

fn born(server: &MortalServer, at: u64) -> Fact {
    let record = record("i1", server.address, "z1");
    Fact::Server(ServerRecord { started_at: Some(StartTime(at)), ..record })
}

/// Failures of the previous process kept a restarted server excluded for up to 4.8 s.
#[gtest]
#[tokio::test]
async fn a_restarted_server_gets_requests_at_once() {
    let store = Arc::new(TestStore::default());
    store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan(5))));
    let first = MortalServer::start(EventPace::default()).await;
    store.set(FactTopic::Servers, "i1", born(&first, 1000));
    let entry = DirectEntry::start(settings(), store.clone(), Arc::new(TestHeaders)).await;
    let entry = entry.expect("entry starts");
    while !entry.state.is_ready() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    first.end();
    tokio::time::sleep(Duration::from_millis(20)).await;
    let ask = |path: &'static str| ask_with(entry.address, path, &[("x-key", "k")]);
    // Each failure doubles the backoff.
    for _ in 0..5 {
        let _ = ask("/stream/a").await;
        tokio::time::sleep(Duration::from_millis(650)).await;
    }
    let refused = ask("/stream/a").await.expect("response");
    expect_that!(refused.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    let second = MortalServer::start(EventPace::default()).await;
    store.set(FactTopic::Servers, "i1", born(&second, 2000));
    let knows = || entry.state.servers().records().any(|one| one.address == second.address);
    while !knows() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let answer = ask("/stream/b").await.expect("response");
    expect_that!(answer.status, eq(StatusCode::OK));
    expect_that!(second.seen().len(), eq(1));
}
