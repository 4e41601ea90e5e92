//! Speed of servers as an entry observes it in the streams that it relays, over real sockets. Guards against
//! observations that never reach the table of servers, and against those whose prediction is unknown.

mod support;

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use headlatch_daemon::direct::entry::DirectEntry;
use headlatch_outside::{
    facts::{Fact, FactTopic},
    headers::{ForwardMetadata, HeaderFormat, RequestMetadata, ResponseMetadata},
};
use headlatch_types::traffic::{
    EngineCapacity, HeldLayers, HeldModel, ServerRecord, ServicePlan, TrafficPlan, WeightVersion,
};
use http::{HeaderMap, StatusCode};
use support::{
    TestHeaders, TestStore, ask, paced::EventPace, plan, record, server::TestServer, settings,
};

const LAYERS: u32 = 4;

/// Headers of the other tests, and the length of the prompt.
#[derive(Debug)]
struct PromptHeaders {
    prompt_tokens: Option<u64>,
}

impl HeaderFormat for PromptHeaders {
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata {
        let read = TestHeaders.read_request(headers);
        RequestMetadata { prompt_tokens: self.prompt_tokens, ..read }
    }

    fn write_request(&self, headers: &mut HeaderMap, facts: &ForwardMetadata) {
        TestHeaders.write_request(headers, facts);
    }

    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata {
        TestHeaders.read_answer(status, headers)
    }

    fn write_answer(&self, headers: &mut HeaderMap, request: &str) {
        TestHeaders.write_answer(headers, request);
    }
}

fn engine_plan() -> TrafficPlan {
    let engine = EngineCapacity {
        slots: 4,
        step_ms: 5.0,
        stride: 1,
        read_per_second: 20_000.0,
        layers: LAYERS,
        ..EngineCapacity::default()
    };
    let service = ServicePlan { engine: Some(engine), ..ServicePlan::default() };
    TrafficPlan { services: [("s".to_owned(), service)].into(), ..plan(1) }
}

fn engine_record(name: &str, server: &TestServer) -> ServerRecord {
    let version = WeightVersion(1);
    let layers = vec![HeldLayers { from: 0, until: LAYERS, version }];
    let model = HeldModel { model: "m".parse().expect("a name"), version, layers };
    ServerRecord { models: vec![model], ..record(name, server.address, "z1") }
}

/// Sends requests one after the other to two usual servers and one whose first tokens come late, and
/// returns whether a server counted as slow.
async fn finds_slow_server(observed_speed: bool, prompt_tokens: Option<u64>) -> bool {
    let store = Arc::new(TestStore::default());
    store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(engine_plan())));
    let mut servers = Vec::new();
    for (name, head) in [("usual-1", 0), ("usual-2", 0), ("slow", 350)] {
        let head = Duration::from_millis(head);
        let answers = EventPace { events: 1, head, gap: Duration::ZERO, ..EventPace::default() };
        let server = TestServer::start(answers).await;
        store.set(FactTopic::Servers, name, Fact::Server(engine_record(name, &server)));
        servers.push(server);
    }
    let mut settings = settings();
    settings.direct.observed_speed = observed_speed;
    let headers = Arc::new(PromptHeaders { prompt_tokens });
    let entry = DirectEntry::start(settings, store, headers).await.expect("entry starts");
    while !entry.state.is_ready() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let (mut found, mut slow_before) = (false, None);
    // Two faster servers have to be known before a slow one can be told from them.
    while slow_before.is_none_or(|before| servers[2].seen().len() < before + 4) && !found {
        let is_warm = servers[..2].iter().all(|server| !server.seen().is_empty());
        slow_before = slow_before.or(is_warm.then(|| servers[2].seen().len()));
        let answer = ask(entry.address, "/stream/x", "k").await.expect("response");
        assert_eq!(answer.status, StatusCode::OK);
        entry.state.refresh_loads();
        found = entry.state.metrics.text().contains("headlatch_slow_servers 1");
    }
    found
}

#[gtest]
#[tokio::test]
async fn late_first_tokens_of_one_server_mark_it() {
    expect_that!(finds_slow_server(true, Some(800)).await, eq(true));
}

#[gtest]
#[tokio::test]
async fn nothing_is_observed_with_the_setting_off_or_for_prompts_of_unknown_length() {
    expect_that!(finds_slow_server(false, Some(800)).await, eq(false));
    expect_that!(finds_slow_server(true, None).await, eq(false));
}
