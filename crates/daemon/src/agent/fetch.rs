//! Fetches chunks and manifests from the origin, the store and peers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use headlatch_core::burst::FetchFailure;
use headlatch_http::{HttpCaller, pace::LinkPacer};
use headlatch_outside::OutsideFuture;
use headlatch_types::{
    ChunkIndex, Digest, Manifest,
    manifest::{ChunkLocation, MANIFEST_FILE, MAX_MANIFEST_BYTES},
    settings::ServiceUrl,
};
use headlatch_wire::{FetchChunkRequest, FetchManifestRequest, FetchStep, fetch_step::Step};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use http_body::Frame;
use http_body_util::BodyExt;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use tokio::sync::mpsc;
use tonic::Code;
use volo_http::{body::Body, error::BoxError};

use crate::node::channels::ChannelCache;

/// Time without data after which a fetch from the origin or the store fails.
const STALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Path characters that are not percent-encoded.
const UNESCAPED_PATH: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'/').remove(b'.').remove(b'-').remove(b'_').remove(b'~');

/// Percent-encodes a file's path for a URL.
pub fn escape_path(path: &str) -> String {
    utf8_percent_encode(path, UNESCAPED_PATH).to_string()
}

/// The folder of one version at the origin or the store.
#[derive(Debug, Clone)]
pub struct HttpSource {
    /// Base URL of the origin or the store.
    pub url: ServiceUrl,
    /// Path of the version's folder below the base URL.
    pub location: String,
}

/// Reads from the origin and the store over HTTP, paced by this box's downlink.
#[derive(Debug, Clone)]
pub struct HttpFetcher {
    caller: HttpCaller,
    downlink: Arc<LinkPacer>,
}

impl HttpFetcher {
    /// A fetcher that paces its reads by `downlink`.
    pub fn new(downlink: Arc<LinkPacer>) -> Self {
        Self { caller: HttpCaller::pooled(), downlink }
    }

    /// Rate limit of the downlink.
    pub fn downlink(&self) -> Arc<LinkPacer> {
        self.downlink.clone()
    }

    /// Reads the bytes of one chunk without verifying them.
    pub async fn chunk(
        &self,
        source: &HttpSource,
        manifest: &Manifest,
        place: &ChunkLocation,
    ) -> Result<Bytes, FetchFailure> {
        let file = manifest.files().get(place.file).ok_or(FetchFailure::Absent)?;
        let last = place.offset + place.length - 1;
        let range = format!("bytes={}-{last}", place.offset);
        self.read(source, &file.path, Some(&range), place.length as usize).await
    }

    /// Reads a version's manifest and verifies its digest.
    pub async fn manifest(
        &self,
        source: &HttpSource,
        digest: Digest,
    ) -> Result<(Bytes, Manifest), FetchFailure> {
        let text = self.read(source, MANIFEST_FILE, None, MAX_MANIFEST_BYTES).await?;
        let manifest = Manifest::verify(&text, digest).map_err(|error| {
            log::warn!("burst: the manifest at {} failed verification, {error}", source.location);
            FetchFailure::Corrupt
        })?;
        Ok((text, manifest))
    }

    async fn read(
        &self,
        source: &HttpSource,
        path: &str,
        range: Option<&str>,
        max_bytes: usize,
    ) -> Result<Bytes, FetchFailure> {
        let mut headers = HeaderMap::new();
        if let Some(value) = range.and_then(|range| HeaderValue::from_str(range).ok()) {
            headers.insert(header::RANGE, value);
        }
        let url = source.url.join(&format!("{}/{}", source.location, escape_path(path)));
        let address = source.url.address();
        let start = format!("http://{address}").len();
        let call = self.caller.send(address, Method::GET, &url[start..], headers, Bytes::new());
        let answered = tokio::time::timeout(STALL_TIMEOUT, call).await;
        let response = answered.ok().and_then(Result::ok).ok_or(FetchFailure::Unreachable)?;
        check_status(response.status(), range.is_some())?;
        let mut body = response.into_body();
        let mut data = BytesMut::new();
        while let Some(frame) = next_frame(&mut body).await? {
            let frame = frame.map_err(|_| FetchFailure::Unreachable)?;
            let Ok(piece) = frame.into_data() else { continue };
            self.downlink.send(piece.len()).await;
            if data.len() + piece.len() > max_bytes {
                return Err(FetchFailure::Corrupt);
            }
            data.extend_from_slice(&piece);
        }
        Ok(data.freeze())
    }
}

/// The next frame of a body; fails if none arrives within `STALL_TIMEOUT`.
async fn next_frame(
    body: &mut Body,
) -> Result<Option<Result<Frame<Bytes>, BoxError>>, FetchFailure> {
    let next = tokio::time::timeout(STALL_TIMEOUT, body.frame()).await;
    next.map_err(|_| FetchFailure::Unreachable)
}

fn check_status(status: StatusCode, ranged: bool) -> Result<(), FetchFailure> {
    match status {
        StatusCode::PARTIAL_CONTENT if ranged => Ok(()),
        // A server that ignores ranges sends the whole file. That is correct for a file of a single
        // chunk; a longer body exceeds the size limit and counts as corrupt.
        StatusCode::OK => Ok(()),
        StatusCode::NOT_FOUND | StatusCode::RANGE_NOT_SATISFIABLE => Err(FetchFailure::Absent),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Err(FetchFailure::Busy),
        _ => Err(FetchFailure::Unreachable),
    }
}

/// Reads chunks of one version from a source outside the fleet.
pub trait ChunkReader: Send + Sync + std::fmt::Debug {
    /// Reads the bytes of a chunk without verifying them.
    fn read<'a>(
        &'a self,
        manifest: &'a Manifest,
        chunk: ChunkIndex,
    ) -> OutsideFuture<'a, Result<Bytes, FetchFailure>>;
}

/// Reads chunks as HTTP byte ranges of the files in a folder.
#[derive(Debug)]
pub struct HttpChunkReader {
    /// Sends the range requests.
    pub fetcher: HttpFetcher,
    /// The folder that holds the files.
    pub source: HttpSource,
}

impl ChunkReader for HttpChunkReader {
    fn read<'a>(
        &'a self,
        manifest: &'a Manifest,
        chunk: ChunkIndex,
    ) -> OutsideFuture<'a, Result<Bytes, FetchFailure>> {
        Box::pin(async move {
            let place = manifest.chunk(chunk).ok_or(FetchFailure::Absent)?;
            self.fetcher.chunk(&self.source, manifest, place).await
        })
    }
}

/// Parameters of a chunk fetch from a peer.
#[derive(Debug)]
pub struct PeerFetchRequest {
    /// Address of the peer.
    pub address: SocketAddr,
    /// Digest of the manifest.
    pub manifest: Digest,
    /// Index of the chunk.
    pub chunk: ChunkIndex,
    /// Length of the chunk in bytes.
    pub length: usize,
    /// Identifier of this box.
    pub box_id: String,
    /// Number of chunks this box holds.
    pub held: u32,
}

/// Requests a chunk from a peer and reads it. Each grant of the peer is sent to `grants`; the
/// answers to grants are received from `steps` and passed on to the peer.
pub async fn fetch_from_peer(
    channels: &ChannelCache,
    fetch: PeerFetchRequest,
    steps: mpsc::Receiver<Step>,
    grants: mpsc::Sender<()>,
    downlink: &LinkPacer,
) -> Result<Bytes, FetchFailure> {
    let request = FetchChunkRequest {
        manifest: Bytes::copy_from_slice(fetch.manifest.as_bytes()),
        chunk: fetch.chunk.0,
        box_id: fetch.box_id,
        held: fetch.held,
    };
    let outgoing = outgoing_steps(request, steps);
    let mut client = channels.node(fetch.address);
    let response =
        client.fetch_chunk(outgoing).await.map_err(|status| failure_from_code(status.code()))?;
    let mut pieces = response.into_inner();
    let mut data = BytesMut::with_capacity(fetch.length);
    loop {
        let piece = pieces.message().await.map_err(|status| failure_from_code(status.code()))?;
        let Some(piece) = piece else { break };
        if piece.turn {
            // Sending fails if the fetch has been cancelled, and the grant is then irrelevant.
            let _ = grants.send(()).await;
            continue;
        }
        downlink.send(piece.data.len()).await;
        if data.len() + piece.data.len() > fetch.length {
            return Err(FetchFailure::Corrupt);
        }
        data.extend_from_slice(&piece.data);
    }
    Ok(data.freeze())
}

fn outgoing_steps(
    request: FetchChunkRequest,
    mut steps: mpsc::Receiver<Step>,
) -> impl futures_util::Stream<Item = FetchStep> + Send + 'static {
    async_stream::stream! {
        yield FetchStep { step: Some(Step::Ask(request)) };
        while let Some(step) = steps.recv().await {
            yield FetchStep { step: Some(step) };
        }
    }
}

fn failure_from_code(code: Code) -> FetchFailure {
    match code {
        Code::ResourceExhausted => FetchFailure::Busy,
        Code::NotFound => FetchFailure::Absent,
        _ => FetchFailure::Unreachable,
    }
}

/// Requests a manifest from a peer and verifies its digest.
pub async fn manifest_from_peer(
    channels: &ChannelCache,
    address: SocketAddr,
    digest: Digest,
) -> Option<(Bytes, Manifest)> {
    let request = FetchManifestRequest {
        manifest: Bytes::copy_from_slice(digest.as_bytes()),
        name: String::new(),
    };
    let reply = channels.node(address).fetch_manifest(request).await.ok()?;
    let text = reply.into_inner().text?;
    let manifest = Manifest::verify(&text, digest).ok()?;
    Some((text, manifest))
}
