//! What servers say of themselves in their answers binds an entry whatever the store says.

mod support;

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use headlatch_daemon::direct::entry::DirectEntry;
use headlatch_http::CallAnswer;
use headlatch_outside::facts::{Fact, FactTopic};
use headlatch_platform::PlatformHeaders;
use http::StatusCode;
use support::{TestStore, ask_with, plan, record, settings, speaking::SpeakingServer};

/// An entry before servers of one service, all of which its store lists as ready.
struct Setting {
    entry: DirectEntry,
    servers: Vec<SpeakingServer>,
}

impl Setting {
    async fn new(count: usize) -> Self {
        let store = Arc::new(TestStore::default());
        store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan(5))));
        let mut servers = Vec::new();
        for number in 0..count {
            let server = SpeakingServer::start().await;
            let name = format!("i{number}");
            store.set(FactTopic::Servers, &name, Fact::Server(record(&name, server.address, "z1")));
            servers.push(server);
        }
        let entry = DirectEntry::start(settings(), store, Arc::new(PlatformHeaders)).await;
        let entry = entry.expect("it starts");
        while !entry.state.is_ready() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Self { entry, servers }
    }

    async fn ask(&self, path: &str) -> CallAnswer {
        let lines = [("request-id", "r1"), ("api-key", "k")];
        ask_with(self.entry.address, path, &lines).await.expect("an answer")
    }

    /// Asks so often, for all kinds of routes by turns; the answers' statuses.
    async fn ask_often(&self, times: usize) -> Vec<StatusCode> {
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
    let setting = Setting::new(2).await;
    let leaving = &setting.servers[0];
    leaving.say(&["server-leaving: 1", "connection: close"]);
    while leaving.arrivals().is_empty() {
        setting.ask("/safe/a").await;
    }
    let before = leaving.arrivals().len();
    let statuses = setting.ask_often(60).await;
    expect_that!(statuses, each(eq(&StatusCode::OK)));
    expect_that!(leaving.arrivals().len(), eq(before));
}
