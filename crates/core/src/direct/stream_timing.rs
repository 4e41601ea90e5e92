//! How a stream came: when its first event was here, and the longest pause between two events.

use std::time::Duration;

use crate::time::Moment;

/// The times of one stream's events, over all servers that it came from.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamTiming {
    first: Option<Moment>,
    last: Option<Moment>,
    longest_pause: Duration,
}

impl StreamTiming {
    /// Notes that events came.
    pub fn note_event(&mut self, now: Moment) {
        if let Some(last) = self.last {
            self.longest_pause = self.longest_pause.max(now.since(last));
        }
        self.first.get_or_insert(now);
        self.last = Some(now);
    }

    /// When the first event was here; none before that.
    pub fn first(&self) -> Option<Moment> {
        self.first
    }

    /// When the last event was here; none before the first.
    pub fn last(&self) -> Option<Moment> {
        self.last
    }

    /// The longest pause between two events so far.
    pub fn longest_pause(&self) -> Duration {
        self.longest_pause
    }
}
