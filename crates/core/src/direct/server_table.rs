//! Per-server state of an entry and server selection.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use headlatch_types::{
    id::{DomainId, RegionId},
    store::StoreRevision,
    traffic::{ServerId, ServerRecord},
};

use self::{
    cold::ColdPeriod,
    misdirected::Misdirected,
    server_state::{mark_urgent_change, update_failure_share},
};
use super::{
    engine_model::EngineLoad,
    leaving::{DrainingLives, LeavingNotice, LeavingServers},
    peers::{DomainKey, LoadNotice, ServerNotice},
    rate_limits::{EntryKey, LimitMembers, RateLimits},
    suspects::LifeKey,
};
use crate::time::Moment;

mod addresses;
mod choice;
mod cold;
mod cold_servers;
mod limits;
mod misdirected;
mod server_state;
mod signals;
mod speed;
mod weight_changes;

pub use choice::{
    ChosenServer, EngineQuery, ExclusionCounts, FirstTokenBound, ServerChoice, ServerQuery,
};
pub use cold::{
    ColdEvent, ColdNotice, ColdRates, ColdSource, ColdView, FALLBACK_COLD_TIME, MAX_COLD_NOTICES,
};
pub use misdirected::{MAX_MISDIRECTED_NOTICES, MisdirectedNotice};
pub use signals::Ineligible;
pub use weight_changes::ContinuationLimits;

/// Initial backoff after a server was unreachable or dropped a connection.
const FAILURE_COOLDOWN: Duration = Duration::from_millis(300);

/// Initial backoff after a server refused a request despite apparent capacity.
const REFUSAL_COOLDOWN: Duration = Duration::from_millis(80);

/// Maximum number of times a backoff is doubled.
const MAX_DOUBLINGS: u32 = 4;

/// Outcome of a request at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerOutcome {
    /// The server answered successfully.
    Answered,
    /// The server answered with an error.
    Failed,
    /// The server refused the request for lack of capacity.
    Refused,
    /// The address belongs to another server, or the server holds other weights.
    Misdirected,
    /// The server was unreachable, dropped the connection, or timed out.
    Lost,
    /// The request was canceled on behalf of the caller.
    Abandoned,
}

/// State that this entry keeps for one server.
#[derive(Debug, Clone)]
struct ServerState {
    record: ServerRecord,
    /// Store revision of the record.
    revision: StoreRevision,
    /// A newer record has the address: another process listens there.
    superseded: bool,
    misdirected: Misdirected,
    key: u32,
    /// Identifies the server process, derived from the server ID and start time.
    life: LifeKey,
    domain: DomainKey,
    /// Region, if known.
    region: Option<RegionId>,
    own: EngineLoad,
    /// Remaining cold period, as announced by the server on its return.
    cold: Option<ColdPeriod>,
    /// Requests of this entry that the server has not started yet.
    waiting: u32,
    /// Streams of this entry that can no longer be resumed on another server.
    pinned_streams: u32,
    /// The load has changed since the last update in a way that other entries must see immediately.
    has_urgent_change: bool,
    /// The load has changed since the last update to other entries.
    changed: bool,
    failures: u32,
    refusals: u32,
    failure_share: f64,
    blocked_until: Moment,
    /// End of the backoff requested by the server; `None` once it has answered after that time.
    backoff_until: Option<Moment>,
    /// Latest notice from its agent.
    notice: Option<ServerNotice>,
    /// Whether it counted as slow when speed changes were last taken.
    was_slow: bool,
}

/// All known servers with their load, health and rate limits.
#[derive(Debug, Default)]
pub struct ServerTable {
    servers: BTreeMap<ServerId, ServerState>,
    services: HashMap<Arc<str>, Vec<ServerId>>,
    /// Servers by address: more than one where a server has taken the place of another.
    addresses: HashMap<SocketAddr, Vec<ServerId>>,
    others: HashMap<u32, EngineLoad>,
    /// Failure domains that are currently unreachable.
    unreachable: BTreeSet<DomainKey>,
    /// Failure domains that are being evacuated.
    evacuated: BTreeSet<DomainKey>,
    /// Servers that are draining or deregistered, per the store.
    leaving: LeavingServers,
    /// Server processes that have announced draining in a response.
    draining_lives: DrainingLives,
    /// Rate limits that servers have advertised, and the rates of cold servers.
    limits: RateLimits,
    limit_members: LimitMembers,
    /// Key of this entry, once it has been assigned shares.
    own: EntryKey,
    /// Number of live entries.
    entries: usize,
    cold_rates: ColdRates,
    /// Cold periods whose beginning has been reported in [`Self::take_cold_events`], by server process.
    reported_cold: HashMap<LifeKey, (ServerId, ColdView)>,
    /// Whether predictions take the pace of the servers into account.
    uses_pace: bool,
    zone: Option<DomainId>,
    /// Region of this entry, if known.
    region: Option<RegionId>,
    regions: HashMap<DomainId, RegionId>,
}

/// Returns the key that identifies a server in notices.
pub fn server_key(id: &ServerId) -> u32 {
    id.0.bytes().fold(0x811c_9dc5, hash_byte)
}

/// Performs one step of the FNV-1a hash.
fn hash_byte(state: u32, byte: u8) -> u32 {
    (state ^ u32::from(byte)).wrapping_mul(0x0100_0193)
}

/// Returns the key of a server process, a hash of the server ID and start time.
fn life_key(record: &ServerRecord) -> LifeKey {
    let born = record.started_at.map(|born| born.0.to_le_bytes()).unwrap_or_default();
    LifeKey(born.into_iter().fold(server_key(&record.id), hash_byte))
}

impl ServerTable {
    /// Creates an empty table for an entry in `zone`.
    pub fn new(zone: DomainId, regions: HashMap<DomainId, RegionId>) -> Self {
        let region = regions.get(&zone).cloned();
        Self { zone: Some(zone), region, regions, ..Self::default() }
    }

    /// Inserts or updates a server's record.
    ///
    /// `revision` is the store revision of the record.
    pub fn set(&mut self, now: Moment, record: ServerRecord, revision: StoreRevision) {
        let key = server_key(&record.id);
        match record.draining {
            true => {
                // The local table is updated whether or not the state change is new.
                let _ = self.leaving.record_leaving(now, key, revision);
            }
            false => {
                let _ = self.leaving.record_ready(now, key, revision);
            }
        }
        let region = self.regions.get(&record.zone).cloned();
        let (id, address) = (record.id.clone(), record.address);
        let address_before = self.servers.get(&id).map(|state| state.record.address);
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
            // A record that is read again says nothing of the time since it was written.
            if state.revision != revision {
                let rest = Duration::from_millis(record.cold_ms);
                state.cold = ColdPeriod::from_record(now, rest, state.cold);
                state.misdirected.reset(now);
            }
            let id = record.id.clone();
            state.record = record;
            state.revision = revision;
            if let Some((before, service)) = moved {
                self.unlist(&before, &id);
                self.list(service, id.clone());
            }
            self.limit_cold(now, &id);
        } else {
            let state = ServerState {
                key,
                life: life_key(&record),
                domain: DomainKey::from(&record.zone),
                region,
                own: EngineLoad::default(),
                cold: ColdPeriod::from_record(now, Duration::from_millis(record.cold_ms), None),
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
                was_slow: false,
                record,
                revision,
                superseded: false,
                misdirected: Misdirected::default(),
            };
            let (id, service) = (state.record.id.clone(), state.record.service.clone());
            self.servers.insert(id.clone(), state);
            self.list(service, id.clone());
            self.limit_cold(now, &id);
        }
        if let Some(before) = address_before.filter(|before| *before != address) {
            self.remove_address(before, &id);
        }
        self.add_address(address, &id);
        self.mark_superseded(address);
    }

    /// Removes a server that was deregistered as of `revision`; returns whether it was in the table.
    pub fn remove(&mut self, now: Moment, id: &ServerId, revision: StoreRevision) -> bool {
        let _ = self.leaving.record_leaving(now, server_key(id), revision);
        self.leaving.forget_old(now);
        self.remove_unregistered(now, id)
    }

    /// Removes a server that is not known to be deregistered; returns whether it was in the table.
    pub fn remove_unregistered(&mut self, now: Moment, id: &ServerId) -> bool {
        self.prune_draining_lives(now);
        let removed = self.servers.remove(id);
        if let Some(state) = &removed {
            self.limits.forget(state.life);
            self.unlist(&state.record.service, id);
            self.remove_address(state.record.address, id);
        }
        removed.is_some()
    }

    /// Removes all servers except those in `listed`, the complete list as of `revision`.
    pub fn retain_listed(&mut self, now: Moment, listed: &[ServerId], revision: StoreRevision) {
        let listed: HashSet<&ServerId> = listed.iter().collect();
        for id in self.servers.keys().filter(|id| !listed.contains(id)) {
            let _ = self.leaving.record_leaving(now, server_key(id), revision);
        }
        self.leaving.forget_old(now);
        self.prune_draining_lives(now);
        self.servers.retain(|id, _| listed.contains(id));
        self.services.values_mut().for_each(|ids| ids.retain(|id| listed.contains(id)));
        self.services.retain(|_, ids| !ids.is_empty());
        self.addresses.values_mut().for_each(|ids| ids.retain(|id| listed.contains(id)));
        self.addresses.retain(|_, ids| !ids.is_empty());
    }

    /// Carries what is known of leaving servers over into a newer era of the store, which begins at `start`: its
    /// records may be older than what is known.
    pub fn begin_era(&mut self, now: Moment, start: StoreRevision) {
        self.leaving.begin_era(now, start);
        // A server that has announced draining never takes it back, whatever it registers after the rollback.
        for state in self.servers.values().filter(|state| state.record.draining) {
            let _ = self.draining_lives.note(now, state.life);
        }
    }

    /// Lets servers return whose leaving before the current era of the store is no longer certain.
    pub fn release_carried(&mut self, now: Moment) {
        self.leaving.release_carried(now);
    }

    /// Adds a server to the index of its service, ordered by ID.
    fn list(&mut self, service: Arc<str>, id: ServerId) {
        let ids = self.services.entry(service).or_default();
        if let Err(place) = ids.binary_search(&id) {
            ids.insert(place, id);
        }
    }

    /// Removes a server from the index of a service.
    fn unlist(&mut self, service: &str, id: &ServerId) {
        let Some(ids) = self.services.get_mut(service) else { return };
        ids.retain(|listed| listed != id);
        if ids.is_empty() {
            self.services.remove(service);
        }
    }

    /// Merges a notice from another entry that a server is leaving or has returned; returns whether it changed
    /// the local state.
    pub fn merge_leaving(&mut self, now: Moment, notice: LeavingNotice) -> bool {
        self.leaving.merge(now, notice)
    }

    /// Returns recent changes of leaving servers to gossip.
    pub fn recent_leaving(&self, now: Moment) -> Vec<LeavingNotice> {
        self.leaving.recent(now)
    }

    /// Iterates over the records of all servers.
    pub fn records(&self) -> impl Iterator<Item = &ServerRecord> {
        self.servers.values().map(|state| &state.record)
    }

    /// Replaces the load that other entries have at each server, by server key.
    pub fn set_other_loads(&mut self, others: HashMap<u32, EngineLoad>) {
        self.others = others;
    }

    /// Sets the number of live entries.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries;
    }

    /// Sets the unreachable failure domains; returns whether the set changed.
    pub fn set_unreachable_domains(&mut self, unreachable: BTreeSet<DomainKey>) -> bool {
        let changed = self.unreachable != unreachable;
        self.unreachable = unreachable;
        changed
    }

    /// Sets the load that other entries have at one server.
    pub fn set_other_load(&mut self, server: u32, load: EngineLoad) {
        self.others.insert(server, load);
    }

    /// Returns whether a load change since [`Self::take_load_changes`] must be sent immediately.
    pub fn has_urgent_load_changes(&self) -> bool {
        self.servers.values().any(|state| state.has_urgent_change)
    }

    /// Returns the changed loads of this entry and resets the change flags.
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

    /// Sets the agent's notice for the servers at an address; `None` if the agent is gone.
    pub fn set_notice(&mut self, address: SocketAddr, notice: Option<ServerNotice>) {
        for state in self.servers.values_mut().filter(|state| state.record.address == address) {
            state.replace_notice(notice.clone());
        }
    }

    /// Replaces all agent notices with those of the live agents, by server address.
    pub fn set_notices(&mut self, notices: &HashMap<SocketAddr, ServerNotice>) {
        for state in self.servers.values_mut() {
            // A restarted server may be listed under both its old and new ID at one address for a while.
            state.replace_notice(notices.get(&state.record.address).cloned());
        }
    }

    /// Returns the load of this entry at every server where it has requests in flight.
    pub fn own_loads(&self) -> Vec<LoadNotice> {
        let busy = self.servers.values().filter(|state| state.own.in_flight > 0);
        busy.map(|state| LoadNotice { server: state.key, load: state.own }).collect()
    }

    /// Returns whether a server is draining or no longer listed, so that its shutdown is planned.
    pub fn is_planned_shutdown(&self, id: &ServerId) -> bool {
        self.servers.get(id).is_none_or(|state| self.is_leaving(state))
    }

    /// Returns whether a server takes no new requests because it is going to shut down.
    fn is_leaving(&self, state: &ServerState) -> bool {
        state.record.draining
            || self.leaving.is_leaving(state.key)
            || self.draining_lives.contains(state.life)
    }

    /// Returns whether a server is excluded because it is leaving, another one has its address, or its failure
    /// domain is being evacuated.
    fn is_excluded(&self, state: &ServerState) -> bool {
        self.is_leaving(state) || state.superseded || self.evacuated.contains(&state.domain)
    }

    /// Records that a request with a prompt of `tokens` was sent to a server.
    pub fn begin(&mut self, id: &ServerId, tokens: u64) {
        if let Some(state) = self.servers.get_mut(id) {
            state.own.in_flight += 1;
            state.own.waiting_tokens += tokens;
            state.waiting += 1;
            if let Some(cold) = &mut state.cold {
                cold.record_sent();
            }
            // Entries that see an idle engine send requests to it, so prompts are announced immediately.
            state.has_urgent_change |= tokens > 0;
            state.changed = true;
            mark_urgent_change(state, &self.others);
        }
    }

    /// Records that a server has finished the prefill of `tokens` and started to answer, or never will.
    pub fn finish_prefill(&mut self, id: &ServerId, tokens: u64) {
        if let Some(state) = self.servers.get_mut(id) {
            state.own.waiting_tokens = state.own.waiting_tokens.saturating_sub(tokens);
            // Not urgent: until the next tick other entries only overestimate the load slightly.
            state.waiting = state.waiting.saturating_sub(1);
            state.changed = true;
        }
    }

    /// Records the outcome of a request at the server process that was chosen for it.
    pub fn end_chosen(&mut self, now: Moment, server: &ChosenServer, outcome: ServerOutcome) {
        let state = self.servers.get(&server.id);
        let same_life = state.is_some_and(|state| state.life == server.life);
        // The outcome at an earlier process says nothing about the current one.
        let outcome = if same_life { outcome } else { ServerOutcome::Abandoned };
        self.end(now, &server.id, outcome);
    }

    /// Records the outcome of a request at a server.
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
            ServerOutcome::Misdirected => state.misdirected.record(now),
            ServerOutcome::Refused => {
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
