//! Fetches of single chunks and of manifests.

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

/// Time after which a source that sends nothing is given up.
const STALL_TIME: Duration = Duration::from_secs(20);

/// Characters of a path that need no escape.
const PATH: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'/').remove(b'.').remove(b'-').remove(b'_').remove(b'~');

/// Escapes a file's path for a URL.
pub fn escape_path(path: &str) -> String {
    utf8_percent_encode(path, PATH).to_string()
}

/// An origin or store, with the folder of one version.
#[derive(Debug, Clone)]
pub struct OutsideSource {
    /// Its base URL.
    pub url: ServiceUrl,
    /// The version's folder.
    pub location: String,
}

/// Reads from origin and store over this box's link.
#[derive(Debug, Clone)]
pub struct OutsideFetcher {
    caller: HttpCaller,
    down: Arc<LinkPacer>,
}

impl OutsideFetcher {
    /// A fetcher whose bytes come in over `down`.
    pub fn new(down: Arc<LinkPacer>) -> Self {
        Self { caller: HttpCaller::pooled(), down }
    }

    /// The link that its bytes come in over.
    pub fn down(&self) -> Arc<LinkPacer> {
        self.down.clone()
    }

    /// Reads the bytes of one chunk; they are not verified yet.
    pub async fn chunk(
        &self,
        source: &OutsideSource,
        manifest: &Manifest,
        place: &ChunkLocation,
    ) -> Result<Bytes, FetchFailure> {
        let file = manifest.files().get(place.file).ok_or(FetchFailure::Absent)?;
        let last = place.offset + place.length - 1;
        let range = format!("bytes={}-{last}", place.offset);
        self.read(source, &file.path, Some(&range), place.length as usize).await
    }

    /// Reads a version's manifest and checks its digest.
    pub async fn manifest(
        &self,
        source: &OutsideSource,
        digest: Digest,
    ) -> Result<(Bytes, Manifest), FetchFailure> {
        let text = self.read(source, MANIFEST_FILE, None, MAX_MANIFEST_BYTES).await?;
        let manifest = Manifest::verify(&text, digest).map_err(|error| {
            log::warn!("burst: the manifest at {} is wrong, {error}", source.location);
            FetchFailure::Corrupt
        })?;
        Ok((text, manifest))
    }

    async fn read(
        &self,
        source: &OutsideSource,
        path: &str,
        range: Option<&str>,
        most: usize,
    ) -> Result<Bytes, FetchFailure> {
        let mut headers = HeaderMap::new();
        if let Some(value) = range.and_then(|range| HeaderValue::from_str(range).ok()) {
            headers.insert(header::RANGE, value);
        }
        let url = source.url.join(&format!("{}/{}", source.location, escape_path(path)));
        let address = source.url.address();
        let start = format!("http://{address}").len();
        let call = self.caller.send(address, Method::GET, &url[start..], headers, Bytes::new());
        let answered = tokio::time::timeout(STALL_TIME, call).await;
        let response = answered.ok().and_then(Result::ok).ok_or(FetchFailure::Unreachable)?;
        check_status(response.status(), range.is_some())?;
        let mut body = response.into_body();
        let mut data = BytesMut::new();
        while let Some(frame) = next_frame(&mut body).await? {
            let frame = frame.map_err(|_| FetchFailure::Unreachable)?;
            let Ok(piece) = frame.into_data() else { continue };
            self.down.send(piece.len()).await;
            if data.len() + piece.len() > most {
                return Err(FetchFailure::Corrupt);
            }
            data.extend_from_slice(&piece);
        }
        Ok(data.freeze())
    }
}

/// The next frame of a body, unless nothing comes for long.
async fn next_frame(
    body: &mut Body,
) -> Result<Option<Result<Frame<Bytes>, BoxError>>, FetchFailure> {
    let next = tokio::time::timeout(STALL_TIME, body.frame()).await;
    next.map_err(|_| FetchFailure::Unreachable)
}

fn check_status(status: StatusCode, ranged: bool) -> Result<(), FetchFailure> {
    match status {
        StatusCode::PARTIAL_CONTENT if ranged => Ok(()),
        // A server that ignores ranges sends the whole file, which is right for small files only;
        // a longer body is cut off by the limit and counts as corrupt.
        StatusCode::OK => Ok(()),
        StatusCode::NOT_FOUND | StatusCode::RANGE_NOT_SATISFIABLE => Err(FetchFailure::Absent),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Err(FetchFailure::Busy),
        _ => Err(FetchFailure::Unreachable),
    }
}

/// Reads single chunks of one version from somewhere outside.
pub trait ChunkReader: Send + Sync + std::fmt::Debug {
    /// The bytes of a chunk; they are not verified yet.
    fn read<'a>(
        &'a self,
        manifest: &'a Manifest,
        chunk: ChunkIndex,
    ) -> OutsideFuture<'a, Result<Bytes, FetchFailure>>;
}

/// Reads chunks as ranges of files below a folder.
#[derive(Debug)]
pub struct FolderReader {
    /// Reads the ranges.
    pub fetcher: OutsideFetcher,
    /// The folder.
    pub source: OutsideSource,
}

impl ChunkReader for FolderReader {
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

/// What a fetch from a peer needs to know.
#[derive(Debug)]
pub struct PeerAsk {
    /// The peer's address.
    pub address: SocketAddr,
    /// The manifest.
    pub manifest: Digest,
    /// The chunk.
    pub chunk: ChunkIndex,
    /// Its length in bytes.
    pub length: usize,
    /// This box.
    pub box_id: String,
    /// Chunks that this box holds.
    pub held: u32,
}

/// Asks a peer for a chunk and reads it; `turns` is told when its turn has come, and the answer to
/// that comes over `steps`.
pub async fn fetch_from_peer(
    channels: &ChannelCache,
    ask: PeerAsk,
    steps: mpsc::Receiver<Step>,
    turns: mpsc::Sender<()>,
    down: &LinkPacer,
) -> Result<Bytes, FetchFailure> {
    let request = FetchChunkRequest {
        manifest: Bytes::copy_from_slice(ask.manifest.as_bytes()),
        chunk: ask.chunk.0,
        box_id: ask.box_id,
        held: ask.held,
    };
    let outgoing = outgoing_steps(request, steps);
    let mut client = channels.node(ask.address);
    let response =
        client.fetch_chunk(outgoing).await.map_err(|status| failure_of(status.code()))?;
    let mut pieces = response.into_inner();
    let mut data = BytesMut::with_capacity(ask.length);
    loop {
        let piece = pieces.message().await.map_err(|status| failure_of(status.code()))?;
        let Some(piece) = piece else { break };
        if piece.turn {
            // Nobody waits for it any more once the fetch is given up.
            let _ = turns.send(()).await;
            continue;
        }
        down.send(piece.data.len()).await;
        if data.len() + piece.data.len() > ask.length {
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

fn failure_of(code: Code) -> FetchFailure {
    match code {
        Code::ResourceExhausted => FetchFailure::Busy,
        Code::NotFound => FetchFailure::Absent,
        _ => FetchFailure::Unreachable,
    }
}

/// Asks a peer for a manifest and checks its digest.
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
