//! Facts forwarded by relays, and the selection of relays.

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

/// Time since the last message within which an entry of another failure domain is considered for the
/// relays there. Relays publish the live members every 0.5 s, and members report to them as often. If all
/// relays of a failure domain fail, its members send to all peers, so that other entries there are heard
/// before the failed ones are removed.
const FAR_RELAY_MAX_AGE: Duration = Duration::from_millis(2000);

impl PeerTable {
    /// Applies the facts of a notice forwarded by a relay, whose sender was heard `age` ago.
    ///
    /// The in-flight counts of the sender are left unchanged, since it sends those directly.
    pub fn apply_relayed(
        &mut self,
        now: Moment,
        notice: PeerNotice,
        age: Duration,
    ) -> NoticeOutcome {
        if notice.from == self.own {
            return NoticeOutcome::default();
        }
        let last_seen = now - age;
        let after_disconnect = self.record_domain_activity(now, last_seen, notice.domain);
        self.candidates.remove(&notice.from);
        self.record_domain_loads(last_seen, &notice);
        let before = self.peers.get(&notice.from);
        if !before.is_none_or(|peer| is_newer(peer, &notice, last_seen)) {
            if let Some(peer) = self.peers.get_mut(&notice.from)
                && peer.notice.incarnation == notice.incarnation
            {
                peer.last_seen = peer.last_seen.max(last_seen);
            }
            return NoticeOutcome { after_disconnect, ..NoticeOutcome::default() };
        }
        let outcome = outcome_of(before, &notice, after_disconnect);
        let last = before.filter(|peer| peer.notice.incarnation == notice.incarnation);
        let peer = Peer {
            last_seen: before.map_or(last_seen, |peer| peer.last_seen.max(last_seen)),
            facts_sequence: notice.sequence,
            facts_received_at: now,
            notice: keep_direct_fields(last, notice),
        };
        self.peers.insert(peer.notice.from, peer);
        outcome
    }

    /// Applies the roster of a failure domain. Returns whether it contains a new peer.
    pub fn apply_roster(&mut self, now: Moment, roster: &DomainRoster) -> bool {
        let limit = self.peer_timeout(roster.domain);
        let living = roster.members.iter().filter(|member| member.age <= limit);
        let mut joined = false;
        for member in living.filter(|member| member.address != self.own) {
            let last_seen = now - member.age;
            self.candidates.remove(&member.address);
            match self.peers.get_mut(&member.address) {
                Some(peer) => peer.last_seen = peer.last_seen.max(last_seen),
                None => {
                    joined = true;
                    let empty = PeerNotice::empty(member.address, member.kind, roster.domain);
                    let notice = PeerNotice { incarnation: 0, sequence: 0, ..empty };
                    let peer =
                        Peer { notice, last_seen, facts_sequence: 0, facts_received_at: now };
                    self.peers.insert(member.address, peer);
                }
            }
        }
        joined
    }

    /// Stores the summed drain report of a failure domain for the own server.
    pub fn apply_drain_sum(&mut self, now: Moment, domain: DomainKey, sum: DrainSum) {
        self.drain_sums.insert(domain, (now, sum));
    }

    /// Discards the drain reports for the own server, before it changes again.
    pub fn clear_drain_sums(&mut self) {
        self.drain_sums.clear();
    }

    /// Rank of this entry among the relays of its failure domain; none if it is not a relay. Below the mesh
    /// limit there are no relays.
    pub fn relay_rank(&self) -> Option<usize> {
        let before = self.near_entries().filter(|peer| peer.notice.from < self.own);
        let rank = before.take(RELAYS).count();
        (rank < RELAYS && self.peers.len() >= self.mesh_limit).then_some(rank)
    }

    /// The entries of each other failure domain in their order of precedence as relays: by address, those
    /// heard recently, or all if none was.
    pub fn far_entries(&self, now: Moment) -> Vec<Vec<SocketAddr>> {
        let mut relays: BTreeMap<DomainKey, (Vec<SocketAddr>, Vec<SocketAddr>)> = BTreeMap::new();
        let entries = self.living().filter(|peer| peer.notice.kind == PeerKind::Entry);
        for peer in entries.filter(|peer| !self.is_near(peer)) {
            let (fresh, old) = relays.entry(peer.notice.domain).or_default();
            let is_fresh = now.since(peer.last_seen) <= FAR_RELAY_MAX_AGE;
            let known = if is_fresh { fresh } else { old };
            known.push(peer.notice.from);
        }
        let chosen = relays.into_values();
        chosen.map(|(fresh, old)| if fresh.is_empty() { old } else { fresh }).collect()
    }

    /// Whether a peer of the local failure domain was heard recently. If so, missing messages from other
    /// domains are not due to a failure of this process.
    pub fn has_recent_domain_contact(&self, now: Moment) -> bool {
        let last_seen = self.domains_last_seen.get(&self.domain);
        last_seen.is_some_and(|last_seen| now.since(*last_seen) <= DOMAIN_TIMEOUT)
    }

    /// Peer addresses to send to a process in `domain` that has just been discovered, relays of that
    /// domain first.
    ///
    /// Above the mesh limit only relays advertise peers. After a power failure all processes discover each
    /// other within a second, and addresses sent by every entry to every process would exceed the capacity
    /// of the links between regions.
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

    /// The live members of a failure domain, including this process if `domain` is the local one.
    pub fn roster(&self, now: Moment, domain: DomainKey, own: PeerKind) -> DomainRoster {
        let members = self.living().filter(|peer| peer.notice.domain == domain);
        let members = members.map(|peer| RosterMember {
            address: peer.notice.from,
            kind: peer.notice.kind,
            age: now.since(peer.last_seen),
        });
        let own = RosterMember { address: self.own, kind: own, age: Duration::ZERO };
        let own = (domain == self.domain).then_some(own);
        DomainRoster { domain, members: members.chain(own).collect() }
    }

    /// Other failure domains with at least one live peer.
    pub fn far_domains(&self) -> BTreeSet<DomainKey> {
        let domains = self.living().map(|peer| peer.notice.domain);
        domains.filter(|domain| *domain != self.domain).collect()
    }
}
