//! What tests of an entry between callers and servers share: a store, a header form, a plan, a caller.

// Each test file uses a part of it.
#![allow(dead_code)]

pub mod agent;
pub mod crowd;
pub mod cut_path;
pub mod entries;
pub mod instance;
pub mod kept;
pub mod long_streams;
pub mod mortal;
pub mod paced;
pub mod process;
pub mod rollback_store;
pub mod server;
pub mod signaling;
pub mod two_servers;

use std::{net::SocketAddr, sync::Mutex, time::Duration};

use bytes::Bytes;
use headlatch_http::{CallResponse, Connections};
use headlatch_outside::{
    OutsideFuture,
    facts::{
        Fact, FactChanges, FactList, FactStore, FactTopic, Freshness, NamedFact, StoreFailure,
    },
    headers::{ForwardMetadata, HeaderFormat, RequestMetadata, ResponseMetadata},
};
use headlatch_types::{
    ByteProgress,
    reading::FieldIssues,
    request::SharedParts,
    settings::DaemonSettings,
    store::StoreRevision,
    traffic::{
        AllowedRegions, ClientLimits, PlanVersion, Route, RouteKind, RouteTarget, ServerId,
        ServerRecord, Tenant, TrafficPlan,
    },
};
use http::{HeaderMap, Method, StatusCode};
use tokio::{io::AsyncReadExt, net::TcpStream};

/// A header form of the tests' own.
#[derive(Debug)]
pub struct TestHeaders;

/// All parts but the last, separated by commas.
fn shared_parts(listed: Option<&str>) -> SharedParts {
    let mut shared = SharedParts::default();
    let listed = listed.and_then(|listed| listed.rsplit_once(','));
    for part in listed.iter().flat_map(|(shared, _own)| shared.split(',')) {
        shared.push(part.parse().ok());
    }
    shared
}

impl HeaderFormat for TestHeaders {
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata {
        let text =
            |name: &str| headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
        RequestMetadata {
            id: text("x-id"),
            key: text("x-key"),
            deadline: Some(Duration::from_secs(20)),
            model: text("x-model"),
            answer_tokens: text("x-tokens").and_then(|tokens| tokens.parse().ok()),
            shared_parts: shared_parts(text("x-parts").as_deref()),
            ..RequestMetadata::default()
        }
    }

    fn write_request(&self, headers: &mut HeaderMap, facts: &ForwardMetadata) {
        headers.remove("x-key");
        let last = facts.last_event.map(|event| event.to_string());
        let server = facts.server.as_ref().map(|server| server.to_string());
        let deadline = facts.deadline.map(|time| time.as_millis().to_string());
        let tenant = facts.tenant.clone();
        let priority = facts.priority.map(|priority| priority.to_string());
        let lines = [
            ("x-last", last),
            ("x-tenant", tenant),
            ("x-server", server),
            ("x-deadline", deadline),
            ("x-priority", priority),
        ];
        for (name, value) in lines {
            if let Some(value) = value.and_then(|value| value.parse().ok()) {
                headers.insert(name, value);
            }
        }
    }

    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata {
        let text =
            |name: &str| headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
        let (id, instance) = (text("x-id"), text("x-instance").map(|id| ServerId(id.into())));
        let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        let not_run = misdirected || headers.contains_key("x-not-run");
        let signed = headers.contains_key("x-sign");
        ResponseMetadata {
            id,
            not_run,
            misdirected,
            signed,
            instance,
            ..ResponseMetadata::default()
        }
    }

    fn write_id(&self, headers: &mut HeaderMap, request: &str) {
        if let Ok(value) = request.parse() {
            headers.insert("x-id", value);
        }
    }
}

/// Facts that a test may change; watches wait until it does.
#[derive(Debug, Default)]
pub struct TestStore {
    pub facts: Mutex<Vec<(FactTopic, NamedFact)>>,
    pub changed: tokio::sync::Notify,
    /// Watches break off upon a change, and from then on wait as if nothing had changed.
    pub forgetful: bool,
    pub broken: Mutex<Vec<FactTopic>>,
}

impl TestStore {
    /// Changes a fact.
    pub fn set(&self, topic: FactTopic, name: &str, fact: Fact) {
        let revision = StoreRevision::from_wire(1);
        let fact = NamedFact {
            name: name.to_owned(),
            revision,
            fact: Ok(fact),
            field_issues: FieldIssues::default(),
        };
        self.replace_silently(topic, fact);
        self.changed.notify_waiters();
    }

    /// Changes a fact without a word to those that watch.
    pub fn replace_silently(&self, topic: FactTopic, fact: NamedFact) {
        let mut facts = self.facts.lock().expect("no test panics with it");
        facts.retain(|(kept, old)| *kept != topic || old.name != fact.name);
        facts.push((topic, fact));
    }
}

impl FactStore for TestStore {
    fn list(
        &self,
        topic: FactTopic,
        _freshness: Freshness,
        _progress: ByteProgress,
    ) -> OutsideFuture<'_, std::result::Result<FactList, StoreFailure>> {
        let facts = self.facts.lock().expect("no test panics with it");
        let facts = facts.iter().filter(|(kept, _)| *kept == topic);
        let facts = facts.map(|(_, fact)| fact.clone()).collect();
        Box::pin(async move {
            Ok(FactList { facts, at: StoreRevision::from_wire(1), ..FactList::default() })
        })
    }

    fn watch(
        &self,
        topic: FactTopic,
        after: StoreRevision,
        wait: Duration,
        _progress: ByteProgress,
    ) -> OutsideFuture<'_, std::result::Result<FactChanges, StoreFailure>> {
        Box::pin(async move {
            if tokio::time::timeout(wait, self.changed.notified()).await.is_err() {
                return Ok(FactChanges { changes: Vec::new(), at: after });
            }
            if self.forgetful {
                self.broken.lock().expect("no test panics with it").push(topic);
                return Err(StoreFailure::Unreachable("cut".to_owned()));
            }
            // Whatever changed, the next list tells.
            Err(StoreFailure::HistoryGone)
        })
    }
}

pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|line| line.strip_prefix(&format!("{name}: ")))
}

pub fn settings() -> headlatch_types::direct_settings::DirectEntrySettings {
    let text = serde_json::json!({
        "box": "e1", "domain": "z1", "region": "r1", "control": "127.0.0.1:0",
        "admin": "127.0.0.1:0", "platform": "http://127.0.0.1:1", "drain_seconds": 1,
        "entry": { "listen": "127.0.0.1:0" },
        "direct": {
            "zones": { "z1": "r1" },
            "retry": { "ratio": 1.0, "slack": 100.0, "window_seconds": 10.0 }
        }
    });
    match DaemonSettings::parse(&text.to_string()) {
        Ok(DaemonSettings::DirectEntry(settings)) => *settings,
        other => panic!("these are settings of a direct entry, not {other:?}"),
    }
}

pub fn route(name: &str, kind: RouteKind) -> Route {
    Route {
        name: name.into(),
        host: "a.example".to_owned(),
        path_prefix: format!("/{name}/"),
        kind,
        timeout_ms: 15_000,
        objective_ms: 5_000,
        pause_objective_ms: 5_000,
        priority: 1,
        targets: vec![RouteTarget { service: "s".into(), weight: 1 }],
        max_attempts: 2,
        anonymous: false,
        resumable: true,
        allowed_regions: AllowedRegions::Anywhere,
    }
}

pub fn plan(version: u64) -> TrafficPlan {
    TrafficPlan {
        version: PlanVersion(version),
        routes: vec![
            route("safe", RouteKind::Repeatable),
            route("once", RouteKind::Once),
            route("stream", RouteKind::Stream),
            Route { objective_ms: 300, ..route("quick", RouteKind::Repeatable) },
        ],
        limits: ClientLimits { body_bytes: 1000, ..ClientLimits::default() },
        tenants: vec![Tenant {
            name: "t".into(),
            keys: vec!["k".to_owned()],
            priority: None,
            allowed_regions: AllowedRegions::Anywhere,
        }],
        ..TrafficPlan::default()
    }
}

/// The first server is the one that is asked first: the other has another zone.
pub fn record(name: &str, address: SocketAddr, zone: &str) -> ServerRecord {
    ServerRecord {
        id: ServerId(name.into()),
        started_at: None,
        service: "s".into(),
        address,
        zone: zone.parse().expect("a name"),
        slots: 4,
        draining: false,
        cold_ms: 0,
        models: Vec::new(),
    }
}

pub async fn ask(
    address: SocketAddr,
    path: &str,
    key: &str,
) -> std::result::Result<CallResponse, String> {
    ask_with(address, path, &[("x-key", key)]).await
}

/// Asks with headers of the caller's own.
pub async fn ask_with(
    address: SocketAddr,
    path: &str,
    lines: &[(&'static str, &str)],
) -> std::result::Result<CallResponse, String> {
    let mut headers = HeaderMap::new();
    headers.insert("x-id", "r1".parse().expect("a value"));
    for (name, value) in lines {
        headers.insert(*name, value.parse().expect("a value"));
    }
    let connections = Connections::default();
    let (mut held, _) = connections
        .get(address, headlatch_http::ConnectionChoice::Fresh, Duration::from_secs(5))
        .await
        .map_err(|error| error.message)?;
    headers.insert("host", "a.example".parse().expect("a value"));
    let uri = path.parse().expect("a path");
    let answer = held.send(Method::GET, uri, headers, Bytes::new()).await;
    let answer = answer.map_err(|error| error.message)?;
    let (parts, body) = answer.into_parts();
    let body = http_body_util::BodyExt::collect(body).await.map_err(|error| error.to_string())?;
    let (status, headers) = (parts.status, parts.headers);
    Ok(CallResponse { status, headers, body: body.to_bytes() })
}

/// The head of a request; none if the caller has gone.
pub async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).await.ok()?;
        head.push(byte[0]);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}
