//! Starts the transfers of one server's versions.

use headlatch_outside::engine::OrderAnswer;
use headlatch_types::{id::ModelName, traffic::WeightVersion};
use serde_json::json;

use super::{super::transfer::VersionTransfer, Stager, goal::Goal};
use crate::decisions;

impl Stager {
    /// Drops skipped transfers that are no longer of use: a newer version is in force here, or their
    /// pieces have been dropped in favour of newer versions.
    pub(super) fn drop_obsolete(&mut self, goal: &Goal) {
        let transfers = &self.transfers;
        self.skipped.retain(|transfer| {
            let is_newer = goal.loaded.is_none_or(|loaded| transfer.pieces.version > loaded);
            is_newer && transfers.is_retained(transfer)
        });
    }

    /// Starts or resumes the transfer of the target version unless it is in progress.
    pub(super) async fn ensure_transfer(&mut self, goal: &Goal) {
        let is_target = |transfer: &VersionTransfer| transfer.is_for(&goal.model, goal.version);
        if self.transfer.as_ref().is_some_and(is_target) {
            return;
        }
        if self.next_transfer.as_ref().is_some_and(is_target) {
            let next = self.next_transfer.take();
            let before = std::mem::replace(&mut self.transfer, next);
            self.keep_skipped(before, goal, goal.version);
            return;
        }
        if let Some(transfer) = self.obtain_transfer(&goal.model, goal.version, false).await {
            let before = self.transfer.replace(transfer);
            self.keep_skipped(before, goal, goal.version);
            let next = self.next_transfer.take();
            self.keep_skipped(next, goal, goal.version);
        }
    }

    /// Keeps a transfer that is skipped in favour of the version `preferred`, so that it can be resumed, if its
    /// version is newer than the loaded one.
    fn keep_skipped(
        &mut self,
        transfer: Option<VersionTransfer>,
        goal: &Goal,
        preferred: WeightVersion,
    ) {
        let Some(transfer) = transfer else { return };
        let version = transfer.pieces.version;
        // The server does not load a version whose order it has refused.
        let is_ordered = self.order.is_some_and(|order| {
            order.version == version && order.answer == Some(OrderAnswer::Begun)
        });
        if is_ordered || goal.loaded.is_some_and(|loaded| loaded >= version) {
            return;
        }
        let fields = json!({
            "version": version, "held": transfer.swarm.held(), "pieces": transfer.piece_count(),
            "in_favour_of": preferred,
        });
        decisions::info("weights", "skipped", fields);
        self.skipped.push(transfer);
    }

    /// Starts the transfer of the newest version while an older one is staged and waits for the
    /// server's turn to switch.
    pub(super) async fn ensure_next_transfer(&mut self, goal: &Goal) {
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
        // Without a manifest of the newest version, the transfer in progress goes on.
        if let Some(transfer) = self.obtain_transfer(&goal.model, newest, true).await {
            let before = self.next_transfer.replace(transfer);
            self.keep_skipped(before, goal, newest);
        }
    }

    /// Resumes the transfer of a version if it was skipped, and starts it otherwise.
    async fn obtain_transfer(
        &mut self,
        model: &ModelName,
        version: WeightVersion,
        is_next: bool,
    ) -> Option<VersionTransfer> {
        let skipped = self.skipped.iter().position(|transfer| transfer.is_for(model, version));
        let (Some(skipped), Some(origin)) = (skipped, self.plan.origin()) else {
            return self.start_transfer(model, version, is_next).await;
        };
        let skipped = self.skipped.remove(skipped);
        let current = self.transfer.as_ref().filter(|_| is_next);
        let mut transfer = self.transfers.begin(&origin, skipped.pieces, current).await;
        transfer.estimated = self.initial_estimate(&transfer);
        self.record_start("resumed", &transfer, is_next);
        Some(transfer)
    }

    async fn start_transfer(
        &mut self,
        model: &ModelName,
        version: WeightVersion,
        is_next: bool,
    ) -> Option<VersionTransfer> {
        let origin = self.plan.origin()?;
        let pieces = self.obtain_manifest(&origin, model, version).await?;
        let current = self.transfer.as_ref().filter(|_| is_next);
        let mut transfer = self.transfers.begin(&origin, pieces, current).await;
        transfer.estimated = self.initial_estimate(&transfer);
        self.record_start("begun", &transfer, is_next);
        Some(transfer)
    }

    fn record_start(&self, event: &'static str, transfer: &VersionTransfer, is_next: bool) {
        let version = transfer.pieces.version;
        let fields = json!({
            "model": transfer.pieces.model, "version": version, "pieces": transfer.stage.placed.len(),
            "staged": transfer.stage.placed.iter().filter(|placed| **placed).count(),
            "held": transfer.swarm.held(), "next": is_next,
        });
        decisions::info("weights", event, fields);
        // A resumed older version does not withdraw the offer of a newer one's manifest.
        self.state.update_notice(|notice| notice.sharing = notice.sharing.max(Some(version)));
    }
}
