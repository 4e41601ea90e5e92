//! Stand-ins of a model server and of the origin of its weights.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{self, Request},
    rig::Record,
    sha256,
    store::Store,
};

pub const MODEL: &str = "m0";

const PIECES: u32 = 96;

const PIECE_BYTES: usize = 24_576;

/// Time that the server takes to load staged pieces (`warm_s`).
const WARM: Duration = Duration::from_millis(300);

/// The bytes of a piece.
fn piece(version: u64, number: u32) -> Vec<u8> {
    format!("version {version} piece {number} ").bytes().cycle().take(PIECE_BYTES).collect()
}

fn listen(ip: &str, answer: impl Fn(&Request, &mut TcpStream) -> std::io::Result<()> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = http::read_request(&mut reader) {
                    if answer(&request, &mut writer).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Starts an origin, which spoils as many answers for manifests as `spoilt` tells.
pub fn origin(record: Record, spoilt: Arc<AtomicUsize>) -> SocketAddr {
    let digests: Vec<Vec<String>> =
        (1..=2).map(|version| (0..PIECES).map(|number| sha256::hex(&piece(version, number))).collect()).collect();
    listen("127.0.0.1", move |request, writer| {
        let version = request.query("version").and_then(|text| text.parse::<u64>().ok()).unwrap_or(1);
        let Some(digests) = digests.get(version as usize - 1) else {
            return http::write_answer(writer, "404 Not Found", &[], b"");
        };
        if request.path().starts_with("/piece/") {
            let number = request.query("num").and_then(|text| text.parse().ok()).unwrap_or(0);
            return http::write_answer(writer, "200 OK", &[], &piece(version, number));
        }
        let mut digests = digests.clone();
        let is_spoilt = spoilt.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| left.checked_sub(1)).is_ok();
        if is_spoilt {
            // One digit of one digest differs: the answer still reads as a manifest.
            let digit = if digests[7].starts_with('0') { "1" } else { "0" };
            digests[7].replace_range(..1, digit);
        }
        record.note(&format!("origin sends the manifest of version {version}, spoilt: {is_spoilt}"));
        let digests: Vec<String> = digests.iter().map(|digest| format!("\"{digest}\"")).collect();
        let body = format!(
            "{{\"model\":\"{MODEL}\",\"version\":{version},\"chunk_bytes\":{PIECE_BYTES},\"layers\":16,\"digests\":[{}]}}",
            digests.join(",")
        );
        http::write_answer(writer, "200 OK", &[("Content-Type", "application/json")], body.as_bytes())
    })
}

struct Engine {
    id: String,
    service: String,
    store: Store,
    record: Record,
    address: Mutex<Option<SocketAddr>>,
    state: Mutex<EngineState>,
}

#[derive(Default)]
struct EngineState {
    version: u64,
    busy: bool,
    sequence: u64,
    active: u32,
    stage: BTreeMap<u32, Vec<u8>>,
}

/// Starts a model server that holds version 1, on `ip`.
pub fn engine(ip: &str, service: &str, id: &str, store: &Store, record: &Record) -> SocketAddr {
    let stage = (0..PIECES).map(|number| (number, piece(1, number))).collect();
    let engine = Arc::new(Engine {
        id: id.to_owned(),
        service: service.to_owned(),
        store: store.clone(),
        record: record.clone(),
        address: Mutex::default(),
        state: Mutex::new(EngineState { version: 1, stage, ..EngineState::default() }),
    });
    let served = engine.clone();
    let address = listen(ip, move |request, writer| served.answer(request, writer));
    *engine.address.lock().unwrap() = Some(address);
    engine.register();
    address
}

impl Engine {
    fn held(&self) -> String {
        let version = self.state.lock().unwrap().version;
        format!(
            "\"stage\":\"both\",\"models\":[{{\"name\":\"{MODEL}\",\"version\":{version},\"adapters\":[]}}],\"layers\":{{\"from\":0,\"target_version\":16,\"version\":{version}}}"
        )
    }

    fn register(&self) {
        let Some(address) = *self.address.lock().unwrap() else { return };
        let sequence = self.state.lock().unwrap().sequence;
        let (service, held) = (&self.service, self.held());
        let spec = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"cold_remaining_ms\":0,{held},\"sequence\":{sequence}}}"
        );
        self.store.put("servers", &self.id, &spec);
    }

    fn answer(self: &Arc<Self>, request: &Request, writer: &mut TcpStream) -> std::io::Result<()> {
        let number = request.query("num").and_then(|text| text.parse::<u32>().ok()).unwrap_or(0);
        match (request.method.as_str(), request.path()) {
            (_, "/health") => http::write_answer(writer, "200 OK", &[("Instance-Id", &self.id)], b""),
            (_, "/report") => {
                let held = self.held();
                let body = {
                    let state = self.state.lock().unwrap();
                    format!(
                        "{{{held},\"busy\":{},\"sequence\":{},\"queued\":0,\"active\":{},\"kv_used\":0,\"kv_total\":317000,\"handles\":0}}",
                        state.busy, state.sequence, state.active
                    )
                };
                http::write_answer(writer, "200 OK", &[("Content-Type", "application/json")], body.as_bytes())
            }
            ("PUT", path) if path.starts_with("/stage-put/") => {
                self.state.lock().unwrap().stage.insert(number, request.body.clone());
                http::write_answer(writer, "200 OK", &[], b"")
            }
            ("GET", path) if path.starts_with("/stage-get/") => {
                let held = self.state.lock().unwrap().stage.get(&number).cloned();
                match held {
                    Some(data) => http::write_answer(writer, "200 OK", &[], &data),
                    None => http::write_answer(writer, "404 Not Found", &[], b""),
                }
            }
            ("POST", "/order") => self.order(request, writer),
            _ => self.stream(request, writer),
        }
    }

    fn order(self: &Arc<Self>, request: &Request, writer: &mut TcpStream) -> std::io::Result<()> {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let number = |name: &str| -> Option<u64> {
            let rest = text.split_once(&format!("\"{name}\":"))?.1;
            rest.trim_start().split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
        };
        let version = number("version").unwrap_or(0);
        {
            let mut state = self.state.lock().unwrap();
            if state.busy || number("expected_rev").is_some_and(|expected| expected != state.sequence) {
                return http::write_answer(writer, "409 Conflict", &[], b"");
            }
            let whole = (0..PIECES).all(|number| state.stage.get(&number) == Some(&piece(version, number)));
            self.record.note(&format!("server {} takes the order for version {version}, staged whole: {whole}", self.id));
            (state.busy, state.sequence) = (true, state.sequence + 1);
        }
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(WARM);
            {
                let mut state = engine.state.lock().unwrap();
                (state.busy, state.version) = (false, version);
            }
            engine.register();
        });
        http::write_answer(writer, "202 Accepted", &[], b"")
    }

    fn stream(&self, request: &Request, writer: &mut TcpStream) -> std::io::Result<()> {
        let id = request.header("request-id").unwrap_or("").to_owned();
        if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
            return http::write_answer(writer, "421 Misdirected Request", &[("Instance-Id", &self.id)], b"");
        }
        let version = {
            let mut state = self.state.lock().unwrap();
            state.active += 1;
            state.version
        };
        self.record.note(&format!("server {} runs {id} on version {version}", self.id));
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: {}.{id}\r\nWeight-Versions: {version}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let mut written = writer.write_all(head.as_bytes());
        for event in 1..=5 {
            thread::sleep(Duration::from_millis(20));
            let text = format!("id: {event}\ndata: {id} event {event}\n\n");
            written = written.and_then(|()| writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()));
        }
        self.state.lock().unwrap().active -= 1;
        written.and_then(|()| writer.write_all(b"0\r\n\r\n"))
    }
}
