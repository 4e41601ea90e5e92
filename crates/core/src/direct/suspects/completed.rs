//! Requests that have run to their end a short time ago.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{direct::request_digest::RequestDigest, time::Moment};

/// Time for which a whole answer speaks for a request. The same page is asked for by many callers at
/// once; where several of its servers are lost in one moment, all of them would count against it.
const COMPLETION_TIME: Duration = Duration::from_secs(60);

/// Requests remembered at most: those of a minute at seventy a second.
const MAX_COMPLETED: usize = 4096;

/// Requests that have run to their end a short time ago.
#[derive(Debug, Clone, Default)]
pub struct CompletedRequests {
    last_completions: HashMap<RequestDigest, Moment>,
    in_order: VecDeque<(Moment, RequestDigest)>,
}

impl CompletedRequests {
    /// The request has run to its end.
    pub fn record(&mut self, now: Moment, digest: RequestDigest) {
        self.last_completions.insert(digest, now);
        self.in_order.push_back((now, digest));
        while self.in_order.len() > MAX_COMPLETED {
            self.remove_oldest();
        }
    }

    /// Whether it has run to its end a short time ago.
    pub fn completed_recently(&self, now: Moment, digest: RequestDigest) -> bool {
        self.last_completions.get(&digest).is_some_and(|at| now.since(*at) <= COMPLETION_TIME)
    }

    /// Forgets what is too old to matter.
    pub fn remove_expired(&mut self, now: Moment) {
        while self.in_order.front().is_some_and(|(at, _)| now.since(*at) > COMPLETION_TIME) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((at, digest)) = self.in_order.pop_front() else { return };
        // It may have run again since.
        if self.last_completions.get(&digest) == Some(&at) {
            self.last_completions.remove(&digest);
        }
    }
}
