//! Fleets of servers of even speed. Guards against decisions that change because paces are used,
//! although no server is slow or the setting is off.

use std::time::Duration;

use googletest::prelude::*;
use headlatch_core::{
    direct::{
        engine_model::EngineLoad,
        server_table::{
            EngineQuery, FirstTokenBound, ServerChoice, ServerOutcome, ServerQuery, server_key,
        },
    },
    time::Moment,
};
use headlatch_types::{
    pace::ServerPace,
    traffic::{AllowedRegions, ServerId},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

#[path = "support/entry.rs"]
mod entry;
#[path = "support/speeds.rs"]
mod speeds;

use entry::{at, table};
use speeds::{figures, notice, pace, records, work};

/// Late responses that do not come from a slow server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lateness {
    None,
    /// One response in 50 takes 2 to 5 times its prediction.
    Single,
    /// In half of the periods of 500 ms, responses of all servers are 100 to 300 ms late.
    Common,
}

/// Decisions of a table over 600 requests of random load, requests and responses at even servers.
fn decisions(
    uses_pace: bool,
    reported: Option<ServerPace>,
    lateness: Lateness,
    seed: u64,
) -> Vec<ServerChoice> {
    let mut table = table(&records());
    table.set_uses_pace(uses_pace);
    let records = records();
    for record in &records {
        table.set_notice(record.address, Some(notice(record, reported)));
    }
    let (mut random, mut choices) = (SmallRng::seed_from_u64(seed), Vec::new());
    // Late responses are not explained by a full server or by waiting prompts.
    let (interval, in_flight, waiting) = match lateness {
        Lateness::None => (5, 18, 4_000),
        Lateness::Single | Lateness::Common => (20, 8, 400),
    };
    let mut common_delay = Duration::ZERO;
    let mut running: Vec<(Moment, u64, ServerId)> = Vec::new();
    for step in 0..600 {
        let now = at(step * interval);
        if step % 20 == 0 {
            let load = |random: &mut SmallRng| EngineLoad {
                in_flight: random.random_range(0..in_flight),
                waiting_tokens: random.random_range(0..waiting),
            };
            let loads = records.iter().map(|one| (server_key(&one.id), load(&mut random)));
            table.set_other_loads(loads.collect());
        }
        if lateness == Lateness::Common && step % 25 == 0 {
            let delay = Duration::from_millis(random.random_range(100..=300));
            common_delay = if random.random_bool(0.5) { delay } else { Duration::ZERO };
        }
        let (ended, rest) = running.into_iter().partition(|(end, ..)| *end <= now);
        running = rest;
        for (end, prompt, id) in ended {
            table.finish_prefill(&id, prompt);
            table.end(end, &id, ServerOutcome::Answered);
        }
        let figures = figures();
        let prompt = random.random_range(10..3_000);
        let engine = EngineQuery {
            figures: &figures,
            work: work(&figures, prompt),
            continues: false,
            bound: FirstTokenBound::Usual,
        };
        let query = ServerQuery {
            service: "llm",
            engine: Some(engine),
            regions: &AllowedRegions::Anywhere,
            min_version: None,
            tried: &[],
            random: random.random(),
        };
        let choice = table.choose(now, &query);
        let mut spread = random.random_range(0.4..1.2);
        if lateness == Lateness::Single && random.random_bool(0.02) {
            spread = random.random_range(2.0..5.0);
        }
        if let ServerChoice::Server(server) = &choice {
            let time = server.predicted.expect("an engine").mul_f64(spread) + common_delay;
            let id = server.id.clone();
            table.begin(&id, prompt);
            running.push((now + time, prompt, id));
        }
        choices.push(choice);
    }
    choices
}

#[gtest]
fn every_decision_is_the_same_with_the_setting_off_and_for_even_servers() {
    for seed in 0..20 {
        let plain = decisions(false, None, Lateness::None, seed);
        expect_that!(plain.iter().any(|one| matches!(one, ServerChoice::Full(_))), eq(true));
        for reported in [None, Some(pace(1.0)), Some(pace(0.5)), Some(pace(1.25))] {
            let same = decisions(true, reported, Lateness::None, seed) == plain;
            expect_that!(same, eq(true), "seed {seed}, even servers, pace {reported:?}");
        }
        let same = decisions(false, Some(pace(5.0)), Lateness::None, seed) == plain;
        expect_that!(same, eq(true), "seed {seed}, setting off");
    }
}

fn expect_same_decisions(lateness: Lateness) {
    for seed in 0..20 {
        let plain = decisions(false, None, lateness, seed);
        let with_pace = decisions(true, None, lateness, seed);
        let first = plain.iter().zip(&with_pace).position(|(plain, other)| plain != other);
        expect_that!(first, none(), "first different decision, seed {seed}, {lateness:?}");
    }
}

/// Guards against single slow responses that mark an even server.
#[gtest]
fn single_slow_responses_change_no_decision() {
    expect_same_decisions(Lateness::Single);
}

/// Guards against delays of all servers, such as from a busy entry, that mark some of them.
#[gtest]
fn common_delays_change_no_decision() {
    expect_same_decisions(Lateness::Common);
}
