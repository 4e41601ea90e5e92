//! Timing of stream events.

use std::time::Duration;

use googletest::prelude::*;
use headlatch_core::{direct::stream_timing::StreamTiming, time::Moment};

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

#[gtest]
fn the_first_event_and_the_longest_pause_are_recorded() {
    let mut timing = StreamTiming::default();
    expect_that!(timing.first(), none());
    [120, 160, 460, 500].into_iter().for_each(|millis| timing.note_event(at(millis)));
    expect_that!(timing.first(), some(eq(at(120))));
    expect_that!(timing.longest_pause(), eq(Duration::from_millis(300)));
}

#[gtest]
fn a_single_event_has_no_pause() {
    let mut timing = StreamTiming::default();
    timing.note_event(at(50));
    expect_that!(timing.longest_pause(), eq(Duration::ZERO));
}
