//! Rate at which an entry sends prompt tokens to engines, from which the wait in its admission queue is
//! predicted.

use std::{ops::Add, time::Duration};

use crate::time::Moment;

/// Time constant of the moving average.
const AVERAGING_TIME: Duration = Duration::from_secs(1);

/// Time without a sent prompt after which the rate counts as zero. The rest of the average, 5 %, shows that
/// the entry had no requests rather than that engines are slow.
const IDLE_TIME: Duration = Duration::from_secs(3);

/// A number of prompt tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PromptTokens(pub u64);

impl Add for PromptTokens {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

/// Prompt tokens per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct TokenRate(f64);

impl TokenRate {
    /// The rate in tokens per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Time in which `tokens` are sent at this rate; `None` if the rate is zero and there are any.
    pub fn time_for(self, tokens: PromptTokens) -> Option<Duration> {
        if tokens.0 == 0 {
            return Some(Duration::ZERO);
        }
        let seconds = (self.0 > 0.0).then(|| tokens.0 as f64 / self.0)?;
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }
}

/// Moving average of the prompt tokens sent per second. Starts at zero.
#[derive(Debug, Clone, Copy, Default)]
pub struct DrainRate {
    /// Average at `updated`, in tokens per second.
    average: f64,
    updated: Moment,
}

impl DrainRate {
    /// Records that a prompt of `tokens` is sent.
    pub fn record_sent(&mut self, now: Moment, tokens: PromptTokens) {
        let added = tokens.0 as f64 / AVERAGING_TIME.as_secs_f64();
        self.average = self.rate(now).0 + added;
        self.updated = self.updated.max(now);
    }

    /// The current rate; zero if nothing has been sent for some seconds.
    pub fn rate(&self, now: Moment) -> TokenRate {
        let idle = now.since(self.updated);
        if idle >= IDLE_TIME {
            return TokenRate(0.0);
        }
        TokenRate(self.average * (-idle.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp())
    }
}
