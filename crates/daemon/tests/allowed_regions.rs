//! An entry between two regions: what may run in one of them only reaches no server of the other,
//! whatever fails, also after the plan has moved it. Routes and organisations may both be restricted.

mod support;

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use headlatch_daemon::direct::entry::DirectEntry;
use headlatch_outside::facts::{Fact, FactTopic};
use headlatch_types::traffic::{AllowedRegions, Route, RouteKind, TrafficPlan};
use http::StatusCode;
use support::{
    TestHeaders, TestStore, ask, header, plan, record, route,
    server::{Responder, Script, TestServer},
    settings,
};
use tokio::{io::AsyncWriteExt, net::TcpStream, sync::watch};

fn answer(head: &str, status: &str, further: &str) -> Vec<u8> {
    let id = header(head, "x-id").unwrap_or_default();
    format!("HTTP/1.1 {status}\r\nx-id: {id}\r\nx-sign: s\r\n{further}content-length: 0\r\n\r\n")
        .into_bytes()
}

fn serves(head: &str) -> Vec<u8> {
    answer(head, "200 OK", "")
}

fn refuses(head: &str) -> Vec<u8> {
    answer(head, "503 Service Unavailable", "x-not-run: 1\r\n")
}

fn fails(head: &str) -> Vec<u8> {
    answer(head, "500 Internal Server Error", "")
}

fn breaks_off(_head: &str) -> Vec<u8> {
    Vec::new()
}

/// A stream that breaks off after its first event.
fn cuts_stream(head: &str) -> Vec<u8> {
    let id = header(head, "x-id").unwrap_or_default();
    let event = "id: 1\ndata: a\n\n";
    format!(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\ncontent-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n",
        event.len()
    )
    .into_bytes()
}

/// What the plan restricts to a region.
#[derive(Debug, Clone, Copy)]
enum Restricted {
    Routes,
    Organisation,
}

const BOTH: [Restricted; 2] = [Restricted::Routes, Restricted::Organisation];

fn only(region: &str) -> AllowedRegions {
    AllowedRegions::Only([region.parse().expect("a name")].into())
}

fn plan_in(restricted: Restricted, version: u64, region: &str) -> TrafficPlan {
    match restricted {
        Restricted::Routes => plan_with(version, &only(region), &AllowedRegions::Anywhere),
        Restricted::Organisation => plan_with(version, &AllowedRegions::Anywhere, &only(region)),
    }
}

/// A plan whose routes and whose only organisation allow these regions.
fn plan_with(version: u64, regions: &AllowedRegions, organisation: &AllowedRegions) -> TrafficPlan {
    let kinds = [RouteKind::Repeatable, RouteKind::Once, RouteKind::Stream];
    let routes = kinds.into_iter().zip(["safe", "once", "stream"]);
    let routes =
        routes.map(|(kind, name)| Route { allowed_regions: regions.clone(), ..route(name, kind) });
    let mut plan = TrafficPlan { routes: routes.collect(), ..plan(version) };
    for tenant in &mut plan.tenants {
        tenant.allowed_regions = organisation.clone();
    }
    plan
}

struct Setting {
    entry: DirectEntry,
    store: Arc<TestStore>,
    near: TestServer,
    far: TestServer,
}

impl Setting {
    /// An entry in `r1`, and routes whose requests may run in `r2` alone.
    async fn new(restricted: Restricted, near: Script, far: Script) -> Self {
        Self::with_plan(near, far, TestStore::default(), plan_in(restricted, 5, "r2")).await
    }

    async fn with_plan(
        near: impl Responder,
        far: impl Responder,
        store: TestStore,
        plan: TrafficPlan,
    ) -> Self {
        let store = Arc::new(store);
        let (near, far) = (TestServer::start(near).await, TestServer::start(far).await);
        store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan)));
        let servers = [("i1", near.address, "z1"), ("i2", far.address, "z2")];
        for (name, address, zone) in servers {
            store.set(FactTopic::Servers, name, Fact::Server(record(name, address, zone)));
        }
        let mut settings = settings();
        let zone = ("z2".parse().expect("a name"), "r2".parse().expect("a name"));
        settings.direct.zones.extend([zone]);
        settings.direct.reads_evacuations = true;
        let entry = DirectEntry::start(settings, store.clone(), Arc::new(TestHeaders)).await;
        let entry = entry.expect("it starts");
        while !entry.state.is_ready() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Self { entry, store, near, far }
    }

    /// Puts a newer plan in force.
    async fn apply(&self, plan: TrafficPlan) {
        let version = plan.version;
        self.store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan)));
        while self.entry.state.plan_version() < version {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

#[gtest]
#[tokio::test]
async fn what_may_run_in_one_region_reaches_no_other_whatever_fails() {
    let scripts: [Script; 5] = [serves, refuses, fails, breaks_off, cuts_stream];
    for (restricted, far) in BOTH.into_iter().flat_map(|one| scripts.map(|script| (one, script))) {
        let setting = Setting::new(restricted, serves, far).await;
        for path in ["/safe/x", "/once/x", "/stream/x"] {
            // Whatever comes of it, also a connection that closes.
            let _ = ask(setting.entry.address, path, "k").await;
        }
        expect_that!(setting.far.seen(), not(is_empty()));
        expect_that!(setting.near.seen(), is_empty());
    }
}

#[gtest]
#[tokio::test]
async fn where_no_allowed_server_is_the_refusal_says_so_and_when_to_return() {
    for restricted in BOTH {
        let setting = Setting::new(restricted, serves, refuses).await;
        expect_refusal_for_regions(&setting).await;
    }
}

/// A route and an organisation without a region in common must not fall back to either of them.
#[gtest]
#[tokio::test]
async fn regions_without_overlap_allow_no_server() {
    let plan = plan_with(5, &only("r1"), &only("r2"));
    let store = TestStore::default();
    let setting = Setting::with_plan(serves as Script, serves as Script, store, plan).await;
    expect_refusal_for_regions(&setting).await;
    expect_that!((setting.near.seen().len(), setting.far.seen().len()), eq((0, 0)));
}

async fn expect_refusal_for_regions(setting: &Setting) {
    let refused = ask(setting.entry.address, "/safe/x", "k").await.expect("an answer");
    expect_that!(refused.status, eq(StatusCode::SERVICE_UNAVAILABLE));
    expect_that!(&refused.body[..], eq(b"no_server_in_allowed_regions\n"));
    expect_that!(refused.headers.contains_key("retry-after"), eq(true));
}

#[gtest]
#[tokio::test]
async fn a_newer_plan_moves_requests_to_another_region() {
    for restricted in BOTH {
        let setting = Setting::new(restricted, serves, serves).await;
        ask(setting.entry.address, "/safe/x", "k").await.expect("an answer");
        setting.apply(plan_in(restricted, 6, "r1")).await;
        ask(setting.entry.address, "/safe/x", "k").await.expect("an answer");
        expect_that!((setting.near.seen().len(), setting.far.seen().len()), eq((1, 1)));
    }
}

/// Sends the beginning of an answer and breaks off once it is told to.
#[derive(Clone)]
struct HeldBreak {
    begins: Script,
    released: watch::Receiver<bool>,
}

impl Responder for HeldBreak {
    async fn answer(&self, stream: &mut TcpStream, head: &str) -> std::io::Result<()> {
        stream.write_all(&(self.begins)(head)).await?;
        let mut released = self.released.clone();
        // The test has ended where nobody can tell it any more.
        let _ = released.wait_for(|released| *released).await;
        Ok(())
    }
}

/// Sends a request that the far server breaks off after the plan has moved it to the near region.
async fn break_off_after_move(
    restricted: Restricted,
    path: &'static str,
    begins: Script,
) -> Setting {
    let (plan, newer) = (plan_in(restricted, 5, "r2"), plan_in(restricted, 6, "r1"));
    break_off_after(plan, newer, path, [serves, begins]).await
}

/// Sends a request under one plan, whose answer is held after what the near or the far server begins with, and
/// breaks it off once the newer plan is in force.
async fn break_off_after(
    plan: TrafficPlan,
    newer: TrafficPlan,
    path: &'static str,
    begins: [Script; 2],
) -> Setting {
    let (release, released) = watch::channel(false);
    let [near, far] = begins.map(|begins| HeldBreak { begins, released: released.clone() });
    let setting = Setting::with_plan(near, far, TestStore::default(), plan).await;
    let address = setting.entry.address;
    let asked = tokio::spawn(async move { ask(address, path, "k").await });
    while setting.near.seen().is_empty() && setting.far.seen().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    setting.apply(newer).await;
    release.send(true).expect("the server waits for it");
    let _ = asked.await.expect("it ends");
    setting
}

/// A request that was let in by an older plan is sent again by the regions of the newer one.
#[gtest]
#[tokio::test]
async fn what_is_sent_again_follows_the_plan_in_force() {
    for restricted in BOTH {
        let setting = break_off_after_move(restricted, "/safe/x", breaks_off).await;
        expect_that!((setting.near.seen().len(), setting.far.seen().len()), eq((1, 1)));
    }
}

/// A running stream must not be resumed in a region that the plan has forbidden since it began.
#[gtest]
#[tokio::test]
async fn a_stream_is_resumed_by_the_plan_in_force() {
    for restricted in BOTH {
        let setting = break_off_after_move(restricted, "/stream/x", cuts_stream).await;
        expect_that!((setting.near.seen().len(), setting.far.seen().len()), eq((1, 1)));
    }
}

/// Guards against the regions of the older plan where the newer one lacks the organisation: they would send the
/// request again to a region that its route no longer allows.
#[gtest]
#[tokio::test]
async fn a_plan_without_the_organisation_still_restricts_the_route() {
    let anywhere = AllowedRegions::Anywhere;
    for (path, begins) in [("/safe/x", breaks_off as Script), ("/stream/x", cuts_stream)] {
        let both =
            AllowedRegions::Only(["r1", "r2"].map(|name| name.parse().expect("a name")).into());
        let mut newer = plan_with(6, &only("r3"), &anywhere);
        newer.tenants[0].name = "another".into();
        let plan = plan_with(5, &both, &anywhere);
        let setting = break_off_after(plan, newer, path, [begins, serves]).await;
        expect_that!((setting.near.seen().len(), setting.far.seen().len()), eq((1, 0)), "{path}");
    }
}

#[gtest]
#[tokio::test]
async fn a_failure_domain_that_is_being_emptied_gets_nothing() {
    let store = TestStore::default();
    let emptied = Fact::Evacuation("z1".parse().expect("a name"));
    store.set(FactTopic::Evacuations, "z1", emptied);
    let plan_before = plan_in(Restricted::Routes, 5, "r2");
    let setting = Setting::with_plan(serves as Script, serves as Script, store, plan_before).await;
    setting.store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan(6))));
    let is_known = || {
        let state = &setting.entry.state;
        state.plan_version().0 == 6 && !state.evacuated().domains.is_empty()
    };
    for _ in 0..400 {
        if is_known() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    expect_that!(is_known(), eq(true));
    for path in ["/safe/x", "/once/x", "/stream/x"] {
        let answer = ask(setting.entry.address, path, "k").await.expect("an answer");
        expect_that!(answer.status, eq(StatusCode::OK));
    }
    expect_that!((setting.near.seen().len(), setting.far.seen().len()), eq((0, 3)));
}
