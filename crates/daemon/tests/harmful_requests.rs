//! One caller's request ended every server that began to run it, for forty seconds, and callers of
//! sound requests lost their answers with the servers.
//!
//! Attempts and retries were counted by request and by entry. The same content came again under a new
//! id, at any entry, and started from nothing: it was sent to a server, which ended, then the stream
//! was continued at a second one, which ended as well. Servers were back some seconds later and were
//! chosen again. On one day 55 servers ended under one content; four steps of one coming of it, and
//! what others met:
//!
//! ```text
//! stream_stopped  attempt 1, end Broken, events 0, served_ms 102
//! server_chosen   attempt 1
//! stream_stopped  attempt 2, end Broken, events 0, served_ms 110
//! stream_cut      cause attempts_used
//! attempt_failed  not_connected: Connection refused
//! given_up        cause servers_full
//! ```

mod support;

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use headlatch_daemon::direct::entry::DirectEntry;
use headlatch_http::CallAnswer;
use headlatch_outside::facts::{Fact, FactTopic};
use http::StatusCode;
use support::{
    TestHeaders, TestStore, ask_with, mortal::MortalServer, paced::EventPace, plan, record,
    settings,
};

/// An entry before servers that a harmful request ends.
struct Setting {
    entry: DirectEntry,
    servers: Vec<MortalServer>,
}

impl Setting {
    async fn new(count: usize) -> Self {
        let store = Arc::new(TestStore::default());
        store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan(5))));
        let mut servers = Vec::new();
        for number in 0..count {
            let server = MortalServer::start(EventPace::default()).await;
            let name = format!("i{number}");
            let fact = Fact::Server(record(&name, server.address, "z1"));
            store.set(FactTopic::Servers, &name, fact);
            servers.push(server);
        }
        let entry = DirectEntry::start(settings(), store, Arc::new(TestHeaders)).await;
        let entry = entry.expect("it starts");
        while !entry.state.is_ready() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Self { entry, servers }
    }

    async fn ask(&self, path: &str) -> std::result::Result<CallAnswer, String> {
        ask_with(self.entry.address, path, &[("x-key", "k")]).await
    }

    fn ended(&self) -> usize {
        self.servers.iter().filter(|server| server.has_ended()).count()
    }
}

fn is_whole(answer: &std::result::Result<CallAnswer, String>) -> bool {
    let last = |answer: &CallAnswer| String::from_utf8_lossy(&answer.body).contains("piece 20\n");
    answer.as_ref().is_ok_and(|answer| answer.status == StatusCode::OK && last(answer))
}

#[gtest]
#[tokio::test]
async fn a_request_that_ends_its_servers_is_not_sent_to_more_and_more_of_them() {
    let setting = Setting::new(6).await;
    for coming in 0..8 {
        let answer = setting.ask("/stream/harmful").await;
        expect_that!(is_whole(&answer), eq(false), "coming {coming}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    expect_that!(setting.ended(), le(3));
    for number in 0..6 {
        let answer = setting.ask(&format!("/stream/sound{number}")).await;
        expect_that!(is_whole(&answer), eq(true), "sound request {number}: {answer:?}");
    }
}
