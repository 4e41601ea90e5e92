//! How many retries a node may add to the load.

use std::time::Duration;

use crate::time::Moment;

/// Retries allowed for every hundred first attempts.
const RETRIES_PERCENT: u64 = 10;

/// Retries a second that are allowed whatever the load.
const LEAST_PER_SECOND: u64 = 2;

/// Most retries saved up, so that a quiet hour does not pay for a storm.
const MOST_SAVED: u64 = 50;

const HUNDREDTHS: u64 = 100;

/// A budget that first attempts fill and retries empty.
///
/// When everything fails, retries add a tenth to the load instead of multiplying it.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Hundredths of a retry.
    saved: u64,
    filled_at: Moment,
}

impl RetryBudget {
    /// A budget with a few retries in hand.
    pub fn new(now: Moment) -> Self {
        Self { saved: 10 * HUNDREDTHS, filled_at: now }
    }

    /// Counts a first attempt.
    pub fn earn(&mut self, now: Moment) {
        self.fill(now);
        self.add(RETRIES_PERCENT);
    }

    /// Takes one retry if there is one.
    pub fn spend(&mut self, now: Moment) -> bool {
        self.fill(now);
        let enough = self.saved >= HUNDREDTHS;
        if enough {
            self.saved -= HUNDREDTHS;
        }
        enough
    }

    fn fill(&mut self, now: Moment) {
        let rest = now.since(self.filled_at);
        let steps = rest.as_millis() as u64 * LEAST_PER_SECOND * HUNDREDTHS / 1000;
        if steps > 0 {
            self.filled_at = self.filled_at + Duration::from_millis(rest.as_millis() as u64);
            self.add(steps);
        }
    }

    fn add(&mut self, hundredths: u64) {
        self.saved = (self.saved + hundredths).min(MOST_SAVED * HUNDREDTHS);
    }
}
