//! Pieces of weights as chunks of the burst.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use headlatch_core::burst::FetchFailure;
use headlatch_http::pace::LinkPacer;
use headlatch_outside::{
    OutsideFuture,
    engine::{PieceDigest, PieceManifest, PieceOrigin, StageFailure},
};
use headlatch_types::{ChunkIndex, Digest, Manifest, id::ModelName, traffic::WeightVersion};

use headlatch_wire::{FetchManifestRequest, PieceList};
use prost::Message;

use crate::{agent::fetch::ChunkReader, node::channels::ChannelCache};

/// Reads pieces from the origin over this machine's link.
#[derive(Debug)]
pub struct PieceReader {
    /// The origin.
    pub origin: Arc<dyn PieceOrigin>,
    /// Its address.
    pub address: SocketAddr,
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: WeightVersion,
    /// This machine's link inwards.
    pub down: Arc<LinkPacer>,
}

impl ChunkReader for PieceReader {
    fn read<'a>(
        &'a self,
        _manifest: &'a Manifest,
        chunk: ChunkIndex,
    ) -> OutsideFuture<'a, Result<Bytes, FetchFailure>> {
        Box::pin(async move {
            let piece = self.origin.piece(self.address, &self.model, self.version, chunk.0);
            let data = piece.await.map_err(|failure| fetch_failure(&failure))?;
            self.down.send(data.len()).await;
            Ok(data)
        })
    }
}

fn fetch_failure(failure: &StageFailure) -> FetchFailure {
    match failure {
        StageFailure::Absent | StageFailure::Superseded => FetchFailure::Absent,
        StageFailure::Busy => FetchFailure::Busy,
        StageFailure::Unreachable(_) => FetchFailure::Unreachable,
    }
}

/// Time for a peer to hand over a manifest: a few round trips, over a link on which some hundred
/// kilobytes of pieces may be waiting.
const PEER_TIME: Duration = Duration::from_millis(900);

/// The name of a version's pieces among transfers.
pub fn piece_name(model: &ModelName, version: WeightVersion) -> String {
    format!("{model}@{version}")
}

/// A manifest as it is handed to other agents.
pub fn encode_pieces(pieces: &PieceManifest) -> Bytes {
    let digests: Vec<u8> = pieces.digests.iter().flat_map(|digest| digest.0).collect();
    let list = PieceList {
        version: pieces.version.0,
        piece_bytes: pieces.piece_bytes,
        layers: pieces.layers,
        digests: digests.into(),
    };
    list.encode_to_vec().into()
}

/// A manifest from another agent's bytes; none if they are not that of `version`.
pub fn decode_pieces(
    text: &[u8],
    model: &ModelName,
    version: WeightVersion,
) -> Option<PieceManifest> {
    let list = PieceList::decode(text).ok()?;
    let (digests, rest) = list.digests.as_chunks::<32>();
    let is_whole = !digests.is_empty() && rest.is_empty() && list.piece_bytes > 0;
    (is_whole && list.version == version.0).then(|| PieceManifest {
        model: model.clone(),
        version,
        piece_bytes: list.piece_bytes,
        layers: list.layers,
        digests: digests.iter().copied().map(PieceDigest).collect(),
    })
}

/// Asks another agent for the manifest of a version.
pub async fn pieces_from_peer(
    channels: &ChannelCache,
    address: SocketAddr,
    model: &ModelName,
    version: WeightVersion,
) -> Result<PieceManifest, StageFailure> {
    let request = FetchManifestRequest { manifest: Bytes::new(), name: piece_name(model, version) };
    let mut client = channels.node(address);
    let asked = tokio::time::timeout(PEER_TIME, client.fetch_manifest(request)).await;
    let reply = asked.map_err(|_| StageFailure::Unreachable(format!("{address}: too slow")))?;
    let reply =
        reply.map_err(|status| StageFailure::Unreachable(format!("{address}: {status}")))?;
    let text = reply.into_inner().text.ok_or(StageFailure::Absent)?;
    let wrong = || StageFailure::Unreachable(format!("{address}: no manifest of {version}"));
    decode_pieces(&text, model, version).ok_or_else(wrong)
}

/// The burst's manifest of a version's pieces.
pub fn burst_manifest(pieces: &PieceManifest) -> Manifest {
    let digests = pieces.digests.iter().map(|digest| Digest::from(digest.0)).collect();
    let name = piece_name(&pieces.model, pieces.version);
    Manifest::from_pieces(&name, pieces.piece_bytes.into(), digests)
}
