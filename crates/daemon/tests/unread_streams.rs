//! Streams that nobody reads. The test measures the memory of its process and is therefore alone in
//! its file.

mod support;

use std::time::Duration;

use googletest::prelude::*;
use support::{ask, long_streams::Fixture};
use tokio::time::Instant;

/// Resident memory of this process, in MiB.
fn resident_mib() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").expect("statm is readable");
    let pages: u64 = text.split(' ').nth(1).and_then(|text| text.parse().ok()).expect("page count");
    (pages * 4096) >> 20
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_do_not_read_take_little_memory_and_delay_nobody() {
    let fixture = Fixture::new(|_| {}).await;
    let before = resident_mib();
    let mut callers = Vec::new();
    for _ in 0..60 {
        callers.push(fixture.non_reading_caller("/stream/long").await);
    }
    tokio::time::sleep(Duration::from_millis(800)).await;
    let begun = Instant::now();
    for _ in 0..20 {
        let answer = ask(fixture.entry.address, "/safe/x", "k").await.expect("response");
        expect_that!(&answer.body[..], eq(b"whole"));
    }
    expect_that!(begun.elapsed(), lt(Duration::from_secs(2)));
    // Each stream still has 64 MiB to send.
    expect_that!(resident_mib().saturating_sub(before), lt(60));
}
