//! Paces that an agent publishes. Guards against notices that a fleet of even servers does not need, and
//! against a pace that outlives its report or its server process.

use googletest::prelude::*;
use headlatch_core::direct::server_speed::PacePublisher;

#[path = "support/entry.rs"]
mod entry;
#[path = "support/speeds.rs"]
mod speeds;

use entry::at;
use speeds::pace;

#[gtest]
fn agent_publishes_large_changes_at_once_and_none_of_an_even_server() {
    let mut paces = PacePublisher::default();
    for step in 0..50 {
        let reported = Some(pace(0.9 + f64::from(step % 4) * 0.1));
        expect_that!(
            paces.record(at(u64::try_from(step).unwrap_or_default() * 100), reported),
            none()
        );
    }
    expect_that!(paces.record(at(5_000), Some(pace(5.0))), some(eq(pace(5.0))));
    expect_that!(paces.record(at(5_060), Some(pace(4.8))), some(eq(pace(5.0))));
    expect_that!(paces.record(at(6_000), Some(pace(4.8))), some(eq(pace(4.8))));
    expect_that!(paces.record(at(6_060), Some(pace(2.5))), some(eq(pace(2.5))));
    expect_that!(paces.record(at(6_120), None), none());
}

#[gtest]
fn published_pace_is_withdrawn_without_reports_and_with_the_server_process() {
    let mut paces = PacePublisher::default();
    paces.record(at(1_000), Some(pace(5.0)));
    expect_that!(paces.current(at(2_990)), some(eq(pace(5.0))));
    expect_that!(paces.current(at(3_000)), none());
    expect_that!(paces.record(at(3_100), Some(pace(5.0))), some(eq(pace(5.0))));
    paces.forget();
    expect_that!(paces.current(at(3_110)), none());
}
