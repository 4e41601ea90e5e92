//! The gRPC control service between nodes.

use std::{pin::Pin, sync::Arc};

use futures_util::Stream;
use headlatch_types::Digest;
use headlatch_wire::{
    ChunkPiece, FetchManifestReply, FetchManifestRequest, FetchStep, ReadConfigReply,
    ReadConfigRequest, SwarmAck, SwarmNotes, node_server::Node,
};
use tonic::{Request, Response, Status, Streaming};

use super::NodeContext;

/// Maximum message size between nodes: a manifest, a fleet file or a request with its body.
pub const MAX_MESSAGE_BYTES: usize = 17 << 20;

/// Maximum number of concurrent streams per connection.
const MAX_STREAMS: u32 = 1024;

/// Maximum size of the header list of a call, in bytes.
const MAX_HEADER_LIST_BYTES: u32 = 16 << 10;

/// Interval between HTTP/2 keep-alive pings.
const KEEP_ALIVE_INTERVAL: std::time::Duration = std::time::Duration::from_secs(5);

/// Creates the server builder for the control listener, with its limits.
pub fn server() -> tonic::transport::Server {
    tonic::transport::Server::builder()
        .max_concurrent_streams(MAX_STREAMS)
        .http2_max_header_list_size(MAX_HEADER_LIST_BYTES)
        .http2_keepalive_interval(Some(KEEP_ALIVE_INTERVAL))
        .tcp_nodelay(true)
}

/// Stream of the pieces of one chunk.
pub type PieceStream = Pin<Box<dyn Stream<Item = Result<ChunkPiece, Status>> + Send>>;

/// Handles chunk transfers for other nodes; implemented by agents, absent on entries.
pub trait SwarmHost: Send + Sync + 'static {
    /// Handles swarm notes; returns false if this box does not take part in the transfer.
    fn handle_notes(&self, notes: SwarmNotes) -> bool;
    /// Serves one chunk fetch.
    fn serve_chunk(&self, steps: Streaming<FetchStep>) -> PieceStream;
    /// The text of a manifest, if held locally.
    fn manifest(&self, digest: Digest) -> Option<bytes::Bytes>;
    /// The piece list of a version by name, if held locally.
    fn piece_list(&self, name: &str) -> Option<bytes::Bytes>;
}

/// The control service of one node.
pub struct NodeService {
    node: Arc<NodeContext>,
    host: Option<Arc<dyn SwarmHost>>,
}

impl NodeService {
    /// Creates the service of `node`, with `host` handling transfers.
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
        let host =
            self.host.as_ref().ok_or_else(|| Status::not_found("this node serves no chunks"))?;
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
