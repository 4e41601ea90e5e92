//! Sends and receives an agent's notices.

use std::sync::{Arc, atomic::Ordering};

use headlatch_core::direct::{
    peers::{DomainKey, NoticeOutcome, PeerKind, PeerNotice},
    relays::{NearRelays, PeerBundle},
};
use tokio::{net::UdpSocket, time::MissedTickBehavior};

use super::{
    agent::{AgentState, lock},
    datagram::{Datagram, MAX_DATAGRAM_BYTES},
    notices::{NOTICE_INTERVAL, NoticeBody, NoticeWriter},
};
use crate::{agent::registry::SwarmRegistry, node::service::SwarmHost};

/// State of the notice task of one agent.
struct AgentNotices {
    state: Arc<AgentState>,
    hub: Arc<SwarmRegistry>,
    socket: Arc<UdpSocket>,
    writer: NoticeWriter,
    relays: NearRelays,
}

/// Sends and receives an agent's notices until the task is aborted.
pub(super) async fn run(state: Arc<AgentState>, hub: Arc<SwarmRegistry>, socket: Arc<UdpSocket>) {
    let node = &state.settings.node;
    let domain = DomainKey::from(&node.domain);
    let writer = NoticeWriter::new(node.control, PeerKind::Agent, domain);
    let relays = NearRelays::default();
    let mut notices =
        AgentNotices { state: state.clone(), hub, socket: socket.clone(), writer, relays };
    let mut ticks = tokio::time::interval(NOTICE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, _)) = received {
                    notices.handle_datagram(&buffer[..length]);
                }
            }
            () = state.notice_changed.notified() => notices.tick(),
            _ = ticks.tick() => notices.tick(),
        }
    }
}

impl AgentNotices {
    fn tick(&mut self) {
        let state = &self.state;
        let now = state.node.now();
        lock(&state.peers).expire(now);
        self.relays.expire(now);
        state.expire_pace();
        let server = Some(lock(&state.notice).clone());
        let repeated = state.draining.load(Ordering::Relaxed);
        let wanted = state.wanted_notices();
        let body = NoticeBody { server, repeated, wanted, ..NoticeBody::default() };
        let relays = self.relays.usable(now);
        let peers = lock(&state.peers);
        let mails = match relays.is_empty() {
            true => self.writer.tick(&peers, body),
            false => self.writer.tick_to_relays(&peers, body, &relays),
        };
        drop(peers);
        mails.iter().for_each(|mail| mail.send(&self.socket));
    }

    fn handle_datagram(&mut self, bytes: &[u8]) {
        match Datagram::decode(bytes) {
            Some(Datagram::Notice(notice)) => {
                let wanted = notice.wanted.clone();
                let outcome = lock(&self.state.peers).receive(self.state.node.now(), *notice);
                self.apply_wanted(outcome, &wanted);
            }
            Some(Datagram::Bundle(bundle)) => self.handle_bundle(bundle),
            Some(Datagram::Notes(notes)) => {
                // The hub buffers notes of a transfer that has not started here yet.
                let _ = self.hub.handle_notes(notes);
            }
            None => {}
        }
    }

    fn handle_bundle(&mut self, bundle: PeerBundle) {
        let now = self.state.node.now();
        let node = &self.state.settings.node;
        if bundle.domain == DomainKey::from(&node.domain) {
            self.relays.record_message(now, bundle.from, bundle.age_of(node.control));
        }
        let mut peers = lock(&self.state.peers);
        for roster in &bundle.rosters {
            peers.apply_roster(now, roster);
        }
        let own = bundle.drains.into_iter().filter(|sum| sum.server == self.state.settings.server);
        own.for_each(|sum| peers.apply_drain_sum(now, bundle.domain, sum));
        drop(peers);
        for relayed in bundle.notices {
            let PeerNotice { wanted, .. } = relayed.notice.clone();
            let outcome = lock(&self.state.peers).apply_relayed(now, relayed.notice, relayed.age);
            self.apply_wanted(outcome, &wanted);
        }
    }

    fn apply_wanted(
        &self,
        outcome: NoticeOutcome,
        wanted: &[headlatch_core::direct::peers::WantedNotice],
    ) {
        self.state.record_wanted_notices(wanted);
        if outcome.after_disconnect {
            self.state.weights_refresh.notify_one();
        }
    }
}
