//! Membership and load reports of the other headlatch processes.
//!
//! Every process sends small notices to the peers that it knows, with its liveness, the addresses of
//! further peers and its in-flight requests per server. Discovery starts from a few seed addresses,
//! which may be stale, and from the boxes of the listed servers.
//!
//! Within a failure domain, entries publish every change of load immediately. Other failure domains
//! periodically receive the sum over a domain from one of its entries, so that the traffic of a process
//! does not grow with the number of processes.
//!
//! Names with "near" refer to the local failure domain, names with "far" to all others.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use headlatch_types::{
    store::{StoreEra, StoreRevision},
    traffic::PlanVersion,
};

use super::{
    engine_model::EngineLoad,
    plan_readers::{ReaderCandidate, reader_rank},
    relays::DrainSum,
};
use crate::time::Moment;

mod notice;
mod relayed;

pub use notice::{
    DomainKey, DrainNotice, DrainReport, LoadNotice, PeerKind, PeerNotice, ServerNotice,
    WantedNotice,
};

/// Time without a message after which a peer of the local failure domain is removed: three lost notices.
pub const NEAR_PEER_TIMEOUT: Duration = Duration::from_millis(1600);

/// The same for peers of other failure domains, which send a notice every 1.5 s.
pub const FAR_PEER_TIMEOUT: Duration = Duration::from_millis(4800);

/// Maximum age of the load sum of another failure domain: three lost reports.
const DOMAIN_LOAD_TTL: Duration = Duration::from_millis(700);

/// Time without a message from any process of a failure domain after which the domain counts as
/// unreachable: each of its processes sends every 1.5 s, and one of them ten times a second.
const DOMAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// The same for agents, which receive messages from other failure domains less often than entries do.
const AGENT_DOMAIN_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time without a message from any peer after which this process may itself have been suspended or
/// disconnected, and therefore marks no failure domain as unreachable.
const LOCAL_STALL_THRESHOLD: Duration = Duration::from_millis(250);

/// Time without a message from any peer after which this process has been disconnected or suspended:
/// responses pending on open connections may never arrive.
const DISCONNECT_THRESHOLD: Duration = Duration::from_millis(1500);

/// Time for which an address that does not answer is retried.
const CANDIDATE_TTL: Duration = Duration::from_secs(32);

/// Maximum age of the summed drain reports for a server that is changing weights: a relay sends the
/// sum immediately when it changes, and every 300 ms.
const DRAIN_SUM_TTL: Duration = Duration::from_millis(700);

/// How much older a notice of another incarnation may be than the last message from the same address:
/// relays forward both, over paths of different length.
const RESTART_TOLERANCE: Duration = Duration::from_millis(200);

/// Maximum number of peer addresses in a notice; an address takes 8 bytes.
pub const MAX_ADVERTISED_PEERS: usize = 48;

/// A known peer process.
#[derive(Debug, Clone)]
pub struct Peer {
    /// The last notice received.
    pub notice: PeerNotice,
    /// When this process or a relay last received a message from the peer.
    pub last_seen: Moment,
    /// Sequence number of the notice with the current facts; the in-flight counts may be newer.
    facts_sequence: u64,
    /// When these facts arrived; liveness is refreshed more often.
    facts_received_at: Moment,
}

impl Peer {
    /// The part of the last notice that relays forward: without the fields that the peer sends directly,
    /// and with ages advanced to `now`.
    pub fn facts(&self, now: Moment) -> PeerNotice {
        let rested = now.since(self.facts_received_at);
        let wanted = self.notice.wanted.iter().cloned();
        let wanted = wanted.map(|one| WantedNotice { age: one.age + rested, ..one });
        PeerNotice {
            wanted: wanted.collect(),
            sequence: self.facts_sequence,
            peers: Vec::new(),
            loads: Vec::new(),
            drains: Vec::new(),
            leaving: Vec::new(),
            draining_lives: Vec::new(),
            limits: Vec::new(),
            cold: Vec::new(),
            misdirected: Vec::new(),
            suspects: Vec::new(),
            suspect_parts: Vec::new(),
            domain_loads: None,
            changes_only: false,
            ..self.notice.clone()
        }
    }
}

/// Effect of a received notice.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NoticeOutcome {
    /// The sender is new or has returned.
    pub joined: bool,
    /// The state of the sender's server has changed.
    pub server_changed: bool,
    /// No peer had been heard for a while: this process was disconnected or suspended.
    pub after_disconnect: bool,
}

/// In-flight requests of all entries of another failure domain.
#[derive(Debug, Clone)]
pub struct DomainLoads {
    /// The entry that sent the report.
    pub reporter: SocketAddr,
    /// When the report was received.
    pub last_seen: Moment,
    /// In-flight requests per server.
    pub loads: Vec<LoadNotice>,
}

/// All peers known to one process.
#[derive(Debug)]
pub struct PeerTable {
    own: SocketAddr,
    domain: DomainKey,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Addresses that may belong to peers: seeds, listed boxes and addresses from notices.
    candidates: BTreeMap<SocketAddr, Moment>,
    /// In-flight requests of the entries of each other failure domain.
    domain_loads: BTreeMap<DomainKey, DomainLoads>,
    /// Drain reports for the own server, summed per failure domain.
    drain_sums: BTreeMap<DomainKey, (Moment, DrainSum)>,
    /// Number of peers up to which all processes exchange notices directly.
    mesh_limit: usize,
    /// Time of the last message from each failure domain.
    domains_last_seen: BTreeMap<DomainKey, Moment>,
}

impl PeerTable {
    /// Creates an empty table for a process in `domain`.
    pub fn new(own: SocketAddr, domain: DomainKey) -> Self {
        Self {
            own,
            domain,
            peers: BTreeMap::new(),
            candidates: BTreeMap::new(),
            domain_loads: BTreeMap::new(),
            drain_sums: BTreeMap::new(),
            mesh_limit: usize::MAX,
            domains_last_seen: BTreeMap::new(),
        }
    }

    /// Whether a peer belongs to the local failure domain.
    pub fn is_near(&self, peer: &Peer) -> bool {
        peer.notice.domain == self.domain
    }

    /// Adds an address that may belong to a peer.
    pub fn add_candidate(&mut self, now: Moment, address: SocketAddr) {
        if address != self.own {
            self.candidates.entry(address).or_insert(now);
        }
    }

    /// Sets the number of peers up to which all processes exchange notices directly. Relays are never
    /// used unless a limit is set.
    pub fn set_mesh_limit(&mut self, limit: usize) {
        self.mesh_limit = limit;
    }

    /// Applies a notice that came directly from its sender.
    pub fn receive(&mut self, now: Moment, notice: PeerNotice) -> NoticeOutcome {
        if notice.from == self.own {
            return NoticeOutcome::default();
        }
        for address in &notice.peers {
            self.add_candidate(now, *address);
        }
        let after_disconnect = self.record_domain_activity(now, now, notice.domain);
        self.candidates.remove(&notice.from);
        let before = self.peers.get(&notice.from);
        if let Some(peer) = before
            && peer.notice.incarnation == notice.incarnation
            && peer.notice.sequence >= notice.sequence
        {
            return NoticeOutcome { after_disconnect, ..NoticeOutcome::default() };
        }
        let outcome = outcome_of(before, &notice, after_disconnect);
        let kept_facts = before.filter(|_| notice.changes_only);
        let kept_facts = kept_facts.map(|peer| (peer.facts_sequence, peer.facts_received_at));
        let notice = match before {
            Some(peer) if notice.changes_only => merge_load_changes(&peer.notice, notice),
            _ => notice,
        };
        self.record_domain_loads(now, &notice);
        let (facts_sequence, facts_received_at) = kept_facts.unwrap_or((notice.sequence, now));
        self.peers.insert(
            notice.from,
            Peer { notice, last_seen: now, facts_sequence, facts_received_at },
        );
        outcome
    }

    /// Records the time of the last message from a failure domain. Returns whether no peer had been
    /// heard for longer than [`DISCONNECT_THRESHOLD`] before.
    fn record_domain_activity(
        &mut self,
        now: Moment,
        last_seen: Moment,
        domain: DomainKey,
    ) -> bool {
        let last = self.domains_last_seen.values().max();
        let after_disconnect = last.is_some_and(|last| now.since(*last) > DISCONNECT_THRESHOLD);
        let at = self.domains_last_seen.entry(domain).or_insert(last_seen);
        *at = (*at).max(last_seen);
        after_disconnect
    }

    fn record_domain_loads(&mut self, last_seen: Moment, notice: &PeerNotice) {
        let Some(loads) = notice.domain_loads.as_ref() else { return };
        let known = self.domain_loads.get(&notice.domain);
        if notice.domain == self.domain || known.is_some_and(|known| known.last_seen > last_seen) {
            return;
        }
        let loads = DomainLoads { reporter: notice.from, last_seen, loads: loads.clone() };
        self.domain_loads.insert(notice.domain, loads);
    }

    /// Time without a message after which a peer of `domain` is removed.
    fn peer_timeout(&self, domain: DomainKey) -> Duration {
        match domain == self.domain {
            true => NEAR_PEER_TIMEOUT,
            false => FAR_PEER_TIMEOUT,
        }
    }

    /// Whether a live peer is known at `address`.
    pub fn knows(&self, address: SocketAddr) -> bool {
        self.peers.contains_key(&address)
    }

    /// The latest load sum of each other failure domain.
    pub fn domain_loads(&self) -> impl Iterator<Item = &DomainLoads> {
        self.domain_loads.values()
    }

    /// The peer at `address`.
    pub fn peer(&self, address: SocketAddr) -> Option<&Peer> {
        self.peers.get(&address)
    }

    /// Drain report of the local failure domain for a server that is about to change, including `own`,
    /// the drains of this process.
    pub fn near_drain_report(&self, server: SocketAddr, own: &[DrainNotice]) -> DrainReport {
        let near = self.near_entries().map(|peer| peer.notice.drains.as_slice());
        drain_report_of(server, near.chain([own]))
    }

    /// Removes peers that have timed out. They stay candidates for [`CANDIDATE_TTL`].
    pub fn expire(&mut self, now: Moment) -> Vec<SocketAddr> {
        let timed_out =
            |peer: &Peer| now.since(peer.last_seen) > self.peer_timeout(peer.notice.domain);
        let gone: Vec<SocketAddr> =
            self.peers.iter().filter(|(_, peer)| timed_out(peer)).map(|(at, _)| *at).collect();
        self.domain_loads.retain(|_, report| now.since(report.last_seen) <= DOMAIN_LOAD_TTL);
        self.drain_sums.retain(|_, (last_seen, _)| now.since(*last_seen) <= DRAIN_SUM_TTL);
        for address in &gone {
            self.peers.remove(address);
            self.candidates.insert(*address, now);
        }
        self.candidates.retain(|_, since| now.since(*since) < CANDIDATE_TTL);
        gone
    }

    /// Other failure domains that count as unreachable because no message has come from them within
    /// [`DOMAIN_TIMEOUT`].
    pub fn unreachable_domains(&self, now: Moment) -> BTreeSet<DomainKey> {
        self.domains_not_heard_for(now, DOMAIN_TIMEOUT)
    }

    /// Live peers whose failure domain has been heard within [`AGENT_DOMAIN_TIMEOUT`]. Agents of other
    /// domains neither fetch pieces for this one nor take precedence over it; relying on them would mean
    /// waiting for each of them to time out.
    pub fn reachable(&self, now: Moment) -> impl Iterator<Item = &Peer> {
        let timed_out = self.domains_not_heard_for(now, AGENT_DOMAIN_TIMEOUT);
        self.living().filter(move |peer| !timed_out.contains(&peer.notice.domain))
    }

    /// Other failure domains from which no message has come within `timeout`.
    fn domains_not_heard_for(&self, now: Moment, timeout: Duration) -> BTreeSet<DomainKey> {
        let last = self.domains_last_seen.values().max();
        if last.is_none_or(|last| now.since(*last) > LOCAL_STALL_THRESHOLD) {
            return BTreeSet::new();
        }
        let far = self.domains_last_seen.iter().filter(|(domain, _)| **domain != self.domain);
        far.filter(|(_, last_seen)| now.since(**last_seen) > timeout)
            .map(|(domain, _)| *domain)
            .collect()
    }

    /// All live peers.
    pub fn living(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Number of live entries, including this process if it is an entry.
    pub fn entries(&self, own: PeerKind) -> usize {
        let others = self.living().filter(|peer| peer.notice.kind == PeerKind::Entry).count();
        others + usize::from(own == PeerKind::Entry)
    }

    /// Drain report of all live entries for the own server, which is about to change. Uses the relay's
    /// sum for failure domains that have one, and the individual notices otherwise.
    pub fn drain_report(&self, server: SocketAddr) -> DrainReport {
        let entries = self.living().filter(|peer| peer.notice.kind == PeerKind::Entry);
        let single = entries.filter(|peer| !self.drain_sums.contains_key(&peer.notice.domain));
        let single = single.map(|peer| peer.notice.drains.as_slice());
        let sums = self.drain_sums.values().map(|(_, sum)| sum.report);
        sums.fold(drain_report_of(server, single), |all, sum| DrainReport {
            unconfirmed: all.unconfirmed + sum.unconfirmed,
            waiting: all.waiting + sum.waiting,
            unresumable: all.unresumable + sum.unresumable,
        })
    }

    /// Addresses that may belong to peers but have not sent a notice.
    pub fn candidates(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.candidates.keys().copied()
    }

    /// Peer addresses to include in a notice; successive values of `turn` rotate through all of them.
    pub fn peers_to_advertise(&self, turn: usize) -> Vec<SocketAddr> {
        let count = self.peers.len();
        let start = turn.checked_rem(count).unwrap_or(0);
        let rotated = self.peers.keys().cycle().skip(start);
        rotated.take(count.min(MAX_ADVERTISED_PEERS)).copied().collect()
    }

    /// Live entries of the local failure domain, without this process.
    fn near_entries(&self) -> impl Iterator<Item = &Peer> {
        let entries = self.living().filter(|peer| peer.notice.kind == PeerKind::Entry);
        entries.filter(|peer| self.is_near(peer))
    }

    /// Whether this entry publishes the load sum of its failure domain to the others: it is the live
    /// entry with the lowest address.
    pub fn is_domain_reporter(&self) -> bool {
        self.near_entries().all(|peer| peer.notice.from > self.own)
    }

    /// Number of entries of the local failure domain with a lower address than this one.
    pub fn entries_before(&self) -> u32 {
        self.near_entries().filter(|peer| peer.notice.from < self.own).count() as u32
    }

    /// Number of entries of the local failure domain that can read the store and have a lower address
    /// than this one.
    pub fn readers_before(&self) -> usize {
        let readers = self.near_entries().filter(|peer| peer.notice.reads_store);
        readers.filter(|peer| peer.notice.from < self.own).count()
    }

    /// Number of agents of the local failure domain with a lower address than this one.
    pub fn agents_before(&self) -> usize {
        let agents = self.living().filter(|peer| peer.notice.kind == PeerKind::Agent);
        agents.filter(|peer| self.is_near(peer) && peer.notice.from < self.own).count()
    }

    /// Whether this entry is one of the plan readers of its failure domain.
    pub fn is_plan_reader(&self) -> bool {
        self.reader_rank().is_some()
    }

    /// Rank of this entry among the store readers of its failure domain; none if it is not a reader.
    pub fn reader_rank(&self) -> Option<usize> {
        let view = |peer: &Peer| ReaderCandidate {
            address: peer.notice.from,
            reads_store: peer.notice.reads_store,
        };
        reader_rank(self.own, self.near_entries().map(view))
    }

    /// Entries with a newer plan than `version`, in the local failure domain if `near` is set, otherwise
    /// in all other domains.
    pub fn newer_plans(&self, version: PlanVersion, near: bool) -> Vec<SocketAddr> {
        let entries = self.living().filter(|peer| peer.notice.kind == PeerKind::Entry);
        let newer = entries.filter(|peer| peer.notice.plan > version.0);
        newer.filter(|peer| near == self.is_near(peer)).map(|peer| peer.notice.from).collect()
    }

    /// Entries that have applied a change of the server list after `mark`, in the local failure domain if
    /// `near` is set, otherwise in all other domains.
    pub fn newer_servers(&self, mark: StoreRevision, near: bool) -> Vec<SocketAddr> {
        let entries = self.living().filter(|peer| peer.notice.kind == PeerKind::Entry);
        let newer = entries.filter(|peer| peer.notice.servers > mark);
        newer.filter(|peer| near == self.is_near(peer)).map(|peer| peer.notice.from).collect()
    }

    /// The newest era of the store that a live peer has reported.
    pub fn newest_era(&self) -> StoreEra {
        self.living().map(|peer| peer.notice.servers.era()).max().unwrap_or_default()
    }

    /// Whether an entry of the local failure domain is known to read the store.
    pub fn has_near_reader(&self) -> bool {
        let mut known = self.near_entries().filter(|peer| peer.notice.incarnation != 0);
        known.any(|peer| peer.notice.reads_store)
    }

    /// In-flight load of all other entries, by server key.
    pub fn loads(&self) -> HashMap<u32, EngineLoad> {
        let mut loads = self.near_loads();
        for far in self.domain_loads.values() {
            add_loads(&mut loads, &far.loads);
        }
        loads
    }

    /// In-flight load of the other entries of the local failure domain, by server key.
    pub fn near_loads(&self) -> HashMap<u32, EngineLoad> {
        let mut loads: HashMap<u32, EngineLoad> = HashMap::new();
        self.near_entries().for_each(|peer| add_loads(&mut loads, &peer.notice.loads));
        loads
    }

    /// In-flight load of all other entries at one server.
    pub fn load_of(&self, server: u32) -> EngineLoad {
        let near = self.near_entries().flat_map(|peer| &peer.notice.loads);
        let far = self.domain_loads.values().flat_map(|report| &report.loads);
        let there = near.chain(far).filter(|notice| notice.server == server);
        there.fold(EngineLoad::default(), |sum, notice| sum + notice.load)
    }
}

/// Whether a forwarded notice is newer than the facts known about its sender.
fn is_newer(peer: &Peer, notice: &PeerNotice, last_seen: Moment) -> bool {
    match peer.notice.incarnation == notice.incarnation {
        true => notice.sequence > peer.facts_sequence,
        false => peer.notice.incarnation == 0 || last_seen + RESTART_TOLERANCE >= peer.last_seen,
    }
}

fn outcome_of(before: Option<&Peer>, notice: &PeerNotice, after_disconnect: bool) -> NoticeOutcome {
    NoticeOutcome {
        after_disconnect,
        joined: before.is_none(),
        server_changed: notice.server.is_some()
            && before.is_none_or(|peer| peer.notice.server != notice.server),
    }
}

/// Sums the drain notices of several entries for one server.
fn drain_report_of<'a>(
    server: SocketAddr,
    entries: impl Iterator<Item = &'a [DrainNotice]>,
) -> DrainReport {
    entries.fold(DrainReport::default(), |mut report, drains| {
        match drains.iter().find(|drain| drain.server == server) {
            Some(drain) => {
                report.waiting += drain.waiting;
                report.unresumable += drain.unresumable;
            }
            None => report.unconfirmed += 1,
        }
        report
    })
}

/// Returns a forwarded notice with the in-flight counts that its sender last sent directly.
fn keep_direct_fields(last: Option<&Peer>, notice: PeerNotice) -> PeerNotice {
    let Some(last) = last.map(|peer| &peer.notice) else { return notice };
    PeerNotice {
        // Direct notices that are still in transit must not be rejected as old.
        sequence: last.sequence,
        loads: last.loads.clone(),
        drains: last.drains.clone(),
        ..notice
    }
}

fn add_loads(sums: &mut HashMap<u32, EngineLoad>, loads: &[LoadNotice]) {
    for notice in loads {
        let sum = sums.entry(notice.server).or_default();
        *sum = *sum + notice.load;
    }
}

/// Applies a delta of loads to a peer's last notice. Loads of an earlier incarnation are discarded.
fn merge_load_changes(last: &PeerNotice, changes: PeerNotice) -> PeerNotice {
    let is_changed =
        |load: &LoadNotice| changes.loads.iter().any(|change| change.server == load.server);
    let same_incarnation = last.incarnation == changes.incarnation;
    let kept = last.loads.iter().filter(|load| same_incarnation && !is_changed(load));
    let mut loads: Vec<LoadNotice> = kept.copied().collect();
    loads.extend(changes.loads.iter().filter(|load| load.load.in_flight > 0));
    PeerNotice {
        incarnation: changes.incarnation,
        sequence: changes.sequence,
        loads,
        ..last.clone()
    }
}
