//! The control service that nodes offer each other.

use std::{pin::Pin, sync::Arc};

use futures_util::Stream;
use headlatch_types::Digest;
use headlatch_wire::{
    ChunkPiece, FetchManifestReply, FetchManifestRequest, FetchStep, ReadConfigReply,
    ReadConfigRequest, SwarmAck, SwarmNotes, node_server::Node,
};
use tonic::{Request, Response, Status, Streaming};

use super::NodeContext;

/// Largest message between nodes: a manifest, a fleet file or a request with its body.
pub const MAX_MESSAGE_BYTES: usize = 17 << 20;

/// Streams of one connection that may be open at the same time.
const MAX_STREAMS: u32 = 1024;

/// Largest head of a call.
const MAX_HEADER_LIST_BYTES: u32 = 16 << 10;

/// How often an idle connection is tried.
const KEEP_ALIVE_INTERVAL: std::time::Duration = std::time::Duration::from_secs(5);

/// A server for the control listener, with its limits.
pub fn server() -> tonic::transport::Server {
    tonic::transport::Server::builder()
        .max_concurrent_streams(MAX_STREAMS)
        .http2_max_header_list_size(MAX_HEADER_LIST_BYTES)
        .http2_keepalive_interval(Some(KEEP_ALIVE_INTERVAL))
        .tcp_nodelay(true)
}

/// A stream of pieces of one chunk.
pub type PieceStream = Pin<Box<dyn Stream<Item = Result<ChunkPiece, Status>> + Send>>;

/// What an agent does for others' transfers; entries do nothing.
pub trait SwarmHost: Send + Sync + 'static {
    /// Takes in notes; false if this box takes no part in the transfer.
    fn handle_notes(&self, notes: SwarmNotes) -> bool;
    /// Serves one fetch of a chunk.
    fn serve_chunk(&self, steps: Streaming<FetchStep>) -> PieceStream;
    /// The text of a manifest, if it is here.
    fn manifest(&self, digest: Digest) -> Option<bytes::Bytes>;
    /// The piece list of a version by its name, if it is here.
    fn piece_list(&self, name: &str) -> Option<bytes::Bytes>;
}

/// The control service of one node.
pub struct NodeService {
    node: Arc<NodeContext>,
    host: Option<Arc<dyn SwarmHost>>,
}

impl NodeService {
    /// The service of `node`, with the transfers of `host`.
    pub fn new(node: Arc<NodeContext>, host: Option<Arc<dyn SwarmHost>>) -> Self {
        Self { node, host }
    }
}

#[tonic::async_trait]
impl Node for NodeService {
    type FetchChunkStream = PieceStream;

    async fn fetch_chunk(
        &self,
        request: Request<Streaming<FetchStep>>,
    ) -> Result<Response<PieceStream>, Status> {
        let host = self.host.as_ref().ok_or_else(|| Status::not_found("no chunks here"))?;
        Ok(Response::new(host.serve_chunk(request.into_inner())))
    }

    async fn tell(&self, request: Request<SwarmNotes>) -> Result<Response<SwarmAck>, Status> {
        let notes = request.into_inner();
        let takes_part = self.host.as_ref().is_some_and(|host| host.handle_notes(notes));
        Ok(Response::new(SwarmAck { takes_part }))
    }

    async fn fetch_manifest(
        &self,
        request: Request<FetchManifestRequest>,
    ) -> Result<Response<FetchManifestReply>, Status> {
        let request = request.into_inner();
        let host = self.host.as_ref();
        if !request.name.is_empty() {
            let text = host.and_then(|host| host.piece_list(&request.name));
            return Ok(Response::new(FetchManifestReply { text }));
        }
        let digest = Digest::try_from(&*request.manifest)
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let text = host.and_then(|host| host.manifest(digest));
        Ok(Response::new(FetchManifestReply { text }))
    }

    async fn read_config(
        &self,
        request: Request<ReadConfigRequest>,
    ) -> Result<Response<ReadConfigReply>, Status> {
        let config = self.node.config();
        let revision = config.revision.number();
        let text = if revision > request.into_inner().above_revision {
            config.text.clone()
        } else {
            String::new()
        };
        Ok(Response::new(ReadConfigReply { revision, text }))
    }
}
