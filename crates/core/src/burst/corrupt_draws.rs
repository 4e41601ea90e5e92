//! Backoff of draws that brought corrupt data.
//!
//! Every draw is paid for. One that was spoilt on its way is repeated at once; if the next ones are corrupt as well,
//! the source or the manifest is at fault, and neither is corrected by drawing faster.

use std::{collections::HashMap, time::Duration};

use headlatch_types::ChunkIndex;

use crate::time::Moment;

/// Backoff after the second corrupt draw of a chunk; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum backoff: the source answers, and the next draw may be good.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Consecutive corrupt draws of one chunk.
#[derive(Debug, Clone, Copy)]
struct CorruptDraw {
    count: u32,
    not_before: Moment,
}

/// Chunks whose last draws were corrupt.
#[derive(Debug, Clone, Default)]
pub(super) struct CorruptDraws(HashMap<ChunkIndex, CorruptDraw>);

impl CorruptDraws {
    /// Records a corrupt draw.
    pub(super) fn record(&mut self, now: Moment, chunk: ChunkIndex) {
        let draw = self.0.entry(chunk).or_insert(CorruptDraw { count: 0, not_before: now });
        if draw.count > 0 {
            let doubled = INITIAL_BACKOFF.saturating_mul(1 << (draw.count - 1).min(6));
            draw.not_before = now + doubled.min(MAX_BACKOFF);
        }
        draw.count += 1;
    }

    /// Forgets a chunk that has arrived.
    pub(super) fn remove(&mut self, chunk: ChunkIndex) {
        self.0.remove(&chunk);
    }

    /// Whether a chunk may be drawn.
    pub(super) fn may_draw(&self, now: Moment, chunk: ChunkIndex) -> bool {
        self.0.get(&chunk).is_none_or(|draw| now >= draw.not_before)
    }
}
