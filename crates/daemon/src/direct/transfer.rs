//! Transfers of versions: from the manifest to pieces that lie in this agent's memory.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use headlatch_core::{
    burst::{DrawMode, PeerLocation, SwarmEvent, SwarmSettings, SwarmTimings},
    direct::{manifest_source::ManifestSource, staging::StageState},
    time::Moment,
};
use headlatch_http::pace::LinkPacer;
use headlatch_outside::engine::{PieceManifest, StageFailure};
use headlatch_types::{
    ChunkIndex, Digest, Manifest,
    fleet::BurstPreference,
    id::ModelName,
    quantity::{ByteRate, ByteSize},
    traffic::{OriginPlan, WeightVersion},
};

use super::{
    agent::{AgentOutside, AgentState},
    transfer_peers,
    weights::{PieceReader, burst_manifest, encode_pieces, piece_name, pieces_from_peer},
};
use crate::agent::{
    hub::SwarmHub,
    notes::NoteCarrier,
    swarm::{self, DriverInput, SwarmHandle, SwarmTools},
    vault::ChunkVault,
};

/// Pieces looked at before a stage counts as one of another version.
const SURVEY_SAMPLE: u32 = 3;

/// Transfers that are kept for others after their pieces are here: the one that is served, the one
/// that is staged, and the next.
const KEPT_TRANSFERS: usize = 3;

/// Boxes of the own failure domain that hear of every piece: with more, notes take a good part of a narrow
/// link, and with few a burst takes longer.
const NEIGHBOURS: usize = 16;

/// Requests for pieces that may wait here.
const MOST_WAITING: usize = 16;

/// A version that is being brought in.
#[derive(Debug)]
pub struct VersionWork {
    /// Its pieces.
    pub pieces: PieceManifest,
    /// The same as chunks of a burst.
    pub manifest: Arc<Manifest>,
    /// The transfer.
    pub swarm: SwarmHandle,
    /// What is known of the stage.
    pub stage: StageState,
    /// When it began.
    pub since: Moment,
}

impl VersionWork {
    /// Whether it brings in this version of this model.
    pub fn is_for(&self, model: &ModelName, version: WeightVersion) -> bool {
        self.pieces.version == version && self.pieces.model == *model
    }

    /// Whether every piece has been laid into the stage.
    pub fn is_staged(&self) -> bool {
        self.stage.placed.iter().all(|placed| *placed)
    }
}

/// What every transfer of this box shares.
#[derive(Debug, Clone)]
pub struct TransferLinks {
    /// Pieces that are here.
    pub vault: Arc<ChunkVault>,
    /// This machine's link inwards.
    pub down: Arc<LinkPacer>,
    /// Carries notes to other boxes.
    pub carrier: Arc<dyn NoteCarrier>,
}

/// Begins transfers, and keeps those that others may still need.
pub struct TransferDesk {
    state: Arc<AgentState>,
    outside: AgentOutside,
    hub: Arc<SwarmHub>,
    links: TransferLinks,
    kept: Vec<Digest>,
    /// Who was last told to take part.
    told_seats: Vec<(PeerLocation, SocketAddr)>,
}

impl TransferDesk {
    /// No transfer yet.
    pub(super) fn new(
        state: Arc<AgentState>,
        outside: AgentOutside,
        hub: Arc<SwarmHub>,
        links: TransferLinks,
    ) -> Self {
        Self { state, outside, hub, links, kept: Vec::new(), told_seats: Vec::new() }
    }

    /// Tells every transfer who takes part, where that has changed: those that hold everything must
    /// hear of newcomers as well, to offer what they hold.
    pub fn tell_seats(&mut self) {
        let seats = transfer_peers::transfer_peers(&self.state);
        if seats == self.told_seats {
            return;
        }
        for swarm in self.hub.all() {
            swarm.tell(DriverInput::Seats(seats.clone()));
        }
        self.told_seats = seats;
    }

    /// The bytes of a piece, if it is here.
    pub fn piece(&self, work: &VersionWork, piece: usize) -> Option<Bytes> {
        let place = work.manifest.chunks().get(piece)?;
        self.links.vault.get(&place.digest)
    }

    /// Which pieces are here.
    pub fn held(&self, work: &VersionWork) -> Vec<bool> {
        let places = work.manifest.chunks().iter();
        places.map(|place| self.links.vault.get(&place.digest).is_some()).collect()
    }

    /// Reads the manifest of a version from `source`; none if it is to be read later.
    pub async fn manifest(
        &self,
        source: ManifestSource,
        origin: &OriginPlan,
        model: &ModelName,
        version: WeightVersion,
    ) -> Result<Option<PieceManifest>, StageFailure> {
        match source {
            ManifestSource::Wait => Ok(None),
            ManifestSource::Origin => {
                let read = self.outside.origin.manifest(origin.address, model, version);
                read.await.map(Some)
            }
            ManifestSource::Peer(address) => {
                let channels = &self.state.node.channels;
                pieces_from_peer(channels, address, model, version).await.map(Some)
            }
        }
    }

    /// Begins to bring in a version; `is_next` tells that the stage holds another one that is
    /// needed, so that nothing of this version lies there.
    pub async fn begin(
        &mut self,
        origin: &OriginPlan,
        pieces: PieceManifest,
        is_next: bool,
    ) -> VersionWork {
        let version = pieces.version;
        let manifest = Arc::new(burst_manifest(&pieces));
        let stage = match is_next {
            true => StageState {
                version: Some(version),
                placed: vec![false; pieces.digests.len()],
                checked: None,
                surveyed: true,
            },
            false => self.survey(&pieces, &manifest).await,
        };
        self.hub.all().iter().for_each(|swarm| {
            swarm.tell(DriverInput::Event(SwarmEvent::Superseded));
        });
        let swarm = self.start_swarm(&pieces, &manifest, origin);
        swarm.tell(DriverInput::Seats(transfer_peers::transfer_peers(&self.state)));
        self.hub.add(swarm.clone());
        self.keep(manifest.digest());
        let since = self.state.node.now();
        VersionWork { pieces, manifest, swarm, stage, since }
    }

    fn keep(&mut self, digest: Digest) {
        self.kept.retain(|kept| *kept != digest);
        self.kept.push(digest);
        let surplus = self.kept.len().saturating_sub(KEPT_TRANSFERS);
        self.kept.drain(..surplus);
        self.hub.retain(|digest| self.kept.contains(digest));
    }

    fn start_swarm(
        &self,
        pieces: &PieceManifest,
        manifest: &Arc<Manifest>,
        origin: &OriginPlan,
    ) -> SwarmHandle {
        let tools = SwarmTools {
            node: self.state.node.clone(),
            vault: self.links.vault.clone(),
            down: self.links.down.clone(),
            carrier: self.links.carrier.clone(),
            origin: Some(Arc::new(self.reader(pieces, origin.address))),
            store: None,
        };
        let bytes = ByteSize::from_bytes(pieces.piece_bytes.into());
        let own = self.state.settings.link.rate.time_for(bytes);
        let origin_rate = ByteRate::from_bytes_per_second(origin.bytes_per_second.max(1));
        let count = pieces.digests.len() as u32;
        let mut settings = SwarmSettings::new(count, own, origin_rate.time_for(bytes));
        settings.prefer = BurstPreference::OriginBytes;
        settings.draw_mode = DrawMode::Assigned;
        settings.timings = SwarmTimings::short_burst();
        settings.queue = MOST_WAITING;
        settings.neighbours = NEIGHBOURS;
        let name = piece_name(&pieces.model, pieces.version);
        let text = (encode_pieces(pieces), manifest.clone());
        let own_seat: PeerLocation = transfer_peers::own_location(&self.state);
        swarm::start(tools, name, text, settings, own_seat)
    }

    fn reader(&self, pieces: &PieceManifest, address: SocketAddr) -> PieceReader {
        PieceReader {
            origin: self.outside.origin.clone(),
            address,
            model: pieces.model.clone(),
            version: pieces.version,
            down: self.links.down.clone(),
        }
    }

    /// Looks which pieces of a version lie in the stage already.
    async fn survey(&self, pieces: &PieceManifest, manifest: &Manifest) -> StageState {
        let count = pieces.digests.len() as u32;
        let mut placed = vec![false; count as usize];
        let mut good = 0;
        for piece in 0..count {
            if piece == SURVEY_SAMPLE && good == 0 {
                break;
            }
            if self.is_staged(pieces, manifest, piece).await {
                placed[piece as usize] = true;
                good += 1;
            }
        }
        StageState { version: Some(pieces.version), placed, checked: None, surveyed: true }
    }

    /// Whether a piece lies in the stage unspoilt; if so, it is here for others as well.
    async fn is_staged(&self, pieces: &PieceManifest, manifest: &Manifest, piece: u32) -> bool {
        let Some(place) = manifest.chunk(ChunkIndex(piece)) else { return false };
        match self.outside.engine.get(&pieces.model, piece).await {
            Ok(data) => {
                matches!(self.links.vault.put(manifest.kind(), place.digest, data), Some(Ok(())))
            }
            Err(_) => false,
        }
    }
}
