//! Recognition of outages of the origin by one box.

use std::time::Duration;

use googletest::prelude::*;
use headlatch_core::{
    direct::origin_outage::{OriginSigns, OriginState, OriginWatch},
    time::Moment,
};
use headlatch_types::traffic::WeightVersion;

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

fn signs(version: u64, known: u32) -> OriginSigns {
    OriginSigns {
        version: WeightVersion(version),
        known,
        pieces: 96,
        reads: 0,
        failures: 0,
        piece_time: Duration::from_millis(45),
    }
}

/// A watch over a transfer in which a piece becomes known every 45 ms until `until`, when 40 are.
fn watch_until(until: u64) -> OriginWatch {
    let mut watch = OriginWatch::default();
    for known in 0..=40 {
        let now = at(until - 45 * u64::from(40 - known));
        watch.record(now, Some(signs(2, known)));
    }
    watch
}

/// Guards against a choice made with the configured rate during the whole outage.
#[gtest]
fn an_outage_is_recognised_after_a_second_and_its_end_at_the_first_piece() {
    let mut watch = watch_until(20_500);
    expect_that!(watch.record(at(21_400), Some(signs(2, 40))), none());
    expect_that!(watch.record(at(21_500), Some(signs(2, 40))), some(eq(OriginState::Down)));
    expect_that!(watch.record(at(26_400), Some(signs(2, 40))), none());
    expect_that!(watch.state(), eq(OriginState::Down));
    let read = OriginSigns { reads: 1, ..signs(2, 41) };
    expect_that!(watch.record(at(26_600), Some(read)), some(eq(OriginState::Reachable)));
}

/// Guards against an end that is recognised late by a box that reads nothing from the origin itself.
#[gtest]
fn pieces_known_to_others_end_an_outage_once_their_number_rises_again() {
    let mut watch = watch_until(20_500);
    watch.record(at(21_500), Some(signs(2, 40)));
    expect_that!(watch.record(at(26_600), Some(signs(2, 41))), none());
    expect_that!(watch.record(at(26_650), Some(signs(2, 42))), none());
    expect_that!(watch.record(at(26_700), Some(signs(2, 43))), some(eq(OriginState::Reachable)));
}

/// Guards against an end that is seen in notes of pieces which others had fetched before the outage,
/// although the origin sends nothing.
#[gtest]
fn a_single_jump_of_the_known_pieces_does_not_end_an_outage() {
    let mut watch = watch_until(20_500);
    watch.record(at(21_500), Some(signs(2, 40)));
    expect_that!(watch.record(at(23_500), Some(signs(2, 60))), none());
    for now in (23_560..26_600).step_by(60) {
        expect_that!(watch.record(at(now), Some(signs(2, 60))), none(), "{now}");
    }
    expect_that!(watch.state(), eq(OriginState::Down));
}

#[gtest]
fn failed_fetches_of_this_box_show_an_outage_earlier() {
    let mut watch = watch_until(20_500);
    let failing = OriginSigns { failures: 2, ..signs(2, 40) };
    expect_that!(watch.record(at(20_700), Some(failing)), none());
    expect_that!(watch.record(at(20_800), Some(failing)), some(eq(OriginState::Down)));
}

/// Guards against a box with a fault of its own that takes the origin for down.
#[gtest]
fn failed_fetches_of_this_box_are_no_outage_while_others_receive_pieces() {
    let mut watch = watch_until(20_500);
    for step in 1..50 {
        let failing = OriginSigns { failures: step, ..signs(2, 40 + step) };
        let change = watch.record(at(20_500 + 60 * u64::from(step)), Some(failing));
        expect_that!(change, none());
    }
}

/// Guards against an end that is seen in pieces which others had fetched before the outage, when a
/// box changes to another version during it.
#[gtest]
fn a_change_of_version_does_not_end_an_outage() {
    let mut watch = watch_until(20_500);
    watch.record(at(21_500), Some(signs(2, 40)));
    for (now, known) in [(21_600, 0), (21_700, 5), (22_000, 11), (22_500, 11), (24_000, 11)] {
        expect_that!(watch.record(at(now), Some(signs(3, known))), none(), "{now}");
    }
    let read = OriginSigns { reads: 1, ..signs(3, 12) };
    expect_that!(watch.record(at(26_600), Some(read)), some(eq(OriginState::Reachable)));
}

/// Guards against an outage that is seen in every transfer of large pieces.
#[gtest]
fn an_origin_that_needs_seconds_for_a_piece_is_not_down() {
    let mut watch = OriginWatch::default();
    let slow = |known| OriginSigns { piece_time: Duration::from_millis(1500), ..signs(2, known) };
    for step in 0..40u32 {
        let now = at(500 * u64::from(step));
        expect_that!(watch.record(now, Some(slow(step / 4))), none());
    }
}

/// Guards against a transfer that waits for its turn and takes the silence for an outage.
#[gtest]
fn silence_of_an_origin_that_is_not_needed_is_no_outage() {
    let mut watch = watch_until(20_500);
    expect_that!(watch.record(at(21_000), Some(signs(2, 96))), none());
    expect_that!(watch.record(at(30_000), Some(signs(2, 96))), none());
    expect_that!(watch.record(at(40_000), None), none());
    expect_that!(watch.state(), eq(OriginState::Reachable));
}
