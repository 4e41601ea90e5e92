//! Admission control at an entry: weighted fair queueing, bounded queues and early rejection.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use headlatch_types::id::OrganisationName;

use crate::time::Moment;

/// Minimum time between two decreases of a limit, since one shortage of capacity causes many
/// refusals within a short time.
const DECREASE_INTERVAL: Duration = Duration::from_secs(2);

/// Factor applied to the limit on each decrease.
const DECREASE_FACTOR: f64 = 0.97;

/// Adaptive limit on the requests that an entry runs concurrently.
///
/// Additive increase, multiplicative decrease: the limit rises by one for each full window of
/// accepted requests and falls by 3 % when an endpoint is full. Under overload,
/// requests therefore wait in the fair queue instead of being refused by an arbitrary endpoint.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    limit: f64,
    min: f64,
    max: f64,
    decreased_at: Moment,
}

impl ConcurrencyLimit {
    /// Creates a limit between `min` and `max` that starts at `max`.
    pub fn new(min: u32, max: u32) -> Self {
        let (min, max) = (f64::from(min), f64::from(max.max(min)));
        Self { limit: max, min, max, decreased_at: Moment::ZERO }
    }

    /// Changes the upper bound and lowers the limit to it if necessary.
    pub fn set_max(&mut self, max: u32) {
        self.max = f64::from(max).max(self.min);
        self.limit = self.limit.min(self.max);
    }

    /// Records that an endpoint accepted a request.
    pub fn record_accepted(&mut self) {
        self.limit = (self.limit + 1.0 / self.limit).min(self.max);
    }

    /// Records that an endpoint refused a request because it was full.
    pub fn record_busy(&mut self, now: Moment) {
        if now.since(self.decreased_at) >= DECREASE_INTERVAL {
            self.decreased_at = now;
            self.limit = (self.limit * DECREASE_FACTOR).max(self.min);
        }
    }

    /// Returns the current limit, rounded down.
    pub fn get(&self) -> u32 {
        self.limit as u32
    }
}

/// Identifier of a queued or running request, assigned by its entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestNumber(pub u64);

/// Share and limit of an organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrganisationQuota {
    /// Weight of the organisation, relative to the others.
    pub share: u32,
    /// Maximum number of running requests; unlimited if `None`.
    pub max_in_progress: Option<u32>,
}

/// Why a request was rejected. A rejected request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The queue is full.
    QueueFull,
    /// The request waited longer than the maximum queueing time.
    QueueTimeout,
}

/// Result of [`FairQueue::admit`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request may run now.
    Run,
    /// The request is queued; [`FairQueue::dequeue`] or [`FairQueue::expire`] returns it later.
    Wait,
    /// The request is rejected.
    Refuse(RefusalReason),
}

#[derive(Debug, Clone, Copy)]
struct QueuedRequest {
    number: RequestNumber,
    deadline: Moment,
}

#[derive(Debug, Clone, Default)]
struct OrganisationQueue {
    running: u32,
    waiting: VecDeque<QueuedRequest>,
    /// Virtual start time of the next request.
    start_tag: u64,
}

/// Virtual time by which one request advances an organisation with a share of 1.
const VIRTUAL_COST: u64 = 1 << 20;

/// Limits concurrent requests and divides the limit between organisations by their shares.
///
/// Implements start-time fair queueing: each request advances the virtual time of its organisation
/// by an amount inversely proportional to the share, and the organisation with the smallest virtual
/// time is served next. Each entry schedules independently. The platform's load balancer spreads
/// every organisation over all entries, so shares hold overall without a shared counter.
#[derive(Debug, Clone)]
pub struct FairQueue {
    queues: BTreeMap<OrganisationName, OrganisationQueue>,
    max_running: u32,
    max_waiting: usize,
    max_wait: Duration,
    running: u32,
    waiting: usize,
    virtual_time: u64,
}

impl FairQueue {
    /// Creates a queue for `max_running` running requests and `max_waiting` queued ones, each of
    /// which waits for at most `max_wait`.
    pub fn new(max_running: u32, max_waiting: usize, max_wait: Duration) -> Self {
        Self {
            queues: BTreeMap::new(),
            max_running,
            max_waiting,
            max_wait,
            running: 0,
            waiting: 0,
            virtual_time: 0,
        }
    }

    /// Changes the maximum number of running requests.
    pub fn resize(&mut self, max_running: u32) {
        self.max_running = max_running;
    }

    /// Returns the numbers of running and queued requests.
    pub fn counts(&self) -> (u32, usize) {
        (self.running, self.waiting)
    }

    /// Handles a new request.
    pub fn admit(
        &mut self,
        now: Moment,
        number: RequestNumber,
        organisation: &OrganisationName,
        quota: OrganisationQuota,
    ) -> Admission {
        let virtual_time = self.virtual_time;
        let queue = self.queues.entry(organisation.clone()).or_default();
        let below_limit = quota.max_in_progress.is_none_or(|max| queue.running < max);
        if self.running < self.max_running && self.waiting == 0 && below_limit {
            queue.start(virtual_time, quota);
            self.running += 1;
            return Admission::Run;
        }
        // A full queue is divided equally: an organisation at or above its part of the queue is
        // rejected. Others may still enqueue up to twice the maximum.
        let queue_share = self.max_waiting / self.queues.len().max(1);
        let queue = self.queues.entry(organisation.clone()).or_default();
        if self.waiting >= self.max_waiting && queue.waiting.len() >= queue_share.max(1)
            || self.waiting >= self.max_waiting * 2
        {
            return Admission::Refuse(RefusalReason::QueueFull);
        }
        queue.waiting.push_back(QueuedRequest { number, deadline: now + self.max_wait });
        self.waiting += 1;
        Admission::Wait
    }

    /// Records that a running request has finished.
    pub fn finish(&mut self, organisation: &OrganisationName) {
        self.running = self.running.saturating_sub(1);
        if let Some(queue) = self.queues.get_mut(organisation) {
            queue.running = queue.running.saturating_sub(1);
        }
    }

    /// Removes a queued request whose caller has gone away.
    pub fn cancel(&mut self, organisation: &OrganisationName, number: RequestNumber) {
        if let Some(queue) = self.queues.get_mut(organisation) {
            let before = queue.waiting.len();
            queue.waiting.retain(|request| request.number != number);
            self.waiting -= before - queue.waiting.len();
        }
    }

    /// Dequeues the requests that may run now.
    pub fn dequeue(
        &mut self,
        quota: impl Fn(&OrganisationName) -> OrganisationQuota,
    ) -> Vec<RequestNumber> {
        let mut dequeued = Vec::new();
        while self.running < self.max_running {
            let eligible = self.queues.iter_mut().filter(|(name, queue)| {
                let max = quota(name).max_in_progress;
                !queue.waiting.is_empty() && max.is_none_or(|max| queue.running < max)
            });
            let Some((name, queue)) = eligible.min_by_key(|(_, queue)| queue.start_tag) else {
                break;
            };
            let Some(request) = queue.waiting.pop_front() else { break };
            self.virtual_time = self.virtual_time.max(queue.start_tag);
            queue.start(self.virtual_time, quota(name));
            self.waiting -= 1;
            self.running += 1;
            dequeued.push(request.number);
        }
        dequeued
    }

    /// Removes and returns the requests whose queueing deadline has passed.
    pub fn expire(&mut self, now: Moment) -> Vec<RequestNumber> {
        let mut expired = Vec::new();
        for queue in self.queues.values_mut() {
            while queue.waiting.front().is_some_and(|request| request.deadline <= now) {
                expired.extend(queue.waiting.pop_front().map(|request| request.number));
            }
        }
        self.waiting -= expired.len();
        expired
    }
}

impl OrganisationQueue {
    fn start(&mut self, virtual_time: u64, quota: OrganisationQuota) {
        self.running += 1;
        self.start_tag =
            self.start_tag.max(virtual_time) + VIRTUAL_COST / u64::from(quota.share.max(1));
    }
}
