//! The servers that an entry knows, and the choice among them.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use headlatch_types::{
    id::{DomainId, RegionId},
    traffic::{ServerId, ServerRecord, WeightVersion},
};

use self::cold::ColdPeriod;
use super::{
    engine_model::EngineLoad,
    fact_age::ChangeMark,
    leaving::{DrainingLives, LeavingNotice, LeavingServers},
    peers::{DomainKey, LoadNotice, ServerNotice},
    rate_limits::RateLimits,
    suspects::LifeKey,
};
use crate::time::Moment;

mod choice;
mod cold;
mod limits;
mod signals;
mod weight_changes;

pub use choice::{ChosenServer, EngineQuery, ExclusionCounts, ServerChoice, ServerQuery};
pub use cold::ColdRates;
pub use signals::Ineligible;
pub use weight_changes::ContinuationLimits;

/// The same for streams that are continued.
const CONTINUATION_QUEUE: u32 = 6;

/// Part of its slots from which on the end of a request is told at once, in percent: while a server
/// is idle, nobody needs to know, and each telling is a datagram to every entry of the domain.
const URGENT_LOAD_PERCENT: u32 = 75;

/// Weight of the newest outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;

/// First pause after a server could not be reached or broke off.
const FAILURE_COOLDOWN: Duration = Duration::from_millis(300);

/// First pause after a server refused although it was thought to have room.
const REFUSAL_COOLDOWN: Duration = Duration::from_millis(80);

/// Most doublings of a pause.
const MAX_DOUBLINGS: u32 = 4;

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
    /// Its region, if that is known.
    region: Option<RegionId>,
    own: EngineLoad,
    /// It is cold, as it said when it came back.
    cold: Option<ColdPeriod>,
    /// Requests of this entry that have not begun there.
    waiting: u32,
    /// Streams of this entry that may not be sent to another server any more.
    pinned_streams: u32,
    /// The load has changed since it was last told, and others are to hear that at once.
    has_urgent_change: bool,
    /// The load has changed since it was last told.
    changed: bool,
    failures: u32,
    refusals: u32,
    failure_share: f64,
    blocked_until: Moment,
    /// End of the backoff that it has asked this entry for; none once it has answered after that.
    backoff_until: Option<Moment>,
    /// What its agent told, and when.
    notice: Option<ServerNotice>,
}

/// The servers.
#[derive(Debug, Default)]
pub struct ServerTable {
    servers: BTreeMap<ServerId, ServerState>,
    services: HashMap<Arc<str>, Vec<ServerId>>,
    others: HashMap<u32, EngineLoad>,
    /// Failure domains that are out of reach.
    unreachable: BTreeSet<DomainKey>,
    /// Failure domains that are being emptied.
    evacuated: BTreeSet<DomainKey>,
    /// Servers that leave.
    leaving: LeavingServers,
    /// Servers that have announced it in their answers.
    draining_lives: DrainingLives,
    /// Rate limits that servers have advertised.
    limits: RateLimits,
    /// Entries that live.
    entries: usize,
    cold_rates: ColdRates,
    zone: Option<DomainId>,
    /// The own region, if that is known.
    region: Option<RegionId>,
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
        let region = regions.get(&zone).cloned();
        Self { zone: Some(zone), region, regions, ..Self::default() }
    }

    /// Takes in a server's record.
    ///
    /// `revision` is the store's at which it was so.
    pub fn set(&mut self, now: Moment, record: ServerRecord, revision: ChangeMark) {
        let key = server_key(&record.id);
        match record.draining {
            true => {
                // Whether others knew it before makes no difference here.
                let _ = self.leaving.record_leaving(now, key, revision);
            }
            false => {
                let _ = self.leaving.record_ready(now, key, revision);
            }
        }
        let region = self.regions.get(&record.zone).cloned();
        if let Some(state) = self.servers.get_mut(&record.id) {
            let moved = (state.record.service != record.service)
                .then(|| (state.record.service.clone(), record.service.clone()));
            let life = life_key(&record);
            if state.life != life {
                self.limits.forget(state.life);
                state.forget_life();
            }
            state.life = life;
            state.domain = DomainKey::from(&record.zone);
            state.region = region;
            state.cold = ColdPeriod::new(now, Duration::from_millis(record.cold_ms), state.cold);
            let id = record.id.clone();
            state.record = record;
            if let Some((before, service)) = moved {
                self.unlist(&before, &id);
                self.list(service, id);
            }
        } else {
            let state = ServerState {
                key,
                life: life_key(&record),
                domain: DomainKey::from(&record.zone),
                region,
                own: EngineLoad::default(),
                cold: ColdPeriod::new(now, Duration::from_millis(record.cold_ms), None),
                waiting: 0,
                pinned_streams: 0,
                has_urgent_change: false,
                changed: false,
                failures: 0,
                refusals: 0,
                failure_share: 0.0,
                blocked_until: Moment::ZERO,
                backoff_until: None,
                notice: None,
                record,
            };
            let (id, service) = (state.record.id.clone(), state.record.service.clone());
            self.servers.insert(id.clone(), state);
            self.list(service, id);
        }
    }

    /// Takes out a server that is gone as of `revision`.
    pub fn remove(&mut self, now: Moment, id: &ServerId, revision: ChangeMark) -> bool {
        let _ = self.leaving.record_leaving(now, server_key(id), revision);
        self.leaving.forget_old(now);
        self.prune_draining_lives(now);
        let removed = self.servers.remove(id);
        if let Some(state) = &removed {
            self.limits.forget(state.life);
            self.unlist(&state.record.service, id);
        }
        removed.is_some()
    }

    /// Takes out every server but those in `listed`, the list as of `revision`.
    pub fn retain_listed(&mut self, now: Moment, listed: &[ServerId], revision: ChangeMark) {
        let listed: HashSet<&ServerId> = listed.iter().collect();
        for id in self.servers.keys().filter(|id| !listed.contains(id)) {
            let _ = self.leaving.record_leaving(now, server_key(id), revision);
        }
        self.leaving.forget_old(now);
        self.prune_draining_lives(now);
        self.servers.retain(|id, _| listed.contains(id));
        self.services.values_mut().for_each(|ids| ids.retain(|id| listed.contains(id)));
        self.services.retain(|_, ids| !ids.is_empty());
    }

    /// Lists a server under its service, in the order of ids.
    fn list(&mut self, service: Arc<str>, id: ServerId) {
        let ids = self.services.entry(service).or_default();
        if let Err(place) = ids.binary_search(&id) {
            ids.insert(place, id);
        }
    }

    fn unlist(&mut self, service: &str, id: &ServerId) {
        let Some(ids) = self.services.get_mut(service) else { return };
        ids.retain(|listed| listed != id);
        if ids.is_empty() {
            self.services.remove(service);
        }
    }

    /// Another entry has heard that a server is leaving, or is back; tells whether that is news.
    pub fn merge_leaving(&mut self, now: Moment, notice: LeavingNotice) -> bool {
        self.leaving.merge(now, notice)
    }

    /// Servers that are leaving, for other entries.
    pub fn recent_leaving(&self, now: Moment) -> Vec<LeavingNotice> {
        self.leaving.recent(now)
    }

    /// The records.
    pub fn records(&self) -> impl Iterator<Item = &ServerRecord> {
        self.servers.values().map(|state| &state.record)
    }

    /// Takes in what other entries have in progress.
    pub fn set_other_loads(&mut self, others: HashMap<u32, EngineLoad>) {
        self.others = others;
    }

    /// Takes in how many entries live.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries;
    }

    /// Takes in which failure domains are out of reach; tells whether that is news.
    pub fn set_unreachable_domains(&mut self, unreachable: BTreeSet<DomainKey>) -> bool {
        let changed = self.unreachable != unreachable;
        self.unreachable = unreachable;
        changed
    }

    /// Takes in how much cold servers are sent at most.
    pub fn set_cold_rates(&mut self, rates: ColdRates) {
        self.cold_rates = rates;
    }

    /// Takes in which failure domains are being emptied.
    pub fn set_evacuated_domains(&mut self, evacuated: BTreeSet<DomainKey>) {
        self.evacuated = evacuated;
    }

    /// Takes in what other entries have in progress at one server.
    pub fn set_other_load(&mut self, server: u32, load: EngineLoad) {
        self.others.insert(server, load);
    }

    /// Whether a load has changed since [`Self::take_load_changes`] that others are to hear at once.
    pub fn has_urgent_load_changes(&self) -> bool {
        self.servers.values().any(|state| state.has_urgent_change)
    }

    /// What this entry has in progress at servers where that has changed.
    pub fn take_load_changes(&mut self) -> Vec<LoadNotice> {
        let changed = self.servers.values_mut().filter(|state| state.changed);
        changed
            .map(|state| {
                state.has_urgent_change = false;
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

    /// Takes in what the agents that live tell of their servers, by address.
    pub fn set_notices(&mut self, notices: &HashMap<SocketAddr, ServerNotice>) {
        for state in self.servers.values_mut() {
            // A server that was started again may be listed twice at its address for a while.
            state.notice = notices.get(&state.record.address).cloned();
        }
    }

    /// What this entry has in progress, for others.
    pub fn own_loads(&self) -> Vec<LoadNotice> {
        let busy = self.servers.values().filter(|state| state.own.in_flight > 0);
        busy.map(|state| LoadNotice { server: state.key, load: state.own }).collect()
    }

    /// Whether the end of a server is one that was planned: it is leaving, or has left the list.
    pub fn is_planned_shutdown(&self, id: &ServerId) -> bool {
        self.servers.get(id).is_none_or(|state| self.is_leaving(state))
    }

    /// Whether a server takes nothing new because it will end.
    fn is_leaving(&self, state: &ServerState) -> bool {
        state.record.draining
            || self.leaving.is_leaving(state.key)
            || self.draining_lives.contains(state.life)
    }

    /// Whether a server takes nothing new, by its own word or because its failure domain is being emptied.
    fn is_excluded(&self, state: &ServerState) -> bool {
        self.is_leaving(state) || self.evacuated.contains(&state.domain)
    }

    /// Whether a server is cold and has had this entry's part of what it may be sent.
    fn is_throttled(&self, now: Moment, state: &ServerState) -> bool {
        let rate = self.cold_rates.services.get(&state.record.service);
        let Some((cold, rate)) = state.cold.zip(rate.copied()) else { return false };
        !cold.may_send(now, rate, self.entries, self.cold_rates.phase)
    }

    /// Notes that a request with a prompt of `tokens` has been sent to a server.
    pub fn begin(&mut self, id: &ServerId, tokens: u64) {
        if let Some(state) = self.servers.get_mut(id) {
            state.own.in_flight += 1;
            state.own.waiting_tokens += tokens;
            state.waiting += 1;
            if let Some(cold) = &mut state.cold {
                cold.record_sent();
            }
            // Whoever sees an engine idle sends to it: what it has to read must be known at once.
            state.has_urgent_change |= tokens > 0;
            state.changed = true;
            mark_urgent_change(state, &self.others);
        }
    }

    /// Notes that a server has read a prompt of `tokens` and begun to answer, or never will.
    pub fn finish_prefill(&mut self, id: &ServerId, tokens: u64) {
        if let Some(state) = self.servers.get_mut(id) {
            state.own.waiting_tokens = state.own.waiting_tokens.saturating_sub(tokens);
            // The next tick tells it: until then others only take the engine for a little busier.
            state.waiting = state.waiting.saturating_sub(1);
            state.changed = true;
        }
    }

    /// Notes what came of a request at `server` as it was when it was chosen.
    pub fn end_chosen(&mut self, now: Moment, server: &ChosenServer, outcome: ServerOutcome) {
        let state = self.servers.get(&server.id);
        let same_life = state.is_some_and(|state| state.life == server.life);
        // What an earlier life did with it says nothing of this one.
        let outcome = if same_life { outcome } else { ServerOutcome::Abandoned };
        self.end(now, &server.id, outcome);
    }

    /// Notes what came of it.
    pub fn end(&mut self, now: Moment, id: &ServerId, outcome: ServerOutcome) {
        let Some(state) = self.servers.get_mut(id) else { return };
        mark_urgent_change(state, &self.others);
        state.changed = true;
        state.own.in_flight = state.own.in_flight.saturating_sub(1);
        match outcome {
            ServerOutcome::Answered => {
                state.failures = 0;
                state.refusals = 0;
                state.backoff_until = state.backoff_until.filter(|until| *until > now);
                update_failure_share(state, 0.0);
            }
            ServerOutcome::Failed => {
                state.failures = 0;
                update_failure_share(state, 1.0);
            }
            ServerOutcome::Refused | ServerOutcome::Misdirected => {
                state.refusals = (state.refusals + 1).min(MAX_DOUBLINGS);
                state.blocked_until = now + REFUSAL_COOLDOWN * (1 << (state.refusals - 1));
            }
            ServerOutcome::Lost => {
                state.failures = (state.failures + 1).min(MAX_DOUBLINGS);
                state.blocked_until = now + FAILURE_COOLDOWN * (1 << (state.failures - 1));
                update_failure_share(state, 1.0);
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
        self.backoff_until = None;
        self.notice = None;
        self.cold = None;
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
fn mark_urgent_change(state: &mut ServerState, others: &HashMap<u32, EngineLoad>) {
    let others = others.get(&state.key).copied().unwrap_or_default();
    let in_flight = state.own.in_flight + others.in_flight;
    let busy = in_flight * 100 >= state.record.slots.max(1) * URGENT_LOAD_PERCENT;
    state.has_urgent_change |= busy;
}

fn update_failure_share(state: &mut ServerState, failed: f64) {
    state.failure_share += (failed - state.failure_share) * FAILURE_WEIGHT;
}

/// The version that a server is thought to hold whole: its agent knows before the list does.
fn loaded_version(state: &ServerState, layers: u32) -> Option<WeightVersion> {
    match &state.notice {
        Some(notice) => notice.whole,
        None => state.record.models.iter().find_map(|model| model.whole_version(layers)),
    }
}

/// Whether a server holds all of its model in a version that is new enough.
fn has_weights(state: &ServerState, layers: u32, min_version: Option<WeightVersion>) -> bool {
    let version = loaded_version(state, layers);
    version.is_some_and(|version| min_version.is_none_or(|min_version| version >= min_version))
}

/// Requests that an engine is sent at most where they continue a stream.
fn continuation_limit(state: &ServerState) -> u32 {
    state.record.slots.max(1) + CONTINUATION_QUEUE
}
