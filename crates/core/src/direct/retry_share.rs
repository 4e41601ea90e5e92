//! An entry's share of the retries that all entries together may send to a service.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::time::Moment;

/// Part of the common budget that is used, in percent: entries do not count at the same moment.
const USED_PERCENT: f64 = 85.0;

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

/// Counts requests and retries of one entry.
#[derive(Debug)]
pub struct RetryShare {
    budget: RetryBudget,
    services: HashMap<String, ServiceCount>,
}

impl RetryShare {
    /// Nothing counted yet.
    pub fn new(budget: RetryBudget) -> Self {
        Self { budget, services: HashMap::new() }
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

    /// Takes one retry out of the share, if there is one left; `entries` are those known to live.
    pub fn take(&mut self, now: Moment, service: &str, entries: usize) -> bool {
        let budget = self.budget;
        let count = self.count(now, service);
        let own = budget.ratio * count.requests.len() as f64;
        let share = budget.slack / entries.max(1) as f64;
        let allowed = (own + share) * USED_PERCENT / 100.0;
        let free = ((count.retries.len() + 1) as f64) <= allowed;
        if free {
            count.retries.push_back(now);
        }
        free
    }
}
