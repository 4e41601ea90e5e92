//! An entry as a process of its own, in front of servers with long answers, and crowds of callers.

use std::{
    fs,
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use headlatch_types::quantity::ByteSize;
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
};

use super::{
    header,
    rollback_store::{RollbackStore, config_spec, server_spec},
    server::{Responder, TestServer},
};

/// Size of a long answer, below the largest that an entry passes on.
pub const LONG_BYTES: usize = 12 << 20;

/// Size of an answer that several callers ask for on one connection.
pub const MIDDLE_BYTES: usize = 512 << 10;

/// Largest request head by the configuration of these tests.
pub const HEAD_BYTES: usize = 16 << 10;

/// Time for which an ordinary caller goes on asking. Longer than any time limit of the settings, so that only an
/// entry that does not recover fails.
const ORDINARY_TIME: Duration = Duration::from_secs(90);

/// Pause of an ordinary caller before it asks again.
const ORDINARY_PAUSE: Duration = Duration::from_millis(500);

/// Time for which a crowd has its effect before the entry is asked.
const CROWD_TIME: Duration = Duration::from_secs(4);

/// Receive buffer of a caller in a crowd, so that answers stay with the entry.
const CROWD_RECEIVE_BYTES: u32 = 4 << 10;

/// Limits of the process under test.
#[derive(Debug, Clone, Copy)]
pub struct ProcessLimits {
    /// `direct.memory`.
    pub memory: ByteSize,
    /// Largest number of open descriptors.
    pub descriptors: usize,
    /// Requests that each server takes at once.
    pub slots: u32,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self { memory: ByteSize::from_mib(64), descriptors: 4096, slots: 1000 }
    }
}

/// Answers by the path of the request.
#[derive(Clone, Default)]
struct LongAnswers {
    /// Answers in progress.
    begun: Arc<AtomicUsize>,
}

impl Responder for LongAnswers {
    async fn answer(&self, stream: &mut TcpStream, head: &str) -> std::io::Result<()> {
        self.begun.fetch_add(1, Ordering::Relaxed);
        let written = write_answer(stream, head).await;
        self.begun.fetch_sub(1, Ordering::Relaxed);
        written
    }
}

async fn write_answer(stream: &mut TcpStream, head: &str) -> std::io::Result<()> {
    let lower = head.to_lowercase();
    let announced = header(&lower, "content-length").and_then(|length| length.parse().ok());
    stream.read_exact(&mut vec![0; announced.unwrap_or(0)]).await?;
    let id = header(&lower, "request-id").unwrap_or_default();
    let begin = format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: s\r\n");
    let path = head.split(' ').nth(1).unwrap_or_default();
    match path {
        "/safe/length" => {
            let begin = format!("{begin}content-length: {LONG_BYTES}\r\n\r\n");
            stream.write_all(begin.as_bytes()).await?;
            stream.write_all(&vec![b'x'; LONG_BYTES]).await
        }
        "/safe/middle" => {
            let begin = format!("{begin}content-length: {MIDDLE_BYTES}\r\n\r\n");
            stream.write_all(begin.as_bytes()).await?;
            stream.write_all(&vec![b'x'; MIDDLE_BYTES]).await
        }
        "/safe/close" => {
            stream.write_all(format!("{begin}\r\n").as_bytes()).await?;
            stream.write_all(&vec![b'x'; LONG_BYTES]).await
        }
        "/safe/chunked" => {
            write_chunks(stream, &begin, (LONG_BYTES >> 16) as u64, |_| "x".repeat(1 << 16)).await
        }
        "/stream/long" => {
            let event = |number| format!("id: {number}\ndata: {}\n\n", "x".repeat(16 << 10));
            write_chunks(stream, &begin, 4096, event).await
        }
        // One event of 64 MiB.
        "/stream/endless" => write_chunks(stream, &begin, 1024, |_| "x".repeat(64 << 10)).await,
        "/stream/short" => {
            write_chunks(stream, &begin, 3, |number| format!("id: {number}\ndata: x\n\n")).await
        }
        _ => {
            let whole = format!("{begin}content-length: 5\r\n\r\nwhole");
            stream.write_all(whole.as_bytes()).await
        }
    }
}

async fn write_chunks(
    stream: &mut TcpStream,
    begin: &str,
    count: u64,
    chunk: impl Fn(u64) -> String,
) -> std::io::Result<()> {
    let begin = format!("{begin}transfer-encoding: chunked\r\n\r\n");
    stream.write_all(begin.as_bytes()).await?;
    for number in 1..=count {
        let text = chunk(number);
        let framed = format!("{:x}\r\n{text}\r\n", text.len());
        stream.write_all(framed.as_bytes()).await?;
    }
    stream.write_all(b"0\r\n\r\n").await
}

/// An entry under test; killed when dropped.
pub struct EntryUnderTest {
    process: Child,
    limits: ProcessLimits,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address of the admin listener.
    pub admin: SocketAddr,
    /// Address for other processes.
    pub control: SocketAddr,
    _folder: TempDir,
    _store: RollbackStore,
    _servers: Vec<TestServer>,
}

/// A free address; another process could take it meanwhile, then the entry does not start.
fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("free port");
    listener.local_addr().expect("listener is bound")
}

/// Raises the number of descriptors of the test's own process as far as it may.
fn allow_many_descriptors() {
    let (_, hard) = getrlimit(Resource::RLIMIT_NOFILE).expect("limits are readable");
    setrlimit(Resource::RLIMIT_NOFILE, hard, hard).expect("a limit may be raised to the hard one");
}

fn config() -> Value {
    let mut config = config_spec(5);
    let stream = json!({
        "name": "stream", "host": "a.example", "path_prefix": "/stream/", "kind": "streaming",
        "timeout_ms": 80_000, "target_latency_ms": 5000, "gap_target_ms": 5000, "priority": 1,
        "max_attempts": 2, "allow_anonymous": true, "resume_streams": true, "service": "s",
    });
    config["routes"][0]["timeout_ms"] = json!(80_000);
    config["routes"].as_array_mut().expect("routes").push(stream);
    config["services"][0]["max_connections"] = json!(4000);
    config["limits"] = json!({
        "max_header_bytes": HEAD_BYTES, "max_body_bytes": 4 << 20,
        "header_timeout_ms": 3000, "idle_timeout_ms": 80_000,
    });
    config
}

impl EntryUnderTest {
    /// Starts an entry in front of two servers.
    pub async fn start(limits: ProcessLimits) -> Self {
        allow_many_descriptors();
        let store = RollbackStore::start().await;
        store.put("config", "main", config());
        let mut servers = Vec::new();
        for name in ["i0", "i1"] {
            let server = TestServer::start(LongAnswers::default()).await;
            let mut spec = server_spec(server.address, "z1", "ready", 0);
            spec["slots"] = json!(limits.slots);
            store.put("servers", name, spec);
            servers.push(server);
        }
        let [address, admin, control] = [(); 3].map(|()| free_address());
        let settings = json!({
            "box": "e1", "domain": "z1", "region": "r1", "control": control, "admin": admin,
            "platform": format!("http://{}", store.address), "drain_seconds": 8,
            "log": { "level": "warn" }, "entry": { "listen": address },
            "direct": { "zones": { "z1": "r1" }, "memory": limits.memory.to_string(), "first_start": true },
        });
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("settings.json");
        fs::write(&path, settings.to_string()).expect("a file");
        let process = Command::new("sh")
            .arg("-c")
            .arg(format!("ulimit -n {}; exec \"$0\" entry --settings \"$1\"", limits.descriptors))
            .arg(env!("CARGO_BIN_EXE_headlatchd"))
            .arg(&path)
            .stdout(Stdio::null())
            .spawn()
            .expect("headlatchd starts");
        let entry = Self {
            process,
            limits,
            address,
            admin,
            control,
            _folder: folder,
            _store: store,
            _servers: servers,
        };
        entry.assert_answers("before the crowd").await;
        entry
    }

    /// A connection of a caller in a crowd, which has sent `text`.
    pub async fn caller(&self, address: SocketAddr, text: &[u8]) -> TcpStream {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_recv_buffer_size(CROWD_RECEIVE_BYTES).expect("a small buffer");
        let mut stream = socket.connect(address).await.expect("the entry listens");
        // The entry may have closed the connection already, which it is free to do.
        let _ = stream.write_all(text).await;
        stream
    }

    /// Connections of `count` callers that have sent a request for `path`, `times` times each.
    pub async fn crowd(&self, count: usize, path: &str, times: usize) -> Vec<TcpStream> {
        let request = request_text(path).repeat(times);
        self.crowd_with(self.address, count, request.as_bytes()).await
    }

    /// Connections of `count` callers to `address` that have sent `text`.
    pub async fn crowd_with(
        &self,
        address: SocketAddr,
        count: usize,
        text: &[u8],
    ) -> Vec<TcpStream> {
        let mut crowd = Vec::new();
        for _ in 0..count {
            crowd.push(self.caller(address, text).await);
        }
        crowd
    }

    /// Checks the process beside a crowd and after it.
    pub async fn withstands(&mut self, crowd: Vec<TcpStream>) {
        tokio::time::sleep(CROWD_TIME).await;
        self.assert_answers("beside the crowd").await;
        self.assert_within_limits("beside the crowd");
        drop(crowd);
        self.assert_answers("after the crowd").await;
        self.assert_within_limits("after the crowd");
    }

    /// Asserts that an ordinary request and an ordinary stream are answered.
    pub async fn assert_answers(&self, when: &str) {
        for (path, whole) in [("/safe/x", "whole"), ("/stream/short", "id: 3\ndata: x\n\n")] {
            let answered = tokio::time::timeout(ORDINARY_TIME, self.ask_until_answered(path)).await;
            let body = answered.unwrap_or_else(|_| panic!("{when}: no answer to {path}"));
            assert!(body.contains(whole), "{when}: {path} is answered with {body}");
        }
    }

    /// Asks as an ordinary caller does, who comes back after a refusal.
    async fn ask_until_answered(&self, path: &str) -> String {
        loop {
            let asked = ask_once(self.address, path).await;
            if let Some(text) = asked.ok().filter(|text| text.starts_with("HTTP/1.1 200")) {
                return text;
            }
            tokio::time::sleep(ORDINARY_PAUSE).await;
        }
    }

    /// Asserts that the process lives and has kept its limits until now.
    pub fn assert_within_limits(&mut self, when: &str) {
        let ended = self.process.try_wait().expect("it is a child");
        assert!(ended.is_none(), "{when}: the process has ended: {ended:?}");
        let (peak, descriptors) = (self.peak_memory(), self.open_descriptors());
        eprintln!("{when}: peak of {peak}, {descriptors} descriptors");
        let memory = self.limits.memory;
        assert!(peak <= memory, "{when}: peak memory is {peak}, the limit {memory}");
        let limit = self.limits.descriptors;
        assert!(descriptors <= limit, "{when}: {descriptors} descriptors, the limit is {limit}");
    }

    fn peak_memory(&self) -> ByteSize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process.id()));
        let status = status.expect("the process lives");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
        ByteSize::from_bytes(kib.expect("peak memory") << 10)
    }

    fn open_descriptors(&self) -> usize {
        let listed = fs::read_dir(format!("/proc/{}/fd", self.process.id()));
        listed.expect("the process lives").count()
    }
}

impl Drop for EntryUnderTest {
    fn drop(&mut self) {
        // It has ended already if the test fails for that.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// A request for `path`.
pub fn request_text(path: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: a.example\r\nrequest-id: r1\r\ndeadline-ms: 80000\r\n\r\n"
    )
}

async fn ask_once(address: SocketAddr, path: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let request = request_text(path).replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(String::from_utf8_lossy(&answer).into_owned())
}
