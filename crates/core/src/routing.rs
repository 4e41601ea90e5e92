//! Which endpoint a request goes to.

use std::{collections::HashMap, time::Duration};

use headlatch_types::id::{BoxId, DomainId};
use rand::{Rng, rngs::SmallRng};

use crate::time::Moment;

/// Failures in a row after which an endpoint is left out.
const EJECTION_THRESHOLD: u32 = 3;

/// First time an endpoint is left out for; it doubles each time.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(2);

/// Longest such time.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(60);

/// Time in which a new endpoint is brought up to its full part of the load.
const WARM_UP: Duration = Duration::from_secs(10);

/// How long a report about load is believed.
const LOAD_REPORT_TTL: Duration = Duration::from_secs(3);

/// How full the near endpoints must be, in percent of their slots, before far ones are taken.
const SPILLOVER_PERCENT: u32 = 90;

/// Percent of the average load that an endpoint may have and still be chosen for its cache.
const AFFINITY_BOUND_PERCENT: u32 = 125;

/// An endpoint that can answer a request, as its agent reported it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its box.
    pub id: BoxId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Requests it can run at the same time.
    pub slots: u32,
    /// Requests in progress there when it last reported.
    pub reported: u32,
}

#[derive(Debug, Clone)]
struct EndpointView {
    first_seen: Moment,
    /// Requests that this entry has in progress there.
    in_progress: u32,
    /// Load from a report on an answer, and when it came.
    load_report: Option<(u32, Moment)>,
    failures: u32,
    ejections: u32,
    ejected_until: Moment,
}

/// Chooses endpoints by what this entry has sent and what was reported.
///
/// Reports lag, and every entry reads the same ones, so that "the least loaded" would draw all
/// entries at once. Each choice compares only two random endpoints, counts its own requests in
/// progress at once, and believes a report only while it is fresh.
#[derive(Debug, Clone)]
pub struct EndpointPicker {
    domain: DomainId,
    views: HashMap<BoxId, EndpointView>,
    rng: SmallRng,
}

impl EndpointPicker {
    /// A picker for an entry in `domain`.
    pub fn new(domain: DomainId, rng: SmallRng) -> Self {
        Self { domain, views: HashMap::new(), rng }
    }

    /// Chooses one of `candidates`, leaving out `tried`; `affinity` is a hash of the prompt's
    /// beginning, whose cache is likely at one of them.
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
        // With every endpoint left out, trying one beats refusing everybody.
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
        // Endpoints that were there when this entry began have been warm for long.
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

    /// Load of an endpoint in thousandths of its slots, higher while it is warming up.
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

    /// The endpoint that the prompt's beginning hashes to, unless it is much busier than others.
    fn pick_by_affinity<'a>(
        &self,
        now: Moment,
        pool: &[&'a Candidate],
        affinity: u64,
    ) -> Option<&'a Candidate> {
        let total: u32 = pool.iter().map(|one| self.load(now, one)).sum();
        let average = total / pool.len().max(1) as u32;
        // One request may always be added, or an idle fleet would have no affinity at all.
        let within_bound = |one: &&&Candidate| {
            let bound = average * AFFINITY_BOUND_PERCENT / 100 + 1000 / one.slots.max(1);
            self.load(now, one) <= bound
        };
        let score = |one: &&&Candidate| crate::hash::score(affinity, one.id.key());
        pool.iter().filter(within_bound).max_by_key(score).copied()
    }

    /// A request was sent to an endpoint.
    pub fn start_request(&mut self, id: &BoxId) {
        if let Some(view) = self.views.get_mut(id) {
            view.in_progress += 1;
        }
    }

    /// A request to an endpoint has ended.
    pub fn finish_request(&mut self, id: &BoxId) {
        if let Some(view) = self.views.get_mut(id) {
            view.in_progress = view.in_progress.saturating_sub(1);
        }
    }

    /// An answer carried a report about load.
    pub fn record_load(&mut self, now: Moment, id: &BoxId, in_progress: u32) {
        if let Some(view) = self.views.get_mut(id) {
            view.load_report = Some((in_progress, now));
        }
    }

    /// An endpoint answered.
    pub fn record_success(&mut self, id: &BoxId) {
        if let Some(view) = self.views.get_mut(id) {
            view.failures = 0;
            view.ejections = 0;
        }
    }

    /// An endpoint failed; after a few times in a row it is left out for a while, and the next
    /// request to it afterwards is the probe that brings it back or leaves it out for longer.
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

    /// Forgets endpoints that are not in `living` and have nothing in progress.
    pub fn retain(&mut self, is_alive: impl Fn(&BoxId) -> bool) {
        self.views.retain(|id, view| view.in_progress > 0 || is_alive(id));
    }
}
