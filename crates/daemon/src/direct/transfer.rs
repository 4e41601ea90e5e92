//! Transfers of versions, from reading the manifest until all pieces are in this agent's memory.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use headlatch_core::{
    burst::{DrawMode, PeerLocation, SwarmEvent, SwarmSettings, SwarmTimings},
    direct::{staging::StageState, transfer_rate::TransferEstimate},
    time::Moment,
};
use headlatch_http::pace::LinkPacer;
use headlatch_outside::engine::{PieceManifest, StageFailure, VersionRequest};
use headlatch_types::{
    ChunkIndex, Digest, Manifest,
    fleet::BurstPreference,
    id::ModelName,
    quantity::{ByteRate, ByteSize},
    traffic::{OriginPlan, WeightVersion},
};

use super::{
    agent::{AgentDependencies, AgentState},
    transfer_peers,
    weights::{PieceReader, burst_manifest, encode_manifest, manifest_from_peer, transfer_name},
};
use crate::agent::{
    chunk_cache::ChunkCache,
    notes::NoteSender,
    registry::SwarmRegistry,
    swarm::{self, DriverInput, SwarmContext, SwarmHandle},
};

/// Number of pieces read from the stage before it is taken to hold another version: if none of them
/// match, the survey stops.
const SURVEY_SAMPLE: u32 = 3;

/// Number of transfers retained to serve their pieces to other agents: the version that is served,
/// the one that is staged, and the next one. If several versions are skipped within seconds, the
/// lowest one that is not in use is dropped, since memory holds three copies.
const MAX_RETAINED_TRANSFERS: usize = 3;

/// Boxes of the own failure domain that are notified of every piece. More of them use a large part
/// of a narrow link for notes; fewer lengthen a burst.
const MAX_NEIGHBOURS: usize = 16;

/// Maximum number of piece requests queued per transfer.
const MAX_QUEUED_REQUESTS: usize = 16;

/// Transfer of one version.
#[derive(Debug)]
pub struct VersionTransfer {
    /// Manifest of the pieces, as the origin or a peer provides it.
    pub pieces: PieceManifest,
    /// The same manifest in terms of chunks of the burst.
    pub manifest: Arc<Manifest>,
    /// The swarm that fetches and serves the pieces.
    pub swarm: SwarmHandle,
    /// Known content of the stage.
    pub stage: StageState,
    /// Start time.
    pub started: Moment,
    /// What was estimated at the start; `None` once the transfer has been compared with it.
    pub estimated: Option<TransferEstimate>,
}

impl VersionTransfer {
    /// Whether this is the transfer of `version` of `model`.
    pub fn is_for(&self, model: &ModelName, version: WeightVersion) -> bool {
        self.pieces.version == version && self.pieces.model == *model
    }

    /// Number of pieces.
    pub fn piece_count(&self) -> u32 {
        self.pieces.digests.len() as u32
    }

    /// Whether all pieces have been written to the stage.
    pub fn is_staged(&self) -> bool {
        self.stage.placed.iter().all(|placed| *placed)
    }
}

/// Resources shared by all transfers of this box.
#[derive(Debug, Clone)]
pub struct TransferResources {
    /// Pieces in memory.
    pub vault: Arc<ChunkCache>,
    /// Pacer of this box's inbound link.
    pub down: Arc<LinkPacer>,
    /// Sends notes to other boxes.
    pub carrier: Arc<dyn NoteSender>,
}

/// Starts transfers and retains those whose pieces other agents may still request.
pub struct TransferManager {
    state: Arc<AgentState>,
    dependencies: AgentDependencies,
    hub: Arc<SwarmRegistry>,
    resources: TransferResources,
    retained: Vec<(WeightVersion, Digest)>,
    /// Seats last published to the transfers.
    published_seats: Vec<(PeerLocation, SocketAddr)>,
}

impl TransferManager {
    /// Creates a manager without transfers.
    pub(super) fn new(
        state: Arc<AgentState>,
        dependencies: AgentDependencies,
        hub: Arc<SwarmRegistry>,
        resources: TransferResources,
    ) -> Self {
        Self {
            state,
            dependencies,
            hub,
            resources,
            retained: Vec::new(),
            published_seats: Vec::new(),
        }
    }

    /// Publishes the current seats to all transfers if they have changed. Complete transfers need
    /// them too, in order to offer their pieces to new agents.
    pub fn publish_seats(&mut self) {
        let seats = transfer_peers::transfer_peers(&self.state);
        if seats == self.published_seats {
            return;
        }
        for swarm in self.hub.all() {
            swarm.try_send(DriverInput::Peers(seats.clone()));
        }
        self.published_seats = seats;
    }

    /// Returns the bytes of a piece if it is in memory.
    pub fn piece(&self, transfer: &VersionTransfer, piece: usize) -> Option<Bytes> {
        let place = transfer.manifest.chunks().get(piece)?;
        self.resources.vault.get(&place.digest)
    }

    /// Returns for each piece whether it is in memory.
    pub fn held(&self, transfer: &VersionTransfer) -> Vec<bool> {
        let places = transfer.manifest.chunks().iter();
        places.map(|place| self.resources.vault.get(&place.digest).is_some()).collect()
    }

    /// Reads the manifest of a version from the origin.
    pub async fn manifest_from_origin(
        &self,
        origin: &OriginPlan,
        model: &ModelName,
        version: VersionRequest,
    ) -> Result<PieceManifest, StageFailure> {
        self.dependencies.origin.manifest(origin.address, model, version).await
    }

    /// Reads the manifest of a version from another agent.
    pub async fn manifest_from_peer(
        &self,
        address: SocketAddr,
        model: &ModelName,
        version: WeightVersion,
    ) -> Result<PieceManifest, StageFailure> {
        manifest_from_peer(&self.state.node.channels, address, model, version).await
    }

    /// Replaces a transfer whose manifest was wrong, so that its manifest is not passed on any more. Pieces in
    /// the stage are checked against the new one.
    pub async fn replace(
        &mut self,
        origin: &OriginPlan,
        wrong: &VersionTransfer,
        pieces: PieceManifest,
    ) -> VersionTransfer {
        let wrong = wrong.manifest.digest();
        self.retained.retain(|(_, digest)| *digest != wrong);
        self.begin(origin, pieces, None).await
    }

    /// Ends a transfer whose manifest is in doubt.
    pub fn discard(&mut self, doubted: &VersionTransfer) {
        let doubted = doubted.manifest.digest();
        self.retained.retain(|(_, digest)| *digest != doubted);
        self.hub.retain(|digest| *digest != doubted);
    }

    /// Starts the transfer of a version, or resumes it with the pieces in memory. If the stage holds another version
    /// that is still needed, `current` is its transfer: the stage is not surveyed for pieces of this one, and the
    /// pieces of that transfer stay in memory.
    pub async fn begin(
        &mut self,
        origin: &OriginPlan,
        pieces: PieceManifest,
        current: Option<&VersionTransfer>,
    ) -> VersionTransfer {
        let version = pieces.version;
        let manifest = Arc::new(burst_manifest(&pieces));
        let stage = match current {
            Some(_) => StageState {
                version: Some(version),
                placed: vec![false; pieces.digests.len()],
                checked: None,
                surveyed: true,
            },
            None => self.survey(&pieces, &manifest).await,
        };
        self.hub.all().iter().for_each(|swarm| {
            swarm.try_send(DriverInput::Event(SwarmEvent::Superseded));
        });
        let swarm = self.start_swarm(&pieces, &manifest, origin);
        swarm.try_send(DriverInput::Peers(transfer_peers::transfer_peers(&self.state)));
        self.hub.add(swarm.clone());
        let current = current.map(|transfer| transfer.manifest.digest());
        self.retain_recent(version, manifest.digest(), current);
        let started = self.state.node.now();
        VersionTransfer { pieces, manifest, swarm, stage, started, estimated: None }
    }

    /// Whether the pieces of a transfer are still in memory.
    pub fn is_retained(&self, transfer: &VersionTransfer) -> bool {
        self.retained.iter().any(|(_, digest)| *digest == transfer.manifest.digest())
    }

    /// Retains the transfer of `digest`. Of those beyond [`MAX_RETAINED_TRANSFERS`], the lowest versions are dropped,
    /// but neither this transfer nor the `current` one: a resumed version may be lower than the skipped ones.
    fn retain_recent(&mut self, version: WeightVersion, digest: Digest, current: Option<Digest>) {
        self.retained.retain(|(_, retained)| *retained != digest);
        self.retained.push((version, digest));
        while self.retained.len() > MAX_RETAINED_TRANSFERS {
            let is_unused = |one: &Digest| *one != digest && Some(*one) != current;
            let unused = self.retained.iter().enumerate().filter(|(_, (_, one))| is_unused(one));
            let Some((lowest, _)) = unused.min_by_key(|(_, (version, _))| *version) else { break };
            self.retained.remove(lowest);
        }
        let retained = &self.retained;
        self.hub.retain(|digest| retained.iter().any(|(_, one)| one == digest));
    }

    fn start_swarm(
        &self,
        pieces: &PieceManifest,
        manifest: &Arc<Manifest>,
        origin: &OriginPlan,
    ) -> SwarmHandle {
        let tools = SwarmContext {
            node: self.state.node.clone(),
            chunk_cache: self.resources.vault.clone(),
            downlink: self.resources.down.clone(),
            note_sender: self.resources.carrier.clone(),
            origin: Some(Arc::new(self.origin_reader(pieces, origin.address))),
            store: None,
        };
        let bytes = ByteSize::from_bytes(pieces.piece_bytes.into());
        let link_time = self.state.settings.link.rate.time_for(bytes);
        let origin_rate = ByteRate::from_bytes_per_second(origin.bytes_per_second.max(1));
        let count = pieces.digests.len() as u32;
        let mut settings = SwarmSettings::new(count, link_time, origin_rate.time_for(bytes));
        settings.prefer = BurstPreference::OriginBytes;
        settings.draw_mode = DrawMode::Assigned;
        settings.timings = SwarmTimings::short_burst();
        settings.queue = MAX_QUEUED_REQUESTS;
        settings.neighbours = MAX_NEIGHBOURS;
        let name = transfer_name(&pieces.model, pieces.version);
        let encoded = (encode_manifest(pieces), manifest.clone());
        let own_seat: PeerLocation = transfer_peers::own_location(&self.state);
        swarm::start(tools, name, encoded, settings, own_seat)
    }

    fn origin_reader(&self, pieces: &PieceManifest, address: SocketAddr) -> PieceReader {
        PieceReader {
            origin: self.dependencies.origin.clone(),
            address,
            model: pieces.model.clone(),
            version: pieces.version,
            down: self.resources.down.clone(),
        }
    }

    /// Determines which pieces of a version are already in the stage.
    async fn survey(&self, pieces: &PieceManifest, manifest: &Manifest) -> StageState {
        let count = pieces.digests.len() as u32;
        let mut placed = vec![false; count as usize];
        let mut intact = 0;
        for piece in 0..count {
            if piece == SURVEY_SAMPLE && intact == 0 {
                break;
            }
            if self.is_staged(pieces, manifest, piece).await {
                placed[piece as usize] = true;
                intact += 1;
            }
        }
        StageState { version: Some(pieces.version), placed, checked: None, surveyed: true }
    }

    /// Whether an intact copy of a piece is in the stage. If so, it is also put into memory, from
    /// where it is served to other agents.
    async fn is_staged(&self, pieces: &PieceManifest, manifest: &Manifest, piece: u32) -> bool {
        let Some(place) = manifest.chunk(ChunkIndex(piece)) else { return false };
        match self.dependencies.engine.get(&pieces.model, piece).await {
            Ok(data) => {
                matches!(
                    self.resources.vault.put(manifest.kind(), place.digest, data),
                    Some(Ok(()))
                )
            }
            Err(_) => false,
        }
    }
}
