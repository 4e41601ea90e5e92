//! Writes a process's notices and decides whom they go to.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use headlatch_core::direct::{
    evacuation::EvacuatedDomains,
    fact_age::ChangeMark,
    leaving::LeavingNotice,
    peers::{
        DomainKey, DrainNotice, LoadNotice, MAX_ADVERTISED_PEERS, Peer, PeerKind, PeerNotice,
        PeerTable, ServerNotice, WantedNotice,
    },
    rate_limits::LimitNotice,
    suspects::{LifeKey, SuspectNotice},
};
use headlatch_types::quantity::RequestRate;
use rand::Rng;
use tokio::net::UdpSocket;

pub use super::{
    datagram::MAX_DATAGRAM_BYTES,
    notice_codec::{decode, encode},
};

/// How often notices go out.
pub const NOTICE_INTERVAL: Duration = Duration::from_millis(100);

/// Ticks after which a notice goes to the own failure domain although nothing has changed.
const NEAR_TICKS: u64 = 5;

/// The same for other failure domains: bytes between them are dear.
const FAR_TICKS: u64 = 15;

/// Ticks between two notices of what a whole failure domain has in progress.
const DOMAIN_REPORT_TICKS: u64 = 1;

/// Ticks between notices to addresses that may be peers, at first: whoever has just started knows
/// only some, which name others.
const STARTUP_CANDIDATE_TICKS: u64 = 1;

/// The same later on: most of those that have not answered by then are gone.
const CANDIDATE_TICKS: u64 = 15;

/// Ticks for which addresses that may be peers are tried more often.
const STARTUP_TICKS: u64 = 30;

/// Addresses that may be peers which are tried in one tick. After a loss of power of hundreds of
/// processes each of them knows hundreds of addresses: all of them tried by all processes ten times a
/// second are more than the links between regions carry.
const CANDIDATES_PER_TICK: usize = 32;

/// Ticks after a start in which an entry does not speak for its failure domain: it does not know yet
/// whether others are there that come before it.
const FIRST_DOMAIN_REPORT_TICK: u64 = 5;

/// Ticks between two words of leaving servers to other failure domains, if nothing new is known.
const LEAVING_TICKS: u64 = 5;

/// Ticks between notices that name peers.
const ADVERTISE_TICKS: u64 = 10;

/// Peers that are told names at one time: what one hears, all hear before long.
const ADVERTISE_TARGETS: usize = 3;

/// Ticks between two full lists of what an entry has in progress, where relays tell the rest.
const FULL_LOAD_TICKS: u64 = 10;

/// Ticks between two words of changes of load that nobody needs to hear at once, there.
const CHANGE_TICKS: u64 = 3;

/// Writes a process's notices and decides whom they go to.
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

/// What a process tells now.
#[derive(Debug, Clone, Default)]
pub struct NoticeBody {
    /// Version of the plan that it has.
    pub plan: u64,
    /// The newest change of servers that it has taken in.
    pub servers: ChangeMark,
    /// Servers that it has heard to be leaving a short time ago.
    pub leaving: Vec<LeavingNotice>,
    /// Servers that have announced in their answers that they drain.
    pub draining_lives: Vec<LifeKey>,
    /// Rate limits that servers have advertised.
    pub limits: Vec<LimitNotice>,
    /// Requests under which servers ended.
    pub suspects: Vec<SuspectNotice>,
    /// Its calls to the store are answered, as far as it knows.
    pub reads_store: bool,
    /// What it has in progress.
    pub loads: Vec<LoadNotice>,
    /// What its whole failure domain has in progress, if it is the one to tell.
    pub domain_loads: Option<Vec<LoadNotice>>,
    /// Servers that it sends nothing to because they are about to change.
    pub drains: Vec<DrainNotice>,
    /// Its server.
    pub server: Option<ServerNotice>,
    /// The wanted versions that decide until when older ones may be used, as far as it knows.
    pub wanted: Vec<WantedNotice>,
    /// Failure domains that are being emptied, as far as it knows.
    pub evacuated: EvacuatedDomains,
    /// Entries must hear it although a datagram may be lost: it is told again at every occasion.
    pub repeated: bool,
}

/// One datagram and whom it goes to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// Its bytes.
    pub bytes: Vec<u8>,
    /// Whom it goes to.
    pub targets: Vec<SocketAddr>,
}

impl OutgoingDatagram {
    /// Sends it; a datagram that cannot be sent is as good as lost, which is borne.
    pub fn send(&self, socket: &UdpSocket) {
        for target in &self.targets {
            let _ = socket.try_send_to(&self.bytes, *target);
        }
    }
}

/// What is due at a tick.
#[derive(Debug, Clone, Copy)]
struct TickDue {
    /// Everybody must hear at once.
    server: bool,
    /// Every entry must hear again.
    repeated: bool,
    /// The loads are not what they were.
    loads: bool,
    /// What every entry must hear of the store is not what it was.
    facts: bool,
    /// Which servers get nothing, or what waits at them, is not what it was.
    drains: bool,
    /// The own failure domain hears that this process lives.
    near: bool,
    /// Other failure domains hear that this process lives.
    far: bool,
}

/// What every entry hears at once when it changes.
#[derive(Debug, Default, PartialEq)]
struct TickFacts {
    plan: u64,
    leaving: Vec<LeavingNotice>,
    draining_lives: Vec<LifeKey>,
    limits: BTreeSet<(LifeKey, Option<RequestRate>)>,
    suspects: Vec<SuspectNotice>,
    evacuated: BTreeSet<DomainKey>,
}

impl TickFacts {
    fn of(body: &NoticeBody) -> Self {
        Self {
            plan: body.plan,
            leaving: body.leaving.clone(),
            draining_lives: body.draining_lives.clone(),
            limits: body.limits.iter().map(|notice| (notice.life, notice.limit)).collect(),
            suspects: body.suspects.clone(),
            evacuated: body.evacuated.domains.clone(),
        }
    }
}

impl NoticeWriter {
    /// The writer of a process that has just started.
    pub fn new(from: SocketAddr, kind: PeerKind, domain: DomainKey) -> Self {
        Self::with_incarnation(from, kind, domain, rand::rng().random())
    }

    /// The same with a given number of this life of the process, which also decides in which ticks
    /// it says what is due every few of them.
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

    /// The notices of this tick where relays hand on what they are told: relays hear what is new,
    /// and entries of the own failure domain what is in progress.
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

    /// Whether changes of load that nobody needs to hear at once are to be told at this tick, where
    /// relays tell the rest.
    pub fn load_changes_due(&self) -> bool {
        self.is_periodic_due(CHANGE_TICKS)
    }

    /// The notices of this tick where everybody tells everybody.
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

    /// Whether something that is due every few ticks is due now; processes take different ticks.
    fn is_periodic_due(&self, ticks: u64) -> bool {
        (self.tick + self.incarnation % ticks).is_multiple_of(ticks)
    }

    /// A short word to addresses that may be peers, to so many of them by turns: whoever hears it
    /// answers.
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

    /// What the own failure domain has in progress, for the entries of others.
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
            suspects: body.suspects.clone(),
            reads_store: body.reads_store,
            drains: body.drains.clone(),
            evacuated: body.evacuated.clone(),
            domain_loads: Some(loads),
            ..NoticeBody::default()
        };
        OutgoingDatagram { bytes: self.write(content, Vec::new()), targets }
    }

    /// Names of peers for a few of them, by turns.
    fn advertisement(&mut self, peers: &PeerTable, body: NoticeBody) -> Option<OutgoingDatagram> {
        let turn = (self.tick / ADVERTISE_TICKS) as usize * ADVERTISE_TARGETS;
        let targets: Vec<SocketAddr> =
            peers.peers_to_advertise(turn).into_iter().take(ADVERTISE_TARGETS).collect();
        let names = peers.peers_to_advertise(rand::rng().random_range(0..MAX_ADVERTISED_PEERS * 4));
        let bytes = self.write(NoticeBody { domain_loads: None, ..body }, names);
        (!targets.is_empty()).then_some(OutgoingDatagram { bytes, targets })
    }

    /// What has changed at busy servers, for the entries of the own failure domain.
    pub fn changes(&mut self, peers: &PeerTable, loads: Vec<LoadNotice>) -> OutgoingDatagram {
        let targets = near_entries(peers).collect();
        let body = NoticeBody { loads, ..NoticeBody::default() };
        OutgoingDatagram { bytes: encode(&self.notice(body, Vec::new(), true)), targets }
    }

    /// A notice besides the usual ones, to one peer that waits for it.
    pub fn write(&mut self, body: NoticeBody, advertised: Vec<SocketAddr>) -> Vec<u8> {
        encode(&self.notice(body, advertised, false))
    }

    /// What this process tells of itself, for a relay to hand on.
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
            suspects: body.suspects,
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

/// Addresses of the entries of the own failure domain.
fn near_entries(peers: &PeerTable) -> impl Iterator<Item = SocketAddr> + '_ {
    let near = peers.living().filter(|peer| peers.is_near(peer));
    near.filter(|peer| peer.notice.kind == PeerKind::Entry).map(|peer| peer.notice.from)
}
