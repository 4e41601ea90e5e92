//! What an entry believes, shared by its parts.

use std::{
    collections::{BTreeMap, HashMap},
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
        fact_age::FactAge,
        peers::{DomainKey, DrainNotice, PeerKind, PeerTable, WantedNotice},
        plan_source::HolderView,
        retry_share::{EntryStart, RetryBudget, RetryShare},
        route_table::RouteTable,
        server_copy::ServerCopy,
        server_table::{ColdRates, ContinuationLimits, ServerTable},
        shedding::LoadShedder,
        size_class::SizeRanks,
        weight_deadline::WeightDeadlines,
    },
    time::Moment,
};
use headlatch_http::Connections;
use headlatch_outside::{facts::Fact, headers::HeaderForm};
use headlatch_types::{
    direct_settings::{DirectEntrySettings, RawRetry},
    id::ModelName,
    quantity::ByteSize,
    traffic::{PlanVersion, TrafficPlan, WeightVersion},
};
use rand::Rng;
use serde_json::json;
use tokio::{sync::Notify, time::Instant};

use super::{
    body_memory::{BODY_MEMORY_DIVISOR, BodyMemory},
    facts::{FactNews, set_facts},
    plan_copy::PlanCopy,
    quarantine::Quarantine,
    unknown_headers::UnknownHeaders,
};
use crate::{decisions, metrics::NodeMetrics, timer::NodeClock};

mod evacuations;
mod reading;
mod server_signals;
mod servers;

pub use reading::TopicGate;

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
    started: Instant,
    /// Where this entry begins among others with what each does in its turn, from 0 to 1.
    phase: f64,
    clock: NodeClock,
    /// Suspended time that the parts of this entry have been told of.
    handled_suspension: Mutex<Duration>,
    /// The plan.
    pub plan: PlanCopy,
    /// Requests under which servers end.
    pub quarantine: Quarantine,
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
    pub loads_changed: Notify,
    /// Has the plan read anew.
    pub plan_refresh: Arc<Notify>,
    /// Has the list of servers read anew.
    pub servers_refresh: Arc<Notify>,
    /// Has the wanted weights read anew.
    pub weights_refresh: Arc<Notify>,
    /// Has the evacuations read anew.
    pub evacuations_refresh: Arc<Notify>,
    /// Another entry has taken in a change of servers that is missing here.
    pub newer_servers_offered: Notify,
    /// The list of servers, for other entries.
    server_copy: Mutex<ServerCopy>,
    /// How current the list of servers is.
    servers_age: Mutex<FactAge>,
    /// Entries known, and since when that many have been.
    known_entries: Mutex<(usize, Moment)>,
    /// Servers have come for which agents may have told something.
    notices_stale: AtomicBool,
    /// Unknown headers in answers of servers.
    unknown_headers: Mutex<UnknownHeaders>,
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
const MIN_SUSPENSION: Duration = Duration::from_millis(300);

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
        let body_memory =
            ByteSize::from_bytes(settings.direct.memory.bytes() / BODY_MEMORY_DIVISOR);
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
            started: Instant::now(),
            phase: rand::rng().random(),
            clock,
            handled_suspension: Mutex::default(),
            plan: PlanCopy::default(),
            quarantine: Quarantine::default(),
            servers: Mutex::new(servers),
            weights: Mutex::default(),
            evacuated: Mutex::default(),
            retries: Mutex::new(RetryShare::new(budget, start)),
            shedder: Mutex::default(),
            sizes: Mutex::default(),
            peers: Mutex::new(peers),
            loads_changed: Notify::new(),
            plan_refresh: Arc::default(),
            servers_refresh: Arc::default(),
            weights_refresh: Arc::default(),
            evacuations_refresh: Arc::default(),
            newer_servers_offered: Notify::new(),
            server_copy: Mutex::default(),
            servers_age: Mutex::default(),
            known_entries: Mutex::default(),
            notices_stale: AtomicBool::new(false),
            unknown_headers: Mutex::default(),
            settings,
        })
    }

    /// Takes over other figures of the retry budget.
    pub fn set_retry_settings(&self, retry: RawRetry) {
        self.retries().set_budget(retry_budget(retry));
    }

    /// The time since the start, that in which the machine was suspended included.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Time for which the machine was suspended since the start.
    pub fn suspended_time(&self) -> Duration {
        self.clock.slept()
    }

    /// Has the parts do what they do after a freeze where the machine was suspended since the last
    /// call: watches that were open may have been answered while nobody heard it.
    pub fn handle_suspension(&self) {
        let slept = self.suspended_time();
        let mut handled = lock(&self.handled_suspension);
        let since = slept.saturating_sub(*handled);
        if since < MIN_SUSPENSION {
            return;
        }
        *handled = slept;
        drop(handled);
        decisions::warn("life", "suspended", json!({ "slept_ms": since.as_millis() as u64 }));
        self.reread_store();
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

    /// Unknown headers in answers of servers.
    pub fn unknown_headers(&self) -> MutexGuard<'_, UnknownHeaders> {
        lock(&self.unknown_headers)
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

    /// The version of the plan in force.
    pub fn plan_version(&self) -> PlanVersion {
        self.plan.version()
    }

    /// Takes over a plan if it is newer than the one in force.
    pub fn apply_plan(&self, plan: TrafficPlan, source: &str) {
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
    pub fn record_peer_plan_version(&self, version: PlanVersion) {
        let is_reader = self.peers().is_plan_reader();
        if self.plan.note_told(self.now(), version, is_reader) && !self.awaits_turn() {
            self.plan_refresh.notify_one();
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
    pub fn apply_plan_update(&self, news: FactNews) {
        for fact in set_facts(news) {
            if let Fact::Plan(plan) = fact {
                self.apply_plan(*plan, "store");
            }
        }
        self.plan.confirm(self.now());
    }

    /// Takes in news about wanted weights.
    pub fn apply_weights_update(&self, news: FactNews) {
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
    pub fn merge_wanted_versions(&self, wanted: &[WantedNotice]) {
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

    /// The versions that this entry knows to be wanted, for others.
    pub fn wanted_notices(&self) -> Vec<WantedNotice> {
        let time = self.settings.direct.weights_time;
        self.weights().notices(self.now(), time)
    }

    /// Has everything read anew from the store: this entry was cut off or stood still, and what
    /// its watches wait for may have been lost on the way.
    pub fn reread_store(&self) {
        decisions::note("store", "read_anew", json!({}));
        self.plan_refresh.notify_one();
        self.servers_refresh.notify_one();
        self.weights_refresh.notify_one();
        self.evacuations_refresh.notify_one();
    }

    /// How current the list of servers is.
    pub fn servers_age(&self) -> FactAge {
        *lock(&self.servers_age)
    }

    /// Writes the ages of facts into the metrics.
    pub fn update_age_metrics(&self) {
        let now = self.now();
        for (topic, age) in [("plan", self.plan.age()), ("servers", self.servers_age())] {
            if let Some(age) = age.age(now) {
                self.metrics.set_fact_age(topic, age.as_millis() as u64);
            }
        }
    }

    /// The least version of a service's weights that a request may start on now.
    pub fn min_version(&self, model: Option<&str>) -> Option<WeightVersion> {
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
        let has_limits = self.servers().has_limits();
        let (loads, gone, silent, entries, holders) = {
            let mut peers = self.peers();
            let gone = peers.expire(self.now());
            let entries = peers.entries(PeerKind::Entry);
            let holders = if has_limits { self.entry_peers(&peers) } else { Vec::new() };
            (peers.loads(), gone, peers.silent_domains(self.now()), entries, holders)
        };
        let mut servers = self.servers();
        servers.set_others(loads);
        servers.set_entries(entries);
        if servers.has_limits() {
            servers.assign_limit_shares(self.now(), self.settings.node.control.into(), &holders);
        }
        self.metrics.set_rate_limits(servers.rate_limits());
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
    pub fn notify_load_changes(&self) {
        if self.servers().has_changes() {
            self.loads_changed.notify_one();
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
