//! Brings one server to the wanted weights, step by step.

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
    agent::{AgentOutside, AgentState, lock},
    agent_plan::AgentPlan,
    change::{self, DrainPace},
    facts::pause_after,
    seats,
    transfer::{TransferDesk, VersionWork},
};
use crate::decisions;

/// How often the agent looks while there is something to do.
const BUSY_LOOK: Duration = Duration::from_millis(60);

/// How often it looks at a server that holds what is wanted.
const QUIET_LOOK: Duration = Duration::from_millis(400);

/// How often the progress of a transfer is written down.
const PROGRESS_PAUSE: Duration = Duration::from_millis(500);

/// Pieces laid into the stage at one look.
const PIECES_A_LOOK: usize = 16;

/// Age of a check after which pieces are read back once more before an order: they may rot.
const FRESH_CHECK: Duration = Duration::from_millis(1500);

/// Size of a copy where no manifest has been read yet.
const USUAL_COPY: ByteSize = ByteSize::from_mib(2);

/// Pieces of a copy where no manifest has been read yet.
const USUAL_PIECES: u32 = 96;

/// Version of weights that is wanted where nobody names one.
const FIRST_VERSION: WeightVersion = WeightVersion(1);

/// Brings one server to the wanted weights.
pub struct Stager {
    state: Arc<AgentState>,
    outside: AgentOutside,
    transfers: TransferDesk,
    plan: Arc<AgentPlan>,
    /// The version that is laid into the stage.
    work: Option<VersionWork>,
    /// The version after it: its pieces come in while the stage is still needed.
    next_work: Option<VersionWork>,
    order: Option<GivenOrder>,
    life: EngineLife,
    manifest_failures: u32,
    manifest_due: Moment,
    /// The version whose manifest is wanted, and since when.
    manifest_wanted: Option<(WeightVersion, Moment)>,
    progress_due: Moment,
    rate: TransferRate,
    fence: u64,
}

/// What is to be reached.
#[derive(Debug, Clone)]
struct Goal {
    model: ModelName,
    version: WeightVersion,
    /// Time since it was named.
    elapsed: Duration,
    whole: Option<WeightVersion>,
}

/// When to look again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum NextLook {
    /// The next step can be taken.
    AtOnce,
    /// Something is under way.
    #[default]
    Soon,
    /// Nothing is to be done.
    Later,
}

impl Stager {
    /// Nothing known yet.
    pub(super) fn new(
        state: Arc<AgentState>,
        outside: AgentOutside,
        plan: Arc<AgentPlan>,
        transfers: TransferDesk,
    ) -> Self {
        Self {
            state,
            outside,
            transfers,
            plan,
            work: None,
            next_work: None,
            order: None,
            life: EngineLife::default(),
            manifest_failures: 0,
            manifest_due: Moment::ZERO,
            manifest_wanted: None,
            progress_due: Moment::ZERO,
            rate: TransferRate::default(),
            fence: 0,
        }
    }

    /// Works for ever.
    pub async fn run(mut self) {
        loop {
            let pause = match self.look().await {
                NextLook::AtOnce => continue,
                NextLook::Soon => BUSY_LOOK,
                NextLook::Later => QUIET_LOOK,
            };
            let woken = self.state.wanted_news.notified();
            // Whether it was woken or time passed, it looks again.
            let _ = tokio::time::timeout(pause, woken).await;
        }
    }

    /// Looks once, and tells when to look again.
    async fn look(&mut self) -> NextLook {
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
                return NextLook::Soon;
            }
        };
        self.note_life(&report);
        self.note_rate();
        let Some(goal) = self.goal(&report) else {
            return NextLook::Soon;
        };
        self.tell_whole(&goal, &report);
        // A server that holds what is wanted hands its pieces on to those that do not.
        self.transfers.tell_seats();
        self.begin_work(&goal).await;
        self.begin_next(&goal).await;
        if goal.whole.is_some_and(|whole| whole >= goal.version) {
            self.note_done(&goal);
            return NextLook::Later;
        }
        self.step(&goal, &report).await
    }

    /// Forgets the order that was given in an earlier life of the server: it has no effect any more.
    fn note_life(&mut self, report: &StageReport) {
        if !self.life.has_restarted(report) {
            return;
        }
        let order = self.order.take().map(|order| order.version);
        let fields = json!({ "born": report.started_at, "ordered": order });
        decisions::note("engine", "restarted", fields);
        for work in self.work.iter_mut().chain(&mut self.next_work) {
            work.stage.checked = None;
        }
    }

    /// What the server is to hold; none as long as nobody says.
    fn goal(&self, report: &StageReport) -> Option<Goal> {
        let held = report.models.first();
        let model =
            held.map(|held| held.model.clone()).or_else(|| self.plan.model(self.service()))?;
        let layers = self.layers();
        let whole = held.and_then(|held| held.whole_version(layers));
        // The version that the server names may be newer than any that was heard of.
        let named = held.map_or(FIRST_VERSION, |held| held.version);
        let running = self.state.node.now().since(Moment::ZERO);
        let unnamed = WantedVersion { version: named, elapsed: running };
        let WantedVersion { version, elapsed } =
            self.next_version(&model, whole).unwrap_or(unnamed);
        Some(Goal { model, version, elapsed, whole })
    }

    /// The version to bring in next; none if nobody names one.
    fn next_version(
        &self,
        model: &ModelName,
        whole: Option<WeightVersion>,
    ) -> Option<WantedVersion> {
        let now = self.state.node.now();
        let wanted = self.state.wanted(model);
        let begun = self.order.filter(|order| order.answer == Some(OrderAnswer::Begun));
        let reached = whole.max(begun.map(|order| order.version));
        let time = self.state.settings.direct.weights_time;
        let missing = wanted.iter().filter(|one| reached.is_none_or(|at| one.version > at));
        let choices: Vec<VersionChoice> = missing
            .map(|one| VersionChoice {
                version: one.version,
                due: now + dispatch_time(time) - one.elapsed,
                transfer: self.transfer_time(one.version),
            })
            .collect();
        let next = next_version(now, &choices);
        let next = next.or_else(|| wanted.last().map(|one| one.version))?;
        wanted.into_iter().find(|one| one.version == next)
    }

    /// Time until the missing pieces of a version are here, by the pace at which they have come lately.
    fn transfer_time(&self, version: WeightVersion) -> Duration {
        let begun = self.work.iter().chain(&self.next_work);
        let work = begun.clone().find(|work| work.pieces.version == version);
        let usual = begun.last();
        let copy = usual.map_or(USUAL_COPY, |work| work.manifest.total());
        let pieces = usual.map_or(USUAL_PIECES, |work| work.pieces.digests.len().max(1) as u32);
        let origin = self.plan.origin().map(|origin| origin.bytes_per_second.max(1));
        let origin = origin.map(|rate| ByteRate::from_bytes_per_second(rate).time_for(copy));
        let link = self.state.settings.link.rate.time_for(copy);
        self.rate.time_left(&TransferView {
            version,
            held: work.map_or(0, |work| work.swarm.held() as u32),
            pieces,
            piece_time: link.max(origin.unwrap_or_default()) / pieces,
        })
    }

    /// Takes in how far the transfer under way is.
    fn note_rate(&mut self) {
        let Some(work) = &self.work else { return };
        let now = self.state.node.now();
        self.rate.record(now, work.pieces.version, work.swarm.held() as u32);
    }

    fn service(&self) -> Option<&str> {
        self.state.settings.service.as_deref()
    }

    /// Layers of the model, as far as they are known; without them one is taken for a whole model.
    fn layers(&self) -> u32 {
        let begun = self.work.as_ref().map(|work| work.pieces.layers);
        let planned = self.plan.engine(self.service()).map(|engine| engine.layers);
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
            let after = goal.elapsed.as_millis() as u64;
            let fields = json!({ "version": goal.version, "after_ms": after });
            decisions::note("weights", "in_force", fields);
        }
    }

    /// Begins to bring in the wanted version, unless that is under way.
    async fn begin_work(&mut self, goal: &Goal) {
        if self.work.as_ref().is_some_and(|work| work.is_for(&goal.model, goal.version)) {
            return;
        }
        if self.next_work.as_ref().is_some_and(|work| work.is_for(&goal.model, goal.version)) {
            self.work = self.next_work.take();
            return;
        }
        if let Some(work) = self.begin(&goal.model, goal.version, false).await {
            self.work = Some(work);
            self.next_work = None;
        }
    }

    /// Begins to bring in the newest version while another one waits in the stage for its turn.
    async fn begin_next(&mut self, goal: &Goal) {
        let Some(newest) = self.state.wanted(&goal.model).last().copied() else { return };
        let newest = newest.version;
        let is_staged = self.work.as_ref().is_some_and(VersionWork::is_staged);
        let is_begun = self.next_work.as_ref().is_some_and(|work| work.is_for(&goal.model, newest));
        if newest <= goal.version || !is_staged || is_begun {
            return;
        }
        self.next_work = self.begin(&goal.model, newest, true).await;
    }

    async fn begin(
        &mut self,
        model: &ModelName,
        version: WeightVersion,
        is_next: bool,
    ) -> Option<VersionWork> {
        let now = self.state.node.now();
        let origin = self.plan.origin()?;
        if now < self.manifest_due {
            return None;
        }
        let source = self.manifest_source(version);
        match self.transfers.manifest(source, &origin, model, version).await {
            Ok(None) => None,
            Ok(Some(pieces)) => {
                let work = self.transfers.begin(&origin, pieces, is_next).await;
                self.manifest_failures = 0;
                self.manifest_wanted = None;
                self.note_begun(&work, is_next);
                Some(work)
            }
            Err(error) => {
                self.manifest_failures += 1;
                self.manifest_due = now + pause_after(self.manifest_failures);
                if source == ManifestSource::Origin {
                    self.plan.doubt();
                }
                let fields = json!({
                    "version": version, "source": format!("{source:?}"), "error": error.to_string(),
                });
                decisions::warn("weights", "no_manifest", fields);
                None
            }
        }
    }

    /// Where the manifest of a version is to be read now.
    fn manifest_source(&mut self, version: WeightVersion) -> ManifestSource {
        let now = self.state.node.now();
        let wanted = self.manifest_wanted.filter(|(wanted, _)| *wanted == version);
        let (_, since) = *self.manifest_wanted.insert(wanted.unwrap_or((version, now)));
        let readers = seats::manifest_readers(&self.state, version);
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

    fn note_begun(&self, work: &VersionWork, is_next: bool) {
        let version = work.pieces.version;
        let fields = json!({
            "model": work.pieces.model, "version": version, "pieces": work.stage.placed.len(),
            "staged": work.stage.placed.iter().filter(|placed| **placed).count(),
            "next": is_next,
        });
        decisions::note("weights", "begun", fields);
        self.state.tell(|notice| notice.sharing = Some(version));
    }

    async fn step(&mut self, goal: &Goal, report: &StageReport) -> NextLook {
        let serves = goal.whole.is_some();
        let turn = change::is_turn(&self.state, goal.version, goal.elapsed, serves);
        let Some(work) = &self.work else { return NextLook::Soon };
        if work.pieces.version != goal.version {
            return NextLook::Soon;
        }
        let held = self.transfers.held(work);
        let count = held.iter().filter(|held| **held).count();
        let now = self.state.node.now();
        if count < held.len() && now >= self.progress_due {
            self.progress_due = now + PROGRESS_PAUSE;
            self.note_progress(goal.version, count, held.len());
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
            StageStep::Wait | StageStep::Done | StageStep::Survey => return NextLook::Soon,
            StageStep::Place(_) => self.place(&held).await,
            StageStep::Check => {
                self.change_over(goal, report.sequence).await;
                return NextLook::Soon;
            }
            StageStep::Order(sequence) => {
                self.change_over(goal, sequence).await;
                return NextLook::Soon;
            }
        }
        // The last piece may just have been laid.
        match self.work.as_ref().is_some_and(VersionWork::is_staged) {
            true => NextLook::AtOnce,
            false => NextLook::Soon,
        }
    }

    fn note_progress(&self, version: WeightVersion, held: usize, pieces: usize) {
        let metrics = &self.state.node.metrics;
        let fields = json!({
            "version": version, "held": held, "pieces": pieces,
            "origin_bytes": metrics.chunk_bytes("origin"),
            "peer_bytes": metrics.chunk_bytes("peer"), "sent_bytes": metrics.chunk_bytes("up"),
        });
        decisions::note("weights", "progress", fields);
    }

    /// Lays pieces into the stage.
    async fn place(&mut self, held: &[bool]) {
        let Some(work) = &mut self.work else { return };
        let missing = (0..held.len()).filter(|piece| held[*piece] && !work.stage.placed[*piece]);
        let missing: Vec<usize> = missing.take(PIECES_A_LOOK).collect();
        for piece in missing {
            let Some(data) = self.transfers.piece(work, piece) else { continue };
            match self.outside.engine.put(&work.pieces.model, piece as u32, data).await {
                Ok(()) => work.stage.placed[piece] = true,
                Err(error) => {
                    let fields = json!({ "piece": piece, "error": error.to_string() });
                    return decisions::warn("weights", "not_staged", fields);
                }
            }
        }
        if work.is_staged() {
            let version = work.pieces.version;
            let after = self.state.node.now().since(work.since).as_millis() as u64;
            let fields = json!({ "version": version, "after_ms": after });
            decisions::note("weights", "staged", fields);
            self.state.tell(|notice| notice.staged = Some(version));
        }
    }

    /// Empties the server, reads every piece back meanwhile, and gives the order.
    async fn change_over(&mut self, goal: &Goal, sequence: OrderSequence) {
        let engine = self.outside.engine.clone();
        let pace = DrainPace {
            serves: goal.whole.is_some(),
            is_first: change::is_first(&self.state, goal.version),
        };
        let Some(work) = &self.work else { return };
        let emptying = change::empty(&self.state, &*engine, pace);
        let (spoilt, ()) = tokio::join!(read_back(&*engine, work, self.state.node.now()), emptying);
        self.note_check(spoilt);
        if !self.is_freshly_checked() {
            let Some(work) = &self.work else { return };
            let spoilt = read_back(&*engine, work, self.state.node.now()).await;
            self.note_check(spoilt);
        }
        if self.is_freshly_checked() {
            self.give_order(goal, sequence).await;
        } else {
            // What is spoilt is laid anew; until then the server goes on.
            self.state.tell(|notice| notice.changing = false);
        }
        self.state.draining.store(false, Ordering::Relaxed);
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

    /// Takes in which pieces were spoilt when they were read back: these are laid anew.
    fn note_check(&mut self, check: StageCheck) {
        let Some(work) = &mut self.work else { return };
        if check.spoilt.is_empty() {
            work.stage.checked = Some(check.begun);
            return;
        }
        let fields = json!({ "version": work.pieces.version, "pieces": check.spoilt });
        decisions::warn("weights", "stage_spoilt", fields);
        for piece in check.spoilt {
            work.stage.placed[piece] = false;
        }
    }

    fn is_freshly_checked(&self) -> bool {
        let Some(work) = &self.work else { return false };
        let now = self.state.node.now();
        let fresh = |checked| now.since(checked) <= FRESH_CHECK;
        work.is_staged() && work.stage.checked.is_some_and(fresh)
    }

    /// Requests are cut at a change only where all of them can be continued elsewhere: to wait for
    /// them takes seconds in which the server takes nothing new.
    fn running_requests(&self) -> RunningRequests {
        match self.plan.may_interrupt(self.service()) {
            true => RunningRequests::Cut,
            false => RunningRequests::Finish,
        }
    }
}

/// What came of reading all pieces back.
#[derive(Debug)]
struct StageCheck {
    begun: Moment,
    spoilt: Vec<usize>,
}

/// Reads every piece back.
async fn read_back(engine: &dyn EngineStage, work: &VersionWork, begun: Moment) -> StageCheck {
    let mut spoilt = Vec::new();
    for (piece, place) in work.manifest.chunks().iter().enumerate() {
        let read = engine.get(&work.pieces.model, piece as u32).await;
        let right = read.is_ok_and(|data| work.manifest.kind().of(&data) == place.digest);
        if !right {
            spoilt.push(piece);
        }
    }
    StageCheck { begun, spoilt }
}
