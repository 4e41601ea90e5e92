//! Requests that have run to their end a short time ago.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use crate::{direct::request_digest::RequestDigest, time::Moment};

/// Time for which a whole answer speaks for a request. The same page is asked for by many callers at
/// once; where several of its servers are lost in one moment, all of them would count against it.
const SOUND_TIME: Duration = Duration::from_secs(60);

/// Requests remembered at most: those of a minute at seventy a second.
const MOST_SOUND: usize = 4096;

/// Requests that have run to their end a short time ago.
#[derive(Debug, Clone, Default)]
pub struct SoundRequests {
    last_runs: HashMap<RequestDigest, Moment>,
    in_order: VecDeque<(Moment, RequestDigest)>,
}

impl SoundRequests {
    /// The request has run to its end.
    pub fn note(&mut self, now: Moment, digest: RequestDigest) {
        self.last_runs.insert(digest, now);
        self.in_order.push_back((now, digest));
        while self.in_order.len() > MOST_SOUND {
            self.forget_first();
        }
    }

    /// Whether it has run to its end a short time ago.
    pub fn has_run(&self, now: Moment, digest: RequestDigest) -> bool {
        self.last_runs.get(&digest).is_some_and(|at| now.since(*at) <= SOUND_TIME)
    }

    /// Forgets what is too old to matter.
    pub fn forget_old(&mut self, now: Moment) {
        while self.in_order.front().is_some_and(|(at, _)| now.since(*at) > SOUND_TIME) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        let Some((at, digest)) = self.in_order.pop_front() else { return };
        // It may have run again since.
        if self.last_runs.get(&digest) == Some(&at) {
            self.last_runs.remove(&digest);
        }
    }
}
