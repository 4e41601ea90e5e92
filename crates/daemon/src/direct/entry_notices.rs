//! Sends and receives an entry's notices.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use headlatch_core::direct::{
    peers::{DomainKey, LoadNotice, MAX_ADVERTISED_PEERS, NoticeOutcome, PeerKind, PeerNotice},
    relays::{NearRelays, PeerBundle, RELAYS},
};
use headlatch_types::traffic::PlanVersion;
use rand::Rng;
use serde_json::json;
use tokio::{
    net::UdpSocket,
    time::{Interval, MissedTickBehavior},
};

use super::{
    datagram::{Datagram, MAX_DATAGRAM_BYTES},
    notices::{NOTICE_INTERVAL, NoticeBody, NoticeWriter, OutgoingDatagram},
    quarantine::QuarantineNotices,
    relay_mail::{BundleWriter, RelayView},
    state::EntryState,
};
use crate::decisions;

/// Interval at which a relay checks for changes that its members must receive at once.
const URGENT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Ticks between refreshes of all agents' notices; changed ones are applied at once.
const REFRESH_TICKS: u64 = 10;

/// Reply to be sent at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reply {
    /// To an agent that waits for confirmation that its server receives no more requests.
    Drain(SocketAddr),
    /// To a newly discovered peer, with addresses that help it to find others.
    Names(SocketAddr, DomainKey),
    /// To relays that wait for confirmation that a server receives no more requests.
    Relays,
}

/// Recipients of this entry's notices.
#[derive(Debug, Clone, PartialEq, Eq)]
enum NoticeReach {
    /// All peers.
    Mesh,
    /// Relays, which forward to the others.
    Members(Vec<SocketAddr>),
    /// This entry is a relay of this rank, beside the given relays.
    Relay(usize, Vec<SocketAddr>),
}

/// The notices of one entry.
struct EntryNotices {
    state: Arc<EntryState>,
    socket: Arc<UdpSocket>,
    writer: NoticeWriter,
    bundles: BundleWriter,
    relays: NearRelays,
    reach: NoticeReach,
    ticks: u64,
}

fn interval(pause: Duration) -> Interval {
    let mut ticks = tokio::time::interval(pause);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

/// Sends and receives an entry's notices indefinitely.
pub async fn run(state: Arc<EntryState>, socket: Arc<UdpSocket>) {
    let node = &state.settings.node;
    let domain = DomainKey::from(&node.domain);
    let writer = NoticeWriter::new(node.control, PeerKind::Entry, domain);
    let mut notices = EntryNotices {
        state: state.clone(),
        socket,
        writer,
        bundles: BundleWriter::new(domain),
        relays: NearRelays::default(),
        reach: NoticeReach::Mesh,
        ticks: 0,
    };
    let (mut ticks, mut urgent_ticks) = (interval(NOTICE_INTERVAL), interval(URGENT_POLL_INTERVAL));
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let relays = matches!(notices.reach, NoticeReach::Relay(..));
        tokio::select! {
            received = notices.socket.recv_from(&mut buffer) => {
                if let Ok((length, _)) = received {
                    notices.handle_datagram(&buffer[..length]);
                }
            }
            () = state.loads_changed.notified() => notices.send_load_changes(),
            _ = ticks.tick() => notices.tick(),
            _ = urgent_ticks.tick(), if relays => notices.relay_urgent_changes(),
        }
    }
}

impl EntryNotices {
    fn send_load_changes(&mut self) {
        let changes = self.state.servers().take_load_changes();
        if !changes.is_empty() {
            let datagram = self.writer.changes(&self.state.peers(), changes);
            datagram.send(&self.socket);
        }
    }

    fn tick(&mut self) {
        self.ticks += 1;
        self.state.handle_suspension();
        self.state.remove_unregistered_servers();
        self.state.expire_evacuations();
        let now = self.state.now();
        if self.state.refresh_loads() || self.ticks.is_multiple_of(REFRESH_TICKS) {
            self.state.refresh_notices();
            self.state.quarantine.forget_old(now);
        }
        self.relays.expire(now);
        self.choose_reach();
        if self.reach == NoticeReach::Mesh {
            // The full list sent below includes the changes.
            let _ = self.state.servers().take_load_changes();
            let body = entry_body(&self.state, false);
            let datagrams = self.writer.tick(&self.state.peers(), body);
            return self.send(&datagrams);
        }
        if self.writer.load_changes_due() {
            self.send_load_changes();
        }
        // An entry that other failure domains use as a relay also reports the loads of its own failure
        // domain, in addition to the first entry.
        let relays_on_request = matches!(self.reach, NoticeReach::Relay(rank, _) if rank >= RELAYS);
        let body = entry_body(&self.state, relays_on_request);
        if let NoticeReach::Relay(rank, _) = self.reach {
            let datagrams = self.relay_datagrams(rank, body.clone(), BundleWriter::periodic);
            self.send(&datagrams);
        }
        let relays = self.other_relays();
        let datagrams = self.writer.tick_to_relays(&self.state.peers(), body, &relays);
        self.send(&datagrams);
    }

    fn relay_urgent_changes(&mut self) {
        let NoticeReach::Relay(rank, _) = self.reach else { return };
        let datagrams = self.relay_datagrams(rank, facts_body(&self.state), BundleWriter::urgent);
        self.send(&datagrams);
    }

    fn relay_datagrams(
        &mut self,
        rank: usize,
        body: NoticeBody,
        compose: impl Fn(&mut BundleWriter, &RelayView<'_>) -> Vec<OutgoingDatagram>,
    ) -> Vec<OutgoingDatagram> {
        let drains = self.state.drains();
        let own = self.writer.facts(body);
        let peers = self.state.peers();
        let view = RelayView { now: self.state.now(), rank, peers: &peers, own, drains: &drains };
        compose(&mut self.bundles, &view)
    }

    fn choose_reach(&mut self) {
        let usable = self.relays.usable(self.state.now());
        let rank = self.state.peers().relay_rank();
        let rank = self.bundles.rank(self.state.now(), rank);
        let reach = match rank {
            Some(rank) => NoticeReach::Relay(rank, usable),
            None if usable.is_empty() => NoticeReach::Mesh,
            None => NoticeReach::Members(usable),
        };
        if std::mem::discriminant(&reach) != std::mem::discriminant(&self.reach) {
            decisions::info("peers", "reach", json!({ "reach": format!("{reach:?}") }));
        }
        self.reach = reach;
    }

    /// Returns the relays other than this entry.
    fn other_relays(&self) -> Vec<SocketAddr> {
        match &self.reach {
            NoticeReach::Mesh => Vec::new(),
            NoticeReach::Members(relays) | NoticeReach::Relay(_, relays) => relays.clone(),
        }
    }

    fn send(&self, datagrams: &[OutgoingDatagram]) {
        datagrams.iter().for_each(|datagram| datagram.send(&self.socket));
    }

    fn handle_datagram(&mut self, bytes: &[u8]) {
        let reply = match Datagram::decode(bytes) {
            Some(Datagram::Notice(notice)) => handle_notice(&self.state, *notice),
            Some(Datagram::Bundle(bundle)) => self.handle_bundle(bundle),
            // Entries do not take part in weight transfers.
            Some(Datagram::Notes(_)) | None => None,
        };
        if let Some(reply) = reply {
            let datagram = self.compose_reply(reply);
            datagram.send(&self.socket);
        }
    }

    fn handle_bundle(&mut self, mut bundle: PeerBundle) -> Option<Reply> {
        let state = self.state.clone();
        let now = state.now();
        let own = state.settings.node.control;
        if bundle.domain == DomainKey::from(&state.settings.node.domain) {
            self.relays.record_message(now, bundle.from, bundle.age_of(own));
        }
        self.bundles.receive(now, own, &mut bundle);
        for roster in &bundle.rosters {
            state.peers().apply_roster(now, roster);
        }
        let mut changing = false;
        for relayed in bundle.notices {
            let notice = relayed.notice.clone();
            let outcome = state.peers().apply_relayed(now, relayed.notice, relayed.age);
            changing |= apply_notice(&state, &outcome, &notice);
        }
        changing.then_some(Reply::Relays)
    }

    fn compose_reply(&mut self, reply: Reply) -> OutgoingDatagram {
        let state = &self.state;
        let drains = state.drains();
        let body = NoticeBody { drains, ..facts_body(state) };
        match reply {
            Reply::Drain(to) => {
                OutgoingDatagram { bytes: self.writer.write(body, Vec::new()), targets: vec![to] }
            }
            Reply::Names(to, domain) => {
                let turn = rand::rng().random_range(0..MAX_ADVERTISED_PEERS * 4);
                let names = state.peers().peers_to_advertise_in(domain, turn);
                let loads = state.servers().own_loads();
                let body = NoticeBody { loads, ..body };
                // Without addresses to advertise, the remaining facts are left to the relays too.
                let leaving = if names.is_empty() { Vec::new() } else { body.leaving };
                let body = NoticeBody {
                    leaving,
                    draining_lives: Vec::new(),
                    limits: Vec::new(),
                    cold: Vec::new(),
                    misdirected: Vec::new(),
                    ..body
                };
                OutgoingDatagram { bytes: self.writer.write(body, names), targets: vec![to] }
            }
            Reply::Relays => {
                let loads = state.servers().own_loads();
                let wanted = state.wanted_notices();
                let body = NoticeBody { loads, wanted, ..body };
                let targets = self.other_relays();
                OutgoingDatagram { bytes: self.writer.write(body, Vec::new()), targets }
            }
        }
    }
}

/// Composes an entry's notice of one tick; `reports_domain` adds the loads of its failure domain
/// regardless of its rank there.
fn entry_body(state: &EntryState, reports_domain: bool) -> NoticeBody {
    let loads = state.servers().own_loads();
    let drains = state.drains();
    let peers = state.peers();
    let domain_loads = (reports_domain || peers.is_domain_reporter()).then(|| {
        let mut sums = peers.near_loads();
        for own in &loads {
            let sum = sums.entry(own.server).or_default();
            *sum = *sum + own.load;
        }
        let busy = sums.into_iter().filter(|(_, load)| load.in_flight > 0);
        busy.map(|(server, load)| LoadNotice { server, load }).collect()
    });
    drop(peers);
    NoticeBody { wanted: state.wanted_notices(), loads, domain_loads, drains, ..facts_body(state) }
}

/// Composes the part of a notice that describes the entry's copies of the store's facts.
fn facts_body(state: &EntryState) -> NoticeBody {
    let now = state.now();
    let servers = state.servers();
    let (leaving, limits) = (servers.recent_leaving(now), servers.recent_limits(now));
    let (cold, misdirected) = (servers.recent_cold(now), servers.recent_misdirected(now));
    let draining_lives = servers.recent_draining_lives(now);
    drop(servers);
    let QuarantineNotices { suspects, suspect_parts } = state.quarantine.notices(now);
    NoticeBody {
        plan: state.plan_version().0,
        servers: state.newest_servers(),
        leaving,
        draining_lives,
        limits,
        cold,
        misdirected,
        suspects,
        suspect_parts,
        reads_store: state.plan.reads_store(now),
        evacuated: state.evacuated(),
        ..NoticeBody::default()
    }
}

/// Applies a notice and returns the reply that is due at once, if any.
fn handle_notice(state: &EntryState, notice: PeerNotice) -> Option<Reply> {
    let facts = notice.clone();
    let changed: Vec<u32> = notice.loads.iter().map(|load| load.server).collect();
    let outcome = state.peers().receive(state.now(), notice);
    apply_notice(state, &outcome, &facts);
    state.refresh_loads_of(&changed);
    let found = outcome.joined.then_some(Reply::Names(facts.from, facts.domain));
    let server = facts.server.filter(|server| server.changing);
    server.map(|_| Reply::Drain(facts.from)).or(found)
}

/// Applies the contents of a notice other than its sender's loads; returns whether a server has
/// announced a change.
fn apply_notice(state: &EntryState, outcome: &NoticeOutcome, notice: &PeerNotice) -> bool {
    state.merge_wanted_versions(&notice.wanted);
    if outcome.after_disconnect {
        state.reread_store();
    }
    if notice.kind == PeerKind::Entry && !notice.changes_only {
        state.record_peer_plan_version(PlanVersion(notice.plan));
    }
    state.merge_leaving(&notice.leaving);
    state.merge_draining(&notice.draining_lives);
    state.merge_limits(&notice.limits);
    state.merge_cold(&notice.cold);
    state.merge_misdirected(&notice.misdirected);
    state.merge_evacuated(&notice.evacuated);
    state.quarantine.merge_notices(state.now(), &notice.suspects, &notice.suspect_parts);
    state.record_peer_servers_mark(notice.servers);
    if outcome.joined {
        decisions::info("peers", "found", json!({ "peer": notice.from }));
    }
    let Some(server) = notice.server.clone().filter(|_| outcome.server_changed) else {
        return false;
    };
    let changing = server.changing;
    // Only the reporting entry of a failure domain logs the notices of agents.
    if state.peers().is_domain_reporter() {
        let fields = json!({
            "address": server.address, "whole": server.whole, "changing": changing,
            "staged": server.staged,
        });
        decisions::info("servers", "agent_told", fields);
    }
    state.servers().set_notice(server.address, Some(server));
    changing
}
