//! Guards against starving large requests while small ones of the same kind are served.
//!
//! With more requests than engines could serve, an entry rejected every request whose predicted
//! first token would miss its objective. That prediction includes the prefill of the request's own
//! prompt, so long prompts passed only when few others waited, and short ones filled each gap
//! first. On a day with connections that fell silent, the largest tenth of three kinds was served
//! 0.49, 0.34 and 0.45 times as often as its kind (0.311 against 0.632, 0.244 against 0.714, 0.270
//! against 0.594). Of 594 requests in the largest tenths, 427 ended with `servers_full` and 5 were
//! abandoned by their callers; none was cut off or arrived late. At 112 rejections in the first
//! kind's largest tenth some server was merely too late; with a usual prompt instead of their own,
//! 57 of them would have been admitted, against none of 206 in the smaller half.
//!
//! The simulation has engines as users describe them, entries that exchange their loads, and more
//! requests than the engines can serve.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use googletest::prelude::*;
use headlatch_core::{
    direct::{
        admission::shedding::{LoadShedder, NewRequest, ShedRank},
        engine_model::{EngineLoad, EngineWork},
        server_table::{
            ChosenServer, EngineQuery, ServerChoice, ServerOutcome, ServerQuery, ServerTable,
        },
        size_class::SizeClass,
    },
    time::Moment,
};
use headlatch_types::{
    id::DomainId,
    request::RequestDigest,
    store::StoreRevision,
    traffic::{
        AllowedRegions, EngineCapacity, HeldLayers, HeldModel, ServerId, ServerRecord,
        WeightVersion,
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

#[path = "support/figures.rs"]
mod figures;

use figures::figures;

/// Minimum served share of a size class relative to its kind. This is the target, well above the
/// half below which users consider large requests unserved.
const LEAST_RELATIVE: f64 = 0.75;

/// Maximum share of served requests that are late because they were rejected at first. The target
/// is that nearly all are admitted at their first attempt.
const MOST_LATE: f64 = 0.25;

/// Interval at which the entries of a failure domain exchange their loads.
const LOAD_EXCHANGE_INTERVAL: Duration = Duration::from_millis(5);

/// Time step of the simulation.
const TICK: Duration = Duration::from_millis(1);

struct RequestKind {
    name: &'static str,
    objective: Duration,
    mean_prompt: f64,
    most_prompt: u64,
    mean_answer: f64,
    /// Share of all requests.
    part: f64,
}

/// Three kinds with the prompt sizes and objectives of users.
const KINDS: [RequestKind; 3] = [
    RequestKind {
        name: "summary",
        objective: Duration::from_millis(500),
        mean_prompt: 1290.0,
        most_prompt: 3880,
        mean_answer: 100.0,
        part: 0.4,
    },
    RequestKind {
        name: "rewrite",
        objective: Duration::from_millis(400),
        mean_prompt: 787.0,
        most_prompt: 3330,
        mean_answer: 100.0,
        part: 0.31,
    },
    RequestKind {
        name: "tag",
        objective: Duration::from_millis(400),
        mean_prompt: 607.0,
        most_prompt: 2640,
        mean_answer: 70.0,
        part: 0.29,
    },
];

#[derive(Debug, Clone)]
struct Job {
    kind: usize,
    arrived: Moment,
    prompt: u64,
    answer: u64,
    entry: usize,
    /// Digest of the content, by which a retry is recognised.
    content: RequestDigest,
    /// It was rejected once before.
    is_retry: bool,
    server: Option<ChosenServer>,
    first: Option<Moment>,
}

/// An engine that prefills prompts between decode steps.
#[derive(Debug, Default)]
struct Engine {
    queue: VecDeque<Job>,
    /// Running jobs with their remaining answer tokens.
    active: Vec<(Job, u64)>,
    /// Jobs whose prompts the current pass prefills.
    reading: Vec<Job>,
    busy_until: Moment,
}

/// Results of the requests of one kind.
#[derive(Debug, Default)]
struct KindOutcome {
    /// Prompt tokens, whether the request was served, and whether it was in time.
    results: Vec<(u64, bool, bool)>,
}

impl KindOutcome {
    fn share(&self, of: impl Fn(usize, usize) -> bool) -> f64 {
        let mut results = self.results.clone();
        results.sort();
        let count = results.len();
        let chosen = results.iter().enumerate().filter(|(index, _)| of(*index, count));
        let served: Vec<bool> = chosen.map(|(_, (_, served, _))| *served).collect();
        served.iter().filter(|served| **served).count() as f64 / served.len().max(1) as f64
    }

    fn all(&self) -> f64 {
        self.share(|_, _| true)
    }

    fn class(&self, class: SizeClass) -> f64 {
        self.share(|index, count| {
            SizeClass::from_share_above((count - 1 - index) as f64 / count as f64) == class
        })
    }

    fn late(&self) -> f64 {
        let served: Vec<_> = self.results.iter().filter(|(_, served, _)| *served).collect();
        served.iter().filter(|(_, _, in_time)| !in_time).count() as f64 / served.len() as f64
    }
}

/// Engines, entries and callers in virtual time.
struct Simulation {
    figures: EngineCapacity,
    engines: Vec<Engine>,
    tables: Vec<ServerTable>,
    /// The load shedder of each entry.
    shedders: Vec<LoadShedder>,
    /// Whether callers retry once after a rejection.
    callers_retry: bool,
    /// Pending retries and when they are due.
    retries: Vec<(Moment, Job)>,
    outcomes: Vec<KindOutcome>,
    random: SmallRng,
    now: Moment,
    /// Requests per second.
    rate: f64,
}

fn server(index: usize) -> ServerRecord {
    let layers = vec![HeldLayers { from: 0, until: 16, version: WeightVersion(1) }];
    let model = "m".parse().expect("a name");
    let held = HeldModel { model, version: WeightVersion(1), layers };
    ServerRecord {
        id: server_id(index),
        started_at: None,
        service: "llm".into(),
        address: format!("127.0.0.1:{}", 1000 + index).parse().expect("an address"),
        zone: "z".parse().expect("a name"),
        slots: 16,
        draining: false,
        cold_ms: 0,
        models: vec![held],
    }
}

fn server_id(index: usize) -> ServerId {
    ServerId(format!("s{index}").into())
}

/// Maximum number of requests per second that the engines can serve: each takes its prefill time
/// and a sixteenth of its decode time.
fn capacity(figures: &EngineCapacity, engines: usize) -> f64 {
    let mean = |of: fn(&RequestKind) -> f64| KINDS.iter().map(|kind| kind.part * of(kind)).sum();
    let prompt: f64 = mean(|kind| kind.mean_prompt);
    let answer: f64 = mean(|kind| kind.mean_answer);
    let reading = prompt / figures.read_per_second;
    let writing = answer * figures.step_ms / 1e3 / f64::from(figures.slots);
    engines as f64 / (reading + writing)
}

impl Simulation {
    fn new(engines: usize, entries: usize, load: f64, seed: u64) -> Self {
        let figures = figures();
        let zone: DomainId = "z".parse().expect("a name");
        let table = || {
            let mut table = ServerTable::new(zone.clone(), HashMap::new());
            for index in 0..engines {
                table.set(Moment::ZERO, server(index), StoreRevision::from_wire(1));
            }
            table.set_entries(entries);
            table
        };
        Self {
            rate: capacity(&figures, engines) * load,
            tables: (0..entries).map(|_| table()).collect(),
            shedders: (0..entries).map(|_| LoadShedder::default()).collect(),
            callers_retry: false,
            retries: Vec::new(),
            engines: (0..engines).map(|_| Engine::default()).collect(),
            outcomes: KINDS.iter().map(|_| KindOutcome::default()).collect(),
            random: SmallRng::seed_from_u64(seed),
            now: Moment::ZERO,
            figures,
        }
    }

    fn run(mut self, time: Duration) -> Self {
        let mut told = Moment::ZERO;
        while self.now < Moment::ZERO + time {
            self.now = self.now + TICK;
            let chance = self.rate * TICK.as_secs_f64();
            let arrivals = chance as usize + usize::from(self.random.random_bool(chance.fract()));
            (0..arrivals).for_each(|_| self.arrive());
            self.retry_due();
            if self.now.since(told) >= LOAD_EXCHANGE_INTERVAL {
                told = self.now;
                self.exchange_loads();
            }
            (0..self.engines.len()).for_each(|index| self.pass(index));
        }
        self
    }

    /// A log-normal sample with this mean and a standard deviation of 1 in log space.
    fn size(&mut self, mean: f64) -> f64 {
        let normal = (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0;
        (normal - 0.5).exp() * mean
    }

    fn arrive(&mut self) {
        let mut drawn: f64 = self.random.random();
        let kind = KINDS.iter().position(|kind| {
            drawn -= kind.part;
            drawn < 0.0
        });
        let kind = kind.unwrap_or(0);
        let (prompt, answer) = (KINDS[kind].mean_prompt, KINDS[kind].mean_answer);
        let job = Job {
            kind,
            arrived: self.now,
            prompt: (self.size(prompt) as u64).clamp(40, KINDS[kind].most_prompt),
            answer: (self.size(answer) as u64).clamp(5, 250),
            entry: self.random.random_range(0..self.tables.len()),
            content: RequestDigest(self.random.random()),
            is_retry: false,
            server: None,
            first: None,
        };
        self.ask(job);
    }

    /// Sends the retries that are due.
    fn retry_due(&mut self) {
        let now = self.now;
        let due = self.retries.extract_if(.., |(at, _)| *at <= now);
        let due: Vec<Job> = due.map(|(_, job)| job).collect();
        due.into_iter().for_each(|job| self.ask(job));
    }

    /// Sends a request to its entry, which decides as in production.
    fn ask(&mut self, job: Job) {
        let kind = job.kind;
        let work = EngineWork { prompt: job.prompt, objective: KINDS[kind].objective };
        let engine = EngineQuery {
            figures: &self.figures,
            work,
            continues: false,
            bound: Default::default(),
        };
        let query = ServerQuery {
            service: "llm",
            engine: Some(engine),
            regions: &AllowedRegions::Anywhere,
            min_version: None,
            tried: &[],
            random: self.random.random(),
        };
        let choice = self.tables[job.entry].choose(self.now, &query);
        let new = NewRequest {
            service: &"llm".into(),
            regions: &AllowedRegions::Anywhere,
            figures: &self.figures,
            objective: work.objective,
            rank: ShedRank::new(job.content, self.now.since(Moment::ZERO)),
            urgency: None,
            prompt_tokens: job.prompt,
        };
        let shed = self.shedders[job.entry].refuses(self.now, &new, choice.engine_headroom(false));
        match choice {
            ServerChoice::Server(server) if shed.is_none() => {
                self.tables[job.entry].begin(&server.id, job.prompt);
                let index = (0..self.engines.len()).find(|index| server_id(*index) == server.id);
                let engine = &mut self.engines[index.expect("it is one of them")];
                engine.queue.push_back(Job { server: Some(server), ..job });
            }
            _ if self.callers_retry && !job.is_retry => {
                let rest = Duration::from_millis(self.random.random_range(700..1700));
                let entry = self.random.random_range(0..self.tables.len());
                self.retries.push((self.now + rest, Job { is_retry: true, entry, ..job }));
            }
            _ => self.outcomes[kind].results.push((job.prompt, false, false)),
        }
    }

    /// Starts the next pass of an engine that has finished one.
    fn pass(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if engine.busy_until > self.now {
            return;
        }
        let steps = u64::from(self.figures.stride);
        for (_, left) in &mut engine.active {
            *left = left.saturating_sub(steps);
        }
        let (ended, active) = engine.active.drain(..).partition(|(_, left)| *left == 0);
        engine.active = active;
        for mut job in engine.reading.drain(..) {
            job.first = Some(self.now);
            let server = job.server.as_ref().expect("it has been sent");
            self.tables[job.entry].finish_prefill(&server.id, job.prompt);
            let left = job.answer;
            engine.active.push((job, left));
        }
        let mut tokens = 0;
        while engine.active.len() + engine.reading.len() < self.figures.slots as usize
            && let Some(job) = engine.queue.pop_front()
        {
            tokens += job.prompt;
            engine.reading.push(job);
        }
        let writing = if engine.active.is_empty() { 0.0 } else { steps as f64 };
        let time =
            writing * self.figures.step_ms / 1e3 + tokens as f64 / self.figures.read_per_second;
        engine.busy_until = self.now + Duration::from_secs_f64(time);
        let ended: Vec<(Job, u64)> = ended;
        for (job, _) in ended {
            let server = job.server.as_ref().expect("it has been sent");
            self.tables[job.entry].end(self.now, &server.id, ServerOutcome::Answered);
            let first = job.first.expect("it has been read").since(job.arrived);
            let in_time = first <= KINDS[job.kind].objective;
            self.outcomes[job.kind].results.push((job.prompt, true, in_time));
        }
    }

    /// Sends each entry the loads of the others.
    fn exchange_loads(&mut self) {
        let loads: Vec<_> = self.tables.iter().map(ServerTable::own_loads).collect();
        for (index, table) in self.tables.iter_mut().enumerate() {
            let mut others: HashMap<u32, EngineLoad> = HashMap::new();
            let told = loads.iter().enumerate().filter(|(entry, _)| *entry != index);
            for notice in told.flat_map(|(_, notices)| notices) {
                let sum = others.entry(notice.server).or_default();
                *sum = *sum + notice.load;
            }
            table.set_other_loads(others);
        }
    }

    /// Served shares by kind, for assertion messages.
    fn table(&self) -> BTreeMap<&'static str, String> {
        let rows = KINDS.iter().zip(&self.outcomes).map(|(kind, outcome)| {
            let classes = SizeClass::ALL.map(|class| format!("{:.3}", outcome.class(class)));
            let (all, late) = (outcome.all(), outcome.late());
            (kind.name, format!("{all:.3}, by size {}, late {late:.3}", classes.join(" ")))
        });
        rows.collect()
    }

    fn check_large_ones_are_served(&self) {
        for (kind, outcome) in KINDS.iter().zip(&self.outcomes) {
            for class in [SizeClass::NextFifth, SizeClass::LargestTenth] {
                let relative = outcome.class(class) / outcome.all();
                let name = kind.name;
                expect_that!(
                    relative,
                    ge(LEAST_RELATIVE),
                    "{class} of {name}: {:#?}",
                    self.table()
                );
            }
        }
    }
}

/// Entries and load relative to capacity: one entry in front of full engines, and six in front of
/// engines with twice the requests they can serve.
const PAST_CAPACITY: [(usize, f64); 2] = [(1, 1.4), (6, 2.0)];

#[gtest]
fn large_requests_are_not_starved_past_capacity() {
    for (entries, load) in PAST_CAPACITY {
        for seed in 1..=3 {
            let simulation = Simulation::new(12, entries, load, seed).run(Duration::from_secs(60));
            simulation.check_large_ones_are_served();
        }
    }
}

#[gtest]
fn kinds_are_served_evenly_past_capacity() {
    for (entries, load) in PAST_CAPACITY {
        let simulation = Simulation::new(12, entries, load, 1).run(Duration::from_secs(60));
        let shares: Vec<f64> = simulation.outcomes.iter().map(KindOutcome::all).collect();
        let mean = shares.iter().sum::<f64>() / shares.len() as f64;
        expect_that!(shares, each(ge(&(mean * LEAST_RELATIVE))), "{:#?}", simulation.table());
    }
}

#[gtest]
fn retries_displace_few_other_requests() {
    for (entries, load) in PAST_CAPACITY {
        let mut simulation = Simulation::new(12, entries, load, 1);
        simulation.callers_retry = true;
        let simulation = simulation.run(Duration::from_secs(60));
        simulation.check_large_ones_are_served();
        for outcome in &simulation.outcomes {
            expect_that!(outcome.late(), le(MOST_LATE), "{:#?}", simulation.table());
        }
    }
}

#[gtest]
fn few_requests_are_rejected_below_capacity() {
    let simulation = Simulation::new(12, 6, 0.6, 1).run(Duration::from_secs(60));
    for outcome in &simulation.outcomes {
        expect_that!(outcome.all(), ge(0.98), "{:#?}", simulation.table());
    }
}
