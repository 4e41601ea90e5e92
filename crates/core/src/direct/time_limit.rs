//! Time limits of requests and where they come from.

use std::time::Duration;

/// Source of a time limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TimeLimit {
    /// The caller's deadline.
    Caller,
    /// The route's timeout, or the default timeout if the route has none.
    Route,
    /// A newer version of the weights is wanted, and the older one must not be used any longer.
    Weights,
}

/// A duration with the source of its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitedTime {
    /// The duration.
    pub time: Duration,
    /// Source of the limit.
    pub limit: TimeLimit,
}

impl LimitedTime {
    /// A duration limited by `limit`.
    pub fn new(time: Duration, limit: TimeLimit) -> Self {
        Self { time, limit }
    }

    /// The shorter of this and `other`; this one if they are equal.
    pub fn shorter(self, other: Option<Self>) -> Self {
        match other {
            Some(other) if other.time < self.time => other,
            _ => self,
        }
    }
}
