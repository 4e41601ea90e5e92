//! A panic in one task of an entry must not disable the entry. A fact or request that causes a
//! panic reaches every process, so without isolation all entries would fail together.

mod support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use googletest::prelude::*;
use headlatch_daemon::direct::entry::DirectEntry;
use headlatch_outside::{
    OutsideFuture,
    facts::{Fact, FactChanges, FactList, FactStore, FactTopic, Freshness, StoreFailure},
    headers::{ForwardMetadata, HeaderFormat, RequestMetadata, ResponseMetadata},
};
use headlatch_types::{ByteProgress, store::StoreRevision};
use http::{HeaderMap, StatusCode};
use support::{
    TestHeaders, TestStore, ask_with, mortal::MortalServer, paced::EventPace, plan, record,
    settings,
};

/// A store whose first `list` calls panic in the calling task.
#[derive(Debug)]
struct PanickingStore {
    inner: TestStore,
    panics: AtomicU32,
}

impl FactStore for PanickingStore {
    fn list(
        &self,
        topic: FactTopic,
        freshness: Freshness,
        progress: ByteProgress,
    ) -> OutsideFuture<'_, std::result::Result<FactList, StoreFailure>> {
        let left = self
            .panics
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1));
        assert!(left.is_err(), "injected panic in list");
        self.inner.list(topic, freshness, progress)
    }

    fn watch(
        &self,
        topic: FactTopic,
        after: StoreRevision,
        wait: Duration,
        progress: ByteProgress,
    ) -> OutsideFuture<'_, std::result::Result<FactChanges, StoreFailure>> {
        self.inner.watch(topic, after, wait, progress)
    }
}

/// A header format that panics on requests with certain headers.
#[derive(Debug)]
struct PanickingHeaders;

impl HeaderFormat for PanickingHeaders {
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata {
        assert!(!headers.contains_key("x-panic"), "injected panic in read_request");
        TestHeaders.read_request(headers)
    }

    fn write_request(&self, headers: &mut HeaderMap, facts: &ForwardMetadata) {
        assert!(!headers.contains_key("x-panic-later"), "injected panic in write_request");
        TestHeaders.write_request(headers, facts);
    }

    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata {
        TestHeaders.read_answer(status, headers)
    }

    fn write_id(&self, headers: &mut HeaderMap, request: &str) {
        TestHeaders.write_id(headers, request);
    }
}

async fn entry(panics: u32) -> (DirectEntry, MortalServer) {
    let server = MortalServer::start(EventPace::default()).await;
    let inner = TestStore::default();
    inner.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan(5))));
    inner.set(FactTopic::Servers, "i1", Fact::Server(record("i1", server.address, "z1")));
    let store = Arc::new(PanickingStore { inner, panics: panics.into() });
    let entry = DirectEntry::start(settings(), store, Arc::new(PanickingHeaders)).await;
    (entry.expect("the entry starts"), server)
}

async fn ready(entry: &DirectEntry) -> bool {
    for _ in 0..300 {
        if entry.state.is_ready() {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    false
}

#[gtest]
#[tokio::test]
async fn entry_becomes_ready_after_panics_in_fact_listing() {
    let (entry, _server) = entry(4).await;
    expect_that!(ready(&entry).await, eq(true));
}

#[gtest]
#[tokio::test]
async fn panicking_requests_do_not_affect_other_requests() {
    let (entry, _server) = entry(0).await;
    expect_that!(ready(&entry).await, eq(true));
    for name in ["x-panic", "x-panic-later"] {
        for _ in 0..5 {
            let lines = [("x-key", "k"), (name, "1")];
            let answer = ask_with(entry.address, "/stream/x", &lines).await;
            expect_that!(answer.is_err(), eq(true), "{name}: {answer:?}");
        }
    }
    let answer = ask_with(entry.address, "/stream/y", &[("x-key", "k")]).await;
    expect_that!(answer.expect("an answer").status, eq(StatusCode::OK));
    // Failed requests must not stay counted as in progress, at the entry or at a server. The last
    // response arrives slightly before its request is counted as ended, hence the polling.
    let held = || entry.state.in_progress.load(Ordering::Relaxed);
    for _ in 0..200 {
        if held() == 0 && entry.state.servers().own_loads().is_empty() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    expect_that!(held(), eq(0));
    expect_that!(entry.state.servers().own_loads(), is_empty());
}
