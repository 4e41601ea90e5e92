//! Decisions of agents that stage weights.

use std::time::Duration;

use googletest::prelude::*;
use headlatch_core::{
    direct::{
        staging::{GivenOrder, StageState, StageStep, StageView, TurnView, has_turn, next_step},
        weight_deadline::dispatch_time,
    },
    time::Moment,
};
use headlatch_outside::engine::{OrderAnswer, OrderSequence, StageReport};
use headlatch_types::traffic::WeightVersion;

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

struct Stage {
    report: StageReport,
    stage: StageState,
    held: Vec<bool>,
    order: Option<GivenOrder>,
    turn: bool,
    whole: Option<u64>,
}

impl Stage {
    fn ready() -> Self {
        let stage = StageState {
            version: Some(WeightVersion(2)),
            placed: vec![true, true],
            checked: Some(at(900)),
            surveyed: true,
        };
        let (report, held) = (StageReport::default(), vec![true, true]);
        Self { report, stage, held, order: None, turn: true, whole: Some(1) }
    }

    fn step(&self) -> StageStep {
        next_step(&StageView {
            now: at(1000),
            wanted: WeightVersion(2),
            layers: 16,
            report: &self.report,
            whole: self.whole.map(WeightVersion),
            stage: &self.stage,
            held: &self.held,
            order: self.order,
            turn: self.turn,
        })
    }
}

#[gtest]
fn nothing_is_ordered_before_every_piece_was_read_back() {
    let mut stage = Stage::ready();
    expect_that!(stage.step(), eq(StageStep::Order(OrderSequence(0))));
    stage.stage.checked = None;
    expect_that!(stage.step(), eq(StageStep::Check));
    stage.stage.placed[1] = false;
    expect_that!(stage.step(), eq(StageStep::Place(1)));
    stage.held[1] = false;
    expect_that!(stage.step(), eq(StageStep::Wait));
}

#[gtest]
fn an_expired_check_is_repeated() {
    let mut stage = Stage::ready();
    stage.stage.checked = Some(Moment::ZERO);
    let old = StageStep::Check;
    expect_that!(next_at(&stage, 2000), eq(old));
}

fn next_at(stage: &Stage, now: u64) -> StageStep {
    next_step(&StageView {
        now: at(now),
        wanted: WeightVersion(2),
        layers: 16,
        report: &stage.report,
        whole: stage.whole.map(WeightVersion),
        stage: &stage.stage,
        held: &stage.held,
        order: stage.order,
        turn: stage.turn,
    })
}

#[gtest]
fn an_unanswered_order_is_not_repeated_before_the_report_shows_its_effect() {
    let mut stage = Stage::ready();
    let expected = OrderSequence(0);
    let order = GivenOrder { version: WeightVersion(2), given: at(990), answer: None, expected };
    stage.order = Some(order);
    expect_that!(stage.step(), eq(StageStep::Wait));
    // The report counts one more order: it was accepted, and its effect will show.
    stage.report.sequence = OrderSequence(1);
    stage.report.busy = true;
    expect_that!(stage.step(), eq(StageStep::Wait));
}

#[gtest]
fn a_refused_order_is_issued_again() {
    let mut stage = Stage::ready();
    let answer = Some(OrderAnswer::Conflict);
    let expected = OrderSequence(0);
    stage.order = Some(GivenOrder { version: WeightVersion(2), given: at(990), answer, expected });
    expect_that!(stage.step(), eq(StageStep::Order(OrderSequence(0))));
}

#[gtest]
fn the_next_version_may_be_staged_but_not_ordered_while_the_last_is_loaded() {
    let mut stage = Stage::ready();
    let answer = Some(OrderAnswer::Begun);
    let expected = OrderSequence(0);
    stage.order = Some(GivenOrder { version: WeightVersion(1), given: at(990), answer, expected });
    stage.report.busy = true;
    stage.stage.placed[1] = false;
    expect_that!(stage.step(), eq(StageStep::Place(1)));
    stage.stage.placed[1] = true;
    expect_that!(stage.step(), eq(StageStep::Wait));
}

#[gtest]
fn servers_change_in_turns_and_all_before_the_deadline() {
    let time = Duration::from_secs(8);
    let waits = TurnView { rank: 0, done: false, ready: true, changing: false };
    let others = [waits];
    expect_that!(has_turn(0, true, millis(100), time, &[]), eq(true));
    expect_that!(has_turn(1, true, millis(100), time, &others), eq(false));
    expect_that!(has_turn(1, true, millis(7000), time, &others), eq(true));
    let done = [TurnView { done: true, ..waits }];
    expect_that!(has_turn(1, true, millis(100), time, &done), eq(true));
    // A server that serves nothing does not wait for others.
    expect_that!(has_turn(2, false, millis(100), time, &others), eq(true));
}

#[gtest]
fn as_few_servers_change_at_once_as_the_time_allows() {
    let time = Duration::from_secs(8);
    let waits = |rank| TurnView { rank, done: false, ready: true, changing: false };
    let others: Vec<TurnView> = (0..19).map(waits).collect();
    let turns = |since: u64| {
        let now = millis(since);
        (0..20).filter(|rank| has_turn(*rank, true, now, time, &others_of(&others, *rank))).count()
    };
    expect_that!(turns(1000), eq(5));
    expect_that!(turns(4000), eq(10));
    expect_that!(turns(6500), eq(20));
    // A server that is changing counts, whatever its rank.
    let changing: Vec<TurnView> =
        (1..5).map(|rank| TurnView { changing: true, ..waits(rank + 10) }).collect();
    expect_that!(has_turn(0, true, millis(1000), time, &changing), eq(false));
}

/// The other servers as seen by the one of `rank`, among twenty.
fn others_of(others: &[TurnView], rank: u32) -> Vec<TurnView> {
    let shifted = others.iter().map(|other| match other.rank < rank {
        true => *other,
        false => TurnView { rank: other.rank + 1, ..*other },
    });
    shifted.collect()
}

/// Holds however much time servers have to change.
#[gtest]
fn the_last_turn_starts_before_older_weights_stop_receiving_requests() {
    let waits = |rank| TurnView { rank, done: false, ready: true, changing: false };
    let others: Vec<TurnView> = (0..75).map(waits).collect();
    for time in [millis(8000), millis(10_000), millis(13_400)] {
        let stop = dispatch_time(time);
        expect_that!(has_turn(75, true, stop, time, &others), eq(true), "{time:?}");
        expect_that!(has_turn(75, true, stop - millis(200), time, &others), eq(true), "{time:?}");
        expect_that!(has_turn(75, true, stop - millis(4000), time, &others), eq(false), "{time:?}");
    }
}

/// The margin covers a delay that does not depend on the time to change, so it is a fixed duration
/// instead of a fraction.
#[gtest]
fn older_weights_receive_requests_until_a_fixed_time_before_the_deadline() {
    expect_that!(dispatch_time(millis(8000)), eq(millis(6400)));
    expect_that!(dispatch_time(millis(13_400)), eq(millis(11_800)));
    // With very little time, three quarters of it are kept.
    expect_that!(dispatch_time(millis(2000)), eq(millis(1500)));
}
