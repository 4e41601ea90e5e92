//! How long a request may take, and whose limit that is.

use std::time::Duration;

/// Whose limit a time is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TimeLimit {
    /// The caller waits no longer.
    Caller,
    /// The route's timeout, or the usual one where the route has none.
    Route,
    /// Newer weights are wanted, and older ones must not be worked with for longer.
    Weights,
}

/// A time with the limit that it comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitedTime {
    /// The time.
    pub time: Duration,
    /// Whose limit it is.
    pub limit: TimeLimit,
}

impl LimitedTime {
    /// `time` as the limit of `limit`.
    pub fn new(time: Duration, limit: TimeLimit) -> Self {
        Self { time, limit }
    }

    /// The shorter of this and `other`; this one where they are equal.
    pub fn shorter(self, other: Option<Self>) -> Self {
        match other {
            Some(other) if other.time < self.time => other,
            _ => self,
        }
    }
}
