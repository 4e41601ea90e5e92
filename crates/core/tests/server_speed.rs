//! Servers that are slower than configured. Guards against requests that pile up at a slow server, and
//! against servers that are taken for slow although they are not.

use std::time::Duration;

use entry::{at, millis, server, table};
use googletest::prelude::*;
use headlatch_core::{
    direct::{
        engine_model::{EngineLoad, EngineWork, time_to_first_token},
        fact_age::ChangeMark,
        peers::ServerNotice,
        server_speed::{FirstToken, PacePublisher, SpeedSource},
        server_table::{
            ChosenServer, EngineQuery, ServerChoice, ServerOutcome, ServerQuery, ServerTable,
            server_key,
        },
    },
    time::Moment,
};
use headlatch_types::{
    pace::ServerPace,
    traffic::{AllowedRegions, EngineCapacity, ServerId, ServerRecord, StartTime, WeightVersion},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

#[path = "support/entry.rs"]
mod entry;

const SERVERS: usize = 12;
const PROMPT: u64 = 800;
const OBJECTIVE: Duration = Duration::from_millis(400);

fn figures() -> EngineCapacity {
    EngineCapacity {
        slots: 16,
        memory_tokens: 317_000,
        step_ms: 9.27,
        stride: 1,
        read_per_second: 20_700.0,
        layers: 16,
        usual_prompt: PROMPT,
        usual_answer: 100,
        models: Vec::new(),
        warm_ms: 0,
    }
}

fn pace(factor: f64) -> ServerPace {
    ServerPace::try_from(factor).expect("a pace")
}

fn records() -> Vec<ServerRecord> {
    (0..SERVERS).map(|index| server(&format!("s{index}"), "z1", 1)).collect()
}

/// Returns the table of an entry that takes the speed of the servers into account.
fn observing_table() -> ServerTable {
    let mut table = table(&records());
    table.set_observed_speed(true);
    table
}

fn notice(record: &ServerRecord, pace: Option<ServerPace>) -> ServerNotice {
    ServerNotice { whole: Some(WeightVersion(1)), changing: false, pace, ..entry::changing(record) }
}

fn work(figures: &EngineCapacity, prompt: u64) -> EngineWork {
    EngineWork::new(figures, Some(prompt), OBJECTIVE)
}

/// Chooses a server with the given random number.
fn choose(table: &ServerTable, now: Moment, random: u64) -> ChosenServer {
    let figures = figures();
    let engine = EngineQuery { figures: &figures, work: work(&figures, PROMPT), continues: false };
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
    let engine = EngineQuery { figures: &figures, work: work(&figures, PROMPT), continues: false };
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

/// A request whose first token is awaited.
struct Awaited {
    server: ChosenServer,
    ticket: headlatch_core::direct::server_speed::WatchTicket,
    sent: Moment,
    prompt: u64,
}

fn send(table: &mut ServerTable, now: Moment, server: ChosenServer, prompt: u64) -> Awaited {
    table.begin(&server.id, prompt);
    let ticket = table.watch_first_token(&server.id).expect("speeds are observed");
    Awaited { server, ticket, sent: now, prompt }
}

/// Ends a request with its first token.
fn answer(table: &mut ServerTable, now: Moment, request: &Awaited, suspended: Duration) {
    let figures = figures();
    let (work, elapsed) = (work(&figures, request.prompt), now.since(request.sent));
    let token = FirstToken { figures: &figures, work, elapsed, suspended };
    table.finish_prefill(&request.server.id, request.prompt);
    table.record_first_token(now, &request.server, request.ticket, request.sent, &token);
    table.end_chosen(now, &request.server, ServerOutcome::Answered);
}

/// Runs one request alone at a server that is slower by `factor`; returns when it ended.
fn run_alone(table: &mut ServerTable, now: Moment, name: &str, factor: f64) -> Moment {
    let server = chosen(table, now, name);
    let request = send(table, now, server, PROMPT);
    let end = now + idle_time(PROMPT, factor);
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
    expect_that!(slow_by(&table, now + millis(8_000), "s0"), none());
    for index in 1..SERVERS {
        expect_that!(slow_by(&table, now, &format!("s{index}")), none());
    }
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
    let late = chosen(&table, now, "s0");
    let late = send(&mut table, now, late, PROMPT);
    let restarted = ServerRecord { started_at: Some(StartTime(77)), ..record };
    table.set(now, restarted, ChangeMark(2));
    expect_that!(slow_by(&table, now, "s0"), none());
    answer(&mut table, now + millis(900), &late, Duration::ZERO);
    expect_that!(slow_by(&table, now + millis(900), "s0"), none());
}

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
        let engine =
            EngineQuery { figures: &figures, work: work(&figures, prompt), continues: false };
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

#[gtest]
fn agent_publishes_large_changes_at_once_and_none_of_an_even_server() {
    let mut paces = PacePublisher::default();
    for step in 0..50 {
        let reported = Some(pace(0.9 + f64::from(step % 4) * 0.1));
        expect_that!(
            paces.record(at(u64::try_from(step).unwrap_or_default() * 100), reported),
            none()
        );
    }
    expect_that!(paces.record(at(5_000), Some(pace(5.0))), some(eq(pace(5.0))));
    expect_that!(paces.record(at(5_060), Some(pace(4.8))), some(eq(pace(5.0))));
    expect_that!(paces.record(at(6_000), Some(pace(4.8))), some(eq(pace(4.8))));
    expect_that!(paces.record(at(6_060), Some(pace(2.5))), some(eq(pace(2.5))));
    expect_that!(paces.record(at(6_120), None), none());
}

#[gtest]
fn published_pace_is_withdrawn_without_reports_and_with_the_server_process() {
    let mut paces = PacePublisher::default();
    paces.record(at(1_000), Some(pace(5.0)));
    expect_that!(paces.current(at(2_990)), some(eq(pace(5.0))));
    expect_that!(paces.current(at(3_000)), none());
    expect_that!(paces.record(at(3_100), Some(pace(5.0))), some(eq(pace(5.0))));
    paces.forget();
    expect_that!(paces.current(at(3_110)), none());
}
