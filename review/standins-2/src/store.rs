//! A stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::Peer;

#[derive(Default)]
struct State {
    revision: u64,
    /// Objects by kind and name, as bytes of JSON.
    objects: BTreeMap<String, BTreeMap<String, Vec<u8>>>,
    /// Changes: revision, kind, the object, and whether it is gone.
    events: Vec<(u64, String, Vec<u8>, bool)>,
    made: BTreeMap<String, u64>,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

/// The value of a parameter of a query.
fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

fn joined(parts: impl Iterator<Item = Vec<u8>>) -> Vec<u8> {
    parts.collect::<Vec<_>>().join(&b","[..])
}

impl Store {
    /// Starts a store and returns its address.
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
        let address = listener.local_addr().expect("an address");
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(Peer::new(stream)));
            }
        });
        (store, address)
    }

    /// Writes an object whose `spec` is given as bytes of JSON.
    pub fn put(&self, kind: &str, name: &str, spec: &[u8]) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let made = *state.made.entry(format!("{kind}/{name}")).or_insert(revision);
        let mut object = format!(
            r#"{{"metadata":{{"name":"{name}","revision":{revision},"made":{made},"finalizers":[],"deleting":false}},"spec":"#
        )
        .into_bytes();
        object.extend_from_slice(spec);
        object.extend_from_slice(br#","status":null}"#);
        state.objects.entry(kind.to_owned()).or_default().insert(name.to_owned(), object.clone());
        state.events.push((revision, kind.to_owned(), object, false));
        self.changed.notify_all();
        revision
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.state.lock().unwrap();
        let Some(object) = state.objects.get_mut(kind).and_then(|objects| objects.remove(name))
        else {
            return;
        };
        state.revision += 1;
        let revision = state.revision;
        state.events.push((revision, kind.to_owned(), object, true));
        self.changed.notify_all();
    }

    fn serve(&self, mut peer: Peer) {
        while let Ok(Some(head)) = peer.head() {
            let (body, _) = peer.body(&head, false);
            let (status, answer) = self.reply(head.method(), head.word(), &body);
            if peer.answer(status, "Content-Type: application/json\r\n", &answer).is_err() {
                return;
            }
        }
    }

    fn reply(&self, method: &str, target: &str, body: &[u8]) -> (&'static str, Vec<u8>) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut words = path.trim_start_matches('/').split('/').skip(1);
        let (kind, name) = (words.next().unwrap_or(""), words.next());
        if let Some(after) = parameter(query, "watch").and_then(|value| value.parse::<u64>().ok()) {
            let wait =
                parameter(query, "wait_ms").and_then(|value| value.parse().ok()).unwrap_or(0);
            return ("200 OK", self.watch(kind, after, Duration::from_millis(wait)));
        }
        match (method, name) {
            ("GET", None) => {
                ("200 OK", self.list(kind, parameter(query, "since_revision").unwrap_or("")))
            }
            ("GET", Some(name)) => {
                let state = self.state.lock().unwrap();
                match state.objects.get(kind).and_then(|objects| objects.get(name)) {
                    Some(object) => ("200 OK", object.clone()),
                    None => ("404 Not Found", b"{}".to_vec()),
                }
            }
            ("DELETE", Some(name)) => {
                self.remove(kind, name);
                ("200 OK", b"{}".to_vec())
            }
            ("POST" | "PUT", _) => {
                // Objects of the system's own kinds: they are kept as they were sent.
                let text = String::from_utf8_lossy(body).into_owned();
                let named =
                    text.split("\"name\":\"").nth(1).and_then(|rest| rest.split('"').next());
                let Some(name) = name.or(named) else { return ("400 Bad Request", b"{}".to_vec()) };
                self.put(kind, name, b"{}");
                ("200 OK", b"{}".to_vec())
            }
            _ => ("405 Method Not Allowed", b"{}".to_vec()),
        }
    }

    fn list(&self, kind: &str, after: &str) -> Vec<u8> {
        let state = self.state.lock().unwrap();
        let objects = state.objects.get(kind);
        let items = objects.into_iter().flatten().filter(|(name, _)| name.as_str() > after);
        let items = joined(items.map(|(_, object)| object.clone()));
        let mut answer = br#"{"items":["#.to_vec();
        answer.extend_from_slice(&items);
        answer.extend_from_slice(format!(r#"],"more":false,"at":{}}}"#, state.revision).as_bytes());
        answer
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let found =
                state.events.iter().filter(|(revision, of, ..)| *revision > after && of == kind);
            let found: Vec<Vec<u8>> = found
                .map(|(_, _, object, gone)| {
                    let mut event = format!(r#"{{"gone":{gone},"object":"#).into_bytes();
                    event.extend_from_slice(object);
                    event.push(b'}');
                    event
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let mut answer = br#"{"events":["#.to_vec();
                answer.extend_from_slice(&joined(found.into_iter()));
                answer.extend_from_slice(format!(r#"],"at":{}}}"#, state.revision).as_bytes());
                return answer;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}
