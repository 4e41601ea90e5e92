//! Congestion window for draws of assigned chunks from the origin, across all boxes.
//!
//! Limits the load on an origin that is slower than configured, or that recovers from an outage which
//! the whole fleet has waited out. All boxes sort the missing chunks in the same order, and each draws a
//! chunk assigned to it only if the chunk's position lies within the window. The limit therefore holds
//! across boxes without coordination. The window is halved when the origin fails and grows with every
//! chunk that arrives, whichever box drew it.

use std::time::Duration;

use crate::time::Moment;

/// Maximum window: enough to saturate the link until the announcements of completed chunks have
/// propagated.
const MAX_CHUNKS: u32 = 24;

/// Minimum window: enough to saturate the link of an origin that has recovered.
const MIN_CHUNKS: u32 = 8;

/// Chunks by which the window grows with each arrival.
const GROWTH: u32 = 3;

/// Initial backoff after a failed draw; doubles with each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);

/// Maximum number of doublings of the backoff, which keeps a recovered origin from being idle for more
/// than half a second.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Maximum number of doublings of the stall timeout.
const MAX_STALL_DOUBLINGS: u32 = 4;

/// One box's view of the window, with the results of its own draws.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct DrawWindow {
    chunks: u32,
    progressed: Moment,
    /// Consecutive failed draws of this box.
    failures: u32,
    has_failed: bool,
    /// End of the backoff.
    due: Moment,
}

impl DrawWindow {
    /// A window of the maximum size.
    pub(super) fn new(now: Moment) -> Self {
        Self { chunks: MAX_CHUNKS, progressed: now, failures: 0, has_failed: false, due: now }
    }

    /// Current size of the window in chunks.
    pub(super) fn chunks(&self) -> u32 {
        self.chunks
    }

    /// Whether this box's backoff has elapsed.
    pub(super) fn is_open(&self, now: Moment) -> bool {
        now >= self.due
    }

    /// Whether any draw of this box has failed.
    pub(super) fn has_failed(&self) -> bool {
        self.has_failed
    }

    /// Whether neither a chunk has arrived nor a draw has failed for `patience`, which doubles with each
    /// consecutive failure. While the origin is down it is polled by the drawers of the first chunks; the
    /// longer timeout keeps all other boxes from drawing at once when it recovers.
    pub(super) fn is_stalled(&self, now: Moment, patience: Duration) -> bool {
        let doublings = self.failures.min(MAX_STALL_DOUBLINGS);
        now.since(self.progressed) > patience * (1 << doublings)
    }

    /// Records the arrival of a chunk drawn by any box.
    pub(super) fn record_arrival(&mut self, now: Moment) {
        self.progressed = now;
        self.chunks = (self.chunks + GROWTH).min(MAX_CHUNKS);
    }

    /// Records a successful draw of this box.
    pub(super) fn record_draw(&mut self) {
        self.failures = 0;
    }

    /// Records a failed draw of this box.
    pub(super) fn record_failure(&mut self, now: Moment) {
        self.progressed = now;
        self.chunks = (self.chunks / 2).max(MIN_CHUNKS);
        self.due = now + INITIAL_BACKOFF * (1 << self.failures.min(MAX_BACKOFF_DOUBLINGS));
        self.has_failed = true;
        self.failures += 1;
    }
}
