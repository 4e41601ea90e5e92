//! Reads the manifests of one server's versions.

use std::time::Duration;

use headlatch_core::direct::{
    manifest_source::{ManifestSource, ManifestView, manifest_source},
    weight_deadline::WantedVersion,
};
use headlatch_outside::engine::PieceManifest;
use headlatch_types::{
    id::ModelName,
    traffic::{OriginPlan, WeightVersion},
};
use serde_json::json;

use super::{
    super::{facts::retry_delay, transfer::VersionTransfer, transfer_peers},
    Stager,
    goal::Goal,
};
use crate::decisions;

/// Time limit for a manifest that is not needed yet. The pieces of the older version are staged by the same task
/// and must not wait for an origin that does not answer.
const PREFETCH_TIMEOUT: Duration = Duration::from_millis(300);

/// Minimum time between two attempts to read a manifest that is not needed yet.
const PREFETCH_INTERVAL: Duration = Duration::from_secs(1);

impl Stager {
    /// Reads the manifest of the newest target version while an older one is fetched.
    ///
    /// Without it, an agent that changes to the newest version during an outage of the origin could not start before
    /// the origin is back, and would go on to fetch the older one until then. Only agents that may read from the
    /// origin do this; the others get the manifest from them.
    pub(super) async fn prefetch_manifest(&mut self, goal: &Goal) {
        let Some(newest) = self.state.wanted(&goal.model).last().copied() else { return };
        if newest.version <= goal.version || self.has_manifest(&goal.model, newest.version) {
            return;
        }
        let now = self.state.node.now();
        let Some(origin) = self.plan.origin().filter(|_| now >= self.next_prefetch) else { return };
        let source = self.source_of(newest, 0);
        if source != ManifestSource::Origin {
            return;
        }
        self.next_prefetch = now + PREFETCH_INTERVAL;
        let read = self.transfers.manifest(source, &origin, &goal.model, newest.version);
        // A failure matters only once the manifest is needed, and is logged then.
        if let Ok(Ok(manifest)) = tokio::time::timeout(PREFETCH_TIMEOUT, read).await {
            self.prefetched = manifest;
        }
    }

    fn has_manifest(&self, model: &ModelName, version: WeightVersion) -> bool {
        let is_it = |transfer: &VersionTransfer| transfer.is_for(model, version);
        let is_prefetched =
            self.prefetched.as_ref().is_some_and(|pieces| pieces.version == version);
        is_prefetched
            || self.next_transfer.as_ref().is_some_and(is_it)
            || self.skipped.iter().any(is_it)
    }

    /// The manifest of a version, read now if it has not been before; `None` if it cannot be had yet.
    pub(super) async fn obtain_manifest(
        &mut self,
        origin: &OriginPlan,
        model: &ModelName,
        version: WeightVersion,
    ) -> Option<PieceManifest> {
        let is_it =
            |pieces: &mut PieceManifest| pieces.version == version && pieces.model == *model;
        if let Some(pieces) = self.prefetched.take_if(is_it) {
            return Some(pieces);
        }
        let now = self.state.node.now();
        if now < self.manifest_retry_at {
            return None;
        }
        let requested = self.manifest_requested.filter(|(wanted, _)| *wanted == version);
        let (_, since) = *self.manifest_requested.insert(requested.unwrap_or((version, now)));
        let wanted = WantedVersion { version, elapsed: now.since(since) };
        let source = self.source_of(wanted, self.manifest_failures);
        match self.transfers.manifest(source, origin, model, version).await {
            Ok(None) => None,
            Ok(Some(pieces)) => {
                self.manifest_failures = 0;
                self.manifest_requested = None;
                Some(pieces)
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

    /// Where to read the manifest of a version that has been needed for `wanted.elapsed`, after `failures` failed
    /// attempts.
    fn source_of(&self, wanted: WantedVersion, failures: u32) -> ManifestSource {
        let readers = transfer_peers::manifest_readers(&self.state, wanted.version);
        manifest_source(&ManifestView {
            rank: readers.rank,
            domain_rank: readers.near_rank,
            steady: readers.steady,
            is_alone: readers.is_alone,
            waited: wanted.elapsed,
            failures,
            holders: &readers.holders,
            holders_in_domain: readers.holders_near,
        })
    }
}
