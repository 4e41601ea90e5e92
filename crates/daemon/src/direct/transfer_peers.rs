//! Participants of a weight transfer: the agents of this server's service.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use headlatch_core::{
    burst::{PeerKey, PeerLocation},
    direct::peers::ServerNotice,
    hash::ranking,
};
use headlatch_types::{
    digest::key_of,
    id::{BoxId, DomainId},
    traffic::WeightVersion,
};

use super::agent::{AgentState, lock};
use crate::agent::swarm::peer_key;

/// Returns the agents of this server's service, including this one. All of them will hold the wanted
/// version, including those that have not started the transfer yet.
pub(super) fn transfer_peers(state: &AgentState) -> Vec<(PeerLocation, SocketAddr)> {
    let service = state.settings.service.as_deref().unwrap_or_default();
    let own = (own_location(state), state.settings.node.control);
    let peers = lock(&state.peers);
    let others = peers.reachable(state.node.now()).filter_map(|peer| {
        let server = peer.notice.server.as_ref()?;
        let location = location(state, peer.notice.from, &server.zone);
        (server.service == service).then_some((location, peer.notice.from))
    });
    others.chain([own]).collect()
}

/// Rank of this agent as a reader of a manifest, and the agents that hold it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ManifestReaders {
    /// Rank of this agent among those of its service; the ranks alternate between failure domains.
    pub(super) rank: usize,
    /// Rank of this agent among those of its failure domain.
    pub(super) near_rank: usize,
    /// Time for which the number of known agents has not changed.
    pub(super) steady: Duration,
    /// Whether no other agent of the service is known.
    pub(super) is_alone: bool,
    /// Agents that hold the manifest; only those of the own failure domain if there are any.
    pub(super) holders: Vec<SocketAddr>,
    /// Whether the holders are in the own failure domain.
    pub(super) holders_near: bool,
}

/// Determines the reader rank of this agent for the manifest of `version`, and its holders.
pub(super) fn manifest_readers(state: &AgentState, version: WeightVersion) -> ManifestReaders {
    let node = &state.settings.node;
    let peers_of_service = transfer_peers(state);
    let own = own_location(state);
    let near = peers_of_service.iter().filter(|(location, _)| location.domain == own.domain);
    let ranked = ranking(version.0, near.map(|(location, _)| location.key.0));
    let near_rank = ranked.iter().position(|key| *key == own.key.0).unwrap_or(0);
    let domains: BTreeSet<u64> =
        peers_of_service.iter().map(|(location, _)| location.domain).collect();
    let count = domains.len();
    let domain_rank = domains.iter().position(|domain| *domain == own.domain).unwrap_or(0);
    let peers = lock(&state.peers);
    let holds = |server: &ServerNotice| server.sharing.is_some_and(|held| held >= version);
    let held = peers.living().filter_map(|peer| {
        let server = peer.notice.server.as_ref().filter(|server| holds(server))?;
        Some((server.zone == node.domain, peer.notice.from))
    });
    let (near, far): (Vec<_>, Vec<_>) = held.partition(|(near, _)| *near);
    let holders_near = !near.is_empty();
    let holders = if holders_near { near } else { far };
    ManifestReaders {
        rank: near_rank * count + domain_rank,
        near_rank,
        steady: state.steady(peers_of_service.len()),
        is_alone: peers_of_service.len() == 1,
        holders: holders.into_iter().map(|(_, address)| address).collect(),
        holders_near,
    }
}

/// Whether a live agent of this server's service has all pieces of `version`, staged or loaded.
pub(super) fn is_held_by_peer(state: &AgentState, version: WeightVersion) -> bool {
    let service = state.settings.service.as_deref().unwrap_or_default();
    let peers = lock(&state.peers);
    peers.living().filter_map(|peer| peer.notice.server.as_ref()).any(|server| {
        server.service == service && [server.staged, server.whole].contains(&Some(version))
    })
}

/// Returns the location of this agent.
pub(super) fn own_location(state: &AgentState) -> PeerLocation {
    let node = &state.settings.node;
    location(state, node.control, &node.domain)
}

fn location(state: &AgentState, control: SocketAddr, domain: &DomainId) -> PeerLocation {
    let region = state.settings.direct.zones.get(domain);
    let region = region.map_or(0, |region| key_of(region.as_str().as_bytes()));
    PeerLocation { key: state.seat_key(control), domain: domain.key(), region }
}

/// Derives an agent's peer key from its address, so that every agent computes the same key.
pub fn agent_peer_key(control: SocketAddr) -> PeerKey {
    let text = control.ip().to_string().replace(':', "-");
    let id: BoxId = text.parse().expect("an IP number makes a name");
    peer_key(&id)
}
