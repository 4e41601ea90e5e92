//! Writes the pieces of one version to a server's stage, and orders the server to load them.

use std::{sync::atomic::Ordering, time::Duration};

use headlatch_core::{direct::staging::GivenOrder, time::Moment};
use headlatch_outside::engine::{EngineStage, OrderSequence, RunningRequests, StartOrder};
use serde_json::json;

use super::{
    super::{
        change::{self, DrainConditions},
        transfer::VersionTransfer,
    },
    Stager,
    goal::Goal,
};
use crate::decisions;

/// Maximum number of pieces written to the stage per poll.
const PIECES_PER_STEP: usize = 16;

/// Maximum age of a stage check when the order is sent. After an older check all pieces are
/// verified again, since staged pieces can become corrupt.
const CHECK_VALIDITY: Duration = Duration::from_millis(1500);

impl Stager {
    /// Writes up to [`PIECES_PER_STEP`] received pieces to the stage.
    pub(super) async fn stage_pieces(&mut self, held: &[bool]) {
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
    pub(super) async fn switch_version(&mut self, goal: &Goal, sequence: OrderSequence) {
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
