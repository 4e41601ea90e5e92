//! Selection of the peer from which an outdated entry fetches a plan.

use headlatch_types::traffic::PlanVersion;
use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use headlatch_core::{
    direct::plan_source::{PlanHolders, PlanSource},
    time::Moment,
};

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7700))
}

fn behind() -> PlanSource {
    let mut source = PlanSource::default();
    source.confirm_from_store(at(0), PlanVersion(5));
    source.record_peer_position(at(0), PlanVersion(6));
    source
}

fn view(near: &[u8], far: &[u8]) -> PlanHolders {
    let addresses = |lasts: &[u8]| lasts.iter().map(|last| address(*last)).collect();
    PlanHolders { reads_store: false, near: addresses(near), far: addresses(far), before: 0 }
}

#[gtest]
fn no_holder_is_asked_without_a_newer_plan() {
    let mut source = behind();
    source.confirm_from_store(at(10), PlanVersion(6));
    expect_that!(source.holder(at(5000), &view(&[1], &[2]), 0), none());
    expect_that!(source.take_due_read(at(5000), true), eq(false));
}

#[gtest]
fn near_holders_are_asked_immediately_and_far_ones_by_rank() {
    let source = behind();
    expect_that!(source.holder(at(0), &view(&[1], &[2]), 0), some(eq(address(1))));
    expect_that!(source.holder(at(390), &view(&[], &[2]), 0), none());
    expect_that!(source.holder(at(400), &view(&[], &[2]), 0), some(eq(address(2))));
    let second = PlanHolders { before: 1, ..view(&[], &[2]) };
    expect_that!(source.holder(at(490), &second, 0), none());
    expect_that!(source.holder(at(500), &second, 0), some(eq(address(2))));
    let ninth = PlanHolders { before: 8, ..view(&[], &[2]) };
    expect_that!(source.holder(at(700), &ninth, 0), some(eq(address(2))));
}

#[gtest]
fn reader_waits_briefly_for_its_watch() {
    let source = behind();
    let reader = PlanHolders { reads_store: true, ..view(&[1], &[2]) };
    expect_that!(source.holder(at(240), &reader, 0), none());
    expect_that!(source.holder(at(250), &reader, 0), some(eq(address(1))));
}

#[gtest]
fn overdue_reader_is_replaced_until_the_store_delivers() {
    let mut source = behind();
    source.record_role(at(0), true);
    expect_that!(source.is_watch_overdue(at(390)), eq(false));
    expect_that!(source.is_watch_overdue(at(400)), eq(true));
    // A plan from a local peer leaves the watch overdue, and the store must still be read.
    source.take_from_peer(at(500), PlanVersion(6));
    expect_that!(source.is_watch_overdue(at(600)), eq(true));
    expect_that!(source.take_due_read(at(900), true), eq(true));
    source.confirm_from_store(at(950), PlanVersion(6));
    expect_that!(source.is_watch_overdue(at(5000)), eq(false));
    expect_that!(source.take_due_read(at(5000), true), eq(false));
}

#[gtest]
fn new_reader_is_not_overdue_before_its_first_read() {
    let mut source = behind();
    source.record_role(at(100), false);
    source.take_from_peer(at(200), PlanVersion(6));
    expect_that!(source.is_watch_overdue(at(3000)), eq(false));
    source.record_role(at(3000), true);
    expect_that!(source.is_watch_overdue(at(3300)), eq(false));
    expect_that!(source.is_watch_overdue(at(3400)), eq(true));
}

#[gtest]
fn failed_holder_is_retried_last() {
    let mut source = behind();
    let view = view(&[1], &[2]);
    source.record_failure(address(1));
    expect_that!(source.holder(at(500), &view, 0), some(eq(address(2))));
    source.record_failure(address(2));
    expect_that!(source.holder(at(900), &view, 0), some(eq(address(1))));
    expect_that!(source.holder(at(900), &view, 1), some(eq(address(2))));
}

#[gtest]
fn store_reads_are_rate_limited_and_a_fallback_for_non_readers() {
    let reads = |is_reader: bool| -> Vec<u64> {
        let mut source = behind();
        (0..30)
            .map(|tenth| tenth * 100)
            .filter(|ms| source.take_due_read(at(*ms), is_reader))
            .collect()
    };
    expect_that!(reads(true), eq(&vec![900, 1800, 2700]));
    expect_that!(reads(false), eq(&vec![1500, 2400]));
    // An entry that is not a reader and has received the plan from a peer does not read the store.
    let mut updated = behind();
    updated.take_from_peer(at(100), PlanVersion(6));
    expect_that!(updated.take_due_read(at(5000), false), eq(false));
}
