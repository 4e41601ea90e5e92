//! An agent that brings the server on its machine to the wanted weights.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use headlatch_core::{
    burst::{DrawOrder, PeerSeat, SwarmPace, SwarmSettings},
    direct::{
        peers::{PeerKind, PeerTable, ServerNotice},
        staging::{
            GivenOrder, StageState, StageStep, StageView, TurnView, VersionChoice, has_turn,
            next_step, next_version,
        },
    },
    hash::ranking,
    membership::NodeKind,
    time::Moment,
};
use headlatch_http::{HttpLimits, HttpServer, StopHandle, pace::LinkPacer};
use headlatch_outside::{
    engine::{
        EngineStage, OrderAnswer, OrderSequence, PieceManifest, PieceOrigin, RunningRequests,
        StageReport, StartOrder,
    },
    facts::{Fact, FactStore, FactTopic, Freshness},
};
use headlatch_types::{
    ChunkIndex, Digest, Manifest,
    digest::key_of,
    direct_settings::DirectAgentSettings,
    fleet::BurstPreference,
    id::{DomainId, ModelName},
    quantity::{ByteRate, ByteSize},
    traffic::{EngineFigures, OriginPlan, TrafficPlan, WeightVersion},
};
use headlatch_wire::node_server::NodeServer;
use serde_json::json;
use tokio::{net::UdpSocket, task::JoinHandle};
use tokio_stream::wrappers::TcpListenerStream;
use volo_http::server::Router;

use super::{
    facts::{FactNews, follow, pause_after, set_facts},
    notices::{self, NoticeBody, NoticeWriter},
    weights::{PieceReader, burst_manifest},
};
use crate::{
    agent::{
        bind_control,
        hub::SwarmHub,
        swarm::{self, DriverInput, SwarmHandle, SwarmTools, peer_key},
        vault::ChunkVault,
    },
    decisions,
    error::DaemonError,
    node::{
        NodeContext,
        admin::{self, ReadyFlag},
        service::{MOST_MESSAGE, NodeService, SwarmHost},
    },
    platform::HttpStore,
    timer::SharedTimer,
    trace::SpanMaker,
};

/// How often the agent looks while there is something to do.
const BUSY_LOOK: Duration = Duration::from_millis(60);

/// How often it looks at a server that holds what is wanted.
const QUIET_LOOK: Duration = Duration::from_millis(400);

/// How often the progress of a transfer is written down.
const PROGRESS_PAUSE: Duration = Duration::from_millis(500);

/// Time in which entries hear that a server is about to change.
const NOTICE_TIME: Duration = Duration::from_millis(40);

/// Time in which requests may end before a change cuts them.
const DRAIN_TIME: Duration = Duration::from_millis(800);

/// Time in which requests that wait may begin before a change.
const QUEUE_TIME: Duration = Duration::from_millis(1200);

/// How often a server that drains is looked at.
const DRAIN_LOOK: Duration = Duration::from_millis(60);

/// Requests that are not waited for.
const FEW_REQUESTS: u32 = 1;

/// How often the plan is read until it names an origin.
const PLAN_PAUSE: Duration = Duration::from_millis(700);

/// Memory for pieces: two versions, as one may follow another quickly.
const PIECE_MEMORY: ByteSize = ByteSize::from_mib(24);

/// Pieces laid into the stage at one look.
const PIECES_A_LOOK: usize = 16;

/// Rate at which pieces are taken from the link, relative to the link's, in percent: the link paces
/// them by itself, and what is waited for here as well comes late.
const DOWN_PERCENT: u64 = 300;

/// Pieces looked at before a stage counts as one of another version.
const SURVEY_SAMPLE: u32 = 3;

/// Wanted versions that are remembered.
const MOST_WANTED: usize = 8;

/// Size of a copy where no manifest has been read yet.
const USUAL_COPY: ByteSize = ByteSize::from_mib(2);

/// Time that a burst takes, relative to a copy over the link, in percent.
const TRANSFER_PERCENT: u32 = 150;

/// Transfers that are kept for others after their pieces are here.
const KEPT_TRANSFERS: usize = 2;

/// Version of weights that is wanted where nobody names one.
const FIRST_VERSION: WeightVersion = WeightVersion(1);

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
struct AgentState {
    settings: DirectAgentSettings,
    node: Arc<NodeContext>,
    peers: Mutex<PeerTable>,
    /// Wanted versions with the moments at which they were learnt, oldest first.
    wanted: Mutex<HashMap<ModelName, Vec<(WeightVersion, Moment)>>>,
    notice: Mutex<ServerNotice>,
    news: tokio::sync::Notify,
    /// The server is about to change: entries must hear of it.
    draining: AtomicBool,
    /// Wakes the stager when another version is wanted.
    wanted_news: tokio::sync::Notify,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
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
        let mut peers = PeerTable::new(control);
        for seed in &settings.direct.seeds {
            peers.suggest(Moment::ZERO, *seed);
        }
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
            wanted_news: tokio::sync::Notify::new(),
            settings,
        });
        let vault = Arc::new(ChunkVault::new(PIECE_MEMORY));
        let down = ByteRate::from_bytes_per_second(rate.bytes_per_second() * DOWN_PERCENT / 100);
        let (up, down) = (Arc::new(LinkPacer::new(rate)), Arc::new(LinkPacer::new(down)));
        let hub = Arc::new(SwarmHub::new(vault.clone(), up, node.metrics.clone()));
        let (stop, signal) = StopHandle::new();
        let stager = Stager {
            state: state.clone(),
            outside: outside.clone(),
            hub: hub.clone(),
            vault,
            down,
            plan: None,
            plan_due: Moment::ZERO,
            work: None,
            order: None,
            manifest_failures: 0,
            manifest_due: Moment::ZERO,
            progress_due: Moment::ZERO,
            kept: Vec::new(),
            fence: 0,
        };
        let watched = state.clone();
        let router = admin::add_routes(Router::new(), &node, &ReadyFlag::default());
        let tasks = vec![
            tokio::spawn(stager.run()),
            tokio::spawn(serve_peers(node, hub, listener)),
            tokio::spawn(run_notices(state.clone(), socket)),
            tokio::spawn(follow(outside.store, FactTopic::Weights, Arc::default(), move |news| {
                watched.hear_weights(news);
            })),
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

async fn run_notices(state: Arc<AgentState>, socket: UdpSocket) {
    let mut writer = NoticeWriter::new(state.settings.node.control, PeerKind::Agent);
    let mut ticks = tokio::time::interval(notices::NOTICE_PAUSE);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut buffer = vec![0; notices::MOST_DATAGRAM];
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, _)) = received else { continue };
                let Some(notice) = notices::decode(&buffer[..length]) else { continue };
                lock(&state.peers).hear(state.node.now(), notice);
                continue;
            }
            () = state.news.notified() => {}
            _ = ticks.tick() => {}
        }
        let now = state.node.now();
        lock(&state.peers).expire(now);
        let server = Some(lock(&state.notice).clone());
        let repeated = state.draining.load(Ordering::Relaxed);
        let body = NoticeBody { server, repeated, ..NoticeBody::default() };
        let (bytes, targets) = writer.tick(&lock(&state.peers), body);
        for target in targets {
            // A datagram that cannot be sent is as good as lost, which is borne.
            let _ = socket.try_send_to(&bytes, target);
        }
    }
}

impl AgentState {
    fn hear_weights(&self, news: FactNews) {
        let now = self.node.now();
        for fact in set_facts(news) {
            let Fact::Weights(weights) = fact else { continue };
            let mut wanted = lock(&self.wanted);
            let versions = wanted.entry(weights.model.clone()).or_default();
            let before = versions.last().map(|(version, _)| *version);
            if before.is_some_and(|before| before >= weights.version) {
                continue;
            }
            versions.push((weights.version, now));
            if versions.len() > MOST_WANTED {
                versions.remove(0);
            }
            drop(wanted);
            let fields = json!({
                "model": weights.model, "version": weights.version, "before": before,
            });
            decisions::note("weights", "version_wanted", fields);
            self.wanted_news.notify_one();
        }
    }

    fn tell(&self, change: impl FnOnce(&mut ServerNotice)) {
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

/// The version that is being brought in.
#[derive(Debug)]
struct VersionWork {
    pieces: PieceManifest,
    manifest: Arc<Manifest>,
    swarm: SwarmHandle,
    stage: StageState,
    since: Moment,
}

/// Brings one server to the wanted weights.
struct Stager {
    state: Arc<AgentState>,
    outside: AgentOutside,
    hub: Arc<SwarmHub>,
    vault: Arc<ChunkVault>,
    down: Arc<LinkPacer>,
    plan: Option<Box<TrafficPlan>>,
    plan_due: Moment,
    work: Option<VersionWork>,
    order: Option<GivenOrder>,
    manifest_failures: u32,
    manifest_due: Moment,
    progress_due: Moment,
    /// Transfers that others may still need.
    kept: Vec<Digest>,
    fence: u64,
}

/// What is to be reached.
#[derive(Debug, Clone)]
struct Goal {
    model: ModelName,
    version: WeightVersion,
    since: Moment,
    whole: Option<WeightVersion>,
}

impl Stager {
    async fn run(mut self) {
        loop {
            let busy = self.look().await;
            let pause = if busy { BUSY_LOOK } else { QUIET_LOOK };
            let woken = self.state.wanted_news.notified();
            // Whether it was woken or time passed, it looks again.
            let _ = tokio::time::timeout(pause, woken).await;
        }
    }

    /// Looks once; true if there is something to do soon.
    async fn look(&mut self) -> bool {
        let report = match self.outside.engine.report().await {
            Ok(report) => report,
            Err(error) => {
                if lock(&self.state.notice).whole.is_some() {
                    decisions::warn("engine", "lost", json!({ "error": error.to_string() }));
                }
                self.state.tell(|notice| {
                    notice.whole = None;
                    notice.changing = false;
                });
                return true;
            }
        };
        self.read_plan().await;
        let Some(goal) = self.goal(&report) else {
            return true;
        };
        self.tell_whole(&goal, &report);
        // A server that holds what is wanted hands its pieces on to those that do not.
        self.begin_work(&goal).await;
        if goal.whole.is_some_and(|whole| whole >= goal.version) {
            self.note_done(&goal);
            return false;
        }
        self.step(&goal, &report).await;
        true
    }

    /// What the server is to hold; none as long as nobody says.
    fn goal(&self, report: &StageReport) -> Option<Goal> {
        let held = report.models.first();
        let model = held.map(|held| held.model.clone()).or_else(|| self.planned_model())?;
        let layers = self.layers();
        let whole = held.and_then(|held| held.whole_version(layers));
        // The version that the server names may be newer than any that was heard of.
        let named = held.map_or(FIRST_VERSION, |held| held.version);
        let (version, since) = self.next_version(&model, whole).unwrap_or((named, Moment::ZERO));
        Some(Goal { model, version, since, whole })
    }

    /// The version to bring in next, and when it was learnt; none if nobody names one.
    fn next_version(
        &self,
        model: &ModelName,
        whole: Option<WeightVersion>,
    ) -> Option<(WeightVersion, Moment)> {
        let wanted = lock(&self.state.wanted).get(model).cloned()?;
        let begun = self.order.filter(|order| order.answer == Some(OrderAnswer::Begun));
        let reached = whole.max(begun.map(|order| order.version));
        let time = self.state.settings.direct.weights_time;
        let missing = wanted.iter().filter(|(version, _)| reached.is_none_or(|at| *version > at));
        let choices: Vec<VersionChoice> = missing
            .map(|(version, learnt)| VersionChoice {
                version: *version,
                due: *learnt + time,
                transfer: self.transfer_time(*version),
            })
            .collect();
        let next = next_version(self.state.node.now(), &choices);
        let next = next.or_else(|| wanted.last().map(|(version, _)| *version))?;
        wanted.iter().find(|(version, _)| *version == next).copied()
    }

    /// Time until the missing pieces of a version are here, roughly.
    fn transfer_time(&self, version: WeightVersion) -> Duration {
        let work = self.work.as_ref();
        let known = work.map(|work| work.manifest.total()).unwrap_or(USUAL_COPY);
        let link = self.state.settings.link.rate.time_for(known);
        let whole = link * TRANSFER_PERCENT / 100;
        let begun = work.filter(|work| work.pieces.version == version);
        let Some(work) = begun else { return whole };
        let pieces = work.pieces.digests.len().max(1) as u32;
        let missing = pieces.saturating_sub(work.swarm.held() as u32);
        whole * missing / pieces
    }

    /// The model of this server's service in the plan.
    fn planned_model(&self) -> Option<ModelName> {
        self.engine().and_then(|engine| engine.models.first().cloned())
    }

    fn engine(&self) -> Option<&EngineFigures> {
        let plan = self.plan.as_ref()?;
        let named = self.state.settings.service.as_ref();
        let named = named.and_then(|service| plan.services.get(service));
        let named = named.and_then(|service| service.engine.as_ref());
        named.or_else(|| plan.services.values().find_map(|service| service.engine.as_ref()))
    }

    /// Layers of the model, as far as they are known; without them one is taken for a whole model.
    fn layers(&self) -> u32 {
        let begun = self.work.as_ref().map(|work| work.pieces.layers);
        let planned = self.engine().map(|engine| engine.layers);
        begun.or(planned).unwrap_or(0).max(1)
    }

    fn tell_whole(&self, goal: &Goal, report: &StageReport) {
        let before = lock(&self.state.notice).whole;
        if before != goal.whole {
            let fields = json!({
                "model": goal.model, "whole": goal.whole, "before": before,
                "sequence": report.sequence.0,
            });
            decisions::note("engine", "holds", fields);
        }
        let order_open = self.order.is_some_and(|order| {
            order.answer == Some(OrderAnswer::Begun)
                && goal.whole.is_none_or(|whole| whole < order.version)
        });
        self.state.tell(|notice| {
            notice.whole = goal.whole;
            notice.changing = report.busy || order_open;
        });
    }

    fn note_done(&mut self, goal: &Goal) {
        self.state.tell(|notice| notice.staged = Some(goal.version));
        if self.order.take().is_some() {
            let since = self.state.node.now().since(goal.since).as_millis() as u64;
            let fields = json!({ "version": goal.version, "after_ms": since });
            decisions::note("weights", "in_force", fields);
        }
    }

    /// Reads the plan until it names an origin.
    async fn read_plan(&mut self) {
        let now = self.state.node.now();
        if self.plan.is_some() || now < self.plan_due {
            return;
        }
        self.plan_due = now + PLAN_PAUSE;
        let listed = self.outside.store.list(FactTopic::Plan, Freshness::Current).await;
        let Ok(list) = listed else { return };
        for fact in set_facts(FactNews::All(list)) {
            if let Fact::Plan(plan) = fact
                && plan.origin().is_some()
            {
                self.plan = Some(plan);
            }
        }
    }

    /// The agents of this server's service, this one among them: all of them come to hold the
    /// wanted version, also those that have not begun yet.
    fn seats(&self) -> Vec<(PeerSeat, SocketAddr)> {
        let service = self.state.settings.service.as_deref().unwrap_or_default();
        let own = (self.own_seat(), self.state.settings.node.control);
        let peers = lock(&self.state.peers);
        let others = peers.living().filter_map(|peer| {
            let server = peer.notice.server.as_ref()?;
            let seat = self.seat(peer.notice.from, &server.zone);
            (server.service == service).then_some((seat, peer.notice.from))
        });
        others.chain([own]).collect()
    }

    fn seat(&self, control: SocketAddr, zone: &DomainId) -> PeerSeat {
        let region = self.state.settings.direct.zones.get(zone);
        let region = region.map_or(0, |region| key_of(region.as_str().as_bytes()));
        PeerSeat { key: peer_key(&machine_id(control.ip())), domain: zone.key(), region }
    }

    fn own_seat(&self) -> PeerSeat {
        let node = &self.state.settings.node;
        self.seat(node.control, &node.domain)
    }

    /// Begins to bring in the wanted version, unless that is under way.
    async fn begin_work(&mut self, goal: &Goal) {
        // Those that hold everything must hear of newcomers as well, to offer what they hold.
        for swarm in self.hub.all() {
            swarm.tell(DriverInput::Seats(self.seats()));
        }
        if let Some(work) = &self.work
            && work.pieces.version == goal.version
            && work.pieces.model == goal.model
        {
            return;
        }
        let now = self.state.node.now();
        let origin = self.plan.as_ref().and_then(|plan| plan.origin().cloned());
        let Some(origin) = origin else { return };
        if now < self.manifest_due {
            return;
        }
        let asked = self.outside.origin.manifest(origin.address, &goal.model, goal.version).await;
        let pieces = match asked {
            Ok(pieces) => pieces,
            Err(error) => {
                self.manifest_failures += 1;
                self.manifest_due = now + pause_after(self.manifest_failures);
                // The origin may have moved.
                self.plan = None;
                let fields = json!({ "version": goal.version, "error": error.to_string() });
                return decisions::warn("weights", "no_manifest", fields);
            }
        };
        self.manifest_failures = 0;
        let manifest = Arc::new(burst_manifest(&pieces));
        let stage = self.survey(&pieces, &manifest).await;
        let swarm = self.start_swarm(&pieces, &manifest, &origin);
        let seats = self.seats();
        let count = seats.len();
        swarm.tell(DriverInput::Seats(seats));
        self.hub.add(swarm.clone());
        let fields = json!({
            "model": goal.model, "version": goal.version, "pieces": pieces.digests.len(),
            "staged": stage.placed.iter().filter(|placed| **placed).count(),
            "seats": count,
        });
        decisions::note("weights", "begun", fields);
        self.state.tell(|notice| notice.sharing = Some(goal.version));
        self.work =
            Some(VersionWork { pieces, manifest: manifest.clone(), swarm, stage, since: now });
        self.kept.push(manifest.digest());
        let surplus = self.kept.len().saturating_sub(KEPT_TRANSFERS);
        self.kept.drain(..surplus);
        self.hub.retain(|digest| self.kept.contains(digest));
    }

    fn start_swarm(
        &self,
        pieces: &PieceManifest,
        manifest: &Arc<Manifest>,
        origin: &OriginPlan,
    ) -> SwarmHandle {
        let tools = SwarmTools {
            node: self.state.node.clone(),
            vault: self.vault.clone(),
            down: self.down.clone(),
            origin: Some(Arc::new(PieceReader {
                origin: self.outside.origin.clone(),
                address: origin.address,
                model: pieces.model.clone(),
                version: pieces.version,
                down: self.down.clone(),
            })),
            store: None,
        };
        let bytes = ByteSize::from_bytes(pieces.piece_bytes.into());
        let own = self.state.settings.link.rate.time_for(bytes);
        let origin_rate = origin.bytes_per_second.max(1);
        let origin_rate = ByteRate::from_bytes_per_second(origin_rate);
        let count = pieces.digests.len() as u32;
        let mut settings = SwarmSettings::new(count, own, origin_rate.time_for(bytes));
        settings.prefer = BurstPreference::OriginBytes;
        settings.draws = DrawOrder::Assigned;
        settings.pace = SwarmPace::quick();
        let name = format!("{}@{}", pieces.model, pieces.version);
        swarm::start(tools, name, (Bytes::new(), manifest.clone()), settings, self.own_seat())
    }

    /// Looks which pieces of a version lie in the stage already.
    async fn survey(&self, pieces: &PieceManifest, manifest: &Manifest) -> StageState {
        let count = pieces.digests.len() as u32;
        let mut placed = vec![false; count as usize];
        let mut good = 0;
        for piece in 0..count {
            if piece == SURVEY_SAMPLE && good == 0 {
                break;
            }
            if self.is_staged(pieces, manifest, piece).await {
                placed[piece as usize] = true;
                good += 1;
            }
        }
        StageState { version: Some(pieces.version), placed, checked: None, surveyed: true }
    }

    /// Whether a piece lies in the stage unspoilt; if so, it is here for others as well.
    async fn is_staged(&self, pieces: &PieceManifest, manifest: &Manifest, piece: u32) -> bool {
        let Some(place) = manifest.chunk(ChunkIndex(piece)) else { return false };
        match self.outside.engine.get(&pieces.model, piece).await {
            Ok(data) => {
                matches!(self.vault.put(manifest.kind(), place.digest, data), Some(Ok(())))
            }
            Err(_) => false,
        }
    }

    async fn step(&mut self, goal: &Goal, report: &StageReport) {
        let turn = self.has_turn(goal);
        let Some(work) = &self.work else { return };
        if work.pieces.version != goal.version {
            return;
        }
        let held: Vec<bool> = work
            .manifest
            .chunks()
            .iter()
            .map(|place| self.vault.get(&place.digest).is_some())
            .collect();
        let count = held.iter().filter(|held| **held).count();
        let now = self.state.node.now();
        if count < held.len() && now >= self.progress_due {
            self.progress_due = now + PROGRESS_PAUSE;
            let metrics = &self.state.node.metrics;
            let fields = json!({
                "version": goal.version, "held": count, "pieces": held.len(),
                "origin_bytes": metrics.chunk_bytes("origin"),
                "peer_bytes": metrics.chunk_bytes("peer"), "sent_bytes": metrics.chunk_bytes("up"),
            });
            decisions::note("weights", "progress", fields);
        }
        let view = StageView {
            now: self.state.node.now(),
            wanted: goal.version,
            layers: work.pieces.layers,
            report,
            whole: goal.whole,
            stage: &work.stage,
            held: &held,
            order: self.order,
            turn,
        };
        match next_step(&view) {
            StageStep::Wait | StageStep::Done | StageStep::Survey => {}
            StageStep::Place(_) => self.place(&held).await,
            StageStep::Check => self.check().await,
            StageStep::Order(sequence) => self.give_order(goal, sequence).await,
        }
    }

    /// Lays pieces into the stage.
    async fn place(&mut self, held: &[bool]) {
        let Some(work) = &mut self.work else { return };
        let missing = (0..held.len()).filter(|piece| held[*piece] && !work.stage.placed[*piece]);
        let missing: Vec<usize> = missing.take(PIECES_A_LOOK).collect();
        for piece in missing {
            let place = &work.manifest.chunks()[piece];
            let Some(data) = self.vault.get(&place.digest) else { continue };
            match self.outside.engine.put(&work.pieces.model, piece as u32, data).await {
                Ok(()) => work.stage.placed[piece] = true,
                Err(error) => {
                    let fields = json!({ "piece": piece, "error": error.to_string() });
                    return decisions::warn("weights", "not_staged", fields);
                }
            }
        }
        if work.stage.placed.iter().all(|placed| *placed) {
            let version = work.pieces.version;
            let after = self.state.node.now().since(work.since).as_millis() as u64;
            let fields = json!({ "version": version, "after_ms": after });
            decisions::note("weights", "staged", fields);
            self.state.tell(|notice| notice.staged = Some(version));
        }
    }

    /// Reads every piece back; spoilt ones are laid anew.
    async fn check(&mut self) {
        let Some(work) = &self.work else { return };
        let mut spoilt = Vec::new();
        for (piece, place) in work.manifest.chunks().iter().enumerate() {
            let read = self.outside.engine.get(&work.pieces.model, piece as u32).await;
            let right = read.is_ok_and(|data| work.manifest.kind().of(&data) == place.digest);
            if !right {
                spoilt.push(piece);
            }
        }
        let now = self.state.node.now();
        let Some(work) = &mut self.work else { return };
        if spoilt.is_empty() {
            work.stage.checked = Some(now);
            return;
        }
        let fields = json!({ "version": work.pieces.version, "pieces": spoilt });
        decisions::warn("weights", "stage_spoilt", fields);
        for piece in spoilt {
            work.stage.placed[piece] = false;
        }
    }

    async fn give_order(&mut self, goal: &Goal, sequence: OrderSequence) {
        self.fence += 1;
        let order = StartOrder {
            model: goal.model.clone(),
            version: goal.version,
            fence: self.fence,
            expected: sequence,
            running: self.running_requests(),
        };
        self.state.tell(|notice| notice.changing = true);
        // Entries hear of it before the server refuses what they send, and short requests end.
        self.state.draining.store(true, Ordering::Relaxed);
        self.drain_briefly().await;
        self.state.draining.store(false, Ordering::Relaxed);
        let given = self.state.node.now();
        let answer = self.outside.engine.start(order).await;
        let fields = json!({
            "version": goal.version, "fence": self.fence, "expected": sequence.0,
            "answer": format!("{answer:?}"),
        });
        decisions::note("engine", "ordered", fields);
        let answer = answer.ok();
        self.order = Some(GivenOrder { version: goal.version, given, answer, expected: sequence });
    }

    /// Waits until few requests run or the time for that is over, and in any case until none waits
    /// to begin: one that has not begun when the machine stands still would begin much later.
    async fn drain_briefly(&self) {
        let begun = self.state.node.now();
        tokio::time::sleep(NOTICE_TIME).await;
        loop {
            let report = self.outside.engine.report().await;
            let waited = self.state.node.now().since(begun);
            if report.is_ok_and(|report| is_drained(&report, waited)) || waited >= QUEUE_TIME {
                return;
            }
            tokio::time::sleep(DRAIN_LOOK).await;
        }
    }

    /// Requests are cut at a change only where all of them can be continued elsewhere: to wait for
    /// them takes seconds in which the server takes nothing new.
    fn running_requests(&self) -> RunningRequests {
        let service = self.state.settings.service.as_deref();
        let plan = self.plan.as_ref().zip(service);
        match plan.is_some_and(|(plan, service)| plan.may_cut(service)) {
            true => RunningRequests::Cut,
            false => RunningRequests::Finish,
        }
    }

    fn has_turn(&self, goal: &Goal) -> bool {
        let own = self.state.settings.node.control;
        let peers = lock(&self.state.peers);
        let agents: Vec<(SocketAddr, &ServerNotice)> = peers
            .living()
            .filter_map(|peer| Some((peer.notice.from, peer.notice.server.as_ref()?)))
            .collect();
        let key = |address: SocketAddr| peer_key(&machine_id(address.ip())).0;
        let keys = agents.iter().map(|(from, _)| key(*from)).chain([key(own)]);
        let ranked = ranking(goal.version.0, keys);
        let rank = |address: SocketAddr| {
            let own = key(address);
            ranked.iter().position(|one| *one == own).unwrap_or(0) as u32
        };
        let others: Vec<TurnView> = agents
            .iter()
            .map(|(from, server)| TurnView {
                rank: rank(*from),
                done: server.whole.is_some_and(|whole| whole >= goal.version),
                ready: server.staged == Some(goal.version),
            })
            .collect();
        let since = self.state.node.now().since(goal.since);
        let time = self.state.settings.direct.weights_time;
        has_turn(rank(own), goal.whole.is_some(), since, time, &others)
    }
}

fn is_drained(report: &StageReport, waited: Duration) -> bool {
    let few = report.active + report.queued <= FEW_REQUESTS;
    few || (waited >= DRAIN_TIME && report.queued == 0)
}

/// The id of a machine in a transfer: every agent works it out alike from the address.
fn machine_id(ip: std::net::IpAddr) -> headlatch_types::id::BoxId {
    let text = ip.to_string().replace(':', "-");
    text.parse().expect("an IP number makes a name")
}
