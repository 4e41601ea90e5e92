//! Brings one server to the target version of its weights, one step per poll.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use headlatch_core::{
    direct::{
        manifest_source::{ManifestSource, ManifestView, manifest_source},
        staging::{
            EngineLife, GivenOrder, StageStep, StageView, VersionChoice, next_step, next_version,
        },
        transfer_rate::{TransferRate, TransferView},
        weight_deadline::{WantedVersion, dispatch_time},
    },
    time::Moment,
};
use headlatch_outside::engine::{
    EngineStage, OrderAnswer, OrderSequence, RunningRequests, StageReport, StartOrder,
};
use headlatch_types::{
    id::ModelName,
    quantity::{ByteRate, ByteSize},
    traffic::WeightVersion,
};
use serde_json::json;

use super::{
    agent::{AgentDependencies, AgentState, lock},
    agent_plan::AgentPlan,
    change::{self, DrainConditions},
    facts::retry_delay,
    transfer::{TransferManager, VersionTransfer},
    transfer_peers,
};
use crate::decisions;

/// Poll interval while a transfer or a version switch is in progress.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(60);

/// Poll interval once the server has loaded the target version.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Minimum time between two progress log records of a transfer.
const PROGRESS_LOG_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of pieces written to the stage per poll.
const PIECES_PER_STEP: usize = 16;

/// Maximum age of a stage check when the order is sent. After an older check all pieces are
/// verified again, since staged pieces can become corrupt.
const CHECK_VALIDITY: Duration = Duration::from_millis(1500);

/// Assumed size of a copy before the first manifest has been read.
const DEFAULT_COPY_SIZE: ByteSize = ByteSize::from_mib(2);

/// Assumed number of pieces in a copy before the first manifest has been read.
const DEFAULT_PIECE_COUNT: u32 = 96;

/// Target version if neither a peer, the store nor the server names one.
const DEFAULT_VERSION: WeightVersion = WeightVersion(1);

/// Transfers and stages the target version of the weights of one server, and orders the server to
/// load it.
pub struct Stager {
    state: Arc<AgentState>,
    dependencies: AgentDependencies,
    transfers: TransferManager,
    plan: Arc<AgentPlan>,
    /// Transfer of the version that is being written to the stage.
    transfer: Option<VersionTransfer>,
    /// Transfer of the version after it. Its pieces are fetched while the stage still holds the
    /// current one.
    next_transfer: Option<VersionTransfer>,
    order: Option<GivenOrder>,
    life: EngineLife,
    manifest_failures: u32,
    manifest_retry_at: Moment,
    /// Version whose manifest is needed, and the time since when.
    manifest_requested: Option<(WeightVersion, Moment)>,
    next_progress_log: Moment,
    rate: TransferRate,
    fence: u64,
}

/// Target state of the server.
#[derive(Debug, Clone)]
struct Goal {
    model: ModelName,
    version: WeightVersion,
    /// Time since the version became the target.
    elapsed: Duration,
    loaded: Option<WeightVersion>,
}

/// When to poll again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum NextPoll {
    /// The next step can be taken at once.
    Immediate,
    /// A transfer or a version switch is in progress.
    #[default]
    Busy,
    /// The server has loaded the target version.
    Idle,
}

impl Stager {
    /// Creates a stager without transfers.
    pub(super) fn new(
        state: Arc<AgentState>,
        dependencies: AgentDependencies,
        plan: Arc<AgentPlan>,
        transfers: TransferManager,
    ) -> Self {
        Self {
            state,
            dependencies,
            transfers,
            plan,
            transfer: None,
            next_transfer: None,
            order: None,
            life: EngineLife::default(),
            manifest_failures: 0,
            manifest_retry_at: Moment::ZERO,
            manifest_requested: None,
            next_progress_log: Moment::ZERO,
            rate: TransferRate::default(),
            fence: 0,
        }
    }

    /// Polls until the task is aborted.
    pub async fn run(mut self) {
        loop {
            let pause = match self.poll().await {
                NextPoll::Immediate => continue,
                NextPoll::Busy => BUSY_POLL_INTERVAL,
                NextPoll::Idle => IDLE_POLL_INTERVAL,
            };
            let wakeup = self.state.wanted_changed.notified();
            // A new target version and the timeout both lead to the next poll.
            let _ = tokio::time::timeout(pause, wakeup).await;
        }
    }

    /// Takes one step and returns when to poll again.
    async fn poll(&mut self) -> NextPoll {
        let report = match self.dependencies.engine.report().await {
            Ok(report) => report,
            Err(error) => {
                if lock(&self.state.notice).whole.is_some() {
                    decisions::warn("engine", "lost", json!({ "error": error.to_string() }));
                }
                self.state.update_notice(|notice| {
                    notice.whole = None;
                    notice.changing = false;
                });
                return NextPoll::Busy;
            }
        };
        self.state.record_unknown_fields(&report);
        self.detect_restart(&report);
        self.record_progress();
        let Some(goal) = self.goal(&report) else {
            return NextPoll::Busy;
        };
        self.publish_loaded_version(&goal, &report);
        // Also needed once the server has loaded the target version: this agent then sends pieces
        // to agents that lack them.
        self.transfers.publish_seats();
        self.ensure_transfer(&goal).await;
        self.ensure_next_transfer(&goal).await;
        if goal.loaded.is_some_and(|loaded| loaded >= goal.version) {
            self.record_completion(&goal);
            return NextPoll::Idle;
        }
        self.step(&goal, &report).await
    }

    /// Drops the pending order if the server has restarted, since it does not survive a restart.
    fn detect_restart(&mut self, report: &StageReport) {
        if !self.life.has_restarted(report) {
            return;
        }
        let order = self.order.take().map(|order| order.version);
        let fields = json!({ "born": report.started_at, "ordered": order });
        decisions::info("engine", "restarted", fields);
        for transfer in self.transfer.iter_mut().chain(&mut self.next_transfer) {
            transfer.stage.checked = None;
        }
    }

    /// Returns the target state, or `None` while neither the server nor the plan names a model.
    fn goal(&self, report: &StageReport) -> Option<Goal> {
        let held = report.models.first();
        let model =
            held.map(|held| held.model.clone()).or_else(|| self.plan.model(self.service()))?;
        let layers = self.layers();
        let loaded = held.and_then(|held| held.whole_version(layers));
        // The server may report a newer version than any known target.
        let named = held.map_or(DEFAULT_VERSION, |held| held.version);
        let running = self.state.node.now().since(Moment::ZERO);
        let fallback = WantedVersion { version: named, elapsed: running };
        let WantedVersion { version, elapsed } =
            self.next_version(&model, loaded).unwrap_or(fallback);
        Some(Goal { model, version, elapsed, loaded })
    }

    /// Returns the version to load next, or `None` if no target version is known.
    fn next_version(
        &self,
        model: &ModelName,
        loaded: Option<WeightVersion>,
    ) -> Option<WantedVersion> {
        let now = self.state.node.now();
        let wanted = self.state.wanted(model);
        let accepted = self.order.filter(|order| order.answer == Some(OrderAnswer::Begun));
        let reached = loaded.max(accepted.map(|order| order.version));
        let time = self.state.settings.direct.weights_time;
        let missing = wanted.iter().filter(|target| reached.is_none_or(|at| target.version > at));
        let choices: Vec<VersionChoice> = missing
            .map(|target| VersionChoice {
                version: target.version,
                due: now + dispatch_time(time) - target.elapsed,
                transfer: self.transfer_time(target.version),
            })
            .collect();
        let next = next_version(now, &choices);
        let next = next.or_else(|| wanted.last().map(|target| target.version))?;
        wanted.into_iter().find(|target| target.version == next)
    }

    /// Estimates the time until all missing pieces of a version have arrived, from the recent
    /// transfer rate.
    fn transfer_time(&self, version: WeightVersion) -> Duration {
        let transfers = self.transfer.iter().chain(&self.next_transfer);
        let transfer = transfers.clone().find(|transfer| transfer.pieces.version == version);
        let latest = transfers.last();
        let copy = latest.map_or(DEFAULT_COPY_SIZE, |transfer| transfer.manifest.total());
        let pieces = latest
            .map_or(DEFAULT_PIECE_COUNT, |transfer| transfer.pieces.digests.len().max(1) as u32);
        let origin = self.plan.origin().map(|origin| origin.bytes_per_second.max(1));
        let origin = origin.map(|rate| ByteRate::from_bytes_per_second(rate).time_for(copy));
        let link = self.state.settings.link.rate.time_for(copy);
        self.rate.time_left(&TransferView {
            version,
            held: transfer.map_or(0, |transfer| transfer.swarm.held() as u32),
            pieces,
            piece_time: link.max(origin.unwrap_or_default()) / pieces,
        })
    }

    /// Updates the transfer rate from the progress of the current transfer.
    fn record_progress(&mut self) {
        let Some(transfer) = &self.transfer else { return };
        let now = self.state.node.now();
        self.rate.record(now, transfer.pieces.version, transfer.swarm.held() as u32);
    }

    fn service(&self) -> Option<&str> {
        self.state.settings.service.as_deref()
    }

    /// Number of layers of the model. While it is unknown, the model counts as having one layer.
    fn layers(&self) -> u32 {
        let current = self.transfer.as_ref().map(|transfer| transfer.pieces.layers);
        let planned = self.plan.engine(self.service()).map(|engine| engine.layers);
        current.or(planned).unwrap_or(0).max(1)
    }

    fn publish_loaded_version(&self, goal: &Goal, report: &StageReport) {
        let before = lock(&self.state.notice).whole;
        if before != goal.loaded {
            let fields = json!({
                "model": goal.model, "whole": goal.loaded, "before": before,
                "sequence": report.sequence.0,
            });
            decisions::info("engine", "holds", fields);
        }
        let order_open = self.order.is_some_and(|order| {
            order.answer == Some(OrderAnswer::Begun)
                && goal.loaded.is_none_or(|loaded| loaded < order.version)
        });
        self.state.update_notice(|notice| {
            notice.whole = goal.loaded;
            notice.changing = report.busy || order_open;
        });
    }

    fn record_completion(&mut self, goal: &Goal) {
        self.state.update_notice(|notice| notice.staged = Some(goal.version));
        if self.order.take().is_some() {
            let after = goal.elapsed.as_millis() as u64;
            let fields = json!({ "version": goal.version, "after_ms": after });
            decisions::info("weights", "in_force", fields);
        }
    }

    /// Starts the transfer of the target version unless it is in progress.
    async fn ensure_transfer(&mut self, goal: &Goal) {
        if self.transfer.as_ref().is_some_and(|transfer| transfer.is_for(&goal.model, goal.version))
        {
            return;
        }
        if self
            .next_transfer
            .as_ref()
            .is_some_and(|transfer| transfer.is_for(&goal.model, goal.version))
        {
            self.transfer = self.next_transfer.take();
            return;
        }
        if let Some(transfer) = self.start_transfer(&goal.model, goal.version, false).await {
            self.transfer = Some(transfer);
            self.next_transfer = None;
        }
    }

    /// Starts the transfer of the newest version while an older one is staged and waits for the
    /// server's turn to switch.
    async fn ensure_next_transfer(&mut self, goal: &Goal) {
        let Some(newest) = self.state.wanted(&goal.model).last().copied() else { return };
        let newest = newest.version;
        let is_staged = self.transfer.as_ref().is_some_and(VersionTransfer::is_staged);
        let is_started = self
            .next_transfer
            .as_ref()
            .is_some_and(|transfer| transfer.is_for(&goal.model, newest));
        if newest <= goal.version || !is_staged || is_started {
            return;
        }
        self.next_transfer = self.start_transfer(&goal.model, newest, true).await;
    }

    async fn start_transfer(
        &mut self,
        model: &ModelName,
        version: WeightVersion,
        is_next: bool,
    ) -> Option<VersionTransfer> {
        let now = self.state.node.now();
        let origin = self.plan.origin()?;
        if now < self.manifest_retry_at {
            return None;
        }
        let source = self.manifest_source(version);
        match self.transfers.manifest(source, &origin, model, version).await {
            Ok(None) => None,
            Ok(Some(pieces)) => {
                let transfer = self.transfers.begin(&origin, pieces, is_next).await;
                self.manifest_failures = 0;
                self.manifest_requested = None;
                self.record_start(&transfer, is_next);
                Some(transfer)
            }
            Err(error) => {
                self.manifest_failures += 1;
                self.manifest_retry_at = now + retry_delay(self.manifest_failures);
                if source == ManifestSource::Origin {
                    self.plan.request_refresh();
                }
                let fields = json!({
                    "version": version, "source": format!("{source:?}"), "error": error.to_string(),
                });
                decisions::warn("weights", "no_manifest", fields);
                None
            }
        }
    }

    /// Selects the source from which to read the manifest of a version now.
    fn manifest_source(&mut self, version: WeightVersion) -> ManifestSource {
        let now = self.state.node.now();
        let wanted = self.manifest_requested.filter(|(wanted, _)| *wanted == version);
        let (_, since) = *self.manifest_requested.insert(wanted.unwrap_or((version, now)));
        let readers = transfer_peers::manifest_readers(&self.state, version);
        manifest_source(&ManifestView {
            rank: readers.rank,
            domain_rank: readers.near_rank,
            steady: readers.steady,
            is_alone: readers.is_alone,
            waited: now.since(since),
            failures: self.manifest_failures,
            holders: &readers.holders,
            holders_in_domain: readers.holders_near,
        })
    }

    fn record_start(&self, transfer: &VersionTransfer, is_next: bool) {
        let version = transfer.pieces.version;
        let fields = json!({
            "model": transfer.pieces.model, "version": version, "pieces": transfer.stage.placed.len(),
            "staged": transfer.stage.placed.iter().filter(|placed| **placed).count(),
            "next": is_next,
        });
        decisions::info("weights", "begun", fields);
        self.state.update_notice(|notice| notice.sharing = Some(version));
    }

    async fn step(&mut self, goal: &Goal, report: &StageReport) -> NextPoll {
        let serves = goal.loaded.is_some();
        let turn = change::is_turn(&self.state, goal.version, goal.elapsed, serves);
        let Some(transfer) = &self.transfer else { return NextPoll::Busy };
        if transfer.pieces.version != goal.version {
            return NextPoll::Busy;
        }
        let held = self.transfers.held(transfer);
        let count = held.iter().filter(|held| **held).count();
        let now = self.state.node.now();
        if count < held.len() && now >= self.next_progress_log {
            self.next_progress_log = now + PROGRESS_LOG_INTERVAL;
            self.log_progress(goal.version, count, held.len());
        }
        let view = StageView {
            now: self.state.node.now(),
            wanted: goal.version,
            layers: transfer.pieces.layers,
            report,
            whole: goal.loaded,
            stage: &transfer.stage,
            held: &held,
            order: self.order,
            turn,
        };
        match next_step(&view) {
            StageStep::Wait | StageStep::Done | StageStep::Survey => return NextPoll::Busy,
            StageStep::Place(_) => self.stage_pieces(&held).await,
            StageStep::Check => {
                self.switch_version(goal, report.sequence).await;
                return NextPoll::Busy;
            }
            StageStep::Order(sequence) => {
                self.switch_version(goal, sequence).await;
                return NextPoll::Busy;
            }
        }
        // If the last piece was written by this step, the check can follow at once.
        match self.transfer.as_ref().is_some_and(VersionTransfer::is_staged) {
            true => NextPoll::Immediate,
            false => NextPoll::Busy,
        }
    }

    fn log_progress(&self, version: WeightVersion, held: usize, pieces: usize) {
        let metrics = &self.state.node.metrics;
        let fields = json!({
            "version": version, "held": held, "pieces": pieces,
            "origin_bytes": metrics.chunk_bytes("origin"),
            "peer_bytes": metrics.chunk_bytes("peer"), "sent_bytes": metrics.chunk_bytes("up"),
        });
        decisions::info("weights", "progress", fields);
    }

    /// Writes up to [`PIECES_PER_STEP`] received pieces to the stage.
    async fn stage_pieces(&mut self, held: &[bool]) {
        let Some(transfer) = &mut self.transfer else { return };
        let missing =
            (0..held.len()).filter(|piece| held[*piece] && !transfer.stage.placed[*piece]);
        let missing: Vec<usize> = missing.take(PIECES_PER_STEP).collect();
        for piece in missing {
            let Some(data) = self.transfers.piece(transfer, piece) else { continue };
            match self.dependencies.engine.put(&transfer.pieces.model, piece as u32, data).await {
                Ok(()) => transfer.stage.placed[piece] = true,
                Err(error) => {
                    let fields = json!({ "piece": piece, "error": error.to_string() });
                    return decisions::warn("weights", "not_staged", fields);
                }
            }
        }
        if transfer.is_staged() {
            let version = transfer.pieces.version;
            let after = self.state.node.now().since(transfer.started).as_millis() as u64;
            let fields = json!({ "version": version, "after_ms": after });
            decisions::info("weights", "staged", fields);
            self.state.update_notice(|notice| notice.staged = Some(version));
        }
    }

    /// Drains the server, verifies all staged pieces in the meantime, and sends the order.
    async fn switch_version(&mut self, goal: &Goal, sequence: OrderSequence) {
        let engine = self.dependencies.engine.clone();
        let conditions = DrainConditions {
            serves: goal.loaded.is_some(),
            is_first: change::is_first(&self.state, goal.version),
        };
        let Some(transfer) = &self.transfer else { return };
        let draining_server = change::drain(&self.state, &*engine, conditions);
        let (corrupt, ()) =
            tokio::join!(verify_stage(&*engine, transfer, self.state.node.now()), draining_server);
        self.record_check(corrupt);
        if !self.is_freshly_checked() {
            let Some(transfer) = &self.transfer else { return };
            let corrupt = verify_stage(&*engine, transfer, self.state.node.now()).await;
            self.record_check(corrupt);
        }
        if self.is_freshly_checked() {
            self.send_order(goal, sequence).await;
        } else {
            // Corrupt pieces are staged again; the server keeps serving until then.
            self.state.update_notice(|notice| notice.changing = false);
        }
        self.state.draining.store(false, Ordering::Relaxed);
    }

    async fn send_order(&mut self, goal: &Goal, sequence: OrderSequence) {
        self.fence += 1;
        let order = StartOrder {
            model: goal.model.clone(),
            version: goal.version,
            fence: self.fence,
            expected: sequence,
            running: self.running_requests(),
        };
        let given = self.state.node.now();
        let answer = self.dependencies.engine.start(order).await;
        let fields = json!({
            "version": goal.version, "fence": self.fence, "expected": sequence.0,
            "answer": format!("{answer:?}"),
        });
        decisions::info("engine", "ordered", fields);
        let answer = answer.ok();
        self.order = Some(GivenOrder { version: goal.version, given, answer, expected: sequence });
    }

    /// Records the result of a check. Corrupt pieces are marked as missing, so that they are staged
    /// again.
    fn record_check(&mut self, check: StageCheck) {
        let Some(transfer) = &mut self.transfer else { return };
        if check.corrupt.is_empty() {
            transfer.stage.checked = Some(check.started);
            return;
        }
        let fields = json!({ "version": transfer.pieces.version, "pieces": check.corrupt });
        decisions::warn("weights", "stage_spoilt", fields);
        for piece in check.corrupt {
            transfer.stage.placed[piece] = false;
        }
    }

    fn is_freshly_checked(&self) -> bool {
        let Some(transfer) = &self.transfer else { return false };
        let now = self.state.node.now();
        let fresh = |checked| now.since(checked) <= CHECK_VALIDITY;
        transfer.is_staged() && transfer.stage.checked.is_some_and(fresh)
    }

    /// Cuts running requests at a switch only if all of them can be resumed on another server.
    /// Waiting for them instead takes seconds in which the server accepts no new requests.
    fn running_requests(&self) -> RunningRequests {
        match self.plan.may_interrupt(self.service()) {
            true => RunningRequests::Cut,
            false => RunningRequests::Finish,
        }
    }
}

/// Result of reading all staged pieces back.
#[derive(Debug)]
struct StageCheck {
    started: Moment,
    corrupt: Vec<usize>,
}

/// Reads all staged pieces back and compares their digests with the manifest.
async fn verify_stage(
    engine: &dyn EngineStage,
    transfer: &VersionTransfer,
    started: Moment,
) -> StageCheck {
    let mut corrupt = Vec::new();
    for (piece, place) in transfer.manifest.chunks().iter().enumerate() {
        let read = engine.get(&transfer.pieces.model, piece as u32).await;
        let is_intact = read.is_ok_and(|data| transfer.manifest.kind().of(&data) == place.digest);
        if !is_intact {
            corrupt.push(piece);
        }
    }
    StageCheck { started, corrupt }
}
