//! How many assigned chunks all boxes together draw from the origin at the same time.
//!
//! Answers the load of a fleet that has waited for the same outage of its origin, or whose origin is
//! slower than it was said to be. Every box orders the missing chunks alike, and draws one that falls to
//! it only if its place in that order lies within the window; so the bound holds over all boxes without a
//! word between them. The window is that of congestion control: halved when the origin fails, and wider
//! with every chunk that comes, whoever has drawn it.

use std::time::Duration;

use crate::time::Moment;

/// Most chunks drawn at the same time: enough to keep the link full until the news of chunks that have
/// come has gone around.
const MAX_CHUNKS: u32 = 24;

/// Fewest: a few drawn at once keep the link of an origin full that is back.
const MIN_CHUNKS: u32 = 8;

/// Chunks by which the window widens with each that comes.
const GROWTH: u32 = 3;

/// First pause after the origin refused or failed; it doubles each time.
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);

/// Most doublings of that pause: an origin that is back must not wait for half a second more.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Most doublings of the patience with a standstill.
const MAX_STALL_DOUBLINGS: u32 = 4;

/// The window as one box sees it, with how the origin has treated that box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct DrawWindow {
    chunks: u32,
    progressed: Moment,
    /// Draws of this box that failed one after another.
    failures: u32,
    has_failed: bool,
    /// Before this the origin is left alone.
    due: Moment,
}

impl DrawWindow {
    /// The whole window.
    pub(super) fn new(now: Moment) -> Self {
        Self { chunks: MAX_CHUNKS, progressed: now, failures: 0, has_failed: false, due: now }
    }

    /// Chunks that may be drawn at the same time.
    pub(super) fn chunks(&self) -> u32 {
        self.chunks
    }

    /// Whether this box may ask the origin now.
    pub(super) fn is_open(&self, now: Moment) -> bool {
        now >= self.due
    }

    /// Whether the origin has ever failed this box.
    pub(super) fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Whether nothing has come, and the origin has not failed either, for `patience`. That doubles with each
    /// draw that failed: an origin that is down is asked by the drawers of the first chunks, and is not to be
    /// met by everybody else when it is back.
    pub(super) fn is_stalled(&self, now: Moment, patience: Duration) -> bool {
        let doublings = self.failures.min(MAX_STALL_DOUBLINGS);
        now.since(self.progressed) > patience * (1 << doublings)
    }

    /// A chunk has come, whoever has drawn it: the origin works.
    pub(super) fn note_arrival(&mut self, now: Moment) {
        self.progressed = now;
        self.chunks = (self.chunks + GROWTH).min(MAX_CHUNKS);
    }

    /// This box has drawn a chunk.
    pub(super) fn note_drawn(&mut self) {
        self.failures = 0;
    }

    /// The origin has refused or failed a draw.
    pub(super) fn note_failure(&mut self, now: Moment) {
        self.progressed = now;
        self.chunks = (self.chunks / 2).max(MIN_CHUNKS);
        self.due = now + INITIAL_BACKOFF * (1 << self.failures.min(MAX_BACKOFF_DOUBLINGS));
        self.has_failed = true;
        self.failures += 1;
    }
}
