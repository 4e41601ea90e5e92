//! Estimates of transfer times.
//!
//! Guards against estimates from a box's own link alone: a burst was estimated at 3.9 s, one and a
//! half copies over that link, but took 5.4 to 6.0 s because the origin's link was narrower and the
//! arrival rate of pieces was not measured.

use std::time::Duration;

use googletest::prelude::*;
use headlatch_core::{
    direct::transfer_rate::{TransferRate, TransferView},
    time::Moment,
};
use headlatch_types::traffic::WeightVersion;

/// Time of one piece over an origin link of 4.38 Mbit/s.
const PIECE_TIME: Duration = Duration::from_millis(45);

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

fn view(version: u64, held: u32) -> TransferView {
    TransferView { version: WeightVersion(version), held, pieces: 96, piece_time: PIECE_TIME }
}

/// A transfer in which a piece has arrived every `pause` milliseconds.
fn transfer_in_progress(pause: u64, pieces: u32) -> TransferRate {
    let mut rate = TransferRate::default();
    for held in 0..=pieces {
        rate.record(at(u64::from(held) * pause), WeightVersion(2), held);
    }
    rate
}

#[gtest]
fn a_transfer_that_has_not_started_is_estimated_from_its_narrowest_link() {
    let time = TransferRate::default().time_left(&view(2, 0));
    expect_that!(time, ge(Duration::from_millis(5400)));
    expect_that!(time, le(Duration::from_millis(6000)));
}

#[gtest]
fn an_origin_at_half_its_rate_is_recognised_by_the_arrival_rate() {
    let time = transfer_in_progress(90, 32).time_left(&view(2, 32));
    expect_that!(time, ge(Duration::from_millis(64 * 90)));
    expect_that!(time, le(Duration::from_millis(64 * 90 + 600)));
}

#[gtest]
fn an_outage_falls_back_to_the_link_estimate() {
    let mut rate = transfer_in_progress(45, 40);
    (0..100).for_each(|tick| rate.record(at(1800 + 60 * tick), WeightVersion(2), 40));
    expect_that!(rate.time_left(&view(2, 40)), le(Duration::from_millis(56 * 54 + 500)));
}

#[gtest]
fn rates_of_different_versions_are_independent() {
    let rate = transfer_in_progress(400, 20);
    expect_that!(rate.time_left(&view(3, 0)), eq(TransferRate::default().time_left(&view(3, 0))));
    expect_that!(rate.time_left(&view(2, 96)), eq(Duration::ZERO));
}
