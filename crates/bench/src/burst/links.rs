//! Fake links: each sends blocks one after another at its rate.

use std::time::Duration;

use headlatch_core::time::Moment;

/// A time in which a link does not run at its rate.
#[derive(Debug, Clone, Copy)]
pub struct LinkTrouble {
    /// When it begins.
    pub from: Moment,
    /// When it ends.
    pub until: Moment,
    /// How many times longer a block takes; none for a link that stands still.
    pub slowdown: Option<u32>,
}

/// One link, or one way of it.
#[derive(Debug, Clone)]
pub struct FakeLink {
    block_time: Duration,
    free_at: Moment,
    troubles: Vec<LinkTrouble>,
}

impl FakeLink {
    /// A link on which a block takes `block_time`.
    pub fn new(block_time: Duration) -> Self {
        Self { block_time, free_at: Moment::ZERO, troubles: Vec::new() }
    }

    /// Adds a trouble.
    pub fn trouble(&mut self, trouble: LinkTrouble) {
        self.troubles.push(trouble);
    }

    /// Sends a block that is ready at `now`; returns when it has left.
    pub fn send(&mut self, now: Moment) -> Moment {
        let mut start = now.max(self.free_at);
        let mut time = self.block_time;
        for trouble in &self.troubles {
            if start < trouble.from || start >= trouble.until {
                continue;
            }
            match trouble.slowdown {
                None => start = trouble.until,
                Some(slowdown) => time = self.block_time * slowdown,
            }
        }
        self.free_at = start + time;
        self.free_at
    }
}
