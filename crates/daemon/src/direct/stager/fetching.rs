//! Starts the transfers of one server's versions.

use headlatch_core::direct::manifest_source::{ManifestSource, ManifestView, manifest_source};
use headlatch_types::{id::ModelName, traffic::WeightVersion};
use serde_json::json;

use super::{
    super::{facts::retry_delay, transfer::VersionTransfer, transfer_peers},
    Stager,
    goal::Goal,
};
use crate::decisions;

impl Stager {
    /// Starts the transfer of the target version unless it is in progress.
    pub(super) async fn ensure_transfer(&mut self, goal: &Goal) {
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
                let mut transfer = self.transfers.begin(&origin, pieces, is_next).await;
                transfer.estimated = self.initial_estimate(&transfer);
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
}
