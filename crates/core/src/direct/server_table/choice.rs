//! Selection among the servers of a service.

use std::{net::SocketAddr, time::Duration};

use headlatch_types::{
    id::DomainId,
    pace::ServerPace,
    quantity::RequestRate,
    traffic::{AllowedRegions, EngineCapacity, ServerId, WeightVersion},
};

use super::{
    ColdView, ServerState, ServerTable,
    server_state::{
        continuation_limit, has_weights, is_about_to_change, is_changing, loaded_version,
    },
};
use crate::{
    direct::{
        admission::shedding::EngineHeadroom,
        engine_model::{EngineLoad, EngineWork, time_to_first_token},
        suspects::LifeKey,
    },
    time::Moment,
};

/// Requests queued at an engine beyond its slots.
const ENGINE_QUEUE: u32 = 2;

/// Share of the slots of an engine in another failure domain that is reserved for the entries there, in
/// percent: their load is known with a delay, and many remote entries may choose the same engine.
const REMOTE_RESERVE_PERCENT: u32 = 20;

/// Expected number of requests from other failure domains to one engine between two notices of its load:
/// about as many prompts as an engine can prefill within the latency objective if they arrive together.
const REMOTE_ARRIVALS: f64 = 6.0;

/// Random cost added to servers in other failure domains, so that entries do not all choose the same one
/// between two load notices.
const REMOTE_COST_JITTER: f64 = 0.15;

/// Random cost added to servers in the own failure domain to break ties.
const LOCAL_COST_JITTER: f64 = 0.01;

/// Maximum predicted time to first token, in percent of the request's latency objective. Load shedding
/// selects the requests to refuse at random; a bound below the objective would refuse only long prompts,
/// whose own prefill may miss the objective but still yields an answer.
const MAX_PREDICTED_PERCENT: u32 = 150;

/// Maximum requests in flight at a server without an engine, as a multiple of its slots.
const PLAIN_LOAD: u32 = 2;

/// Cost of a server in another failure domain of the region, as a share of a server's capacity.
const ZONE_COST: f64 = 0.15;

/// Cost of a server in another region.
const REGION_COST: f64 = 0.3;

/// Weight of a server's failure share in excess of [`TOLERATED_FAILURE_SHARE`].
const FAILURE_COST: f64 = 2.0;

/// Cost of a server that is about to change its weights.
const CHANGE_COST: f64 = 0.4;

/// Failure share that adds no cost: some requests fail at any server.
const TOLERATED_FAILURE_SHARE: f64 = 0.3;

/// Parameters of a server selection.
#[derive(Debug, Clone, Copy)]
pub struct ServerQuery<'a> {
    /// Requested service.
    pub service: &'a str,
    /// Work for an inference engine; `None` for plain services.
    pub engine: Option<EngineQuery<'a>>,
    /// Regions in which the request may run.
    pub regions: &'a AllowedRegions,
    /// Minimum weight version of the server.
    pub min_version: Option<WeightVersion>,
    /// Servers that have already been tried.
    pub tried: &'a [ServerId],
    /// Random number for cost jitter and for the use of other failure domains.
    pub random: u64,
}

/// Work of a request for an inference engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineQuery<'a> {
    /// Performance figures of the engine.
    pub figures: &'a EngineCapacity,
    /// Prompt size and latency objective.
    pub work: EngineWork,
    /// Whether the request continues a stream that a caller is reading, so that a late answer beats none.
    pub continues: bool,
    /// Servers that are excluded because they would return the first token too late.
    pub bound: FirstTokenBound,
}

/// Bound of the predicted time to first token of a new request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FirstTokenBound {
    /// [`MAX_PREDICTED_PERCENT`] of the objective; idle engines take any request.
    #[default]
    Usual,
    /// The objective, also at idle engines: the request can wait until a server is in time.
    Objective,
}

/// A selected server with the data behind the decision.
#[derive(Debug, Clone, PartialEq)]
pub struct ChosenServer {
    /// Server ID.
    pub id: ServerId,
    /// Key of the server process.
    pub life: LifeKey,
    /// Network address.
    pub address: SocketAddr,
    /// Load of this entry at the server.
    pub own: EngineLoad,
    /// Load of other entries at the server, as far as known.
    pub others: EngineLoad,
    /// Predicted time to first token; `None` for plain services.
    pub predicted: Option<Duration>,
    /// Factor by which the server is slower than configured; `None` if it is not.
    pub slow_by: Option<ServerPace>,
    /// Load of the engine with the shortest predicted wait, not necessarily this one; `None` for plain
    /// services.
    pub shortest_wait_load: Option<EngineLoad>,
    /// Maximum number of requests in flight, over all entries.
    pub limit: u32,
    /// Weight version that the server is believed to have loaded.
    pub version: Option<WeightVersion>,
    /// Rate limit of the server, over all entries.
    pub rate_limit: Option<RequestRate>,
    /// Cold period of the server; `None` if it is not known to be cold.
    pub cold: Option<ColdView>,
}

/// Result of a server selection.
#[derive(Debug, Clone, PartialEq)]
pub enum ServerChoice {
    /// The request can be sent to this server.
    Server(ChosenServer),
    /// Suitable servers exist, but none can take the request at the moment.
    Full(ExclusionCounts),
    /// No suitable server exists at the moment.
    Unavailable,
}

impl ServerChoice {
    /// Returns the remaining capacity of the candidate engines; `may_wait` is whether the request waits if
    /// they are full.
    pub fn engine_headroom(&self, may_wait: bool) -> EngineHeadroom {
        match self {
            Self::Server(server) => {
                server.shortest_wait_load.map_or(EngineHeadroom::Unusable, EngineHeadroom::Best)
            }
            Self::Full(_) if may_wait => EngineHeadroom::Awaited,
            Self::Full(full) => {
                full.shortest_wait_load.map_or(EngineHeadroom::Full, EngineHeadroom::Best)
            }
            Self::Unavailable => EngineHeadroom::Unusable,
        }
    }
}

/// Number of suitable servers that were excluded, by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ExclusionCounts {
    /// Servers at their limit of requests in flight, or that recently refused one.
    pub limited: u32,
    /// Cold servers whose request rate this entry has used up.
    pub cold: u32,
    /// Servers whose predicted time to first token exceeds the bound.
    pub late: u32,
    /// Servers in other failure domains that are left to the entries there.
    pub reserved_for_local: u32,
    /// Servers for whose rate limit this entry currently has no token.
    pub rate_limited: u32,
    /// Servers that have requested a backoff.
    pub backing_off: u32,
    /// Shortest predicted time to first token among the late servers.
    pub earliest_predicted: Option<Duration>,
    /// Load of the engine with the shortest predicted wait among the late ones.
    pub shortest_wait_load: Option<EngineLoad>,
}

impl ExclusionCounts {
    /// Returns whether any server was excluded.
    fn any(self) -> bool {
        let by_signal = self.rate_limited + self.backing_off + self.cold;
        self.limited + self.late + self.reserved_for_local + by_signal > 0
    }

    /// Counts a server whose predicted time to first token exceeds the bound.
    fn record_late(&mut self, predicted: Duration) {
        self.late += 1;
        let least = self.earliest_predicted.unwrap_or(predicted);
        self.earliest_predicted = Some(least.min(predicted));
    }
}

/// Reason why a server is excluded from selection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Exclusion {
    /// The server cannot serve the request.
    Unusable,
    /// The server is at its request limit, or has recently refused a request.
    Full,
    /// The server is cold, and this entry has used up its share of the cold rate.
    Cold,
    /// This entry has no token for the rate limit of the server.
    RateLimited,
    /// The server has requested a backoff.
    BackingOff,
    /// The predicted time to first token exceeds the bound.
    Late(Duration),
}

impl ServerTable {
    /// Returns whether a request may use an engine in another failure domain. `drawn` is a random number in
    /// 0..1 for this pair; it bounds the requests to one engine, as all entries see the same free engines
    /// until the next load notice.
    fn may_use_remote(&self, drawn: f64) -> bool {
        drawn * (self.entries as f64) < REMOTE_ARRIVALS
    }

    /// Selects a server for a request.
    pub fn choose(&self, now: Moment, query: &ServerQuery<'_>) -> ServerChoice {
        let reachable = |state: &ServerState| !self.unreachable.contains(&state.domain);
        match self.choose_among(now, query, reachable) {
            // Reachability data may be wrong, so unreachable failure domains are the last resort.
            ServerChoice::Unavailable if !self.unreachable.is_empty() => {
                self.choose_among(now, query, |state| !reachable(state))
            }
            choice => choice,
        }
    }

    /// Returns whether the routing policy allows a request to run on a server, regardless of load and state.
    /// Checked first in every selection.
    fn is_allowed(&self, state: &ServerState, query: &ServerQuery<'_>) -> bool {
        query.regions.allows(state.region.as_ref())
    }

    /// Returns whether a request may run in the own failure domain, in which case servers in other failure
    /// domains are mostly left to the entries there.
    fn may_run_locally(&self, query: &ServerQuery<'_>) -> bool {
        query.regions.allows(self.region.as_ref())
    }

    /// Selects the server with the lowest cost among those that satisfy `may_be_used`.
    fn choose_among(
        &self,
        now: Moment,
        query: &ServerQuery<'_>,
        may_be_used: impl Fn(&ServerState) -> bool,
    ) -> ServerChoice {
        let ids = self.services.get(query.service).map(Vec::as_slice).unwrap_or_default();
        let mut best: Option<(f64, Option<Duration>, &ServerState)> = None;
        let mut full = ExclusionCounts::default();
        let mut least_wait: Option<(Duration, EngineLoad)> = None;
        let may_run_locally = self.may_run_locally(query);
        for (index, id) in ids.iter().enumerate() {
            let Some(state) = self.servers.get(id) else { continue };
            if !self.is_allowed(state, query) || !may_be_used(state) {
                continue;
            }
            let order = query.random.rotate_left(index as u32 % 64) % 1024;
            let drawn = (query.random.rotate_left(31) ^ u64::from(state.key)) % 1024;
            let is_new = query.engine.is_some_and(|engine| !engine.continues);
            if is_new
                && may_run_locally
                && !self.is_local(state)
                && !self.may_use_remote(drawn as f64 / 1024.0)
            {
                full.reserved_for_local += 1;
                continue;
            }
            let cost = self.cost(now, state, query);
            let wait = match cost {
                Ok((_, predicted)) => predicted,
                Err(Exclusion::Late(predicted)) => Some(predicted),
                Err(_) => None,
            };
            if let Some(wait) = wait
                && least_wait.is_none_or(|(least, _)| wait < least)
            {
                least_wait = Some((wait, self.load(state)));
            }
            match cost {
                Ok((cost, predicted)) => {
                    let spread = match self.is_local(state) {
                        true => LOCAL_COST_JITTER,
                        false => REMOTE_COST_JITTER,
                    };
                    let cost = cost + spread * order as f64 / 1024.0;
                    if best.is_none_or(|(least, ..)| cost < least) {
                        best = Some((cost, predicted, state));
                    }
                }
                Err(Exclusion::Full) => full.limited += 1,
                Err(Exclusion::Cold) => full.cold += 1,
                Err(Exclusion::BackingOff) => full.backing_off += 1,
                Err(Exclusion::RateLimited) => full.rate_limited += 1,
                Err(Exclusion::Late(predicted)) => full.record_late(predicted),
                Err(Exclusion::Unusable) => {}
            }
        }
        let shortest_wait_load = least_wait.map(|(_, load)| load);
        match best {
            Some((_, predicted, state)) => ServerChoice::Server(ChosenServer {
                shortest_wait_load,
                predicted,
                ..self.chosen(now, state, query)
            }),
            None if full.any() => {
                ServerChoice::Full(ExclusionCounts { shortest_wait_load, ..full })
            }
            None => ServerChoice::Unavailable,
        }
    }

    /// Builds the selection result for a server, without the predicted and the shortest wait.
    fn chosen(&self, now: Moment, state: &ServerState, query: &ServerQuery<'_>) -> ChosenServer {
        let layers = query.engine.map_or(0, |engine| engine.figures.layers);
        ChosenServer {
            id: state.record.id.clone(),
            life: state.life,
            address: state.record.address,
            own: state.own,
            others: self.others.get(&state.key).copied().unwrap_or_default(),
            predicted: None,
            slow_by: self.slow_by(state),
            shortest_wait_load: None,
            limit: self.limit(state, query),
            version: loaded_version(state, layers),
            rate_limit: self.limits.limit(state.life),
            cold: self.cold_view(now, state),
        }
    }

    /// Returns the load of a server from all entries.
    pub(super) fn load(&self, state: &ServerState) -> EngineLoad {
        let others = self.others.get(&state.key).copied().unwrap_or_default();
        EngineLoad {
            in_flight: state.own.in_flight + others.in_flight,
            waiting_tokens: state.own.waiting_tokens + others.waiting_tokens,
        }
    }

    /// Predicts the time to first token at a server.
    fn predict(&self, state: &ServerState, engine: EngineQuery<'_>) -> Duration {
        let configured = time_to_first_token(engine.figures, self.load(state), engine.work);
        match self.slow_by(state) {
            // Prefill and steps take longer by the same factor.
            Some(pace) => configured.mul_f64(pace.factor()),
            None => configured,
        }
    }

    /// Returns the cost of sending a request to a server and the predicted time to first token (`None` for
    /// plain services), or why the server is excluded.
    fn cost(
        &self,
        now: Moment,
        state: &ServerState,
        query: &ServerQuery<'_>,
    ) -> Result<(f64, Option<Duration>), Exclusion> {
        let record = &state.record;
        if self.is_excluded(state) || query.tried.contains(&record.id) {
            return Err(Exclusion::Unusable);
        }
        if let Some(engine) = query.engine
            && !has_weights(state, engine.figures.layers, query.min_version)
        {
            return Err(Exclusion::Unusable);
        }
        if is_changing(state) {
            return Err(Exclusion::Unusable);
        }
        if state.is_backing_off(now) {
            return Err(Exclusion::BackingOff);
        }
        if self.is_misdirected(now, state) {
            return Err(Exclusion::Full);
        }
        if state.blocked_until > now {
            let refused = state.refusals > 0 && state.failures == 0;
            return Err(if refused { Exclusion::Full } else { Exclusion::Unusable });
        }
        // After a failure, one request at a time probes whether the server has recovered.
        if state.failures > 0 && state.own.in_flight > 0 {
            return Err(Exclusion::Unusable);
        }
        if self.limits.wait(now, state.life) != Some(Duration::ZERO) {
            let limit = self.limits.in_force(now, state.life);
            let is_cold = limit.is_some_and(|limit| limit.is_cold);
            return Err(if is_cold { Exclusion::Cold } else { Exclusion::RateLimited });
        }
        let in_flight = self.load(state).in_flight;
        let limit = self.limit(state, query);
        if in_flight >= limit {
            return Err(Exclusion::Full);
        }
        let load = f64::from(in_flight) / f64::from(limit);
        let predicted = query.engine.map(|engine| self.predict(state, engine));
        let late = match (query.engine, predicted) {
            (Some(engine), Some(predicted)) => self.lateness(state, engine, predicted)?,
            _ => 0.0,
        };
        let failing = (state.failure_share - TOLERATED_FAILURE_SHARE).max(0.0) * FAILURE_COST;
        let failing = failing + if is_about_to_change(state) { CHANGE_COST } else { 0.0 };
        Ok((load + late + self.distance(&record.zone) + failing, predicted))
    }

    /// Returns the predicted time to first token as a share of the objective, or [`Exclusion::Late`] if it
    /// exceeds the bound.
    fn lateness(
        &self,
        state: &ServerState,
        engine: EngineQuery<'_>,
        predicted: Duration,
    ) -> Result<f64, Exclusion> {
        let objective = engine.work.objective;
        if objective.is_zero() {
            return Ok(0.0);
        }
        let may_be_late = engine.continues;
        let is_late = match engine.bound {
            // An idle engine takes any request, including a prompt that is too long for its objective.
            FirstTokenBound::Usual => {
                let idle = self.load(state).waiting_tokens == 0;
                !idle && predicted > objective * MAX_PREDICTED_PERCENT / 100
            }
            FirstTokenBound::Objective => predicted > objective,
        };
        if !may_be_late && is_late {
            return Err(Exclusion::Late(predicted));
        }
        Ok(predicted.as_secs_f64() / objective.as_secs_f64())
    }

    /// Returns the cost of the distance to a failure domain.
    fn distance(&self, zone: &DomainId) -> f64 {
        let Some(own) = &self.zone else { return 0.0 };
        if own == zone {
            return 0.0;
        }
        let region = |zone: &DomainId| self.regions.get(zone);
        if region(own).is_some() && region(own) == region(zone) { ZONE_COST } else { REGION_COST }
    }

    /// Returns whether a server is in the own failure domain.
    pub(super) fn is_local(&self, state: &ServerState) -> bool {
        self.zone.as_ref().is_none_or(|zone| *zone == state.record.zone)
    }

    /// Returns the maximum number of requests in flight at a server, over all entries.
    fn limit(&self, state: &ServerState, query: &ServerQuery<'_>) -> u32 {
        let slots = state.record.slots.max(1);
        match query.engine {
            Some(engine) if engine.continues => continuation_limit(state),
            Some(_) if self.is_local(state) || !self.may_run_locally(query) => slots + ENGINE_QUEUE,
            Some(_) => (slots * (100 - REMOTE_RESERVE_PERCENT) / 100).max(1),
            None => slots * PLAIN_LOAD,
        }
    }
}
