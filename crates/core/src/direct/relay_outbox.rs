//! What a relay has told its members and the relays of other failure domains, and what it still has
//! to tell.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use headlatch_types::{id::ModelName, traffic::WeightVersion};

use super::{
    peers::{DomainKey, Peer, PeerKind, PeerNotice, PeerTable, ServerNotice},
    relays::RelayedNotice,
};
use crate::time::Moment;

/// Rounds in which everything is told once more, changed or not: a datagram may be lost, and whoever
/// has just come has heard nothing. A round is told every 200 ms.
const RESEND_ROUNDS: usize = 30;

/// What is handed on of a notice.
#[derive(Debug, Clone, PartialEq, Eq)]
struct SentFacts {
    incarnation: u64,
    plan: u64,
    reads_store: bool,
    server: Option<ServerNotice>,
    wanted: Vec<(ModelName, WeightVersion)>,
    evacuated: BTreeSet<DomainKey>,
}

impl SentFacts {
    fn of(notice: &PeerNotice) -> Self {
        let wanted = notice.wanted.iter().map(|one| (one.model.clone(), one.version));
        Self {
            incarnation: notice.incarnation,
            plan: notice.plan,
            reads_store: notice.reads_store,
            server: notice.server.clone(),
            wanted: wanted.collect(),
            evacuated: notice.evacuated.domains.clone(),
        }
    }

    fn matches(&self, notice: &PeerNotice) -> bool {
        let wanted = notice.wanted.iter().map(|one| (&one.model, one.version));
        self.incarnation == notice.incarnation
            && self.plan == notice.plan
            && self.reads_store == notice.reads_store
            && self.server == notice.server
            && self.evacuated == notice.evacuated.domains
            && wanted.eq(self.wanted.iter().map(|(model, version)| (model, *version)))
    }
}

/// Notices that are due, by whom they are for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DueNotices {
    /// Agents of any failure domain whose servers say something new: for every member.
    pub agents: Vec<RelayedNotice>,
    /// Those of them that are of the own failure domain: for relays of others as well.
    pub near_agents: Vec<RelayedNotice>,
    /// Entries of the own failure domain whose facts are new: for the entries there.
    pub entries: Vec<RelayedNotice>,
}

impl DueNotices {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.agents.is_empty() && self.entries.is_empty()
    }
}

/// What one relay has told.
#[derive(Debug, Clone, Default)]
pub struct RelayOutbox {
    sent: BTreeMap<SocketAddr, SentFacts>,
    /// Members of the own failure domain that have been told everything once, with their lives.
    members: BTreeMap<SocketAddr, u64>,
    /// Relays of other failure domains that have been told everything once.
    known_relays: BTreeSet<SocketAddr>,
    round: usize,
}

impl RelayOutbox {
    /// What has changed since the last call; with `repeats`, a part of what has not as well.
    pub fn take_due(&mut self, now: Moment, peers: &PeerTable, repeats: bool) -> DueNotices {
        self.round += usize::from(repeats);
        let turn = self.round % RESEND_ROUNDS;
        let mut due = DueNotices::default();
        for (place, peer) in peers.living().enumerate() {
            let is_repeated = repeats && place % RESEND_ROUNDS == turn;
            if !self.mark_sent(peer) || is_repeated {
                due.add(now, peers, peer);
            }
        }
        if repeats && turn == 0 {
            self.sent.retain(|address, _| peers.knows(*address));
        }
        due
    }

    /// Members of the own failure domain that have just come: they are to be told everything.
    pub fn take_new_members(&mut self, peers: &PeerTable) -> Vec<SocketAddr> {
        let heard =
            peers.living().filter(|peer| peers.is_near(peer) && peer.notice.incarnation != 0);
        let mut newcomers = Vec::new();
        for peer in heard {
            let known = self.members.insert(peer.notice.from, peer.notice.incarnation);
            if known != Some(peer.notice.incarnation) {
                newcomers.push(peer.notice.from);
            }
        }
        self.members.retain(|address, _| peers.knows(*address));
        newcomers
    }

    /// Those of the relays of other failure domains that have just become known: they are to be told
    /// everything of this one.
    pub fn take_new_relays(&mut self, relays: &[SocketAddr]) -> Vec<SocketAddr> {
        let new = relays.iter().filter(|relay| !self.known_relays.contains(relay));
        let new: Vec<SocketAddr> = new.copied().collect();
        self.known_relays = relays.iter().copied().collect();
        new
    }

    /// Everything that members are told.
    pub fn all_notices(now: Moment, peers: &PeerTable) -> DueNotices {
        let mut due = DueNotices::default();
        peers.living().for_each(|peer| due.add(now, peers, peer));
        due
    }

    /// Whether the facts of a peer have been told; from now on they have.
    fn mark_sent(&mut self, peer: &Peer) -> bool {
        let sent = self.sent.get(&peer.notice.from);
        if sent.is_some_and(|sent| sent.matches(&peer.notice)) {
            return true;
        }
        self.sent.insert(peer.notice.from, SentFacts::of(&peer.notice));
        false
    }
}

impl DueNotices {
    fn add(&mut self, now: Moment, peers: &PeerTable, peer: &Peer) {
        let relayed = RelayedNotice { notice: peer.facts(now), age: now.since(peer.heard) };
        match (peer.notice.kind, peers.is_near(peer)) {
            (PeerKind::Agent, _) if peer.notice.server.is_none() => {}
            (PeerKind::Agent, true) => {
                self.near_agents.push(relayed.clone());
                self.agents.push(relayed);
            }
            (PeerKind::Agent, false) => self.agents.push(relayed),
            (PeerKind::Entry, true) => self.entries.push(relayed),
            (PeerKind::Entry, false) => {}
        }
    }
}
