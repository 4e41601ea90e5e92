//! The agent that runs next to a server: it reports the server's state, serves pieces to other
//! agents, and runs the stager that brings the server to the target version of its weights.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, atomic::AtomicBool},
    time::Duration,
};

use error_stack::{Report, ResultExt};
use headlatch_core::{
    burst::PeerKey,
    direct::{
        peers::{DomainKey, PeerTable, ServerNotice, WantedNotice},
        plan_readers::fallback_read_delay,
        server_speed::PacePublisher,
        weight_deadline::{WantedVersion, WeightDeadlines},
    },
    membership::NodeKind,
    time::Moment,
};
use headlatch_http::{HttpLimits, HttpServer, StopHandle, pace::LinkPacer};
use headlatch_outside::{
    engine::{EngineStage, PieceOrigin, StageReport},
    facts::{Fact, FactStore, FactTopic},
};
use headlatch_types::{
    direct_settings::DirectAgentSettings,
    id::ModelName,
    quantity::{ByteRate, ByteSize},
    store::StoreEra,
    traffic::WeightVersion,
};
use headlatch_wire::node_server::NodeServer;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::TcpListenerStream;
use volo_http::server::Router;

use super::{
    agent_notices,
    agent_plan::AgentPlan,
    datagram::DatagramCarrier,
    facts::{FactUpdate, ReadGate, ReaderRole, follow, readable_facts},
    stager::Stager,
    transfer::{TransferManager, TransferResources},
    transfer_peers::agent_peer_key,
    unknown_names::{FieldCounter, FieldSource},
};
use crate::{
    agent::{bind_control, chunk_cache::ChunkCache, registry::SwarmRegistry},
    decisions,
    error::DaemonError,
    metrics::NodeMetrics,
    node::{
        NodeContext,
        admin::{self, ReadyFlag},
        service::{MAX_MESSAGE_BYTES, NodeService, SwarmHost},
    },
    platform::HttpStore,
    supervisor::supervise,
    timer::SharedTimer,
    trace::SpanFactory,
};

/// Memory for pieces of three versions: the one that is served, the one that is staged, and the
/// next one.
const PIECE_CACHE_SIZE: ByteSize = ByteSize::from_mib(24);

/// Rate limit for receiving pieces, in percent of the link rate. The link itself already limits the
/// rate; a second limit near it would only add delay.
const PIECE_RATE_PERCENT: u64 = 300;

/// External services that an agent uses.
#[derive(Debug, Clone)]
pub struct AgentDependencies {
    /// Store of facts.
    pub store: Arc<dyn FactStore>,
    /// Stage of the server.
    pub engine: Arc<dyn EngineStage>,
    /// Origin of pieces.
    pub origin: Arc<dyn PieceOrigin>,
}

/// State of an agent, shared between its tasks.
#[derive(Debug)]
pub(super) struct AgentState {
    /// Settings.
    pub(super) settings: DirectAgentSettings,
    /// Context of this node.
    pub(super) node: Arc<NodeContext>,
    /// Known entries and agents.
    pub(super) peers: Mutex<PeerTable>,
    /// Target versions with the times since when they are known.
    wanted: Mutex<WeightDeadlines>,
    /// State of the server as published in notices.
    pub(super) notice: Mutex<ServerNotice>,
    /// Decides which paces of the server are published.
    pace: Mutex<PacePublisher>,
    /// Wakes the notice task when `notice` has changed.
    pub(super) notice_changed: tokio::sync::Notify,
    /// Set while the server is drained for a version switch. Notices to entries are repeated
    /// meanwhile.
    pub(super) draining: AtomicBool,
    /// Triggers a new read of the target versions from the store.
    pub(super) weights_refresh: Arc<tokio::sync::Notify>,
    /// Cached keys of agents' seats. Each key costs string formatting and a hash, and every poll
    /// needs all of them.
    seat_keys: Mutex<HashMap<SocketAddr, PeerKey>>,
    /// Number of known agents, and the time since when it has not changed.
    agent_count: Mutex<(usize, Moment)>,
    /// Wakes the stager when the target version changes.
    pub(super) wanted_changed: tokio::sync::Notify,
    /// Unknown fields seen in reports of the server.
    field_counter: FieldCounter,
}

/// Locks a mutex. A mutex poisoned by a panic is used as it is.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|broken| broken.into_inner())
}

/// A running agent.
#[derive(Debug)]
pub struct DirectAgent {
    state: Arc<AgentState>,
    stop: StopHandle,
    tasks: Vec<JoinHandle<()>>,
}

impl DirectAgent {
    /// Starts an agent.
    pub async fn start(
        settings: DirectAgentSettings,
        timer: SharedTimer,
        dependencies: AgentDependencies,
    ) -> Result<Self, Report<DaemonError>> {
        let (listener, socket) = bind_control(settings.node.control).await?;
        let failure = || DaemonError::Bind(settings.node.admin);
        let admin_server = HttpServer::bind(settings.node.admin, HttpLimits::admin())
            .await
            .change_context_lazy(failure)?;
        let control = settings.node.control;
        let unused_store = Arc::new(HttpStore::new(settings.node.platform.clone()));
        let spans = SpanFactory::new("headlatch-agent", settings.node.traces.as_ref())?;
        let node_settings = settings.node.clone();
        let node =
            NodeContext::new(node_settings, NodeKind::Agent, control, timer, unused_store, spans);
        let mut peers = PeerTable::new(control, DomainKey::from(&settings.node.domain));
        for seed in &settings.direct.seeds {
            peers.add_candidate(Moment::ZERO, *seed);
        }
        peers.set_mesh_limit(settings.direct.mesh_limit);
        let notice = ServerNotice {
            address: settings.server,
            whole: None,
            changing: false,
            staged: None,
            sharing: None,
            zone: settings.node.domain.clone(),
            service: settings.service.clone().unwrap_or_default(),
            pace: None,
        };
        let fields = json!({
            "node": settings.node.box_id, "zone": settings.node.domain, "control": control,
            "server": settings.server,
        });
        let rate = settings.link.rate;
        let state = Arc::new(AgentState {
            node: node.clone(),
            peers: Mutex::new(peers),
            wanted: Mutex::default(),
            notice: Mutex::new(notice),
            pace: Mutex::default(),
            notice_changed: tokio::sync::Notify::new(),
            draining: AtomicBool::new(false),
            weights_refresh: Arc::default(),
            seat_keys: Mutex::default(),
            agent_count: Mutex::default(),
            wanted_changed: tokio::sync::Notify::new(),
            field_counter: FieldCounter::default(),
            settings,
        });
        let vault = Arc::new(ChunkCache::new(PIECE_CACHE_SIZE));
        let down =
            ByteRate::from_bytes_per_second(rate.bytes_per_second() * PIECE_RATE_PERCENT / 100);
        let (up, down) = (Arc::new(LinkPacer::new(rate)), Arc::new(LinkPacer::new(down)));
        let hub = Arc::new(SwarmRegistry::new(vault.clone(), up, node.metrics.clone()));
        let (stop, signal) = StopHandle::new();
        let socket = Arc::new(socket);
        let carrier = Arc::new(DatagramCarrier(socket.clone()));
        let resources = TransferResources { vault, down, carrier };
        let transfers =
            TransferManager::new(state.clone(), dependencies.clone(), hub.clone(), resources);
        let plan = Arc::new(AgentPlan::default());
        let stager = Stager::new(state.clone(), dependencies.clone(), plan.clone(), transfers);
        let (weights_state, weights_refresh) = (state.clone(), state.weights_refresh.clone());
        let gate = WeightsReadGate { state: state.clone() };
        let gate = Arc::new(gate);
        let (plan_state, notices_state) = (state.clone(), state.clone());
        let (plan_store, store) = (dependencies.store.clone(), dependencies.store);
        let router = admin::add_routes(Router::new(), &node, &ReadyFlag::default());
        let tasks = vec![
            tokio::spawn(stager.run()),
            supervise("plan", move || plan.clone().run(plan_state.clone(), plan_store.clone())),
            tokio::spawn(serve_peers(node, hub.clone(), listener)),
            supervise("notices", move || {
                agent_notices::run(notices_state.clone(), hub.clone(), socket.clone())
            }),
            supervise("weights", move || {
                let weights_state = weights_state.clone();
                let (store, refresh, gate) = (store.clone(), weights_refresh.clone(), gate.clone());
                follow(store, FactTopic::Weights, refresh, gate, move |news| {
                    news.count_odd_entries(FactTopic::Weights, &weights_state.node.metrics);
                    weights_state.record_weights(news);
                })
            }),
            tokio::spawn(admin_server.serve(router, signal)),
        ];
        decisions::info("life", "started", fields);
        Ok(Self { state, stop, tasks })
    }

    /// Its metrics.
    pub fn metrics(&self) -> &NodeMetrics {
        &self.state.node.metrics
    }

    /// Stops at once, without draining: an agent handles no requests that a caller waits for.
    pub fn leave(self) {
        let whole = lock(&self.state.notice).whole;
        decisions::info("life", "stopped", json!({ "whole": whole }));
        self.stop.stop();
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn serve_peers(
    node: Arc<NodeContext>,
    hub: Arc<SwarmRegistry>,
    listener: tokio::net::TcpListener,
) {
    let host: Arc<dyn SwarmHost> = hub;
    let service = NodeServer::new(NodeService::new(node, Some(host)));
    let service = service.max_decoding_message_size(MAX_MESSAGE_BYTES);
    let served = crate::node::service::server()
        .add_service(service)
        .serve_with_incoming(TcpListenerStream::new(listener))
        .await;
    if let Err(error) = served {
        log::error!("agent: control listener failed: {error}");
    }
}

/// On the first start of the whole system, time for which the first agents of a failure domain wait
/// for a notice of an entry that reads the store, before they read it themselves. Other agents wait
/// longer, staggered by rank.
const FIRST_START_READ_DELAY: Duration = Duration::from_millis(1500);

/// The same for an agent that joins a running system. It is shorter since an empty server waits for
/// its weights.
const RESTART_READ_DELAY: Duration = Duration::from_millis(400);

/// Allows reading target versions from the store only while no entry of the failure domain is known
/// to read it. Entries send agents the target versions, and every call to the store is charged for.
#[derive(Debug)]
struct WeightsReadGate {
    state: Arc<AgentState>,
}

impl ReadGate for WeightsReadGate {
    fn is_open(&self) -> bool {
        let state = &self.state;
        let first = match state.settings.direct.first_start {
            true => FIRST_START_READ_DELAY,
            false => RESTART_READ_DELAY,
        };
        let peers = lock(&state.peers);
        let earliest_read = Moment::ZERO + fallback_read_delay(first, peers.agents_before());
        state.node.now() >= earliest_read && !peers.has_near_reader()
    }

    fn note(&self, _answered: bool) {}

    /// Agents only stand by, since entries of all failure domains send them the target versions.
    fn role(&self) -> ReaderRole {
        ReaderRole::Standby
    }

    fn newest_era(&self) -> StoreEra {
        lock(&self.state.peers).newest_era()
    }
}

impl AgentState {
    /// Counts the unknown fields of a report of the server and logs each path once.
    pub(super) fn record_unknown_fields(&self, report: &StageReport) {
        let source = FieldSource {
            part: "engine",
            kind: "report",
            name: self.settings.service.as_deref().unwrap_or_default(),
        };
        self.field_counter.record_unknown(&self.node.metrics, source, &report.unknown_fields);
    }

    /// Returns the target versions of a model, oldest first.
    pub(super) fn wanted(&self, model: &ModelName) -> Vec<WantedVersion> {
        lock(&self.wanted).versions(self.node.now(), model)
    }

    fn record_weights(&self, news: FactUpdate) {
        for fact in readable_facts(news) {
            if let Fact::Weights(weights) = fact {
                self.record_wanted(&weights.model, weights.version, Duration::ZERO);
            }
        }
    }

    /// Records target versions reported by a peer, whose watch may have received a change that this
    /// agent's watch missed.
    pub(super) fn record_wanted_notices(&self, wanted: &[WantedNotice]) {
        for notice in wanted {
            self.record_wanted(&notice.model, notice.version, notice.age);
        }
    }

    /// Records a version that became a target `age` ago.
    pub(super) fn record_wanted(&self, model: &ModelName, version: WeightVersion, age: Duration) {
        let mut wanted = lock(&self.wanted);
        let before = wanted.newest(model);
        if !wanted.learn_with_age(self.node.now(), model, version, age) {
            return;
        }
        drop(wanted);
        let age_ms = age.as_millis() as u64;
        let fields =
            json!({ "model": model, "version": version, "before": before, "age_ms": age_ms });
        decisions::info("weights", "version_wanted", fields);
        self.wanted_changed.notify_one();
    }

    /// Returns the known target versions for notices to peers.
    pub(super) fn wanted_notices(&self) -> Vec<WantedNotice> {
        let time = self.settings.direct.weights_time;
        lock(&self.wanted).notices(self.node.now(), time)
    }

    /// Records the number of known agents and returns the time for which it has not changed.
    pub(super) fn steady(&self, count: usize) -> Duration {
        let now = self.node.now();
        let mut known = lock(&self.agent_count);
        if known.0 != count {
            *known = (count, now);
        }
        now.since(known.1)
    }

    /// Returns the key of the seat of the agent at `control`.
    pub(super) fn seat_key(&self, control: SocketAddr) -> PeerKey {
        *lock(&self.seat_keys).entry(control).or_insert_with(|| agent_peer_key(control))
    }

    /// Publishes the pace in a report of the server, if the entries use it; `restarted` tells that the
    /// report is the first one of a new server process.
    pub(super) fn record_pace(&self, report: &StageReport, restarted: bool) {
        if !self.settings.direct.server_pace {
            return;
        }
        let mut paces = lock(&self.pace);
        if restarted {
            paces.forget();
        }
        let pace = paces.record(self.node.now(), report.pace);
        drop(paces);
        self.update_notice(|notice| notice.pace = pace);
    }

    /// Withdraws the published pace if the server has not been heard for a while.
    pub(super) fn expire_pace(&self) {
        let pace = lock(&self.pace).current(self.node.now());
        self.update_notice(|notice| notice.pace = pace);
    }

    /// Changes the published state of the server, and sends notices at once if it differs.
    pub(super) fn update_notice(&self, change: impl FnOnce(&mut ServerNotice)) {
        let mut notice = lock(&self.notice);
        let before = notice.clone();
        change(&mut notice);
        let changed = *notice != before;
        drop(notice);
        if changed {
            self.notice_changed.notify_one();
        }
    }
}
