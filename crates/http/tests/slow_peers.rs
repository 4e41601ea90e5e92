//! Peers that read or send slowly, over a pipe in place of a socket, in virtual time.

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use headlatch_http::{
    progress::PeerProgress,
    stall::{PeerLimits, StallGuard},
};
use headlatch_types::quantity::ByteRate;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex},
    time::{Instant, sleep, timeout},
};

/// Size of the pipe, which stands for the send buffer of a socket.
const PIPE_BYTES: usize = 64;

const LIMITS: PeerLimits = PeerLimits {
    stall: Duration::from_secs(10),
    min_read_rate: ByteRate::from_bytes_per_second(10),
    head_time: Duration::from_secs(3),
};

fn guarded() -> (StallGuard<DuplexStream>, DuplexStream, Arc<PeerProgress>) {
    let (near, far) = duplex(PIPE_BYTES);
    let progress = Arc::new(PeerProgress::default());
    (StallGuard::new(near, LIMITS, progress.clone()), far, progress)
}

/// Reads `bytes` each second until the pipe closes; returns how many there were.
async fn read_each_second(mut stream: DuplexStream, bytes: usize) -> usize {
    let mut total = 0;
    let mut piece = vec![0; bytes];
    while let Ok(read @ 1..) = stream.read(&mut piece).await {
        total += read;
        sleep(Duration::from_secs(1)).await;
    }
    total
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_byte_now_and_then_is_no_progress() {
    let (mut near, far, progress) = guarded();
    let reader = tokio::spawn(read_each_second(far, 1));
    let written = timeout(Duration::from_secs(11), near.write_all(&[0; 1000])).await;
    expect_that!(written.expect("the write ends").is_err(), eq(true));
    let wait = progress.unread().expect("the peer is waited for");
    expect_that!(wait.rate(Instant::now()) < LIMITS.min_read_rate, eq(true));
    drop(near);
    reader.await.expect("the reader ends");
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_peer_that_reads_at_the_minimum_rate_gets_all() {
    let (mut near, far, progress) = guarded();
    let reader = tokio::spawn(read_each_second(far, 11));
    near.write_all(&[0; 1000]).await.expect("the peer reads");
    expect_that!(progress.unread(), none());
    drop(near);
    expect_that!(reader.await.expect("the reader ends"), eq(1000));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn half_a_head_has_its_own_time_limit() {
    let (mut near, mut far, _progress) = guarded();
    let mut piece = [0; 8];
    // A connection without a request may be idle for longer.
    let idle = timeout(Duration::from_secs(8), near.read(&mut piece)).await;
    expect_that!(idle.is_err(), eq(true));
    far.write_all(b"GET /").await.expect("the pipe is open");
    near.read_exact(&mut piece[..5]).await.expect("half a head");
    expect_that!(near.read(&mut piece).await.is_err(), eq(true));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_body_is_no_head() {
    let (mut near, mut far, progress) = guarded();
    far.write_all(b"GET /").await.expect("the pipe is open");
    let mut piece = [0; 5];
    near.read_exact(&mut piece).await.expect("a head");
    progress.begin_request();
    progress.begin_body(Instant::now());
    let pause = timeout(Duration::from_secs(8), near.read(&mut piece)).await;
    expect_that!(pause.is_err(), eq(true));
    far.write_all(b"body").await.expect("the pipe is open");
    expect_that!(near.read(&mut piece).await.expect("more of the body"), eq(4));
    expect_that!(progress.wait().map(|wait| wait.bytes), some(eq(4)));
    progress.end_request();
    expect_that!(progress.wait(), none());
    expect_that!(progress.idle_since().map(|(served, _)| served), some(eq(true)));
}
