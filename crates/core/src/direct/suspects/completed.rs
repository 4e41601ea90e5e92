//! Requests that recently ran to completion.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{direct::request_digest::RequestDigest, time::Moment};

/// Time for which a completed run keeps a request from becoming a suspect. Many callers may request
/// the same content at once; if several of its servers are lost together, every one of those ends
/// would count against it.
const COMPLETION_TIME: Duration = Duration::from_secs(60);

/// Maximum number of remembered completions: one minute at seventy requests per second.
const MAX_COMPLETED: usize = 4096;

/// Requests that recently ran to completion.
#[derive(Debug, Clone, Default)]
pub struct CompletedRequests {
    last_completions: HashMap<RequestDigest, Moment>,
    in_order: VecDeque<(Moment, RequestDigest)>,
}

impl CompletedRequests {
    /// Records that the request ran to completion.
    pub fn record(&mut self, now: Moment, digest: RequestDigest) {
        self.last_completions.insert(digest, now);
        self.in_order.push_back((now, digest));
        while self.in_order.len() > MAX_COMPLETED {
            self.remove_oldest();
        }
    }

    /// Whether the request ran to completion within [`COMPLETION_TIME`].
    pub fn completed_recently(&self, now: Moment, digest: RequestDigest) -> bool {
        self.last_completions.get(&digest).is_some_and(|at| now.since(*at) <= COMPLETION_TIME)
    }

    /// Removes completions older than [`COMPLETION_TIME`].
    pub fn remove_expired(&mut self, now: Moment) {
        while self.in_order.front().is_some_and(|(at, _)| now.since(*at) > COMPLETION_TIME) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let Some((at, digest)) = self.in_order.pop_front() else { return };
        // Keeps the entry if the request has completed again since.
        if self.last_completions.get(&digest) == Some(&at) {
            self.last_completions.remove(&digest);
        }
    }
}
