//! The platform: an object API with versions, conditional updates and watches, and a
//! membership list.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use headlatch_http::read_body;
use headlatch_types::quantity::ByteSize;
use http::{HeaderMap, StatusCode, Uri, header};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use volo_http::{
    body::Body,
    request::Request,
    response::Response,
    server::{
        Router,
        route::{get, put},
    },
};

/// Largest value of an object.
const MOST_VALUE: ByteSize = ByteSize::from_mib(1);

/// Longest time a watch may wait.
const LONGEST_WATCH: Duration = Duration::from_secs(60);

/// Time to read a request's body.
const BODY_TIME: Duration = Duration::from_secs(10);

/// One box in the membership list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Id of the box.
    #[serde(rename = "box")]
    pub box_id: String,
    /// Its failure domain.
    pub domain: String,
    /// Its region.
    pub region: String,
    /// `entry` or `agent`.
    pub kind: String,
    /// Address for other boxes of the system.
    pub control: String,
    /// Whether it is about to leave.
    #[serde(default)]
    pub leaving: bool,
}

#[derive(Debug, Clone)]
struct StoredObject {
    version: u64,
    value: Bytes,
}

#[derive(Debug, Default)]
struct PlatformState {
    objects: BTreeMap<String, StoredObject>,
    members: BTreeMap<String, Member>,
    last_version: u64,
}

/// The platform's state and switches, shared with its server.
#[derive(Debug)]
pub struct Platform {
    state: Mutex<PlatformState>,
    changes: watch::Sender<u64>,
    down: AtomicBool,
    lose_answers: AtomicBool,
    reads: AtomicU64,
    writes: AtomicU64,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            changes: watch::channel(0).0,
            down: AtomicBool::new(false),
            lose_answers: AtomicBool::new(false),
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
        }
    }
}

impl Platform {
    /// An empty platform.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    /// Adds or replaces a member.
    pub fn put_member(&self, member: Member) {
        self.lock().members.insert(member.box_id.clone(), member);
    }

    /// Removes a member.
    pub fn remove_member(&self, box_id: &str) {
        self.lock().members.remove(box_id);
    }

    /// Refuses every call while `down`.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
        self.changes.send_modify(|_| {});
    }

    /// Carries writes out and loses their answers while `lose`.
    pub fn set_lose_answers(&self, lose: bool) {
        self.lose_answers.store(lose, Ordering::Relaxed);
    }

    /// Reads, with watches, and writes so far.
    pub fn calls(&self) -> (u64, u64) {
        (self.reads.load(Ordering::Relaxed), self.writes.load(Ordering::Relaxed))
    }

    fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed)
    }

    fn object(&self, key: &str) -> Option<StoredObject> {
        self.lock().objects.get(key).cloned()
    }

    fn write(&self, key: &str, condition: WriteCondition, value: Bytes) -> Result<u64, u64> {
        let mut state = self.lock();
        let current = state.objects.get(key).map_or(0, |object| object.version);
        let allowed = match condition {
            WriteCondition::Always => true,
            WriteCondition::Absent => current == 0,
            WriteCondition::Version(version) => current == version,
        };
        if !allowed {
            return Err(current);
        }
        state.last_version += 1;
        let version = state.last_version;
        state.objects.insert(key.to_owned(), StoredObject { version, value });
        drop(state);
        self.changes.send_replace(version);
        Ok(version)
    }

    /// The routes of the object API and the membership list.
    pub fn router(self: &Arc<Self>) -> Router {
        let (reader, writer, lister) = (self.clone(), self.clone(), self.clone());
        let (members, registrar) = (self.clone(), self.clone());
        Router::new()
            .route(
                "/v1/objects/{*key}",
                get(move |uri: Uri| async move { reader.read(&uri).await })
                    .put(move |request: Request| async move { writer.receive(request).await }),
            )
            .route("/v1/objects", get(move |uri: Uri| async move { lister.list(&uri) }))
            .route("/v1/members", get(move || async move { members.list_members() }))
            .route(
                "/v1/members/{id}",
                put(move |request: Request| async move { registrar.register(request).await }),
            )
    }

    async fn read(&self, uri: &Uri) -> Response {
        self.reads.fetch_add(1, Ordering::Relaxed);
        if self.is_down() {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "the platform is down");
        }
        let key = object_key(uri);
        let after = query_number(uri, "after");
        let wait = Duration::from_millis(query_number(uri, "wait_ms").unwrap_or(0));
        let mut changes = self.changes.subscribe();
        let deadline = tokio::time::Instant::now() + wait.min(LONGEST_WATCH);
        loop {
            let found = self.object(&key);
            let Some(after) = after else { return object_answer(found) };
            if found.as_ref().is_some_and(|object| object.version > after) {
                return object_answer(found);
            }
            let changed = tokio::time::timeout_at(deadline, changes.changed()).await;
            if self.is_down() {
                return plain(StatusCode::SERVICE_UNAVAILABLE, "the platform is down");
            }
            if !matches!(changed, Ok(Ok(()))) {
                return plain(StatusCode::NOT_MODIFIED, "");
            }
        }
    }

    async fn receive(&self, request: Request) -> Response {
        self.writes.fetch_add(1, Ordering::Relaxed);
        if self.is_down() {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "the platform is down");
        }
        let key = object_key(request.uri());
        let Some(condition) = WriteCondition::read(request.headers()) else {
            return plain(StatusCode::BAD_REQUEST, "the condition is not understood");
        };
        let Ok(value) = read_body(request.into_body(), MOST_VALUE, BODY_TIME).await else {
            return plain(StatusCode::PAYLOAD_TOO_LARGE, "a value may hold 1 MiB");
        };
        let written = self.write(&key, condition, value);
        if self.lose_answers.load(Ordering::Relaxed) {
            return plain(StatusCode::GATEWAY_TIMEOUT, "the answer was lost");
        }
        match written {
            Ok(version) => with_version(StatusCode::OK, version, Bytes::new()),
            Err(version) => with_version(StatusCode::PRECONDITION_FAILED, version, Bytes::new()),
        }
    }

    fn list(&self, uri: &Uri) -> Response {
        self.reads.fetch_add(1, Ordering::Relaxed);
        if self.is_down() {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "the platform is down");
        }
        let prefix = query_text(uri, "prefix").unwrap_or_default();
        let state = self.lock();
        let fits = state.objects.iter().filter(|(key, _)| key.starts_with(&prefix));
        let rows: Vec<serde_json::Value> = fits
            .map(|(key, object)| {
                let value = String::from_utf8_lossy(&object.value);
                serde_json::json!({ "key": key, "version": object.version, "value": value })
            })
            .collect();
        json(&rows)
    }

    fn list_members(&self) -> Response {
        self.reads.fetch_add(1, Ordering::Relaxed);
        if self.is_down() {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "the platform is down");
        }
        json(&self.lock().members.values().cloned().collect::<Vec<_>>())
    }

    /// Lets whoever plays the platform's operator add a member over HTTP.
    async fn register(&self, request: Request) -> Response {
        let body = read_body(request.into_body(), MOST_VALUE, BODY_TIME).await.unwrap_or_default();
        match serde_json::from_slice::<Member>(&body) {
            Ok(member) => {
                self.put_member(member);
                plain(StatusCode::OK, "")
            }
            Err(error) => plain(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }
}

/// When a write is carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteCondition {
    Always,
    Absent,
    Version(u64),
}

impl WriteCondition {
    fn read(headers: &HeaderMap) -> Option<Self> {
        if headers.contains_key(header::IF_NONE_MATCH) {
            return Some(Self::Absent);
        }
        let Some(tag) = headers.get(header::IF_MATCH) else { return Some(Self::Always) };
        let version = tag.to_str().ok()?.trim_matches('"').parse().ok()?;
        Some(Self::Version(version))
    }
}

fn object_key(uri: &Uri) -> String {
    uri.path().trim_start_matches("/v1/objects/").to_owned()
}

fn query_text(uri: &Uri, name: &str) -> Option<String> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
}

fn query_number(uri: &Uri, name: &str) -> Option<u64> {
    query_text(uri, name)?.parse().ok()
}

fn object_answer(found: Option<StoredObject>) -> Response {
    match found {
        Some(object) => with_version(StatusCode::OK, object.version, object.value),
        None => plain(StatusCode::NOT_FOUND, "there is no such object"),
    }
}

fn with_version(status: StatusCode, version: u64, value: Bytes) -> Response {
    let mut response = Response::new(Body::from(value));
    *response.status_mut() = status;
    let tag = format!("\"{version}\"").parse().expect("digits in quotes make a header");
    response.headers_mut().insert(header::ETAG, tag);
    response
}

pub(crate) fn plain(status: StatusCode, text: &str) -> Response {
    let mut response = Response::new(Body::from(text.to_owned()));
    *response.status_mut() = status;
    response
}

pub(crate) fn json<T: Serialize>(value: &T) -> Response {
    let text = serde_json::to_vec(value).expect("stand-ins answer with string keys");
    let mut response = Response::new(Body::from(text));
    let kind = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
