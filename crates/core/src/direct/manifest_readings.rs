//! Readings of one manifest, which its source may spoil.
//!
//! Nothing else attests a manifest. A wrong digest makes its piece impossible to fetch, a digest of another piece puts
//! that one in its place, and missing digests make partial weights look whole. A manifest therefore counts once
//! two readings agree on every part of it.

use std::collections::BTreeSet;

use headlatch_outside::engine::{PieceDigest, PieceManifest, VersionRequest};
use headlatch_types::{
    id::ModelName,
    traffic::{EngineCapacity, WeightVersion},
};

/// Maximum number of readings that are kept; older ones are dropped.
const MAX_READINGS: usize = 6;

/// Number of readings that must agree.
const MIN_AGREEING: usize = 2;

/// A manifest that does not describe the weights of the plan.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the manifest gives {found} {what} where the plan has {planned}")]
pub struct ManifestMismatch {
    what: &'static str,
    found: usize,
    planned: u32,
}

/// Checks a manifest against what the plan says of its model. Figures that the plan does not give are not checked.
pub fn check_against_plan(
    manifest: &PieceManifest,
    engine: &EngineCapacity,
) -> Result<(), ManifestMismatch> {
    let figures = [
        ("digests", manifest.digests.len(), engine.pieces),
        ("layers", manifest.layers as usize, engine.layers),
        ("bytes a piece", manifest.piece_bytes as usize, engine.piece_bytes),
    ];
    let differs =
        |(_, found, planned): &(&str, usize, u32)| *planned > 0 && *found != *planned as usize;
    match figures.into_iter().find(differs) {
        Some((what, found, planned)) => Err(ManifestMismatch { what, found, planned }),
        None => Ok(()),
    }
}

/// Readings of the manifest of one version, oldest first.
#[derive(Debug, Clone, Default)]
pub struct ManifestReadings(Vec<PieceManifest>);

impl ManifestReadings {
    /// Adds a reading; returns the manifest if every part of it is now confirmed. Readings of an earlier version
    /// are dropped.
    pub fn add(&mut self, reading: PieceManifest) -> Option<PieceManifest> {
        self.0.retain(|kept| kept.model == reading.model && kept.version == reading.version);
        if self.0.len() == MAX_READINGS {
            self.0.remove(0);
        }
        self.0.push(reading);
        self.confirmed()
    }

    /// What to request next in order to confirm the manifest of `version` or of a newer one.
    ///
    /// The store may name a version that is not the newest any more: a late write or an older copy of it brings back
    /// an earlier one, and a process that has just started knows of no other. The first reading of the newest
    /// version known is therefore of whatever the origin offers as its newest.
    pub fn next_request(
        &self,
        model: &ModelName,
        version: WeightVersion,
        is_newest_known: bool,
    ) -> VersionRequest {
        match self.0.last() {
            Some(last) if last.model == *model && last.version >= version => {
                VersionRequest::Exactly(last.version)
            }
            _ if is_newest_known => VersionRequest::Newest,
            _ => VersionRequest::Exactly(version),
        }
    }

    /// Number of readings.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// Drops all readings.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    fn confirmed(&self) -> Option<PieceManifest> {
        let shape = most_frequent(self.0.iter().map(shape))?;
        let alike = || self.0.iter().filter(|reading| self::shape(reading) == shape);
        let position = |at: usize| most_frequent(alike().map(|reading| reading.digests[at]));
        let digests = (0..shape.0).map(position).collect::<Option<Vec<PieceDigest>>>()?;
        let last = alike().next_back()?;
        Some(PieceManifest { digests, ..last.clone() })
    }

    /// Positions of the digests on which the readings differ; those that only some readings have among them.
    pub fn disputed(&self) -> Vec<usize> {
        let longest = self.0.iter().map(|reading| reading.digests.len()).max().unwrap_or(0);
        let values = |at: usize| self.0.iter().map(move |reading| reading.digests.get(at));
        let differs = |at: &usize| {
            let mut all = values(*at);
            let first = all.next();
            all.any(|value| Some(value) != first)
        };
        (0..longest).filter(differs).collect()
    }
}

/// Number of digests, bytes of a piece and layers.
fn shape(manifest: &PieceManifest) -> (usize, u32, u32) {
    (manifest.digests.len(), manifest.piece_bytes, manifest.layers)
}

/// The value that occurs more often than any other one, and at least [`MIN_AGREEING`] times.
fn most_frequent<T: Ord + Copy>(values: impl Iterator<Item = T>) -> Option<T> {
    let values: Vec<T> = values.collect();
    let distinct: BTreeSet<T> = values.iter().copied().collect();
    let count = |value: &T| values.iter().filter(|one| *one == value).count();
    let mut counted: Vec<(usize, T)> =
        distinct.into_iter().map(|value| (count(&value), value)).collect();
    counted.sort_by_key(|(count, _)| std::cmp::Reverse(*count));
    let (most, value) = *counted.first()?;
    let is_tied = counted.get(1).is_some_and(|(count, _)| *count == most);
    (most >= MIN_AGREEING && !is_tied).then_some(value)
}
