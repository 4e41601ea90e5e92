//! A model engine: loads weights by fenced order and answers completions from them.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use headlatch_http::{HttpCaller, read_body};
use headlatch_types::{digest::Digest, quantity::ByteSize};
use http::{HeaderMap, Method, StatusCode};
use http_body::Frame;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::Semaphore;
use volo_http::{
    body::Body,
    request::Request,
    response::Response,
    server::{
        Router,
        route::{get, post},
    },
};

use crate::platform::{json as json_answer, plain};

/// Largest file that is loaded.
const MOST_FILE: ByteSize = ByteSize::from_mib(4096);

/// Time to load one file.
const FILE_TIME: Duration = Duration::from_secs(600);

/// An order to load a set of weights.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Must be higher than that of any order before it.
    pub token: u64,
    /// Key of the set, as the agent names it.
    pub set: u64,
    /// Files to load: URL, and the digest their bytes must have.
    pub files: Vec<LoadFile>,
}

/// One file of an order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadFile {
    /// Where to read it.
    pub url: String,
}

/// What an engine says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Highest token of an order so far.
    pub token: u64,
    /// Key of the set that is loaded; 0 for none.
    pub set: u64,
    /// Whether a load is in progress.
    pub loading: bool,
    /// Digest over the digests of the loaded files in order; empty for none.
    pub fingerprint: String,
    /// Requests in progress.
    pub running: u64,
}

/// How an engine behaves.
#[derive(Debug, Clone)]
pub struct EngineTempo {
    /// Time to load a set, whatever its size.
    pub load: Duration,
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub token: Duration,
    /// Requests that run at the same time; further ones wait.
    pub slots: usize,
    /// Whether it refuses orders whose token is not higher than the last.
    pub checks_tokens: bool,
}

impl Default for EngineTempo {
    fn default() -> Self {
        Self {
            load: Duration::from_millis(100),
            first_token: Duration::from_millis(20),
            token: Duration::from_millis(5),
            slots: 16,
            checks_tokens: true,
        }
    }
}

/// An engine's state and switches, shared with its server.
#[derive(Debug)]
pub struct Engine {
    tempo: EngineTempo,
    status: Mutex<EngineStatus>,
    slots: Semaphore,
    running: AtomicU64,
    cancelled: AtomicU64,
    broken: AtomicBool,
    caller: HttpCaller,
}

impl Engine {
    /// An engine with nothing loaded.
    pub fn new(tempo: EngineTempo) -> Arc<Self> {
        Arc::new(Self {
            slots: Semaphore::new(tempo.slots),
            tempo,
            status: Mutex::default(),
            running: AtomicU64::new(0),
            cancelled: AtomicU64::new(0),
            broken: AtomicBool::new(false),
            caller: HttpCaller::fresh(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, EngineStatus> {
        self.status.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    /// What it says of itself.
    pub fn status(&self) -> EngineStatus {
        EngineStatus { running: self.running.load(Ordering::Relaxed), ..self.lock().clone() }
    }

    /// Streams that were cancelled before their end.
    pub fn cancelled(&self) -> u64 {
        self.cancelled.load(Ordering::Relaxed)
    }

    /// Breaks streams off in the middle while `broken`.
    pub fn set_broken(&self, broken: bool) {
        self.broken.store(broken, Ordering::Relaxed);
    }

    /// The routes of the engine.
    pub fn router(self: &Arc<Self>) -> Router {
        let (status, orders) = (self.clone(), self.clone());
        let (text, chat) = (self.clone(), self.clone());
        Router::new()
            .route("/status", get(move || async move { json_answer(&status.status()) }))
            .route(
                "/orders/load",
                post(move |request: Request| async move { orders.receive_order(request).await }),
            )
            .route(
                "/v1/completions",
                post(move |request: Request| async move { text.complete(request, false).await }),
            )
            .route(
                "/v1/chat/completions",
                post(move |request: Request| async move { chat.complete(request, true).await }),
            )
    }

    async fn receive_order(self: Arc<Self>, request: Request) -> Response {
        let Some(order) = read_json::<LoadOrder>(request).await else {
            return plain(StatusCode::BAD_REQUEST, "the order is not understood");
        };
        {
            let mut status = self.lock();
            if self.tempo.checks_tokens && order.token <= status.token {
                return plain(StatusCode::CONFLICT, "a later order has been given");
            }
            let token = order.token.max(status.token);
            *status = EngineStatus { token, loading: true, ..EngineStatus::default() };
        }
        tokio::spawn(async move { self.load(order).await });
        plain(StatusCode::ACCEPTED, "")
    }

    async fn load(&self, order: LoadOrder) {
        let mut digests = Vec::new();
        for file in &order.files {
            let Some(data) = self.read(&file.url).await else {
                log::warn!("engine: {} could not be read", file.url);
                self.finish(&order, None);
                return;
            };
            digests.extend_from_slice(Digest::of(&data).as_bytes());
        }
        tokio::time::sleep(self.tempo.load).await;
        self.finish(&order, Some(Digest::of(&digests)));
    }

    fn finish(&self, order: &LoadOrder, fingerprint: Option<Digest>) {
        let mut status = self.lock();
        if status.token != order.token {
            return;
        }
        status.loading = false;
        if let Some(fingerprint) = fingerprint {
            status.set = order.set;
            status.fingerprint = fingerprint.to_string();
        }
    }

    async fn read(&self, url: &str) -> Option<Bytes> {
        let (address, path) = url.strip_prefix("http://")?.split_once('/')?;
        let address = address.parse().ok()?;
        let target = (Method::GET, &*format!("/{path}"));
        let limits = (MOST_FILE, FILE_TIME);
        let answer = self.caller.call(address, target, HeaderMap::new(), Bytes::new(), limits);
        let (status, _, body) = answer.await.ok()?;
        status.is_success().then_some(body)
    }

    async fn complete(self: Arc<Self>, request: Request, chat: bool) -> Response {
        let Some(ask) = read_json::<CompletionAsk>(request).await else {
            return plain(StatusCode::BAD_REQUEST, "the request is not understood");
        };
        let status = self.status();
        if status.set == 0 {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "nothing is loaded");
        }
        let words = ask.words(&status);
        let run = EngineRun { running: RunningCount::new(self.clone()), ask, chat, words };
        if run.ask.stream { run.stream() } else { run.whole().await }
    }
}

/// A completion request, as far as the stand-in reads it.
#[derive(Debug, Clone, Deserialize)]
struct CompletionAsk {
    model: String,
    #[serde(default)]
    prompt: serde_json::Value,
    #[serde(default)]
    messages: serde_json::Value,
    #[serde(default = "default_tokens")]
    max_tokens: usize,
    #[serde(default)]
    stream: bool,
}

fn default_tokens() -> usize {
    16
}

impl CompletionAsk {
    /// The answer's tokens: a function of the prompt and of the weights alone.
    fn words(&self, status: &EngineStatus) -> Vec<String> {
        let prompt = format!("{}{}", self.prompt, self.messages);
        let tag = &Digest::of(prompt.as_bytes()).to_string()[..8];
        let weights = &status.fingerprint[..8.min(status.fingerprint.len())];
        let count = self.max_tokens.clamp(1, 4096);
        (0..count).map(|nth| format!("{tag}.{weights}.{nth} ")).collect()
    }
}

/// Counts a request as running until it is dropped.
#[derive(Debug)]
struct RunningCount {
    engine: Arc<Engine>,
    finished: bool,
}

impl RunningCount {
    fn new(engine: Arc<Engine>) -> Self {
        engine.running.fetch_add(1, Ordering::Relaxed);
        Self { engine, finished: false }
    }

    fn finish(&mut self) {
        self.finished = true;
    }
}

impl Drop for RunningCount {
    fn drop(&mut self) {
        self.engine.running.fetch_sub(1, Ordering::Relaxed);
        if !self.finished {
            self.engine.cancelled.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// One request in the engine.
struct EngineRun {
    running: RunningCount,
    ask: CompletionAsk,
    chat: bool,
    words: Vec<String>,
}

impl EngineRun {
    async fn whole(mut self) -> Response {
        let engine = self.running.engine.clone();
        let Ok(_slot) = engine.slots.acquire().await else {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "stopping");
        };
        let rest = engine.tempo.token * self.words.len() as u32;
        tokio::time::sleep(engine.tempo.first_token + rest).await;
        self.running.finish();
        let text = self.words.concat();
        let choice = if self.chat {
            let message = json!({ "role": "assistant", "content": text });
            json!({ "index": 0, "message": message, "finish_reason": "length" })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": "length" })
        };
        let object = if self.chat { "chat.completion" } else { "text_completion" };
        json_answer(&json!({
            "id": "cmpl-standin",
            "object": object,
            "created": 0,
            "model": self.ask.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": 1,
                "completion_tokens": self.words.len(),
                "total_tokens": self.words.len() + 1,
            },
        }))
    }

    fn stream(mut self) -> Response {
        let body = Body::from_stream(async_stream::stream! {
            let engine = self.running.engine.clone();
            let Ok(_slot) = engine.slots.acquire().await else { return };
            tokio::time::sleep(engine.tempo.first_token).await;
            let last = self.words.len() - 1;
            for (nth, word) in self.words.iter().enumerate() {
                if nth > last / 2 && engine.broken.load(Ordering::Relaxed) {
                    yield Err("the engine broke off".into());
                    return;
                }
                let event = self.event(word, nth == last);
                yield Ok(Frame::data(Bytes::from(format!("data: {event}\n\n"))));
                tokio::time::sleep(engine.tempo.token).await;
            }
            self.running.finish();
            yield Ok(Frame::data(Bytes::from_static(b"data: [DONE]\n\n")));
        });
        let mut response = Response::new(body);
        let kind = http::HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(http::header::CONTENT_TYPE, kind);
        response
    }

    fn event(&self, word: &str, last: bool) -> serde_json::Value {
        let finish = if last { json!("length") } else { serde_json::Value::Null };
        let choice = if self.chat {
            json!({ "index": 0, "delta": { "content": word }, "finish_reason": finish })
        } else {
            json!({ "index": 0, "text": word, "finish_reason": finish })
        };
        let object = if self.chat { "chat.completion.chunk" } else { "text_completion" };
        json!({
            "id": "cmpl-standin",
            "object": object,
            "created": 0,
            "model": self.ask.model,
            "choices": [choice],
        })
    }
}

async fn read_json<T: serde::de::DeserializeOwned>(request: Request) -> Option<T> {
    let limits = (ByteSize::from_mib(16), Duration::from_secs(30));
    let body = read_body(request.into_body(), limits.0, limits.1).await.ok()?;
    serde_json::from_slice(&body).ok()
}
