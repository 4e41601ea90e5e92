//! The transfers that run on this box, and chunk serving to peers.

use std::{
    collections::{HashMap, VecDeque},
    sync::{Arc, Mutex, MutexGuard},
};

use bytes::Bytes;
use headlatch_core::burst::{FetchFailure, PeerKey, PeerStatus, SwarmEvent};
use headlatch_http::pace::LinkPacer;
use headlatch_types::{ChunkIndex, Digest, id::BoxId};
use headlatch_wire::{ChunkPiece, FetchChunkRequest, FetchStep, SwarmNotes, fetch_step::Step};
use tokio::sync::mpsc;
use tonic::{Status, Streaming};

use super::{
    chunk_cache::ChunkCache,
    swarm::{DriverInput, SessionReply, SwarmHandle, manifest_digest, peer_key},
};
use crate::{
    metrics::NodeMetrics,
    node::{
        codec,
        service::{PieceStream, SwarmHost},
    },
};

/// Maximum number of buffered notes about transfers that have not started on this box.
const MAX_EARLY_NOTES: usize = 256;

/// Size of the pieces in which a chunk is written to the link. Written bytes queue there, and notes
/// and grants wait behind them, so pieces are small.
const PIECE_BYTES: usize = 8 << 10;

/// The transfers that run on this box.
#[derive(Debug)]
pub struct SwarmRegistry {
    swarms: Mutex<HashMap<Digest, SwarmHandle>>,
    early_notes: Mutex<VecDeque<SwarmNotes>>,
    chunk_cache: Arc<ChunkCache>,
    uplink: Arc<LinkPacer>,
    metrics: NodeMetrics,
}

impl SwarmRegistry {
    /// An empty registry that paces outgoing chunks by `uplink`.
    pub fn new(chunk_cache: Arc<ChunkCache>, uplink: Arc<LinkPacer>, metrics: NodeMetrics) -> Self {
        Self {
            swarms: Mutex::default(),
            early_notes: Mutex::default(),
            chunk_cache,
            uplink,
            metrics,
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Digest, SwarmHandle>> {
        self.swarms.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The transfer of `manifest`, if it runs on this box.
    pub fn get(&self, manifest: &Digest) -> Option<SwarmHandle> {
        self.lock().get(manifest).cloned()
    }

    /// Adds a transfer and delivers the notes buffered for it.
    pub fn add(&self, handle: SwarmHandle) {
        let digest = handle.manifest.digest();
        self.lock().insert(digest, handle);
        let mut early_notes =
            self.early_notes.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let all = std::mem::take(&mut *early_notes);
        let (matching, kept): (VecDeque<_>, VecDeque<_>) =
            all.into_iter().partition(|notes| manifest_digest(&notes.manifest) == Some(digest));
        *early_notes = kept;
        drop(early_notes);
        matching.into_iter().for_each(|notes| {
            self.handle_notes(notes);
        });
    }

    /// Buffers notes about a transfer that has not started on this box, because senders do not
    /// repeat them. The oldest notes are dropped when the buffer is full.
    fn buffer_early_notes(&self, notes: SwarmNotes) {
        let mut early_notes =
            self.early_notes.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if early_notes.len() == MAX_EARLY_NOTES {
            early_notes.pop_front();
        }
        early_notes.push_back(notes);
    }

    /// Ends the transfers that `wanted` rejects, and drops chunks that no remaining transfer uses.
    pub fn retain(&self, wanted: impl Fn(&Digest) -> bool) {
        let mut swarms = self.lock();
        let before = swarms.len();
        swarms.retain(|digest, _| wanted(digest));
        if swarms.len() != before {
            self.chunk_cache.retain(swarms.values().map(|handle| &*handle.manifest));
        }
    }

    /// All transfers.
    pub fn all(&self) -> Vec<SwarmHandle> {
        self.lock().values().cloned().collect()
    }
}

impl SwarmHost for SwarmRegistry {
    fn handle_notes(&self, notes: SwarmNotes) -> bool {
        let Some(handle) = manifest_digest(&notes.manifest).and_then(|digest| self.get(&digest))
        else {
            self.buffer_early_notes(notes);
            return false;
        };
        let Ok(id) = notes.box_id.parse::<BoxId>() else { return false };
        let from = peer_key(&id);
        let chunks = handle.manifest.chunks().len() as u32;
        let status = PeerStatus { queue: notes.queue, drawn: notes.drawn.min(chunks) };
        for message in notes.notes {
            let Ok(note) = codec::decode_note(message, chunks) else { continue };
            let event = SwarmEvent::Note { from, note, status };
            handle.try_send(DriverInput::Event(event));
        }
        true
    }

    fn serve_chunk(&self, steps: Streaming<FetchStep>) -> PieceStream {
        let server = ChunkServer {
            handles: self.lock().clone(),
            chunk_cache: self.chunk_cache.clone(),
            uplink: self.uplink.clone(),
            metrics: self.metrics.clone(),
        };
        Box::pin(server.serve(steps))
    }

    fn manifest(&self, digest: Digest) -> Option<Bytes> {
        self.get(&digest).map(|handle| handle.text)
    }

    fn piece_list(&self, name: &str) -> Option<Bytes> {
        let is_named = |handle: &&SwarmHandle| {
            handle.manifest.files().first().is_some_and(|file| file.path == name)
        };
        let swarms = self.lock();
        let named = swarms.values().find(is_named);
        named.map(|handle| handle.text.clone()).filter(|text| !text.is_empty())
    }
}

/// Serves one chunk request of a peer.
struct ChunkServer {
    handles: HashMap<Digest, SwarmHandle>,
    chunk_cache: Arc<ChunkCache>,
    uplink: Arc<LinkPacer>,
    metrics: NodeMetrics,
}

/// Cancels a peer's chunk request in the driver when its stream ends for any reason.
struct RequestGuard {
    inputs: mpsc::Sender<DriverInput>,
    from: PeerKey,
    chunk: ChunkIndex,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let event = SwarmEvent::RequestCancelled { from: self.from, chunk: self.chunk };
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            // Sending fails if the driver has ended, and the event is then irrelevant.
            let _ = inputs.send(DriverInput::Event(event)).await;
        });
    }
}

impl ChunkServer {
    fn serve(
        self,
        mut steps: Streaming<FetchStep>,
    ) -> impl futures_util::Stream<Item = Result<ChunkPiece, Status>> + Send {
        async_stream::try_stream! {
            let request = read_request(&mut steps).await?;
            let (handle, from) = self.find(&request)?;
            let chunk = ChunkIndex(request.chunk);
            let place = handle.manifest.chunk(chunk).cloned();
            let place = place.ok_or_else(|| Status::invalid_argument("no such chunk"))?;
            let (session, mut answers) = mpsc::channel(4);
            let inputs = handle.inputs();
            let input = DriverInput::ChunkRequested { from, chunk, held: request.held, session };
            inputs.send(input).await.map_err(|_| Status::not_found("the transfer has ended"))?;
            let _guard = RequestGuard { inputs: inputs.clone(), from, chunk };
            // Dropping the last handle aborts the driver, so it is held until the session ends.
            let _handle = handle;
            loop {
                match next_event(&mut answers, &mut steps).await? {
                    StreamEvent::Granted => {
                        yield ChunkPiece { turn: true, ..ChunkPiece::default() };
                    }
                    StreamEvent::Step(Step::Take(_)) => break,
                    StreamEvent::Step(Step::Pass(_)) => {
                        send_event(&inputs, SwarmEvent::GrantDeferred { from, chunk }).await;
                    }
                    StreamEvent::Step(Step::Resume(_)) => {
                        send_event(&inputs, SwarmEvent::GrantResumed { from, chunk }).await;
                    }
                    StreamEvent::Step(Step::Ask(_)) => {
                        Err(Status::invalid_argument("a stream may request only one chunk"))?;
                    }
                    StreamEvent::Closed => return,
                }
            }
            let data = self.chunk_cache.get(&place.digest);
            let mut rest = data.ok_or_else(|| Status::not_found("the chunk is no longer held"))?;
            while !rest.is_empty() {
                let piece = rest.split_to(rest.len().min(PIECE_BYTES));
                self.uplink.wait_until_free(piece.len()).await;
                self.metrics.count_chunk("up", piece.len() as u64);
                yield ChunkPiece { data: piece, turn: false };
            }
        }
    }

    fn find(&self, request: &FetchChunkRequest) -> Result<(SwarmHandle, PeerKey), Status> {
        let digest = manifest_digest(&request.manifest);
        let handle = digest.and_then(|digest| self.handles.get(&digest).cloned());
        let handle = handle.ok_or_else(|| Status::not_found("no such transfer on this box"))?;
        let id: BoxId = request
            .box_id
            .parse()
            .map_err(|_| Status::invalid_argument("box_id is not a valid box name"))?;
        Ok((handle, peer_key(&id)))
    }
}

/// Next event on a chunk request's stream.
enum StreamEvent {
    /// The driver granted the request.
    Granted,
    /// The requesting peer sent a step.
    Step(Step),
    /// The requesting peer closed the stream.
    Closed,
}

async fn next_event(
    answers: &mut mpsc::Receiver<SessionReply>,
    steps: &mut Streaming<FetchStep>,
) -> Result<StreamEvent, Status> {
    tokio::select! {
        answer = answers.recv() => match answer {
            Some(SessionReply::Granted) => Ok(StreamEvent::Granted),
            Some(SessionReply::Refused(failure)) => Err(refusal_status(failure)),
            None => Err(Status::not_found("the transfer has ended")),
        },
        step = steps.message() => {
            let step = step?.and_then(|step| step.step);
            Ok(step.map_or(StreamEvent::Closed, StreamEvent::Step))
        }
    }
}

async fn send_event(inputs: &mpsc::Sender<DriverInput>, event: SwarmEvent) {
    // Sending fails if the driver has ended; the stream then ends at its next step.
    let _ = inputs.send(DriverInput::Event(event)).await;
}

async fn read_request(steps: &mut Streaming<FetchStep>) -> Result<FetchChunkRequest, Status> {
    match steps.message().await?.and_then(|step| step.step) {
        Some(Step::Ask(request)) => Ok(request),
        _ => Err(Status::invalid_argument("the first step must be a chunk request")),
    }
}

fn refusal_status(failure: FetchFailure) -> Status {
    match failure {
        FetchFailure::Busy => Status::resource_exhausted("busy"),
        _ => Status::not_found("the chunk is not held by this box"),
    }
}
