//! Requests with shared prompt parts, some of which end the servers that write on them, in virtual
//! time.
//!
//! Entries send requests to servers and observe answers and ends; what they learn reaches the others
//! in rounds of notices, as over sockets. Detectors to compare implement [`PartDetector`].

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use headlatch_core::{direct::suspects::LifeKey, time::Moment};
use headlatch_types::request::PartKey;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::Serialize;

use crate::queue::EventQueue;

mod detectors;

pub use detectors::{DetectorKind, PartDetector};

/// Time between two rounds of notices.
const ROUND: Duration = Duration::from_millis(100);

/// Time for which an ended server is away.
const RESTART_TIME: Duration = Duration::from_millis(2500);

/// Time that a caller is allowed between the fifth end under a part and the last request with it that
/// reaches a server.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Number of ends under a part from which [`CONTACT_TIME`] counts.
const COUNTED_ENDS: usize = 5;

/// Sendings of one request.
const MAX_SENDS: u32 = 2;

/// Parts of prompts that are in all requests of a route.
const ROUTES: u64 = 3;

/// A run.
#[derive(Debug, Clone)]
pub struct PartScenario {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of entries.
    pub entries: usize,
    /// Number of servers.
    pub servers: usize,
    /// Sound requests per second.
    pub sound_rate: f64,
    /// Number of parts that end servers.
    pub harmful_parts: u64,
    /// Requests per second with each of them.
    pub harmful_rate: f64,
    /// When they begin.
    pub harmful_from: Duration,
    /// Whether the harmful parts are in sound requests until then.
    pub sound_before: bool,
    /// Number of subjects, of which each request names one; the first ones are named most often.
    pub subjects: u64,
    /// Single ends of servers per second.
    pub single_ends: f64,
    /// Moments at which `herd_share` of the servers end together.
    pub herds: Vec<Duration>,
    /// Part of the servers that ends in a herd.
    pub herd_share: f64,
    /// Duration of the run.
    pub duration: Duration,
}

impl Default for PartScenario {
    fn default() -> Self {
        Self {
            seed: 1,
            entries: 7,
            servers: 20,
            sound_rate: 100.0,
            harmful_parts: 1,
            harmful_rate: 7.0,
            harmful_from: Duration::from_secs(5),
            sound_before: false,
            subjects: 200,
            single_ends: 0.1,
            herds: Vec::new(),
            herd_share: 0.5,
            duration: Duration::from_secs(30),
        }
    }
}

/// What a run showed.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct PartReport {
    /// Ends under the harmful part with most of them.
    pub most_ends: usize,
    /// Requests with a harmful part that reached servers later than [`CONTACT_TIME`] after the fifth
    /// end under it; the most of any part.
    pub late_arrivals: usize,
    /// Time from the first end under a harmful part to its last one, the longest of any part.
    pub last_end_ms: u64,
    /// Sound parts that were refused at any entry.
    pub sound_parts_refused: usize,
    /// Sound requests that came.
    pub sound: usize,
    /// Sound requests that were refused because of a part.
    pub sound_refused: usize,
}

#[derive(Debug, Clone)]
struct SimRequest {
    entry: usize,
    parts: Vec<PartKey>,
    harmful: Option<PartKey>,
    sends: u32,
}

#[derive(Debug, Clone)]
struct Run {
    request: SimRequest,
    /// When the server begins to write.
    begins: Moment,
}

#[derive(Debug, Default)]
struct SimServer {
    life: u32,
    up: bool,
    runs: BTreeMap<u64, Run>,
}

enum SimEvent {
    Arrival { harmful: Option<PartKey> },
    Send(SimRequest),
    Lived { server: usize, life: u32, run: u64 },
    Finished { server: usize, life: u32, run: u64 },
    End { server: usize, life: u32 },
    SingleEnd,
    Herd,
    Restart(usize),
    Round,
}

/// Time after which a server that writes on a part has outlived the harm.
const LIVED_TIME: Duration = Duration::from_millis(500);

struct Simulation<'a> {
    scenario: &'a PartScenario,
    random: SmallRng,
    events: EventQueue<SimEvent>,
    now: Moment,
    servers: Vec<SimServer>,
    lives: u32,
    runs: u64,
    detector: Box<dyn PartDetector>,
    ends: BTreeMap<PartKey, Vec<Moment>>,
    late: BTreeMap<PartKey, usize>,
    refused_sound: BTreeSet<PartKey>,
    report: PartReport,
}

/// Runs a scenario.
pub fn run(scenario: &PartScenario, detector: DetectorKind) -> PartReport {
    let servers = (0..scenario.servers)
        .map(|number| SimServer { life: number as u32, up: true, runs: BTreeMap::new() })
        .collect();
    let mut simulation = Simulation {
        scenario,
        random: SmallRng::seed_from_u64(scenario.seed),
        events: EventQueue::default(),
        now: Moment::ZERO,
        servers,
        lives: scenario.servers as u32,
        runs: 0,
        detector: detector.build(scenario.entries),
        ends: BTreeMap::new(),
        late: BTreeMap::new(),
        refused_sound: BTreeSet::new(),
        report: PartReport::default(),
    };
    simulation.start();
    while let Some((at, event)) = simulation.events.pop() {
        if at.since(Moment::ZERO) > scenario.duration {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.into_report()
}

/// The harmful part of this number.
fn harmful_part(number: u64) -> PartKey {
    PartKey(1 << 40 | number)
}

impl Simulation<'_> {
    fn start(&mut self) {
        self.events.at(Moment::ZERO, SimEvent::Arrival { harmful: None });
        for number in 0..self.scenario.harmful_parts {
            let from = Moment::ZERO + self.scenario.harmful_from;
            let harmful = Some(harmful_part(number));
            self.events.at(from, SimEvent::Arrival { harmful });
        }
        if self.scenario.single_ends > 0.0 {
            self.schedule_next(self.scenario.single_ends, SimEvent::SingleEnd);
        }
        for herd in &self.scenario.herds {
            self.events.at(Moment::ZERO + *herd, SimEvent::Herd);
        }
        self.events.at(Moment::ZERO + ROUND, SimEvent::Round);
    }

    fn schedule_next(&mut self, rate: f64, event: SimEvent) {
        let draw: f64 = self.random.random_range(1e-9..1.0);
        self.events.at(self.now + Duration::from_secs_f64(-draw.ln() / rate), event);
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival { harmful } => self.handle_arrival(harmful),
            SimEvent::Send(request) => self.send(request),
            SimEvent::Lived { server, life, run } => self.record_lived(server, life, run),
            SimEvent::Finished { server, life, run } => {
                if self.servers[server].life == life {
                    self.record_lived(server, life, run);
                    self.servers[server].runs.remove(&run);
                }
            }
            SimEvent::End { server, life } => {
                if self.servers[server].up && self.servers[server].life == life {
                    self.end_server(server);
                }
            }
            SimEvent::SingleEnd => {
                self.schedule_next(self.scenario.single_ends, SimEvent::SingleEnd);
                let server = self.random.random_range(0..self.servers.len());
                if self.servers[server].up {
                    self.end_server(server);
                }
            }
            SimEvent::Herd => {
                for server in 0..self.servers.len() {
                    let delay = Duration::from_millis(self.random.random_range(0..40));
                    if self.random.random_bool(self.scenario.herd_share) {
                        let life = self.servers[server].life;
                        self.events.at(self.now + delay, SimEvent::End { server, life });
                    }
                }
            }
            SimEvent::Restart(server) => {
                self.lives += 1;
                self.servers[server] =
                    SimServer { life: self.lives, up: true, runs: BTreeMap::new() };
            }
            SimEvent::Round => {
                self.events.at(self.now + ROUND, SimEvent::Round);
                self.detector.exchange(self.now);
            }
        }
    }

    fn handle_arrival(&mut self, harmful: Option<PartKey>) {
        let (rate, again) = match harmful {
            Some(_) => (self.scenario.harmful_rate, SimEvent::Arrival { harmful }),
            None => (self.scenario.sound_rate, SimEvent::Arrival { harmful: None }),
        };
        self.schedule_next(rate, again);
        let entry = self.random.random_range(0..self.scenario.entries);
        let route = self.random.random_range(0..ROUTES);
        // The square of a uniform number makes the first subjects frequent.
        let skew: f64 = self.random.random::<f64>().powi(3);
        let subject = (skew * self.scenario.subjects as f64) as u64;
        let mut parts = vec![PartKey(route), PartKey(1000 + subject)];
        let begun = self.now.since(Moment::ZERO) >= self.scenario.harmful_from;
        let sound_part = self.scenario.sound_before && !begun && self.random.random_bool(0.05);
        let number = self.random.random_range(0..self.scenario.harmful_parts.max(1));
        parts.extend(harmful.or(sound_part.then(|| harmful_part(number))));
        let request = SimRequest { entry, parts, harmful, sends: 0 };
        if harmful.is_none() {
            self.report.sound += 1;
        }
        self.send(request);
    }

    fn send(&mut self, mut request: SimRequest) {
        let refused = |part: &&PartKey| self.detector.refuses(self.now, request.entry, **part);
        if let Some(part) = request.parts.iter().find(refused).copied() {
            if request.harmful.is_none() {
                self.report.sound_refused += 1;
                self.refused_sound.insert(part);
            }
            return;
        }
        if let Some(wait) = self.detector.hold(self.now, request.entry, &request.parts) {
            self.events.at(self.now + wait, SimEvent::Send(request));
            return;
        }
        let up: Vec<usize> =
            (0..self.servers.len()).filter(|server| self.servers[*server].up).collect();
        if up.is_empty() {
            return;
        }
        let server = up[self.random.random_range(0..up.len())];
        request.sends += 1;
        self.detector.sent(request.entry, &request.parts);
        if let Some(part) = request.harmful {
            self.record_harmful_arrival(part);
        }
        self.runs += 1;
        let (run, life) = (self.runs, self.servers[server].life);
        let begins = self.now + Duration::from_millis(self.random.random_range(20..250));
        if request.harmful.is_some() {
            let harm = Duration::from_millis(self.random.random_range(40..110));
            self.events.at(begins + harm, SimEvent::End { server, life });
        } else {
            let whole = Duration::from_millis(self.random.random_range(400..2500));
            self.events.at(begins + LIVED_TIME, SimEvent::Lived { server, life, run });
            self.events.at(begins + whole, SimEvent::Finished { server, life, run });
        }
        self.servers[server].runs.insert(run, Run { request, begins });
    }

    fn record_harmful_arrival(&mut self, part: PartKey) {
        let fifth = self.ends.get(&part).and_then(|ends| ends.get(COUNTED_ENDS - 1));
        if fifth.is_some_and(|fifth| self.now > *fifth + CONTACT_TIME) {
            *self.late.entry(part).or_default() += 1;
        }
    }

    fn record_lived(&mut self, server: usize, life: u32, run: u64) {
        if !self.servers[server].up || self.servers[server].life != life {
            return;
        }
        let Some(run) = self.servers[server].runs.get(&run).cloned() else { return };
        let (entry, parts) = (run.request.entry, &run.request.parts);
        self.detector.record_sound(self.now, entry, parts, run.begins);
    }

    fn end_server(&mut self, server: usize) {
        self.servers[server].up = false;
        let runs = std::mem::take(&mut self.servers[server].runs);
        let life = LifeKey(self.servers[server].life);
        self.events.at(self.now + RESTART_TIME, SimEvent::Restart(server));
        let mut by_entry: BTreeMap<usize, Vec<Run>> = BTreeMap::new();
        for run in runs.into_values() {
            by_entry.entry(run.request.entry).or_default().push(run);
        }
        let mut parts_present: BTreeSet<PartKey> = BTreeSet::new();
        for (entry, runs) in by_entry {
            for run in runs {
                let parts = &run.request.parts;
                match self.now >= run.begins + LIVED_TIME {
                    true => self.detector.record_sound(self.now, entry, parts, run.begins),
                    false => self.detector.record_end(self.now, entry, parts, life),
                }
                let began = self.now >= run.begins;
                parts_present.extend(run.request.harmful.filter(|_| began));
                self.retry(run.request);
            }
        }
        for part in parts_present {
            self.ends.entry(part).or_default().push(self.now);
        }
    }

    fn retry(&mut self, request: SimRequest) {
        if request.sends < MAX_SENDS {
            let pause = self.detector.retry_pause(self.now, request.entry, &request.parts);
            let delay = pause + Duration::from_millis(5);
            self.events.at(self.now + delay, SimEvent::Send(request));
        }
    }

    fn into_report(self) -> PartReport {
        let span = |ends: &Vec<Moment>| {
            let (first, last) = (ends.first(), ends.last());
            first.zip(last).map_or(0, |(first, last)| last.since(*first).as_millis() as u64)
        };
        PartReport {
            most_ends: self.ends.values().map(Vec::len).max().unwrap_or_default(),
            late_arrivals: self.late.values().copied().max().unwrap_or_default(),
            last_end_ms: self.ends.values().map(span).max().unwrap_or_default(),
            sound_parts_refused: self.refused_sound.len(),
            ..self.report
        }
    }
}
