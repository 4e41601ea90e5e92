//! Maps pieces of weights to chunks of the burst.

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

/// Reads pieces from the origin over this box's link.
#[derive(Debug)]
pub struct PieceReader {
    /// Origin of the pieces.
    pub origin: Arc<dyn PieceOrigin>,
    /// Address of the origin.
    pub address: SocketAddr,
    /// Model that the pieces belong to.
    pub model: ModelName,
    /// Version that the pieces belong to.
    pub version: WeightVersion,
    /// Pacer of this box's inbound link.
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

/// Timeout for reading a manifest from a peer. It allows for a few round trips over a link on which
/// some hundred kilobytes of pieces may be queued.
const PEER_MANIFEST_TIMEOUT: Duration = Duration::from_millis(900);

/// Name of the transfer of a version.
pub fn transfer_name(model: &ModelName, version: WeightVersion) -> String {
    format!("{model}@{version}")
}

/// Encodes a manifest for other agents.
pub fn encode_manifest(pieces: &PieceManifest) -> Bytes {
    let digests: Vec<u8> = pieces.digests.iter().flat_map(|digest| digest.0).collect();
    let list = PieceList {
        version: pieces.version.0,
        piece_bytes: pieces.piece_bytes,
        layers: pieces.layers,
        digests: digests.into(),
    };
    list.encode_to_vec().into()
}

/// Decodes a manifest from another agent. Returns `None` if it is malformed or belongs to another
/// version.
pub fn decode_manifest(
    text: &[u8],
    model: &ModelName,
    version: WeightVersion,
) -> Option<PieceManifest> {
    let list = PieceList::decode(text).ok()?;
    let (digests, rest) = list.digests.as_chunks::<32>();
    let is_valid = !digests.is_empty() && rest.is_empty() && list.piece_bytes > 0;
    (is_valid && list.version == version.0).then(|| PieceManifest {
        model: model.clone(),
        version,
        piece_bytes: list.piece_bytes,
        layers: list.layers,
        digests: digests.iter().copied().map(PieceDigest).collect(),
    })
}

/// Reads the manifest of a version from another agent.
pub async fn manifest_from_peer(
    channels: &ChannelCache,
    address: SocketAddr,
    model: &ModelName,
    version: WeightVersion,
) -> Result<PieceManifest, StageFailure> {
    let request =
        FetchManifestRequest { manifest: Bytes::new(), name: transfer_name(model, version) };
    let mut client = channels.node(address);
    let asked = tokio::time::timeout(PEER_MANIFEST_TIMEOUT, client.fetch_manifest(request)).await;
    let reply = asked.map_err(|_| {
        StageFailure::Unreachable(format!(
            "{address}: no manifest within {PEER_MANIFEST_TIMEOUT:?}"
        ))
    })?;
    let reply =
        reply.map_err(|status| StageFailure::Unreachable(format!("{address}: {status}")))?;
    let text = reply.into_inner().text.ok_or(StageFailure::Absent)?;
    let invalid = || {
        StageFailure::Unreachable(format!("{address}: reply is not a valid manifest of {version}"))
    };
    decode_manifest(&text, model, version).ok_or_else(invalid)
}

/// Builds the burst manifest of a version's pieces.
pub fn burst_manifest(pieces: &PieceManifest) -> Manifest {
    let digests = pieces.digests.iter().map(|digest| Digest::from(digest.0)).collect();
    let name = transfer_name(&pieces.model, pieces.version);
    Manifest::from_pieces(&name, pieces.piece_bytes.into(), digests)
}
