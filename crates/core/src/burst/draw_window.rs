//! How many assigned chunks all boxes together draw from the origin at the same time.
//!
//! Answers the load of a fleet that has waited for the same outage of its origin, or whose origin is
//! slower than it was said to be. Every box orders the missing chunks alike, and draws one that falls to
//! it only if its place in that order lies within the window; so the bound holds over all boxes without a
//! word between them. The window is that of congestion control: halved when the origin fails, and wider
//! with every chunk that comes, whoever has drawn it.

use crate::time::Moment;

/// Most chunks drawn at the same time: enough to keep the link full until the news of chunks that have
/// come has gone around.
const MOST_CHUNKS: u32 = 24;

/// Fewest: a few drawn at once keep the link of an origin full that is back.
const LEAST_CHUNKS: u32 = 8;

/// Chunks by which the window widens with each that comes.
const GROWTH: u32 = 3;

/// The window as one box sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct DrawWindow {
    chunks: u32,
    progressed: Moment,
}

impl DrawWindow {
    /// The whole window.
    pub(super) fn new(now: Moment) -> Self {
        Self { chunks: MOST_CHUNKS, progressed: now }
    }

    /// Chunks that may be drawn at the same time.
    pub(super) fn chunks(&self) -> u32 {
        self.chunks
    }

    /// When a chunk came last, or the origin failed last: there is nothing to wait for before.
    pub(super) fn progressed(&self) -> Moment {
        self.progressed
    }

    /// A chunk has come: the origin works.
    pub(super) fn note_arrival(&mut self, now: Moment) {
        self.progressed = now;
        self.chunks = (self.chunks + GROWTH).min(MOST_CHUNKS);
    }

    /// The origin has refused or failed a draw.
    pub(super) fn note_failure(&mut self, now: Moment) {
        self.progressed = now;
        self.chunks = (self.chunks / 2).max(LEAST_CHUNKS);
    }
}
