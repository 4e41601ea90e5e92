//! Retry budget: limits the load that the retries of a node add.

use std::time::Duration;

use crate::time::Moment;

/// Retries allowed per hundred first attempts.
const RETRIES_PERCENT: u64 = 10;

/// Retries per second that are allowed regardless of the load.
const MIN_RETRIES_PER_SECOND: u64 = 2;

/// Maximum number of accumulated retries, so that a long period without retries does not permit a
/// retry storm.
const MAX_BALANCE: u64 = 50;

const HUNDREDTHS_PER_RETRY: u64 = 100;

/// Token bucket that first attempts fill and retries drain.
///
/// If every request fails, retries add a tenth to the load instead of multiplying it.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Accumulated budget, in hundredths of a retry.
    balance: u64,
    refilled_at: Moment,
}

impl RetryBudget {
    /// Creates a budget of 10 retries.
    pub fn new(now: Moment) -> Self {
        Self { balance: 10 * HUNDREDTHS_PER_RETRY, refilled_at: now }
    }

    /// Adds the retry allowance of one first attempt.
    pub fn deposit(&mut self, now: Moment) {
        self.refill(now);
        self.add(RETRIES_PERCENT);
    }

    /// Withdraws one retry; returns `false` if the budget does not allow it.
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
