//! A store that is rolled back by a plan drawn from a seed while servers leave and join, configurations change
//! and entries are killed. Servers and the operator write again what the store has lost. What must hold is checked
//! from the arrivals at servers, the answers to callers and the final views of entries.

mod support;

use std::{
    collections::{BTreeSet, VecDeque},
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU8, Ordering},
    },
    time::Duration,
};

use googletest::prelude::*;
use headlatch_http::Connections;
use headlatch_outside::headers::HeaderFormat;
use headlatch_platform::{PlatformHeaders, PlatformStore};
use headlatch_types::traffic::PlanVersion;
use http::StatusCode;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use support::{
    ask_with,
    entries::EntryProcess,
    rollback_store::{RollbackStore, StoreCopy, config_spec, server_spec},
    signaling::SignalingServer,
};
use tokio::{runtime::Runtime, time::Instant};

const ENTRIES: u8 = 3;
const SERVERS: usize = 4;
const CALLERS: usize = 6;

/// Length of a plan.
const PLAN_TIME: Duration = Duration::from_secs(14);

/// Time after the plan in which views must become right.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Time after a server's word that it leaves from which it must get no request.
const DRAIN_TIME: Duration = Duration::from_millis(2000);

/// Time after trouble of the store, or a start of an entry, from which the bounds hold.
const CONTACT_TIME: Duration = Duration::from_millis(3000);

/// Time for which servers that leave serve on.
const LEAVING_TIME: Duration = Duration::from_millis(5000);

/// Maximum time until a server or the operator writes again what the store has lost.
const MAX_REWRITE_MS: u64 = 1200;

/// Number of entry addresses in use, since seeds run in parallel.
static NUMBERS_USED: AtomicU8 = AtomicU8::new(0);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FaultStep {
    /// The store is away for a time and comes back from a copy of some age, in milliseconds.
    RollBack {
        age_ms: u64,
        away_ms: u64,
    },
    /// A server says that it leaves, and another one is started.
    Leave(usize),
    /// A server is removed without having said anything, and serves on.
    Remove(usize),
    Configure,
    /// An entry is killed and starts again.
    KillEntry(usize),
}

/// The plan of a seed: steps with the time at which each comes.
fn fault_plan(seed: u64) -> Vec<(Duration, FaultStep)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (mut at, mut steps) = (Duration::ZERO, Vec::new());
    while at < PLAN_TIME {
        at += Duration::from_millis(rng.random_range(200..1300));
        let server = rng.random_range(0..SERVERS);
        steps.push((
            at,
            match rng.random_range(0..12) {
                0..3 => FaultStep::RollBack {
                    age_ms: rng.random_range(0..3000),
                    away_ms: rng.random_range(0..700),
                },
                3..7 => FaultStep::Leave(server),
                7 => FaultStep::Remove(server),
                8..10 => FaultStep::Configure,
                10 => FaultStep::KillEntry(rng.random_range(0..usize::from(ENTRIES))),
                // Rollbacks in quick succession.
                _ => FaultStep::RollBack { age_ms: 1500, away_ms: 50 },
            },
        ));
    }
    steps
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ServerPhase {
    Ready,
    Leaving,
    Removed,
}

/// A server that keeps its record in the store.
struct ServerActor {
    name: String,
    server: SignalingServer,
    phase: ServerPhase,
    /// When the store first took the word that it leaves, or its removal.
    left_at: Option<Instant>,
    /// When it writes its record again.
    rewrite_at: Option<Instant>,
    /// Whether it first registers as ready when it writes again.
    registers_first: bool,
}

impl ServerActor {
    fn write(&self, store: &RollbackStore) {
        let state = match self.phase {
            ServerPhase::Ready => "ready",
            ServerPhase::Leaving => "draining",
            ServerPhase::Removed => {
                store.remove("servers", &self.name);
                return;
            }
        };
        if self.registers_first && self.phase == ServerPhase::Leaving {
            store.put("servers", &self.name, server_spec(self.server.address, "z1", "ready", 0));
        }
        store.put("servers", &self.name, server_spec(self.server.address, "z1", state, 0));
    }
}

/// An entry with the number of its address.
struct EntrySlot {
    number: u8,
    process: Option<EntryProcess>,
    started: Instant,
    newest_plan: PlanVersion,
}

struct SoakWorld {
    seed: u64,
    rng: SmallRng,
    runtime: Runtime,
    store: RollbackStore,
    /// Copies of the store of the last seconds.
    copies: VecDeque<(Instant, StoreCopy)>,
    /// When an absent store comes back, and from which copy.
    returns: Option<(Instant, StoreCopy)>,
    /// Ends of the store's troubles so far.
    troubles: Vec<(Instant, Instant)>,
    config: u64,
    config_rewrite_at: Option<Instant>,
    servers: Vec<ServerActor>,
    entries: Vec<EntrySlot>,
    /// Starts of entries after the first ones.
    restarts: Vec<Instant>,
    places: Arc<Mutex<Vec<SocketAddr>>>,
    statuses: Arc<Mutex<Vec<StatusCode>>>,
    ends: Arc<AtomicBool>,
    broken: Vec<String>,
}

impl SoakWorld {
    fn new(seed: u64) -> Self {
        let runtime = Runtime::new().expect("runtime");
        let store = runtime.block_on(RollbackStore::start());
        store.put("config", "main", config_spec(5));
        let first = NUMBERS_USED.fetch_add(ENTRIES, Ordering::Relaxed) + 1;
        let mut world = Self {
            seed,
            rng: SmallRng::seed_from_u64(seed ^ 0x5eed),
            runtime,
            store,
            copies: VecDeque::new(),
            returns: None,
            troubles: Vec::new(),
            config: 5,
            config_rewrite_at: None,
            servers: Vec::new(),
            entries: Vec::new(),
            restarts: Vec::new(),
            places: Arc::default(),
            statuses: Arc::default(),
            ends: Arc::default(),
            broken: Vec::new(),
        };
        (0..SERVERS).for_each(|_| world.start_server());
        for number in first..first + ENTRIES {
            let process = Some(world.start_entry(number, first));
            let (started, newest_plan) = (Instant::now(), PlanVersion::default());
            world.entries.push(EntrySlot { number, process, started, newest_plan });
        }
        while !world.entries.iter().all(|slot| slot.knows_all()) {
            std::thread::sleep(Duration::from_millis(20));
        }
        world
    }

    fn start_entry(&self, number: u8, first: u8) -> EntryProcess {
        let client =
            || Arc::new(PlatformStore::new(self.store.address, Arc::new(Connections::default())));
        let headers: Arc<dyn HeaderFormat> = Arc::new(PlatformHeaders);
        EntryProcess::start_with(number, first..=first + ENTRIES - 1, client(), client(), headers)
    }

    fn start_server(&mut self) {
        let server = self.runtime.block_on(SignalingServer::start());
        let actor = ServerActor {
            name: format!("i{}", self.servers.len()),
            server,
            phase: ServerPhase::Ready,
            left_at: None,
            // While the store is away the server registers later.
            rewrite_at: self.returns.as_ref().map(|(at, _)| *at + Duration::from_millis(300)),
            registers_first: self.rng.random_bool(0.3),
        };
        if actor.rewrite_at.is_none() {
            actor.write(&self.store);
        }
        self.servers.push(actor);
    }

    fn start_callers(&self) {
        for caller in 0..CALLERS {
            let (places, statuses) = (self.places.clone(), self.statuses.clone());
            let ends = self.ends.clone();
            self.runtime.spawn(async move {
                let mut number = caller;
                while !ends.load(Ordering::Relaxed) {
                    number += 1;
                    let place = {
                        let places = places.lock().expect("lock is not poisoned");
                        places.get(number % places.len().max(1)).copied()
                    };
                    if let Some(place) = place {
                        let id = format!("{caller}-{number}");
                        let asked = ask_with(place, "/safe/a", &[("request-id", &id)]).await;
                        // The entry may have been killed.
                        if let Ok(answer) = asked {
                            statuses.lock().expect("lock is not poisoned").push(answer.status);
                        }
                    }
                    tokio::time::sleep(Duration::from_millis(10)).await;
                }
            });
        }
    }

    fn play(&mut self, steps: &[(Duration, FaultStep)]) {
        let begun = Instant::now();
        let mut steps = steps.iter().peekable();
        while begun.elapsed() < PLAN_TIME + SETTLE_TIME {
            std::thread::sleep(Duration::from_millis(5));
            self.tick();
            let is_due = |(at, _): &&(Duration, FaultStep)| begun.elapsed() >= *at;
            if let Some((_, step)) = steps.next_if(is_due) {
                self.take(*step);
            }
        }
        self.ends.store(true, Ordering::Relaxed);
        std::thread::sleep(Duration::from_millis(300));
    }

    fn tick(&mut self) {
        let now = Instant::now();
        if let Some((_, copy)) = self.returns.take_if(|(at, _)| *at <= now) {
            self.come_back(now, copy);
        }
        if self.returns.is_none() {
            let is_old =
                self.copies.back().is_none_or(|(at, _)| now - *at >= Duration::from_millis(100));
            if is_old {
                self.copies.push_back((now, self.store.copy()));
            }
            for server in &mut self.servers {
                if server.rewrite_at.take_if(|at| *at <= now).is_some() {
                    server.write(&self.store);
                }
            }
            if self.config_rewrite_at.take_if(|at| *at <= now).is_some() {
                self.store.put("config", "main", config_spec(self.config));
            }
            self.leave_or_end(now);
        }
        let is_ready =
            |slot: &&EntrySlot| slot.process.as_ref().is_some_and(|one| one.entry.state.is_ready());
        let ready = self.entries.iter().filter(is_ready);
        let addresses =
            ready.filter_map(|slot| Some(slot.process.as_ref()?.entry.address)).collect();
        *self.places.lock().expect("lock is not poisoned") = addresses;
        for slot in &mut self.entries {
            let version = slot.process.as_ref().map(|one| one.entry.state.plan_version());
            let version = version.unwrap_or_default();
            if version < slot.newest_plan {
                self.broken.push(format!("plan {version} after {}", slot.newest_plan));
            }
            slot.newest_plan = version;
        }
    }

    /// Removes the records of servers that have said for a while that they leave.
    fn leave_or_end(&mut self, now: Instant) {
        for server in &mut self.servers {
            let left = server.left_at.filter(|_| server.phase == ServerPhase::Leaving);
            if left.is_some_and(|at| now - at >= LEAVING_TIME) {
                server.phase = ServerPhase::Removed;
                server.write(&self.store);
            }
        }
    }

    fn come_back(&mut self, now: Instant, copy: StoreCopy) {
        self.store.come_back_from(copy.clone());
        if let Some((_, end)) = self.troubles.last_mut() {
            *end = now;
        }
        self.copies.clear();
        self.copies.push_back((now, copy));
        for server in &mut self.servers {
            let delay = Duration::from_millis(self.rng.random_range(20..MAX_REWRITE_MS));
            server.rewrite_at = Some(now + delay);
        }
        let delay = Duration::from_millis(self.rng.random_range(20..MAX_REWRITE_MS));
        self.config_rewrite_at = Some(now + delay);
    }

    fn take(&mut self, step: FaultStep) {
        let now = Instant::now();
        // The store takes nothing while it is away.
        let is_away = self.returns.is_some();
        match step {
            FaultStep::RollBack { age_ms, away_ms } if !is_away => {
                let oldest = now - Duration::from_millis(age_ms);
                let copy = self.copies.iter().find(|(at, _)| *at >= oldest).or(self.copies.back());
                let copy = copy.expect("copies are kept").1.clone();
                self.troubles.push((now, now));
                if away_ms < 100 {
                    // Calls in progress are not cut off.
                    return self.come_back(now, copy);
                }
                self.store.go_away();
                self.returns = Some((now + Duration::from_millis(away_ms), copy));
            }
            FaultStep::Leave(number) if !is_away => self.end_one(number, now, ServerPhase::Leaving),
            FaultStep::Remove(number) if !is_away => {
                self.end_one(number, now, ServerPhase::Removed)
            }
            FaultStep::Configure if !is_away => {
                self.config += 1;
                self.store.put("config", "main", config_spec(self.config));
            }
            FaultStep::KillEntry(number) => {
                let first = self.entries[0].number;
                let slot = &mut self.entries[number];
                let (old, address) = (slot.process.take(), slot.number);
                old.into_iter().for_each(EntryProcess::kill);
                let process = self.start_entry(address, first);
                let slot = &mut self.entries[number];
                (slot.process, slot.started) = (Some(process), Instant::now());
                slot.newest_plan = PlanVersion::default();
                self.restarts.push(slot.started);
            }
            _ => {}
        }
    }

    /// Has one of the ready servers leave, and another one start.
    fn end_one(&mut self, number: usize, now: Instant, phase: ServerPhase) {
        let ready = self.servers.iter_mut().filter(|server| server.phase == ServerPhase::Ready);
        // A record that the store has lost cannot be taken back by its server.
        let ready: Vec<_> = ready.filter(|server| server.rewrite_at.is_none()).collect();
        if ready.len() < 2 {
            return;
        }
        let count = ready.len();
        let server = ready.into_iter().nth(number % count).expect("number is in range");
        (server.phase, server.left_at) = (phase, Some(now));
        server.write(&self.store);
        self.start_server();
    }

    /// Whether the store had no trouble in this time.
    fn store_was_well(&self, from: Instant, until: Instant) -> bool {
        self.troubles.iter().all(|(begin, end)| *end < from || *begin > until)
    }

    /// Whether no entry started in this time.
    fn entries_lived(&self, from: Instant, until: Instant) -> bool {
        self.restarts.iter().all(|at| *at < from || *at > until)
    }

    /// Arrivals at servers that had left, where that is not allowed.
    fn late_arrivals(&self) -> Vec<String> {
        let mut late = Vec::new();
        for server in &self.servers {
            let Some(left_at) = server.left_at else { continue };
            // The bound counts from a word that the store took while it had no trouble.
            let was_acknowledged = self.store_was_well(left_at - CONTACT_TIME, left_at);
            // Everybody had the time to learn of it before the store was rolled back.
            let was_known = self.store_was_well(left_at - CONTACT_TIME, left_at + DRAIN_TIME);
            for at in server.server.arrivals().into_iter().filter(|at| *at > left_at + DRAIN_TIME) {
                let in_touch = was_acknowledged
                    && self.store_was_well(at - CONTACT_TIME, at)
                    && self.entries_lived(at - CONTACT_TIME, at);
                if in_touch || (was_known && self.entries_lived(left_at, at)) {
                    let (name, phase, after) = (&server.name, server.phase, at - left_at);
                    let rollbacks = self.rollbacks_relative_to(left_at);
                    late.push(format!(
                        "{name} ({phase:?}): a request {after:?} after it left; rollbacks: {rollbacks}"
                    ));
                }
            }
        }
        late
    }

    /// Times of the rollbacks, in milliseconds after `from`, for messages.
    fn rollbacks_relative_to(&self, from: Instant) -> String {
        let millis = |at: &Instant| match *at < from {
            true => -((from - *at).as_millis() as i64),
            false => (*at - from).as_millis() as i64,
        };
        let spans = self.troubles.iter().map(|(begin, end)| (millis(begin), millis(end)));
        format!("{:?}", spans.collect::<Vec<_>>())
    }

    /// Entries whose view differs from what the servers and the operator wrote last.
    fn wrong_views(&self) -> Vec<String> {
        let ready = self.servers.iter().filter(|server| server.phase == ServerPhase::Ready);
        let ready: BTreeSet<String> = ready.map(|server| server.name.clone()).collect();
        let mut wrong = Vec::new();
        for slot in &self.entries {
            let Some(process) = &slot.process else { continue };
            let state = &process.entry.state;
            let servers = state.servers();
            let records =
                servers.records().filter(|record| !servers.is_planned_shutdown(&record.id));
            let known: BTreeSet<String> = records.map(|record| record.id.to_string()).collect();
            drop(servers);
            if known != ready {
                let stored = self.store.names("servers");
                wrong.push(format!(
                    "entry {}: uses {known:?}, ready are {ready:?}, stored are {stored:?}",
                    slot.number
                ));
            }
            if state.plan_version() != PlanVersion(self.config) {
                let version = state.plan_version();
                wrong
                    .push(format!("entry {}: plan {version}, newest {}", slot.number, self.config));
            }
        }
        wrong
    }
}

impl EntrySlot {
    fn knows_all(&self) -> bool {
        self.process.as_ref().is_some_and(|process| process.knows(usize::from(ENTRIES)))
    }
}

fn check(seed: u64) {
    let mut world = SoakWorld::new(seed);
    world.start_callers();
    world.play(&fault_plan(seed));
    let statuses = world.statuses.lock().expect("lock is not poisoned").clone();
    let failed = statuses.iter().filter(|status| **status != StatusCode::OK).count();
    eprintln!(
        "rollback soak, seed {}: {} answers, {failed} not served, {} rollbacks, {} entries killed",
        world.seed,
        statuses.len(),
        world.troubles.len(),
        world.restarts.len()
    );
    expect_that!(world.late_arrivals(), is_empty(), "seed {seed}");
    expect_that!(world.wrong_views(), is_empty(), "seed {seed}");
    expect_that!(world.broken, is_empty(), "seed {seed}");
    expect_that!(failed, eq(0), "seed {seed}, of {}", statuses.len());
    let processes = world.entries.into_iter().filter_map(|slot| slot.process);
    processes.for_each(EntryProcess::kill);
}

#[gtest]
fn plan_is_the_same_on_every_run() {
    expect_that!(fault_plan(7), eq(&fault_plan(7)));
    expect_that!(fault_plan(7), not(eq(&fault_plan(8))));
}

#[rstest]
#[gtest]
fn what_was_written_holds_under_drawn_rollbacks(#[values(1, 2, 3)] seed: u64) {
    check(seed);
}

/// By hand: `SOAK_SEED=38 cargo test -p headlatch-daemon --test rollback_soak -- --ignored one_seed`; prints the
/// decision log.
#[gtest]
#[ignore = "one seed, by hand"]
fn what_was_written_holds_for_one_seed_with_its_log() {
    let seed = std::env::var("SOAK_SEED").ok().and_then(|seed| seed.parse().ok());
    headlatch_daemon::decisions::start();
    check(seed.unwrap_or(1));
}

/// By hand: `cargo test -p headlatch-daemon --test rollback_soak -- --ignored`, four minutes on five cores.
#[rstest]
#[gtest]
#[ignore = "a long run, by hand"]
fn what_was_written_holds_for_fifty_seeds(#[values(0, 1, 2, 3, 4)] group: u64) {
    (1..=10).map(|number| group * 10 + number).for_each(check);
}
