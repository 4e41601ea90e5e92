//! Who takes part in a transfer of weights: the agents of this server's service.

use std::net::SocketAddr;

use headlatch_core::burst::{PeerKey, PeerSeat};
use headlatch_types::{
    digest::key_of,
    id::{BoxId, DomainId},
};

use super::agent::{AgentState, lock};
use crate::agent::swarm::peer_key;

/// The agents of this server's service, this one among them: all of them come to hold the wanted
/// version, also those that have not begun yet.
pub(super) fn seats(state: &AgentState) -> Vec<(PeerSeat, SocketAddr)> {
    let service = state.settings.service.as_deref().unwrap_or_default();
    let own = (own_seat(state), state.settings.node.control);
    let peers = lock(&state.peers);
    let others = peers.living().filter_map(|peer| {
        let server = peer.notice.server.as_ref()?;
        let seat = seat(state, peer.notice.from, &server.zone);
        (server.service == service).then_some((seat, peer.notice.from))
    });
    others.chain([own]).collect()
}

/// The seat of this agent.
pub(super) fn own_seat(state: &AgentState) -> PeerSeat {
    let node = &state.settings.node;
    seat(state, node.control, &node.domain)
}

fn seat(state: &AgentState, control: SocketAddr, domain: &DomainId) -> PeerSeat {
    let region = state.settings.direct.zones.get(domain);
    let region = region.map_or(0, |region| key_of(region.as_str().as_bytes()));
    PeerSeat { key: seat_key(control), domain: domain.key(), region }
}

/// The key of an agent's seat: every agent works it out alike from the address.
pub fn seat_key(control: SocketAddr) -> PeerKey {
    let text = control.ip().to_string().replace(':', "-");
    let id: BoxId = text.parse().expect("an IP number makes a name");
    peer_key(&id)
}
