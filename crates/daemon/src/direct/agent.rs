//! The process beside a server: it tells of the server, hands on pieces, and has the server brought
//! to the wanted weights.

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
        weight_deadline::{WantedVersion, WeightDeadlines},
    },
    membership::NodeKind,
    time::Moment,
};
use headlatch_http::{HttpLimits, HttpServer, StopHandle, pace::LinkPacer};
use headlatch_outside::{
    engine::{EngineStage, PieceOrigin},
    facts::{Fact, FactStore, FactTopic},
};
use headlatch_types::{
    direct_settings::DirectAgentSettings,
    id::ModelName,
    quantity::{ByteRate, ByteSize},
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
    transfer::{TransferDesk, TransferLinks},
    transfer_peers::agent_peer_key,
};
use crate::{
    agent::{bind_control, hub::SwarmHub, vault::ChunkVault},
    decisions,
    error::DaemonError,
    node::{
        NodeContext,
        admin::{self, ReadyFlag},
        service::{MOST_MESSAGE, NodeService, SwarmHost},
    },
    platform::HttpStore,
    supervisor::keep_running,
    timer::SharedTimer,
    trace::SpanMaker,
};

/// Memory for pieces: a version that is served, one that is staged and one that comes next.
const PIECE_MEMORY: ByteSize = ByteSize::from_mib(24);

/// Rate at which pieces are taken from the link, relative to the link's, in percent: the link paces
/// them by itself, and what is waited for here as well comes late.
const DOWN_PERCENT: u64 = 300;

/// What an agent is given to work with.
#[derive(Debug, Clone)]
pub struct AgentOutside {
    /// The store of facts.
    pub store: Arc<dyn FactStore>,
    /// The server's stage.
    pub engine: Arc<dyn EngineStage>,
    /// The origin of pieces.
    pub origin: Arc<dyn PieceOrigin>,
}

/// What an agent believes, shared with its notices.
#[derive(Debug)]
pub(super) struct AgentState {
    /// Settings.
    pub(super) settings: DirectAgentSettings,
    /// This node.
    pub(super) node: Arc<NodeContext>,
    /// The other processes.
    pub(super) peers: Mutex<PeerTable>,
    /// Wanted versions.
    wanted: Mutex<WeightDeadlines>,
    /// What is told of the server.
    pub(super) notice: Mutex<ServerNotice>,
    /// What is told of the server has changed.
    pub(super) news: tokio::sync::Notify,
    /// The server is about to change: entries must hear of it.
    pub(super) draining: AtomicBool,
    /// Has the wanted weights read anew.
    pub(super) weights_nudge: Arc<tokio::sync::Notify>,
    /// Keys of agents' seats: to work one out takes a text and a hash, and every look needs all.
    seat_keys: Mutex<HashMap<SocketAddr, PeerKey>>,
    /// Agents known, and since when that many have been.
    known_agents: Mutex<(usize, Moment)>,
    /// Wakes the stager when another version is wanted.
    pub(super) wanted_news: tokio::sync::Notify,
}

/// Locks a mutex; one that a panic has broken is used as it is.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|broken| broken.into_inner())
}

/// An agent that runs.
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
        outside: AgentOutside,
    ) -> Result<Self, Report<DaemonError>> {
        let (listener, socket) = bind_control(settings.node.control).await?;
        let failure = || DaemonError::Bind(settings.node.admin);
        let admin_server = HttpServer::bind(settings.node.admin, HttpLimits::default())
            .await
            .change_context_lazy(failure)?;
        let control = settings.node.control;
        let unused_store = Arc::new(HttpStore::new(settings.node.platform.clone()));
        let spans = SpanMaker::new("headlatch-agent", settings.node.traces.as_ref())?;
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
            news: tokio::sync::Notify::new(),
            draining: AtomicBool::new(false),
            weights_nudge: Arc::default(),
            seat_keys: Mutex::default(),
            known_agents: Mutex::default(),
            wanted_news: tokio::sync::Notify::new(),
            settings,
        });
        let vault = Arc::new(ChunkVault::new(PIECE_MEMORY));
        let down = ByteRate::from_bytes_per_second(rate.bytes_per_second() * DOWN_PERCENT / 100);
        let (up, down) = (Arc::new(LinkPacer::new(rate)), Arc::new(LinkPacer::new(down)));
        let hub = Arc::new(SwarmHub::new(vault.clone(), up, node.metrics.clone()));
        let (stop, signal) = StopHandle::new();
        let socket = Arc::new(socket);
        let carrier = Arc::new(DatagramCarrier(socket.clone()));
        let links = TransferLinks { vault, down, carrier };
        let transfers = TransferDesk::new(state.clone(), outside.clone(), hub.clone(), links);
        let plan = Arc::new(AgentPlan::default());
        let stager = Stager::new(state.clone(), outside.clone(), plan.clone(), transfers);
        let (watched, weights_nudge) = (state.clone(), state.weights_nudge.clone());
        let gate = WantedGate { state: state.clone() };
        let gate = Arc::new(gate);
        let (planned, told) = (state.clone(), state.clone());
        let (plan_store, store) = (outside.store.clone(), outside.store);
        let router = admin::add_routes(Router::new(), &node, &ReadyFlag::default());
        let tasks = vec![
            tokio::spawn(stager.run()),
            keep_running("plan", move || plan.clone().run(planned.clone(), plan_store.clone())),
            tokio::spawn(serve_peers(node, hub.clone(), listener)),
            keep_running("notices", move || {
                agent_notices::run(told.clone(), hub.clone(), socket.clone())
            }),
            keep_running("weights", move || {
                let watched = watched.clone();
                let (store, nudge, gate) = (store.clone(), weights_nudge.clone(), gate.clone());
                follow(store, FactTopic::Weights, nudge, gate, move |news| {
                    watched.hear_weights(news);
                })
            }),
            tokio::spawn(admin_server.serve(router, signal)),
        ];
        decisions::note("life", "started", fields);
        Ok(Self { state, stop, tasks })
    }

    /// Stops at once: nothing that callers wait for runs here.
    pub fn leave(self) {
        let whole = lock(&self.state.notice).whole;
        decisions::note("life", "stopped", json!({ "whole": whole }));
        self.stop.stop();
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

async fn serve_peers(
    node: Arc<NodeContext>,
    hub: Arc<SwarmHub>,
    listener: tokio::net::TcpListener,
) {
    let host: Arc<dyn SwarmHost> = hub;
    let service = NodeServer::new(NodeService::new(node, Some(host)));
    let service = service.max_decoding_message_size(MOST_MESSAGE);
    let served = crate::node::service::server()
        .add_service(service)
        .serve_with_incoming(TcpListenerStream::new(listener))
        .await;
    if let Err(error) = served {
        log::error!("agent: the control listener failed, {error}");
    }
}

/// Time after a first start of the whole system in which the first agents of a failure domain wait to
/// hear of an entry that reads the store; the others follow in turns.
const SETTLING_TIME: Duration = Duration::from_millis(1500);

/// The same after a start beside others, where an empty server waits for its weights.
const RESTART_SETTLING_TIME: Duration = Duration::from_millis(400);

/// Opens where no entry of the failure domain is known that reads the store: entries tell agents which
/// versions are wanted, and every call is priced.
#[derive(Debug)]
struct WantedGate {
    state: Arc<AgentState>,
}

impl ReadGate for WantedGate {
    fn is_open(&self) -> bool {
        let state = &self.state;
        let first = match state.settings.direct.first_start {
            true => SETTLING_TIME,
            false => RESTART_SETTLING_TIME,
        };
        let peers = lock(&state.peers);
        let settled = Moment::ZERO + fallback_read_delay(first, peers.agents_before());
        state.node.now() >= settled && !peers.has_near_reader()
    }

    fn note(&self, _answered: bool) {}

    /// Entries of all failure domains tell agents which versions are wanted.
    fn role(&self) -> ReaderRole {
        ReaderRole::Standby
    }
}

impl AgentState {
    /// Wanted versions of a model, oldest first.
    pub(super) fn wanted(&self, model: &ModelName) -> Vec<WantedVersion> {
        lock(&self.wanted).versions(self.node.now(), model)
    }

    fn hear_weights(&self, news: FactUpdate) {
        for fact in readable_facts(news) {
            if let Fact::Weights(weights) = fact {
                self.learn_wanted(&weights.model, weights.version, Duration::ZERO);
            }
        }
    }

    /// Takes in which versions a peer knows to be wanted: its watch may have heard what this
    /// agent's has missed.
    pub(super) fn hear_wanted(&self, wanted: &[WantedNotice]) {
        for one in wanted {
            self.learn_wanted(&one.model, one.version, one.age);
        }
    }

    /// Takes in a version that has been wanted for `age`.
    fn learn_wanted(&self, model: &ModelName, version: WeightVersion, age: Duration) {
        let mut wanted = lock(&self.wanted);
        let before = wanted.newest(model);
        if !wanted.learn_with_age(self.node.now(), model, version, age) {
            return;
        }
        drop(wanted);
        let age_ms = age.as_millis() as u64;
        let fields =
            json!({ "model": model, "version": version, "before": before, "age_ms": age_ms });
        decisions::note("weights", "version_wanted", fields);
        self.wanted_news.notify_one();
    }

    /// The versions that this agent knows to be wanted, for others.
    pub(super) fn wanted_notices(&self) -> Vec<WantedNotice> {
        let time = self.settings.direct.weights_time;
        lock(&self.wanted).notices(self.node.now(), time)
    }

    /// Takes in how many agents are known; the time for which that has not changed.
    pub(super) fn steady(&self, count: usize) -> Duration {
        let now = self.node.now();
        let mut known = lock(&self.known_agents);
        if known.0 != count {
            *known = (count, now);
        }
        now.since(known.1)
    }

    /// The key of the seat of the agent at `control`.
    pub(super) fn seat_key(&self, control: SocketAddr) -> PeerKey {
        *lock(&self.seat_keys).entry(control).or_insert_with(|| agent_peer_key(control))
    }

    /// Changes what is told of the server, and tells it at once if that is news.
    pub(super) fn tell(&self, change: impl FnOnce(&mut ServerNotice)) {
        let mut notice = lock(&self.notice);
        let before = notice.clone();
        change(&mut notice);
        let changed = *notice != before;
        drop(notice);
        if changed {
            self.news.notify_one();
        }
    }
}
