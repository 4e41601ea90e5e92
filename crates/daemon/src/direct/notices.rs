//! Sends and hears notices over UDP.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use headlatch_core::direct::{
    engine_model::EngineLoad,
    peers::{DrainNotice, LoadNotice, PeerKind, PeerNotice, PeerTable, ServerNotice},
};
use headlatch_types::traffic::{PlanVersion, WeightVersion};
use headlatch_wire as wire;
use prost::Message;
use rand::Rng;
use serde_json::json;
use tokio::net::UdpSocket;

use super::state::EntryState;
use crate::decisions;

/// How often notices go out.
pub const NOTICE_PAUSE: Duration = Duration::from_millis(100);

/// Ticks after which a notice goes out although nothing has changed.
const QUIET_TICKS: u64 = 5;

/// Ticks between notices to addresses that may be peers.
const CANDIDATE_TICKS: u64 = 5;

/// Ticks between notices that name peers; a multiple of those above.
const NAMING_TICKS: u64 = 10;

/// Peers up to which every tick reaches all; beyond, each is reached less often.
const FULL_RATE_PEERS: usize = 10;

/// Largest datagram.
pub const MOST_DATAGRAM: usize = 8 << 10;

/// Encodes a notice.
pub fn encode(notice: &PeerNotice) -> Vec<u8> {
    let server = notice.server.as_ref().map(|server| wire::NoticeServer {
        address: server.address.to_string(),
        whole: server.whole.unwrap_or_default().0,
        changing: server.changing,
        staged: server.staged.unwrap_or_default().0,
        sharing: server.sharing.unwrap_or_default().0,
        zone: server.zone.to_string(),
        service: server.service.clone(),
    });
    let load = |load: &LoadNotice| wire::NoticeLoad {
        server: load.server,
        in_flight: load.load.in_flight,
        waiting_tokens: load.load.waiting_tokens,
    };
    let drain = |drain: &DrainNotice| wire::NoticeDrain {
        server: drain.server.to_string(),
        waiting: drain.waiting,
    };
    let message = wire::PeerNotice {
        from: notice.from.to_string(),
        agent: notice.kind == PeerKind::Agent,
        life: notice.life,
        sequence: notice.sequence,
        plan: notice.plan,
        peers: notice.peers.iter().map(SocketAddr::to_string).collect(),
        loads: notice.loads.iter().map(load).collect(),
        drains: notice.drains.iter().map(drain).collect(),
        server,
    };
    message.encode_to_vec()
}

fn version(number: u64) -> Option<WeightVersion> {
    (number > 0).then_some(WeightVersion(number))
}

/// Decodes a notice; none if the bytes are not one.
pub fn decode(bytes: &[u8]) -> Option<PeerNotice> {
    let message = wire::PeerNotice::decode(bytes).ok()?;
    let server = match message.server {
        None => None,
        Some(server) => Some(ServerNotice {
            address: server.address.parse().ok()?,
            whole: version(server.whole),
            changing: server.changing,
            staged: version(server.staged),
            sharing: version(server.sharing),
            zone: server.zone.parse().ok()?,
            service: server.service,
        }),
    };
    let loads = message.loads.iter();
    let drain = |drain: &wire::NoticeDrain| {
        let server = drain.server.parse().ok()?;
        Some(DrainNotice { server, waiting: drain.waiting })
    };
    Some(PeerNotice {
        from: message.from.parse().ok()?,
        kind: if message.agent { PeerKind::Agent } else { PeerKind::Entry },
        life: message.life,
        sequence: message.sequence,
        plan: message.plan,
        peers: message.peers.iter().filter_map(|text| text.parse().ok()).collect(),
        loads: loads
            .map(|load| LoadNotice {
                server: load.server,
                load: EngineLoad { in_flight: load.in_flight, waiting_tokens: load.waiting_tokens },
            })
            .collect(),
        drains: message.drains.iter().filter_map(drain).collect(),
        server,
    })
}

/// Writes a process's notices and decides whom they go to.
#[derive(Debug)]
pub struct NoticeWriter {
    from: SocketAddr,
    kind: PeerKind,
    life: u64,
    sequence: u64,
    tick: u64,
    last_loads: Vec<LoadNotice>,
    last_server: Option<ServerNotice>,
}

/// What a process tells now.
#[derive(Debug, Clone, Default)]
pub struct NoticeBody {
    /// Version of the plan that it has.
    pub plan: u64,
    /// What it has in progress.
    pub loads: Vec<LoadNotice>,
    /// Servers that it sends nothing to because they are about to change.
    pub drains: Vec<DrainNotice>,
    /// Its server.
    pub server: Option<ServerNotice>,
    /// It must be heard although a datagram may be lost: it is told again at every occasion.
    pub repeated: bool,
}

impl NoticeWriter {
    /// The writer of a process that has just started.
    pub fn new(from: SocketAddr, kind: PeerKind) -> Self {
        let life = rand::rng().random();
        Self { from, kind, life, sequence: 0, tick: 0, last_loads: Vec::new(), last_server: None }
    }

    /// The notice of this tick and whom it goes to; nobody if there is nothing to tell.
    pub fn tick(&mut self, peers: &PeerTable, body: NoticeBody) -> (Vec<u8>, Vec<SocketAddr>) {
        self.tick += 1;
        let urgent = body.repeated || body.server != self.last_server;
        let changed = urgent || body.loads != self.last_loads;
        let mut targets = Vec::new();
        if changed || self.tick.is_multiple_of(QUIET_TICKS) {
            targets = self.targets(peers, urgent);
        }
        if self.tick % CANDIDATE_TICKS == 1 {
            targets.extend(peers.candidates());
        }
        if targets.is_empty() {
            return (Vec::new(), targets);
        }
        self.last_loads = body.loads.clone();
        self.last_server = body.server.clone();
        // Names cost bytes: they go along now and then.
        let named = match self.tick % NAMING_TICKS {
            0 | 1 => peers.named(self.tick as usize),
            _ => Vec::new(),
        };
        (self.write(body, named), targets)
    }

    /// A notice besides the usual ones, to one peer that waits for it.
    pub fn write(&mut self, body: NoticeBody, named: Vec<SocketAddr>) -> Vec<u8> {
        self.sequence += 1;
        encode(&PeerNotice {
            from: self.from,
            kind: self.kind,
            life: self.life,
            sequence: self.sequence,
            plan: body.plan,
            peers: named,
            loads: body.loads,
            drains: body.drains,
            server: body.server,
        })
    }

    fn targets(&self, peers: &PeerTable, urgent: bool) -> Vec<SocketAddr> {
        let quiet = self.tick.is_multiple_of(QUIET_TICKS);
        let wanted = |kind: PeerKind| {
            let entries = kind == PeerKind::Entry;
            // Entries' loads matter to entries; agents hear from them that they live.
            match self.kind {
                PeerKind::Entry => entries || quiet,
                PeerKind::Agent => urgent || quiet,
            }
        };
        let all: Vec<SocketAddr> = peers
            .living()
            .filter(|peer| wanted(peer.notice.kind))
            .map(|peer| peer.notice.from)
            .collect();
        let every = all.len().div_ceil(FULL_RATE_PEERS).max(1);
        let turn = self.tick as usize;
        let due = |index: &usize| urgent || quiet || (index + turn).is_multiple_of(every);
        all.iter().enumerate().filter(|(index, _)| due(index)).map(|(_, peer)| *peer).collect()
    }
}

/// Sends and hears an entry's notices for ever.
pub async fn run(state: Arc<EntryState>, socket: UdpSocket) {
    let mut writer = NoticeWriter::new(state.settings.node.control, PeerKind::Entry);
    let mut ticks = tokio::time::interval(NOTICE_PAUSE);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut buffer = vec![0; MOST_DATAGRAM];
    loop {
        let (bytes, targets) = tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, _)) = received else { continue };
                let Some(waits) = hear(&state, &buffer[..length]) else { continue };
                let body = NoticeBody {
                    plan: state.plan_version().0,
                    drains: state.servers().drains(),
                    ..NoticeBody::default()
                };
                (writer.write(body, Vec::new()), vec![waits])
            }
            _ = ticks.tick() => {
                state.refresh_loads();
                state.refresh_notices();
                let servers = state.servers();
                let (loads, drains) = (servers.own_loads(), servers.drains());
                drop(servers);
                let plan = state.plan_version().0;
                let body = NoticeBody { plan, loads, drains, ..NoticeBody::default() };
                writer.tick(&state.peers(), body)
            }
        };
        for target in targets {
            // A datagram that cannot be sent is as good as lost, which is borne.
            let _ = socket.try_send_to(&bytes, target);
        }
    }
}

/// Takes in a notice; the sender, if it waits for word that its server gets nothing more.
fn hear(state: &EntryState, bytes: &[u8]) -> Option<SocketAddr> {
    let notice = decode(bytes)?;
    let (from, server) = (notice.from, notice.server.clone());
    let now = state.now();
    let plan = (notice.kind == PeerKind::Entry).then_some(PlanVersion(notice.plan));
    if let Some(plan) = plan {
        state.hear_peer_plan(plan);
    }
    let outcome = state.peers().hear(now, notice);
    if outcome.joined {
        decisions::note("peers", "found", json!({ "peer": from }));
    }
    let server = server?;
    let waits = server.changing.then_some(from);
    if outcome.server_changed {
        let fields = json!({
            "address": server.address, "whole": server.whole, "changing": server.changing,
            "staged": server.staged,
        });
        state.servers().set_notice(server.address, Some(server));
        decisions::note("servers", "agent_told", fields);
    }
    waits
}
