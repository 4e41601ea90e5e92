//! What an entry believes, shared by its parts.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use headlatch_core::{
    direct::{
        evacuation::EvacuatedDomains,
        fact_age::{ChangeMark, FactAge},
        leaving::LeavingNotice,
        peers::{DomainKey, DrainNotice, PeerKind, PeerTable, WantedNotice},
        plan_readers::turn_time,
        plan_source::HolderView,
        retry_share::{EntryStart, RetryBudget, RetryShare},
        route_table::RouteTable,
        server_copy::{GoneServer, MarkedRecord, ServerChanges, ServerCopy},
        server_table::{ColdRates, ContinuationLimits, ServerTable},
        shedding::LoadShedder,
        size_class::SizeRanks,
        weight_deadline::WeightDeadlines,
    },
    time::Moment,
};
use headlatch_http::Connections;
use headlatch_outside::{
    facts::{Fact, FactChange, NamedFact},
    headers::HeaderForm,
};
use headlatch_types::{
    direct_settings::{DirectEntrySettings, RawRetry},
    id::{DomainId, ModelName},
    quantity::ByteSize,
    traffic::{PlanVersion, ServerId, TrafficPlan, WeightVersion},
};
use rand::Rng;
use serde_json::json;
use tokio::{sync::Notify, time::Instant};

use super::{
    body_memory::{BodyMemory, MEMORY_PARTS},
    facts::{FactNews, ReadGate, ReaderDuty, set_facts},
    plan_copy::PlanCopy,
    quarantine::QuarantineDesk,
};
use crate::{decisions, metrics::NodeMetrics, timer::NodeClock};

/// Time for which this entry may know fewer changes of servers than a peer before it reads them
/// anew: longer than its watch rests after each change and a slow store takes to answer. That a server
/// leaves is told at once besides.
const SERVERS_PATIENCE: Duration = Duration::from_millis(1400);

/// The same for the second reader of a failure domain, whose watch rests for 2 s.
const SECOND_PATIENCE: Duration = Duration::from_millis(3200);

/// The state of one entry.
#[derive(Debug)]
pub struct EntryState {
    /// Settings.
    pub settings: DirectEntrySettings,
    /// The outside's header form.
    pub headers: Arc<dyn HeaderForm>,
    /// Connections to servers.
    pub connections: Connections,
    /// Metrics.
    pub metrics: NodeMetrics,
    /// Memory for bodies of requests.
    pub request_memory: BodyMemory,
    /// Memory for bodies of answers.
    pub answer_memory: BodyMemory,
    /// Requests that are held.
    pub in_progress: AtomicUsize,
    /// A stop has been asked for.
    pub stopping: AtomicBool,
    /// The list of servers has been read.
    pub servers_known: AtomicBool,
    begun: Instant,
    /// Where this entry begins among others with what each does in its turn, from 0 to 1.
    phase: f64,
    clock: NodeClock,
    /// Suspended time that the parts of this entry have been told of.
    told_sleep: Mutex<Duration>,
    /// The plan.
    pub plan: PlanCopy,
    /// Requests under which servers end.
    pub quarantine: QuarantineDesk,
    servers: Mutex<ServerTable>,
    weights: Mutex<WeightDeadlines>,
    evacuated: Mutex<EvacuatedDomains>,
    retries: Mutex<RetryShare>,
    /// Which part of the requests is refused while engines are full.
    shedder: Mutex<LoadShedder>,
    /// Sizes of requests, by route.
    sizes: Mutex<SizeRanks>,
    peers: Mutex<PeerTable>,
    /// What this entry has in progress at a busy server has changed.
    pub load_news: Notify,
    /// Has the plan read anew.
    pub plan_nudge: Arc<Notify>,
    /// Has the list of servers read anew.
    pub servers_nudge: Arc<Notify>,
    /// Has the wanted weights read anew.
    pub weights_nudge: Arc<Notify>,
    /// Has the evacuations read anew.
    pub evacuations_nudge: Arc<Notify>,
    /// Another entry has taken in a change of servers that is missing here.
    pub servers_offered: Notify,
    /// The list of servers, for other entries.
    server_copy: Mutex<ServerCopy>,
    /// How current the list of servers is.
    servers_age: Mutex<FactAge>,
    /// Entries known, and since when that many have been.
    known_entries: Mutex<(usize, Moment)>,
    /// Servers have come for which agents may have told something.
    notices_stale: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|broken| broken.into_inner())
}

fn retry_budget(retry: RawRetry) -> RetryBudget {
    RetryBudget {
        ratio: retry.ratio,
        slack: retry.slack,
        window: Duration::from_secs_f64(retry.window_seconds),
    }
}

/// Least time of suspension after which everything is read anew: less is borne by every wait.
const LEAST_SLEEP: Duration = Duration::from_millis(300);

/// Time after the first start of the whole system in which an entry waits to hear of others before it
/// reads the store: each would take itself for the first.
const SETTLING_TIME: Duration = Duration::from_millis(400);

/// The same where others run or have run: who is named by the first answers has answered by then, so
/// that few of dozens of entries read a plan of up to a megabyte over one link between regions.
const RESTART_SETTLING_TIME: Duration = Duration::from_millis(150);

/// The same where nobody is heard: after a loss of power hundreds of processes find each other at first
/// through a few that have just started as well.
const RESTART_ALONE_TIME: Duration = Duration::from_millis(600);

/// Time for which the number of known entries must have stood still before an entry that lacks the
/// plan takes itself for one that reads the store.
const STEADY_TIME: Duration = Duration::from_millis(300);

/// The same where others run or have run: two ticks in which nobody else was found.
const RESTART_STEADY_TIME: Duration = Duration::from_millis(150);

/// Time after a start from which the first entries that still lack the plan or the servers read them by
/// themselves; the others follow in turns.
const OWN_READING_TIME: Duration = Duration::from_millis(1500);

impl ReadGate for EntryState {
    fn is_open(&self) -> bool {
        let lacks = self.lacks_facts();
        let since = self.begun.elapsed();
        if lacks && since >= self.own_reading_time() {
            return true;
        }
        // Callers wait, unless the whole system starts for the first time.
        let known = *lock(&self.known_entries);
        let steady = self.now().since(known.1);
        let settled = match self.settings.direct.first_start {
            true => since >= SETTLING_TIME && steady >= STEADY_TIME,
            // Nobody is known: others may have started at the same moment.
            false if known.0 <= 1 => since >= RESTART_ALONE_TIME,
            false => since >= RESTART_SETTLING_TIME && steady >= RESTART_STEADY_TIME,
        };
        let has_read = !lacks;
        (settled || has_read) && self.peers().is_plan_reader()
    }

    fn note(&self, answered: bool) {
        self.plan.note_store(answered);
    }

    fn duty(&self) -> ReaderDuty {
        match self.peers().reader_rank() {
            Some(0) => ReaderDuty::Watches,
            _ => ReaderDuty::StandsBy,
        }
    }
}

/// Opens as the plan's gate does, for topics whose calls say nothing about the plan.
#[derive(Debug)]
pub struct TopicGate(pub Arc<EntryState>);

impl ReadGate for TopicGate {
    fn is_open(&self) -> bool {
        self.0.is_open()
    }

    fn note(&self, _answered: bool) {}

    fn duty(&self) -> ReaderDuty {
        self.0.duty()
    }
}

/// News of servers as changes; what cannot be read is written down and left out.
fn server_changes(news: FactNews, newest: ChangeMark) -> ServerChanges {
    let covered = news.covered();
    let (whole, facts) = match news {
        FactNews::All(list) => (true, list.facts.into_iter().map(FactChange::Set).collect()),
        FactNews::Changes(changes) => (false, changes.changes),
    };
    let mut told = ServerChanges { covered, newest, whole, ..ServerChanges::default() };
    for fact in facts {
        match fact {
            FactChange::Set(NamedFact { revision, fact: Ok(Fact::Server(record)), .. }) => {
                told.set.push(MarkedRecord { revision: ChangeMark(revision.0), record });
            }
            FactChange::Set(NamedFact { fact: Ok(_), .. }) => {}
            FactChange::Set(NamedFact { name, revision, fact: Err(error) }) => {
                let fields = json!({ "name": name, "error": error.to_string() });
                decisions::warn("servers", "unreadable", fields);
                // What was there before says nothing any more of what is there now.
                if !name.is_empty() {
                    let (id, revision) = (ServerId(name.into()), ChangeMark(revision.0));
                    told.gone.push(GoneServer { revision, id });
                }
            }
            FactChange::Gone { name, revision } => {
                let (id, revision) = (ServerId(name.into()), ChangeMark(revision.0));
                told.gone.push(GoneServer { revision, id });
            }
        }
    }
    told
}

impl EntryState {
    /// The state of an entry that has just started.
    pub fn new(settings: DirectEntrySettings, headers: Arc<dyn HeaderForm>) -> Arc<Self> {
        Self::with_clock(settings, headers, NodeClock::default())
    }

    /// The same with a clock of its own.
    pub fn with_clock(
        settings: DirectEntrySettings,
        headers: Arc<dyn HeaderForm>,
        clock: NodeClock,
    ) -> Arc<Self> {
        let budget = retry_budget(settings.direct.retry);
        let start = match settings.direct.first_start {
            true => EntryStart::WithAllOthers,
            false => EntryStart::Again,
        };
        let zones = settings.direct.zones.clone();
        let body_memory = ByteSize::from_bytes(settings.direct.memory.bytes() / MEMORY_PARTS);
        let servers = ServerTable::new(settings.node.domain.clone(), zones);
        let mut peers =
            PeerTable::new(settings.node.control, DomainKey::from(&settings.node.domain));
        for seed in &settings.direct.seeds {
            peers.suggest(Moment::ZERO, *seed);
        }
        peers.set_mesh_limit(settings.direct.mesh_limit);
        Arc::new(Self {
            headers,
            connections: Connections::default(),
            metrics: NodeMetrics::default(),
            request_memory: BodyMemory::new(body_memory),
            answer_memory: BodyMemory::new(body_memory),
            in_progress: AtomicUsize::new(0),
            stopping: AtomicBool::new(false),
            servers_known: AtomicBool::new(false),
            begun: Instant::now(),
            phase: rand::rng().random(),
            clock,
            told_sleep: Mutex::default(),
            plan: PlanCopy::default(),
            quarantine: QuarantineDesk::default(),
            servers: Mutex::new(servers),
            weights: Mutex::default(),
            evacuated: Mutex::default(),
            retries: Mutex::new(RetryShare::new(budget, start)),
            shedder: Mutex::default(),
            sizes: Mutex::default(),
            peers: Mutex::new(peers),
            load_news: Notify::new(),
            plan_nudge: Arc::default(),
            servers_nudge: Arc::default(),
            weights_nudge: Arc::default(),
            evacuations_nudge: Arc::default(),
            servers_offered: Notify::new(),
            server_copy: Mutex::default(),
            servers_age: Mutex::default(),
            known_entries: Mutex::default(),
            notices_stale: AtomicBool::new(false),
            settings,
        })
    }

    /// Takes over other figures of the retry budget.
    pub fn take_retry_settings(&self, retry: RawRetry) {
        self.retries().set_budget(retry_budget(retry));
    }

    /// The time since the start, that in which the machine was suspended included.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Time for which the machine was suspended since the start.
    pub fn slept(&self) -> Duration {
        self.clock.slept()
    }

    /// Has the parts do what they do after a freeze where the machine was suspended since the last
    /// call: watches that were open may have been answered while nobody heard it.
    pub fn note_sleep(&self) {
        let slept = self.slept();
        let mut told = lock(&self.told_sleep);
        let since = slept.saturating_sub(*told);
        if since < LEAST_SLEEP {
            return;
        }
        *told = slept;
        drop(told);
        decisions::warn("life", "suspended", json!({ "slept_ms": since.as_millis() as u64 }));
        self.read_store_anew();
    }

    /// The routes in force; none before the first plan.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.plan.routes()
    }

    /// The servers.
    pub fn servers(&self) -> MutexGuard<'_, ServerTable> {
        lock(&self.servers)
    }

    /// The wanted weights.
    pub fn weights(&self) -> MutexGuard<'_, WeightDeadlines> {
        lock(&self.weights)
    }

    /// The share of retries.
    pub fn retries(&self) -> MutexGuard<'_, RetryShare> {
        lock(&self.retries)
    }

    /// What refuses a part of the requests while engines are full.
    pub fn shedder(&self) -> MutexGuard<'_, LoadShedder> {
        lock(&self.shedder)
    }

    /// The sizes of requests seen lately.
    pub fn sizes(&self) -> MutexGuard<'_, SizeRanks> {
        lock(&self.sizes)
    }

    /// The other processes.
    pub fn peers(&self) -> MutexGuard<'_, PeerTable> {
        lock(&self.peers)
    }

    /// Entries that live, this one among them.
    pub fn entries(&self) -> usize {
        self.peers().entries(PeerKind::Entry)
    }

    /// Whether a stop has been asked for.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether requests can be served.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.servers_known.load(Ordering::Relaxed) && self.routes().is_some()
    }

    /// Whether this entry has no plan or no list of servers yet.
    fn lacks_facts(&self) -> bool {
        self.routes().is_none() || !self.servers_known.load(Ordering::Relaxed)
    }

    /// Time after the start from which this entry reads by itself what nobody has handed it.
    fn own_reading_time(&self) -> Duration {
        turn_time(OWN_READING_TIME, self.peers().readers_before())
    }

    /// Whether others are to read the store before this entry does, which has just started.
    fn awaits_turn(&self) -> bool {
        self.lacks_facts()
            && !self.peers().is_plan_reader()
            && self.begun.elapsed() < self.own_reading_time()
    }

    /// The version of the plan in force.
    pub fn plan_version(&self) -> PlanVersion {
        self.plan.version()
    }

    /// Takes over a plan if it is newer than the one in force.
    pub fn take_plan(&self, plan: TrafficPlan, source: &str) {
        let version = plan.version;
        let bounded = plan.services.iter().filter(|(_, service)| service.cold_per_second > 0.0);
        let bounded =
            bounded.map(|(name, service)| (name.as_str().into(), service.cold_per_second));
        let rates = ColdRates { services: bounded.collect(), phase: self.phase };
        if self.plan.take(self.now(), plan, source) {
            self.metrics.set_revision(version.0);
            self.servers().set_cold_rates(rates);
        }
    }

    /// A peer has the plan of `version`: where that is newer than the one in force here, it is had
    /// from a peer; where it stays so, this entry's watch has missed something.
    pub fn hear_peer_plan(&self, version: PlanVersion) {
        let is_reader = self.peers().is_plan_reader();
        if self.plan.note_told(self.now(), version, is_reader) && !self.awaits_turn() {
            self.plan_nudge.notify_one();
        }
    }

    /// An entry that has a newer plan and is to be asked for it now.
    pub fn newer_plan_holder(&self) -> Option<SocketAddr> {
        let (now, version) = (self.now(), self.plan_version());
        let peers = self.peers();
        let view = HolderView {
            reads_store: peers.is_plan_reader() && self.plan.reads_store(now),
            near: peers.newer_plans(version, true),
            far: peers.newer_plans(version, false),
            before: peers.entries_before(),
        };
        drop(peers);
        self.plan.holder(now, &view)
    }

    /// Takes in news about the plan.
    pub fn hear_plan(&self, news: FactNews) {
        for fact in set_facts(news) {
            if let Fact::Plan(plan) = fact {
                self.take_plan(*plan, "store");
            }
        }
        self.plan.confirm(self.now());
    }

    /// Takes in news about wanted weights.
    pub fn hear_weights(&self, news: FactNews) {
        let now = self.now();
        for fact in set_facts(news) {
            let Fact::Weights(wanted) = fact else { continue };
            if self.weights().learn(now, &wanted.model, wanted.version) {
                let fields = json!({ "model": wanted.model, "version": wanted.version });
                decisions::note("weights", "version_wanted", fields);
            }
        }
    }

    /// Takes in which versions a peer knows to be wanted: its watch may have heard what this
    /// entry's has missed.
    pub fn hear_wanted(&self, wanted: &[WantedNotice]) {
        let now = self.now();
        for one in wanted {
            if self.weights().learn_late(now, &one.model, one.version, one.age) {
                let age_ms = one.age.as_millis() as u64;
                let fields =
                    json!({ "model": one.model, "version": one.version, "age_ms": age_ms });
                decisions::note("weights", "version_wanted", fields);
            }
        }
    }

    /// The failure domains that are being emptied, as far as this entry knows.
    pub fn evacuated(&self) -> EvacuatedDomains {
        lock(&self.evacuated).clone()
    }

    /// Takes in news about evacuations.
    pub fn hear_evacuations(&self, news: FactNews) {
        let mark = news.covered();
        let (base, facts) = match news {
            FactNews::All(list) => {
                (EvacuatedDomains::default(), list.facts.into_iter().map(FactChange::Set).collect())
            }
            FactNews::Changes(changes) => (self.evacuated(), changes.changes),
        };
        let changes = facts.into_iter().filter_map(|change| match change {
            FactChange::Set(NamedFact { fact: Ok(Fact::Evacuation(domain)), .. }) => {
                Some((DomainKey::from(&domain), true))
            }
            FactChange::Set(NamedFact { name, fact, .. }) => {
                let error = fact.err().map(|error| error.to_string());
                decisions::warn(
                    "evacuations",
                    "unreadable",
                    json!({ "name": name, "error": error }),
                );
                None
            }
            FactChange::Gone { name, .. } => {
                let domain: DomainId = name.parse().ok()?;
                Some((DomainKey::from(&domain), false))
            }
        });
        self.take_evacuated(&base.with_changes(mark, changes));
    }

    /// Takes over the failure domains that are being emptied where that is newer than what is known.
    pub fn take_evacuated(&self, told: &EvacuatedDomains) {
        if !lock(&self.evacuated).take(told) {
            return;
        }
        let names: Vec<String> = told.domains.iter().map(DomainKey::to_string).collect();
        decisions::note("evacuations", "in_force", json!({ "domains": names, "at": told.mark.0 }));
        self.servers().set_evacuated_domains(told.domains.clone());
    }

    /// The versions that this entry knows to be wanted, for others.
    pub fn wanted_notices(&self) -> Vec<WantedNotice> {
        let time = self.settings.direct.weights_time;
        self.weights().notices(self.now(), time)
    }

    /// Has everything read anew from the store: this entry was cut off or stood still, and what
    /// its watches wait for may have been lost on the way.
    pub fn read_store_anew(&self) {
        decisions::note("store", "read_anew", json!({}));
        self.plan_nudge.notify_one();
        self.servers_nudge.notify_one();
        self.weights_nudge.notify_one();
        self.evacuations_nudge.notify_one();
    }

    /// Takes in news about servers from the store.
    pub fn hear_servers(&self, news: FactNews) {
        let (covered, newest) = (news.covered(), news.newest());
        self.apply_servers(server_changes(news, newest));
        lock(&self.servers_age).confirm_from_store(self.now(), covered, newest);
    }

    /// Takes in what another entry has told of servers.
    pub fn take_server_changes(&self, changes: ServerChanges) {
        if changes.covered <= self.servers_age().covered() {
            return;
        }
        let (covered, newest) = (changes.covered, changes.newest);
        self.apply_servers(changes);
        lock(&self.servers_age).take_list_from_peer(self.now(), covered, newest);
    }

    /// What has changed of the list of servers for an entry that knows everything up to `after`.
    pub fn server_changes(&self, after: ChangeMark) -> Option<ServerChanges> {
        lock(&self.server_copy).changes_after(after)
    }

    fn apply_servers(&self, changes: ServerChanges) {
        let mut copy = lock(&self.server_copy);
        let changes = copy.news_of(changes);
        copy.take(&changes);
        drop(copy);
        if changes.whole {
            let listed: Vec<ServerId> =
                changes.set.iter().map(|marked| marked.record.id.clone()).collect();
            self.servers().keep_only(self.now(), &listed, changes.covered);
            let fields = json!({ "servers": listed.len(), "at": changes.covered.0 });
            decisions::note("servers", "listed", fields);
        }
        // One entry of a failure domain writes them down for all of them.
        let notes = self.peers().speaks_for_domain();
        changes.set.iter().cloned().for_each(|marked| self.set_server(marked, notes));
        changes.gone.iter().for_each(|gone| self.remove_server(gone));
        if changes.whole {
            self.servers_known.store(true, Ordering::Relaxed);
        }
        let wanted: HashSet<SocketAddr> =
            self.servers().records().map(|record| record.address).collect();
        self.connections.retain(|address| wanted.contains(address));
    }

    /// How current the list of servers is.
    pub fn servers_age(&self) -> FactAge {
        *lock(&self.servers_age)
    }

    /// Writes the ages of facts into the metrics.
    pub fn measure_ages(&self) {
        let now = self.now();
        for (topic, age) in [("plan", self.plan.age()), ("servers", self.servers_age())] {
            if let Some(age) = age.age(now) {
                self.metrics.set_fact_age(topic, age.as_millis() as u64);
            }
        }
    }

    /// The newest change of servers that this entry has taken in.
    pub fn newest_servers(&self) -> ChangeMark {
        lock(&self.servers_age).newest()
    }

    /// A peer has taken in changes of servers up to `newest`; where this entry goes on knowing
    /// less, its watch has missed something.
    pub fn hear_peer_servers(&self, newest: ChangeMark) {
        let now = self.now();
        let rank = self.peers().reader_rank();
        let mut age = lock(&self.servers_age);
        age.note_told(now, newest);
        if age.behind(now).is_some() {
            self.servers_offered.notify_one();
        }
        let is_late = age.stalled(now).is_some_and(|stalled| stalled >= SERVERS_PATIENCE);
        let patience = if rank == Some(1) { SECOND_PATIENCE } else { SERVERS_PATIENCE };
        let is_due = (is_late || rank.is_some()) && age.take_due(now, patience);
        drop(age);
        if is_due && !self.awaits_turn() {
            self.servers_nudge.notify_one();
        }
    }

    /// Servers that peers have heard to be leaving: they get nothing more here either.
    pub fn hear_leaving(&self, leaving: &[LeavingNotice]) {
        let now = self.now();
        for notice in leaving {
            if self.servers().note_told(now, *notice) {
                let fields = json!({
                    "server_key": notice.server, "revision": notice.revision.0,
                    "returned": notice.returned,
                });
                decisions::note("servers", "leaving_told", fields);
            }
        }
    }

    fn set_server(&self, marked: MarkedRecord, notes: bool) {
        let MarkedRecord { revision, record } = marked;
        if notes {
            let fields = json!({
                "server": record.id, "service": record.service, "address": record.address,
                "zone": record.zone, "draining": record.draining, "slots": record.slots,
                "models": record.models, "cold_ms": record.cold_ms, "revision": revision.0,
            });
            decisions::note("servers", "set", fields);
        }
        if !record.models.is_empty() {
            let machine = SocketAddr::new(record.address.ip(), self.settings.node.control.port());
            self.peers().suggest(self.now(), machine);
        }
        self.servers().set(self.now(), record, revision);
        self.notices_stale.store(true, Ordering::Relaxed);
    }

    fn remove_server(&self, gone: &GoneServer) {
        if self.servers().remove(self.now(), &gone.id, gone.revision) {
            decisions::note("servers", "gone", json!({ "server": gone.id }));
        }
    }

    /// The least version of a service's weights that a request may start on now.
    pub fn least_version(&self, model: Option<&str>) -> Option<WeightVersion> {
        let model: ModelName = model?.parse().ok()?;
        let time = self.settings.direct.weights_time;
        self.weights().least(self.now(), &model, time)
    }

    /// Time for which a server with `version` may work on what it is sent now.
    pub fn work_time(
        &self,
        model: Option<&str>,
        version: Option<WeightVersion>,
    ) -> Option<Duration> {
        let model: ModelName = model?.parse().ok()?;
        let time = self.settings.direct.weights_time;
        self.weights().work_time(self.now(), &model, version?, time)
    }

    /// What this entry has at servers that are about to change, for their agents.
    pub fn drains(&self) -> Vec<DrainNotice> {
        let services = self.servers().changing_services();
        let limits = services.into_iter().filter_map(|service| {
            let limits = self.continuation_limits(&service)?;
            Some((service, limits))
        });
        let limits: BTreeMap<Arc<str>, ContinuationLimits> = limits.collect();
        self.servers().drains(self.now(), &limits)
    }

    /// What limits the continuation of a service's streams; none for plain services.
    fn continuation_limits(&self, service: &str) -> Option<ContinuationLimits> {
        let routes = self.routes()?;
        let engine = routes.plan().services.get(service)?.engine.as_ref()?;
        let (now, time) = (self.now(), self.settings.direct.weights_time);
        let models = engine.models.iter();
        let least = models.filter_map(|model| self.weights().least(now, model, time)).max();
        let entries = self.entries();
        let retries = self.retries().left(now, service, entries);
        let within_region = routes.plan().restricts_regions(service);
        Some(ContinuationLimits { layers: engine.layers, least, retries, within_region })
    }

    /// Takes in what others have in progress; tells whether what agents tell is to be taken in anew
    /// as well, since some are gone or some servers are new.
    pub fn refresh_loads(&self) -> bool {
        let (loads, gone, silent, entries) = {
            let mut peers = self.peers();
            let gone = peers.expire(self.now());
            let entries = peers.entries(PeerKind::Entry);
            (peers.loads(), gone, peers.silent_domains(self.now()), entries)
        };
        let mut servers = self.servers();
        servers.set_others(loads);
        servers.set_entries(entries);
        let mut known = lock(&self.known_entries);
        if known.0 != entries {
            *known = (entries, self.now());
        }
        drop(known);
        let names: Vec<String> = silent.iter().map(DomainKey::to_string).collect();
        let news = servers.set_silent_domains(silent);
        drop(servers);
        if news {
            decisions::note("peers", "domains_out_of_reach", json!({ "domains": names }));
        }
        for peer in &gone {
            decisions::note("peers", "lost", json!({ "peer": peer }));
        }
        self.notices_stale.swap(false, Ordering::Relaxed) || !gone.is_empty()
    }

    /// Takes in what others have in progress at servers where that has changed.
    pub fn refresh_loads_of(&self, servers: &[u32]) {
        if servers.is_empty() {
            return;
        }
        let peers = self.peers();
        let loads: Vec<_> = servers.iter().map(|key| (*key, peers.load_of(*key))).collect();
        drop(peers);
        let mut table = self.servers();
        loads.into_iter().for_each(|(key, load)| table.set_other(key, load));
    }

    /// Has the other entries of the failure domain told what has changed at busy servers.
    pub fn tell_loads(&self) {
        if self.servers().has_changes() {
            self.load_news.notify_one();
        }
    }

    /// What agents that live tell of their servers.
    pub fn refresh_notices(&self) {
        let notices: HashMap<SocketAddr, _> = {
            let peers = self.peers();
            let told = peers.living().filter_map(|peer| peer.notice.server.clone());
            told.map(|notice| (notice.address, notice)).collect()
        };
        self.servers().set_notices(&notices);
    }
}
