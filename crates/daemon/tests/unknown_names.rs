//! Unknown headers in responses of servers and unknown fields of facts are visible to operators by name.

mod support;

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use headlatch_daemon::{
    direct::{
        entry::DirectEntry,
        unknown_names::{CountedName, FieldCounter, FieldSource, UnknownNames},
    },
    metrics::NodeMetrics,
};
use headlatch_outside::facts::{Fact, FactTopic, NamedFact};
use headlatch_platform::PlatformHeaders;
use headlatch_types::{
    reading::{FieldIssues, FieldPath, from_json_with_unknown},
    store::StoreRevision,
};
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

/// Number of names that get a label of their own.
const LABELLED_NAMES: usize = 64;

/// Guards against a server or a store that sends ever new names: they must fill neither the metrics nor the log.
#[gtest]
fn names_beyond_the_limit_are_counted_together_and_each_name_is_logged_once() {
    let mut names = UnknownNames::default();
    let listed: Vec<String> = (0..=LABELLED_NAMES).map(|number| format!("n{number}")).collect();
    let (labelled, beyond) = listed.split_at(LABELLED_NAMES);
    for name in labelled {
        expect_that!(names.record(name), eq(CountedName { label: name, is_new: true }));
    }
    for name in labelled {
        expect_that!(names.record(name), eq(CountedName { label: name, is_new: false }));
    }
    for _ in 0..2 {
        let counted = names.record(&beyond[0]);
        expect_that!(counted, eq(CountedName { label: "other", is_new: false }));
    }
}

/// Guards against a limit that the metric does not follow, and against one that unknown and invalid fields share.
#[gtest]
fn the_65th_path_of_a_field_is_counted_under_other() {
    let (counter, metrics) = (FieldCounter::default(), NodeMetrics::default());
    let path = |number| FieldPath::new(format!("n{number}"));
    let unknown = (0..=LABELLED_NAMES).map(path).collect();
    let issues = FieldIssues { unknown, invalid: [path(LABELLED_NAMES)].into() };
    let source = FieldSource { part: "store", kind: "plan", name: "main" };
    for _ in 0..2 {
        counter.record(&metrics, source, &issues);
    }
    // Paths are recorded in their order as text, of which "n9" is the last.
    expect_that!(metrics.unknown_fields("other"), eq(2));
    expect_that!(metrics.unknown_fields("plan.n9"), eq(0));
    expect_that!(metrics.unknown_fields("plan.n64"), eq(2));
    expect_that!(metrics.invalid_fields("other"), eq(0));
    expect_that!(metrics.invalid_fields("plan.n64"), eq(2));
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
        revision: StoreRevision::from_wire(1),
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
