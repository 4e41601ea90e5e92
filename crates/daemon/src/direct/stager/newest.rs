//! Finds versions that the origin offers and the store does not name.
//!
//! The store may name an earlier version again, after a late write or a return from an older copy. Processes go by the
//! highest version that they have heard of, so that this matters once all of them have started anew.

use std::time::Duration;

use headlatch_core::{
    direct::{manifest_source::ManifestSource, weight_deadline::WantedVersion},
    time::Moment,
};
use headlatch_outside::engine::{PieceManifest, VersionRequest};
use headlatch_types::traffic::WeightVersion;
use serde_json::json;

use super::{
    super::{facts::retry_delay, transfer_peers},
    Stager,
    goal::Goal,
    manifests::{ManifestError, PREFETCH_INTERVAL, PREFETCH_READERS, PREFETCH_TIMEOUT, source_of},
};
use crate::decisions;

impl Stager {
    /// Makes a version a target that the origin offers and the store does not name.
    pub(super) fn adopt_newer(
        &mut self,
        known: WeightVersion,
        manifest: PieceManifest,
    ) -> ManifestError {
        let (model, version) = (manifest.model.clone(), manifest.version);
        let fields = json!({ "model": model, "version": version, "known": known });
        decisions::warn("weights", "newer_version_found", fields);
        self.state.node.metrics.count_manifest("newer");
        self.prefetched = Some(manifest);
        self.state.record_wanted(&model, version, Duration::ZERO);
        ManifestError::Newer { version }
    }

    /// Asks the origin once after the start for its newest version where no manifest has to be read: after a stop of
    /// all processes nobody may know of a version that the store does not name any more.
    ///
    /// The first [`PREFETCH_READERS`] agents of a failure domain ask, unless agents that were there before offer
    /// manifests.
    pub(super) async fn check_newest(&mut self, goal: &Goal) {
        let now = self.state.node.now();
        let is_needed = !self.state.settings.direct.first_start
            && !self.is_newest_asked
            && goal.loaded.is_some_and(|loaded| loaded >= goal.version);
        if !is_needed || now < self.next_newest_check {
            return;
        }
        let Some(origin) = self.plan.origin() else { return };
        let known = self.state.wanted(&goal.model).last().map_or(goal.version, |one| one.version);
        let readers = transfer_peers::manifest_readers(&self.state, known);
        let wanted = WantedVersion { version: known, elapsed: now.since(Moment::ZERO) };
        if source_of(&readers, wanted, 0) != ManifestSource::Origin
            || readers.near_rank >= PREFETCH_READERS
        {
            return;
        }
        self.newest_checks += 1;
        self.next_newest_check = now + retry_delay(self.newest_checks).max(PREFETCH_INTERVAL);
        let request = VersionRequest::Newest;
        let read = self.transfers.manifest_from_origin(&origin, &goal.model, request);
        let Ok(Ok(reading)) = tokio::time::timeout(PREFETCH_TIMEOUT, read).await else { return };
        if reading.version > known {
            if self.check_manifest(&reading).is_err() {
                return;
            }
            self.readings.add(reading);
            let confirm = self.read_from_origin(&origin, &goal.model, known);
            let confirmed = tokio::time::timeout(PREFETCH_TIMEOUT, confirm).await;
            if !matches!(confirmed, Ok(Err(ManifestError::Newer { .. }))) {
                // The reading may have been spoilt.
                return;
            }
        }
        self.is_newest_asked = true;
    }
}
