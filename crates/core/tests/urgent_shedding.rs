//! Load bursts of a service with three kinds of requests that differ in urgency.
//!
//! Before the shed share was distributed by urgency, every kind lost the same share: in a paired trial of the
//! contended deployment the most urgent kind was served in time 1,244 of 1,939 times, the least urgent 1,065
//! of 1,587.
//!
//! The simulation has the engines, entries and rates of that deployment. Engines are one queue of prompt
//! tokens that is worked off at the rate that predictions assume; callers do not retry.

use std::{sync::Arc, time::Duration};

use googletest::prelude::*;
use headlatch_core::{
    direct::{
        admission::{
            shedding::{EngineHeadroom, LoadShedder, NewRequest, ShedRank},
            urgency::{ServiceUrgencies, UrgencyRank},
        },
        engine_model::EngineLoad,
        server_table::{ExclusionCounts, ServerChoice},
    },
    time::Moment,
};
use headlatch_types::{
    request::RequestDigest,
    traffic::{AllowedRegions, EngineCapacity, RequestUrgency},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

#[path = "support/priorities.rs"]
mod priorities;

use priorities::plan;

const ENTRIES: usize = 34;
const ENGINES: f64 = 45.0;
const SLOTS: u32 = 12;

/// Slowdown of prefill while other requests decode, as in the engine model.
const PREFILL_SLOWDOWN: f64 = 1.5;

/// Time from the start of a load burst in which the entries notice it.
const NOTICED: Duration = Duration::from_millis(1_500);

/// Requests a second of each kind, its prompt tokens on average, and its objective in milliseconds.
const KINDS: [(f64, f64, u64); 3] =
    [(207.0, 827.0, 400), (114.0, 647.0, 400), (164.0, 1_330.0, 1_000)];

fn figures() -> EngineCapacity {
    EngineCapacity {
        slots: SLOTS,
        step_ms: 9.27,
        stride: 5,
        read_per_second: 20_700.0,
        usual_prompt: 955,
        usual_answer: 92,
        ..EngineCapacity::default()
    }
}

/// What became of the requests of each kind in a span of time.
#[derive(Debug, Default, Clone, Copy)]
struct KindCount {
    offered: u32,
    refused: u32,
}

impl KindCount {
    fn refused_share(self) -> f64 {
        f64::from(self.refused) / f64::from(self.offered.max(1))
    }
}

/// Entries in front of one pool of engines.
struct BurstSimulation {
    random: SmallRng,
    now: Moment,
    shedders: Vec<LoadShedder>,
    urgencies: ServiceUrgencies,
    /// Route priority of each kind.
    priorities: [u8; 3],
    /// Prompt tokens waiting at all engines.
    waiting: f64,
    figures: EngineCapacity,
    service: Arc<str>,
}

impl BurstSimulation {
    /// Entries that have been at their usual load for a while.
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            random: SmallRng::seed_from_u64(seed),
            now: Moment::ZERO,
            shedders: (0..ENTRIES).map(|_| LoadShedder::default()).collect(),
            urgencies: ServiceUrgencies::default(),
            priorities: [0; 3],
            waiting: 0.0,
            figures: figures(),
            service: "llm".into(),
        };
        simulation.set_priorities([0, 1, 2]);
        simulation.run([1.0; 3], Duration::from_secs(10));
        simulation
    }

    /// Puts a plan in force in which the kinds have these priorities.
    fn set_priorities(&mut self, priorities: [u8; 3]) {
        self.priorities = priorities;
        self.urgencies = ServiceUrgencies::new(&plan(&priorities, &[None]));
        let urgencies = &self.urgencies;
        self.shedders.iter_mut().for_each(|shedder| shedder.set_urgencies(urgencies.clone()));
    }

    /// Offers the kinds at these multiples of their rates for a time.
    fn run(&mut self, factors: [f64; 3], time: Duration) -> [KindCount; 3] {
        let rates: Vec<f64> = KINDS.iter().zip(factors).map(|(kind, one)| kind.0 * one).collect();
        let total: f64 = rates.iter().sum();
        let until = self.now + time;
        let mut counts = [KindCount::default(); 3];
        while self.now < until {
            let gap = -(1.0 - self.random.random::<f64>()).ln() / total;
            self.pass(gap);
            let mut draw = self.random.random::<f64>() * total;
            let kind = rates.iter().position(|rate| {
                draw -= rate;
                draw < 0.0
            });
            let kind = kind.unwrap_or(2);
            counts[kind].offered += 1;
            counts[kind].refused += u32::from(self.is_refused(kind));
        }
        counts
    }

    /// Lets `seconds` pass, in which engines work off prompts.
    fn pass(&mut self, seconds: f64) {
        self.now = self.now + Duration::from_secs_f64(seconds);
        let done = seconds * self.figures.read_per_second / PREFILL_SLOWDOWN * ENGINES;
        self.waiting = (self.waiting - done).max(0.0);
    }

    /// Offers a request of a kind to some entry.
    fn is_refused(&mut self, kind: usize) -> bool {
        let (_, mean, objective) = KINDS[kind];
        let tokens = mean * self.random.random_range(0.2..1.8);
        let route = self.priorities[kind];
        let urgency = RequestUrgency { organisation: 5, route };
        let new = NewRequest {
            service: &self.service,
            regions: &AllowedRegions::Anywhere,
            figures: &self.figures,
            objective: Duration::from_millis(objective),
            rank: ShedRank::new(RequestDigest(self.random.random()), Duration::from_secs(1_000)),
            urgency: self.urgencies.rank("llm", urgency),
            prompt_tokens: tokens as u64,
        };
        let waiting_tokens = (self.waiting / ENGINES) as u64;
        let room = EngineHeadroom::Best(EngineLoad { in_flight: SLOTS - 1, waiting_tokens });
        let entry = self.random.random_range(0..ENTRIES);
        let refused = self.shedders[entry].refuses(self.now, &new, room).is_some();
        self.waiting += if refused { 0.0 } else { tokens };
        refused
    }
}

/// Refused shares of the kinds in a load burst once it has been noticed, for some seeds.
fn refused_shares(factors: [f64; 3], time: Duration) -> Vec<[f64; 3]> {
    let shares = (1..=5).map(|seed| {
        let mut simulation = BurstSimulation::new(seed);
        simulation.run(factors, NOTICED);
        simulation.run(factors, time - NOTICED).map(KindCount::refused_share)
    });
    shares.collect()
}

/// Guards against a load burst of those who can wait that displaces those who cannot.
#[gtest]
fn a_burst_of_the_least_urgent_kind_is_taken_from_itself() {
    for [first, second, last] in refused_shares([1.0, 1.0, 2.5], Duration::from_secs(10)) {
        expect_that!(first, lt(0.01));
        expect_that!(second, lt(0.05));
        expect_that!(last, all![gt(0.2), lt(0.5)]);
    }
}

/// Guards against urgent requests that are shed although the least urgent ones could make room.
#[gtest]
fn all_kinds_at_1_7_times_their_rate_cost_the_least_urgent_first() {
    for [first, second, last] in refused_shares([1.7; 3], Duration::from_secs(3)) {
        expect_that!(first, lt(0.02));
        expect_that!(second, lt(0.1));
        expect_that!(last, all![gt(0.3), le(0.7)]);
    }
}

/// Guards against a starved rank: the least urgent one keeps a third also where the others lose requests.
#[gtest]
fn the_least_urgent_rank_keeps_a_third() {
    for [first, second, last] in refused_shares([2.6; 3], Duration::from_secs(10)) {
        expect_that!(last, all![gt(0.6), lt(0.69)]);
        expect_that!(second, all![gt(0.4), lt(0.69)]);
        expect_that!(first, all![gt(0.05), lt(0.5)]);
    }
}

/// Guards against a plan that changes priorities under load and is applied late, or that leaves tokens of
/// earlier ranks behind.
#[gtest]
fn a_plan_that_changes_priorities_under_load_applies_at_once() {
    for seed in 1..=5 {
        let mut simulation = BurstSimulation::new(seed);
        simulation.run([1.7; 3], Duration::from_secs(4));
        simulation.set_priorities([3, 1, 0]);
        let [last, _, first] = simulation.run([1.7; 3], Duration::from_secs(1));
        expect_that!(first.refused_share(), lt(0.05), "{seed}");
        expect_that!(last.refused_share(), gt(0.3), "{seed}");
        // With a single priority all kinds lose the same share again.
        simulation.set_priorities([1; 3]);
        let even = simulation.run([1.7; 3], Duration::from_secs(5)).map(KindCount::refused_share);
        expect_that!(even, each(all![gt(0.1), lt(0.35)]), "{seed}");
    }
}

/// Guards against requests that were admitted by an earlier plan with more ranks: tokens of ranks that the plan
/// in force does not have would be shed from nobody.
#[gtest]
fn ranks_of_an_earlier_plan_count_as_the_least_urgent() {
    let (service, figures): (Arc<str>, _) = ("llm".into(), figures());
    let mut shedder = LoadShedder::default();
    shedder.set_urgencies(ServiceUrgencies::new(&plan(&[0, 1, 2], &[None])));
    // At this wait the share to shed is about a third.
    let load = EngineLoad { in_flight: SLOTS - 1, waiting_tokens: 2_150 };
    let mut refused = |content: u64, rank| {
        let new = NewRequest {
            service: &service,
            regions: &AllowedRegions::Anywhere,
            figures: &figures,
            objective: Duration::from_millis(400),
            rank: ShedRank::new(RequestDigest(content), Duration::from_secs(1_000)),
            urgency: Some(UrgencyRank::new(rank)),
            prompt_tokens: 1_000,
        };
        let now = Moment::ZERO + Duration::from_millis(content * 2);
        shedder.refuses(now, &new, EngineHeadroom::Best(load)).is_some()
    };
    let earlier = (0..2_000).filter(|content| refused(*content, 5)).count();
    let in_force = (2_000..2_200).filter(|content| refused(*content, 2)).count();
    expect_that!(earlier, all![gt(200), lt(1_400)]);
    expect_that!(in_force, all![gt(20), lt(140)]);
}

/// Guards against requests that find room and are shed because earlier ones found none, while those wait.
#[gtest]
fn requests_that_wait_for_full_engines_do_not_raise_the_shed_share() {
    let (service, figures): (Arc<str>, _) = ("llm".into(), figures());
    let full = ServerChoice::Full(ExclusionCounts { limited: 45, ..ExclusionCounts::default() });
    // At this load nothing is shed, but the smoothed share still counts.
    let with_room = EngineHeadroom::Best(EngineLoad { in_flight: SLOTS - 1, waiting_tokens: 0 });
    let shed_after = |may_wait| {
        let mut shedder = LoadShedder::default();
        shedder.set_urgencies(ServiceUrgencies::new(&plan(&[0, 1, 2], &[None])));
        let mut refused = |millis: u64, room| {
            let new = NewRequest {
                service: &service,
                regions: &AllowedRegions::Anywhere,
                figures: &figures,
                objective: Duration::from_millis(400),
                rank: ShedRank::new(RequestDigest(millis), Duration::from_secs(1_000)),
                urgency: Some(UrgencyRank::new(2)),
                prompt_tokens: 1_000,
            };
            let now = Moment::ZERO + Duration::from_millis(millis);
            shedder.refuses(now, &new, room).is_some()
        };
        for millis in (0..2_000).step_by(10) {
            let _ = refused(millis, full.engine_headroom(may_wait));
        }
        (2_000..2_200).step_by(10).filter(|millis| refused(*millis, with_room)).count()
    };
    expect_that!(shed_after(true), eq(0));
    expect_that!(shed_after(false), ge(10));
}
