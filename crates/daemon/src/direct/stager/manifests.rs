//! Reads the manifests of one server's versions.

use std::time::Duration;

use headlatch_core::direct::{
    manifest_readings::{ManifestMismatch, check_against_plan},
    manifest_source::{ManifestSource, ManifestView, manifest_source},
    origin_outage::OriginState,
    weight_deadline::WantedVersion,
};
use headlatch_outside::engine::{PieceManifest, StageFailure, VersionRequest};
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
pub(super) const PREFETCH_TIMEOUT: Duration = Duration::from_millis(300);

/// Minimum time between two attempts to read a manifest that is not needed yet.
pub(super) const PREFETCH_INTERVAL: Duration = Duration::from_secs(1);

/// Number of agents of a failure domain that read a manifest before it is needed. Two readers survive the loss of
/// one; reads by all agents would delay the pieces of the older version on the origin's link.
pub(super) const PREFETCH_READERS: usize = 2;

/// Number of readings from the origin in a row: two that agree are enough.
const READS_AT_ONCE: usize = 2;

/// Minimum time between two readings of a manifest that the pieces contradict.
const RECHECK_INTERVAL: Duration = Duration::from_millis(300);

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
        let read = self.read_from_origin(&origin, &goal.model, newest.version);
        // A failure matters only once the manifest is needed, and is logged then.
        if let Ok(Ok(manifest)) = tokio::time::timeout(PREFETCH_TIMEOUT, read).await {
            self.prefetched = Some(manifest);
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
        match self.read_manifest(source, origin, model, version).await {
            Ok(None) => None,
            Ok(Some(pieces)) => {
                self.manifest_failures = 0;
                self.manifest_requested = None;
                Some(pieces)
            }
            // The next poll starts the transfer of the newer version.
            Err(ManifestError::Newer { .. }) => {
                self.manifest_failures = 0;
                None
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

    /// Reads a manifest from `source`; `None` if it is to be read later. Agents pass on only confirmed
    /// manifests.
    async fn read_manifest(
        &mut self,
        source: ManifestSource,
        origin: &OriginPlan,
        model: &ModelName,
        version: WeightVersion,
    ) -> Result<Option<PieceManifest>, ManifestError> {
        match source {
            ManifestSource::Wait => Ok(None),
            ManifestSource::Origin => self.read_from_origin(origin, model, version).await.map(Some),
            ManifestSource::Peer(address) => {
                let read = self.transfers.manifest_from_peer(address, model, version).await?;
                self.check_manifest(&read)?;
                Ok(Some(read))
            }
        }
    }

    /// Reads a manifest from the origin until two readings agree, at most twice. A confirmed manifest of a newer
    /// version than this one is kept, and its version becomes a target.
    pub(super) async fn read_from_origin(
        &mut self,
        origin: &OriginPlan,
        model: &ModelName,
        version: WeightVersion,
    ) -> Result<PieceManifest, ManifestError> {
        let newest = self.state.wanted(model).last().map(|newest| newest.version);
        let mut asks_newest = newest.is_none_or(|newest| newest <= version);
        for _ in 0..READS_AT_ONCE {
            let request = self.readings.next_request(model, version, asks_newest);
            let reading = self.transfers.manifest_from_origin(origin, model, request).await;
            if reading.is_err() && request != VersionRequest::Exactly(version) {
                // A reading of another version may have been spoilt in that version.
                self.readings.clear();
            }
            let reading = reading?;
            self.is_newest_asked |= request == VersionRequest::Newest;
            if reading.version < version {
                asks_newest = false;
                continue;
            }
            self.check_manifest(&reading)?;
            let Some(confirmed) = self.readings.add(reading) else { continue };
            self.state.node.metrics.count_manifest("confirmed");
            self.readings.clear();
            if confirmed.version == version {
                return Ok(confirmed);
            }
            return Err(self.adopt_newer(version, confirmed));
        }
        self.state.node.metrics.count_manifest("disputed");
        let (readings, disputed) = (self.readings.count(), self.readings.disputed());
        Err(ManifestError::Disputed { readings, disputed })
    }

    pub(super) fn check_manifest(&self, manifest: &PieceManifest) -> Result<(), ManifestError> {
        let Some(engine) = self.plan.engine(self.service()) else { return Ok(()) };
        let checked = check_against_plan(manifest, &engine);
        if checked.is_err() {
            self.state.node.metrics.count_manifest("rejected");
        }
        Ok(checked?)
    }

    /// Reads the manifest of the transfer in progress again if the pieces that arrive contradict it.
    ///
    /// A different manifest replaces the transfer. The same one is kept, and its pieces go on being fetched.
    pub(super) async fn recheck_manifests(&mut self) {
        self.discard_doubted();
        let now = self.state.node.now();
        let Some(transfer) = &self.transfer else { return };
        if !transfer.swarm.is_contradicted() || now < self.next_recheck {
            return;
        }
        let Some(origin) = self.plan.origin() else { return };
        let (model, version) = (transfer.pieces.model.clone(), transfer.pieces.version);
        let readers = transfer_peers::manifest_readers(&self.state, version);
        let wanted = WantedVersion { version, elapsed: now.since(transfer.started) };
        let source = source_of(&readers, wanted, self.rechecks);
        if source == ManifestSource::Wait {
            return;
        }
        self.rechecks += 1;
        self.next_recheck = now + retry_delay(self.rechecks).max(RECHECK_INTERVAL);
        let read = self.read_manifest(source, &origin, &model, version).await;
        let Some(transfer) = &self.transfer else { return };
        let outcome = RecheckOutcome::new(source, &transfer.pieces, read);
        self.record_recheck(source, transfer, &outcome);
        match outcome {
            RecheckOutcome::Replaced(pieces) => {
                let transfer = self.transfers.replace(&origin, transfer, pieces).await;
                self.transfer = Some(transfer);
                self.rechecks = 0;
            }
            RecheckOutcome::Confirmed => transfer.swarm.confirm_manifest(),
            RecheckOutcome::SameAtPeer | RecheckOutcome::Failed(_) => {}
        }
    }

    /// Ends transfers that are not in progress and whose manifests the pieces contradict. The manifests are
    /// read anew when they are needed.
    fn discard_doubted(&mut self) {
        let is_doubted = |transfer: &mut VersionTransfer| transfer.swarm.is_contradicted();
        let next = self.next_transfer.take_if(is_doubted);
        let doubted = self.skipped.extract_if(.., is_doubted).chain(next);
        doubted.for_each(|transfer| self.transfers.discard(&transfer));
    }

    fn record_recheck(
        &self,
        source: ManifestSource,
        transfer: &VersionTransfer,
        outcome: &RecheckOutcome,
    ) {
        let error = match outcome {
            RecheckOutcome::Failed(error) => Some(error.to_string()),
            _ => None,
        };
        let fields = json!({
            "version": transfer.pieces.version, "source": format!("{source:?}"),
            "outcome": outcome.as_str(), "manifest": transfer.manifest.digest().to_string(),
            "error": error,
        });
        decisions::warn("weights", "manifest_rechecked", fields);
        self.state.node.metrics.count_manifest(outcome.as_str());
    }
}

/// Result of reading a contradicted manifest again.
#[derive(Debug)]
enum RecheckOutcome {
    /// It was wrong; this one takes its place.
    Replaced(PieceManifest),
    /// Two new readings from the origin confirm it.
    Confirmed,
    /// Another agent has the same one, maybe from the same readings.
    SameAtPeer,
    /// It could not be read.
    Failed(ManifestError),
}

impl RecheckOutcome {
    fn new(
        source: ManifestSource,
        current: &PieceManifest,
        read: Result<Option<PieceManifest>, ManifestError>,
    ) -> Self {
        match read {
            Ok(Some(pieces)) if pieces != *current => Self::Replaced(pieces),
            Ok(_) if source == ManifestSource::Origin => Self::Confirmed,
            Ok(_) => Self::SameAtPeer,
            Err(error) => Self::Failed(error),
        }
    }

    fn as_str(&self) -> &'static str {
        match self {
            Self::Replaced(_) => "replaced",
            Self::Confirmed => "confirmed_again",
            Self::SameAtPeer => "same_at_peer",
            Self::Failed(_) => "recheck_failed",
        }
    }
}

/// Why there is no manifest.
#[derive(Debug, thiserror::Error)]
pub(super) enum ManifestError {
    #[error(transparent)]
    Failed(#[from] StageFailure),
    #[error(transparent)]
    Mismatch(#[from] ManifestMismatch),
    #[error("{readings} readings differ in the digests of pieces {disputed:?}")]
    Disputed { readings: usize, disputed: Vec<usize> },
    #[error("the origin offers the newer version {version}")]
    Newer { version: WeightVersion },
}

/// Where to read the manifest of a version that has been needed for `wanted.elapsed`, after `failures` failed
/// attempts.
pub(super) fn source_of(
    readers: &ManifestReaders,
    wanted: WantedVersion,
    failures: u32,
) -> ManifestSource {
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
