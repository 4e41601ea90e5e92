//! What relays tell of others, and whom they tell.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use super::{
    DOMAIN_TIMEOUT, DomainKey, MAX_ADVERTISED_PEERS, NoticeOutcome, Peer, PeerKind, PeerNotice,
    PeerTable, is_newer, keep_direct_fields, outcome_of,
};
use crate::{
    direct::relays::{DomainRoster, DrainSum, RELAYS, RosterMember},
    time::Moment,
};

/// Age up to which an entry of another failure domain is thought to relay there: its relays tell who
/// lives every 0.5 s, and members tell them as often. Where all relays of a failure domain die, its
/// members tell everybody, and others there are heard of sooner than those are dropped.
const FAR_RELAY_MAX_AGE: Duration = Duration::from_millis(2000);

impl PeerTable {
    /// Takes in the facts of a notice that a relay has handed on, whose sender was heard `age` ago.
    ///
    /// What the sender has in progress stays as it is: that is told directly.
    pub fn apply_relayed(
        &mut self,
        now: Moment,
        notice: PeerNotice,
        age: Duration,
    ) -> NoticeOutcome {
        if notice.from == self.own {
            return NoticeOutcome::default();
        }
        let heard = now - age;
        let after_disconnect = self.record_domain_activity(now, heard, notice.domain);
        self.candidates.remove(&notice.from);
        self.record_domain_loads(heard, &notice);
        let before = self.peers.get(&notice.from);
        if !before.is_none_or(|peer| is_newer(peer, &notice, heard)) {
            if let Some(peer) = self.peers.get_mut(&notice.from)
                && peer.notice.incarnation == notice.incarnation
            {
                peer.heard = peer.heard.max(heard);
            }
            return NoticeOutcome { after_disconnect, ..NoticeOutcome::default() };
        }
        let outcome = outcome_of(before, &notice, after_disconnect);
        let last = before.filter(|peer| peer.notice.incarnation == notice.incarnation);
        let peer = Peer {
            heard: before.map_or(heard, |peer| peer.heard.max(heard)),
            facts_sequence: notice.sequence,
            facts_heard: now,
            notice: keep_direct_fields(last, notice),
        };
        self.peers.insert(peer.notice.from, peer);
        outcome
    }

    /// Takes in who lives in a failure domain; tells whether somebody new is among them.
    pub fn apply_roster(&mut self, now: Moment, roster: &DomainRoster) -> bool {
        let limit = self.peer_timeout(roster.domain);
        let living = roster.members.iter().filter(|member| member.age <= limit);
        let mut joined = false;
        for member in living.filter(|member| member.address != self.own) {
            let heard = now - member.age;
            self.candidates.remove(&member.address);
            match self.peers.get_mut(&member.address) {
                Some(peer) => peer.heard = peer.heard.max(heard),
                None => {
                    joined = true;
                    let empty = PeerNotice::empty(member.address, member.kind, roster.domain);
                    let notice = PeerNotice { incarnation: 0, sequence: 0, ..empty };
                    let peer = Peer { notice, heard, facts_sequence: 0, facts_heard: now };
                    self.peers.insert(member.address, peer);
                }
            }
        }
        joined
    }

    /// Takes in what the entries of a failure domain say of the own server.
    pub fn apply_drain_sum(&mut self, now: Moment, domain: DomainKey, sum: DrainSum) {
        self.drain_sums.insert(domain, (now, sum));
    }

    /// Forgets what entries have said of the own server: it is about to change once more.
    pub fn clear_drain_sums(&mut self) {
        self.drain_sums.clear();
    }

    /// Rank of this entry among those of its failure domain if it is to relay: where there are few
    /// processes, nobody is.
    pub fn relay_rank(&self) -> Option<usize> {
        let before = self.near_entries().filter(|peer| peer.notice.from < self.own);
        let rank = before.take(RELAYS).count();
        (rank < RELAYS && self.peers.len() >= self.mesh_limit).then_some(rank)
    }

    /// The entries of each other failure domain in the order in which they relay there: by address, of
    /// those that were heard of lately, or of all if none was.
    pub fn far_entries(&self, now: Moment) -> Vec<Vec<SocketAddr>> {
        let mut relays: BTreeMap<DomainKey, (Vec<SocketAddr>, Vec<SocketAddr>)> = BTreeMap::new();
        let entries = self.living().filter(|peer| peer.notice.kind == PeerKind::Entry);
        for peer in entries.filter(|peer| !self.is_near(peer)) {
            let (fresh, old) = relays.entry(peer.notice.domain).or_default();
            let is_fresh = now.since(peer.heard) <= FAR_RELAY_MAX_AGE;
            let known = if is_fresh { fresh } else { old };
            known.push(peer.notice.from);
        }
        let chosen = relays.into_values();
        chosen.map(|(fresh, old)| if fresh.is_empty() { old } else { fresh }).collect()
    }

    /// Whether somebody of the own failure domain was heard a moment ago, so that silence of others is
    /// not this process's own.
    pub fn has_recent_domain_contact(&self, now: Moment) -> bool {
        let heard = self.domains_heard.get(&self.domain);
        heard.is_some_and(|heard| now.since(*heard) <= DOMAIN_TIMEOUT)
    }

    /// Peers to name to one that has just been found in `domain`: those that relay there first.
    ///
    /// Where relays tell who lives, only they name anybody: after a loss of power everybody finds
    /// everybody within a second, and names from all entries to all processes are more than the links
    /// between regions carry.
    pub fn peers_to_advertise_in(&self, domain: DomainKey, turn: usize) -> Vec<SocketAddr> {
        if self.peers.len() >= self.mesh_limit && self.relay_rank().is_none() {
            return Vec::new();
        }
        let entries = self.living().filter(|peer| peer.notice.kind == PeerKind::Entry);
        let relays = entries.filter(|peer| peer.notice.domain == domain).take(RELAYS);
        let mut named: Vec<SocketAddr> = relays.map(|peer| peer.notice.from).collect();
        let others =
            self.peers_to_advertise(turn).into_iter().filter(|address| !named.contains(address));
        let others: Vec<SocketAddr> = others.take(MAX_ADVERTISED_PEERS - RELAYS).collect();
        named.extend(others);
        named
    }

    /// Who lives in a failure domain, this process among them if it is the own one.
    pub fn roster(&self, now: Moment, domain: DomainKey, own: PeerKind) -> DomainRoster {
        let members = self.living().filter(|peer| peer.notice.domain == domain);
        let members = members.map(|peer| RosterMember {
            address: peer.notice.from,
            kind: peer.notice.kind,
            age: now.since(peer.heard),
        });
        let own = RosterMember { address: self.own, kind: own, age: Duration::ZERO };
        let own = (domain == self.domain).then_some(own);
        DomainRoster { domain, members: members.chain(own).collect() }
    }

    /// Failure domains from which somebody lives, but for the own one.
    pub fn far_domains(&self) -> BTreeSet<DomainKey> {
        let domains = self.living().map(|peer| peer.notice.domain);
        domains.filter(|domain| *domain != self.domain).collect()
    }
}
