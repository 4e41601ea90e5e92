//! Fleets of servers of even speed. Guards against decisions that change because speeds are observed,
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
use speeds::{Awaited, answer, figures, notice, pace, records, send, work};

/// Decisions of a table over 3 s of random load, requests and responses at even servers.
fn decisions(observed: bool, reported: Option<ServerPace>, seed: u64) -> Vec<ServerChoice> {
    let mut table = table(&records());
    table.set_observed_speed(observed);
    let records = records();
    for record in &records {
        table.set_notice(record.address, Some(notice(record, reported)));
    }
    let (mut random, mut choices) = (SmallRng::seed_from_u64(seed), Vec::new());
    let mut running: Vec<(Moment, u64, Option<Awaited>, ServerId)> = Vec::new();
    for step in 0..600 {
        let now = at(step * 5);
        if step % 20 == 0 {
            let load = |random: &mut SmallRng| EngineLoad {
                in_flight: random.random_range(0..18),
                waiting_tokens: random.random_range(0..4_000),
            };
            let loads = records.iter().map(|one| (server_key(&one.id), load(&mut random)));
            table.set_other_loads(loads.collect());
        }
        let (ended, rest) = running.into_iter().partition(|(end, ..)| *end <= now);
        running = rest;
        for (end, prompt, request, id) in ended {
            match request {
                Some(request) => answer(&mut table, end, &request, Duration::ZERO),
                None => {
                    table.finish_prefill(&id, prompt);
                    table.end(end, &id, ServerOutcome::Answered);
                }
            }
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
        let spread = random.random_range(0.4..1.2);
        if let ServerChoice::Server(server) = &choice {
            let time = server.predicted.expect("an engine").mul_f64(spread);
            let id = server.id.clone();
            let request = match observed {
                true => Some(send(&mut table, now, server.clone(), prompt)),
                false => {
                    table.begin(&id, prompt);
                    None
                }
            };
            running.push((now + time, prompt, request, id));
        }
        choices.push(choice);
    }
    choices
}

#[gtest]
fn every_decision_is_the_same_with_the_setting_off_and_for_even_servers() {
    for seed in 0..20 {
        let plain = decisions(false, None, seed);
        expect_that!(plain.iter().any(|one| matches!(one, ServerChoice::Full(_))), eq(true));
        for reported in [None, Some(pace(1.0)), Some(pace(0.5)), Some(pace(1.25))] {
            let same = decisions(true, reported, seed) == plain;
            expect_that!(same, eq(true), "seed {seed}, even servers, pace {reported:?}");
        }
        let same = decisions(false, Some(pace(5.0)), seed) == plain;
        expect_that!(same, eq(true), "seed {seed}, setting off");
    }
}
