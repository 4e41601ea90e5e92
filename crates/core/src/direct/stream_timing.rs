//! Timing of a stream: its first and last events and the longest pause between two events.

use std::time::Duration;

use crate::time::Moment;

/// Event times of one stream, across all servers that contributed to it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamTiming {
    first: Option<Moment>,
    last: Option<Moment>,
    longest_pause: Duration,
}

impl StreamTiming {
    /// Records the arrival of events.
    pub fn note_event(&mut self, now: Moment) {
        if let Some(last) = self.last {
            self.longest_pause = self.longest_pause.max(now.since(last));
        }
        self.first.get_or_insert(now);
        self.last = Some(now);
    }

    /// Arrival of the first event; `None` before it.
    pub fn first(&self) -> Option<Moment> {
        self.first
    }

    /// Arrival of the last event; `None` before the first.
    pub fn last(&self) -> Option<Moment> {
        self.last
    }

    /// Longest pause between two events so far.
    pub fn longest_pause(&self) -> Duration {
        self.longest_pause
    }
}
