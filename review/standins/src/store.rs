//! A stand-in of the platform's store: objects by kind and name, lists, and watches.

use std::{
    collections::BTreeMap,
    io::BufReader,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http::{self, Request};

#[derive(Default)]
struct Objects {
    revision: u64,
    /// Revision and spec, by kind and name.
    kept: BTreeMap<(String, String), (u64, String)>,
    /// Revision, kind and object.
    events: Vec<(u64, String, String)>,
}

/// The store; clones share the objects.
#[derive(Clone, Default)]
pub struct Store {
    objects: Arc<(Mutex<Objects>, Condvar)>,
}

fn object(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"made\":1,\"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl Store {
    /// Serves the store on a free port of `ip`.
    pub fn start(ip: &str) -> (Self, SocketAddr) {
        let store = Self::default();
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the store");
        let address = listener.local_addr().expect("an address");
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        (store, address)
    }

    /// Writes an object.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let (objects, changed) = &*self.objects;
        let mut objects = objects.lock().unwrap();
        objects.revision += 1;
        let revision = objects.revision;
        objects.kept.insert((kind.to_owned(), name.to_owned()), (revision, spec.to_owned()));
        objects.events.push((revision, kind.to_owned(), object(name, revision, spec)));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            if http::write_answer(&mut writer, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (&'static str, String) {
        let mut parts = request.path().trim_start_matches("/objects/").splitn(2, '/');
        let (kind, name) = (parts.next().unwrap_or("").to_owned(), parts.next().map(str::to_owned));
        match (request.method.as_str(), name) {
            ("GET", None) => match request.query("watch").and_then(|text| text.parse().ok()) {
                Some(after) => {
                    let wait = request.query("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                    ("200 OK", self.watch(&kind, after, Duration::from_millis(wait)))
                }
                None => ("200 OK", self.list(&kind)),
            },
            ("GET", Some(name)) => {
                let objects = self.objects.0.lock().unwrap();
                match objects.kept.get(&(kind, name.clone())) {
                    Some((revision, spec)) => ("200 OK", object(&name, *revision, spec)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            // Nothing that the cases test is written by the system.
            _ => ("503 Service Unavailable", "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str) -> String {
        let objects = self.objects.0.lock().unwrap();
        let items = objects.kept.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<String> = items.map(|((_, name), (revision, spec))| object(name, *revision, spec)).collect();
        format!("{{\"items\":[{}],\"more\":false,\"at\":{}}}", items.join(","), objects.revision)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let (objects, changed) = &*self.objects;
        let mut objects = objects.lock().unwrap();
        loop {
            let news = objects.events.iter().filter(|(at, of, _)| *at > after && of == kind);
            let news: Vec<String> =
                news.map(|(_, _, object)| format!("{{\"gone\":false,\"object\":{object}}}")).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                return format!("{{\"events\":[{}],\"at\":{}}}", news.join(","), objects.revision);
            }
            objects = changed.wait_timeout(objects, left).unwrap().0;
        }
    }
}
