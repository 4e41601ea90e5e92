//! Whom an entry asks for a plan that it has missed.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use headlatch_core::{
    direct::{
        fact_age::ChangeMark,
        plan_source::{HolderView, PlanSource},
    },
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
    source.read(at(0), ChangeMark(5));
    source.hear(at(0), ChangeMark(6));
    source
}

fn view(near: &[u8], far: &[u8]) -> HolderView {
    let addresses = |lasts: &[u8]| lasts.iter().map(|last| address(*last)).collect();
    HolderView { reads_store: false, near: addresses(near), far: addresses(far), before: 0 }
}

#[gtest]
fn nobody_is_asked_while_nobody_knows_better() {
    let mut source = behind();
    source.take(at(10), ChangeMark(6));
    expect_that!(source.holder(at(5000), &view(&[1], &[2]), 0), none());
    expect_that!(source.take_read(at(5000), true), eq(false));
}

#[gtest]
fn neighbours_are_asked_at_once_and_far_entries_in_the_order_of_addresses() {
    let source = behind();
    expect_that!(source.holder(at(0), &view(&[1], &[2]), 0), some(eq(address(1))));
    expect_that!(source.holder(at(400), &view(&[], &[2]), 0), none());
    expect_that!(source.holder(at(450), &view(&[], &[2]), 0), some(eq(address(2))));
    let second = HolderView { before: 1, ..view(&[], &[2]) };
    expect_that!(source.holder(at(550), &second, 0), none());
    expect_that!(source.holder(at(600), &second, 0), some(eq(address(2))));
    let ninth = HolderView { before: 8, ..view(&[], &[2]) };
    expect_that!(source.holder(at(900), &ninth, 0), some(eq(address(2))));
}

#[gtest]
fn an_entry_that_reads_the_store_waits_for_its_watch_but_not_for_long() {
    let source = behind();
    let reader = HolderView { reads_store: true, ..view(&[1], &[2]) };
    expect_that!(source.is_late(at(400)), eq(false));
    expect_that!(source.holder(at(400), &reader, 0), none());
    expect_that!(source.is_late(at(450)), eq(true));
    expect_that!(source.holder(at(450), &reader, 0), some(eq(address(1))));
}

#[gtest]
fn a_holder_that_failed_is_asked_again_last() {
    let mut source = behind();
    let view = view(&[1], &[2]);
    source.note_failed(address(1));
    expect_that!(source.holder(at(500), &view, 0), some(eq(address(2))));
    source.note_failed(address(2));
    expect_that!(source.holder(at(900), &view, 0), some(eq(address(1))));
    expect_that!(source.holder(at(900), &view, 1), some(eq(address(2))));
}

#[gtest]
fn the_store_is_read_once_a_while_and_by_the_others_only_at_last() {
    let mut reader = behind();
    let reads = |source: &mut PlanSource, is_reader| -> Vec<u64> {
        (0..30).map(|tenth| tenth * 100).filter(|ms| source.take_read(at(*ms), is_reader)).collect()
    };
    expect_that!(reads(&mut reader, true), eq(&vec![900, 1800, 2700]));
    expect_that!(reads(&mut behind(), false), eq(&vec![1800]));
}
