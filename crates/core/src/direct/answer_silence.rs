//! Silences within an answer that could hide the restart of its server.
//!
//! The end of a connection normally arrives at once when its server crashes. It arrives late if this process
//! was suspended, or if the path to the server was cut or lost packets; nothing else arrives in that time either.

use std::time::Duration;

use crate::time::Moment;

/// Shortest silence in which a server could have crashed and started again: lost packets are sent again after
/// 200 ms.
const MIN_HIDDEN_RESTART: Duration = Duration::from_millis(250);

/// Measures the longest time in which nothing arrived from a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceMeter {
    last: Moment,
    longest: Duration,
}

impl SilenceMeter {
    /// Starts at the time at which the request was sent.
    pub fn new(sent_at: Moment) -> Self {
        Self { last: sent_at, longest: Duration::ZERO }
    }

    /// Records that something has arrived, or that the connection has ended.
    pub fn record(&mut self, now: Moment) {
        self.longest = self.longest.max(now.since(self.last));
        self.last = now;
    }

    /// The longest silence so far.
    pub fn longest(&self) -> Duration {
        self.longest
    }

    /// Whether the server could have been replaced by another process at its address unnoticed.
    pub fn may_hide_restart(&self) -> bool {
        self.longest >= MIN_HIDDEN_RESTART
    }
}
