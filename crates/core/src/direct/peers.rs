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

use headlatch_types::{
    id::{DomainId, ModelName},
    traffic::{PlanVersion, WeightVersion},
};

use super::{
    engine_model::EngineLoad,
    fact_age::ChangeMark,
    leaving::LeavingNotice,
    plan_readers::{ReaderView, is_plan_reader},
};
use crate::time::Moment;

/// Silence after which a peer of the own failure domain counts as gone: three notices are lost.
pub const PEER_SILENCE: Duration = Duration::from_millis(1600);

/// The same for peers of other failure domains, which are heard every 1.5 s.
pub const FAR_SILENCE: Duration = Duration::from_millis(4800);

/// Age after which the sum over another failure domain says nothing any more: three were lost.
const DOMAIN_LOAD_LIFE: Duration = Duration::from_millis(700);

/// Silence of a whole failure domain after which it counts as out of reach: every process there is
/// heard every 1.5 s, and one of them ten times a second.
const DOMAIN_SILENCE: Duration = Duration::from_millis(500);

/// Silence of everybody after which this process itself may have stopped for a while, or be cut
/// off, and judges nobody.
const OWN_SILENCE: Duration = Duration::from_millis(250);

/// Silence of everybody after which this process has been cut off, or stood still: what it waits
/// for on open connections may never come.
const CUT_SILENCE: Duration = Duration::from_millis(1500);

/// Time for which an address that does not answer is tried.
const CANDIDATE_LIFE: Duration = Duration::from_secs(32);

/// Peers named in a notice at most: an address takes 8 bytes.
pub const NAMED_PEERS: usize = 48;

/// Short key of a failure domain, in notices.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct DomainKey(pub u32);

impl From<&DomainId> for DomainKey {
    fn from(domain: &DomainId) -> Self {
        let key = domain.key();
        Self((key ^ (key >> 32)) as u32)
    }
}

impl std::fmt::Display for DomainKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:08x}", self.0)
    }
}

/// What a process does.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum PeerKind {
    /// It takes requests in.
    #[default]
    Entry,
    /// It looks after a server.
    Agent,
}

/// What an agent tells of its server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerNotice {
    /// Its address.
    pub address: SocketAddr,
    /// Version that it holds whole, if it does.
    pub whole: Option<WeightVersion>,
    /// It is changing weights and takes nothing new.
    pub changing: bool,
    /// It is ready to change to this version, or has.
    pub staged: Option<WeightVersion>,
    /// Its agent hands on pieces of this version.
    pub sharing: Option<WeightVersion>,
    /// Its zone.
    pub zone: DomainId,
    /// Its service; empty if that is not known.
    pub service: String,
}

/// Requests in progress at one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadNotice {
    /// Key of the server.
    pub server: u32,
    /// What is in progress there.
    pub load: EngineLoad,
}

/// A version of weights that is wanted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WantedNotice {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: WeightVersion,
    /// How long the sender has known it.
    pub age: Duration,
}

/// An entry's word that it sends nothing to a server that is about to change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainNotice {
    /// Address of the server.
    pub server: SocketAddr,
    /// Requests of the entry that have not begun there.
    pub waiting: u32,
}

/// What all entries together say of a server that is about to change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DrainReport {
    /// Entries that live and have not confirmed that they send nothing more.
    pub unconfirmed: usize,
    /// Requests that have not begun there.
    pub waiting: u32,
}

/// One notice.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerNotice {
    /// Where the sender hears notices.
    pub from: SocketAddr,
    /// What it does.
    pub kind: PeerKind,
    /// Its failure domain.
    pub domain: DomainKey,
    /// Drawn at its start, so that a restarted one is not taken for an old one.
    pub life: u64,
    /// Rises with every notice of a life.
    pub sequence: u64,
    /// Version of the plan that it has.
    pub plan: u64,
    /// The newest change of servers that it has taken in; zero if it tells none.
    pub servers: ChangeMark,
    /// Servers that it has heard to be leaving a short time ago.
    pub leaving: Vec<LeavingNotice>,
    /// Its calls to the store are answered, as far as it knows.
    pub reads_store: bool,
    /// Others that it hears.
    pub peers: Vec<SocketAddr>,
    /// What it has in progress.
    pub loads: Vec<LoadNotice>,
    /// `loads` leaves out servers where nothing changed, and nothing else is told.
    pub changes_only: bool,
    /// What all entries of its failure domain have in progress, if it tells that.
    pub domain_loads: Option<Vec<LoadNotice>>,
    /// Servers that it sends nothing to because they are about to change.
    pub drains: Vec<DrainNotice>,
    /// Its server, if it looks after one.
    pub server: Option<ServerNotice>,
    /// The newest wanted version of each model, as far as it knows.
    pub wanted: Vec<WantedNotice>,
}

impl PeerNotice {
    /// The first notice of a process that has nothing to tell but that it lives.
    pub fn empty(from: SocketAddr, kind: PeerKind, domain: DomainKey) -> Self {
        Self {
            from,
            kind,
            domain,
            life: 1,
            sequence: 1,
            plan: 0,
            servers: ChangeMark::default(),
            leaving: Vec::new(),
            reads_store: true,
            peers: Vec::new(),
            loads: Vec::new(),
            changes_only: false,
            domain_loads: None,
            drains: Vec::new(),
            server: None,
            wanted: Vec::new(),
        }
    }
}

/// A peer.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Its last notice.
    pub notice: PeerNotice,
    /// When that came.
    pub heard: Moment,
}

/// What a notice changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NoticeOutcome {
    /// The sender was not known, or is back.
    pub joined: bool,
    /// The sender's server says something new.
    pub server_changed: bool,
    /// Nobody had been heard for some time: this process was cut off, or stood still.
    pub after_silence: bool,
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
    domain_loads: BTreeMap<DomainKey, (Moment, Vec<LoadNotice>)>,
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
            domains_heard: BTreeMap::new(),
        }
    }

    /// Whether a peer is of the own failure domain.
    pub fn is_near(&self, peer: &Peer) -> bool {
        peer.notice.domain == self.domain
    }

    /// Adds an address that may be a peer.
    pub fn suggest(&mut self, now: Moment, address: SocketAddr) {
        if address != self.own {
            self.candidates.entry(address).or_insert(now);
        }
    }

    /// Takes in a notice.
    pub fn hear(&mut self, now: Moment, notice: PeerNotice) -> NoticeOutcome {
        if notice.from == self.own {
            return NoticeOutcome::default();
        }
        for address in &notice.peers {
            self.suggest(now, *address);
        }
        self.candidates.remove(&notice.from);
        let last = self.domains_heard.values().max();
        let after_silence = last.is_some_and(|last| now.since(*last) > CUT_SILENCE);
        self.domains_heard.insert(notice.domain, now);
        let before = self.peers.get(&notice.from);
        if let Some(peer) = before
            && peer.notice.life == notice.life
            && peer.notice.sequence >= notice.sequence
        {
            return NoticeOutcome { after_silence, ..NoticeOutcome::default() };
        }
        let outcome = NoticeOutcome {
            after_silence,
            joined: before.is_none(),
            server_changed: notice.server.is_some()
                && before.is_none_or(|peer| peer.notice.server != notice.server),
        };
        let notice = match before {
            Some(peer) if notice.changes_only => with_changes(&peer.notice, notice),
            _ => notice,
        };
        if let Some(loads) = notice.domain_loads.as_ref().filter(|_| notice.domain != self.domain) {
            self.domain_loads.insert(notice.domain, (now, loads.clone()));
        }
        self.peers.insert(notice.from, Peer { notice, heard: now });
        outcome
    }

    /// Drops peers that have fallen silent; they stay candidates for a while.
    pub fn expire(&mut self, now: Moment) -> Vec<SocketAddr> {
        let domain = self.domain;
        let limit = |peer: &Peer| match peer.notice.domain == domain {
            true => PEER_SILENCE,
            false => FAR_SILENCE,
        };
        let silent = |peer: &Peer| now.since(peer.heard) > limit(peer);
        let gone: Vec<SocketAddr> =
            self.peers.iter().filter(|(_, peer)| silent(peer)).map(|(at, _)| *at).collect();
        self.domain_loads.retain(|_, (heard, _)| now.since(*heard) <= DOMAIN_LOAD_LIFE);
        for address in &gone {
            self.peers.remove(address);
            self.candidates.insert(*address, now);
        }
        self.candidates.retain(|_, since| now.since(*since) < CANDIDATE_LIFE);
        gone
    }

    /// Other failure domains from which nothing has come for so long that they count as out of
    /// reach.
    pub fn silent_domains(&self, now: Moment) -> BTreeSet<DomainKey> {
        let last = self.domains_heard.values().max();
        if last.is_none_or(|last| now.since(*last) > OWN_SILENCE) {
            return BTreeSet::new();
        }
        let far = self.domains_heard.iter().filter(|(domain, _)| **domain != self.domain);
        far.filter(|(_, heard)| now.since(**heard) > DOMAIN_SILENCE)
            .map(|(domain, _)| *domain)
            .collect()
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

    /// What entries that live say of a server that is about to change.
    pub fn drain_report(&self, server: SocketAddr) -> DrainReport {
        let entries = self.living().filter(|peer| peer.notice.kind == PeerKind::Entry);
        entries.fold(DrainReport::default(), |mut report, entry| {
            match entry.notice.drains.iter().find(|drain| drain.server == server) {
                Some(drain) => report.waiting += drain.waiting,
                None => report.unconfirmed += 1,
            }
            report
        })
    }

    /// Addresses that may be peers and have not been heard.
    pub fn candidates(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.candidates.keys().copied()
    }

    /// Peers to name in a notice.
    pub fn named(&self, turn: usize) -> Vec<SocketAddr> {
        let count = self.peers.len();
        let start = turn.checked_rem(count).unwrap_or(0);
        let rotated = self.peers.keys().cycle().skip(start);
        rotated.take(count.min(NAMED_PEERS)).copied().collect()
    }

    /// Entries of the own failure domain that live, other than this process.
    fn near_entries(&self) -> impl Iterator<Item = &Peer> {
        let entries = self.living().filter(|peer| peer.notice.kind == PeerKind::Entry);
        entries.filter(|peer| self.is_near(peer))
    }

    /// Whether this entry is the one that tells other failure domains what its own has in
    /// progress: the first by address of those that live.
    pub fn speaks_for_domain(&self) -> bool {
        self.near_entries().all(|peer| peer.notice.from > self.own)
    }

    /// Entries of the own failure domain that come before this one in the order of addresses.
    pub fn entries_before(&self) -> u32 {
        self.near_entries().filter(|peer| peer.notice.from < self.own).count() as u32
    }

    /// Whether this entry is one of those of its failure domain that read the plan.
    pub fn is_plan_reader(&self) -> bool {
        let view = |peer: &Peer| ReaderView {
            address: peer.notice.from,
            reads_store: peer.notice.reads_store,
        };
        is_plan_reader(self.own, self.near_entries().map(view))
    }

    /// Entries that have a newer plan than `version`: those of the own failure domain if `near` is
    /// set, else those of others.
    pub fn newer_plans(&self, version: PlanVersion, near: bool) -> Vec<SocketAddr> {
        let entries = self.living().filter(|peer| peer.notice.kind == PeerKind::Entry);
        let newer = entries.filter(|peer| peer.notice.plan > version.0);
        newer.filter(|peer| near == self.is_near(peer)).map(|peer| peer.notice.from).collect()
    }

    /// What others have in progress, by the key of the server.
    pub fn loads(&self) -> HashMap<u32, EngineLoad> {
        let mut loads = self.near_loads();
        for (_, far) in self.domain_loads.values() {
            add_loads(&mut loads, far);
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
        let far = self.domain_loads.values().flat_map(|(_, loads)| loads);
        let there = near.chain(far).filter(|notice| notice.server == server);
        there.fold(EngineLoad::default(), |sum, notice| sum + notice.load)
    }
}

fn add_loads(sums: &mut HashMap<u32, EngineLoad>, loads: &[LoadNotice]) {
    for notice in loads {
        let sum = sums.entry(notice.server).or_default();
        *sum = *sum + notice.load;
    }
}

/// A peer's last notice with the loads that a newer one changes.
fn with_changes(last: &PeerNotice, changes: PeerNotice) -> PeerNotice {
    let is_changed =
        |load: &LoadNotice| changes.loads.iter().any(|change| change.server == load.server);
    let mut loads: Vec<LoadNotice> =
        last.loads.iter().filter(|load| !is_changed(load)).copied().collect();
    loads.extend(changes.loads.iter().filter(|load| load.load.in_flight > 0));
    PeerNotice { sequence: changes.sequence, loads, ..last.clone() }
}
