//! Fair shares of a service's capacity among organisations.
//!
//! Handles load bursts in which a few large organisations ask for more than engines can run: among
//! waiting requests of the same urgency, those of the organisation that has been served least go
//! first, so that small organisations do not wait behind the large ones.

use std::{cmp::Ordering, collections::HashMap, fmt, net::SocketAddr, sync::Arc, time::Duration};

use crate::time::Moment;

/// Time constant of the prompt tokens that count as served. About the length of a load burst: an
/// organisation pays in a burst for what it has used in the same one.
const SERVED_TIME: Duration = Duration::from_secs(5);

/// Prompt tokens by which organisations have to differ to be ordered, about four usual prompts.
/// Smaller differences change with every request and would hide the criteria that come after.
const ORDER_STEP: f64 = 4_096.0;

/// Number of prompt tokens below which an organisation is forgotten.
const MIN_SERVED: f64 = 1.0;

/// Time between two searches for idle organisations and entries.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which the report of an entry that sends no further one is forgotten; what it
/// contributed has decayed to 2 % by then.
const REPORT_TIME: Duration = Duration::from_secs(20);

/// An order among organisations whose requests wait for the same capacity.
pub trait OrganisationOrder: fmt::Debug + Send {
    /// Which of two organisations goes first; equal if that is left to other criteria. `None` stands for
    /// callers without an organisation. At one moment this is a total order of all organisations.
    fn compare(&self, now: Moment, first: Option<&str>, second: Option<&str>) -> Ordering;
}

/// Leaves the order to other criteria.
#[derive(Debug, Clone, Copy, Default)]
pub struct NoOrder;

impl OrganisationOrder for NoOrder {
    fn compare(&self, _now: Moment, _first: Option<&str>, _second: Option<&str>) -> Ordering {
        Ordering::Equal
    }
}

/// Prompt tokens of one organisation, as a sum that decays over [`SERVED_TIME`].
#[derive(Debug, Clone, Copy, Default)]
struct ServedTokens {
    tokens: f64,
    updated: Moment,
}

impl ServedTokens {
    fn at(self, now: Moment) -> f64 {
        let passed = now.since(self.updated).as_secs_f64() / SERVED_TIME.as_secs_f64();
        self.tokens * (-passed).exp()
    }

    /// Adds tokens, or removes them if `tokens` is negative.
    fn add(&mut self, now: Moment, tokens: f64) {
        self.tokens = (self.at(now) + tokens).max(0.0);
        self.updated = self.updated.max(now);
    }
}

/// Prompt tokens that an entry has sent for one organisation, as it reports them to others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrganisationService {
    /// Name of the organisation; empty for callers without one.
    pub organisation: Arc<str>,
    /// Decayed sum of the prompt tokens that were sent.
    pub tokens: u64,
}

/// Last report of another entry.
#[derive(Debug)]
struct EntryReport {
    received: Moment,
    services: Vec<OrganisationService>,
}

/// Orders organisations by the prompt tokens sent for them over the last seconds, here and at other
/// entries: the least served first. One instance serves one service.
///
/// The state is in memory and starts empty, which is to say that all organisations are equal. The
/// reports of other entries are about 100 ms old, so that the order is off by what they have sent
/// since.
#[derive(Debug, Default)]
pub struct FairShares {
    /// Tokens sent by this entry; callers without an organisation have the empty name.
    own: HashMap<Arc<str>, ServedTokens>,
    /// Tokens sent by all entries.
    total: HashMap<Arc<str>, ServedTokens>,
    reports: HashMap<SocketAddr, EntryReport>,
    cleaned: Moment,
}

impl FairShares {
    /// Records that this entry has sent a prompt of `tokens` to a server.
    pub fn record_sent(&mut self, now: Moment, organisation: Option<&Arc<str>>, tokens: u64) {
        self.forget_idle(now);
        let name = organisation.cloned().unwrap_or_default();
        for sums in [&mut self.own, &mut self.total] {
            sums.entry(name.clone()).or_default().add(now, tokens as f64);
        }
    }

    /// Replaces what `entry` has reported by a newer report, which covers all its organisations.
    pub fn set_report(
        &mut self,
        now: Moment,
        entry: SocketAddr,
        services: Vec<OrganisationService>,
    ) {
        self.forget_idle(now);
        for service in &services {
            let total = self.total.entry(service.organisation.clone()).or_default();
            total.add(now, service.tokens as f64);
        }
        let report = EntryReport { received: now, services };
        let Some(before) = self.reports.insert(entry, report) else { return };
        for service in before.services {
            let sum = ServedTokens { tokens: service.tokens as f64, updated: before.received };
            if let Some(total) = self.total.get_mut(&service.organisation) {
                total.add(now, -sum.at(now));
            }
        }
    }

    /// What this entry reports to others: its `limit` most served organisations, the most served first.
    pub fn report(&self, now: Moment, limit: usize) -> Vec<OrganisationService> {
        let services = self.own.iter().map(|(organisation, sum)| OrganisationService {
            organisation: organisation.clone(),
            tokens: sum.at(now).round() as u64,
        });
        let mut services: Vec<_> = services.filter(|service| service.tokens > 0).collect();
        services.sort_by(|one, other| {
            other.tokens.cmp(&one.tokens).then_with(|| one.organisation.cmp(&other.organisation))
        });
        services.truncate(limit);
        services
    }

    /// Prompt tokens sent for an organisation over the last seconds, as a decayed sum.
    pub fn served(&self, now: Moment, organisation: Option<&str>) -> f64 {
        self.total.get(organisation.unwrap_or_default()).map_or(0.0, |sum| sum.at(now))
    }

    /// Number of organisations that are remembered.
    pub fn organisations(&self) -> usize {
        self.total.len()
    }

    /// Forgets organisations that have not been served, and entries that have not reported, for long.
    fn forget_idle(&mut self, now: Moment) {
        if now.since(self.cleaned) < CLEANUP_INTERVAL {
            return;
        }
        self.cleaned = now;
        self.own.retain(|_, sum| sum.at(now) >= MIN_SERVED);
        self.total.retain(|_, sum| sum.at(now) >= MIN_SERVED);
        self.reports.retain(|_, report| now.since(report.received) < REPORT_TIME);
    }
}

impl OrganisationOrder for FairShares {
    fn compare(&self, now: Moment, first: Option<&str>, second: Option<&str>) -> Ordering {
        let step = |organisation| (self.served(now, organisation) / ORDER_STEP) as u64;
        step(first).cmp(&step(second))
    }
}
