//! Gossip: a datagram a second to some other node, and a few at once when there is news.

use std::{net::SocketAddr, sync::Arc};

use headlatch_core::membership::{GOSSIP_INTERVAL, GossipPacket, URGENT_FANOUT};
use headlatch_http::StopSignal;
use headlatch_wire::{self as wire, ReadConfigRequest};
use prost::Message;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::net::UdpSocket;

use super::{NodeContext, codec};
use crate::timer::unix_time;

/// Largest datagram taken; those sent are a good deal smaller.
const MAX_DATAGRAM_BYTES: usize = 8 << 10;

/// Runs gossip on `socket` until the stop.
pub async fn run(node: Arc<NodeContext>, socket: UdpSocket, mut signal: StopSignal) {
    let mut rng = SmallRng::seed_from_u64(node.settings.box_id.key());
    let mut ticks = node.timer.subscribe(GOSSIP_INTERVAL);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => receive(&node, &socket, &buffer[..length], from).await,
                Err(error) => log::debug!("gossip: receiving failed, {error}"),
            },
            tick = ticks.next() => {
                let Some(now) = tick else { return };
                node.table().expire(now);
                send(&node, &socket, &mut rng, 1).await;
                count(&node);
            }
            () = node.rumour.notified() => {
                send(&node, &socket, &mut rng, URGENT_FANOUT).await;
            }
            () = signal.stopped() => return,
        }
    }
}

async fn send(node: &NodeContext, socket: &UdpSocket, rng: &mut SmallRng, packets: usize) {
    for _ in 0..packets {
        let (target, packet) = {
            let mut table = node.table();
            (table.choose_target(node.now(), rng), table.next_packet(unix_time().as_secs() as u32))
        };
        let Some(target) = target else { return };
        send_packet(node, socket, target, &packet).await;
    }
}

async fn send_packet(
    node: &NodeContext,
    socket: &UdpSocket,
    target: SocketAddr,
    packet: &GossipPacket,
) {
    let bytes = codec::encode_packet(packet).encode_to_vec();
    node.metrics.count_gossip("out", bytes.len());
    if let Err(error) = socket.send_to(&bytes, target).await {
        log::debug!("gossip: sending to {target} failed, {error}");
    }
}

async fn receive(node: &Arc<NodeContext>, socket: &UdpSocket, bytes: &[u8], from: SocketAddr) {
    node.metrics.count_gossip("in", bytes.len());
    let Ok(message) = wire::GossipPacket::decode(bytes) else {
        log::debug!("gossip: a datagram of {} bytes is no packet", bytes.len());
        return;
    };
    let packet = codec::decode_packet(message);
    let (outcome, mut answers) = {
        let mut table = node.table();
        let answers = table.replies(&packet);
        (table.merge(node.now(), packet), answers)
    };
    if !outcome.missing_records.is_empty() {
        answers.push(node.table().request_records(outcome.missing_records));
    }
    for answer in answers {
        send_packet(node, socket, from, &answer).await;
    }
    if let Some((_, address)) = outcome.newest_config {
        tokio::spawn(fetch_config(node.clone(), address));
    }
    if outcome.urgent {
        node.rumour.notify_one();
    }
}

/// Reads the configuration of a node that has a newer one.
async fn fetch_config(node: Arc<NodeContext>, address: SocketAddr) {
    let above_revision = node.config().revision.number();
    let request = ReadConfigRequest { above_revision };
    match node.channels.node(address).read_config(request).await {
        Ok(reply) => {
            let reply = reply.into_inner();
            if reply.revision > above_revision {
                let revision = headlatch_types::quantity::ConfigRevision::new(reply.revision);
                node.offer_config(revision, &reply.text);
            }
        }
        Err(status) => log::debug!("config: {address} did not answer, {}", status.message()),
    }
}

fn count(node: &NodeContext) {
    let table = node.table();
    let living = table.alive_nodes(node.now()).count();
    node.metrics.set_nodes("living", living);
    node.metrics.set_nodes("known", table.known_nodes().count());
}
