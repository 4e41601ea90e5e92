//! Recognizes callers that were refused elsewhere and retry: less time is left to them than to others.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use crate::time::Moment;

/// Minimum difference to the usual deadline of a route by which a caller counts as retrying. Refused callers
/// return after 0.7 s or more; differences in network delay are far below half a second.
const MIN_SHORTENING: Duration = Duration::from_millis(500);

/// Number of deadlines that are remembered for each route.
const WINDOW_SIZE: usize = 64;

/// Divisor that selects the usual deadline among the remembered ones, the longest first. A refused caller
/// retries once, so that at most half of the requests of a load burst have a shortened deadline.
const USUAL_DIVISOR: usize = 4;

/// Time without requests after which the deadlines of a route are discarded.
const RETENTION: Duration = Duration::from_secs(60);

/// What a caller has tried before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerKind {
    /// This is its first attempt, as far as known.
    New,
    /// It was refused before and has less time left.
    Retrying,
}

/// Deadlines that the callers of each route usually set.
#[derive(Debug, Default)]
pub struct UsualDeadlines {
    routes: HashMap<Arc<str>, RouteDeadlines>,
}

#[derive(Debug, Default)]
struct RouteDeadlines {
    recent: VecDeque<Duration>,
    updated: Moment,
}

impl UsualDeadlines {
    /// Records a request to `route` whose caller waits for `deadline`; returns what kind of caller it is.
    pub fn record(&mut self, now: Moment, route: &Arc<str>, deadline: Duration) -> CallerKind {
        if !self.routes.contains_key(route) {
            self.routes.retain(|_, deadlines| now.since(deadlines.updated) < RETENTION);
        }
        let deadlines = self.routes.entry(route.clone()).or_default();
        deadlines.record(now, deadline);
        match deadline + MIN_SHORTENING <= deadlines.usual() {
            true => CallerKind::Retrying,
            false => CallerKind::New,
        }
    }
}

impl RouteDeadlines {
    fn record(&mut self, now: Moment, deadline: Duration) {
        if self.recent.len() == WINDOW_SIZE {
            self.recent.pop_front();
        }
        self.recent.push_back(deadline);
        self.updated = now;
    }

    fn usual(&self) -> Duration {
        let mut recent: Vec<Duration> = self.recent.iter().copied().collect();
        recent.sort_unstable_by(|one, other| other.cmp(one));
        recent.get(recent.len() / USUAL_DIVISOR).copied().unwrap_or_default()
    }
}
