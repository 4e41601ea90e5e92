//! Estimates of transfer times.
//!
//! Guards against estimates from a box's own link alone: a burst was estimated at 3.9 s, one and a
//! half copies over that link, but took 5.4 to 6.0 s because the origin's link was narrower and the
//! arrival rate of pieces was not measured.

use std::time::Duration;

use googletest::prelude::*;
use headlatch_core::{
    direct::{
        origin_outage::OriginState,
        transfer_rate::{EstimateBasis, TransferEstimate, TransferRate, TransferView},
    },
    time::Moment,
};
use headlatch_types::traffic::WeightVersion;

/// Time of one piece over an origin link of 4.38 Mbit/s.
const PIECE_TIME: Duration = Duration::from_millis(45);

/// Time of one piece over a box's link of 7.3 Mbit/s.
const LINK_PIECE_TIME: Duration = Duration::from_millis(27);

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

fn view(version: u64, held: u32) -> TransferView {
    TransferView {
        version: WeightVersion(version),
        held,
        known: held,
        pieces: 96,
        origin_piece_time: PIECE_TIME,
        link_piece_time: LINK_PIECE_TIME,
    }
}

/// The estimate while nothing indicates an outage.
fn time_left(rate: &TransferRate, view: &TransferView) -> Duration {
    rate.estimate(view, OriginState::Reachable).total
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
    let time = time_left(&TransferRate::default(), &view(2, 0));
    expect_that!(time, ge(Duration::from_millis(5400)));
    expect_that!(time, le(Duration::from_millis(6000)));
}

#[gtest]
fn an_origin_at_half_its_rate_is_recognised_by_the_arrival_rate() {
    let time = time_left(&transfer_in_progress(90, 32), &view(2, 32));
    expect_that!(time, ge(Duration::from_millis(64 * 90)));
    expect_that!(time, le(Duration::from_millis(64 * 90 + 600)));
}

#[gtest]
fn a_standstill_that_is_no_outage_falls_back_to_the_link_estimate() {
    let mut rate = transfer_in_progress(45, 40);
    (0..100).for_each(|tick| rate.record(at(1800 + 60 * tick), WeightVersion(2), 40));
    expect_that!(time_left(&rate, &view(2, 40)), le(Duration::from_millis(56 * 54 + 500)));
}

#[gtest]
fn rates_of_different_versions_are_independent() {
    let rate = transfer_in_progress(400, 20);
    let unmeasured = time_left(&TransferRate::default(), &view(3, 0));
    expect_that!(time_left(&rate, &view(3, 0)), eq(unmeasured));
    expect_that!(time_left(&rate, &view(2, 96)), eq(Duration::ZERO));
}

/// Guards against an estimate of 5.7 s for a version of which nothing had arrived when its origin
/// had just gone down: what is needed after the return is the sum of its parts.
#[gtest]
fn in_an_outage_the_estimate_is_what_is_needed_after_the_return() {
    let rate = transfer_in_progress(45, 40);
    let estimate = rate.estimate(&view(2, 40), OriginState::Down);
    let (origin, link) = (PIECE_TIME * 56, LINK_PIECE_TIME * 56);
    let spread = Duration::from_millis(500);
    let total = origin + link + spread;
    let basis = EstimateBasis::AfterOutage;
    expect_that!(estimate, eq(TransferEstimate { basis, origin, link, spread, total }));
}

/// Guards against waiting for an origin that is not needed: the other boxes hold every piece.
#[gtest]
fn pieces_that_other_boxes_hold_do_not_wait_for_the_origin() {
    let view = TransferView { known: 96, ..view(2, 90) };
    let estimate = TransferRate::default().estimate(&view, OriginState::Down);
    expect_that!(estimate.origin, eq(Duration::ZERO));
    expect_that!(estimate.total, le(Duration::from_millis(700)));
    let complete = TransferView { held: 96, ..view };
    let estimate = TransferRate::default().estimate(&complete, OriginState::Down);
    expect_that!(estimate.basis, eq(EstimateBasis::Complete));
    expect_that!(estimate.total, eq(Duration::ZERO));
}

/// Guards against a transfer that seems to need three times as long as it does when its origin has
/// just gone down or returned: the standstill counted as slow arrivals, and agents changed to
/// another version and back within 60 ms.
#[gtest]
fn a_standstill_does_not_count_as_a_slow_origin() {
    let mut rate = transfer_in_progress(45, 40);
    let before = time_left(&rate, &view(2, 40));
    (1..=12).for_each(|tick| rate.record(at(1800 + 60 * tick), WeightVersion(2), 40));
    expect_that!(time_left(&rate, &view(2, 40)), eq(before));
    rate.restart();
    for held in 40..60 {
        rate.record(at(9000 + 45 * u64::from(held)), WeightVersion(2), held);
        let time = time_left(&rate, &view(2, held));
        let links = time_left(&TransferRate::default(), &view(2, held));
        expect_that!(time, le(links), "{held} pieces held");
    }
}
