//! Servers that have just come back take new work at a bounded rate.
//!
//! The bound holds over all entries together. Each uses its part of it, beginning at a moment of its
//! own, so that a server that is back gets single requests instead of one from everybody at once.

use std::{collections::HashMap, sync::Arc, time::Duration};

use crate::time::Moment;

/// Requests a second that a cold server of each service is sent at most, by all entries.
#[derive(Debug, Clone, Default)]
pub struct ColdRates {
    /// By service; a service that is missing has no bound.
    pub services: HashMap<Arc<str>, f64>,
    /// Where this entry begins among the others, from 0 to 1.
    pub phase: f64,
}

/// The time for which a server is cold, and what this entry has sent it in that time.
#[derive(Debug, Clone, Copy)]
pub struct ColdPeriod {
    since: Moment,
    until: Moment,
    sent: u32,
}

impl ColdPeriod {
    /// A server that is cold for `rest` more; `before` is what was known of it.
    pub fn new(now: Moment, rest: Duration, before: Option<Self>) -> Option<Self> {
        if rest.is_zero() {
            return None;
        }
        let first = Self { since: now, until: now, sent: 0 };
        Some(Self { until: now + rest, ..before.unwrap_or(first) })
    }

    /// Notes that a request has been sent there.
    pub fn record_sent(&mut self) {
        self.sent += 1;
    }

    /// Whether this entry, one of `entries`, may send one more request where all of them together may
    /// send `rate` a second.
    pub fn may_send(&self, now: Moment, rate: f64, entries: usize, phase: f64) -> bool {
        if now >= self.until {
            return true;
        }
        let share = rate / entries.max(1) as f64;
        let earned = phase + share * now.since(self.since).as_secs_f64();
        earned >= f64::from(self.sent) + 1.0
    }
}
