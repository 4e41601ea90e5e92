//! Callers that read slowly or not at all, and bodies that take more memory than there is.

mod support;

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use headlatch_daemon::direct::entry::DirectEntry;
use headlatch_outside::facts::{Fact, FactTopic};
use headlatch_types::{
    direct_settings::DirectEntrySettings,
    quantity::ByteSize,
    traffic::{ClientLimits, TrafficPlan},
};
use support::{
    TestHeaders, TestStore, ask, header, plan, record,
    server::{AnswerPlan, TestServer},
    settings,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    time::Instant,
};

/// Bytes of one event of a long stream.
const EVENT_BYTES: usize = 16 << 10;

/// Events of a long stream: 64 MiB.
const EVENTS: usize = 4096;

/// Bytes of an answer that is larger than the memory for answers in the smallest process.
const LARGE_BYTES: usize = 4 << 20;

/// Streams a long answer to paths that ask for one, and tells when one could not be sent to its end.
#[derive(Clone)]
struct LongStreams {
    broken: watch::Sender<usize>,
}

impl AnswerPlan for LongStreams {
    async fn answer(&self, stream: &mut TcpStream, head: &str) -> std::io::Result<()> {
        let id = header(head, "x-id").unwrap_or_default();
        let begin = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-sign: s\r\n");
        if head.contains("/large") {
            let begin = format!("{begin}content-length: {LARGE_BYTES}\r\n\r\n");
            stream.write_all(begin.as_bytes()).await?;
            return stream.write_all(&vec![b'x'; LARGE_BYTES]).await;
        }
        if !head.contains("/long") {
            let whole = format!("{begin}content-length: 5\r\n\r\nwhole");
            return stream.write_all(whole.as_bytes()).await;
        }
        let begin =
            format!("{begin}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n");
        let sent = async {
            stream.write_all(begin.as_bytes()).await?;
            for event in 1..=EVENTS {
                let text = format!("id: {event}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
                let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                stream.write_all(chunk.as_bytes()).await?;
            }
            stream.write_all(b"0\r\n\r\n").await
        };
        let sent = sent.await;
        if sent.is_err() {
            self.broken.send_modify(|count| *count += 1);
        }
        sent
    }
}

struct Setting {
    entry: DirectEntry,
    broken: watch::Receiver<usize>,
    _server: TestServer,
}

impl Setting {
    async fn new(change: impl FnOnce(&mut DirectEntrySettings)) -> Self {
        let (broken, told) = watch::channel(0);
        let server = TestServer::start(LongStreams { broken }).await;
        let store = Arc::new(TestStore::default());
        let limits = ClientLimits { body_bytes: 4 << 20, ..ClientLimits::default() };
        let plan = TrafficPlan { limits, ..plan(5) };
        store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan)));
        let mut record = record("i1", server.address, "z1");
        record.slots = 100;
        store.set(FactTopic::Servers, "i1", Fact::Server(record));
        let mut settings = settings();
        change(&mut settings);
        let entry = DirectEntry::start(settings, store, Arc::new(TestHeaders)).await;
        let entry = entry.expect("it starts");
        while !entry.state.is_ready() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        Self { entry, broken: told, _server: server }
    }

    /// A caller that has asked and reads nothing.
    async fn silent_caller(&self, path: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.entry.address).await.expect("it listens");
        let head =
            format!("GET {path} HTTP/1.1\r\nhost: a.example\r\nx-id: r1\r\nx-key: k\r\n\r\n");
        stream.write_all(head.as_bytes()).await.expect("it is written");
        stream
    }

    /// A caller that has sent the head of a request with a body, and none of the body.
    async fn begun_body(&self, bytes: usize) -> TcpStream {
        let mut stream = TcpStream::connect(self.entry.address).await.expect("it listens");
        let head = format!(
            "POST /once/x HTTP/1.1\r\nhost: a.example\r\nx-id: r1\r\nx-key: k\r\n\
             content-length: {bytes}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("it is written");
        stream
    }
}

/// The status line of an answer.
async fn status(stream: &mut TcpStream) -> String {
    let mut bytes = vec![0; 12];
    stream.read_exact(&mut bytes).await.expect("an answer");
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Memory of this process, in MiB.
fn resident_mib() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").expect("it can be read");
    let pages: u64 = text.split(' ').nth(1).and_then(|text| text.parse().ok()).expect("a number");
    (pages * 4096) >> 20
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_do_not_read_take_little_memory_and_delay_nobody() {
    let setting = Setting::new(|_| {}).await;
    let before = resident_mib();
    let mut callers = Vec::new();
    for _ in 0..60 {
        callers.push(setting.silent_caller("/stream/long").await);
    }
    tokio::time::sleep(Duration::from_millis(800)).await;
    let begun = Instant::now();
    for _ in 0..20 {
        let answer = ask(setting.entry.address, "/safe/x", "k").await.expect("an answer");
        expect_that!(&answer.body[..], eq(b"whole"));
    }
    expect_that!(begun.elapsed(), lt(Duration::from_secs(2)));
    // Each has 64 MiB to come.
    expect_that!(resident_mib().saturating_sub(before), lt(60));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reads_nothing_is_let_go_and_its_server_told() {
    let mut setting = Setting::new(|settings| {
        settings.direct.stall = Duration::from_millis(300);
    })
    .await;
    let _silent = setting.silent_caller("/stream/long").await;
    let told = setting.broken.wait_for(|count| *count == 1);
    let told = tokio::time::timeout(Duration::from_secs(5), told).await;
    expect_that!(told.is_ok(), eq(true));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reads_slowly_is_not_let_go() {
    let setting = Setting::new(|settings| {
        settings.direct.stall = Duration::from_millis(300);
    })
    .await;
    let mut slow = setting.silent_caller("/stream/long").await;
    let mut piece = vec![0; 2 << 20];
    for _ in 0..12 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        slow.read_exact(&mut piece).await.expect("it goes on");
    }
    expect_that!(*setting.broken.borrow(), eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_beyond_the_memory_for_them_are_refused_before_they_come() {
    let setting = Setting::new(|settings| {
        settings.direct.memory = ByteSize::from_mib(16);
    })
    .await;
    // 3.2 MiB are for bodies.
    let body = vec![b'x'; 1 << 20];
    let mut begun = Vec::new();
    for _ in 0..3 {
        begun.push(setting.begun_body(body.len()).await);
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    let mut refused = setting.begun_body(body.len()).await;
    expect_that!(status(&mut refused).await, eq("HTTP/1.1 503"));
    for stream in &mut begun {
        stream.write_all(&body).await.expect("it is read");
        expect_that!(status(stream).await, eq("HTTP/1.1 200"));
    }
    drop(begun);
    let mut again = setting.begun_body(body.len()).await;
    again.write_all(&body).await.expect("it is read");
    expect_that!(status(&mut again).await, eq("HTTP/1.1 200"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_larger_than_the_memory_for_answers_comes_alone() {
    let setting = Setting::new(|settings| {
        settings.direct.memory = ByteSize::from_mib(16);
    })
    .await;
    let answer = ask(setting.entry.address, "/safe/large", "k").await.expect("an answer");
    expect_that!(answer.body.len(), eq(LARGE_BYTES));
}
