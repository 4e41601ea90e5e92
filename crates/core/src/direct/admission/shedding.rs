//! Load shedding while engines are full: rejects the same share of requests of all sizes and kinds, or,
//! where a service distinguishes urgencies, of all sizes and kinds of a rank.
//!
//! Rejecting every request that would miss its objective starves long prompts: their own prefill is
//! part of the prediction, so short prompts fill each gap before them, and kinds with a long
//! objective do the same to kinds with a short one. Instead a pseudo-random share of new requests
//! is rejected, large enough to keep the wait at the best engine so short that long prompts fit as
//! well.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use headlatch_types::{
    request::RequestDigest,
    traffic::{AllowedRegions, EngineCapacity},
};

use super::{
    rank_shares::OfferedTokens,
    urgency::{ServiceUrgencies, UrgencyRank},
};
use crate::{
    direct::engine_model::{EngineLoad, EngineWork, time_to_first_token, usual_prefill_time},
    time::Moment,
};

/// Share of the objective, in percent, within which the first token of an admitted request should
/// arrive. Predictions are based on loads that are slightly out of date.
const PLANNED_PERCENT: u32 = 85;

/// Prompt, in usual prompts, that must still fit into the objective after the wait; shedding starts
/// when it does not. About the smallest prompt of the largest tenth.
const HEADROOM_AT_START: f64 = 2.5;

/// The same for the point at which everything is rejected: a usual prompt would be late.
const HEADROOM_AT_FULL: f64 = 1.0;

/// Time constant with which the rejected share follows its target. Waits fluctuate within tenths of
/// a second; a share that did the same would admit on retry the requests it has just rejected, too
/// late for their objectives and in place of others.
const SMOOTHING_TIME: Duration = Duration::from_secs(1);

/// Weight of the instantaneous target beside the smoothed share, which damps oscillation.
const INSTANT_WEIGHT: f64 = 0.2;

/// Number of requests whose objectives are remembered: 10 s of an entry that receives a dozen
/// requests per second.
const WINDOW_SIZE: usize = 128;

/// Share of remembered requests that must have an objective for it to count, as a divisor. A rare
/// kind with a short objective must not leave engines empty.
const RARE_DIVISOR: usize = 20;

/// Longest prompt that counts towards the tokens offered by a rank, in usual prompts. Lengths are claims
/// of callers; a false one must not change what the other ranks lose.
const MAX_COUNTED_PROMPT: u64 = 16;

/// Time for which a content keeps its rank. Several times usual deadlines, so that a retry gets the
/// same rank, and short enough that no content is rejected for long.
pub const RANK_PERIOD: Duration = Duration::from_secs(30);

/// Position of a request, from 0 to 1, in the order of rejection; the lowest are rejected first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct ShedRank(f64);

impl ShedRank {
    /// The rank of a content at a time of day. It is the same at all entries, so that retries of
    /// rejected requests do not displace others, and changes every [`RANK_PERIOD`].
    pub fn new(content: RequestDigest, time_of_day: Duration) -> Self {
        let content = mix(content.0);
        // Contents change rank at different times.
        let moved = time_of_day + RANK_PERIOD.mul_f64(unit_fraction(mix(content)));
        let period = moved.as_millis() / RANK_PERIOD.as_millis();
        Self(unit_fraction(mix(content ^ period as u64)))
    }
}

/// The finalizer of SplitMix64: every bit of the result depends on every bit of `state`.
fn mix(state: u64) -> u64 {
    let state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}

fn unit_fraction(number: u64) -> f64 {
    (number >> 32) as f64 / f64::from(u32::MAX)
}

/// Available capacity of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineHeadroom {
    /// No engine can serve requests of this kind now, whatever its load.
    Unusable,
    /// Every engine has the maximum number of requests.
    Full,
    /// No engine has room, and the request waits for one. Not counted as a load: the admission queue refuses
    /// what would be late, and shedding for the same lack of room would refuse requests that find room while
    /// those that found none wait.
    Awaited,
    /// Load of the engine with the shortest wait.
    Best(EngineLoad),
}

/// A new request, as far as load shedding needs it.
#[derive(Debug, Clone, Copy)]
pub struct NewRequest<'a> {
    /// The service.
    pub service: &'a Arc<str>,
    /// Regions whose engines may run it.
    pub regions: &'a AllowedRegions,
    /// Performance figures of the engines.
    pub figures: &'a EngineCapacity,
    /// Time in which its first token is wanted; zero if not specified.
    pub objective: Duration,
    /// Its rank in the order of rejection.
    pub rank: ShedRank,
    /// Its urgency; `None` if the plan that admitted it does not distinguish urgencies of the service.
    pub urgency: Option<UrgencyRank>,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
}

/// Rejects a share of each service's new requests. Requests restricted to the same regions have a
/// share of their own, since they wait for capacity there; within it, less urgent ranks are rejected
/// first.
#[derive(Debug, Default)]
pub struct LoadShedder {
    urgencies: ServiceUrgencies,
    services: HashMap<Arc<str>, BTreeMap<AllowedRegions, ServiceShare>>,
}

/// Shedding state of one service's requests that may run in the same regions.
#[derive(Debug, Default)]
struct ServiceShare {
    objectives: ObjectiveWindow,
    /// Smoothed share to reject, from 0 to 1.
    share: f64,
    updated: Moment,
    offered: OfferedTokens,
}

impl LoadShedder {
    /// Applies the urgencies of a newer plan to the requests from now on. What was observed about ranks
    /// that no longer exist is discarded.
    pub fn set_urgencies(&mut self, urgencies: ServiceUrgencies) {
        for (service, shares) in &mut self.services {
            let (before, after) = (self.urgencies.ranks(service), urgencies.ranks(service));
            for share in shares.values_mut() {
                share.offered = match (before, after) {
                    (Some(before), Some(after)) => share.offered.with_ranks(before, after),
                    _ => OfferedTokens::default(),
                };
            }
        }
        self.urgencies = urgencies;
    }

    /// Records a new request and the engines' headroom. Returns the rejected share of its rank, from 0
    /// to 1, if this request is rejected.
    pub fn refuses(
        &mut self,
        now: Moment,
        request: &NewRequest<'_>,
        room: EngineHeadroom,
    ) -> Option<f64> {
        let urgency = self.rank_in_force(request);
        let service = self.share_of(now, request);
        service.objectives.record(request.objective);
        if let Some(urgency) = urgency {
            service.offered.record(now, urgency, counted_tokens(request));
        }
        // Requests with an even shorter but rare objective are judged by prediction alone.
        let shortest = service.objectives.shortest().unwrap_or_default();
        let target = match room {
            EngineHeadroom::Unusable | EngineHeadroom::Awaited => return None,
            EngineHeadroom::Full => 1.0,
            EngineHeadroom::Best(load) => target_share(request.figures, load, shortest),
        };
        let share = service.smooth(now, target);
        if let EngineHeadroom::Best(load) = room
            && is_half_idle(request.figures, load)
        {
            return None;
        }
        let share = urgency.map_or(share, |urgency| service.offered.share_of(urgency, share));
        (request.rank.0 < share).then_some(share)
    }

    /// The rank of a request under the plan in force, which may be newer than the plan that admitted it.
    fn rank_in_force(&self, request: &NewRequest<'_>) -> Option<UrgencyRank> {
        let ranks = self.urgencies.ranks(request.service)?;
        request.urgency.map(|rank| rank.min(ranks.least()))
    }

    fn share_of(&mut self, now: Moment, request: &NewRequest<'_>) -> &mut ServiceShare {
        let shares = self.services.entry(request.service.clone()).or_default();
        if !shares.contains_key(request.regions) {
            // Plan changes must not leave a stale entry behind for each set of regions that routes
            // once had.
            shares.retain(|_, share| now.since(share.updated) < RANK_PERIOD);
        }
        shares.entry(request.regions.clone()).or_default()
    }
}

impl ServiceShare {
    /// Moves the share towards its target; returns the share to reject now.
    fn smooth(&mut self, now: Moment, target: f64) -> f64 {
        let passed = now.since(self.updated).as_secs_f64() / SMOOTHING_TIME.as_secs_f64();
        self.updated = self.updated.max(now);
        self.share += (target - self.share) * (1.0 - (-passed).exp());
        self.share + (target - self.share) * INSTANT_WEIGHT
    }
}

/// Prompt tokens of a request, as far as they count for its rank.
fn counted_tokens(request: &NewRequest<'_>) -> u64 {
    let usual = EngineWork::new(request.figures, None, request.objective).prompt;
    request.prompt_tokens.min(usual.saturating_mul(MAX_COUNTED_PROMPT))
}

/// Whether an engine would start a request at once, in which case the smoothed share is out of
/// date.
fn is_half_idle(figures: &EngineCapacity, load: EngineLoad) -> bool {
    load.waiting_tokens == 0 && load.in_flight * 2 < figures.slots.max(1)
}

/// Time until an engine with `load` starts the prefill of a new prompt, plus its first pass.
fn queue_wait(figures: &EngineCapacity, load: EngineLoad) -> Duration {
    time_to_first_token(figures, load, EngineWork { prompt: 0, objective: Duration::ZERO })
}

/// Share of new requests to reject, from 0 to 1, given the wait at an engine with `load`.
/// `objective` is the shortest relevant objective; if it is zero, nothing is rejected.
fn target_share(figures: &EngineCapacity, load: EngineLoad, objective: Duration) -> f64 {
    let idle = queue_wait(figures, EngineLoad::default()).as_secs_f64();
    let queue_wait = queue_wait(figures, load).as_secs_f64();
    // Requests that would not wait are admitted: an objective may be shorter than any prefill.
    if objective.is_zero() || queue_wait <= idle {
        return 0.0;
    }
    let prefill = usual_prefill_time(figures).as_secs_f64();
    let planned = (objective * PLANNED_PERCENT / 100).as_secs_f64();
    let least = (planned - prefill * HEADROOM_AT_START).max(idle);
    let most = (planned - prefill * HEADROOM_AT_FULL).max(least + prefill);
    if most <= least {
        return 0.0;
    }
    ((queue_wait - least) / (most - least)).clamp(0.0, 1.0)
}

/// Objectives of recent requests.
#[derive(Debug, Default)]
struct ObjectiveWindow {
    recent: VecDeque<Duration>,
}

impl ObjectiveWindow {
    fn record(&mut self, objective: Duration) {
        if self.recent.len() == WINDOW_SIZE {
            self.recent.pop_front();
        }
        self.recent.push_back(objective);
    }

    /// The shortest objective that more than one in twenty requests have; `None` if there were
    /// none.
    ///
    /// With a separate objective per kind, the kind with the longest one would fill engines up to
    /// the point at which the others are rejected.
    fn shortest(&self) -> Option<Duration> {
        let mut objectives: Vec<Duration> = self.recent.iter().copied().collect();
        if objectives.is_empty() {
            return None;
        }
        let rank = objectives.len() / RARE_DIVISOR;
        let (_, shortest, _) = objectives.select_nth_unstable(rank);
        Some(*shortest)
    }
}
