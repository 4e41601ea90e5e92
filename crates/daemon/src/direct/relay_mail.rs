//! Composes the bundles that a relay of a failure domain sends, and selects their recipients.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use headlatch_core::{
    direct::{
        peers::{DomainKey, DrainNotice, DrainReport, Peer, PeerKind, PeerNotice, PeerTable},
        relay_outbox::{DueNotices, RelayOutbox},
        relays::{DomainRoster, DrainSum, FarRelays, PeerBundle, RELAYS, RelayedNotice},
    },
    time::Moment,
};

use super::{datagram::Datagram, notices::OutgoingDatagram};

/// Turns between rosters of the own failure domain for its members.
const NEAR_ROSTER_TURNS: u64 = 2;

/// Turns between rosters of the own failure domain for relays of others.
const OUTWARD_ROSTER_TURNS: u64 = 5;

/// Turns between rosters of other failure domains for members, which drop a peer that no message
/// has confirmed for 4.8 s.
const FAR_ROSTER_TURNS: u64 = 12;

/// Turns between reports of the loads of other failure domains by the second relay; the first relay
/// sends them each turn.
const SECOND_LOAD_TURNS: u64 = 3;

/// Turns between repeated reports of an unchanged drain.
const DRAIN_TURNS: u64 = 3;

/// Maximum size of an encoded bundle, in bytes; a larger one is split in two.
const MAX_BUNDLE_BYTES: usize = 6 << 10;

/// State of a relay at one turn.
pub struct RelayView<'a> {
    /// Current time.
    pub now: Moment,
    /// Rank among the relays of its failure domain.
    pub rank: usize,
    /// Known peers.
    pub peers: &'a PeerTable,
    /// Own notice, including the loads of its failure domain if this relay reports them.
    pub own: PeerNotice,
    /// Servers that it sends no requests to.
    pub drains: &'a [DrainNotice],
}

/// Composes the bundles of one relay.
#[derive(Debug)]
pub struct BundleWriter {
    domain: DomainKey,
    turn: u64,
    outbox: RelayOutbox,
    sent_drains: BTreeMap<SocketAddr, DrainReport>,
    far_relays: FarRelays,
}

impl BundleWriter {
    /// Creates the writer of a relay in `domain` that has sent nothing yet.
    pub fn new(domain: DomainKey) -> Self {
        Self {
            domain,
            turn: 0,
            outbox: RelayOutbox::default(),
            sent_drains: BTreeMap::new(),
            far_relays: FarRelays::default(),
        }
    }

    /// Records a bundle received at `own` and removes contents that its sender cannot know reliably.
    pub fn receive(&mut self, now: Moment, own: SocketAddr, bundle: &mut PeerBundle) {
        if bundle.domain == self.domain {
            return;
        }
        self.far_relays.record_bundle(now, own, bundle);
        // A sender that receives nothing sums up outdated loads of its failure domain.
        if self.far_relays.is_one_way(now, bundle.from) {
            bundle.notices.iter_mut().for_each(|relayed| relayed.notice.domain_loads = None);
        }
    }

    /// Returns the relay rank of an entry whose rank by address is `by_address`. Other failure domains
    /// may use an entry as a relay because those before it cannot receive or cannot be received.
    pub fn rank(&self, now: Moment, by_address: Option<usize>) -> Option<usize> {
        by_address.or_else(|| self.far_relays.is_used_as_relay(now).then_some(RELAYS))
    }

    /// Selects the relays of other failure domains to send to now.
    fn far_targets(&mut self, view: &RelayView<'_>) -> Vec<SocketAddr> {
        let entries = view.peers.far_entries(view.now);
        self.far_relays.select_targets(
            view.now,
            &entries,
            view.peers.has_recent_domain_contact(view.now),
        )
    }

    /// Composes the datagrams of a regular turn, every 100 ms.
    pub fn periodic(&mut self, view: &RelayView<'_>) -> Vec<OutgoingDatagram> {
        self.turn += 1;
        let repeats = self.turn.is_multiple_of(NEAR_ROSTER_TURNS);
        let due = self.outbox.take_due(view.now, view.peers, repeats);
        let mut outgoing = self.member_datagrams(view, &due);
        outgoing.extend(self.outward_datagrams(view, &due));
        outgoing.extend(self.drain_datagrams(view, self.turn.is_multiple_of(DRAIN_TURNS)));
        outgoing
    }

    /// Composes the datagrams that cannot wait for the next turn.
    pub fn urgent(&mut self, view: &RelayView<'_>) -> Vec<OutgoingDatagram> {
        let due = self.outbox.take_due(view.now, view.peers, false);
        let mut outgoing = self.drain_datagrams(view, false);
        let agents = self.bundle(view, Vec::new(), due.agents.clone());
        let entries = [due.agents, due.entries].concat();
        let entries = self.bundle(view, Vec::new(), entries);
        let outward = self.bundle(view, Vec::new(), due.near_agents);
        outgoing.extend(address_bundle(agents, members(view, PeerKind::Agent)));
        outgoing.extend(address_bundle(entries, members(view, PeerKind::Entry)));
        outgoing.extend(address_bundle(outward, self.far_targets(view)));
        outgoing.extend(self.new_member_datagrams(view));
        outgoing.extend(self.new_relay_datagrams(view));
        outgoing
    }

    /// Composes the complete state of the own failure domain for newly discovered relays of others.
    fn new_relay_datagrams(&mut self, view: &RelayView<'_>) -> Vec<OutgoingDatagram> {
        let told = self.far_targets(view);
        let new = self.outbox.take_new_relays(&told);
        if new.is_empty() {
            return Vec::new();
        }
        let DueNotices { near_agents, .. } = RelayOutbox::all_notices(view.now, view.peers);
        let roster = view.peers.roster(view.now, self.domain, view.own.kind);
        address_bundle(self.bundle(view, vec![roster], near_agents), new)
    }

    /// Composes the complete known state for new members, which need it to take part in transfers.
    fn new_member_datagrams(&mut self, view: &RelayView<'_>) -> Vec<OutgoingDatagram> {
        let new_members = self.outbox.take_new_members(view.peers);
        if new_members.is_empty() {
            return Vec::new();
        }
        let DueNotices { agents, entries, .. } = RelayOutbox::all_notices(view.now, view.peers);
        let own = RelayedNotice { notice: view.own.clone(), age: Duration::ZERO };
        let domains = view.peers.far_domains().into_iter().chain([self.domain]);
        let rosters = domains.map(|domain| view.peers.roster(view.now, domain, view.own.kind));
        let notices = [agents, entries, vec![own]].concat();
        address_bundle(self.bundle(view, rosters.collect(), notices), new_members)
    }

    fn bundle(
        &self,
        view: &RelayView<'_>,
        rosters: Vec<DomainRoster>,
        notices: Vec<RelayedNotice>,
    ) -> PeerBundle {
        PeerBundle { rosters, notices, ..PeerBundle::empty(view.own.from, self.domain) }
    }

    fn member_datagrams(&self, view: &RelayView<'_>, due: &DueNotices) -> Vec<OutgoingDatagram> {
        let roster = |domain| view.peers.roster(view.now, domain, view.own.kind);
        let mut rosters = Vec::new();
        if self.turn.is_multiple_of(NEAR_ROSTER_TURNS) {
            rosters.push(roster(self.domain));
        }
        if self.turn.is_multiple_of(FAR_ROSTER_TURNS) {
            rosters.extend(view.peers.far_domains().into_iter().map(roster));
        }
        let own = PeerNotice { domain_loads: None, ..view.own.clone() };
        let own = RelayedNotice { notice: own, age: Duration::ZERO };
        let mut for_agents = due.agents.clone();
        // Agents need only the living peers and the wanted versions.
        if !rosters.is_empty() {
            let facts = PeerNotice {
                leaving: Vec::new(),
                draining_lives: Vec::new(),
                limits: Vec::new(),
                suspects: Vec::new(),
                suspect_parts: Vec::new(),
                ..own.notice.clone()
            };
            for_agents.push(RelayedNotice { notice: facts, age: own.age });
        }
        let mut for_entries = [due.agents.as_slice(), &due.entries, &[own]].concat();
        if view.rank == 0 || self.turn.is_multiple_of(SECOND_LOAD_TURNS) {
            for_entries.extend(far_loads(view));
        }
        let agents = self.bundle(view, rosters.clone(), for_agents);
        let entries = self.bundle(view, rosters, for_entries);
        let mut outgoing = address_bundle(agents, members(view, PeerKind::Agent));
        outgoing.extend(address_bundle(entries, members(view, PeerKind::Entry)));
        outgoing
    }

    fn outward_datagrams(
        &mut self,
        view: &RelayView<'_>,
        due: &DueNotices,
    ) -> Vec<OutgoingDatagram> {
        let (mut rosters, mut received_from) = (Vec::new(), Vec::new());
        if self.turn.is_multiple_of(OUTWARD_ROSTER_TURNS) {
            rosters.push(view.peers.roster(view.now, self.domain, view.own.kind));
            received_from = self.far_relays.received_from(view.now);
        }
        if self.turn.is_multiple_of(FAR_ROSTER_TURNS) {
            // A relay may not know some failure domain yet.
            let far = view.peers.far_domains().into_iter();
            rosters.extend(far.map(|domain| view.peers.roster(view.now, domain, view.own.kind)));
        }
        let own = RelayedNotice { notice: view.own.clone(), age: Duration::ZERO };
        let notices = [due.near_agents.as_slice(), &[own]].concat();
        let bundle = PeerBundle { received_from, ..self.bundle(view, rosters, notices) };
        address_bundle(bundle, self.far_targets(view))
    }

    /// Composes drain reports of the own failure domain's entries for the agents whose servers are
    /// about to change.
    fn drain_datagrams(&mut self, view: &RelayView<'_>, repeats: bool) -> Vec<OutgoingDatagram> {
        let mut changing = BTreeSet::new();
        let mut outgoing = Vec::new();
        for peer in view.peers.living() {
            let Some(server) = peer.notice.server.as_ref().filter(|server| server.changing) else {
                continue;
            };
            changing.insert(server.address);
            let report = view.peers.near_drain_report(server.address, view.drains);
            let told = self.sent_drains.insert(server.address, report);
            if told == Some(report) && !repeats {
                continue;
            }
            let drains = vec![DrainSum { server: server.address, report }];
            let bundle = PeerBundle { drains, ..PeerBundle::empty(view.own.from, self.domain) };
            let bytes = Datagram::Bundle(bundle).encode();
            outgoing.push(OutgoingDatagram { bytes, targets: vec![peer.notice.from] });
        }
        self.sent_drains.retain(|server, _| changing.contains(server));
        outgoing
    }
}

/// Returns the loads of other failure domains, as reported by their entries.
fn far_loads(view: &RelayView<'_>) -> Vec<RelayedNotice> {
    let told = view.peers.domain_loads();
    let relayed = told.filter_map(|told| {
        let facts = view.peers.peer(told.reporter)?.facts(view.now);
        let notice = PeerNotice { domain_loads: Some(told.loads.clone()), ..facts };
        Some(RelayedNotice { notice, age: view.now.since(told.last_seen) })
    });
    relayed.collect()
}

fn members(view: &RelayView<'_>, kind: PeerKind) -> Vec<SocketAddr> {
    let is_member = |peer: &&Peer| view.peers.is_near(peer) && peer.notice.kind == kind;
    view.peers.living().filter(is_member).map(|peer| peer.notice.from).collect()
}

/// Returns the datagrams of a bundle; none if it is empty or has no recipients.
fn address_bundle(bundle: PeerBundle, targets: Vec<SocketAddr>) -> Vec<OutgoingDatagram> {
    let is_empty = bundle.rosters.is_empty() && bundle.notices.is_empty();
    if is_empty || targets.is_empty() {
        return Vec::new();
    }
    let datagrams = datagrams(bundle).into_iter();
    datagrams.map(|bytes| OutgoingDatagram { bytes, targets: targets.clone() }).collect()
}

/// Encodes a bundle, split into datagrams of at most [`MAX_BUNDLE_BYTES`] where possible.
fn datagrams(bundle: PeerBundle) -> Vec<Vec<u8>> {
    let bytes = Datagram::Bundle(bundle.clone()).encode();
    if bytes.len() <= MAX_BUNDLE_BYTES || bundle.rosters.len() + bundle.notices.len() <= 1 {
        return vec![bytes];
    }
    let PeerBundle { from, domain, mut rosters, mut notices, drains, received_from } = bundle;
    let later_rosters = rosters.split_off(rosters.len().div_ceil(2));
    let later_notices = notices.split_off(notices.len() / 2);
    let first = PeerBundle { from, domain, rosters, notices, drains, received_from };
    let rest = PeerBundle {
        rosters: later_rosters,
        notices: later_notices,
        ..PeerBundle::empty(from, domain)
    };
    [datagrams(first), datagrams(rest)].concat()
}
