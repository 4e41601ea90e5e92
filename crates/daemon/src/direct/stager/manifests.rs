//! Reads the manifests of one server's versions.

use std::time::Duration;

use headlatch_core::direct::{
    manifest_readings::{ManifestMismatch, check_against_plan},
    manifest_source::{ManifestSource, ManifestView, manifest_source},
    origin_outage::OriginState,
    weight_deadline::WantedVersion,
};
use headlatch_outside::engine::{PieceManifest, StageFailure};
use headlatch_types::{
    id::ModelName,
    traffic::{OriginPlan, WeightVersion},
};
use serde_json::json;

use super::{
    super::{
        facts::retry_delay,
        transfer::VersionTransfer,
        transfer_peers::{self, ManifestReaders},
    },
    Stager,
    goal::Goal,
};
use crate::decisions;

/// Time limit for a manifest that is not needed yet. The pieces of the older version are staged by the same task
/// and must not wait for an origin that does not answer.
const PREFETCH_TIMEOUT: Duration = Duration::from_millis(300);

/// Minimum time between two attempts to read a manifest that is not needed yet.
const PREFETCH_INTERVAL: Duration = Duration::from_secs(1);

/// Number of agents of a failure domain that read a manifest before it is needed. Two readers survive the loss of
/// one; reads by all agents would delay the pieces of the older version on the origin's link.
const PREFETCH_READERS: usize = 2;

impl Stager {
    /// Reads the manifest of the newest target version while an older one is fetched.
    ///
    /// Without it, an agent that changes to the newest version during an outage of the origin could not start
    /// before the origin is back, and would go on to fetch the older one until then. The first
    /// [`PREFETCH_READERS`] agents of a failure domain do this; the others get the manifest from them. It is not
    /// done while the origin is down, nor once the older version is staged, since the transfer of the newest one
    /// starts then.
    pub(super) async fn prefetch_manifest(&mut self, goal: &Goal) {
        let Some(newest) = self.state.wanted(&goal.model).last().copied() else { return };
        if newest.version <= goal.version || self.has_manifest(&goal.model, newest.version) {
            return;
        }
        if self.selection.origin_state() == OriginState::Down
            || self.transfer.as_ref().is_some_and(VersionTransfer::is_staged)
        {
            return;
        }
        let now = self.state.node.now();
        let Some(origin) = self.plan.origin().filter(|_| now >= self.next_prefetch) else { return };
        let readers = transfer_peers::manifest_readers(&self.state, newest.version);
        let source = source_of(&readers, newest, 0);
        if source != ManifestSource::Origin || readers.near_rank >= PREFETCH_READERS {
            return;
        }
        self.next_prefetch = now + PREFETCH_INTERVAL;
        let read = self.transfers.manifest(source, &origin, &goal.model, newest.version);
        // A failure matters only once the manifest is needed, and is logged then.
        if let Ok(Ok(Some(manifest))) = tokio::time::timeout(PREFETCH_TIMEOUT, read).await {
            self.prefetched = self.check_manifest(&manifest).is_ok().then_some(manifest);
        }
    }

    fn has_manifest(&self, model: &ModelName, version: WeightVersion) -> bool {
        let is_it = |transfer: &VersionTransfer| transfer.is_for(model, version);
        let is_prefetched = self
            .prefetched
            .as_ref()
            .is_some_and(|pieces| pieces.version == version && pieces.model == *model);
        let mut transfers = self.transfer.iter().chain(&self.next_transfer).chain(&self.skipped);
        is_prefetched || transfers.any(is_it)
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
        let readers = transfer_peers::manifest_readers(&self.state, version);
        let source = source_of(&readers, wanted, self.manifest_failures);
        let read = self.transfers.manifest(source, origin, model, version).await;
        let read = read.map_err(ManifestError::from).and_then(|read| {
            read.map(|pieces| self.check_manifest(&pieces).map(|()| pieces)).transpose()
        });
        match read {
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
}

impl Stager {
    fn check_manifest(&self, manifest: &PieceManifest) -> Result<(), ManifestError> {
        let Some(engine) = self.plan.engine(self.service()) else { return Ok(()) };
        let checked = check_against_plan(manifest, &engine);
        if checked.is_err() {
            self.state.node.metrics.count_manifest("rejected");
        }
        Ok(checked?)
    }
}

/// Why there is no manifest.
#[derive(Debug, thiserror::Error)]
enum ManifestError {
    #[error(transparent)]
    Failed(#[from] StageFailure),
    #[error(transparent)]
    Mismatch(#[from] ManifestMismatch),
}

/// Where to read the manifest of a version that has been needed for `wanted.elapsed`, after `failures` failed
/// attempts.
fn source_of(readers: &ManifestReaders, wanted: WantedVersion, failures: u32) -> ManifestSource {
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
