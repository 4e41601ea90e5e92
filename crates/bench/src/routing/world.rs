//! Entries and engines in virtual time.

use std::{collections::HashMap, time::Duration};

use headlatch_core::{
    admission::{Admission, ConcurrencyLimit, FairQueue, OrganisationQuota, RequestNumber},
    retry::RetryBudget,
    routing::{Candidate, EndpointPicker},
    time::Moment,
};
use headlatch_types::{
    RunVerdict,
    id::{BoxId, OrganisationName},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{RoutingFault, RoutingOptions, RoutingReport};
use crate::queue::EventQueue;

mod attempts;
mod measures;

/// Tokens of an answer, on average: the plan's 880,000 a second over 2,500 requests.
const MEAN_TOKENS: f64 = 352.0;

/// Time between tokens of an engine with nothing else to do; it grows with its load.
const TOKEN_TIME: Duration = Duration::from_millis(22);

/// Time to the first token of an engine with nothing else to do; it grows with its load.
const PREFILL_TIME: Duration = Duration::from_millis(110);

/// How often endpoints' loads are reported, and how long a report is on its way.
const REPORT_PAUSE: Duration = Duration::from_secs(1);
const REPORT_LAG: Duration = Duration::from_secs(3);

/// One way between entry and agent.
const LATENCY: Duration = Duration::from_micros(1500);

/// Requests waiting at an entry, and how long.
const QUEUE_TIME: Duration = Duration::from_secs(1);
const QUEUE_LENGTH: usize = 64;

/// Slack of an entry's part of the slots, as the entries have it.
const SLACK: f64 = 1.5;

/// Attempts of one request.
const MOST_ATTEMPTS: u32 = 4;

/// Time until a dead endpoint is known to be: a reset or a failed connect.
const DEATH_NOTICE: Duration = Duration::from_millis(20);

/// Time until membership shows that an endpoint is dead.
const MEMBERSHIP_LAG: Duration = Duration::from_secs(12);

/// Organisations, of which the first two ask for ten times as much as any other.
const ORGANISATIONS: usize = 10;

struct Engine {
    domain: usize,
    alive: bool,
    leaving: bool,
    slow: bool,
    running: u32,
}

struct Entry {
    picker: EndpointPicker,
    queue: FairQueue,
    limit: ConcurrencyLimit,
    budget: RetryBudget,
    turn: usize,
}

struct Request {
    entry: usize,
    organisation: usize,
    once: bool,
    tokens: u32,
    came: Moment,
    attempts: u32,
    tried: Vec<BoxId>,
    ran: u32,
    /// What the attempts so far came to, all together.
    verdict: Option<RunVerdict>,
    done: bool,
}

#[derive(Debug)]
enum RoutingEvent {
    Arrive,
    Reach { request: usize, engine: usize },
    Refused { request: usize, engine: usize, attempt: u32 },
    Failed { request: usize, engine: usize, verdict: RunVerdict, attempt: u32 },
    Ended { request: usize, engine: usize, attempt: u32 },
    Report,
    Seen(Vec<u32>),
    Expire(usize),
    Strike,
    Hear,
}

pub(super) struct RoutingWorld {
    options: RoutingOptions,
    queue: EventQueue<RoutingEvent>,
    rng: SmallRng,
    engines: Vec<Engine>,
    candidates: Vec<Candidate>,
    /// Endpoints that membership shows.
    shown: Vec<bool>,
    index: HashMap<BoxId, usize>,
    entries: Vec<Entry>,
    requests: Vec<Request>,
    organisations: Vec<OrganisationName>,
    slots: u32,
    struck: Option<Moment>,
    report: RoutingReport,
    first_tokens: Vec<f64>,
    token_times: Vec<f64>,
    imbalance: Vec<f64>,
    offered_by: Vec<u64>,
    whole_by: Vec<u64>,
    failed_at: Vec<(u32, u32)>,
    full_slots: f64,
}

impl RoutingWorld {
    pub(super) fn new(options: &RoutingOptions) -> Self {
        let load = f64::from(options.load_percent) / 100.0;
        let token = TOKEN_TIME.as_secs_f64() * token_factor(load);
        let busy = options.rps * (MEAN_TOKENS * token + PREFILL_TIME.as_secs_f64());
        let slots = (busy / load / options.endpoints as f64).ceil().max(1.0) as u32;
        let mut rng = SmallRng::seed_from_u64(options.seed);
        let domain_name = |domain: usize| format!("domain-{domain}").parse().expect("it is a name");
        let engines = (0..options.endpoints).map(|nth| Engine {
            domain: nth % options.domains,
            alive: true,
            leaving: false,
            slow: false,
            running: 0,
        });
        let candidates: Vec<Candidate> = (0..options.endpoints)
            .map(|nth| Candidate {
                id: format!("box-{nth}").parse().expect("it is a name"),
                domain: domain_name(nth % options.domains),
                slots,
                reported: 0,
            })
            .collect();
        let part = f64::from(slots) * options.endpoints as f64 / options.entries as f64 * SLACK;
        let entries = (0..options.entries).map(|nth| Entry {
            picker: EndpointPicker::new(
                domain_name(nth % options.domains),
                SmallRng::seed_from_u64(rng.random()),
            ),
            limit: ConcurrencyLimit::new(4, part as u32),
            queue: FairQueue::new(part.max(4.0) as u32, QUEUE_LENGTH, QUEUE_TIME),
            budget: RetryBudget::new(Moment::ZERO),
            turn: nth,
        });
        let entries: Vec<Entry> = entries.collect();
        Self {
            queue: EventQueue::default(),
            engines: engines.collect(),
            index: candidates.iter().enumerate().map(|(nth, one)| (one.id.clone(), nth)).collect(),
            shown: vec![true; candidates.len()],
            candidates,
            entries,
            requests: Vec::new(),
            organisations: (0..ORGANISATIONS)
                .map(|nth| format!("organisation-{nth}").parse().expect("it is a name"))
                .collect(),
            slots,
            struck: None,
            report: RoutingReport::default(),
            first_tokens: Vec::new(),
            token_times: Vec::new(),
            imbalance: Vec::new(),
            offered_by: vec![0; ORGANISATIONS],
            whole_by: vec![0; ORGANISATIONS],
            failed_at: vec![(0, 0); options.seconds as usize + 1],
            full_slots: 0.0,
            rng,
            options: options.clone(),
        }
    }

    pub(super) fn run(&mut self) {
        self.queue.after(Duration::ZERO, RoutingEvent::Arrive);
        self.queue.after(REPORT_PAUSE, RoutingEvent::Report);
        let third = Duration::from_secs(self.options.seconds) / 3;
        if !self.options.faults.is_empty() {
            self.queue.after(third, RoutingEvent::Strike);
        }
        while let Some((now, event)) = self.queue.pop() {
            self.step(now, event);
        }
    }

    fn end(&self) -> Moment {
        Moment::ZERO + Duration::from_secs(self.options.seconds)
    }

    /// Requests of the first third fill the engines and are not counted.
    fn counts(&self, request: usize) -> bool {
        self.requests[request].came >= Moment::ZERO + Duration::from_secs(self.options.seconds) / 3
    }

    fn has(&self, fault: RoutingFault) -> bool {
        self.options.faults.contains(&fault)
    }

    fn step(&mut self, now: Moment, event: RoutingEvent) {
        match event {
            RoutingEvent::Arrive => self.arrive(now),
            RoutingEvent::Reach { request, engine } => self.reach(now, request, engine),
            RoutingEvent::Refused { request, engine, attempt } => {
                self.hear(now, request, engine);
                let entry = &mut self.entries[self.requests[request].entry];
                if !self.engines[engine].leaving {
                    entry.limit.record_busy(now);
                    entry.queue.resize(entry.limit.get());
                }
                self.fail(now, request, engine, RunVerdict::NotRun, attempt, false);
            }
            RoutingEvent::Failed { request, engine, verdict, attempt } => {
                self.fail(now, request, engine, verdict, attempt, true);
            }
            RoutingEvent::Ended { request, engine, attempt } => {
                self.finish(now, request, engine, attempt);
            }
            RoutingEvent::Report => self.collect_reports(now),
            RoutingEvent::Seen(loads) => {
                for (candidate, load) in self.candidates.iter_mut().zip(loads) {
                    candidate.reported = load;
                }
            }
            RoutingEvent::Expire(entry) => self.expire(now, entry),
            RoutingEvent::Strike => self.strike(now),
            RoutingEvent::Hear => {
                for (shown, engine) in self.shown.iter_mut().zip(&self.engines) {
                    *shown = engine.alive && !engine.leaving;
                }
            }
        }
    }

    fn arrive(&mut self, now: Moment) {
        if now >= self.end() {
            return;
        }
        let rate = self.options.rps * self.options.demand;
        let gap = -self.rng.random::<f64>().max(1e-12).ln() / rate;
        self.queue.after(Duration::from_secs_f64(gap), RoutingEvent::Arrive);
        let entry = self.rng.random_range(0..self.entries.len());
        let draw = self.rng.random_range(0..28);
        let organisation = if draw < 20 { draw / 10 } else { draw - 18 };
        let tokens = (-self.rng.random::<f64>().max(1e-9).ln() * MEAN_TOKENS).clamp(1.0, 2000.0);
        let once = self.rng.random_range(0..20) == 0;
        let request = self.requests.len();
        self.requests.push(Request {
            entry,
            organisation,
            once,
            tokens: tokens as u32,
            came: now,
            attempts: 0,
            tried: Vec::new(),
            ran: 0,
            verdict: None,
            done: false,
        });
        if self.counts(request) {
            self.report.offered += 1;
            self.offered_by[organisation] += 1;
        }
        self.failed_at[now.seconds() as usize].0 += 1;
        let name = self.organisations[organisation].clone();
        let terms = OrganisationQuota { share: 1, max_in_progress: None };
        let number = RequestNumber(request as u64);
        match self.entries[entry].queue.admit(now, number, &name, terms) {
            Admission::Run => self.attempt(now, request),
            Admission::Wait => self.queue.after(QUEUE_TIME, RoutingEvent::Expire(entry)),
            Admission::Refuse(_) => self.settle(now, request, RunVerdict::NotRun),
        }
    }

    fn expire(&mut self, now: Moment, entry: usize) {
        for number in self.entries[entry].queue.expire(now) {
            self.settle(now, number.0 as usize, RunVerdict::NotRun);
        }
    }

    fn collect_reports(&mut self, now: Moment) {
        if now < self.end() {
            self.queue.after(REPORT_PAUSE, RoutingEvent::Report);
        }
        let lag =
            if self.has(RoutingFault::Lag) { Duration::from_secs(10) } else { Duration::ZERO };
        let loads = self.engines.iter().map(|engine| engine.running).collect();
        self.queue.after(REPORT_LAG + lag, RoutingEvent::Seen(loads));
        let warm = now >= Moment::ZERO + Duration::from_secs(self.options.seconds) / 3;
        if warm && now < self.end() {
            let living = self.engines.iter().filter(|engine| engine.alive && !engine.leaving);
            let loads: Vec<u32> = living.map(|engine| engine.running).collect();
            let mean = f64::from(loads.iter().sum::<u32>()) / loads.len().max(1) as f64;
            let most = f64::from(loads.iter().copied().max().unwrap_or(0));
            self.imbalance.push(most / mean.max(1e-9));
            self.full_slots += f64::from(self.slots) * loads.len() as f64;
        }
    }

    fn strike(&mut self, now: Moment) {
        self.struck = Some(now);
        let twentieth = self.engines.len().div_ceil(20);
        let last = self.options.domains - 1;
        for nth in 0..self.engines.len() {
            let chosen = nth % 20 == 7 && nth / 20 < twentieth;
            let domain = self.engines[nth].domain == last;
            let dies = self.has(RoutingFault::Deaths) && chosen
                || self.has(RoutingFault::DomainLoss) && domain;
            self.engines[nth].slow = self.has(RoutingFault::Slow) && chosen;
            self.engines[nth].leaving = self.has(RoutingFault::Leaving) && chosen;
            if dies {
                self.kill(nth);
            }
        }
        self.queue.after(MEMBERSHIP_LAG, RoutingEvent::Hear);
    }

    /// An endpoint dies; requests in progress there may have run.
    fn kill(&mut self, engine: usize) {
        self.engines[engine].alive = false;
        self.engines[engine].running = 0;
        let id = self.candidates[engine].id.clone();
        for request in 0..self.requests.len() {
            let one = &self.requests[request];
            let here = !one.done && one.ran > 0 && one.tried.last() == Some(&id);
            if here {
                let (verdict, attempt) = (RunVerdict::MayHaveRun, one.attempts);
                let event = RoutingEvent::Failed { request, engine, verdict, attempt };
                self.queue.after(DEATH_NOTICE, event);
            }
        }
    }
}

/// How much slower tokens come in an engine of a given load.
fn token_factor(load: f64) -> f64 {
    1.0 + 0.6 * load
}

/// How much later the first token comes in an engine of a given load: a prompt waits for a step
/// of the batch, and steps grow with it.
fn prefill_factor(load: f64) -> f64 {
    1.0 + load * load
}
