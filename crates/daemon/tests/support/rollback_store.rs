//! A store that speaks the platform's protocol and can come back from an older copy of itself: its
//! revisions go back and are given out again, and `Store-Era` rises by one. Its lists may have several pages.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use headlatch_standins::RequestLine;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::Instant,
};

use super::{header, read_head};

/// Objects by kind and name, each with its revision.
type Objects = BTreeMap<(String, String), (u64, Value)>;

/// One change: its revision, the kind and name, and the new content, or `None` for a removal.
#[derive(Debug, Clone)]
struct Change {
    revision: u64,
    kind: String,
    name: String,
    spec: Option<Value>,
}

/// What the store holds at one moment.
#[derive(Debug, Clone, Default)]
pub struct StoreCopy {
    revision: u64,
    objects: Objects,
    history: Vec<Change>,
}

#[derive(Debug, Default)]
struct StoreState {
    copy: StoreCopy,
    era: u64,
    /// Closes each connection without an answer.
    away: bool,
    /// Request lines so far.
    calls: Vec<String>,
    /// Objects on a page of a list; no bound if none is set.
    page_items: Option<usize>,
}

/// A store on a free port.
#[derive(Debug, Clone)]
pub struct RollbackStore {
    /// Listen address.
    pub address: SocketAddr,
    state: Arc<Mutex<StoreState>>,
    changed: Arc<watch::Sender<()>>,
    /// Whether calls to this address are answered 503.
    turns_away: Arc<AtomicBool>,
}

/// Status and body of an answer.
type Answer = (u16, Value);

impl RollbackStore {
    /// Starts an empty store in era 0.
    pub async fn start() -> Self {
        Self::listen(Arc::default(), Arc::new(watch::channel(()).0)).await
    }

    /// Another address of the same store, which can turn its callers away by itself.
    pub async fn second_address(&self) -> Self {
        Self::listen(self.state.clone(), self.changed.clone()).await
    }

    async fn listen(state: Arc<Mutex<StoreState>>, changed: Arc<watch::Sender<()>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let address = listener.local_addr().expect("listener is bound");
        let store = Self { address, state, changed, turns_away: Arc::default() };
        let served = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(served.clone().serve(stream));
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("lock is not poisoned")
    }

    /// Adds or replaces an object and returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: Value) -> u64 {
        self.write(kind, name, Some(spec))
    }

    /// Adds an object whose name no reader can tell; lists have it where `name` sorts.
    pub fn put_nameless(&self, kind: &str, name: &str) -> u64 {
        self.put(kind, name, Value::Null)
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) -> u64 {
        self.write(kind, name, None)
    }

    fn write(&self, kind: &str, name: &str, spec: Option<Value>) -> u64 {
        let mut state = self.lock();
        let copy = &mut state.copy;
        copy.revision += 1;
        let (revision, key) = (copy.revision, (kind.to_owned(), name.to_owned()));
        match spec.clone() {
            Some(spec) => copy.objects.insert(key, (revision, spec)),
            None => copy.objects.remove(&key),
        };
        copy.history.push(Change { revision, kind: kind.to_owned(), name: name.to_owned(), spec });
        drop(state);
        self.changed.send_replace(());
        revision
    }

    /// Splits lists into pages of so many objects from now on.
    pub fn set_page_items(&self, items: usize) {
        self.lock().page_items = Some(items);
    }

    /// Names of the objects of a kind.
    pub fn names(&self, kind: &str) -> Vec<String> {
        let state = self.lock();
        let keys = state.copy.objects.keys().filter(|(one, _)| one == kind);
        keys.map(|(_, name)| name.clone()).collect()
    }

    /// What the store holds now.
    pub fn copy(&self) -> StoreCopy {
        self.lock().copy.clone()
    }

    /// Goes away: open calls and new ones end without an answer.
    pub fn go_away(&self) {
        self.lock().away = true;
        self.changed.send_replace(());
    }

    /// Sets whether open calls and new ones at this address are answered 503.
    pub fn turn_away(&self, turns_away: bool) {
        self.turns_away.store(turns_away, Ordering::Relaxed);
        self.changed.send_replace(());
    }

    /// Comes back from `copy`, in the next era.
    pub fn come_back_from(&self, copy: StoreCopy) {
        let mut state = self.lock();
        state.copy = copy;
        state.era += 1;
        state.away = false;
    }

    /// Request lines so far, by method and path.
    pub fn calls(&self) -> Vec<String> {
        self.lock().calls.clone()
    }

    async fn serve(self, mut stream: TcpStream) {
        let Some(head) = read_head(&mut stream).await else { return };
        let line = head.lines().next().unwrap_or_default().to_owned();
        let length = header(&head.to_lowercase(), "content-length").and_then(|n| n.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        if stream.read_exact(&mut body).await.is_err() {
            return;
        }
        self.lock().calls.push(line.clone());
        let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let Some(((status, body), era)) = self.answer(&head, &body).await else { return };
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} X\r\nstore-era: {era}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        // The caller may have disconnected.
        let _ = stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).await;
    }

    /// The answer with the era in which it is given; `None` while the store is away.
    async fn answer(&self, head: &str, body: &Value) -> Option<(Answer, u64)> {
        if self.turns_away.load(Ordering::Relaxed) {
            return Some(((503, json!({})), self.lock().era));
        }
        let Some(line) = RequestLine::read(head) else {
            return Some(((400, json!({})), self.present_era()?));
        };
        let (method, segments) = (line.method.as_str(), &line.segments);
        let (kind, name) = match &segments[..] {
            [_, kind] => (kind.as_str(), None),
            [_, kind, name] => (kind.as_str(), Some(name.as_str())),
            _ => return None,
        };
        if let Some(after) = line.number("watch") {
            let wait = Duration::from_millis(line.number("wait_ms").unwrap_or(0));
            return self.watch(kind, after, wait).await;
        }
        let era = self.present_era()?;
        if let ("GET", None) = (method, name) {
            return self.list(kind, line.parameter("since_revision"));
        }
        let own_name = || body["metadata"]["name"].as_str().unwrap_or_default().to_owned();
        let answer = match (method, name) {
            ("POST", None) if self.names(kind).contains(&own_name()) => (409, json!({})),
            ("POST", None) => {
                let revision = self.put(kind, &own_name(), body["spec"].clone());
                (201, json!({ "revision": revision }))
            }
            ("PUT", Some(name)) => {
                (200, json!({ "revision": self.put(kind, name, body["spec"].clone()) }))
            }
            ("DELETE", Some(name)) => (200, json!({ "revision": self.remove(kind, name) })),
            _ => (404, json!({})),
        };
        Some((answer, era))
    }

    /// The era; `None` while the store is away.
    fn present_era(&self) -> Option<u64> {
        let state = self.lock();
        (!state.away).then_some(state.era)
    }

    /// The page of a list behind the name `after` and the era that it is of; `None` while the store is away.
    fn list(&self, kind: &str, after: Option<&str>) -> Option<(Answer, u64)> {
        let state = self.lock();
        if state.away {
            return None;
        }
        let listed = state.copy.objects.iter().filter(|((one, name), _)| {
            one == kind && after.is_none_or(|after| name.as_str() > after)
        });
        let mut items: Vec<Value> =
            listed.map(|((_, name), (revision, spec))| object(name, *revision, spec)).collect();
        let most = state.page_items.unwrap_or(usize::MAX);
        let more = items.len() > most;
        items.truncate(most);
        let body = json!({ "items": items, "more": more, "at": state.copy.revision });
        Some(((200, body), state.era))
    }

    async fn watch(&self, kind: &str, after: u64, wait: Duration) -> Option<(Answer, u64)> {
        let until = Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            {
                let state = self.lock();
                if state.away {
                    return None;
                }
                if self.turns_away.load(Ordering::Relaxed) {
                    return Some(((503, json!({})), state.era));
                }
                let at = state.copy.revision;
                if after > at {
                    return Some(((410, json!({})), state.era));
                }
                let later = state.copy.history.iter().filter(|change| change.revision > after);
                let events: Vec<Value> =
                    later.filter(|change| change.kind == kind).map(event).collect();
                if !events.is_empty() || Instant::now() >= until {
                    return Some(((200, json!({ "events": events, "at": at })), state.era));
                }
            }
            // The time limit ends the watch without events.
            let _ = tokio::time::timeout_at(until, changed.changed()).await;
        }
    }
}

fn object(name: &str, revision: u64, spec: &Value) -> Value {
    if spec.is_null() {
        return json!({ "spec": {} });
    }
    json!({ "metadata": { "name": name, "revision": revision }, "spec": spec })
}

fn event(change: &Change) -> Value {
    let spec = change.spec.clone().unwrap_or(json!({}));
    json!({ "gone": change.spec.is_none(), "object": object(&change.name, change.revision, &spec) })
}

/// Content of a server record in the platform's words.
pub fn server_spec(address: SocketAddr, zone: &str, state: &str, cold_ms: u64) -> Value {
    json!({
        "service": "s", "address": address, "zone": zone, "version": "v1", "slots": 4, "state": state,
        "cold_remaining_ms": cold_ms, "sequence": 1,
    })
}

/// Content of a configuration in the platform's words: a repeatable route `/safe/` on the service `s`.
pub fn config_spec(version: u64) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "safe", "host": "a.example", "path_prefix": "/safe/", "kind": "safe",
            "timeout_ms": 15000, "target_latency_ms": 5000, "priority": 1, "max_attempts": 2,
            "allow_anonymous": true, "service": "s",
        }],
        "services": [{ "name": "s", "health_path": "/health", "max_connections": 100 }],
    })
}
