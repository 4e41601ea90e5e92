//! The way of a request: attempts, what becomes of them, and what callers are told.

use headlatch_core::{admission::OrganisationQuota, routing::Candidate, time::Moment};
use headlatch_types::{
    RunVerdict,
    verdict::{Repeatability, RetryPermit},
};
use rand::Rng;

use super::{
    DEATH_NOTICE, LATENCY, MOST_ATTEMPTS, PREFILL_TIME, RoutingEvent, RoutingWorld, TOKEN_TIME,
    prefill_factor, token_factor,
};
use crate::routing::{RoutingFault, RoutingPolicy};

impl RoutingWorld {
    pub(super) fn attempt(&mut self, now: Moment, request: usize) {
        if self.requests[request].attempts == 0 {
            let entry = self.requests[request].entry;
            self.entries[entry].budget.deposit(now);
        }
        let Some(engine) = self.choose(now, request) else {
            self.release(now, request);
            self.settle(now, request, RunVerdict::NotRun);
            return;
        };
        let one = &mut self.requests[request];
        one.attempts += 1;
        let id = self.candidates[engine].id.clone();
        one.tried.push(id.clone());
        self.entries[one.entry].picker.start_request(&id);
        self.queue.after(LATENCY, RoutingEvent::Reach { request, engine });
    }

    pub(super) fn choose(&mut self, now: Moment, request: usize) -> Option<usize> {
        let (entry, tried) = (self.requests[request].entry, &self.requests[request].tried);
        let shown = self.candidates.iter().zip(&self.shown).filter(|(_, shown)| **shown);
        let fresh = shown.map(|(one, _)| one).filter(|one| !tried.contains(&one.id));
        let pool: Vec<Candidate> = fresh.cloned().collect();
        if pool.is_empty() {
            return None;
        }
        let one = &mut self.entries[entry];
        let id = match self.options.policy {
            RoutingPolicy::Headlatch => one.picker.pick(now, &pool, tried, None)?,
            RoutingPolicy::Random => pool[self.rng.random_range(0..pool.len())].id.clone(),
            RoutingPolicy::RoundRobin => {
                one.turn += 1;
                pool[one.turn % pool.len()].id.clone()
            }
            RoutingPolicy::LeastReported => {
                pool.iter().min_by_key(|candidate| candidate.reported)?.id.clone()
            }
        };
        self.index.get(&id).copied()
    }

    pub(super) fn reach(&mut self, now: Moment, request: usize, engine: usize) {
        let attempt = self.requests[request].attempts;
        let one = &mut self.engines[engine];
        if !one.alive {
            let verdict = RunVerdict::NotRun;
            let event = RoutingEvent::Failed { request, engine, verdict, attempt };
            self.queue.after(DEATH_NOTICE, event);
            return;
        }
        if one.leaving || one.running >= self.slots {
            self.queue.after(LATENCY, RoutingEvent::Refused { request, engine, attempt });
            return;
        }
        one.running += 1;
        let load = f64::from(one.running) / f64::from(self.slots);
        let slow = if one.slow { 5.0 } else { 1.0 };
        let first = PREFILL_TIME.mul_f64(prefill_factor(load) * slow);
        let token = TOKEN_TIME.mul_f64(token_factor(load) * slow);
        let tokens = self.requests[request].tokens;
        self.requests[request].ran += 1;
        let entry = &mut self.entries[self.requests[request].entry];
        entry.limit.record_accepted();
        entry.queue.resize(entry.limit.get());
        self.hear(now, request, engine);
        if self.counts(request) {
            let since = now.since(self.requests[request].came) + first + LATENCY;
            self.first_tokens.push(since.as_secs_f64() * 1000.0);
            self.token_times.push(token.as_secs_f64() * 1000.0);
        }
        let event = RoutingEvent::Ended { request, engine, attempt };
        self.queue.after(first + token * tokens, event);
    }

    /// An answer or refusal carries the endpoint's load.
    pub(super) fn hear(&mut self, now: Moment, request: usize, engine: usize) {
        let running = self.engines[engine].running;
        let id = &self.candidates[engine].id;
        self.entries[self.requests[request].entry].picker.record_load(now, id, running);
    }

    pub(super) fn finish(&mut self, now: Moment, request: usize, engine: usize, attempt: u32) {
        // The endpoint died in the meantime, and this was told then.
        if self.requests[request].attempts != attempt || !self.engines[engine].alive {
            return;
        }
        self.engines[engine].running -= 1;
        let lost = self.has(RoutingFault::LostAnswers) && self.rng.random_range(0..100) == 0;
        if lost {
            self.fail(now, request, engine, RunVerdict::MayHaveRun, attempt, true);
            return;
        }
        let entry = self.requests[request].entry;
        let id = &self.candidates[engine].id;
        self.entries[entry].picker.finish_request(id);
        self.entries[entry].picker.record_success(id);
        self.release(now, request);
        self.settle(now, request, RunVerdict::Ran);
    }

    pub(super) fn fail(
        &mut self,
        now: Moment,
        request: usize,
        engine: usize,
        verdict: RunVerdict,
        attempt: u32,
        blame: bool,
    ) {
        let one = &self.requests[request];
        if one.done || one.attempts != attempt {
            return;
        }
        let (entry, once, attempts) = (one.entry, one.once, one.attempts);
        let id = self.candidates[engine].id.clone();
        self.entries[entry].picker.finish_request(&id);
        if blame {
            self.entries[entry].picker.record_failure(now, &id);
        }
        let repeatability = if once { Repeatability::Once } else { Repeatability::Repeatable };
        let again = attempts < MOST_ATTEMPTS
            && RetryPermit::after(verdict, repeatability).is_some()
            && self.entries[entry].budget.try_withdraw(now);
        let joined = verdict.after(self.requests[request].verdict);
        self.requests[request].verdict = Some(joined);
        if again {
            self.report.retries += u64::from(self.counts(request));
            self.attempt(now, request);
        } else {
            self.release(now, request);
            self.settle(now, request, verdict);
        }
    }

    pub(super) fn release(&mut self, now: Moment, request: usize) {
        let one = &self.requests[request];
        let (entry, organisation) = (one.entry, one.organisation);
        let terms = OrganisationQuota { share: 1, max_in_progress: None };
        self.entries[entry].queue.finish(&self.organisations[organisation]);
        let released = self.entries[entry].queue.dequeue(|_| terms);
        for number in released {
            self.attempt(now, number.0 as usize);
        }
    }

    /// Gives a request its final answer.
    pub(super) fn settle(&mut self, now: Moment, request: usize, verdict: RunVerdict) {
        let counted = self.counts(request);
        let one = &mut self.requests[request];
        let verdict = verdict.after(one.verdict);
        one.done = true;
        if verdict != RunVerdict::Ran {
            let at = (now.seconds() as usize).min(self.failed_at.len() - 1);
            self.failed_at[at].1 += 1;
        }
        if !counted {
            return;
        }
        self.report.doubled += u64::from(one.once && one.ran > 1);
        match verdict {
            RunVerdict::Ran => {
                self.report.whole += 1;
                self.whole_by[one.organisation] += 1;
            }
            RunVerdict::NotRun => {
                self.report.not_run += 1;
                // One that ran before, was lost, and was not run again is no "not run" at all.
                self.report.false_not_run += u64::from(one.ran > 0);
            }
            RunVerdict::MayHaveRun => self.report.may_have_run += 1,
        }
    }
}
