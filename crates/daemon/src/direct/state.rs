//! State of an entry, shared by its tasks.

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
        admission::shedding::LoadShedder,
        evacuation::Evacuations,
        fact_age::FactAge,
        peers::{DomainKey, DrainNotice, PeerKind, PeerTable, WantedNotice},
        plan_source::PlanHolders,
        process_limits::{ProcessLimits, SERVER_READ_BUFFER},
        retry_share::{EntryStart, RetryBudget, RetryShare},
        route_table::RouteTable,
        server_copy::ServerCopy,
        server_table::{ColdEvent, ColdRates, ContinuationLimits, ServerTable},
        size_class::SizeRanks,
        weight_deadline::WeightDeadlines,
    },
    time::Moment,
};
use headlatch_http::{Connections, PoolLimits};
use headlatch_outside::{
    facts::{Fact, FactTopic},
    headers::HeaderFormat,
};
use headlatch_types::{
    direct_settings::{DirectEntrySettings, RawRetry},
    id::ModelName,
    quantity::RequestRate,
    store::{StoreEra, StoreRevision},
    traffic::{PlanVersion, TrafficPlan, WeightVersion},
};
use serde_json::json;
use tokio::{sync::Notify, time::Instant};

use self::shutdown::PlannedStop;
use super::{
    body_memory::BodyMemory,
    callers::{self, CallerConnections},
    facts::{FactUpdate, readable_facts},
    plan_copy::PlanCopy,
    quarantine::{Quarantine, TRIAL_SPREAD},
    unknown_names::{FieldCounter, UnknownNames},
    waiting::WaitingRequests,
};
use crate::{decisions, metrics::NodeMetrics, timer::NodeClock};

mod era;
mod evacuations;
mod reading;
mod server_signals;
mod server_speeds;
mod servers;
pub mod shutdown;
mod urgencies;

pub use reading::TopicGate;

/// State of one entry.
#[derive(Debug)]
pub struct EntryState {
    /// Settings of the entry.
    pub settings: DirectEntrySettings,
    /// The platform's header format.
    pub headers: Arc<dyn HeaderFormat>,
    /// Pooled connections to servers.
    pub connections: Connections,
    /// Metrics of the entry.
    pub metrics: NodeMetrics,
    /// Memory budget for request bodies.
    pub request_memory: BodyMemory,
    /// Memory budget for response bodies.
    pub answer_memory: BodyMemory,
    /// Connections of callers.
    pub callers: Arc<CallerConnections>,
    /// What callers may make this process hold.
    pub process_limits: ProcessLimits,
    /// Number of requests in progress.
    pub in_progress: AtomicUsize,
    /// Planned stop of this entry.
    pub stop: PlannedStop,
    /// The list of servers has been loaded.
    pub servers_known: AtomicBool,
    /// Servers are known from a list that the store did not continue. Requests are better sent to these than refused.
    some_servers_known: AtomicBool,
    started: Instant,
    clock: NodeClock,
    /// Suspended time that has already been handled.
    handled_suspension: Mutex<Duration>,
    /// Current plan and its freshness.
    pub plan: PlanCopy,
    /// Requests that are suspected or refused because servers crashed while running them.
    pub quarantine: Quarantine,
    servers: Mutex<ServerTable>,
    weights: Mutex<WeightDeadlines>,
    evacuations: Mutex<Evacuations>,
    retries: Mutex<RetryShare>,
    /// Decides which fraction of the requests is shed while engines are full.
    shedder: Mutex<LoadShedder>,
    /// Requests that wait for a server.
    pub waiting: WaitingRequests,
    /// Recent request sizes by route.
    sizes: Mutex<SizeRanks>,
    peers: Mutex<PeerTable>,
    /// Signalled when this entry's load on a busy server changes.
    pub loads_changed: Notify,
    /// Triggers a reread of the plan.
    pub plan_refresh: Arc<Notify>,
    /// Triggers a reread of the list of servers.
    pub servers_refresh: Arc<Notify>,
    /// Triggers a reread of the wanted weight versions.
    pub weights_refresh: Arc<Notify>,
    /// Triggers a reread of the evacuations.
    pub evacuations_refresh: Arc<Notify>,
    /// Signalled when another entry has a change of servers that this one lacks.
    pub newer_servers_offered: Notify,
    /// Copy of the list of servers that is served to other entries.
    server_copy: Mutex<ServerCopy>,
    /// Newest known era of the store; `None` before the first response or notice.
    store_era: Mutex<Option<StoreEra>>,
    /// Signalled when the store is known to be in a newer era.
    era_changed: Notify,
    /// Freshness of the list of servers.
    servers_age: Mutex<FactAge<StoreRevision>>,
    /// Number of known entries, and when it last changed.
    known_entries: Mutex<(usize, Moment)>,
    /// Servers were added, for which agents may already have sent notices.
    notices_stale: AtomicBool,
    /// Unknown headers seen in responses of servers.
    unknown_headers: Mutex<UnknownNames>,
    /// Unknown and invalid fields seen in facts from the store.
    pub(super) field_counter: FieldCounter,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn retry_budget(retry: RawRetry) -> RetryBudget {
    RetryBudget {
        ratio: retry.ratio,
        slack: retry.slack,
        window: Duration::from_secs_f64(retry.window_seconds),
    }
}

/// Minimum suspension that triggers a reread of everything; shorter ones are within the margin of
/// every wait.
const MIN_SUSPENSION: Duration = Duration::from_millis(300);

impl EntryState {
    /// State of an entry that has just started.
    pub fn new(settings: DirectEntrySettings, headers: Arc<dyn HeaderFormat>) -> Arc<Self> {
        Self::with_clock(settings, headers, NodeClock::default())
    }

    /// Same as `new`, with the given clock.
    pub fn with_clock(
        settings: DirectEntrySettings,
        headers: Arc<dyn HeaderFormat>,
        clock: NodeClock,
    ) -> Arc<Self> {
        let budget = retry_budget(settings.direct.retry);
        let start = match settings.direct.first_start {
            true => EntryStart::FirstStart,
            false => EntryStart::Restart,
        };
        let zones = settings.direct.zones.clone();
        let limits = callers::process_limits(&settings.direct);
        let metrics = NodeMetrics::default();
        let callers = CallerConnections::new(settings.direct.yield_rate, metrics.clone());
        let mut servers = ServerTable::new(settings.node.domain.clone(), zones);
        servers.set_uses_pace(settings.direct.server_pace);
        let mut peers =
            PeerTable::new(settings.node.control, DomainKey::from(&settings.node.domain));
        for seed in &settings.direct.seeds {
            peers.add_candidate(Moment::ZERO, *seed);
        }
        peers.set_mesh_limit(settings.direct.mesh_limit);
        Arc::new(Self {
            headers,
            connections: Connections::new(PoolLimits {
                read_buffer: SERVER_READ_BUFFER,
                idle: limits.idle_server_connections,
            }),
            metrics,
            request_memory: BodyMemory::new(limits.request_bodies),
            answer_memory: BodyMemory::new(limits.answers),
            callers,
            process_limits: limits,
            in_progress: AtomicUsize::new(0),
            stop: PlannedStop::default(),
            servers_known: AtomicBool::new(false),
            some_servers_known: AtomicBool::new(false),
            started: Instant::now(),
            clock,
            handled_suspension: Mutex::default(),
            plan: PlanCopy::default(),
            quarantine: Quarantine::new(TRIAL_SPREAD.mul_f64(rand::random())),
            servers: Mutex::new(servers),
            weights: Mutex::default(),
            evacuations: Mutex::default(),
            retries: Mutex::new(RetryShare::new(budget, start)),
            shedder: Mutex::default(),
            waiting: WaitingRequests::default(),
            sizes: Mutex::default(),
            peers: Mutex::new(peers),
            loads_changed: Notify::new(),
            plan_refresh: Arc::default(),
            servers_refresh: Arc::default(),
            weights_refresh: Arc::default(),
            evacuations_refresh: Arc::default(),
            newer_servers_offered: Notify::new(),
            server_copy: Mutex::default(),
            store_era: Mutex::default(),
            era_changed: Notify::new(),
            servers_age: Mutex::default(),
            known_entries: Mutex::default(),
            notices_stale: AtomicBool::new(false),
            unknown_headers: Mutex::default(),
            field_counter: FieldCounter::default(),
            settings,
        })
    }

    /// Changes the retry budget.
    pub fn set_retry_settings(&self, retry: RawRetry) {
        self.retries().set_budget(retry_budget(retry));
    }

    /// Time since the start, including time during which the machine was suspended.
    pub fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Time during which the machine has been suspended since the start.
    pub fn suspended_time(&self) -> Duration {
        self.clock.suspended()
    }

    /// Rereads the store if the machine was suspended since the last call: the responses to open
    /// watches may have been lost during the suspension.
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

    /// Current routes; `None` before the first plan.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.plan.routes()
    }

    /// Locks the server table.
    pub fn servers(&self) -> MutexGuard<'_, ServerTable> {
        lock(&self.servers)
    }

    /// Locks the wanted weight versions.
    pub fn weights(&self) -> MutexGuard<'_, WeightDeadlines> {
        lock(&self.weights)
    }

    /// Locks the retry budgets.
    pub fn retries(&self) -> MutexGuard<'_, RetryShare> {
        lock(&self.retries)
    }

    /// Locks the load shedder.
    pub fn shedder(&self) -> MutexGuard<'_, LoadShedder> {
        lock(&self.shedder)
    }

    /// Locks the recent request sizes.
    pub fn sizes(&self) -> MutexGuard<'_, SizeRanks> {
        lock(&self.sizes)
    }

    /// Locks the unknown headers seen in responses of servers.
    pub fn unknown_headers(&self) -> MutexGuard<'_, UnknownNames> {
        lock(&self.unknown_headers)
    }

    /// Locks the table of other processes.
    pub fn peers(&self) -> MutexGuard<'_, PeerTable> {
        lock(&self.peers)
    }

    /// Number of live entries, including this one.
    pub fn entries(&self) -> usize {
        self.peers().entries(PeerKind::Entry)
    }

    /// Whether shutdown has been requested.
    pub fn is_stopping(&self) -> bool {
        self.stop.is_begun()
    }

    /// Whether requests can be served.
    pub fn is_ready(&self) -> bool {
        let knows_servers = self.servers_known.load(Ordering::Relaxed)
            || self.some_servers_known.load(Ordering::Relaxed);
        !self.is_stopping() && knows_servers && self.routes().is_some()
    }

    /// Version of the current plan.
    pub fn plan_version(&self) -> PlanVersion {
        self.plan.version()
    }

    /// Applies a plan if it is newer than the current one.
    pub fn apply_plan(&self, plan: TrafficPlan, source: &str) {
        let version = plan.version;
        let limited = plan.services.iter().filter(|(_, service)| service.cold_per_second > 0.0);
        let limited = limited.map(|(name, service)| {
            let milli = (service.cold_per_second * 1000.0) as u64;
            (name.as_str().into(), RequestRate::from_milli(milli))
        });
        let rates = ColdRates(limited.collect());
        if self.plan.apply(self.now(), plan, source) {
            self.metrics.set_revision(version.0);
            self.servers().set_cold_rates(self.now(), rates);
            self.apply_urgencies();
            self.waiting.recheck_all();
        }
    }

    /// Records that a peer has the plan of `version`. A newer plan is fetched from a peer; if this
    /// entry stays behind nevertheless, its watch has missed a change and the plan is reread from
    /// the store.
    pub fn record_peer_plan_version(&self, version: PlanVersion) {
        let is_reader = self.peers().is_plan_reader();
        if self.plan.record_peer_version(self.now(), version, is_reader) && !self.awaits_turn() {
            self.plan_refresh.notify_one();
        }
    }

    /// An entry that has a newer plan and should be asked for it now.
    pub fn newer_plan_holder(&self) -> Option<SocketAddr> {
        let (now, version) = (self.now(), self.plan_version());
        let peers = self.peers();
        let view = PlanHolders {
            reads_store: peers.is_plan_reader() && self.plan.reads_store(now),
            near: peers.newer_plans(version, true),
            far: peers.newer_plans(version, false),
            before: peers.entries_before(),
        };
        drop(peers);
        self.plan.holder(now, &view)
    }

    /// Applies a plan update from the store.
    pub fn apply_plan_update(&self, update: FactUpdate) {
        self.record_field_issues(FactTopic::Plan, &update);
        self.record_era(update.read_at(), "store");
        let may_lack_plan = update.is_partial();
        let facts = readable_facts(update);
        let is_confirmed = !may_lack_plan || !facts.is_empty();
        for fact in facts {
            if let Fact::Plan(plan) = fact {
                self.apply_plan(*plan, "store");
            }
        }
        if is_confirmed {
            self.plan.confirm(self.now());
        }
    }

    /// Applies an update of the wanted weight versions from the store.
    pub fn apply_weights_update(&self, update: FactUpdate) {
        let now = self.now();
        self.record_era(update.read_at(), "store");
        for fact in readable_facts(update) {
            let Fact::Weights(wanted) = fact else { continue };
            if self.weights().learn(now, &wanted.model, wanted.version) {
                let fields = json!({ "model": wanted.model, "version": wanted.version });
                decisions::info("weights", "version_wanted", fields);
            }
        }
    }

    /// Merges the wanted weight versions that a peer knows of, since this entry's watch may have
    /// missed some.
    pub fn merge_wanted_versions(&self, wanted: &[WantedNotice]) {
        let now = self.now();
        for one in wanted {
            if self.weights().learn_with_age(now, &one.model, one.version, one.age) {
                let age_ms = one.age.as_millis() as u64;
                let fields =
                    json!({ "model": one.model, "version": one.version, "age_ms": age_ms });
                decisions::info("weights", "version_wanted", fields);
            }
        }
    }

    /// The wanted weight versions that this entry knows of, for peers.
    pub fn wanted_notices(&self) -> Vec<WantedNotice> {
        let time = self.settings.direct.weights_time;
        self.weights().notices(self.now(), time)
    }

    /// Rereads everything from the store, because this entry was disconnected or suspended and
    /// responses to its watches may have been lost.
    pub fn reread_store(&self) {
        decisions::info("store", "read_anew", json!({}));
        self.plan_refresh.notify_one();
        self.servers_refresh.notify_one();
        self.weights_refresh.notify_one();
        self.evacuations_refresh.notify_one();
    }

    /// Freshness of the list of servers.
    pub fn servers_age(&self) -> FactAge<StoreRevision> {
        *lock(&self.servers_age)
    }

    /// Updates the metrics of how old the plan and the list of servers are.
    pub fn update_age_metrics(&self) {
        let now = self.now();
        let ages = [("plan", self.plan.age().age(now)), ("servers", self.servers_age().age(now))];
        for (topic, age) in ages {
            if let Some(age) = age {
                self.metrics.set_fact_age(topic, age.as_millis() as u64);
            }
        }
        let refused = self.quarantine.refused(now);
        self.metrics.set_quarantined("request", refused.requests.len());
        self.metrics.set_quarantined("part", refused.parts.len());
    }

    /// The oldest version of a model's weights on which a request may start now.
    pub fn min_version(&self, model: Option<&str>) -> Option<WeightVersion> {
        let model: ModelName = model?.parse().ok()?;
        let time = self.settings.direct.weights_time;
        self.weights().min_version(self.now(), &model, time)
    }

    /// Time that a server with `version` may spend on a request that is sent now.
    pub fn work_time(
        &self,
        model: Option<&str>,
        version: Option<WeightVersion>,
    ) -> Option<Duration> {
        let model: ModelName = model?.parse().ok()?;
        let time = self.settings.direct.weights_time;
        self.weights().work_time(self.now(), &model, version?, time)
    }

    /// This entry's requests at servers that are about to change, for their agents.
    pub fn drains(&self) -> Vec<DrainNotice> {
        let services = self.servers().changing_services();
        let limits = services.into_iter().filter_map(|service| {
            let limits = self.continuation_limits(&service)?;
            Some((service, limits))
        });
        let limits: BTreeMap<Arc<str>, ContinuationLimits> = limits.collect();
        self.servers().drains(self.now(), &limits)
    }

    /// Limits on continuing the streams of a service; `None` for services without engines.
    fn continuation_limits(&self, service: &str) -> Option<ContinuationLimits> {
        let routes = self.routes()?;
        let engine = routes.plan().services.get(service)?.engine.as_ref()?;
        let (now, time) = (self.now(), self.settings.direct.weights_time);
        let models = engine.models.iter();
        let least = models.filter_map(|model| self.weights().min_version(now, model, time)).max();
        let entries = self.entries();
        let retries = self.retries().remaining(now, service, entries);
        let within_region = routes.plan().restricts_regions(service);
        Some(ContinuationLimits {
            layers: engine.layers,
            min_version: least,
            retries,
            within_region,
        })
    }

    /// Applies the loads reported by other entries. Returns whether the notices of agents must be
    /// applied again, because peers are gone or servers were added.
    pub fn refresh_loads(&self) -> bool {
        let (loads, gone, silent, entries, live) = {
            let mut peers = self.peers();
            let gone = peers.expire(self.now());
            let entries = peers.entries(PeerKind::Entry);
            let live = self.entry_peers(&peers);
            (peers.loads(), gone, peers.unreachable_domains(self.now()), entries, live)
        };
        let mut servers = self.servers();
        servers.set_other_loads(loads);
        servers.set_entries(entries);
        servers.release_carried(self.now());
        servers.assign_limit_shares(self.now(), self.settings.node.control.into(), &live);
        self.metrics.set_rate_limits(servers.rate_limits());
        self.metrics.set_cold_servers(servers.cold_servers(self.now()));
        let cold_events = servers.take_cold_events(self.now());
        let mut known = lock(&self.known_entries);
        if known.0 != entries {
            *known = (entries, self.now());
        }
        drop(known);
        let names: Vec<String> = silent.iter().map(DomainKey::to_string).collect();
        let changed = servers.set_unreachable_domains(silent);
        drop(servers);
        self.waiting.wake();
        cold_events.iter().for_each(log_cold_event);
        if changed {
            decisions::info("peers", "domains_out_of_reach", json!({ "domains": names }));
        }
        self.update_speeds();
        for peer in &gone {
            decisions::info("peers", "lost", json!({ "peer": peer }));
        }
        self.notices_stale.swap(false, Ordering::Relaxed) || !gone.is_empty()
    }

    /// Applies the changed loads of other entries at `servers`.
    pub fn refresh_loads_of(&self, servers: &[u32]) {
        if servers.is_empty() {
            return;
        }
        let peers = self.peers();
        let loads: Vec<_> = servers.iter().map(|key| (*key, peers.load_of(*key))).collect();
        drop(peers);
        let mut table = self.servers();
        loads.into_iter().for_each(|(key, load)| table.set_other_load(key, load));
        drop(table);
        self.waiting.wake();
    }

    /// Triggers a notice about changed loads at busy servers to the other entries of the failure
    /// domain.
    pub fn notify_load_changes(&self) {
        if self.servers().has_urgent_load_changes() {
            self.loads_changed.notify_one();
        }
    }

    /// Applies the notices of live agents to their servers.
    pub fn refresh_notices(&self) {
        let notices: HashMap<SocketAddr, _> = {
            let peers = self.peers();
            let told = peers.living().filter_map(|peer| peer.notice.server.clone());
            told.map(|notice| (notice.address, notice)).collect()
        };
        self.servers().set_notices(&notices);
        self.waiting.wake();
    }
}

fn log_cold_event(event: &ColdEvent) {
    let ColdEvent { server, life, began, view } = event;
    let name = if *began { "cold_began" } else { "cold_ended" };
    let fields = json!({
        "server": server, "life": life.to_string(), "source": view.source.as_str(), "sent": view.sent,
        "remaining_ms": view.remaining.as_millis() as u64,
        "known_ms": view.known_for.as_millis() as u64,
    });
    decisions::info("servers", name, fields);
}
