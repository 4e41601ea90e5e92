//! The origin of weights and the weight store: files by path, with ranges, over a slow link.

use std::{
    collections::BTreeMap,
    path::PathBuf,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use bytes::Bytes;
use headlatch_http::pace::{LinkPacer, TURN_BYTES};
use headlatch_types::quantity::ByteRate;
use http::{HeaderMap, StatusCode, Uri, header};
use http_body::Frame;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use volo_http::{body::Body, request::Request, response::Response, server::Router};

use crate::platform::plain;

/// Where a version's files come from.
#[derive(Debug, Clone)]
enum FileSource {
    Memory(Bytes),
    Disk(PathBuf),
}

/// How requests past the limit are treated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum OverLimit {
    /// They share the link.
    #[default]
    Share,
    /// They are refused with 429 while this many are in progress.
    Refuse(u64),
}

/// A server of weights with a slow link and a few switches.
#[derive(Debug)]
pub struct WeightServer {
    files: Mutex<BTreeMap<String, FileSource>>,
    link: LinkPacer,
    over: OverLimit,
    sent: AtomicU64,
    open: AtomicU64,
    down: AtomicBool,
    /// One answer in this many is corrupted; 0 for none.
    corrupt_one_in: AtomicU64,
    rng: Mutex<SmallRng>,
}

impl WeightServer {
    /// A server whose link has `rate`.
    pub fn new(rate: ByteRate, over: OverLimit) -> Arc<Self> {
        Arc::new(Self {
            files: Mutex::default(),
            link: LinkPacer::new(rate),
            over,
            sent: AtomicU64::new(0),
            open: AtomicU64::new(0),
            down: AtomicBool::new(false),
            corrupt_one_in: AtomicU64::new(0),
            rng: Mutex::new(SmallRng::seed_from_u64(1)),
        })
    }

    fn files(&self) -> MutexGuard<'_, BTreeMap<String, FileSource>> {
        self.files.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    /// Offers `data` at `path`.
    pub fn put(&self, path: &str, data: Bytes) {
        self.files().insert(path.to_owned(), FileSource::Memory(data));
    }

    /// Offers a file at `path`; it is read whenever it is asked for.
    pub fn put_file(&self, path: &str, file: PathBuf) {
        self.files().insert(path.to_owned(), FileSource::Disk(file));
    }

    /// Bytes of files sent so far.
    pub fn sent_bytes(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Refuses every call while `down`.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::Relaxed);
    }

    /// Corrupts one answer in `answers`; 0 for none.
    pub fn set_corrupt_one_in(&self, answers: u64) {
        self.corrupt_one_in.store(answers, Ordering::Relaxed);
    }

    /// Every path is a file.
    pub fn router(self: &Arc<Self>) -> Router {
        let server = self.clone();
        Router::new().fallback(move |request: Request| async move { server.answer(request).await })
    }

    async fn answer(self: Arc<Self>, request: Request) -> Response {
        if self.down.load(Ordering::Relaxed) {
            return plain(StatusCode::SERVICE_UNAVAILABLE, "down");
        }
        let open = OpenCount::new(self.clone());
        if matches!(self.over, OverLimit::Refuse(most) if open.before >= most) {
            return plain(StatusCode::TOO_MANY_REQUESTS, "too many at once");
        }
        let Some(data) = self.load(request.uri()).await else {
            return plain(StatusCode::NOT_FOUND, "no such file");
        };
        let Some((status, part)) = cut(&data, request.headers()) else {
            return plain(StatusCode::RANGE_NOT_SATISFIABLE, "no such range");
        };
        let part = self.spoil(part);
        let mut response = Response::new(self.stream(part, open));
        *response.status_mut() = status;
        response
    }

    async fn load(&self, uri: &Uri) -> Option<Bytes> {
        let path = percent_encoding::percent_decode_str(uri.path()).decode_utf8().ok()?;
        let source = self.files().get(path.trim_start_matches('/')).cloned()?;
        match source {
            FileSource::Memory(data) => Some(data),
            FileSource::Disk(path) => tokio::fs::read(path).await.ok().map(Bytes::from),
        }
    }

    fn spoil(&self, part: Bytes) -> Bytes {
        let one_in = self.corrupt_one_in.load(Ordering::Relaxed);
        let mut rng = self.rng.lock().unwrap_or_else(|broken| broken.into_inner());
        if one_in == 0 || part.is_empty() || rng.random_range(0..one_in) != 0 {
            return part;
        }
        let mut spoilt = part.to_vec();
        let at = rng.random_range(0..spoilt.len());
        spoilt[at] ^= 1;
        Bytes::from(spoilt)
    }

    fn stream(self: &Arc<Self>, data: Bytes, open: OpenCount) -> Body {
        let server = self.clone();
        Body::from_stream(async_stream::try_stream! {
            let _open = open;
            let mut rest = data;
            while !rest.is_empty() {
                let piece = rest.split_to(rest.len().min(TURN_BYTES));
                server.link.send(piece.len()).await;
                server.sent.fetch_add(piece.len() as u64, Ordering::Relaxed);
                yield Frame::data(piece);
            }
        })
    }
}

/// Counts a request as open until it is dropped.
#[derive(Debug)]
struct OpenCount {
    server: Arc<WeightServer>,
    before: u64,
}

impl OpenCount {
    fn new(server: Arc<WeightServer>) -> Self {
        let before = server.open.fetch_add(1, Ordering::Relaxed);
        Self { server, before }
    }
}

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.server.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The part of `data` that a `Range` header asks for.
fn cut(data: &Bytes, headers: &HeaderMap) -> Option<(StatusCode, Bytes)> {
    let Some(range) = headers.get(header::RANGE) else {
        return Some((StatusCode::OK, data.clone()));
    };
    let (from, to) = range.to_str().ok()?.strip_prefix("bytes=")?.split_once('-')?;
    let (from, to): (usize, usize) = (from.parse().ok()?, to.parse().ok()?);
    (from <= to && to < data.len()).then(|| (StatusCode::PARTIAL_CONTENT, data.slice(from..=to)))
}
