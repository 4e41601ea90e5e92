//! Tracks which facts a relay has sent to its members and to relays of other failure domains, and which
//! are still due.

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

/// Number of rounds in which all facts are resent, whether changed or not, because datagrams get lost
/// and new processes have received none. A round takes 200 ms.
const RESEND_ROUNDS: usize = 30;

/// The facts of a notice that a relay forwards.
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

/// Due notices by receiver.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DueNotices {
    /// Notices of agents in any failure domain whose server has changed, for all members.
    pub agents: Vec<RelayedNotice>,
    /// The subset from the local failure domain, which relays of other domains receive as well.
    pub near_agents: Vec<RelayedNotice>,
    /// Notices of local entries whose facts have changed, for the local entries.
    pub entries: Vec<RelayedNotice>,
}

impl DueNotices {
    /// Whether no notices are due.
    pub fn is_empty(&self) -> bool {
        self.agents.is_empty() && self.entries.is_empty()
    }
}

/// Facts sent by one relay, and the receivers that have had the full state.
#[derive(Debug, Clone, Default)]
pub struct RelayOutbox {
    sent: BTreeMap<SocketAddr, SentFacts>,
    /// Local members that have been sent the full state, with their incarnations.
    members: BTreeMap<SocketAddr, u64>,
    /// Relays of other failure domains that have been sent the full state.
    known_relays: BTreeSet<SocketAddr>,
    round: usize,
}

impl RelayOutbox {
    /// Facts that have changed since the last call. With `repeats`, also a part of the unchanged ones.
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

    /// Members of the local failure domain that are new and must be sent the full state.
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

    /// Those of the given far relays that are new and must be sent the full state of this failure domain.
    pub fn take_new_relays(&mut self, relays: &[SocketAddr]) -> Vec<SocketAddr> {
        let new = relays.iter().filter(|relay| !self.known_relays.contains(relay));
        let new: Vec<SocketAddr> = new.copied().collect();
        self.known_relays = relays.iter().copied().collect();
        new
    }

    /// The full state that members receive.
    pub fn all_notices(now: Moment, peers: &PeerTable) -> DueNotices {
        let mut due = DueNotices::default();
        peers.living().for_each(|peer| due.add(now, peers, peer));
        due
    }

    /// Marks the current facts of a peer as sent. Returns whether they had been sent before.
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
        let relayed = RelayedNotice { notice: peer.facts(now), age: now.since(peer.last_seen) };
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
