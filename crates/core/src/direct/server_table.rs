//! The servers that an entry knows, and the choice among them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use headlatch_types::{
    id::{DomainId, RegionId},
    traffic::{EngineFigures, ServerId, ServerRecord, WeightVersion},
};

use super::{
    engine_model::{EngineLoad, EngineWork, first_token},
    fact_age::ChangeMark,
    leaving::{LeavingNotice, LeavingServers},
    peers::{DomainKey, LoadNotice, ServerNotice},
    shedding::EngineRoom,
    suspects::LifeKey,
};
use crate::time::Moment;

mod changing;

pub use changing::ContinuationLimits;

/// Requests that an engine is sent beyond those that it runs at the same time.
const ENGINE_QUEUE: u32 = 2;

/// The same for streams that are continued.
const CONTINUED_QUEUE: u32 = 6;

/// Part of the slots of an engine in another failure domain that is left to the entries there, in
/// percent: what they have in progress is known late, and many may choose the same engine.
const FAR_RESERVE_PERCENT: u32 = 20;

/// Prompts that an engine reads in time when they come together: as many entries of other failure
/// domains may choose it between two notices of its load. Prompts take 20 to 60 ms each at the
/// figures known, objectives are 300 to 600 ms.
const FAR_ARRIVALS: f64 = 6.0;

/// Spread of the costs of engines in other failure domains, so that entries do not all choose the
/// same one between two notices.
const FAR_SPREAD: f64 = 0.15;

/// Spread of the costs of near servers, which tells equals apart.
const EQUALS_SPREAD: f64 = 0.01;

/// Part of its slots from which on the end of a request is told at once, in percent: while a server
/// is idle, nobody needs to know, and each telling is a datagram to every entry of the domain.
const BUSY_PERCENT: u32 = 75;

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

/// Weight of the newest outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;

/// Share of failures that is not held against a server: some requests fail anywhere.
const USUAL_FAILURES: f64 = 0.3;

/// First pause after a server could not be reached or broke off.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);

/// First pause after a server refused although it was thought to have room.
const REFUSAL_PAUSE: Duration = Duration::from_millis(80);

/// Most doublings of a pause.
const MOST_DOUBLINGS: u32 = 4;

/// What came of a request at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerOutcome {
    /// It answered.
    Answered,
    /// It answered that it failed.
    Failed,
    /// It refused: it has no room.
    Refused,
    /// Another server has the address, or it holds other weights.
    Misdirected,
    /// It could not be reached, broke off, or fell silent.
    Lost,
    /// The request was given up for reasons of the caller's.
    Abandoned,
}

/// A server with what this entry knows of it.
#[derive(Debug, Clone)]
struct ServerState {
    record: ServerRecord,
    key: u32,
    /// Its life, by its id and birth.
    life: LifeKey,
    domain: DomainKey,
    own: EngineLoad,
    /// Requests of this entry that have not begun there.
    waiting: u32,
    /// Streams of this entry that may not be sent to another server any more.
    last_streams: u32,
    /// The load has changed since it was last told, and others are to hear that at once.
    untold: bool,
    /// The load has changed since it was last told.
    changed: bool,
    failures: u32,
    refusals: u32,
    failure_share: f64,
    blocked_until: Moment,
    /// What its agent told, and when.
    notice: Option<ServerNotice>,
}

/// What is asked for.
#[derive(Debug, Clone, Copy)]
pub struct ServerQuery<'a> {
    /// The service.
    pub service: &'a str,
    /// What is asked of an engine; none for plain services.
    pub engine: Option<EngineQuery<'a>>,
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
    pub fn engine_room(&self) -> EngineRoom {
        match self {
            Self::Server(server) => {
                server.least_load.map_or(EngineRoom::Unusable, EngineRoom::Best)
            }
            Self::Full(full) => full.least_load.map_or(EngineRoom::Full, EngineRoom::Best),
            Self::Nobody => EngineRoom::Unusable,
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
    /// The earliest of the late predictions.
    pub least_predicted: Option<Duration>,
    /// Load of the engine with the shortest wait among the late ones.
    pub least_load: Option<EngineLoad>,
}

impl FullServers {
    /// Whether there is any.
    fn any(self) -> bool {
        self.limited + self.late + self.left_to_near > 0
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
    /// Its first token is predicted for then, too late.
    Late(Duration),
}

/// The servers.
#[derive(Debug, Default)]
pub struct ServerTable {
    servers: BTreeMap<ServerId, ServerState>,
    services: HashMap<Arc<str>, Vec<ServerId>>,
    others: HashMap<u32, EngineLoad>,
    /// Failure domains that are out of reach.
    silent: BTreeSet<DomainKey>,
    /// Servers that leave.
    leaving: LeavingServers,
    /// Entries that live.
    entries: usize,
    zone: Option<DomainId>,
    regions: HashMap<DomainId, RegionId>,
}

/// The key of a server in notices.
pub fn server_key(id: &ServerId) -> u32 {
    id.0.bytes().fold(0x811c_9dc5, hash_byte)
}

/// One step of FNV-1a.
fn hash_byte(state: u32, byte: u8) -> u32 {
    (state ^ u32::from(byte)).wrapping_mul(0x0100_0193)
}

/// The key of a server's life.
fn life_key(record: &ServerRecord) -> LifeKey {
    let born = record.born.map(|born| born.0.to_le_bytes()).unwrap_or_default();
    LifeKey(born.into_iter().fold(server_key(&record.id), hash_byte))
}

impl ServerTable {
    /// No servers yet, seen from `zone`.
    pub fn new(zone: DomainId, regions: HashMap<DomainId, RegionId>) -> Self {
        Self { zone: Some(zone), regions, ..Self::default() }
    }

    /// Takes in a server's record.
    ///
    /// `revision` is the store's at which it was so.
    pub fn set(&mut self, now: Moment, record: ServerRecord, revision: ChangeMark) {
        let key = server_key(&record.id);
        match record.draining {
            true => {
                // Whether others knew it before makes no difference here.
                let _ = self.leaving.note_leaving(now, key, revision);
            }
            false => {
                let _ = self.leaving.note_ready(now, key, revision);
            }
        }
        if let Some(state) = self.servers.get_mut(&record.id) {
            let moved = state.record.service != record.service;
            let life = life_key(&record);
            if state.life != life {
                state.forget_life();
            }
            state.life = life;
            state.record = record;
            if !moved {
                return;
            }
        } else {
            let state = ServerState {
                key,
                life: life_key(&record),
                domain: DomainKey::from(&record.zone),
                own: EngineLoad::default(),
                waiting: 0,
                last_streams: 0,
                untold: false,
                changed: false,
                failures: 0,
                refusals: 0,
                failure_share: 0.0,
                blocked_until: Moment::ZERO,
                notice: None,
                record,
            };
            self.servers.insert(state.record.id.clone(), state);
        }
        self.index();
    }

    /// Takes out a server that is gone as of `revision`.
    pub fn remove(&mut self, now: Moment, id: &ServerId, revision: ChangeMark) -> bool {
        let _ = self.leaving.note_leaving(now, server_key(id), revision);
        self.leaving.forget_old(now);
        let removed = self.servers.remove(id).is_some();
        self.index();
        removed
    }

    /// Takes out every server but those in `listed`, the list as of `revision`.
    pub fn keep_only(&mut self, now: Moment, listed: &[ServerId], revision: ChangeMark) {
        for id in self.servers.keys().filter(|id| !listed.contains(id)) {
            let _ = self.leaving.note_leaving(now, server_key(id), revision);
        }
        self.leaving.forget_old(now);
        self.servers.retain(|id, _| listed.contains(id));
        self.index();
    }

    fn index(&mut self) {
        self.services.clear();
        for (id, state) in &self.servers {
            self.services.entry(state.record.service.clone()).or_default().push(id.clone());
        }
    }

    /// Another entry has heard that a server is leaving, or is back; tells whether that is news.
    pub fn note_told(&mut self, now: Moment, notice: LeavingNotice) -> bool {
        self.leaving.note_told(now, notice)
    }

    /// Servers that are leaving, for other entries.
    pub fn recently_leaving(&self, now: Moment) -> Vec<LeavingNotice> {
        self.leaving.recent(now)
    }

    /// The records.
    pub fn records(&self) -> impl Iterator<Item = &ServerRecord> {
        self.servers.values().map(|state| &state.record)
    }

    /// Takes in what other entries have in progress.
    pub fn set_others(&mut self, others: HashMap<u32, EngineLoad>) {
        self.others = others;
    }

    /// Takes in how many entries live.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries;
    }

    /// Whether a request may go to an engine of another failure domain, by a number drawn for both
    /// from 0 to 1: all entries see the same free engines until the next notice.
    fn may_go_far(&self, drawn: f64) -> bool {
        drawn * (self.entries as f64) < FAR_ARRIVALS
    }

    /// Takes in which failure domains are out of reach; tells whether that is news.
    pub fn set_silent_domains(&mut self, silent: BTreeSet<DomainKey>) -> bool {
        let news = self.silent != silent;
        self.silent = silent;
        news
    }

    /// Takes in what other entries have in progress at one server.
    pub fn set_other(&mut self, server: u32, load: EngineLoad) {
        self.others.insert(server, load);
    }

    /// Whether a load has changed since [`Self::take_changes`] that others are to hear at once.
    pub fn has_changes(&self) -> bool {
        self.servers.values().any(|state| state.untold)
    }

    /// What this entry has in progress at servers where that has changed.
    pub fn take_changes(&mut self) -> Vec<LoadNotice> {
        let changed = self.servers.values_mut().filter(|state| state.changed);
        changed
            .map(|state| {
                state.untold = false;
                state.changed = false;
                LoadNotice { server: state.key, load: state.own }
            })
            .collect()
    }

    /// Takes in what a server's agent tells; none if the agent is gone.
    pub fn set_notice(&mut self, address: SocketAddr, notice: Option<ServerNotice>) {
        for state in self.servers.values_mut().filter(|state| state.record.address == address) {
            state.notice = notice.clone();
        }
    }

    /// What this entry has in progress, for others.
    pub fn own_loads(&self) -> Vec<LoadNotice> {
        let busy = self.servers.values().filter(|state| state.own.in_flight > 0);
        busy.map(|state| LoadNotice { server: state.key, load: state.own }).collect()
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
        for (index, id) in ids.iter().enumerate() {
            let Some(state) = self.servers.get(id) else { continue };
            if !may_be_used(state) {
                continue;
            }
            let order = query.draw.rotate_left(index as u32 % 64) % 1024;
            let drawn = (query.draw.rotate_left(31) ^ u64::from(state.key)) % 1024;
            let is_new = query.engine.is_some_and(|engine| !engine.continues);
            if is_new && !self.is_near(state) && !self.may_go_far(drawn as f64 / 1024.0) {
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
        }
    }

    /// Whether the end of a server is one that was planned: it is leaving, or has left the list.
    pub fn ends_as_planned(&self, id: &ServerId) -> bool {
        self.servers.get(id).is_none_or(|state| self.is_leaving(state))
    }

    /// Whether a server takes nothing new because it will end.
    fn is_leaving(&self, state: &ServerState) -> bool {
        state.record.draining || self.leaving.is_leaving(state.key)
    }

    /// What a server has to do for all entries.
    fn load(&self, state: &ServerState) -> EngineLoad {
        let others = self.others.get(&state.key).copied().unwrap_or_default();
        EngineLoad {
            in_flight: state.own.in_flight + others.in_flight,
            waiting_tokens: state.own.waiting_tokens + others.waiting_tokens,
        }
    }

    fn predict(&self, state: &ServerState, engine: EngineQuery<'_>) -> Duration {
        first_token(engine.figures, self.load(state), engine.work)
    }

    fn cost(
        &self,
        now: Moment,
        state: &ServerState,
        query: &ServerQuery<'_>,
    ) -> Result<f64, PassedOver> {
        let record = &state.record;
        if self.is_leaving(state) || query.tried.contains(&record.id) {
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
        if state.blocked_until > now {
            let refused = state.refusals > 0 && state.failures == 0;
            return Err(if refused { PassedOver::Full } else { PassedOver::Unfit });
        }
        // After a failure one request at a time finds out whether the server is well again.
        if state.failures > 0 && state.own.in_flight > 0 {
            return Err(PassedOver::Unfit);
        }
        let in_flight = self.load(state).in_flight;
        let limit = self.limit(state, query);
        if in_flight >= limit {
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
            Some(_) if self.is_near(state) => slots + ENGINE_QUEUE,
            Some(_) => (slots * (100 - FAR_RESERVE_PERCENT) / 100).max(1),
            None => slots * PLAIN_LOAD,
        }
    }

    /// Notes that a request with a prompt of `tokens` has been sent to a server.
    pub fn begin(&mut self, id: &ServerId, tokens: u64) {
        if let Some(state) = self.servers.get_mut(id) {
            state.own.in_flight += 1;
            state.own.waiting_tokens += tokens;
            state.waiting += 1;
            // Whoever sees an engine idle sends to it: what it has to read must be known at once.
            state.untold |= tokens > 0;
            state.changed = true;
            note_change(state, &self.others);
        }
    }

    /// Notes that a server has read a prompt of `tokens` and begun to answer, or never will.
    pub fn note_read(&mut self, id: &ServerId, tokens: u64) {
        if let Some(state) = self.servers.get_mut(id) {
            state.own.waiting_tokens = state.own.waiting_tokens.saturating_sub(tokens);
            // The next tick tells it: until then others only take the engine for a little busier.
            state.waiting = state.waiting.saturating_sub(1);
            state.changed = true;
        }
    }

    /// Notes what came of a request at `server` as it was when it was chosen.
    pub fn end_at(&mut self, now: Moment, server: &ChosenServer, outcome: ServerOutcome) {
        let state = self.servers.get(&server.id);
        let same_life = state.is_some_and(|state| state.life == server.life);
        // What an earlier life did with it says nothing of this one.
        let outcome = if same_life { outcome } else { ServerOutcome::Abandoned };
        self.end(now, &server.id, outcome);
    }

    /// Notes what came of it.
    pub fn end(&mut self, now: Moment, id: &ServerId, outcome: ServerOutcome) {
        let Some(state) = self.servers.get_mut(id) else { return };
        note_change(state, &self.others);
        state.changed = true;
        state.own.in_flight = state.own.in_flight.saturating_sub(1);
        match outcome {
            ServerOutcome::Answered => {
                state.failures = 0;
                state.refusals = 0;
                note_failure(state, 0.0);
            }
            ServerOutcome::Failed => {
                state.failures = 0;
                note_failure(state, 1.0);
            }
            ServerOutcome::Refused | ServerOutcome::Misdirected => {
                state.refusals = (state.refusals + 1).min(MOST_DOUBLINGS);
                state.blocked_until = now + REFUSAL_PAUSE * (1 << (state.refusals - 1));
            }
            ServerOutcome::Lost => {
                state.failures = (state.failures + 1).min(MOST_DOUBLINGS);
                state.blocked_until = now + FAILURE_PAUSE * (1 << (state.failures - 1));
                note_failure(state, 1.0);
            }
            ServerOutcome::Abandoned => {}
        }
    }
}

impl ServerState {
    /// Forgets what is known of the server's life so far, which has ended. What this entry has in
    /// progress there ends by itself.
    fn forget_life(&mut self) {
        self.failures = 0;
        self.refusals = 0;
        self.failure_share = 0.0;
        self.blocked_until = Moment::ZERO;
        self.notice = None;
    }
}

/// Whether a server takes other weights or is being emptied for that.
fn is_changing(state: &ServerState) -> bool {
    state.notice.as_ref().is_some_and(|notice| notice.changing)
}

/// Whether a server will soon take other weights, which cuts or delays what it runs.
fn is_about_to_change(state: &ServerState) -> bool {
    state.notice.as_ref().is_some_and(|notice| notice.staged > notice.whole)
}

/// Notes that what this entry has in progress at a server changes, if others need to know at once.
fn note_change(state: &mut ServerState, others: &HashMap<u32, EngineLoad>) {
    let others = others.get(&state.key).copied().unwrap_or_default();
    let in_flight = state.own.in_flight + others.in_flight;
    let busy = in_flight * 100 >= state.record.slots.max(1) * BUSY_PERCENT;
    state.untold |= busy;
}

fn note_failure(state: &mut ServerState, failed: f64) {
    state.failure_share += (failed - state.failure_share) * FAILURE_WEIGHT;
}

/// The version that a server is thought to hold whole: its agent knows before the list does.
fn whole_version(state: &ServerState, layers: u32) -> Option<WeightVersion> {
    match &state.notice {
        Some(notice) => notice.whole,
        None => state.record.models.iter().find_map(|model| model.whole_version(layers)),
    }
}

/// Whether a server holds all of its model in a version that is new enough.
fn has_weights(state: &ServerState, layers: u32, least: Option<WeightVersion>) -> bool {
    let version = whole_version(state, layers);
    version.is_some_and(|version| least.is_none_or(|least| version >= least))
}

/// Requests that an engine is sent at most where they continue a stream.
fn continued_limit(state: &ServerState) -> u32 {
    state.record.slots.max(1) + CONTINUED_QUEUE
}
