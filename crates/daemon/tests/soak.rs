//! Entries and servers that end, leave and start again by a plan drawn from a seed, with a harmful
//! request among sound ones, while callers and servers keep records; what has been promised is
//! checked from these alone.
//!
//! The plan of a seed is the same on every run; which request meets which event depends on the
//! machine, so that only what must hold at any moment is checked.

mod support;

use std::{
    collections::BTreeMap,
    ops::RangeInclusive,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use googletest::prelude::*;
use headlatch_http::CallResponse;
use headlatch_outside::{
    facts::{Fact, FactTopic},
    headers::HeaderFormat,
};
use headlatch_types::traffic::{ServerRecord, StartTime};
use http::StatusCode;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use support::{
    TestHeaders, TestStore, ask_with,
    entries::{EntryProcess, start_all_with},
    header,
    kept::KeptList,
    mortal::{HARMFUL, HARMFUL_PART, MortalServer},
    paced::EventPace,
    plan, record,
};
use tokio::{runtime::Runtime, time::Instant};

const ENTRIES: u8 = 3;
const SERVERS: usize = 6;
const CALLERS: usize = 8;

/// Length of a plan.
const PLAN_TIME: Duration = Duration::from_secs(8);

/// Time after a server has been listed as leaving in which it may still get new work: an entry that was
/// just starting reads the list once more.
const LEAVING_TIME: Duration = Duration::from_millis(2500);

/// What makes a request harmful.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HarmKind {
    /// Its content, which comes again.
    Content,
    /// A part of its prompt; no two of these requests are alike, and their first part is that of sound ones.
    Part,
}

impl HarmKind {
    /// Numbers of the entries; tests run side by side.
    fn entries(self) -> RangeInclusive<u8> {
        match self {
            Self::Content => 1..=ENTRIES,
            Self::Part => 11..=10 + ENTRIES,
        }
    }

    /// Sendings of harmful requests that may reach servers.
    fn max_sendings(self) -> usize {
        match self {
            // Two or three prove it; each entry may have a copy on its way with two sendings meanwhile.
            Self::Content => 3 + 2 * usize::from(ENTRIES),
            // The users' bound: three more than five.
            Self::Part => 5 + 3,
        }
    }
}

/// What happens, and when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FaultStep {
    /// A server ends and is back under its id.
    EndServer(usize),
    /// A server is listed as leaving, ends later and is back under its id.
    LeaveServer(usize),
    /// An entry is killed and starts again.
    KillEntry(usize),
    /// A harmful request comes to an entry.
    Harm(usize),
}

/// The plan of a seed: steps with the time after which each comes.
fn fault_plan(seed: u64) -> Vec<(Duration, FaultStep)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut at = Duration::ZERO;
    let mut steps = Vec::new();
    while at < PLAN_TIME {
        at += Duration::from_millis(rng.random_range(150..700));
        let server = rng.random_range(0..SERVERS);
        let entry = rng.random_range(0..usize::from(ENTRIES));
        let step = match rng.random_range(0..10) {
            0..3 => FaultStep::EndServer(server),
            3..5 => FaultStep::LeaveServer(server),
            5 => FaultStep::KillEntry(entry),
            _ => FaultStep::Harm(entry),
        };
        steps.push((at, step));
    }
    steps
}

/// One life of a server.
struct ServerLife {
    server: MortalServer,
    /// When it was listed as leaving.
    leaving: Option<Instant>,
    /// Requests that it had when entries had to know that it leaves.
    seen_in_time: Option<usize>,
}

/// What a caller was told of one request.
#[derive(Debug)]
struct CallRecord {
    id: String,
    path: String,
    answer: std::result::Result<CallResponse, String>,
}

/// Entries, servers, callers, and their records.
struct SoakWorld {
    harm: HarmKind,
    pace: EventPace,
    harmful_sent: u64,
    runtime: Runtime,
    store: Arc<TestStore>,
    kept: Arc<KeptList>,
    entries: Vec<EntryProcess>,
    /// Where callers find entries.
    places: Arc<Mutex<Vec<std::net::SocketAddr>>>,
    lives: Vec<Vec<ServerLife>>,
    births: u64,
    calls: Arc<Mutex<Vec<CallRecord>>>,
    next_id: Arc<AtomicU64>,
    ends: Arc<AtomicBool>,
}

impl SoakWorld {
    fn new(harm: HarmKind, pace: EventPace) -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let store = Arc::new(TestStore::default());
        store.set(FactTopic::Plan, "main", Fact::Plan(Box::new(plan(5))));
        let mut world = Self {
            harm,
            pace,
            harmful_sent: 0,
            runtime,
            store,
            kept: Arc::default(),
            entries: Vec::new(),
            places: Arc::default(),
            lives: (0..SERVERS).map(|_| Vec::new()).collect(),
            births: 1000,
            calls: Arc::default(),
            next_id: Arc::default(),
            ends: Arc::default(),
        };
        (0..SERVERS).for_each(|number| world.start_server(number));
        let headers = Arc::new(TestHeaders) as Arc<dyn HeaderFormat>;
        world.entries = start_all_with(harm.entries(), &world.store, &world.kept, &headers);
        world.note_places();
        world
    }

    fn note_places(&self) {
        let places = self.entries.iter().map(|one| one.entry.address).collect();
        *self.places.lock().expect("no test panics with it") = places;
    }

    fn start_server(&mut self, number: usize) {
        self.births += 1;
        let server = self.runtime.block_on(MortalServer::start(self.pace));
        self.list_server(number, &server, false);
        self.lives[number].push(ServerLife { server, leaving: None, seen_in_time: None });
    }

    fn list_server(&self, number: usize, server: &MortalServer, draining: bool) {
        let name = format!("i{number}");
        let born = Some(StartTime(self.births));
        let record = record(&name, server.address, "z1");
        let fact = Fact::Server(ServerRecord { started_at: born, draining, ..record });
        self.store.set(FactTopic::Servers, &name, fact);
    }

    /// Has callers ask for sound things until the plan has ended.
    fn start_callers(&self) {
        for caller in 0..CALLERS {
            let (places, calls) = (self.places.clone(), self.calls.clone());
            let (next_id, ends) = (self.next_id.clone(), self.ends.clone());
            self.runtime.spawn(async move {
                while !ends.load(Ordering::Relaxed) {
                    let number = next_id.fetch_add(1, Ordering::Relaxed);
                    let kind = if number.is_multiple_of(4) { "once" } else { "stream" };
                    let (id, path) = (format!("q{number}"), format!("/{kind}/sound{number}"));
                    let place = {
                        let places = places.lock().expect("no test panics with it");
                        places[(number as usize + caller) % places.len()]
                    };
                    let parts = format!("f1,5{:x},{:x}", number % 5, 0x1000 + number);
                    let lines = [("x-key", "k"), ("x-id", id.as_str()), ("x-parts", &parts)];
                    let answer = ask_with(place, &path, &lines).await;
                    calls.lock().expect("no test panics with it").push(CallRecord {
                        id,
                        path,
                        answer,
                    });
                    tokio::time::sleep(Duration::from_millis(15)).await;
                }
            });
        }
    }

    fn play(&mut self, steps: &[(Duration, FaultStep)]) {
        let begun = Instant::now();
        let mut returns: Vec<(Instant, usize)> = Vec::new();
        let mut steps = steps.iter().peekable();
        while steps.peek().is_some() || !returns.is_empty() {
            std::thread::sleep(Duration::from_millis(10));
            self.note_leaving();
            let now = Instant::now();
            let due: Vec<usize> =
                returns.iter().filter(|(at, _)| *at <= now).map(|(_, number)| *number).collect();
            returns.retain(|(at, _)| *at > now);
            due.into_iter().for_each(|number| self.start_server(number));
            // A server that a harmful request has ended is back as well.
            for number in 0..SERVERS {
                let awaited = returns.iter().any(|(_, one)| *one == number);
                if !awaited && self.last(number).server.has_ended() {
                    returns.push((now + Duration::from_millis(600), number));
                }
            }
            if let Some((_, step)) = steps.next_if(|(at, _)| begun.elapsed() >= *at) {
                self.take(*step);
            }
        }
        self.ends.store(true, Ordering::Relaxed);
        std::thread::sleep(Duration::from_secs(1));
        self.note_leaving();
    }

    fn last(&mut self, number: usize) -> &mut ServerLife {
        self.lives[number].last_mut().expect("each server has begun a life")
    }

    fn take(&mut self, step: FaultStep) {
        match step {
            FaultStep::EndServer(number) => self.last(number).server.end(),
            FaultStep::LeaveServer(number) => {
                let life = self.last(number);
                if life.leaving.is_none() && !life.server.has_ended() {
                    life.leaving = Some(Instant::now());
                    let life = self.lives[number].last().expect("it has begun");
                    self.list_server(number, &life.server, true);
                }
            }
            FaultStep::KillEntry(number) => {
                let numbers = self.harm.entries();
                let number_named = numbers.start() + number as u8;
                let old = self.entries.remove(number);
                old.kill();
                let (store, kept) = (self.store.clone(), self.kept.clone());
                let headers = Arc::new(TestHeaders);
                let new = EntryProcess::start_with(number_named, numbers, store, kept, headers);
                self.entries.insert(number, new);
                self.note_places();
            }
            FaultStep::Harm(number) => {
                let place = self.entries[number].entry.address;
                self.harmful_sent += 1;
                let (path, parts) = match self.harm {
                    HarmKind::Content => (format!("/stream/{HARMFUL}"), String::new()),
                    HarmKind::Part => (
                        format!("/stream/request{}", self.harmful_sent),
                        format!("f1,{HARMFUL_PART},{:x}", 0x9000 + self.harmful_sent),
                    ),
                };
                self.runtime.spawn(async move {
                    let lines = [("x-key", "k"), ("x-id", HARMFUL), ("x-parts", parts.as_str())];
                    // What it is answered is no matter here.
                    let _ = ask_with(place, &path, &lines).await;
                });
            }
        }
    }

    /// Notes what leaving servers had when entries had to know, and ends them a second later.
    fn note_leaving(&mut self) {
        for life in self.lives.iter_mut().flatten() {
            let Some(since) = life.leaving else { continue };
            if since.elapsed() >= LEAVING_TIME && life.seen_in_time.is_none() {
                life.seen_in_time = Some(life.server.seen().len());
            }
            if since.elapsed() >= LEAVING_TIME + Duration::from_secs(1) {
                life.server.end();
            }
        }
    }

    /// Which servers' lives saw each request, by its id.
    fn arrivals(&self) -> BTreeMap<String, usize> {
        let mut arrivals = BTreeMap::new();
        for life in self.lives.iter().flatten() {
            for head in life.server.seen() {
                let id = header(&head, "x-id").unwrap_or_default().to_owned();
                *arrivals.entry(id).or_default() += 1;
            }
        }
        arrivals
    }
}

/// What a whole stream of these servers is.
fn whole_stream() -> String {
    (1..=20).map(|event| format!("id: {event}\ndata: piece {event}\n\n")).collect()
}

/// What callers and servers have recorded.
#[derive(Debug)]
struct SoakRecords {
    harm: HarmKind,
    calls: Vec<CallRecord>,
    /// Servers that each request reached, by its id.
    arrivals: BTreeMap<String, usize>,
    /// Requests that came to servers long after these had been listed as leaving.
    late_work: usize,
}

impl SoakRecords {
    fn reached(&self, call: &CallRecord) -> usize {
        self.arrivals.get(&call.id).copied().unwrap_or_default()
    }

    /// Every promise that the records show to be broken.
    fn broken_promises(&self) -> Vec<String> {
        let mut broken: Vec<String> =
            self.calls.iter().filter_map(|call| self.broken_answer(call)).collect();
        let once = self.calls.iter().filter(|call| call.path.starts_with("/once/"));
        let twice = once.filter(|call| self.reached(call) > 1);
        broken.extend(twice.map(|call| format!("{}: run twice", call.id)));
        if self.late_work > 0 {
            broken.push(format!("{} requests for servers that leave", self.late_work));
        }
        let harmful = self.arrivals.get(HARMFUL).copied().unwrap_or_default();
        if harmful > self.harm.max_sendings() {
            broken.push(format!("{harmful} sendings of harmful requests"));
        }
        broken
    }

    /// What is wrong with the answer to one call.
    fn broken_answer(&self, call: &CallRecord) -> Option<String> {
        let answer = call.answer.as_ref().ok()?;
        let id = answer.headers.get("x-id").map(|id| id.as_bytes());
        if id != Some(call.id.as_bytes()) {
            return Some(format!("{}: an answer to another request", call.id));
        }
        match answer.status {
            StatusCode::OK if answer.body != whole_stream().as_bytes() => {
                Some(format!("{}: an answer that is not whole", call.id))
            }
            StatusCode::SERVICE_UNAVAILABLE if self.reached(call) > 0 => {
                Some(format!("{}: refused as not run, and has reached a server", call.id))
            }
            _ => None,
        }
    }
}

/// Every second seed has answers without length or chunks.
fn check(harm: HarmKind, seed: u64) {
    let close_delimited = seed.is_multiple_of(2) && harm == HarmKind::Part;
    let pace = EventPace { close_delimited, ..EventPace::default() };
    let mut world = SoakWorld::new(harm, pace);
    world.start_callers();
    world.play(&fault_plan(seed));
    let late =
        |life: &ServerLife| life.seen_in_time.map_or(0, |seen| life.server.seen().len() - seen);
    let records = SoakRecords {
        harm,
        calls: std::mem::take(&mut *world.calls.lock().expect("no test panics with it")),
        arrivals: world.arrivals(),
        late_work: world.lives.iter().flatten().map(late).sum(),
    };
    let is_whole = |call: &&CallRecord| {
        call.answer.as_ref().is_ok_and(|answer| answer.status == StatusCode::OK)
    };
    let (calls, whole) = (records.calls.len(), records.calls.iter().filter(is_whole).count());
    let harmful = records.arrivals.get(HARMFUL).copied().unwrap_or_default();
    eprintln!("soak, seed {seed}: {calls} calls, {whole} whole, {harmful} harmful sendings");
    expect_that!(records.broken_promises(), is_empty(), "seed {seed}");
    expect_that!(whole * 2, ge(calls), "seed {seed}");
    world.entries.into_iter().for_each(EntryProcess::kill);
}

/// A call to `path` with an answer of this status, for `answered`.
fn recorded(id: &str, path: &str, answered: &str, status: u16, body: &str) -> CallRecord {
    let mut headers = http::HeaderMap::new();
    headers.insert("x-id", answered.parse().expect("a value"));
    let status = StatusCode::from_u16(status).expect("a status");
    let answer = Ok(CallResponse { status, headers, body: body.to_owned().into() });
    CallRecord { id: id.to_owned(), path: path.to_owned(), answer }
}

/// Each promise that is broken in the records is found, and nothing else.
#[gtest]
fn broken_promises_are_found_in_records() {
    let whole = whole_stream();
    let good = || recorded("q1", "/stream/sound1", "q1", 200, &whole);
    let arrivals = |counts: &[(&str, usize)]| {
        counts.iter().map(|(id, count)| ((*id).to_owned(), *count)).collect()
    };
    let records = |call, counts: &[(&str, usize)], late_work| SoakRecords {
        harm: HarmKind::Content,
        calls: vec![good(), call],
        arrivals: arrivals(counts),
        late_work,
    };
    let refused = recorded("q2", "/once/sound2", "q2", 503, "");
    expect_that!(records(refused, &[("q1", 2)], 0).broken_promises(), is_empty());
    let planted = [
        records(recorded("q2", "/stream/x", "q9", 200, &whole), &[], 0),
        records(recorded("q2", "/stream/x", "q2", 200, &whole[..whole.len() - 9]), &[], 0),
        records(recorded("q2", "/stream/x", "q2", 200, &whole.replace('7', "8")), &[], 0),
        records(recorded("q2", "/stream/x", "q2", 503, ""), &[("q2", 1)], 0),
        records(recorded("q2", "/once/x", "q2", 200, &whole), &[("q2", 2)], 0),
        records(good(), &[], 1),
        records(good(), &[(HARMFUL, 10)], 0),
    ];
    for one in planted {
        expect_that!(one.broken_promises().len(), eq(1), "{one:?}");
    }
}

#[gtest]
fn a_plan_is_the_same_on_every_run() {
    expect_that!(fault_plan(7), eq(&fault_plan(7)));
    expect_that!(fault_plan(7), not(eq(&fault_plan(8))));
}

#[gtest]
fn what_was_promised_holds_under_drawn_faults() {
    (1..=3).for_each(|seed| check(HarmKind::Content, seed));
}

#[gtest]
fn what_was_promised_holds_while_a_shared_part_ends_servers() {
    (1..=3).for_each(|seed| check(HarmKind::Part, seed));
}

/// By hand: `cargo test -p headlatch-daemon --test soak -- --ignored`, eight minutes each.
#[gtest]
#[ignore = "a long run, by hand"]
fn what_was_promised_holds_for_fifty_seeds() {
    (1..=50).for_each(|seed| check(HarmKind::Content, seed));
}

#[gtest]
#[ignore = "a long run, by hand"]
fn what_was_promised_holds_for_fifty_seeds_of_a_shared_part() {
    (1..=50).for_each(|seed| check(HarmKind::Part, seed));
}
