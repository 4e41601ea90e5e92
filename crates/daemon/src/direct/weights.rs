//! Pieces of weights as chunks of the burst.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use headlatch_core::burst::FetchFailure;
use headlatch_http::pace::LinkPacer;
use headlatch_outside::{
    OutsideFuture,
    engine::{PieceManifest, PieceOrigin, StageFailure},
};
use headlatch_types::{ChunkIndex, Digest, Manifest, id::ModelName, traffic::WeightVersion};

use crate::agent::fetch::ChunkReader;

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

/// The burst's manifest of a version's pieces.
pub fn burst_manifest(pieces: &PieceManifest) -> Manifest {
    let digests = pieces.digests.iter().map(|digest| Digest::from(digest.0)).collect();
    let name = format!("{}@{}", pieces.model, pieces.version);
    Manifest::of_pieces(&name, pieces.piece_bytes.into(), digests)
}
