//! How many retries a node may add to the load.

use std::time::Duration;

use crate::time::Moment;

/// Retries allowed for every hundred first attempts.
const RETRIES_PERCENT: u64 = 10;

/// Retries a second that are allowed whatever the load.
const MIN_RETRIES_PER_SECOND: u64 = 2;

/// Most retries saved up, so that a quiet hour does not pay for a storm.
const MAX_BALANCE: u64 = 50;

const HUNDREDTHS_PER_RETRY: u64 = 100;

/// A budget that first attempts fill and retries empty.
///
/// When everything fails, retries add a tenth to the load instead of multiplying it.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Hundredths of a retry.
    balance: u64,
    refilled_at: Moment,
}

impl RetryBudget {
    /// A budget with a few retries in hand.
    pub fn new(now: Moment) -> Self {
        Self { balance: 10 * HUNDREDTHS_PER_RETRY, refilled_at: now }
    }

    /// Counts a first attempt.
    pub fn deposit(&mut self, now: Moment) {
        self.refill(now);
        self.add(RETRIES_PERCENT);
    }

    /// Takes one retry if there is one.
    pub fn try_withdraw(&mut self, now: Moment) -> bool {
        self.refill(now);
        let enough = self.balance >= HUNDREDTHS_PER_RETRY;
        if enough {
            self.balance -= HUNDREDTHS_PER_RETRY;
        }
        enough
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = now.since(self.refilled_at);
        let earned =
            elapsed.as_millis() as u64 * MIN_RETRIES_PER_SECOND * HUNDREDTHS_PER_RETRY / 1000;
        if earned > 0 {
            self.refilled_at = self.refilled_at + Duration::from_millis(elapsed.as_millis() as u64);
            self.add(earned);
        }
    }

    fn add(&mut self, hundredths: u64) {
        self.balance = (self.balance + hundredths).min(MAX_BALANCE * HUNDREDTHS_PER_RETRY);
    }
}
