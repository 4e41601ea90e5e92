//! Gossip: a datagram a second to some other node, and a few at once when there is news.

use std::{net::SocketAddr, sync::Arc};

use headlatch_core::membership::{GOSSIP_PAUSE, NodeRecord};
use headlatch_http::StopSignal;
use headlatch_wire::{GossipPacket, ReadConfigRequest};
use prost::Message;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::net::UdpSocket;

use super::{NodeContext, codec};

/// Largest datagram; a record takes about a hundred bytes.
const MOST_DATAGRAM: usize = 8 << 10;

/// Packets sent at once when this node has news.
const RUMOUR_FANOUT: usize = 4;

/// Runs gossip on `socket` until the stop.
pub async fn run(node: Arc<NodeContext>, socket: UdpSocket, mut signal: StopSignal) {
    let mut rng = SmallRng::seed_from_u64(node.settings.box_id.key());
    let mut ticks = node.timer.subscribe(GOSSIP_PAUSE);
    let mut buffer = vec![0; MOST_DATAGRAM];
    loop {
        tokio::select! {
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, _)) => receive(&node, &buffer[..length]),
                Err(error) => log::debug!("gossip: receiving failed, {error}"),
            },
            tick = ticks.next() => {
                let Some(now) = tick else { return };
                node.table().expire(now);
                send(&node, &socket, &mut rng, 1).await;
                count(&node);
            }
            () = node.rumour.notified() => send(&node, &socket, &mut rng, RUMOUR_FANOUT).await,
            () = signal.stopped() => return,
        }
    }
}

async fn send(node: &NodeContext, socket: &UdpSocket, rng: &mut SmallRng, packets: usize) {
    for _ in 0..packets {
        let (target, records) = {
            let mut table = node.table();
            (table.target(node.now(), rng), table.packet())
        };
        let Some(target) = target else { return };
        let packet = GossipPacket { records: records.iter().map(codec::encode_record).collect() };
        let bytes = packet.encode_to_vec();
        node.metrics.count_gossip("out", bytes.len());
        if let Err(error) = socket.send_to(&bytes, target).await {
            log::debug!("gossip: sending to {target} failed, {error}");
        }
    }
}

fn receive(node: &Arc<NodeContext>, bytes: &[u8]) {
    node.metrics.count_gossip("in", bytes.len());
    let Ok(packet) = GossipPacket::decode(bytes) else {
        log::debug!("gossip: a datagram of {} bytes is no packet", bytes.len());
        return;
    };
    let now = node.now();
    let mut news = false;
    let mut ahead = None;
    for message in packet.records {
        let Ok(record) = codec::decode_record(message) else { continue };
        ahead = ahead.max(is_ahead(node, &record));
        let mut table = node.table();
        let known = table.get(now, &record.id).cloned();
        let urgent = known.is_none_or(|known| is_urgent(&known, &record));
        news |= table.merge(now, record) && urgent;
    }
    if let Some((_, address)) = ahead {
        tokio::spawn(fetch_config(node.clone(), address));
    }
    if news {
        node.rumour.notify_one();
    }
}

/// Changes that everybody should hear of before the next second.
fn is_urgent(known: &NodeRecord, record: &NodeRecord) -> bool {
    let serving = |one: &NodeRecord| one.endpoint.as_ref().and_then(|state| state.serving);
    known.leaving != record.leaving
        || known.revision != record.revision
        || serving(known) != serving(record)
}

fn is_ahead(node: &NodeContext, record: &NodeRecord) -> Option<(u64, SocketAddr)> {
    (record.revision > node.config().revision).then(|| (record.revision.number(), record.control))
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
    let living = table.living(node.now()).count();
    node.metrics.set_nodes("living", living);
    node.metrics.set_nodes("known", table.known().count());
}
