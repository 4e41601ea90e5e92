//! An entry's share of the retries that all entries together may send to a service.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::time::Moment;

/// Part of the common budget that is used, in percent: entries do not count at the same moment.
const USED_PERCENT: f64 = 85.0;

/// What is left of the common budget by that, in percent.
const UNUSED_PERCENT: f64 = 100.0 - USED_PERCENT;

/// Time after the first start of the whole system in which little of the common slack is used: the
/// other entries are not all known yet.
const DISCOVERY_PERIOD: Duration = Duration::from_secs(3);

/// Retries that an entry may use after any other start, if there is any slack at all: a stream that its
/// server cuts short may go on elsewhere.
const MIN_AFTER_RESTART: usize = 1;

/// Retries of the slack that an entry may use while others or earlier lives may use it as well: those of
/// all entries together stay well below the whole.
const MAX_STARTUP_SLACK: f64 = 3.0;

/// Figures of the common budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Retries allowed besides, over all entries.
    pub slack: f64,
    /// Window that both are counted in.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct ServiceCount {
    /// Requests and retries, by the moment at which they were sent.
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

/// How an entry has come to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryStart {
    /// The whole system starts for the first time: nothing was sent before.
    FirstStart,
    /// Others run, or it has run before.
    Restart,
}

/// Counts requests and retries of one entry.
#[derive(Debug)]
pub struct RetryShare {
    budget: RetryBudget,
    start: EntryStart,
    services: HashMap<String, ServiceCount>,
    /// Entries known to live, whenever that was more than since.
    entries: VecDeque<(Moment, usize)>,
}

impl RetryShare {
    /// Nothing counted yet.
    pub fn new(budget: RetryBudget, start: EntryStart) -> Self {
        Self { budget, start, services: HashMap::new(), entries: VecDeque::new() }
    }

    /// Takes over other figures; what has been counted stays.
    pub fn set_budget(&mut self, budget: RetryBudget) {
        self.budget = budget;
    }

    fn count(&mut self, now: Moment, service: &str) -> &mut ServiceCount {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), ServiceCount::default());
        }
        let window = self.budget.window;
        let count = self.services.get_mut(service).expect("it has just been put in");
        for times in [&mut count.requests, &mut count.retries] {
            while times.front().is_some_and(|first| now.since(*first) > window) {
                times.pop_front();
            }
        }
        count
    }

    /// Notes the first sending of a request.
    pub fn note_request(&mut self, now: Moment, service: &str) {
        self.count(now, service).requests.push_back(now);
    }

    /// The most entries that were known to live within the window: those that are out of reach
    /// may still use their shares, and what the dead have used still counts.
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

    /// Takes one retry out of the share, if there is one left; `entries` are those known to live.
    pub fn take(&mut self, now: Moment, service: &str, entries: usize) -> bool {
        let free = self.left(now, service, entries) > 0;
        if free {
            self.count(now, service).retries.push_back(now);
        }
        free
    }

    /// This entry's share of the slack.
    fn slack_share(&self, now: Moment, entries: usize) -> f64 {
        let (slack, uptime) = (self.budget.slack, now.since(Moment::ZERO));
        match self.start {
            EntryStart::FirstStart if uptime < DISCOVERY_PERIOD => slack.min(MAX_STARTUP_SLACK),
            _ => slack / entries as f64,
        }
    }

    /// Whether retries that were sent before this entry's start still count.
    ///
    /// Entries that were killed together would spend the same budget twice, the part that requests earn as
    /// well as the slack, and nobody is left to tell what has been spent. For as long they use only the part
    /// of the budget that entries leave unused otherwise.
    fn is_limited_by_earlier_runs(&self, now: Moment) -> bool {
        let uptime = now.since(Moment::ZERO);
        self.start == EntryStart::Restart && uptime < self.budget.window
    }

    /// Retries that are left in the share; `entries` are those known to live.
    pub fn left(&mut self, now: Moment, service: &str, entries: usize) -> usize {
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
