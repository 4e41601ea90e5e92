//! Which other processes of headlatch there are, and what they tell of their load.
//!
//! Every process sends small notices to those that it knows: that it lives, whom it knows, and
//! what it has in progress at each server. There is no list to begin with but a few seeds, which
//! may be stale, and the machines of listed servers.
//!
//! Within a failure domain entries tell each other every change of load at once. Other domains
//! hear the sum over a domain now and then, from one of its entries: what a process sends and
//! hears must not grow with the number of processes.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    time::Duration,
};

use headlatch_types::traffic::PlanVersion;

use super::{
    engine_model::EngineLoad,
    fact_age::ChangeMark,
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

/// Silence after which a peer of the own failure domain counts as gone: three notices are lost.
pub const NEAR_PEER_TIMEOUT: Duration = Duration::from_millis(1600);

/// The same for peers of other failure domains, which are heard every 1.5 s.
pub const FAR_PEER_TIMEOUT: Duration = Duration::from_millis(4800);

/// Age after which the sum over another failure domain says nothing any more: three were lost.
const DOMAIN_LOAD_TTL: Duration = Duration::from_millis(700);

/// Silence of a whole failure domain after which it counts as out of reach: every process there is
/// heard every 1.5 s, and one of them ten times a second.
const DOMAIN_TIMEOUT: Duration = Duration::from_millis(500);

/// The same where agents count on each other: they hear other failure domains less often than entries do.
const AGENT_DOMAIN_TIMEOUT: Duration = Duration::from_millis(1000);

/// Silence of everybody after which this process itself may have stopped for a while, or be cut
/// off, and judges nobody.
const LOCAL_STALL_THRESHOLD: Duration = Duration::from_millis(250);

/// Silence of everybody after which this process has been cut off, or stood still: what it waits
/// for on open connections may never come.
const DISCONNECT_THRESHOLD: Duration = Duration::from_millis(1500);

/// Time for which an address that does not answer is tried.
const CANDIDATE_TTL: Duration = Duration::from_secs(32);

/// Age up to which the sum of what entries say of a changing server counts: a relay tells it at once
/// when it changes, and every 300 ms.
const DRAIN_SUM_TTL: Duration = Duration::from_millis(700);

/// How much earlier a notice of another life may have been heard than the last word of its sender's
/// address: relays tell both, by ways of different length.
const RESTART_TOLERANCE: Duration = Duration::from_millis(200);

/// Peers named in a notice at most: an address takes 8 bytes.
pub const MAX_ADVERTISED_PEERS: usize = 48;

/// A peer.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Its last notice.
    pub notice: PeerNotice,
    /// When it was last heard, by this process or by a relay.
    pub heard: Moment,
    /// Number of the notice that its facts are from; what it has in progress may be newer.
    facts_sequence: u64,
    /// When these facts came here; who lives is told more often.
    facts_heard: Moment,
}

impl Peer {
    /// The facts of its last notice, as they are handed on: without what it tells others directly, and
    /// with ages as they are now.
    pub fn facts(&self, now: Moment) -> PeerNotice {
        let rested = now.since(self.facts_heard);
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
            suspects: Vec::new(),
            domain_loads: None,
            changes_only: false,
            ..self.notice.clone()
        }
    }
}

/// What a notice changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NoticeOutcome {
    /// The sender was not known, or is back.
    pub joined: bool,
    /// The sender's server says something new.
    pub server_changed: bool,
    /// Nobody had been heard for some time: this process was cut off, or stood still.
    pub after_disconnect: bool,
}

/// What the entries of another failure domain have in progress.
#[derive(Debug, Clone)]
pub struct DomainLoads {
    /// The entry that told.
    pub reporter: SocketAddr,
    /// When.
    pub heard: Moment,
    /// What it told.
    pub loads: Vec<LoadNotice>,
}

/// The peers of one process.
#[derive(Debug)]
pub struct PeerTable {
    own: SocketAddr,
    domain: DomainKey,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Addresses that may be peers: seeds, listed machines, and those that others named.
    candidates: BTreeMap<SocketAddr, Moment>,
    /// What entries of other failure domains have in progress, domain by domain.
    domain_loads: BTreeMap<DomainKey, DomainLoads>,
    /// What entries say of the own server while it is about to change, domain by domain.
    drain_sums: BTreeMap<DomainKey, (Moment, DrainSum)>,
    /// Processes up to which everybody tells everybody.
    mesh_limit: usize,
    /// When something was last heard from each failure domain.
    domains_heard: BTreeMap<DomainKey, Moment>,
}

impl PeerTable {
    /// Nobody known yet, seen from a process in `domain`.
    pub fn new(own: SocketAddr, domain: DomainKey) -> Self {
        Self {
            own,
            domain,
            peers: BTreeMap::new(),
            candidates: BTreeMap::new(),
            domain_loads: BTreeMap::new(),
            drain_sums: BTreeMap::new(),
            mesh_limit: usize::MAX,
            domains_heard: BTreeMap::new(),
        }
    }

    /// Whether a peer is of the own failure domain.
    pub fn is_near(&self, peer: &Peer) -> bool {
        peer.notice.domain == self.domain
    }

    /// Adds an address that may be a peer.
    pub fn add_candidate(&mut self, now: Moment, address: SocketAddr) {
        if address != self.own {
            self.candidates.entry(address).or_insert(now);
        }
    }

    /// Sets the number of processes up to which everybody tells everybody; without one there are no
    /// relays.
    pub fn set_mesh_limit(&mut self, limit: usize) {
        self.mesh_limit = limit;
    }

    /// Takes in a notice.
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
        let kept_facts = kept_facts.map(|peer| (peer.facts_sequence, peer.facts_heard));
        let notice = match before {
            Some(peer) if notice.changes_only => merge_load_changes(&peer.notice, notice),
            _ => notice,
        };
        self.record_domain_loads(now, &notice);
        let (facts_sequence, facts_heard) = kept_facts.unwrap_or((notice.sequence, now));
        self.peers.insert(notice.from, Peer { notice, heard: now, facts_sequence, facts_heard });
        outcome
    }

    /// Notes that something was said in a failure domain at `heard`; tells whether nobody had been
    /// heard for some time before.
    fn record_domain_activity(&mut self, now: Moment, heard: Moment, domain: DomainKey) -> bool {
        let last = self.domains_heard.values().max();
        let after_disconnect = last.is_some_and(|last| now.since(*last) > DISCONNECT_THRESHOLD);
        let at = self.domains_heard.entry(domain).or_insert(heard);
        *at = (*at).max(heard);
        after_disconnect
    }

    fn record_domain_loads(&mut self, heard: Moment, notice: &PeerNotice) {
        let Some(loads) = notice.domain_loads.as_ref() else { return };
        let known = self.domain_loads.get(&notice.domain);
        if notice.domain == self.domain || known.is_some_and(|known| known.heard > heard) {
            return;
        }
        let loads = DomainLoads { reporter: notice.from, heard, loads: loads.clone() };
        self.domain_loads.insert(notice.domain, loads);
    }

    /// Silence after which a peer of `domain` counts as gone.
    fn peer_timeout(&self, domain: DomainKey) -> Duration {
        match domain == self.domain {
            true => NEAR_PEER_TIMEOUT,
            false => FAR_PEER_TIMEOUT,
        }
    }

    /// Whether a peer lives, as far as is known.
    pub fn knows(&self, address: SocketAddr) -> bool {
        self.peers.contains_key(&address)
    }

    /// What the entries of each other failure domain have in progress.
    pub fn domain_loads(&self) -> impl Iterator<Item = &DomainLoads> {
        self.domain_loads.values()
    }

    /// The last notice of a peer, and when it was heard.
    pub fn peer(&self, address: SocketAddr) -> Option<&Peer> {
        self.peers.get(&address)
    }

    /// What the entries of the own failure domain say of a server that is about to change, this
    /// process's own word among them.
    pub fn near_drain_report(&self, server: SocketAddr, own: &[DrainNotice]) -> DrainReport {
        let near = self.near_entries().map(|peer| peer.notice.drains.as_slice());
        drain_report_of(server, near.chain([own]))
    }

    /// Drops peers that have fallen silent; they stay candidates for a while.
    pub fn expire(&mut self, now: Moment) -> Vec<SocketAddr> {
        let timed_out = |peer: &Peer| now.since(peer.heard) > self.peer_timeout(peer.notice.domain);
        let gone: Vec<SocketAddr> =
            self.peers.iter().filter(|(_, peer)| timed_out(peer)).map(|(at, _)| *at).collect();
        self.domain_loads.retain(|_, told| now.since(told.heard) <= DOMAIN_LOAD_TTL);
        self.drain_sums.retain(|_, (heard, _)| now.since(*heard) <= DRAIN_SUM_TTL);
        for address in &gone {
            self.peers.remove(address);
            self.candidates.insert(*address, now);
        }
        self.candidates.retain(|_, since| now.since(*since) < CANDIDATE_TTL);
        gone
    }

    /// Other failure domains from which nothing has come for so long that they count as out of
    /// reach.
    pub fn unreachable_domains(&self, now: Moment) -> BTreeSet<DomainKey> {
        self.domains_not_heard_for(now, DOMAIN_TIMEOUT)
    }

    /// Peers that live and whose failure domain has been heard within [`AGENT_DOMAIN_TIMEOUT`]. Agents of
    /// others draw nothing for this one and have no turn before it: whoever counted on them would wait until
    /// each of them is given up.
    pub fn reachable(&self, now: Moment) -> impl Iterator<Item = &Peer> {
        let timed_out = self.domains_not_heard_for(now, AGENT_DOMAIN_TIMEOUT);
        self.living().filter(move |peer| !timed_out.contains(&peer.notice.domain))
    }

    /// Other failure domains from which nothing has come for `silence`.
    fn domains_not_heard_for(&self, now: Moment, silence: Duration) -> BTreeSet<DomainKey> {
        let last = self.domains_heard.values().max();
        if last.is_none_or(|last| now.since(*last) > LOCAL_STALL_THRESHOLD) {
            return BTreeSet::new();
        }
        let far = self.domains_heard.iter().filter(|(domain, _)| **domain != self.domain);
        far.filter(|(_, heard)| now.since(**heard) > silence).map(|(domain, _)| *domain).collect()
    }

    /// Peers that live.
    pub fn living(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Entries that live, this process among them if it is one.
    pub fn entries(&self, own: PeerKind) -> usize {
        let others = self.living().filter(|peer| peer.notice.kind == PeerKind::Entry).count();
        others + usize::from(own == PeerKind::Entry)
    }

    /// What entries that live say of the own server, which is about to change: by their relay's
    /// sum where that is known, else each by itself.
    pub fn drain_report(&self, server: SocketAddr) -> DrainReport {
        let entries = self.living().filter(|peer| peer.notice.kind == PeerKind::Entry);
        let single = entries.filter(|peer| !self.drain_sums.contains_key(&peer.notice.domain));
        let single = single.map(|peer| peer.notice.drains.as_slice());
        let sums = self.drain_sums.values().map(|(_, sum)| sum.report);
        sums.fold(drain_report_of(server, single), |all, sum| DrainReport {
            unconfirmed: all.unconfirmed + sum.unconfirmed,
            waiting: all.waiting + sum.waiting,
            kept: all.kept + sum.kept,
        })
    }

    /// Addresses that may be peers and have not been heard.
    pub fn candidates(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.candidates.keys().copied()
    }

    /// Peers to name in a notice.
    pub fn peers_to_advertise(&self, turn: usize) -> Vec<SocketAddr> {
        let count = self.peers.len();
        let start = turn.checked_rem(count).unwrap_or(0);
        let rotated = self.peers.keys().cycle().skip(start);
        rotated.take(count.min(MAX_ADVERTISED_PEERS)).copied().collect()
    }

    /// Entries of the own failure domain that live, other than this process.
    fn near_entries(&self) -> impl Iterator<Item = &Peer> {
        let entries = self.living().filter(|peer| peer.notice.kind == PeerKind::Entry);
        entries.filter(|peer| self.is_near(peer))
    }

    /// Whether this entry is the one that tells other failure domains what its own has in
    /// progress: the first by address of those that live.
    pub fn is_domain_reporter(&self) -> bool {
        self.near_entries().all(|peer| peer.notice.from > self.own)
    }

    /// Entries of the own failure domain that come before this one in the order of addresses.
    pub fn entries_before(&self) -> u32 {
        self.near_entries().filter(|peer| peer.notice.from < self.own).count() as u32
    }

    /// Entries of the own failure domain whose calls to the store are answered and that come before this
    /// one in the order of addresses.
    pub fn readers_before(&self) -> usize {
        let readers = self.near_entries().filter(|peer| peer.notice.reads_store);
        readers.filter(|peer| peer.notice.from < self.own).count()
    }

    /// Agents of the own failure domain that come before this one in the order of addresses.
    pub fn agents_before(&self) -> usize {
        let agents = self.living().filter(|peer| peer.notice.kind == PeerKind::Agent);
        agents.filter(|peer| self.is_near(peer) && peer.notice.from < self.own).count()
    }

    /// Whether this entry is one of those of its failure domain that read the plan.
    pub fn is_plan_reader(&self) -> bool {
        self.reader_rank().is_some()
    }

    /// Rank of this entry among those of its failure domain that read the store; none if it does not.
    pub fn reader_rank(&self) -> Option<usize> {
        let view = |peer: &Peer| ReaderCandidate {
            address: peer.notice.from,
            reads_store: peer.notice.reads_store,
        };
        reader_rank(self.own, self.near_entries().map(view))
    }

    /// Entries that have a newer plan than `version`: those of the own failure domain if `near` is
    /// set, else those of others.
    pub fn newer_plans(&self, version: PlanVersion, near: bool) -> Vec<SocketAddr> {
        let entries = self.living().filter(|peer| peer.notice.kind == PeerKind::Entry);
        let newer = entries.filter(|peer| peer.notice.plan > version.0);
        newer.filter(|peer| near == self.is_near(peer)).map(|peer| peer.notice.from).collect()
    }

    /// Entries that have taken in a change of servers after `mark`: those of the own failure domain
    /// if `near` is set, else those of others.
    pub fn newer_servers(&self, mark: ChangeMark, near: bool) -> Vec<SocketAddr> {
        let entries = self.living().filter(|peer| peer.notice.kind == PeerKind::Entry);
        let newer = entries.filter(|peer| peer.notice.servers > mark);
        newer.filter(|peer| near == self.is_near(peer)).map(|peer| peer.notice.from).collect()
    }

    /// Whether an entry of the own failure domain is known to read the store.
    pub fn has_near_reader(&self) -> bool {
        let mut told = self.near_entries().filter(|peer| peer.notice.incarnation != 0);
        told.any(|peer| peer.notice.reads_store)
    }

    /// What others have in progress, by the key of the server.
    pub fn loads(&self) -> HashMap<u32, EngineLoad> {
        let mut loads = self.near_loads();
        for far in self.domain_loads.values() {
            add_loads(&mut loads, &far.loads);
        }
        loads
    }

    /// The same for entries of the own failure domain alone.
    pub fn near_loads(&self) -> HashMap<u32, EngineLoad> {
        let mut loads: HashMap<u32, EngineLoad> = HashMap::new();
        self.near_entries().for_each(|peer| add_loads(&mut loads, &peer.notice.loads));
        loads
    }

    /// What others have in progress at one server.
    pub fn load_of(&self, server: u32) -> EngineLoad {
        let near = self.near_entries().flat_map(|peer| &peer.notice.loads);
        let far = self.domain_loads.values().flat_map(|told| &told.loads);
        let there = near.chain(far).filter(|notice| notice.server == server);
        there.fold(EngineLoad::default(), |sum, notice| sum + notice.load)
    }
}

/// Whether a notice that was handed on says more than what is known of its sender.
fn is_newer(peer: &Peer, notice: &PeerNotice, heard: Moment) -> bool {
    match peer.notice.incarnation == notice.incarnation {
        true => notice.sequence > peer.facts_sequence,
        false => peer.notice.incarnation == 0 || heard + RESTART_TOLERANCE >= peer.heard,
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

/// What each of some entries says of a server, taken together.
fn drain_report_of<'a>(
    server: SocketAddr,
    entries: impl Iterator<Item = &'a [DrainNotice]>,
) -> DrainReport {
    entries.fold(DrainReport::default(), |mut report, drains| {
        match drains.iter().find(|drain| drain.server == server) {
            Some(drain) => {
                report.waiting += drain.waiting;
                report.kept += drain.kept;
            }
            None => report.unconfirmed += 1,
        }
        report
    })
}

/// A notice that was handed on, with what its sender last said directly of what it has in progress.
fn keep_direct_fields(last: Option<&Peer>, notice: PeerNotice) -> PeerNotice {
    let Some(last) = last.map(|peer| &peer.notice) else { return notice };
    PeerNotice {
        // Direct notices that are under way must not be taken for old ones.
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

/// A peer's last notice with the loads that a newer one changes; those of an earlier life are gone.
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
