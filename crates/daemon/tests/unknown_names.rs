//! Unknown headers in responses of servers and unknown fields of facts are visible to operators by name.

mod support;

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use headlatch_daemon::direct::entry::DirectEntry;
use headlatch_outside::facts::{Fact, FactTopic, NamedFact, StoreRevision};
use headlatch_platform::PlatformHeaders;
use headlatch_types::reading::{FieldIssues, FieldPath, from_json_with_unknown};
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

/// Has none of the fields of a plan, so that each of them is unknown.
#[derive(Debug, serde::Deserialize)]
struct NoFields {}

#[gtest]
#[tokio::test]
async fn unknown_and_invalid_fields_of_the_plan_are_counted_by_path() {
    let store = Arc::new(TestStore::default());
    let text = r#"{"version":5,"routes":[],"tide":1}"#;
    let read = from_json_with_unknown::<NoFields>(text, &["version"]);
    let (_, unknown) = read.expect("valid JSON");
    let invalid = [FieldPath::new("tenants[].allowed_regions[]")].into();
    let fact = NamedFact {
        name: "main".to_owned(),
        revision: StoreRevision(1),
        fact: Ok(Fact::Plan(Box::new(plan(5)))),
        field_issues: FieldIssues { unknown, invalid },
    };
    store.replace_silently(FactTopic::Plan, fact);
    let entry = DirectEntry::start(settings(), store, Arc::new(PlatformHeaders)).await;
    let entry = entry.expect("entry starts");
    while entry.state.plan_version().0 < 5 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let metrics = &entry.state.metrics;
    expect_that!(metrics.unknown_fields("plan.tide"), ge(1));
    expect_that!(metrics.unknown_fields("plan.version"), eq(0));
    expect_that!(metrics.invalid_fields("plan.tenants[].allowed_regions[]"), ge(1));
    expect_that!(metrics.invalid_fields("plan.tide"), eq(0));
}
