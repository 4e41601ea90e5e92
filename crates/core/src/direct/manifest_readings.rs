//! Checks of manifests, which their source may spoil.

use headlatch_outside::engine::PieceManifest;
use headlatch_types::traffic::EngineCapacity;

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
