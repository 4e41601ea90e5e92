//! The share of one entry in the retry budget that all entries have in common for a service.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::time::Moment;

/// Part of the common budget that is used, in percent: the windows of the entries are not synchronized.
const USED_PERCENT: f64 = 85.0;

/// The unused rest of the common budget, in percent.
const UNUSED_PERCENT: f64 = 100.0 - USED_PERCENT;

/// Time after the first start of the whole system in which the use of the common slack is limited, because
/// not all entries have been discovered yet.
const DISCOVERY_PERIOD: Duration = Duration::from_secs(3);

/// Minimum number of retries that an entry may use after a restart, if there is any slack: it allows a
/// stream interrupted by its server to resume elsewhere.
const MIN_AFTER_RESTART: usize = 1;

/// Maximum number of retries from the slack that an entry may use while undiscovered entries or earlier runs
/// may use it as well, so that all entries together stay well below the slack.
const MAX_STARTUP_SLACK: f64 = 3.0;

/// Parameters of the common retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed within the window, over all entries.
    pub slack: f64,
    /// Sliding window in which requests and retries are counted.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct ServiceCount {
    /// Times of first attempts.
    requests: VecDeque<Moment>,
    /// Times of retries.
    retries: VecDeque<Moment>,
}

/// Circumstances of the start of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryStart {
    /// First start of the whole system: no earlier run has sent requests.
    FirstStart,
    /// Other entries are running, or this one has run before.
    Restart,
}

/// Counts the requests and retries of one entry and limits the retries to its share.
#[derive(Debug)]
pub struct RetryShare {
    budget: RetryBudget,
    start: EntryStart,
    services: HashMap<String, ServiceCount>,
    /// Numbers of live entries in decreasing order, each with the time at which it was observed.
    entries: VecDeque<(Moment, usize)>,
}

impl RetryShare {
    /// Creates a share without any counted requests.
    pub fn new(budget: RetryBudget, start: EntryStart) -> Self {
        Self { budget, start, services: HashMap::new(), entries: VecDeque::new() }
    }

    /// Replaces the parameters of the budget and keeps the counts.
    pub fn set_budget(&mut self, budget: RetryBudget) {
        self.budget = budget;
    }

    fn count(&mut self, now: Moment, service: &str) -> &mut ServiceCount {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), ServiceCount::default());
        }
        let window = self.budget.window;
        let count = self.services.get_mut(service).expect("count inserted above");
        for times in [&mut count.requests, &mut count.retries] {
            while times.front().is_some_and(|first| now.since(*first) > window) {
                times.pop_front();
            }
        }
        count
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, now: Moment, service: &str) {
        self.count(now, service).requests.push_back(now);
    }

    /// Maximum number of live entries within the window: unreachable entries may still use their shares,
    /// and the retries of terminated entries still count.
    fn max_entries(&mut self, now: Moment, entries: usize) -> usize {
        let window = self.budget.window;
        while self.entries.front().is_some_and(|(at, _)| now.since(*at) > window) {
            self.entries.pop_front();
        }
        while self.entries.back().is_some_and(|(_, count)| *count <= entries) {
            self.entries.pop_back();
        }
        self.entries.push_back((now, entries));
        self.entries.front().map_or(1, |(_, count)| (*count).max(1))
    }

    /// Takes one retry out of the share if any is left; `entries` is the number of live entries.
    pub fn try_take(&mut self, now: Moment, service: &str, entries: usize) -> bool {
        let is_available = self.remaining(now, service, entries) > 0;
        if is_available {
            self.count(now, service).retries.push_back(now);
        }
        is_available
    }

    /// Share of this entry in the slack.
    fn slack_share(&self, now: Moment, entries: usize) -> f64 {
        let (slack, uptime) = (self.budget.slack, now.since(Moment::ZERO));
        match self.start {
            EntryStart::FirstStart if uptime < DISCOVERY_PERIOD => slack.min(MAX_STARTUP_SLACK),
            _ => slack / entries as f64,
        }
    }

    /// Whether retries sent before the start of this entry still count.
    ///
    /// Entries that are killed together would otherwise spend the same budget twice, both the part earned by
    /// requests and the slack, since no process is left that knows what has been spent. For one window after
    /// a restart they use only the part of the budget that is normally left unused.
    fn is_limited_by_earlier_runs(&self, now: Moment) -> bool {
        let uptime = now.since(Moment::ZERO);
        self.start == EntryStart::Restart && uptime < self.budget.window
    }

    /// Number of retries left in the share; `entries` is the number of live entries.
    pub fn remaining(&mut self, now: Moment, service: &str, entries: usize) -> usize {
        let budget = self.budget;
        let entries = self.max_entries(now, entries);
        let share = self.slack_share(now, entries);
        let is_limited = self.is_limited_by_earlier_runs(now);
        let count = self.count(now, service);
        let own = budget.ratio * count.requests.len() as f64;
        let allowed = if is_limited {
            let slack = (share * UNUSED_PERCENT / 100.0).min(MAX_STARTUP_SLACK);
            let minimum = MIN_AFTER_RESTART.min(budget.slack as usize);
            ((own * UNUSED_PERCENT / 100.0 + slack) as usize).max(minimum)
        } else {
            ((own + share) * USED_PERCENT / 100.0) as usize
        };
        allowed.saturating_sub(count.retries.len())
    }
}
