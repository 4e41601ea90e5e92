//! Servers that are slower than configured. Guards against requests that pile up at a slow server, and against
//! a factor that outlasts its report.

use googletest::prelude::*;
use headlatch_core::{
    direct::{
        engine_model::time_to_first_token,
        server_table::{
            ChosenServer, EngineQuery, FirstTokenBound, ServerChoice, ServerOutcome, ServerQuery,
            ServerTable,
        },
    },
    time::Moment,
};
use headlatch_types::{
    pace::ServerPace,
    store::StoreRevision,
    traffic::{AllowedRegions, ServerId, ServerRecord, StartTime},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

#[path = "support/entry.rs"]
mod entry;
#[path = "support/speeds.rs"]
mod speeds;

use entry::{at, millis};
use speeds::{PROMPT, figures, notice, pace, pace_table, records, work};

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

fn slow_by(table: &ServerTable, now: Moment, name: &str) -> Option<ServerPace> {
    chosen(table, now, name).slow_by
}

/// Share of requests that the first sixth of the servers get, when each request takes its server's time and
/// the agents report it.
fn share_of_first_sixth(table: &mut ServerTable, from: Moment, factor: f64) -> f64 {
    for record in &records()[..2] {
        table.set_notice(record.address, Some(notice(record, Some(pace(factor)))));
    }
    let mut random = SmallRng::seed_from_u64(7);
    let mut running = Vec::<(Moment, ServerId)>::new();
    let mut slow = 0;
    const REQUESTS: u64 = 600;
    for step in 0..REQUESTS {
        let now = from + millis(step * 8);
        running.sort_by_key(|(end, _)| *end);
        while running.first().is_some_and(|(end, _)| *end <= now) {
            let (end, id) = running.remove(0);
            finish(table, end, &id);
        }
        let server = choose(table, now, random.random());
        let is_slow = ["s0", "s1"].contains(&&*server.id.0);
        slow += u32::from(is_slow);
        let figures = figures();
        let time = time_to_first_token(&figures, server.own, work(&figures, PROMPT));
        let time = if is_slow { time.mul_f64(factor) } else { time };
        table.begin(&server.id, PROMPT);
        running.push((now + time, server.id));
    }
    running.into_iter().for_each(|(end, id)| finish(table, end, &id));
    f64::from(slow) / REQUESTS as f64
}

fn finish(table: &mut ServerTable, now: Moment, id: &ServerId) {
    table.finish_prefill(id, PROMPT);
    table.end(now, id, ServerOutcome::Answered);
}

#[gtest]
fn a_slow_sixth_gets_a_matching_share_and_its_usual_one_after_recovery() {
    let usual = share_of_first_sixth(&mut pace_table(), at(0), 1.0);
    expect_that!(usual, all!(ge(0.10), le(0.24)));
    let mut table = pace_table();
    share_of_first_sixth(&mut table, at(0), 1.0);
    let slow = share_of_first_sixth(&mut table, at(6_000), 5.0);
    // Load alone, without regard to speed, still sends them a share of 0.047.
    expect_that!(slow, le(usual / 5.0));
    let recovered = share_of_first_sixth(&mut table, at(12_000), 1.0);
    expect_that!(recovered, ge(usual * 0.7));
}

#[gtest]
fn reported_pace_multiplies_predictions_and_is_dropped_with_its_agent() {
    let mut table = pace_table();
    let record = &records()[0];
    let even = chosen(&table, at(0), "s0").predicted.expect("a prediction");
    table.set_notice(record.address, Some(notice(record, Some(pace(2.5)))));
    expect_that!(chosen(&table, at(0), "s0").predicted, some(eq(even.mul_f64(2.5))));
    let (slow, changes) = table.take_speed_changes();
    expect_that!((slow, changes.len(), changes[0].factor), eq((1, 1, pace(2.5))));
    expect_that!(table.take_speed_changes(), eq(&(1, Vec::new())));
    table.set_notice(record.address, None);
    expect_that!(chosen(&table, at(600), "s0").predicted, some(eq(even)));
    let (slow, changes) = table.take_speed_changes();
    expect_that!((slow, changes[0].factor), eq((0, ServerPace::NOMINAL)));
}

/// A pause of some hundred milliseconds must not outlast the report of its end.
#[gtest]
fn a_pause_of_600_ms_is_forgotten_when_the_report_says_so() {
    let mut table = pace_table();
    let record = &records()[0];
    table.set_notice(record.address, Some(notice(record, Some(pace(2.5)))));
    expect_that!(slow_by(&table, at(1_000), "s0"), some(eq(pace(2.5))));
    table.set_notice(record.address, Some(notice(record, None)));
    expect_that!(slow_by(&table, at(1_600), "s0"), none());
}

#[gtest]
fn a_restart_clears_the_factor() {
    let mut table = pace_table();
    let record = records().remove(0);
    table.set_notice(record.address, Some(notice(&record, Some(pace(5.0)))));
    expect_that!(slow_by(&table, at(1_000), "s0"), some(eq(pace(5.0))));
    let restarted = ServerRecord { started_at: Some(StartTime(77)), ..record };
    table.set(at(1_000), restarted, StoreRevision::from_wire(2));
    expect_that!(slow_by(&table, at(1_000), "s0"), none());
}

/// A pace beyond the bound must not exclude a server for good.
#[gtest]
fn the_factor_is_bounded() {
    let mut table = pace_table();
    let record = &records()[0];
    table.set_notice(record.address, Some(notice(record, Some(pace(60.0)))));
    expect_that!(slow_by(&table, at(0), "s0"), some(eq(pace(10.0))));
}
