//! Brings one server to the target version of its weights, one step per poll.

use std::{sync::Arc, time::Duration};

use headlatch_core::{
    direct::{
        manifest_readings::ManifestReadings,
        staging::{EngineLife, GivenOrder, StageStep, StageView, next_step},
    },
    time::Moment,
};
use headlatch_outside::engine::{OrderAnswer, PieceManifest, StageReport};
use headlatch_types::traffic::WeightVersion;
use serde_json::json;

use super::{
    agent::{AgentDependencies, AgentState, lock},
    agent_plan::AgentPlan,
    change,
    transfer::{TransferManager, VersionTransfer},
};
use crate::decisions;

mod estimates;
mod fetching;
mod goal;
mod manifests;
mod newest;
mod stage;

use estimates::VersionSelection;
use goal::Goal;

/// Poll interval while a transfer or a version switch is in progress.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(60);

/// Poll interval once the server has loaded the target version.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Minimum time between two progress log records of a transfer.
const PROGRESS_LOG_INTERVAL: Duration = Duration::from_millis(500);

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
    /// Transfers of skipped versions newer than the loaded one. They continue where they stopped if
    /// their version is chosen again.
    skipped: Vec<VersionTransfer>,
    order: Option<GivenOrder>,
    life: EngineLife,
    manifest_failures: u32,
    manifest_retry_at: Moment,
    /// Version whose manifest is needed, and the time since when.
    manifest_requested: Option<(WeightVersion, Moment)>,
    /// Readings of a manifest from the origin that do not confirm it yet.
    readings: ManifestReadings,
    next_recheck: Moment,
    /// Consecutive readings of a contradicted manifest.
    rechecks: u32,
    /// The origin has told its newest version since this process started.
    is_newest_asked: bool,
    next_newest_check: Moment,
    newest_checks: u32,
    /// Manifest of the newest target version, read before its transfer.
    prefetched: Option<PieceManifest>,
    next_prefetch: Moment,
    next_progress_log: Moment,
    selection: VersionSelection,
    fence: u64,
    /// The server has reported an invalid pace, which has been logged.
    invalid_pace_logged: bool,
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
            skipped: Vec::new(),
            order: None,
            life: EngineLife::default(),
            manifest_failures: 0,
            manifest_retry_at: Moment::ZERO,
            manifest_requested: None,
            readings: ManifestReadings::default(),
            next_recheck: Moment::ZERO,
            rechecks: 0,
            is_newest_asked: false,
            next_newest_check: Moment::ZERO,
            newest_checks: 0,
            prefetched: None,
            next_prefetch: Moment::ZERO,
            next_progress_log: Moment::ZERO,
            selection: VersionSelection::default(),
            fence: 0,
            invalid_pace_logged: false,
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
        let restarted = self.detect_restart(&report);
        self.state.record_pace(&report, restarted);
        self.log_invalid_pace(&report, restarted);
        self.record_progress();
        let Some(goal) = self.goal(&report) else {
            return NextPoll::Busy;
        };
        self.publish_loaded_version(&goal, &report);
        // Also needed once the server has loaded the target version: this agent then sends pieces
        // to agents that lack them.
        self.transfers.publish_seats();
        self.drop_obsolete(&goal);
        self.recheck_manifests().await;
        self.ensure_transfer(&goal).await;
        self.ensure_next_transfer(&goal).await;
        self.prefetch_manifest(&goal).await;
        self.check_newest(&goal).await;
        if goal.loaded.is_some_and(|loaded| loaded >= goal.version) {
            self.record_completion(&goal);
            return NextPoll::Idle;
        }
        self.step(&goal, &report).await
    }

    /// Drops the pending order if the server has restarted, since it does not survive a restart.
    /// Returns whether it has.
    fn detect_restart(&mut self, report: &StageReport) -> bool {
        if !self.life.has_restarted(report) {
            return false;
        }
        let order = self.order.take().map(|order| order.version);
        let fields = json!({ "born": report.started_at, "ordered": order });
        decisions::info("engine", "restarted", fields);
        for transfer in self.transfer.iter_mut().chain(&mut self.next_transfer) {
            transfer.stage.checked = None;
        }
        true
    }

    /// Logs an invalid pace once per server process.
    fn log_invalid_pace(&mut self, report: &StageReport, restarted: bool) {
        self.invalid_pace_logged &= !restarted;
        if let Some(error) = &report.pace_error
            && !std::mem::replace(&mut self.invalid_pace_logged, true)
        {
            decisions::warn("engine", "invalid_pace", json!({ "error": error.to_string() }));
        }
    }

    fn service(&self) -> Option<&str> {
        self.state.settings.service.as_deref()
    }

    /// Number of layers of the model. While it is unknown, the model counts as having one layer.
    fn layers(&self) -> u32 {
        let planned = self.plan.engine(self.service()).map(|engine| engine.layers);
        let current = || self.transfer.as_ref().map(|transfer| transfer.pieces.layers);
        planned.filter(|layers| *layers > 0).or_else(current).unwrap_or(0).max(1)
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
}
