//! Callers that read slowly or not at all, and bodies that exceed the memory budget.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use headlatch_types::quantity::ByteSize;
use support::{
    ask,
    long_streams::{Fixture, LARGE_BYTES},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Reads the status line of a response.
async fn status(stream: &mut TcpStream) -> String {
    let mut bytes = vec![0; 12];
    stream.read_exact(&mut bytes).await.expect("response");
    String::from_utf8_lossy(&bytes).into_owned()
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reads_nothing_is_disconnected_and_its_stream_is_cancelled() {
    let mut fixture = Fixture::new(|settings| {
        settings.direct.stall = Duration::from_millis(300);
    })
    .await;
    let _silent = fixture.non_reading_caller("/stream/long").await;
    let told = fixture.broken.wait_for(|count| *count == 1);
    let told = tokio::time::timeout(Duration::from_secs(5), told).await;
    expect_that!(told.is_ok(), eq(true));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reads_slowly_is_not_disconnected() {
    let fixture = Fixture::new(|settings| {
        settings.direct.stall = Duration::from_millis(300);
    })
    .await;
    let mut slow = fixture.non_reading_caller("/stream/long").await;
    let mut piece = vec![0; 2 << 20];
    for _ in 0..12 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        slow.read_exact(&mut piece).await.expect("stream continues");
    }
    expect_that!(*fixture.broken.borrow(), eq(0));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_beyond_the_memory_budget_are_refused_before_they_are_read() {
    let fixture = Fixture::new(|settings| {
        settings.direct.memory = ByteSize::from_mib(16);
    })
    .await;
    // The budget for bodies is 3.2 MiB.
    let body = vec![b'x'; 1 << 20];
    let mut begun = Vec::new();
    for _ in 0..3 {
        begun.push(fixture.send_head_of_body(body.len()).await);
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    let mut refused = fixture.send_head_of_body(body.len()).await;
    expect_that!(status(&mut refused).await, eq("HTTP/1.1 503"));
    for stream in &mut begun {
        stream.write_all(&body).await.expect("body is read");
        expect_that!(status(stream).await, eq("HTTP/1.1 200"));
    }
    drop(begun);
    let mut again = fixture.send_head_of_body(body.len()).await;
    again.write_all(&body).await.expect("body is read");
    expect_that!(status(&mut again).await, eq("HTTP/1.1 200"));
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_larger_than_the_memory_budget_is_served_alone() {
    let fixture = Fixture::new(|settings| {
        settings.direct.memory = ByteSize::from_mib(16);
    })
    .await;
    let answer = ask(fixture.entry.address, "/safe/large", "k").await.expect("response");
    expect_that!(answer.body.len(), eq(LARGE_BYTES));
}
