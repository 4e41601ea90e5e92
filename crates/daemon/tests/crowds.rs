//! Crowds of callers that do not behave, against an entry as a process of its own. Crowd and bounds come from
//! the settings: the process lives, its peak memory stays below `direct.memory` and its descriptors below their
//! limit, and ordinary callers are answered beside the crowd and after it.
//!
//! One at a time: each test starts a process and measures its memory.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use headlatch_types::quantity::ByteSize;
use support::crowd::{EntryUnderTest, HEAD_BYTES, LONG_BYTES, ProcessLimits, request_text};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Mutex,
};

/// Held by the test that runs.
static ALONE: Mutex<()> = Mutex::const_new(());

/// Connections that are fewer than the descriptors of the process, and more than its memory bears.
const MANY_CONNECTIONS: usize = 3500;

/// The smallest `direct.memory` that holds a request body of 4 MiB beside the process itself.
const SMALL_MEMORY: ByteSize = ByteSize::from_mib(32);

/// Reads of each connection 1 KB a second until the connections end.
fn read_slowly(crowd: Vec<TcpStream>) -> Vec<tokio::task::JoinHandle<()>> {
    let read = |mut stream: TcpStream| async move {
        let mut piece = vec![0; 1000];
        while stream.read(&mut piece).await.is_ok_and(|read| read > 0) {
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    };
    crowd.into_iter().map(|stream| tokio::spawn(read(stream))).collect()
}

async fn withstands_unread(count: usize, path: &str, times: usize) {
    let _alone = ALONE.lock().await;
    let mut entry = EntryUnderTest::start(ProcessLimits::default()).await;
    let crowd = entry.crowd(count, path, times).await;
    entry.withstands(crowd).await;
}

async fn withstands_slowly_read(count: usize, path: &str, limits: ProcessLimits) {
    let _alone = ALONE.lock().await;
    let mut entry = EntryUnderTest::start(limits).await;
    let crowd = entry.crowd(count, path, 1).await;
    let readers = read_slowly(crowd);
    entry.withstands(Vec::new()).await;
    readers.iter().for_each(|reader| reader.abort());
    entry.withstands(Vec::new()).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn unread_answers_with_a_length_stay_within_memory() {
    withstands_unread(60, "/safe/length", 1).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn unread_chunked_answers_stay_within_memory() {
    withstands_unread(60, "/safe/chunked", 1).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn unread_answers_without_a_length_stay_within_memory() {
    withstands_unread(60, "/safe/close", 1).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn slowly_read_answers_stay_within_memory() {
    withstands_slowly_read(60, "/safe/chunked", ProcessLimits::default()).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn unread_pipelined_answers_stay_within_memory() {
    withstands_unread(20, "/safe/length", 40).await;
}

/// Answers of a size that an entry holds as a whole.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn unread_answers_of_middle_size_stay_within_memory() {
    withstands_unread(200, "/safe/middle", 4).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn unread_streams_stay_within_memory() {
    withstands_unread(200, "/stream/long", 1).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn slowly_read_streams_stay_within_memory() {
    withstands_slowly_read(200, "/stream/long", ProcessLimits::default()).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_event_without_an_end_stays_within_memory() {
    withstands_unread(1, "/stream/endless", 1).await;
}

/// Both servers take eight requests at once.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn slowly_read_streams_leave_slots_to_others() {
    let limits = ProcessLimits { slots: 8, ..ProcessLimits::default() };
    withstands_slowly_read(16, "/stream/long", limits).await;
}

async fn withstands_connections(text: &[u8]) {
    let _alone = ALONE.lock().await;
    let mut entry = EntryUnderTest::start(ProcessLimits::default()).await;
    let crowd = entry.crowd_with(entry.address, MANY_CONNECTIONS, text).await;
    entry.withstands(crowd).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_stay_within_memory() {
    withstands_connections(b"").await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn half_heads_stay_within_memory() {
    withstands_connections(b"GET /safe/x HTTP/1.1\r\nhost: a").await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn long_half_heads_stay_within_memory() {
    let head = format!("GET /safe/x HTTP/1.1\r\nx-a: {}", "a".repeat(HEAD_BYTES - 1024));
    withstands_connections(head.as_bytes()).await;
}

/// Connections that have had an answer and stay open.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_stay_within_memory() {
    withstands_connections(request_text("/safe/x").as_bytes()).await;
}

async fn withstands_more_connections_than_descriptors(text: &[u8]) {
    let _alone = ALONE.lock().await;
    let limits = ProcessLimits { descriptors: 256, ..ProcessLimits::default() };
    let mut entry = EntryUnderTest::start(limits).await;
    let crowd = entry.crowd_with(entry.address, 400, text).await;
    entry.withstands(crowd).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_leave_descriptors_to_others() {
    withstands_more_connections_than_descriptors(b"").await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_leave_descriptors_to_others() {
    withstands_more_connections_than_descriptors(request_text("/safe/x").as_bytes()).await;
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn unread_streams_leave_descriptors_to_others() {
    withstands_more_connections_than_descriptors(request_text("/stream/long").as_bytes()).await;
}

/// Connections to the listeners that are not for callers.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn connections_to_other_listeners_stay_within_limits() {
    let _alone = ALONE.lock().await;
    let limits =
        ProcessLimits { memory: SMALL_MEMORY, descriptors: 512, ..ProcessLimits::default() };
    let mut entry = EntryUnderTest::start(limits).await;
    let mut crowd = Vec::new();
    for address in [entry.admin, entry.control] {
        crowd.extend(entry.crowd_with(address, 400, b"GET /metrics HTTP/1.1\r\nhost: a").await);
    }
    entry.withstands(crowd).await;
}

/// Uploads that announce much and bring little.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn trickled_uploads_leave_memory_to_others() {
    let _alone = ALONE.lock().await;
    let mut entry = EntryUnderTest::start(ProcessLimits::default()).await;
    let request = |length: usize| {
        format!(
            "POST /safe/x HTTP/1.1\r\nhost: a.example\r\nrequest-id: r1\r\ndeadline-ms: 80000\r\n\
             content-length: {length}\r\n\r\n"
        )
    };
    let mut crowd = entry.crowd_with(entry.address, 60, request(4 << 20).as_bytes()).await;
    crowd.extend(entry.crowd_with(entry.address, 60, request(100 << 10).as_bytes()).await);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let upload = async {
        loop {
            let text = request(100 << 10) + &"x".repeat(100 << 10);
            let mut caller = entry.caller(entry.address, text.as_bytes()).await;
            let mut status = [0; 12];
            if caller.read_exact(&mut status).await.is_ok() && status.ends_with(b"200") {
                return;
            }
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    };
    let uploaded = tokio::time::timeout(Duration::from_secs(60), upload).await;
    expect_that!(uploaded.is_ok(), eq(true), "no upload of an ordinary caller is taken");
    entry.withstands(crowd).await;
}

/// A single long answer is within the limits.
#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_long_answer_and_a_long_upload_are_served_in_the_smallest_process() {
    let _alone = ALONE.lock().await;
    let limits = ProcessLimits { memory: SMALL_MEMORY, ..ProcessLimits::default() };
    let mut entry = EntryUnderTest::start(limits).await;
    for path in ["/safe/length", "/safe/chunked", "/safe/close"] {
        let mut stream = TcpStream::connect(entry.address).await.expect("the entry listens");
        let request = request_text(path).replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).await.expect("the entry reads");
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await.expect("a whole answer");
        expect_that!(answer.iter().filter(|byte| **byte == b'x').count(), ge(LONG_BYTES), "{path}");
    }
    let length = 3 << 20;
    let text = format!(
        "POST /safe/x HTTP/1.1\r\nhost: a.example\r\nrequest-id: r1\r\ncontent-length: {length}\r\n\r\n{}",
        "x".repeat(length)
    );
    let mut caller = entry.caller(entry.address, text.as_bytes()).await;
    let mut status = [0; 12];
    caller.read_exact(&mut status).await.expect("an answer");
    expect_that!(&status[..], eq(b"HTTP/1.1 200"));
    entry.assert_within_limits("after all");
}
