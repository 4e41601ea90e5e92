//! When refused callers return, and which callers count as retrying.

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use headlatch_core::{
    direct::admission::{
        caller::{CallerKind, UsualDeadlines},
        drain_rate::{DrainRate, PromptTokens},
        return_time::{ReturnBounds, ReturnTime},
    },
    time::Moment,
};

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

fn service() -> Arc<str> {
    "llm".into()
}

/// A caller with 6 s left, and servers that asked for nothing.
const PATIENT: ReturnBounds =
    ReturnBounds { remaining: Duration::from_secs(6), asked: Duration::ZERO };

/// An overload from 0 ms to `until`, with a refusal every 100 ms.
fn overloaded(until: u64) -> ReturnTime {
    let mut times = ReturnTime::default();
    for millis in (0..=until).step_by(100) {
        times.record_overload(at(millis), &service());
    }
    times
}

/// Guards against callers that return while a long load burst goes on, or all at once.
#[gtest]
fn callers_are_spread_over_as_much_time_as_the_overload_has_lasted() {
    let times = overloaded(800);
    let time = |draw| times.time(at(800), "llm", PATIENT, draw);
    expect_that!(time(0.0), eq(Duration::from_millis(700)));
    expect_that!(time(0.5), eq(Duration::from_millis(1100)));
    expect_that!(time(1.0), eq(Duration::from_millis(1500)));
}

/// Guards against a herd at the maximum: a long overload must not send all callers back after 2 s.
#[gtest]
fn a_long_overload_spreads_callers_up_to_the_maximum_only() {
    let times = overloaded(20_000);
    let time = |draw| times.time(at(20_000), "llm", PATIENT, draw);
    expect_that!(time(0.0), eq(Duration::from_millis(700)));
    expect_that!(time(0.5), eq(Duration::from_millis(1350)));
    expect_that!(time(1.0), eq(Duration::from_secs(2)));
}

/// Guards against a time that callers do not honour because too little is left to them.
#[gtest]
fn a_caller_with_little_time_returns_within_a_third_of_it() {
    let times = overloaded(5000);
    for remaining in [300, 1000, 2000, 4500] {
        let remaining = Duration::from_millis(remaining);
        let bounds = ReturnBounds { remaining, ..PATIENT };
        for draw in [0.0, 0.3, 1.0] {
            expect_that!(times.time(at(5000), "llm", bounds, draw), le(remaining / 3));
        }
    }
}

/// Guards against callers with little time left that all return at the same moment.
#[gtest]
fn callers_with_little_time_are_spread_as_well() {
    let times = overloaded(5000);
    let bounds = ReturnBounds { remaining: Duration::from_millis(1200), ..PATIENT };
    let time = |draw| times.time(at(5000), "llm", bounds, draw);
    expect_that!(time(0.0), eq(Duration::from_millis(200)));
    expect_that!(time(0.5), eq(Duration::from_millis(300)));
    expect_that!(time(1.0), eq(Duration::from_millis(400)));
}

/// Guards against callers that return earlier than a server has asked for.
#[gtest]
fn the_time_that_servers_ask_for_takes_precedence() {
    let times = overloaded(500);
    let asked = Duration::from_millis(3003);
    let bounds = ReturnBounds { remaining: Duration::from_secs(1), asked };
    expect_that!(times.time(at(500), "llm", bounds, 0.0), eq(Duration::from_millis(3010)));
}

/// Guards against long times after a load burst that has ended.
#[gtest]
fn an_overload_that_has_ended_does_not_count() {
    let mut times = overloaded(5000);
    expect_that!(times.overloaded_for(at(5900), "llm"), eq(Duration::from_millis(5900)));
    expect_that!(times.overloaded_for(at(6000), "llm"), eq(Duration::ZERO));
    times.record_overload(at(8000), &service());
    expect_that!(times.overloaded_for(at(8200), "llm"), eq(Duration::from_millis(200)));
    expect_that!(times.overloaded_for(at(8200), "other"), eq(Duration::ZERO));
}

/// Guards against a herd of retrying callers that changes what counts as the usual deadline.
#[gtest]
fn half_of_all_callers_may_retry_and_are_still_recognized() {
    let mut deadlines = UsualDeadlines::default();
    let route: Arc<str> = "chat".into();
    let record = |deadlines: &mut UsualDeadlines, millis| {
        deadlines.record(at(0), &route, Duration::from_millis(millis))
    };
    expect_that!(record(&mut deadlines, 6000), eq(CallerKind::New));
    for _ in 0..200 {
        expect_that!(record(&mut deadlines, 5990), eq(CallerKind::New));
        expect_that!(record(&mut deadlines, 4600), eq(CallerKind::Retrying));
    }
    expect_that!(record(&mut deadlines, 5600), eq(CallerKind::New));
}

/// Guards against a plan with shorter deadlines that makes all callers count as retrying for good.
#[gtest]
fn a_changed_deadline_of_a_route_becomes_the_usual_one() {
    let mut deadlines = UsualDeadlines::default();
    let route: Arc<str> = "chat".into();
    for _ in 0..64 {
        deadlines.record(at(0), &route, Duration::from_secs(6));
    }
    let kinds = (0..64).map(|_| deadlines.record(at(1), &route, Duration::from_secs(3)));
    expect_that!(kinds.last(), some(eq(CallerKind::New)));
}

/// Guards against a predicted wait that lags behind a changed rate by more than some seconds.
#[gtest]
fn the_rate_follows_what_is_sent_within_seconds() {
    let mut rate = DrainRate::default();
    expect_that!(rate.rate(at(0)).per_second(), eq(0.0));
    rate.begin_waiting(at(0));
    for millis in (0..5000).step_by(10) {
        rate.record_sent(at(millis), PromptTokens(80));
    }
    expect_that!(rate.rate(at(5000)).per_second(), all![ge(7600.0), le(8400.0)]);
    expect_that!(rate.rate(at(5900)).per_second(), all![ge(3000.0), le(3500.0)]);
    expect_that!(rate.rate(at(6000)).per_second(), le(3200.0));
    expect_that!(rate.rate(at(8000)).per_second(), eq(0.0));
}
