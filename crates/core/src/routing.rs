//! Choice of the endpoint for a request.

use std::{collections::HashMap, time::Duration};

use headlatch_types::id::{BoxId, DomainId};
use rand::{Rng, rngs::SmallRng};

use crate::time::Moment;

/// Consecutive failures after which an endpoint is ejected.
const EJECTION_THRESHOLD: u32 = 3;

/// Duration of the first ejection; it doubles with each further one.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(2);

/// Maximum duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(60);

/// Time over which a new endpoint is ramped up to its full share of the load.
const WARM_UP: Duration = Duration::from_secs(10);

/// How long a load report is used.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(3);

/// Utilisation of all local endpoints, in percent of their slots, from which on requests spill over
/// to other failure domains.
const SPILLOVER_PERCENT: u32 = 90;

/// Maximum load of an endpoint chosen for its prompt cache, in percent of the average load.
const AFFINITY_BOUND_PERCENT: u32 = 125;

/// Endpoint that can serve a request, as reported by its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Box of the endpoint.
    pub id: BoxId,
    /// Failure domain of the endpoint.
    pub domain: DomainId,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Requests in progress at the last gossip report.
    pub reported: u32,
}

#[derive(Debug, Clone)]
struct EndpointView {
    first_seen: Moment,
    /// Requests that this entry has in progress at the endpoint.
    in_progress: u32,
    /// Load reported with a response, and the time of arrival.
    load_report: Option<(u32, Moment)>,
    failures: u32,
    ejections: u32,
    ejected_until: Moment,
}

/// Chooses endpoints by the requests that this entry has in progress and by load reports.
///
/// Reports lag and all entries see the same ones, so choosing the least loaded endpoint would send
/// the requests of all entries to it at once. Each choice therefore compares two random endpoints
/// (power of two choices), counts this entry's own requests immediately, and ignores outdated
/// reports.
#[derive(Debug, Clone)]
pub struct EndpointPicker {
    domain: DomainId,
    views: HashMap<BoxId, EndpointView>,
    rng: SmallRng,
}

impl EndpointPicker {
    /// Creates a picker for an entry in `domain`.
    pub fn new(domain: DomainId, rng: SmallRng) -> Self {
        Self { domain, views: HashMap::new(), rng }
    }

    /// Chooses one of `candidates` that is not in `tried`.
    ///
    /// `affinity` is a hash of the prompt prefix, whose cache is likely to be at one candidate.
    pub fn pick(
        &mut self,
        now: Moment,
        candidates: &[Candidate],
        tried: &[BoxId],
        affinity: Option<u64>,
    ) -> Option<BoxId> {
        candidates.iter().for_each(|candidate| self.register(now, &candidate.id));
        let untried = |candidate: &&Candidate| !tried.contains(&candidate.id);
        let remaining: Vec<&Candidate> = candidates.iter().filter(untried).collect();
        let healthy: Vec<&Candidate> =
            remaining.iter().copied().filter(|one| self.is_available(now, &one.id)).collect();
        // If every endpoint is ejected, trying one is better than rejecting all requests.
        let usable = if healthy.is_empty() { remaining } else { healthy };
        let local: Vec<&Candidate> =
            usable.iter().copied().filter(|one| one.domain == self.domain).collect();
        let pool = if self.has_capacity(now, &local) { local } else { usable };
        let by_affinity = affinity.and_then(|hash| self.pick_by_affinity(now, &pool, hash));
        by_affinity.or_else(|| self.pick_least_loaded_of_two(now, &pool)).map(|one| one.id.clone())
    }

    fn register(&mut self, now: Moment, id: &BoxId) {
        if self.views.contains_key(id) {
            return;
        }
        // Endpoints that were present when this entry started are assumed to be warmed up.
        let at_startup = self.views.is_empty() || now.since(Moment::ZERO) < WARM_UP;
        let first_seen = if at_startup { Moment::ZERO } else { now };
        let view = EndpointView {
            first_seen,
            in_progress: 0,
            load_report: None,
            failures: 0,
            ejections: 0,
            ejected_until: Moment::ZERO,
        };
        self.views.insert(id.clone(), view);
    }

    fn is_available(&self, now: Moment, id: &BoxId) -> bool {
        self.views.get(id).is_none_or(|view| view.ejected_until <= now)
    }

    /// Returns the load of an endpoint in thousandths of its slots, increased during warm-up.
    fn load(&self, now: Moment, candidate: &Candidate) -> u32 {
        let slots = candidate.slots.max(1);
        let Some(view) = self.views.get(&candidate.id) else { return 0 };
        let report = view.load_report.filter(|(_, at)| now.since(*at) < LOAD_REPORT_TTL);
        let reported = report.map_or(candidate.reported, |(load, _)| load);
        let load = reported.max(view.in_progress) * 1000 / slots;
        let age = now.since(view.first_seen);
        if view.first_seen == Moment::ZERO || age >= WARM_UP {
            return load;
        }
        let ramp_remainder = 1000 - (age.as_millis() * 1000 / WARM_UP.as_millis()) as u32;
        load + ramp_remainder * (1 + view.in_progress) * 1000 / slots / 1000
    }

    fn has_capacity(&self, now: Moment, pool: &[&Candidate]) -> bool {
        let full = |candidate: &&Candidate| self.load(now, candidate) >= SPILLOVER_PERCENT * 10;
        !pool.is_empty() && !pool.iter().all(full)
    }

    fn pick_least_loaded_of_two<'a>(
        &mut self,
        now: Moment,
        pool: &[&'a Candidate],
    ) -> Option<&'a Candidate> {
        if pool.is_empty() {
            return None;
        }
        let one = pool[self.rng.random_range(0..pool.len())];
        let other = pool[self.rng.random_range(0..pool.len())];
        Some(if self.load(now, other) < self.load(now, one) { other } else { one })
    }

    /// Returns the endpoint with the highest rendezvous score for the prompt prefix among those
    /// whose load is within [`AFFINITY_BOUND_PERCENT`] of the average.
    fn pick_by_affinity<'a>(
        &self,
        now: Moment,
        pool: &[&'a Candidate],
        affinity: u64,
    ) -> Option<&'a Candidate> {
        let total: u32 = pool.iter().map(|one| self.load(now, one)).sum();
        let average = total / pool.len().max(1) as u32;
        // The bound allows one additional request, since an idle fleet would otherwise have no
        // affinity.
        let within_bound = |one: &&&Candidate| {
            let bound = average * AFFINITY_BOUND_PERCENT / 100 + 1000 / one.slots.max(1);
            self.load(now, one) <= bound
        };
        let score = |one: &&&Candidate| crate::hash::score(affinity, one.id.key());
        pool.iter().filter(within_bound).max_by_key(score).copied()
    }

    /// Records that a request was sent to an endpoint.
    pub fn start_request(&mut self, id: &BoxId) {
        if let Some(view) = self.views.get_mut(id) {
            view.in_progress += 1;
        }
    }

    /// Records that a request to an endpoint has finished.
    pub fn finish_request(&mut self, id: &BoxId) {
        if let Some(view) = self.views.get_mut(id) {
            view.in_progress = view.in_progress.saturating_sub(1);
        }
    }

    /// Records a load report received with a response.
    pub fn record_load(&mut self, now: Moment, id: &BoxId, in_progress: u32) {
        if let Some(view) = self.views.get_mut(id) {
            view.load_report = Some((in_progress, now));
        }
    }

    /// Records a successful response of an endpoint.
    pub fn record_success(&mut self, id: &BoxId) {
        if let Some(view) = self.views.get_mut(id) {
            view.failures = 0;
            view.ejections = 0;
        }
    }

    /// Records a failure of an endpoint. After `EJECTION_THRESHOLD` consecutive failures the
    /// endpoint is ejected. The first request after the ejection is a probe: success restores the
    /// endpoint, failure ejects it for longer.
    pub fn record_failure(&mut self, now: Moment, id: &BoxId) {
        let Some(view) = self.views.get_mut(id) else { return };
        view.failures += 1;
        if view.failures < EJECTION_THRESHOLD && view.ejections == 0 {
            return;
        }
        let ejection_time =
            BASE_EJECTION_TIME.saturating_mul(1 << view.ejections.min(5)).min(MAX_EJECTION_TIME);
        view.ejections += 1;
        view.ejected_until = now + ejection_time;
    }

    /// Drops endpoints for which `is_alive` is false and that have no request in progress.
    pub fn retain(&mut self, is_alive: impl Fn(&BoxId) -> bool) {
        self.views.retain(|id, view| view.in_progress > 0 || is_alive(id));
    }
}
