//! How a process knows that its copy of a topic is too old.

use std::time::Duration;

use googletest::prelude::*;
use headlatch_core::{
    direct::fact_age::{ChangeMark, FactAge},
    time::Moment,
};

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

fn mark(number: u64) -> ChangeMark {
    ChangeMark(number)
}

#[gtest]
fn a_change_that_others_have_is_missing_until_the_store_has_been_read_so_far() {
    let mut age = FactAge::default();
    age.confirm_from_store(at(0), mark(10), mark(4));
    age.note_told(at(100), mark(10));
    expect_that!(age.behind(at(200)), none());
    age.note_told(at(300), mark(11));
    age.note_told(at(500), mark(12));
    expect_that!(age.behind(at(700)), some(eq(Duration::from_millis(400))));
    age.confirm_from_store(at(800), mark(11), mark(11));
    expect_that!(age.behind(at(800)), some(eq(Duration::from_millis(500))));
    // The store has moved on for other topics: what is told lies before that.
    age.confirm_from_store(at(900), mark(30), mark(12));
    expect_that!(age.behind(at(900)), none());
    age.note_told(at(950), mark(29));
    expect_that!(age.behind(at(950)), none());
    expect_that!(age.newest(), eq(mark(12)));
}

#[gtest]
fn what_a_peer_hands_over_is_as_good_but_confirms_nothing() {
    let mut age = FactAge::default();
    expect_that!(age.age(at(0)), none());
    age.confirm_from_store(at(0), mark(5), mark(5));
    age.note_told(at(100), mark(6));
    age.take_from_peer(mark(6));
    expect_that!(age.behind(at(200)), none());
    expect_that!(age.age(at(200)), some(eq(Duration::from_millis(200))));
    expect_that!(age.newest_told(), eq(mark(6)));
}
