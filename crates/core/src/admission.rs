//! Who may begin a request at an entry: fair shares, bounded queues, early refusal.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use headlatch_types::id::OrganisationName;

use crate::time::Moment;

/// Least time between two cuts of a limit: refusals come in crowds that tell of one shortage.
const DECREASE_INTERVAL: Duration = Duration::from_secs(2);

/// What is left of a limit after a cut.
const DECREASE_FACTOR: f64 = 0.97;

/// How many requests an entry lets run, learnt from its endpoints' refusals.
///
/// It rises by one for every round of requests that run and falls by a few hundredths when endpoints are
/// full, so that under overload requests wait in the fair queue instead of being refused at
/// random by whichever endpoint they happen to meet.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    limit: f64,
    min: f64,
    max: f64,
    decreased_at: Moment,
}

impl ConcurrencyLimit {
    /// A limit between `least` and `most`, which begins at `most`.
    pub fn new(min: u32, max: u32) -> Self {
        let (min, max) = (f64::from(min), f64::from(max.max(min)));
        Self { limit: max, min, max, decreased_at: Moment::ZERO }
    }

    /// Changes the most it may rise to.
    pub fn set_max(&mut self, max: u32) {
        self.max = f64::from(max).max(self.min);
        self.limit = self.limit.min(self.max);
    }

    /// An endpoint took a request.
    pub fn record_accepted(&mut self) {
        self.limit = (self.limit + 1.0 / self.limit).min(self.max);
    }

    /// An endpoint was full.
    pub fn record_busy(&mut self, now: Moment) {
        if now.since(self.decreased_at) >= DECREASE_INTERVAL {
            self.decreased_at = now;
            self.limit = (self.limit * DECREASE_FACTOR).max(self.min);
        }
    }

    /// The limit now.
    pub fn get(&self) -> u32 {
        self.limit as u32
    }
}

/// Number of a request that waits or runs, given by its entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestNumber(pub u64);

/// What an organisation may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrganisationQuota {
    /// Its part of the capacity, relative to the others.
    pub share: u32,
    /// Most requests in progress.
    pub max_in_progress: Option<u32>,
}

/// Why a request was refused; it certainly did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// Too many requests wait already.
    QueueFull,
    /// It waited too long.
    QueueTimeout,
}

/// What became of an arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may run now.
    Run,
    /// It waits; [`FairQueue::dequeue`] or [`FairQueue::expire`] will name it.
    Wait,
    /// It is refused.
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
    /// Virtual time at which its next request is due.
    start_tag: u64,
}

/// Virtual time that one request of a share of 1 takes.
const VIRTUAL_COST: u64 = 1 << 20;

/// Lets requests run up to a limit and shares the limit between organisations.
///
/// It is start-time fair queueing: each organisation has a clock that a request moves on by an
/// amount inverse to its share, and the one whose clock is furthest behind goes next. Each entry
/// does so for itself; the platform's balancer spreads every organisation over all entries, so
/// that shares hold overall without a counter between them.
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
    /// A queue that lets `most_running` requests run and `most_waiting` wait for `longest_wait`.
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

    /// Changes how many requests may run.
    pub fn resize(&mut self, max_running: u32) {
        self.max_running = max_running;
    }

    /// Requests that run and that wait.
    pub fn counts(&self) -> (u32, usize) {
        (self.running, self.waiting)
    }

    /// A request has come.
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
        // A full queue is shared as well: whoever has more than its part waiting is refused.
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

    /// A request has ended.
    pub fn finish(&mut self, organisation: &OrganisationName) {
        self.running = self.running.saturating_sub(1);
        if let Some(queue) = self.queues.get_mut(organisation) {
            queue.running = queue.running.saturating_sub(1);
        }
    }

    /// A request that waits has been given up by its caller.
    pub fn cancel(&mut self, organisation: &OrganisationName, number: RequestNumber) {
        if let Some(queue) = self.queues.get_mut(organisation) {
            let before = queue.waiting.len();
            queue.waiting.retain(|request| request.number != number);
            self.waiting -= before - queue.waiting.len();
        }
    }

    /// The requests that may begin now.
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

    /// The requests that have waited too long.
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
