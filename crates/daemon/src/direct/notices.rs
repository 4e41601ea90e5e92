//! Composes a process's notices and selects their recipients.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use headlatch_core::direct::{
    evacuation::EvacuatedDomains,
    leaving::LeavingNotice,
    peers::{
        DomainKey, DrainNotice, LoadNotice, MAX_ADVERTISED_PEERS, Peer, PeerKind, PeerNotice,
        PeerTable, ServerNotice, WantedNotice,
    },
    rate_limits::LimitNotice,
    server_table::{ColdNotice, MisdirectedNotice},
    suspect_parts::PartNotice,
    suspects::{LifeKey, SuspectNotice},
};
use headlatch_types::{quantity::RequestRate, store::StoreRevision};
use rand::Rng;
use tokio::net::UdpSocket;

pub use super::{
    datagram::MAX_DATAGRAM_BYTES,
    notice_codec::{decode, encode},
};

/// Interval between ticks, at which notices are sent.
pub const NOTICE_INTERVAL: Duration = Duration::from_millis(100);

/// Ticks between keep-alive notices within the own failure domain.
const NEAR_TICKS: u64 = 5;

/// Ticks between keep-alive notices to other failure domains, to which traffic is expensive.
const FAR_TICKS: u64 = 15;

/// Ticks between reports of the loads of a whole failure domain.
const DOMAIN_REPORT_TICKS: u64 = 1;

/// Ticks between pings to candidate addresses during start-up: a new process knows only a few peers,
/// which advertise others.
const STARTUP_CANDIDATE_TICKS: u64 = 1;

/// Ticks between pings to candidate addresses after start-up: most that have not responded by then
/// are gone.
const CANDIDATE_TICKS: u64 = 15;

/// Length of the start-up period, in ticks.
const STARTUP_TICKS: u64 = 30;

/// Maximum number of candidate addresses pinged in one tick. After a power failure of hundreds of
/// processes, each knows hundreds of addresses; pings from every process to all of them ten times a
/// second would exceed the capacity of the links between regions.
const CANDIDATES_PER_TICK: usize = 32;

/// First tick at which an entry reports the loads of its failure domain: before, it does not know
/// whether an entry of a lower rank exists.
const FIRST_DOMAIN_REPORT_TICK: u64 = 5;

/// Ticks between repeated reports of leaving servers to other failure domains.
const LEAVING_TICKS: u64 = 5;

/// Ticks between notices that advertise peers.
const ADVERTISE_TICKS: u64 = 10;

/// Number of peers that receive an advertisement at a time; they pass it on to the others.
const ADVERTISE_TARGETS: usize = 3;

/// Ticks between full lists of an entry's loads when relays are in use.
const FULL_LOAD_TICKS: u64 = 10;

/// Ticks between notices of non-urgent load changes when relays are in use.
const CHANGE_TICKS: u64 = 3;

/// Composes a process's notices and selects their recipients.
#[derive(Debug)]
pub struct NoticeWriter {
    from: SocketAddr,
    kind: PeerKind,
    domain: DomainKey,
    incarnation: u64,
    sequence: u64,
    tick: u64,
    last_loads: Vec<LoadNotice>,
    last_server: Option<ServerNotice>,
    last_facts: TickFacts,
    last_drains: Vec<DrainNotice>,
}

/// Content of a notice.
#[derive(Debug, Clone, Default)]
pub struct NoticeBody {
    /// Version of the process's plan.
    pub plan: u64,
    /// Newest change of servers that it has applied.
    pub servers: StoreRevision,
    /// Servers recently reported as leaving.
    pub leaving: Vec<LeavingNotice>,
    /// Servers that announced in their responses that they are draining.
    pub draining_lives: Vec<LifeKey>,
    /// Rate limits that servers have advertised.
    pub limits: Vec<LimitNotice>,
    /// Servers that announced in their responses that they are cold.
    pub cold: Vec<ColdNotice>,
    /// Servers at whose addresses others answered.
    pub misdirected: Vec<MisdirectedNotice>,
    /// Requests during which servers terminated.
    pub suspects: Vec<SuspectNotice>,
    /// Prompt parts during which servers terminated.
    pub suspect_parts: Vec<PartNotice>,
    /// Whether its calls to the store succeed, as far as it knows.
    pub reads_store: bool,
    /// Its requests in progress, by server.
    pub loads: Vec<LoadNotice>,
    /// Requests in progress of its whole failure domain, if this process reports them.
    pub domain_loads: Option<Vec<LoadNotice>>,
    /// Servers that it sends no requests to because they are about to change.
    pub drains: Vec<DrainNotice>,
    /// The state of its own server.
    pub server: Option<ServerNotice>,
    /// Known wanted weight versions, which determine until when older ones may be used.
    pub wanted: Vec<WantedNotice>,
    /// Failure domains known to be evacuated.
    pub evacuated: EvacuatedDomains,
    /// Whether the notice is repeated to entries at every tick, since a datagram may be lost.
    pub repeated: bool,
}

/// A datagram and its recipients.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Encoded datagram.
    pub bytes: Vec<u8>,
    /// Addresses of the recipients.
    pub targets: Vec<SocketAddr>,
}

impl OutgoingDatagram {
    /// Sends the datagram to all recipients. Send errors are ignored: the protocol tolerates loss.
    pub fn send(&self, socket: &UdpSocket) {
        for target in &self.targets {
            let _ = socket.try_send_to(&self.bytes, *target);
        }
    }
}

/// Reasons to send a notice at a tick.
#[derive(Debug, Clone, Copy)]
struct TickDue {
    /// The state of the own server has changed; all peers must receive it at once.
    server: bool,
    /// The notice must be repeated to every entry.
    repeated: bool,
    /// The loads have changed.
    loads: bool,
    /// The facts that every entry must receive have changed.
    facts: bool,
    /// The set of drained servers, or the requests that remain at them, has changed.
    drains: bool,
    /// A keep-alive to the own failure domain is due.
    near: bool,
    /// A keep-alive to other failure domains is due.
    far: bool,
}

/// Facts that are sent to every entry at once when they change.
#[derive(Debug, Default, PartialEq)]
struct TickFacts {
    plan: u64,
    leaving: Vec<LeavingNotice>,
    draining_lives: Vec<LifeKey>,
    limits: BTreeSet<(LifeKey, Option<RequestRate>)>,
    cold: BTreeSet<LifeKey>,
    misdirected: BTreeSet<LifeKey>,
    suspects: Vec<SuspectNotice>,
    suspect_parts: Vec<PartNotice>,
    evacuated: BTreeSet<DomainKey>,
}

impl TickFacts {
    fn of(body: &NoticeBody) -> Self {
        Self {
            plan: body.plan,
            leaving: body.leaving.clone(),
            draining_lives: body.draining_lives.clone(),
            limits: body.limits.iter().map(|notice| (notice.life, notice.limit)).collect(),
            cold: body.cold.iter().map(|notice| notice.life).collect(),
            misdirected: body.misdirected.iter().map(|notice| notice.life).collect(),
            suspects: body.suspects.clone(),
            suspect_parts: body.suspect_parts.iter().map(|one| one.without_times()).collect(),
            evacuated: body.evacuated.domains.clone(),
        }
    }
}

impl NoticeWriter {
    /// Creates the writer of a process that has just started, with a random incarnation.
    pub fn new(from: SocketAddr, kind: PeerKind, domain: DomainKey) -> Self {
        Self::with_incarnation(from, kind, domain, rand::rng().random())
    }

    /// Creates a writer with the given incarnation number, which also determines the phase of its
    /// periodic notices.
    pub fn with_incarnation(
        from: SocketAddr,
        kind: PeerKind,
        domain: DomainKey,
        incarnation: u64,
    ) -> Self {
        Self {
            from,
            kind,
            domain,
            incarnation,
            sequence: 0,
            tick: 0,
            last_loads: Vec::new(),
            last_server: None,
            last_facts: TickFacts::default(),
            last_drains: Vec::new(),
        }
    }

    fn begin_tick(&mut self, body: &NoticeBody) -> TickDue {
        self.tick += 1;
        let facts = TickFacts::of(body);
        let due = TickDue {
            server: body.server != self.last_server,
            repeated: body.repeated,
            loads: body.loads != self.last_loads,
            facts: self.last_facts != facts,
            drains: self.last_drains != body.drains,
            near: self.tick.is_multiple_of(NEAR_TICKS),
            far: self.is_periodic_due(FAR_TICKS),
        };
        self.last_loads.clone_from(&body.loads);
        self.last_facts = facts;
        self.last_drains.clone_from(&body.drains);
        self.last_server.clone_from(&body.server);
        due
    }

    /// Composes the notices of this tick when relays are in use: changes go to the relays, loads to
    /// the entries of the own failure domain.
    pub fn tick_to_relays(
        &mut self,
        peers: &PeerTable,
        body: NoticeBody,
        relays: &[SocketAddr],
    ) -> Vec<OutgoingDatagram> {
        let due = self.begin_tick(&body);
        let is_due = due.server || due.repeated || due.facts || due.drains || due.near;
        let mut targets = if is_due { relays.to_vec() } else { Vec::new() };
        if self.kind == PeerKind::Entry && self.is_periodic_due(FULL_LOAD_TICKS) {
            let entries = near_entries(peers).filter(|entry| !targets.contains(entry));
            targets.extend(entries.collect::<Vec<_>>());
        }
        let pings = self.pings(peers, &body);
        if targets.is_empty() {
            return pings.into_iter().collect();
        }
        let bytes = self.write(NoticeBody { domain_loads: None, ..body }, Vec::new());
        let datagram = OutgoingDatagram { bytes, targets };
        std::iter::once(datagram).chain(pings).collect()
    }

    /// Whether non-urgent load changes are due at this tick when relays are in use.
    pub fn load_changes_due(&self) -> bool {
        self.is_periodic_due(CHANGE_TICKS)
    }

    /// Composes the notices of this tick when every process notifies every other.
    pub fn tick(&mut self, peers: &PeerTable, body: NoticeBody) -> Vec<OutgoingDatagram> {
        let due = self.begin_tick(&body);
        let mut datagrams = Vec::new();
        let reports_domain =
            self.tick >= FIRST_DOMAIN_REPORT_TICK && self.is_periodic_due(DOMAIN_REPORT_TICKS);
        if let Some(loads) = body.domain_loads.clone().filter(|_| reports_domain) {
            datagrams.push(self.domain_report(peers, &body, loads, due.facts));
        }
        let (near, far): (Vec<&Peer>, Vec<&Peer>) =
            peers.living().partition(|peer| peers.is_near(peer));
        let near = near.into_iter().filter(|peer| self.is_near_due(due, peer));
        let mut targets: Vec<SocketAddr> = near.map(|peer| peer.notice.from).collect();
        let far = far.into_iter().filter(|peer| self.is_far_due(due, peer));
        targets.extend(far.map(|peer| peer.notice.from));
        datagrams.extend(self.pings(peers, &body));
        if !targets.is_empty() {
            let bytes = self.write(NoticeBody { domain_loads: None, ..body.clone() }, Vec::new());
            datagrams.push(OutgoingDatagram { bytes, targets });
        }
        if self.is_periodic_due(ADVERTISE_TICKS) {
            datagrams.extend(self.advertisement(peers, body));
        }
        datagrams
    }

    fn is_near_due(&self, due: TickDue, peer: &Peer) -> bool {
        let entry = peer.notice.kind == PeerKind::Entry;
        due.server || due.near || (entry && (due.repeated || due.loads || due.facts))
    }

    fn is_far_due(&self, due: TickDue, peer: &Peer) -> bool {
        due.server || due.far || (peer.notice.kind == PeerKind::Entry && due.repeated)
    }

    /// Whether an event with a period of `ticks` is due now; the phase differs between processes.
    fn is_periodic_due(&self, ticks: u64) -> bool {
        (self.tick + self.incarnation % ticks).is_multiple_of(ticks)
    }

    /// Composes a short notice to a rotating subset of the candidate addresses; recipients reply.
    fn pings(&mut self, peers: &PeerTable, body: &NoticeBody) -> Option<OutgoingDatagram> {
        if !self.is_candidates_due() {
            return None;
        }
        let candidates: Vec<SocketAddr> = peers.candidates().collect();
        let start = (self.tick as usize * CANDIDATES_PER_TICK).checked_rem(candidates.len())?;
        let turn = candidates.iter().cycle().skip(start);
        let targets = turn.take(candidates.len().min(CANDIDATES_PER_TICK)).copied().collect();
        let content = NoticeBody {
            plan: body.plan,
            servers: body.servers,
            reads_store: body.reads_store,
            server: body.server.clone(),
            ..NoticeBody::default()
        };
        Some(OutgoingDatagram { bytes: self.write(content, Vec::new()), targets })
    }

    fn is_candidates_due(&self) -> bool {
        match self.tick < STARTUP_TICKS {
            true => self.tick.is_multiple_of(STARTUP_CANDIDATE_TICKS),
            false => self.is_periodic_due(CANDIDATE_TICKS),
        }
    }

    /// Composes the report of the own failure domain's loads to the entries of others.
    fn domain_report(
        &mut self,
        peers: &PeerTable,
        body: &NoticeBody,
        loads: Vec<LoadNotice>,
        facts_changed: bool,
    ) -> OutgoingDatagram {
        let far = peers.living().filter(|peer| !peers.is_near(peer));
        let entries = far.filter(|peer| peer.notice.kind == PeerKind::Entry);
        let targets = entries.map(|peer| peer.notice.from).collect();
        let includes_leaving = facts_changed || self.is_periodic_due(LEAVING_TICKS);
        let leaving = if includes_leaving { body.leaving.clone() } else { Vec::new() };
        let content = NoticeBody {
            plan: body.plan,
            servers: body.servers,
            leaving,
            draining_lives: body.draining_lives.clone(),
            limits: body.limits.clone(),
            cold: body.cold.clone(),
            misdirected: body.misdirected.clone(),
            suspects: body.suspects.clone(),
            suspect_parts: body.suspect_parts.clone(),
            reads_store: body.reads_store,
            drains: body.drains.clone(),
            evacuated: body.evacuated.clone(),
            domain_loads: Some(loads),
            ..NoticeBody::default()
        };
        OutgoingDatagram { bytes: self.write(content, Vec::new()), targets }
    }

    /// Advertises peers to a rotating subset of the peers.
    fn advertisement(&mut self, peers: &PeerTable, body: NoticeBody) -> Option<OutgoingDatagram> {
        let turn = (self.tick / ADVERTISE_TICKS) as usize * ADVERTISE_TARGETS;
        let targets: Vec<SocketAddr> =
            peers.peers_to_advertise(turn).into_iter().take(ADVERTISE_TARGETS).collect();
        let names = peers.peers_to_advertise(rand::rng().random_range(0..MAX_ADVERTISED_PEERS * 4));
        let bytes = self.write(NoticeBody { domain_loads: None, ..body }, names);
        (!targets.is_empty()).then_some(OutgoingDatagram { bytes, targets })
    }

    /// Composes the load changes of busy servers, for the entries of the own failure domain.
    pub fn changes(&mut self, peers: &PeerTable, loads: Vec<LoadNotice>) -> OutgoingDatagram {
        let targets = near_entries(peers).collect();
        let body = NoticeBody { loads, ..NoticeBody::default() };
        OutgoingDatagram { bytes: encode(&self.notice(body, Vec::new(), true)), targets }
    }

    /// Encodes a notice with `advertised` addresses.
    pub fn write(&mut self, body: NoticeBody, advertised: Vec<SocketAddr>) -> Vec<u8> {
        encode(&self.notice(body, advertised, false))
    }

    /// Composes this process's notice without loads and drains, for a relay to forward.
    pub fn facts(&mut self, body: NoticeBody) -> PeerNotice {
        let body = NoticeBody { loads: Vec::new(), drains: Vec::new(), ..body };
        self.notice(body, Vec::new(), false)
    }

    fn notice(
        &mut self,
        body: NoticeBody,
        advertised: Vec<SocketAddr>,
        changes_only: bool,
    ) -> PeerNotice {
        self.sequence += 1;
        PeerNotice {
            from: self.from,
            kind: self.kind,
            domain: self.domain,
            incarnation: self.incarnation,
            sequence: self.sequence,
            plan: body.plan,
            servers: body.servers,
            leaving: body.leaving,
            draining_lives: body.draining_lives,
            limits: body.limits,
            cold: body.cold,
            misdirected: body.misdirected,
            suspects: body.suspects,
            suspect_parts: body.suspect_parts,
            reads_store: body.reads_store,
            peers: advertised,
            loads: body.loads,
            changes_only,
            domain_loads: body.domain_loads,
            drains: body.drains,
            server: body.server,
            wanted: body.wanted,
            evacuated: body.evacuated,
        }
    }
}

/// Returns the addresses of the entries of the own failure domain.
fn near_entries(peers: &PeerTable) -> impl Iterator<Item = SocketAddr> + '_ {
    let near = peers.living().filter(|peer| peers.is_near(peer));
    near.filter(|peer| peer.notice.kind == PeerKind::Entry).map(|peer| peer.notice.from)
}
