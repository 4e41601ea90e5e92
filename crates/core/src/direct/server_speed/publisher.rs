//! Which paces an agent publishes.

use std::time::Duration;

use headlatch_types::pace::ServerPace;

use super::EVEN_FACTOR;
use crate::time::Moment;

/// Age from which a report counts as none.
const REPORT_TTL: Duration = Duration::from_secs(2);

/// Relative change that is published at once.
const URGENT_CHANGE: f64 = 0.2;

/// Time between two publications of smaller changes. Each changed notice goes to every entry.
const MINOR_CHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Pace of one server as published by its agent.
#[derive(Debug, Clone)]
pub struct PacePublisher {
    published: Option<ServerPace>,
    /// Reported factor at the last publication, at least 1.
    reference: f64,
    published_at: Moment,
    reported_at: Moment,
}

impl Default for PacePublisher {
    fn default() -> Self {
        Self {
            published: None,
            reference: 1.0,
            published_at: Moment::ZERO,
            reported_at: Moment::ZERO,
        }
    }
}

/// The factor that entries apply for a pace.
fn applied(pace: Option<ServerPace>) -> f64 {
    let factor = pace.map_or(1.0, ServerPace::factor);
    if factor > EVEN_FACTOR { factor } else { 1.0 }
}

impl PacePublisher {
    /// Records a report of the server and returns the pace to publish.
    ///
    /// Changes that entries do not act on are not published, so that the notices of a fleet of even
    /// servers are as few as without paces.
    pub fn record(&mut self, now: Moment, reported: Option<ServerPace>) -> Option<ServerPace> {
        self.reported_at = now;
        let (before, after) = (applied(self.published), applied(reported));
        let factor = reported.map_or(1.0, ServerPace::factor).max(1.0);
        let is_urgent = (factor - self.reference).abs() >= URGENT_CHANGE * self.reference;
        let is_due = now.since(self.published_at) >= MINOR_CHANGE_INTERVAL;
        if after != before && (is_urgent || is_due) {
            self.published = reported.filter(|_| after > 1.0);
            self.reference = factor;
            self.published_at = now;
        }
        self.published
    }

    /// The pace to publish, or `None` if the last report is too old.
    pub fn current(&mut self, now: Moment) -> Option<ServerPace> {
        if now.since(self.reported_at) >= REPORT_TTL {
            self.forget();
        }
        self.published
    }

    /// Removes the pace of a server process that has ended.
    pub fn forget(&mut self) {
        self.published = None;
        self.reference = 1.0;
    }
}
