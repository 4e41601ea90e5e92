//! The choice among the servers of a service.

use std::{net::SocketAddr, time::Duration};

use headlatch_types::{
    id::DomainId,
    quantity::RequestRate,
    traffic::{AllowedRegions, EngineFigures, ServerId, WeightVersion},
};

use super::{
    ServerState, ServerTable, continued_limit, has_weights, is_about_to_change, is_changing,
    whole_version,
};
use crate::{
    direct::{
        engine_model::{EngineLoad, EngineWork, time_to_first_token},
        shedding::EngineHeadroom,
        suspects::LifeKey,
    },
    time::Moment,
};

/// Requests that an engine is sent beyond those that it runs at the same time.
const ENGINE_QUEUE: u32 = 2;

/// Part of the slots of an engine in another failure domain that is left to the entries there, in
/// percent: what they have in progress is known late, and many may choose the same engine.
const FAR_RESERVE_PERCENT: u32 = 20;

/// Requests of other failure domains that may choose the same engine between two notices of its load:
/// about as many prompts as an engine reads within an objective when they come together.
const FAR_ARRIVALS: f64 = 6.0;

/// Spread of the costs of engines in other failure domains, so that entries do not all choose the
/// same one between two notices.
const FAR_SPREAD: f64 = 0.15;

/// Spread of the costs of near servers, which tells equals apart.
const EQUALS_SPREAD: f64 = 0.01;

/// Part of a request's objective that its predicted first token may take, in percent. Whom to refuse is
/// decided by lot; a bound below the objective would refuse long prompts alone, whose own reading may cost
/// them their objective, not their answer.
const PREDICTED_PERCENT: u32 = 150;

/// Requests that a plain server is sent, relative to those that it runs at the same time.
const PLAIN_LOAD: u32 = 2;

/// Cost of a server in another zone of the region, as a share of a server's capacity.
const ZONE_COST: f64 = 0.15;

/// Cost of a server in another region.
const REGION_COST: f64 = 0.3;

/// Cost of a server all of whose requests fail.
const FAILURE_COST: f64 = 2.0;

/// Cost of a server that is about to change its weights.
const CHANGE_COST: f64 = 0.4;

/// Share of failures that is not held against a server: some requests fail anywhere.
const USUAL_FAILURES: f64 = 0.3;

/// What is asked for.
#[derive(Debug, Clone, Copy)]
pub struct ServerQuery<'a> {
    /// The service.
    pub service: &'a str,
    /// What is asked of an engine; none for plain services.
    pub engine: Option<EngineQuery<'a>>,
    /// Regions whose servers may run it.
    pub regions: &'a AllowedRegions,
    /// The least version of weights that may answer.
    pub least: Option<WeightVersion>,
    /// Servers that have been tried.
    pub tried: &'a [ServerId],
    /// A random number, by which equals are told apart.
    pub draw: u64,
}

/// What a request asks of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineQuery<'a> {
    /// The engine's figures.
    pub figures: &'a EngineFigures,
    /// The work.
    pub work: EngineWork,
    /// It continues a stream that a caller is reading: late is better than never.
    pub continues: bool,
}

/// A server that was chosen, with what decided.
#[derive(Debug, Clone, PartialEq)]
pub struct ChosenServer {
    /// The server.
    pub id: ServerId,
    /// This life of it.
    pub life: LifeKey,
    /// Where it answers.
    pub address: SocketAddr,
    /// What this entry has in progress there.
    pub own: EngineLoad,
    /// What others have in progress there, as far as they told.
    pub others: EngineLoad,
    /// Time until the first token comes, as predicted; none for plain services.
    pub predicted: Option<Duration>,
    /// Load of the engine with the shortest wait, which need not be this one; none for plain services.
    pub least_load: Option<EngineLoad>,
    /// Requests that it is sent at most.
    pub limit: u32,
    /// Version that it is thought to hold.
    pub version: Option<WeightVersion>,
    /// Its rate limit for all entries together.
    pub rate_limit: Option<RequestRate>,
}

/// The outcome of a choice.
#[derive(Debug, Clone, PartialEq)]
pub enum ServerChoice {
    /// Send it here.
    Server(ChosenServer),
    /// Every server has as much as it can do.
    Full(FullServers),
    /// No server can serve this at the moment.
    Nobody,
}

impl ServerChoice {
    /// What the engines that might be chosen have room for.
    pub fn engine_headroom(&self) -> EngineHeadroom {
        match self {
            Self::Server(server) => {
                server.least_load.map_or(EngineHeadroom::Unusable, EngineHeadroom::Best)
            }
            Self::Full(full) => full.least_load.map_or(EngineHeadroom::Full, EngineHeadroom::Best),
            Self::Nobody => EngineHeadroom::Unusable,
        }
    }
}

/// What kept a request from the servers that could have served it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FullServers {
    /// Servers with as many requests as they are sent at most, or that refused one a moment ago.
    pub limited: u32,
    /// Servers whose first token was predicted too late for the objective.
    pub late: u32,
    /// Servers of other failure domains that were left to entries nearer by.
    pub left_to_near: u32,
    /// Servers whose rate limit leaves no token to this entry now.
    pub rate_limited: u32,
    /// Servers that have asked this entry to back off.
    pub backing_off: u32,
    /// The earliest of the late predictions.
    pub least_predicted: Option<Duration>,
    /// Load of the engine with the shortest wait among the late ones.
    pub least_load: Option<EngineLoad>,
}

impl FullServers {
    /// Whether there is any.
    fn any(self) -> bool {
        let by_signal = self.rate_limited + self.backing_off;
        self.limited + self.late + self.left_to_near + by_signal > 0
    }

    fn note_late(&mut self, predicted: Duration) {
        self.late += 1;
        let least = self.least_predicted.unwrap_or(predicted);
        self.least_predicted = Some(least.min(predicted));
    }
}

/// Why a server is passed over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PassedOver {
    /// It can serve nothing of the kind now.
    Unfit,
    /// It is sent no more at the moment.
    Full,
    /// Its rate limit leaves no token to this entry now.
    RateLimited,
    /// It has asked this entry to back off.
    BackingOff,
    /// Its first token is predicted for then, too late.
    Late(Duration),
}

impl ServerTable {
    /// Whether a request may go to an engine of another failure domain, by a number drawn for both
    /// from 0 to 1: all entries see the same free engines until the next notice.
    fn may_go_far(&self, drawn: f64) -> bool {
        drawn * (self.entries as f64) < FAR_ARRIVALS
    }

    /// Chooses the server for a request.
    pub fn choose(&self, now: Moment, query: &ServerQuery<'_>) -> ServerChoice {
        let reachable = |state: &ServerState| !self.silent.contains(&state.domain);
        match self.choose_among(now, query, reachable) {
            // What tells of silence may be wrong: better there than nowhere.
            ServerChoice::Nobody if !self.silent.is_empty() => {
                self.choose_among(now, query, |state| !reachable(state))
            }
            choice => choice,
        }
    }

    /// Whether a server may run a request, whatever its load and state. Every choice asks it first.
    fn is_allowed(&self, state: &ServerState, query: &ServerQuery<'_>) -> bool {
        query.regions.allows(state.region.as_ref())
    }

    /// Whether a request may run in the own failure domain, so that servers of others are left to the
    /// entries there.
    fn may_stay_near(&self, query: &ServerQuery<'_>) -> bool {
        query.regions.allows(self.region.as_ref())
    }

    fn choose_among(
        &self,
        now: Moment,
        query: &ServerQuery<'_>,
        may_be_used: impl Fn(&ServerState) -> bool,
    ) -> ServerChoice {
        let ids = self.services.get(query.service).map(Vec::as_slice).unwrap_or_default();
        let mut best: Option<(f64, &ServerState)> = None;
        let mut full = FullServers::default();
        let mut least_wait: Option<(Duration, EngineLoad)> = None;
        let stays_near = self.may_stay_near(query);
        for (index, id) in ids.iter().enumerate() {
            let Some(state) = self.servers.get(id) else { continue };
            if !self.is_allowed(state, query) || !may_be_used(state) {
                continue;
            }
            let order = query.draw.rotate_left(index as u32 % 64) % 1024;
            let drawn = (query.draw.rotate_left(31) ^ u64::from(state.key)) % 1024;
            let is_new = query.engine.is_some_and(|engine| !engine.continues);
            if is_new
                && stays_near
                && !self.is_near(state)
                && !self.may_go_far(drawn as f64 / 1024.0)
            {
                full.left_to_near += 1;
                continue;
            }
            let cost = self.cost(now, state, query);
            if let (Ok(_) | Err(PassedOver::Late(_)), Some(engine)) = (cost, query.engine) {
                let (wait, load) = (self.predict(state, engine), self.load(state));
                if least_wait.is_none_or(|(least, _)| wait < least) {
                    least_wait = Some((wait, load));
                }
            }
            match cost {
                Ok(cost) => {
                    let spread = match self.is_near(state) {
                        true => EQUALS_SPREAD,
                        false => FAR_SPREAD,
                    };
                    let cost = cost + spread * order as f64 / 1024.0;
                    if best.is_none_or(|(least, _)| cost < least) {
                        best = Some((cost, state));
                    }
                }
                Err(PassedOver::Full) => full.limited += 1,
                Err(PassedOver::BackingOff) => full.backing_off += 1,
                Err(PassedOver::RateLimited) => full.rate_limited += 1,
                Err(PassedOver::Late(predicted)) => full.note_late(predicted),
                Err(PassedOver::Unfit) => {}
            }
        }
        let least_load = least_wait.map(|(_, load)| load);
        match best {
            Some((_, state)) => {
                ServerChoice::Server(ChosenServer { least_load, ..self.chosen(state, query) })
            }
            None if full.any() => ServerChoice::Full(FullServers { least_load, ..full }),
            None => ServerChoice::Nobody,
        }
    }

    fn chosen(&self, state: &ServerState, query: &ServerQuery<'_>) -> ChosenServer {
        let layers = query.engine.map_or(0, |engine| engine.figures.layers);
        ChosenServer {
            id: state.record.id.clone(),
            life: state.life,
            address: state.record.address,
            own: state.own,
            others: self.others.get(&state.key).copied().unwrap_or_default(),
            predicted: query.engine.map(|engine| self.predict(state, engine)),
            least_load: None,
            limit: self.limit(state, query),
            version: whole_version(state, layers),
            rate_limit: self.limits.limit(state.life),
        }
    }

    /// What a server has to do for all entries.
    pub(super) fn load(&self, state: &ServerState) -> EngineLoad {
        let others = self.others.get(&state.key).copied().unwrap_or_default();
        EngineLoad {
            in_flight: state.own.in_flight + others.in_flight,
            waiting_tokens: state.own.waiting_tokens + others.waiting_tokens,
        }
    }

    fn predict(&self, state: &ServerState, engine: EngineQuery<'_>) -> Duration {
        time_to_first_token(engine.figures, self.load(state), engine.work)
    }

    fn cost(
        &self,
        now: Moment,
        state: &ServerState,
        query: &ServerQuery<'_>,
    ) -> Result<f64, PassedOver> {
        let record = &state.record;
        if self.takes_nothing(state) || query.tried.contains(&record.id) {
            return Err(PassedOver::Unfit);
        }
        if let Some(engine) = query.engine
            && !has_weights(state, engine.figures.layers, query.least)
        {
            return Err(PassedOver::Unfit);
        }
        if is_changing(state) {
            return Err(PassedOver::Unfit);
        }
        if state.is_backing_off(now) {
            return Err(PassedOver::BackingOff);
        }
        if state.blocked_until > now {
            let refused = state.refusals > 0 && state.failures == 0;
            return Err(if refused { PassedOver::Full } else { PassedOver::Unfit });
        }
        // After a failure one request at a time finds out whether the server is well again.
        if state.failures > 0 && state.own.in_flight > 0 {
            return Err(PassedOver::Unfit);
        }
        if self.limits.wait(now, state.life) != Some(Duration::ZERO) {
            return Err(PassedOver::RateLimited);
        }
        let in_flight = self.load(state).in_flight;
        let limit = self.limit(state, query);
        if in_flight >= limit || self.is_throttled(now, state) {
            return Err(PassedOver::Full);
        }
        let load = f64::from(in_flight) / f64::from(limit);
        let late = match query.engine {
            None => 0.0,
            Some(engine) => self.lateness(state, engine)?,
        };
        let failing = (state.failure_share - USUAL_FAILURES).max(0.0) * FAILURE_COST;
        let failing = failing + if is_about_to_change(state) { CHANGE_COST } else { 0.0 };
        Ok(load + late + self.distance(&record.zone) + failing)
    }

    /// The predicted first token as a share of the objective, unless that would be missed.
    fn lateness(&self, state: &ServerState, engine: EngineQuery<'_>) -> Result<f64, PassedOver> {
        let objective = engine.work.objective;
        if objective.is_zero() {
            return Ok(0.0);
        }
        let late_is_fine = engine.continues;
        let predicted = self.predict(state, engine);
        // An idle engine takes whatever comes: a prompt that is long for its objective as well.
        let idle = self.load(state).waiting_tokens == 0;
        if !late_is_fine && !idle && predicted > objective * PREDICTED_PERCENT / 100 {
            return Err(PassedOver::Late(predicted));
        }
        Ok(predicted.as_secs_f64() / objective.as_secs_f64())
    }

    fn distance(&self, zone: &DomainId) -> f64 {
        let Some(own) = &self.zone else { return 0.0 };
        if own == zone {
            return 0.0;
        }
        let region = |zone: &DomainId| self.regions.get(zone);
        if region(own).is_some() && region(own) == region(zone) { ZONE_COST } else { REGION_COST }
    }

    /// Whether a server stands in the own failure domain.
    fn is_near(&self, state: &ServerState) -> bool {
        self.zone.as_ref().is_none_or(|zone| *zone == state.record.zone)
    }

    /// Requests that a server is sent at most, by all entries.
    fn limit(&self, state: &ServerState, query: &ServerQuery<'_>) -> u32 {
        let slots = state.record.slots.max(1);
        match query.engine {
            Some(engine) if engine.continues => continued_limit(state),
            Some(_) if self.is_near(state) || !self.may_stay_near(query) => slots + ENGINE_QUEUE,
            Some(_) => (slots * (100 - FAR_RESERVE_PERCENT) / 100).max(1),
            None => slots * PLAIN_LOAD,
        }
    }
}
