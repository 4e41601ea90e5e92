//! Requests during the demo, each checked by its caller.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use headlatch_http::HttpCaller;
use headlatch_types::{Digest, quantity::ByteSize};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use serde::Serialize;
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use super::{cluster::DemoCluster, model::MODEL};

/// Callers that ask at the same time.
const CALLERS: usize = 24;

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(10);

/// Tokens of an answer.
const TOKENS: usize = 24;

/// Largest answer and longest time for it.
const LIMITS: (ByteSize, Duration) = (ByteSize::from_mib(4), Duration::from_secs(60));

/// What the callers got.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct TrafficCounts {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers to the caller's own request, from one version's weights.
    pub whole: u64,
    /// Refused, and certainly not run.
    pub not_run: u64,
    /// Broken off; the caller was told that it may have run.
    pub may_have_run: u64,
    /// Answers that were not whole and did not say so.
    pub cut_off: u64,
    /// Answers to another request.
    pub crossed: u64,
    /// Answers from more than one version's weights.
    pub mixed: u64,
    /// Notices posted twice.
    pub doubled: u64,
    /// Notices whose caller was told that they were posted, and are not there.
    pub lost: u64,
}

/// Sums of counts while callers run.
#[derive(Debug, Default)]
struct SharedCounts {
    sent: AtomicU64,
    whole: AtomicU64,
    not_run: AtomicU64,
    may_have_run: AtomicU64,
    cut_off: AtomicU64,
    crossed: AtomicU64,
    mixed: AtomicU64,
}

/// Callers and what they got.
#[derive(Debug)]
pub struct TrafficLoad {
    entries: Vec<SocketAddr>,
    counts: SharedCounts,
    stopped: AtomicBool,
    posted: std::sync::Mutex<Vec<String>>,
    board: Arc<headlatch_standins::plain::NoticeBoard>,
}

/// Callers that run.
pub struct RunningTraffic {
    load: Arc<TrafficLoad>,
    callers: Vec<JoinHandle<()>>,
}

impl TrafficLoad {
    /// Callers of the cluster's entries.
    pub fn new(cluster: &DemoCluster) -> Self {
        Self {
            entries: cluster.entries.iter().map(|entry| entry.listen).collect(),
            counts: SharedCounts::default(),
            stopped: AtomicBool::new(false),
            posted: std::sync::Mutex::default(),
            board: cluster.board.clone(),
        }
    }

    /// Starts the callers.
    pub fn start(load: Arc<Self>) -> RunningTraffic {
        let callers = (0..CALLERS).map(|nth| tokio::spawn(load.clone().call_on(nth))).collect();
        RunningTraffic { load, callers }
    }

    async fn call_on(self: Arc<Self>, nth: usize) {
        let caller = HttpCaller::pooled();
        let entry = self.entries[nth % self.entries.len()];
        let mut number = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            number += 1;
            let text = format!("caller {nth}, request {number}");
            self.counts.sent.fetch_add(1, Ordering::Relaxed);
            match number % 4 {
                0 => self.post(&caller, entry, &text).await,
                1 => self.complete(&caller, entry, &text, false).await,
                _ => self.complete(&caller, entry, &text, true).await,
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn post(&self, caller: &HttpCaller, entry: SocketAddr, text: &str) {
        let target = (Method::POST, "/board/notices");
        let body = Bytes::from(text.to_owned());
        let answered = caller.call(entry, target, HeaderMap::new(), body, LIMITS).await;
        match answered {
            Ok((StatusCode::CREATED, ..)) => {
                self.counts.whole.fetch_add(1, Ordering::Relaxed);
                let mut posted = self.posted.lock().unwrap_or_else(|broken| broken.into_inner());
                posted.push(text.to_owned());
            }
            Ok((_, headers, _)) => self.count_refusal(&headers),
            Err(_) => self.add(&self.counts.cut_off),
        }
    }

    async fn complete(&self, caller: &HttpCaller, entry: SocketAddr, text: &str, stream: bool) {
        let body =
            json!({ "model": MODEL, "prompt": text, "max_tokens": TOKENS, "stream": stream });
        let target = (Method::POST, "/v1/completions");
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let answered =
            caller.call(entry, target, headers, Bytes::from(body.to_string()), LIMITS).await;
        let (status, headers, body) = match answered {
            Ok(answer) => answer,
            Err(_) => return self.add(&self.counts.cut_off),
        };
        if status != StatusCode::OK {
            return self.count_refusal(&headers);
        }
        let words = if stream { read_stream(&body) } else { read_whole(&body) };
        match words {
            Answer::Whole(words) => self.judge(text, &words),
            Answer::SaidBroken => self.add(&self.counts.may_have_run),
            Answer::CutOff => self.add(&self.counts.cut_off),
        }
    }

    /// Each token of the stand-in engine names the prompt, the weights and its own number.
    fn judge(&self, text: &str, words: &str) {
        let prompt = format!("{}{}", json!(text), Value::Null);
        let tag = &Digest::of(prompt.as_bytes()).to_string()[..8];
        let tokens: Vec<Vec<&str>> =
            words.split_whitespace().map(|word| word.split('.').collect()).collect();
        let whole = tokens.len() == TOKENS && tokens.iter().all(|parts| parts.len() == 3);
        if !whole {
            return self.add(&self.counts.cut_off);
        }
        if tokens.iter().any(|parts| parts[0] != tag) {
            return self.add(&self.counts.crossed);
        }
        if tokens.iter().any(|parts| parts[1] != tokens[0][1]) {
            return self.add(&self.counts.mixed);
        }
        self.add(&self.counts.whole);
    }

    fn count_refusal(&self, headers: &HeaderMap) {
        let verdict = headers.get("x-headlatch-verdict").and_then(|value| value.to_str().ok());
        match verdict {
            Some("not-run") => self.add(&self.counts.not_run),
            _ => self.add(&self.counts.may_have_run),
        }
    }

    fn add(&self, count: &AtomicU64) {
        count.fetch_add(1, Ordering::Relaxed);
    }
}

impl RunningTraffic {
    /// Lets every caller finish and returns what they got.
    pub async fn stop(self) -> TrafficCounts {
        self.load.stopped.store(true, Ordering::Relaxed);
        for caller in self.callers {
            // A caller that panicked has not counted its last request as whole.
            let _ = caller.await;
        }
        let counts = &self.load.counts;
        let read = |count: &AtomicU64| count.load(Ordering::Relaxed);
        let mut notices = self.load.board.notices();
        let all = notices.len();
        notices.sort();
        notices.dedup();
        let posted = self.load.posted.lock().unwrap_or_else(|broken| broken.into_inner());
        let lost = posted.iter().filter(|text| notices.binary_search(text).is_err()).count();
        TrafficCounts {
            sent: read(&counts.sent),
            whole: read(&counts.whole),
            not_run: read(&counts.not_run),
            may_have_run: read(&counts.may_have_run),
            cut_off: read(&counts.cut_off),
            crossed: read(&counts.crossed),
            mixed: read(&counts.mixed),
            doubled: (all - notices.len()) as u64,
            lost: lost as u64,
        }
    }
}

/// An answer as its caller sees it.
enum Answer {
    Whole(String),
    SaidBroken,
    CutOff,
}

fn read_whole(body: &[u8]) -> Answer {
    let value: Value = serde_json::from_slice(body).unwrap_or_default();
    match value["choices"][0]["text"].as_str() {
        Some(text) => Answer::Whole(text.to_owned()),
        None => Answer::CutOff,
    }
}

fn read_stream(body: &[u8]) -> Answer {
    let text = String::from_utf8_lossy(body);
    let mut words = String::new();
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            return Answer::Whole(words);
        }
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        if value.get("error").is_some() {
            return Answer::SaidBroken;
        }
        words.push_str(value["choices"][0]["text"].as_str().unwrap_or_default());
    }
    Answer::CutOff
}
