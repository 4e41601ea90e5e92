//! Whom to refuse while engines are full: a part that is the same for all sizes and kinds.
//!
//! To refuse whatever would miss its objective starves long prompts: their own reading stands in the
//! prediction, so that short ones fill each gap before them, and kinds with a long objective do the same
//! to those with a short one. So a part of the new requests is refused by lot, as large as keeps the wait
//! at the best engine so short that long prompts fit as well.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use headlatch_types::{
    request::RequestDigest,
    traffic::{AllowedRegions, EngineFigures},
};

use super::engine_model::{EngineLoad, EngineWork, time_to_first_token, usual_prefill_time};
use crate::time::Moment;

/// Part of the objective in which the first token of whatever is let in is to come, in percent:
/// predictions are made on loads that are some time old.
const PLANNED_PERCENT: u32 = 85;

/// Prompt for which the wait must leave room before anything is refused, in usual prompts: about the
/// least of the largest tenth.
const HEADROOM_AT_START: f64 = 2.5;

/// The same where everything is refused: a usual prompt would be late.
const HEADROOM_AT_FULL: f64 = 1.0;

/// Time in which the part that is refused follows what the wait asks for. Waits go up and down within
/// tenths of a second; a part that did the same would let in at the next moment whom it has just
/// refused, too late for their objectives and in the place of others.
const SMOOTHING_TIME: Duration = Duration::from_secs(1);

/// Weight of the wait of the moment beside that, which keeps the two from swinging.
const INSTANT_WEIGHT: f64 = 0.2;

/// Requests whose objectives are remembered: 10 s of an entry with a dozen requests a second.
const WINDOW_SIZE: usize = 128;

/// Part of them that must have an objective for it to count, as a divisor: a rare kind with a short
/// objective must not empty the engines.
const RARE_DIVISOR: usize = 20;

/// Time for which a content keeps its lot: several times usual deadlines, so that who comes back is
/// not drawn anew, and short enough that nobody is refused for long because of what is asked.
pub const RANK_PERIOD: Duration = Duration::from_secs(30);

/// Where a request stands, from 0 to 1, among those of which a part is refused; the lowest first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct ShedRank(f64);

impl ShedRank {
    /// The lot of a content at a time of day: the same at all entries, so that who was refused and comes
    /// back takes nobody's place, and is drawn anew after [`LOT_TIME`].
    pub fn new(content: RequestDigest, time_of_day: Duration) -> Self {
        let content = mix(content.0);
        // Each content has moments of its own at which its lot is drawn anew.
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

/// What the engines of a service have room for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineHeadroom {
    /// None can serve anything of the kind now, whatever its load.
    Unusable,
    /// All have as many requests as they are sent at most.
    Full,
    /// The engine with the shortest wait has this load.
    Best(EngineLoad),
}

/// A new request, as far as it matters here.
#[derive(Debug, Clone, Copy)]
pub struct NewRequest<'a> {
    /// The service.
    pub service: &'a Arc<str>,
    /// Regions whose engines may run it.
    pub regions: &'a AllowedRegions,
    /// The engines' figures.
    pub figures: &'a EngineFigures,
    /// Time in which its first token is wanted; zero if that is not said.
    pub objective: Duration,
    /// Its lot.
    pub rank: ShedRank,
}

/// Refuses a part of the new requests of each service. Requests that may run in some regions only have
/// a share of their own: what they wait for is the room there.
#[derive(Debug, Default)]
pub struct LoadShedder {
    services: HashMap<Arc<str>, BTreeMap<AllowedRegions, ServiceShare>>,
}

/// What is refused of the requests of one service that may run in the same regions.
#[derive(Debug, Default)]
struct ServiceShare {
    objectives: ObjectiveWindow,
    /// The part, from 0 to 1, as it follows the wait.
    share: f64,
    updated: Moment,
}

impl LoadShedder {
    /// Takes in a new request and what engines have room for; the part that is refused, from 0 to 1, if
    /// this request belongs to it.
    pub fn refuses(
        &mut self,
        now: Moment,
        request: &NewRequest<'_>,
        room: EngineHeadroom,
    ) -> Option<f64> {
        let service = self.share_of(now, request);
        service.objectives.record(request.objective);
        // A rare kind with a shorter objective still: its own requests are judged by prediction.
        let shortest = service.objectives.shortest().unwrap_or_default();
        let target = match room {
            EngineHeadroom::Unusable => return None,
            EngineHeadroom::Full => 1.0,
            EngineHeadroom::Best(load) => target_share(request.figures, load, shortest),
        };
        let share = service.smooth(now, target);
        if let EngineHeadroom::Best(load) = room
            && is_half_idle(request.figures, load)
        {
            return None;
        }
        (request.rank.0 < share).then_some(share)
    }

    fn share_of(&mut self, now: Moment, request: &NewRequest<'_>) -> &mut ServiceShare {
        let shares = self.services.entry(request.service.clone()).or_default();
        if !shares.contains_key(request.regions) {
            // Changes of the plan must not leave one behind for each set that routes once had.
            shares.retain(|_, share| now.since(share.updated) < RANK_PERIOD);
        }
        shares.entry(request.regions.clone()).or_default()
    }
}

impl ServiceShare {
    /// Follows what the wait of the moment asks for; the part that is refused now.
    fn smooth(&mut self, now: Moment, target: f64) -> f64 {
        let passed = now.since(self.updated).as_secs_f64() / SMOOTHING_TIME.as_secs_f64();
        self.updated = self.updated.max(now);
        self.share += (target - self.share) * (1.0 - (-passed).exp());
        self.share + (target - self.share) * INSTANT_WEIGHT
    }
}

/// Whether an engine would begin a request at once: what was refused a moment ago says nothing then.
fn is_half_idle(figures: &EngineFigures, load: EngineLoad) -> bool {
    load.waiting_tokens == 0 && load.in_flight * 2 < figures.slots.max(1)
}

/// Time until an engine with `load` begins to read a new prompt, and its first pass.
fn queue_wait(figures: &EngineFigures, load: EngineLoad) -> Duration {
    time_to_first_token(figures, load, EngineWork { prompt: 0, objective: Duration::ZERO })
}

/// Part of the new requests, from 0 to 1, that the wait at an engine with `load` asks to refuse, where
/// `objective` is the shortest of those who ask; none if that is zero.
fn target_share(figures: &EngineFigures, load: EngineLoad, objective: Duration) -> f64 {
    let idle = queue_wait(figures, EngineLoad::default()).as_secs_f64();
    let queue_wait = queue_wait(figures, load).as_secs_f64();
    // Whoever would not wait is let in: objectives may be shorter than the reading of any prompt.
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

/// The objectives of those who asked lately.
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

    /// The shortest objective that more than one in twenty have; none if nobody has asked.
    ///
    /// With each kind's own objective, the kind with the longest one would fill engines up to where the
    /// others are refused.
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
