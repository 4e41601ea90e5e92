//! Which other processes of headlatch there are, and what they tell of their load.
//!
//! Every process sends small notices to those that it knows: that it lives, whom it knows, and
//! what it has in progress at each server. There is no list to begin with but a few seeds, which
//! may be stale, and the machines of listed servers.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use headlatch_types::{id::DomainId, traffic::WeightVersion};

use super::engine_model::EngineLoad;
use crate::time::Moment;

/// Silence after which a peer counts as gone.
pub const PEER_SILENCE: Duration = Duration::from_millis(1600);

/// Peers named in a notice at most.
pub const NAMED_PEERS: usize = 24;

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
    /// Drawn at its start, so that a restarted one is not taken for an old one.
    pub life: u64,
    /// Rises with every notice of a life.
    pub sequence: u64,
    /// Version of the plan that it has.
    pub plan: u64,
    /// Others that it hears.
    pub peers: Vec<SocketAddr>,
    /// What it has in progress.
    pub loads: Vec<LoadNotice>,
    /// Servers that it sends nothing to because they are about to change.
    pub drains: Vec<DrainNotice>,
    /// Its server, if it looks after one.
    pub server: Option<ServerNotice>,
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
}

/// The peers of one process.
#[derive(Debug)]
pub struct PeerTable {
    own: SocketAddr,
    peers: BTreeMap<SocketAddr, Peer>,
    /// Addresses that may be peers: seeds, listed machines, and those that others named.
    candidates: BTreeMap<SocketAddr, Moment>,
}

impl PeerTable {
    /// Nobody known yet but addresses that may be peers.
    pub fn new(own: SocketAddr) -> Self {
        Self { own, peers: BTreeMap::new(), candidates: BTreeMap::new() }
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
        let before = self.peers.get(&notice.from);
        if let Some(peer) = before
            && peer.notice.life == notice.life
            && peer.notice.sequence >= notice.sequence
        {
            return NoticeOutcome::default();
        }
        let outcome = NoticeOutcome {
            joined: before.is_none(),
            server_changed: notice.server.is_some()
                && before.is_none_or(|peer| peer.notice.server != notice.server),
        };
        self.peers.insert(notice.from, Peer { notice, heard: now });
        outcome
    }

    /// Drops peers that have fallen silent; they stay candidates for a while.
    pub fn expire(&mut self, now: Moment) -> Vec<SocketAddr> {
        let silent = |peer: &Peer| now.since(peer.heard) > PEER_SILENCE;
        let gone: Vec<SocketAddr> =
            self.peers.iter().filter(|(_, peer)| silent(peer)).map(|(at, _)| *at).collect();
        for address in &gone {
            self.peers.remove(address);
            self.candidates.insert(*address, now);
        }
        self.candidates.retain(|_, since| now.since(*since) < PEER_SILENCE * 20);
        gone
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

    /// What others have in progress, by the key of the server.
    pub fn loads(&self) -> HashMap<u32, EngineLoad> {
        let mut loads: HashMap<u32, EngineLoad> = HashMap::new();
        for notice in self.living().flat_map(|peer| &peer.notice.loads) {
            let sum = loads.entry(notice.server).or_default();
            sum.in_flight += notice.load.in_flight;
            sum.waiting_tokens += notice.load.waiting_tokens;
        }
        loads
    }
}
