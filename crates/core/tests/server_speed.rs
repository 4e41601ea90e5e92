//! Servers that are slower than configured. Guards against requests that pile up at a slow server, and
//! against servers that are taken for slow although they are not.

use std::time::Duration;

use googletest::prelude::*;
use headlatch_core::{
    direct::{
        engine_model::{EngineLoad, time_to_first_token},
        fact_age::ChangeMark,
        peers::ServerNotice,
        server_speed::SpeedSource,
        server_table::{
            ChosenServer, EngineQuery, FirstTokenBound, ServerChoice, ServerQuery, ServerTable,
            server_key,
        },
    },
    time::Moment,
};
use headlatch_types::{
    pace::ServerPace,
    traffic::{AllowedRegions, ServerId, ServerRecord, StartTime, WeightVersion},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

#[path = "support/entry.rs"]
mod entry;
#[path = "support/speeds.rs"]
mod speeds;

use entry::{at, millis};
use speeds::{
    Awaited, PROMPT, SERVERS, answer, figures, notice, observing_table, pace, records, send, work,
};

/// Chooses a server with the given random number.
fn choose(table: &ServerTable, now: Moment, random: u64) -> ChosenServer {
    let figures = figures();
    let engine = EngineQuery {
        figures: &figures,
        work: work(&figures, PROMPT),
        continues: false,
        bound: FirstTokenBound::Usual,
    };
    let query = ServerQuery {
        service: "llm",
        engine: Some(engine),
        regions: &AllowedRegions::Anywhere,
        min_version: None,
        tried: &[],
        random,
    };
    match table.choose(now, &query) {
        ServerChoice::Server(server) => server,
        other => panic!("no server: {other:?}"),
    }
}

/// Returns a choice of the given server.
fn chosen(table: &ServerTable, now: Moment, name: &str) -> ChosenServer {
    let others: Vec<ServerId> = records().into_iter().map(|record| record.id).collect();
    let others: Vec<ServerId> = others.into_iter().filter(|id| &*id.0 != name).collect();
    let figures = figures();
    let engine = EngineQuery {
        figures: &figures,
        work: work(&figures, PROMPT),
        continues: false,
        bound: FirstTokenBound::Usual,
    };
    let query = ServerQuery {
        service: "llm",
        engine: Some(engine),
        regions: &AllowedRegions::Anywhere,
        min_version: None,
        tried: &others,
        random: 1,
    };
    match table.choose(now, &query) {
        ServerChoice::Server(server) => server,
        other => panic!("{name} is not available: {other:?}"),
    }
}

/// Time to the first token of an otherwise idle server that is slower by `factor`.
fn idle_time(prompt: u64, factor: f64) -> Duration {
    let figures = figures();
    let work = work(&figures, prompt);
    time_to_first_token(&figures, EngineLoad::default(), work).mul_f64(factor)
}

/// Runs one request alone at a server that is slower by `factor`; returns when it ended.
fn run_alone(table: &mut ServerTable, now: Moment, name: &str, factor: f64) -> Moment {
    run_prompt(table, now, name, PROMPT, factor)
}

/// Runs one request of the given prompt size, like [`run_alone`].
fn run_prompt(
    table: &mut ServerTable,
    now: Moment,
    name: &str,
    prompt: u64,
    factor: f64,
) -> Moment {
    let server = chosen(table, now, name);
    let request = send(table, now, server, prompt);
    let end = now + idle_time(prompt, factor);
    answer(table, end, &request, Duration::ZERO);
    end
}

/// Returns a table that has seen several usual responses of every server but `s0`.
fn warm_table() -> ServerTable {
    let mut table = observing_table();
    for round in 0..2 {
        for index in 1..SERVERS {
            run_alone(&mut table, at(round * 100), &format!("s{index}"), 1.0);
        }
    }
    table
}

fn slow_by(table: &ServerTable, now: Moment, name: &str) -> Option<ServerPace> {
    chosen(table, now, name).slow_by
}

/// Share of requests that the first sixth of the servers get, when each request takes its server's time.
fn share_of_first_sixth(table: &mut ServerTable, from: Moment, factor: f64) -> f64 {
    let (mut random, mut running) = (SmallRng::seed_from_u64(7), Vec::<(Moment, Awaited)>::new());
    let mut slow = 0;
    const REQUESTS: u64 = 600;
    for step in 0..REQUESTS {
        let now = from + millis(step * 8);
        running.sort_by_key(|(end, _)| *end);
        while running.first().is_some_and(|(end, _)| *end <= now) {
            let (end, request) = running.remove(0);
            answer(table, end, &request, Duration::ZERO);
        }
        let server = choose(table, now, random.random());
        let is_slow = ["s0", "s1"].contains(&&*server.id.0);
        slow += u32::from(is_slow);
        let load = EngineLoad {
            in_flight: server.own.in_flight,
            waiting_tokens: server.own.waiting_tokens,
        };
        let figures = figures();
        let time = time_to_first_token(&figures, load, work(&figures, PROMPT));
        let time = if is_slow { time.mul_f64(factor) } else { time };
        running.push((now + time, send(table, now, server, PROMPT)));
    }
    running.into_iter().for_each(|(end, request)| answer(table, end, &request, Duration::ZERO));
    f64::from(slow) / REQUESTS as f64
}

#[gtest]
fn a_slow_sixth_gets_a_matching_share_and_its_usual_one_soon_after_recovery() {
    let usual = share_of_first_sixth(&mut observing_table(), at(0), 1.0);
    expect_that!(usual, all!(ge(0.10), le(0.24)));
    let mut table = observing_table();
    share_of_first_sixth(&mut table, at(0), 1.0);
    share_of_first_sixth(&mut table, at(6_000), 5.0);
    let slow = share_of_first_sixth(&mut table, at(12_000), 5.0);
    // Load alone, without regard to speed, still sends them a share of 0.047.
    expect_that!(slow, all!(gt(0.0), le(usual / 5.0)), "without any report");
    let recovered = share_of_first_sixth(&mut table, at(20_000), 1.0);
    expect_that!(recovered, ge(usual * 0.7));
}

#[gtest]
fn reported_pace_multiplies_predictions_and_is_dropped_with_its_agent() {
    let mut table = observing_table();
    let record = &records()[0];
    let even = chosen(&table, at(0), "s0").predicted.expect("a prediction");
    table.set_notice(record.address, Some(notice(record, Some(pace(2.5)))));
    expect_that!(chosen(&table, at(0), "s0").predicted, some(eq(even.mul_f64(2.5))));
    let (slow, changes) = table.take_speed_changes(at(0));
    expect_that!((slow, changes.len()), eq((1, 1)));
    expect_that!((changes[0].factor, changes[0].source), eq((pace(2.5), SpeedSource::Report)));
    expect_that!(table.take_speed_changes(at(1)), eq(&(1, Vec::new())));
    table.set_notice(record.address, None);
    expect_that!(chosen(&table, at(600), "s0").predicted, some(eq(even)));
    let (slow, changes) = table.take_speed_changes(at(600));
    expect_that!((slow, changes[0].factor), eq((0, ServerPace::NOMINAL)));
}

#[gtest]
fn a_pause_of_600_ms_is_forgotten_when_the_report_says_so() {
    let mut table = warm_table();
    let record = &records()[0];
    table.set_notice(record.address, Some(notice(record, Some(pace(2.5)))));
    let end = run_alone(&mut table, at(1_000), "s0", 2.5);
    expect_that!(slow_by(&table, end, "s0"), some(eq(pace(2.5))));
    table.set_notice(record.address, Some(notice(record, None)));
    expect_that!(slow_by(&table, at(1_600), "s0"), none());
}

#[gtest]
fn several_slow_responses_mark_a_server_and_the_mark_decays() {
    let mut table = warm_table();
    let mut now = run_alone(&mut table, at(1_000), "s0", 5.0);
    expect_that!(slow_by(&table, now, "s0"), none(), "one response shows nothing");
    for _ in 0..3 {
        now = run_alone(&mut table, now, "s0", 5.0);
    }
    let factor = slow_by(&table, now, "s0").expect("it is slow").factor();
    expect_that!(factor, all!(ge(3.0), le(5.1)));
    expect_that!(slow_by(&table, now + millis(2_000), "s0"), some(anything()));
    expect_that!(slow_by(&table, now + millis(6_000), "s0"), none());
    for index in 1..SERVERS {
        expect_that!(slow_by(&table, now, &format!("s{index}")), none());
    }
}

/// Guards against responses to short prompts, whose delay at a slow server is too small to show,
/// that count as evidence of normal speed.
#[gtest]
fn a_slow_server_among_short_prompts_is_marked_by_the_long_ones() {
    let mut table = warm_table();
    let mut now = at(1_000);
    for _ in 0..4 {
        for _ in 0..5 {
            now = run_prompt(&mut table, now, "s0", 100, 5.0);
        }
        now = run_alone(&mut table, now, "s0", 5.0);
    }
    let factor = slow_by(&table, now, "s0").expect("it is slow").factor();
    expect_that!(factor, all!(ge(2.5), le(5.1)));
}

/// Guards against a usual ratio from before a pause, when this entry saw all responses late.
#[gtest]
fn late_responses_before_a_pause_do_not_hide_a_slow_server() {
    let mut table = observing_table();
    for index in 0..SERVERS {
        run_alone(&mut table, at(0), &format!("s{index}"), 4.0);
    }
    let mut now = at(10_000);
    for name in ["s1", "s2", "s3"] {
        now = run_alone(&mut table, now, name, 1.0);
    }
    for _ in 0..4 {
        now = run_alone(&mut table, now, "s0", 5.0);
    }
    let factor = slow_by(&table, now, "s0").expect("it is slow").factor();
    expect_that!(factor, all!(ge(3.0), le(5.1)));
}

#[gtest]
fn one_long_prompt_does_not_mark_a_server() {
    let mut table = warm_table();
    let server = chosen(&table, at(1_000), "s0");
    let request = send(&mut table, at(1_000), server, 20_000);
    let end = at(1_000) + idle_time(20_000, 6.0);
    answer(&mut table, end, &request, Duration::ZERO);
    expect_that!(slow_by(&table, end, "s0"), none());
    let end = run_alone(&mut table, end, "s0", 1.0);
    let end = run_alone(&mut table, end, "s0", 1.0);
    expect_that!(slow_by(&table, end, "s0"), none());
}

#[gtest]
fn load_that_others_announce_late_does_not_mark_a_server() {
    let mut table = warm_table();
    let key = server_key(&ServerId("s0".into()));
    let mut now = at(1_000);
    for _ in 0..6 {
        let server = chosen(&table, now, "s0");
        let request = send(&mut table, now, server, PROMPT);
        // Six prompts of other entries were there before, which is heard 100 ms later, and have been
        // processed before this one.
        let load = EngineLoad { in_flight: 6, waiting_tokens: 6 * PROMPT };
        table.set_other_load(key, load);
        table.set_other_load(key, EngineLoad { in_flight: 6, waiting_tokens: 0 });
        now = now + idle_time(7 * PROMPT, 1.0);
        answer(&mut table, now, &request, Duration::ZERO);
        table.set_other_loads([].into());
    }
    expect_that!(slow_by(&table, now, "s0"), none());
}

#[gtest]
fn waiting_for_a_slot_does_not_mark_a_server() {
    let mut table = warm_table();
    let key = server_key(&ServerId("s0".into()));
    let mut now = at(1_000);
    for _ in 0..6 {
        let server = chosen(&table, now, "s0");
        let request = send(&mut table, now, server, PROMPT);
        table.set_other_load(key, EngineLoad { in_flight: 16, waiting_tokens: 0 });
        now = now + millis(1_500);
        answer(&mut table, now, &request, Duration::ZERO);
        table.set_other_loads([].into());
    }
    expect_that!(slow_by(&table, now, "s0"), none());
}

#[gtest]
fn a_suspended_server_delays_many_requests_but_is_not_marked() {
    let mut table = warm_table();
    let waiting: Vec<Awaited> = (0..6)
        .map(|_| {
            let server = chosen(&table, at(1_000), "s0");
            send(&mut table, at(1_000), server, PROMPT)
        })
        .collect();
    for request in &waiting {
        answer(&mut table, at(4_000), request, Duration::ZERO);
    }
    expect_that!(slow_by(&table, at(4_000), "s0"), none());
}

#[gtest]
fn a_suspension_of_the_own_machine_marks_no_server() {
    let mut table = warm_table();
    let mut now = at(1_000);
    for _ in 0..6 {
        let server = chosen(&table, now, "s0");
        let request = send(&mut table, now, server, PROMPT);
        now = now + millis(2_000);
        answer(&mut table, now, &request, millis(1_800));
    }
    expect_that!(slow_by(&table, now, "s0"), none());
}

#[gtest]
fn an_entry_that_sees_every_response_late_marks_no_server() {
    let mut table = observing_table();
    let mut now = at(0);
    for _ in 0..6 {
        for index in 0..SERVERS {
            run_alone(&mut table, now, &format!("s{index}"), 4.0);
        }
        now = now + millis(300);
    }
    for index in 0..SERVERS {
        expect_that!(slow_by(&table, now, &format!("s{index}")), none());
    }
}

#[gtest]
fn a_server_about_to_change_its_weights_is_not_marked() {
    let mut table = warm_table();
    let record = &records()[0];
    let staged = ServerNotice { staged: Some(WeightVersion(2)), ..notice(record, None) };
    table.set_notice(record.address, Some(staged));
    let mut now = at(1_000);
    for _ in 0..6 {
        now = run_alone(&mut table, now, "s0", 5.0);
    }
    expect_that!(slow_by(&table, now, "s0"), none());
}

#[gtest]
fn a_restart_clears_the_factor() {
    let mut table = warm_table();
    let mut now = at(1_000);
    for _ in 0..4 {
        now = run_alone(&mut table, now, "s0", 5.0);
    }
    let record = records().remove(0);
    table.set_notice(record.address, Some(notice(&record, Some(pace(5.0)))));
    expect_that!(slow_by(&table, now, "s0"), some(anything()));
    let earlier = chosen(&table, now, "s0");
    let restarted = ServerRecord { started_at: Some(StartTime(77)), ..record };
    table.set(now, restarted, ChangeMark(2));
    expect_that!(slow_by(&table, now, "s0"), none());
    // Responses to requests that were meant for the earlier process say nothing about this one.
    for _ in 0..4 {
        let request = send(&mut table, now, earlier.clone(), PROMPT);
        now = now + idle_time(PROMPT, 5.0);
        answer(&mut table, now, &request, Duration::ZERO);
    }
    expect_that!(slow_by(&table, now, "s0"), none());
}

#[gtest]
fn a_slow_server_that_responds_most_is_not_taken_for_the_usual_one() {
    let mut table = observing_table();
    for name in ["s1", "s2"] {
        run_alone(&mut table, at(0), name, 1.0);
    }
    let mut now = at(200);
    for _ in 0..20 {
        now = run_alone(&mut table, now, "s0", 5.0);
    }
    let factor = slow_by(&table, now, "s0").expect("it is slow").factor();
    expect_that!(factor, all!(ge(4.5), le(5.1)));
}
