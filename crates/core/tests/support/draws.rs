//! Extracts draws from the origin from planner actions.

use headlatch_core::burst::{ChunkSource, SwarmAction};
use headlatch_types::ChunkIndex;

/// Chunks that `actions` fetch from the origin.
pub fn drawn(actions: &[SwarmAction]) -> Vec<ChunkIndex> {
    let draw = |action: &SwarmAction| match action {
        SwarmAction::Fetch { chunk, source: ChunkSource::Origin } => Some(*chunk),
        _ => None,
    };
    actions.iter().filter_map(draw).collect()
}
