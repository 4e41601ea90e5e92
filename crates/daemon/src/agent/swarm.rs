//! Executes the actions of one transfer's planner.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use headlatch_core::burst::{
    ChunkSet, ChunkSource, FetchFailure, PeerKey, PeerLocation, SwarmAction, SwarmEvent, SwarmNote,
    SwarmPlanner, SwarmSettings,
};
use headlatch_http::pace::LinkPacer;
use headlatch_types::{ChunkIndex, Digest, Manifest};
use headlatch_wire::{SwarmNotes, fetch_step::Step};
use tokio::{sync::mpsc, task::AbortHandle};

use super::{
    chunk_cache::ChunkCache,
    chunk_fetch::ChunkFetch,
    fetch::ChunkReader,
    notes::NoteSender,
    swarm_progress::{KnownChunks, SwarmState},
};
use crate::node::{NodeContext, codec};

/// Capacity of a driver's input queue. Notes that do not fit are dropped; the protocol tolerates
/// lost notes.
const MAX_QUEUED_INPUTS: usize = 8192;

/// An input of a swarm driver.
#[derive(Debug)]
pub enum DriverInput {
    /// An event for the planner.
    Event(SwarmEvent),
    /// A peer requests a chunk; replies are sent over `session`.
    ChunkRequested {
        /// The requesting peer.
        from: PeerKey,
        /// The requested chunk.
        chunk: ChunkIndex,
        /// Number of chunks the peer holds.
        held: u32,
        /// Receives the replies.
        session: mpsc::Sender<SessionReply>,
    },
    /// The participating peers, with their addresses.
    Peers(Vec<(PeerLocation, SocketAddr)>),
}

/// Reply to a peer's chunk request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SessionReply {
    /// The chunk can be sent now.
    Granted,
    /// The chunk will not be sent now.
    Refused(FetchFailure),
}

/// Handle to a running transfer; the transfer is aborted when the last handle is dropped.
#[derive(Debug, Clone)]
pub struct SwarmHandle {
    /// Manifest of the transferred files.
    pub manifest: Arc<Manifest>,
    /// The manifest's encoded text, served to peers.
    pub text: Bytes,
    inputs: mpsc::Sender<DriverInput>,
    state: Arc<SwarmState>,
    _task: Arc<AbortOnDrop>,
}

/// Aborts a task on drop.
#[derive(Debug)]
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl SwarmHandle {
    /// Number of chunks held.
    pub fn held(&self) -> u64 {
        self.state.held.load(Ordering::Relaxed)
    }

    /// Number of chunks that this box or a peer is known to hold.
    pub fn known(&self) -> u32 {
        self.state.known.load(Ordering::Relaxed)
    }

    /// Number of chunks that this transfer has read from the origin.
    pub fn origin_reads(&self) -> u64 {
        self.state.origin_reads.load(Ordering::Relaxed)
    }

    /// Number of origin reads that could not reach it, since the last one that could.
    pub fn origin_failures(&self) -> u32 {
        self.state.origin_failures.load(Ordering::Relaxed)
    }

    /// Bytes fetched by this transfer.
    pub fn bytes(&self) -> u64 {
        self.state.bytes.load(Ordering::Relaxed)
    }

    /// Whether the manifest is in doubt: the same bytes came more than once for a chunk that has another
    /// digest there.
    pub fn is_contradicted(&self) -> bool {
        self.state.is_contradicted()
    }

    /// Drops the doubts about the manifest, after it has been confirmed.
    pub fn confirm_manifest(&self) {
        self.state.clear_contradictions();
    }

    /// Whether every chunk is held and verified.
    pub fn is_complete(&self) -> bool {
        self.state.complete.load(Ordering::Relaxed)
    }

    /// Queues an input for the driver without waiting; false if the queue is full or the driver has
    /// ended.
    pub fn try_send(&self, input: DriverInput) -> bool {
        self.inputs.try_send(input).is_ok()
    }

    /// The driver's input queue, for callers that wait for capacity.
    pub fn inputs(&self) -> mpsc::Sender<DriverInput> {
        self.inputs.clone()
    }
}

/// Dependencies of a swarm driver.
#[derive(Debug, Clone)]
pub struct SwarmContext {
    /// This node.
    pub node: Arc<NodeContext>,
    /// Verified chunks of this box.
    pub chunk_cache: Arc<ChunkCache>,
    /// Rate limit of this box's downlink.
    pub downlink: Arc<LinkPacer>,
    /// Sends notes to peers.
    pub note_sender: Arc<dyn NoteSender>,
    /// Reads chunks from the origin, if configured.
    pub origin: Option<Arc<dyn ChunkReader>>,
    /// Reads chunks from the store, if configured.
    pub store: Option<Arc<dyn ChunkReader>>,
}

/// Feeds events to one planner and executes its actions.
struct SwarmDriver {
    context: SwarmContext,
    location: String,
    manifest: Arc<Manifest>,
    tick: Duration,
    planner: SwarmPlanner,
    known: KnownChunks,
    inputs: mpsc::Receiver<DriverInput>,
    input_sender: mpsc::Sender<DriverInput>,
    state: Arc<SwarmState>,
    addresses: HashMap<PeerKey, SocketAddr>,
    fetches: HashMap<ChunkIndex, ActiveFetch>,
    sessions: HashMap<(PeerKey, ChunkIndex), mpsc::Sender<SessionReply>>,
}

#[derive(Debug)]
struct ActiveFetch {
    source: ChunkSource,
    steps: mpsc::Sender<Step>,
    _task: AbortOnDrop,
}

/// Starts the transfer of `manifest`.
pub fn start(
    context: SwarmContext,
    location: String,
    (text, manifest): (Bytes, Arc<Manifest>),
    settings: SwarmSettings,
    own_location: PeerLocation,
) -> SwarmHandle {
    let (sender, inputs) = mpsc::channel(MAX_QUEUED_INPUTS);
    let state = Arc::new(SwarmState::default());
    let mut held = ChunkSet::new(settings.chunks);
    context.chunk_cache.held(&manifest).into_iter().for_each(|chunk| {
        held.insert(chunk);
    });
    let salt = manifest.digest().key();
    let tick = settings.timings.tick;
    state.held.store(held.count().into(), Ordering::Relaxed);
    state.known.store(held.count(), Ordering::Relaxed);
    let known = KnownChunks::new(held.clone());
    let planner = SwarmPlanner::begin(settings, salt, own_location, held, context.node.now());
    let driver = SwarmDriver {
        context,
        location,
        tick,
        manifest: manifest.clone(),
        planner,
        known,
        inputs,
        input_sender: sender.clone(),
        state: state.clone(),
        addresses: HashMap::new(),
        fetches: HashMap::new(),
        sessions: HashMap::new(),
    };
    let task = tokio::spawn(driver.run());
    let task = Arc::new(AbortOnDrop(task.abort_handle()));
    SwarmHandle { manifest, text, inputs: sender, state, _task: task }
}

impl SwarmDriver {
    async fn run(mut self) {
        let mut ticks = self.context.node.timer.subscribe(self.tick);
        loop {
            tokio::select! {
                input = self.inputs.recv() => match input {
                    Some(input) => self.handle_input(input),
                    None => return,
                },
                tick = ticks.next() => match tick {
                    Some(_) => self.handle_event(SwarmEvent::Tick),
                    None => return,
                },
            }
        }
    }

    fn handle_input(&mut self, input: DriverInput) {
        match input {
            DriverInput::Event(event) => self.handle_event(event),
            DriverInput::ChunkRequested { from, chunk, held, session } => {
                self.sessions.insert((from, chunk), session);
                self.handle_event(SwarmEvent::Requested { from, chunk, held });
            }
            DriverInput::Peers(peers) => {
                self.addresses = peers.iter().map(|(peer, address)| (peer.key, *address)).collect();
                let peers = peers.into_iter().map(|(peer, _)| peer).collect();
                self.handle_event(SwarmEvent::Peers(peers));
            }
        }
    }

    fn handle_event(&mut self, event: SwarmEvent) {
        self.remove_ended(&event);
        self.known.observe(&event);
        let actions = self.planner.handle(self.context.node.now(), event);
        let mut notes: HashMap<PeerKey, Vec<SwarmNote>> = HashMap::new();
        for action in actions {
            match action {
                SwarmAction::SendNote { to, note } => notes.entry(to).or_default().push(note),
                other => self.execute(other),
            }
        }
        notes.into_iter().for_each(|(to, notes)| self.send_notes(to, notes));
        self.state.held.store(self.planner.progress().held.into(), Ordering::Relaxed);
        self.state.known.store(self.known.count(), Ordering::Relaxed);
    }

    fn remove_ended(&mut self, event: &SwarmEvent) {
        match event {
            SwarmEvent::Verified { chunk, source } | SwarmEvent::Failed { chunk, source, .. } => {
                self.fetches.retain(|open, fetch| open != chunk || fetch.source != *source);
            }
            SwarmEvent::RequestCancelled { from, chunk } | SwarmEvent::Sent { to: from, chunk } => {
                self.sessions.remove(&(*from, *chunk));
            }
            _ => {}
        }
    }

    fn execute(&mut self, action: SwarmAction) {
        match action {
            SwarmAction::Fetch { chunk, source } => self.fetch(chunk, source),
            SwarmAction::Cancel { chunk, .. } => {
                self.fetches.remove(&chunk);
            }
            SwarmAction::AcceptGrant { chunk, .. } => self.send_step(chunk, Step::Take(true)),
            SwarmAction::DeferGrant { chunk, .. } => self.send_step(chunk, Step::Pass(true)),
            SwarmAction::ResumeGrant { chunk, .. } => self.send_step(chunk, Step::Resume(true)),
            SwarmAction::Grant { to, chunk } => {
                self.reply_to_request(to, chunk, SessionReply::Granted)
            }
            SwarmAction::Refuse { to, chunk, failure } => {
                self.reply_to_request(to, chunk, SessionReply::Refused(failure));
                self.sessions.remove(&(to, chunk));
            }
            SwarmAction::Complete => self.complete(),
            SwarmAction::SendNote { .. } => {}
        }
    }

    fn complete(&mut self) {
        log::info!("burst: {} is complete", self.location);
        self.state.complete.store(true, Ordering::Relaxed);
    }

    fn send_step(&mut self, chunk: ChunkIndex, step: Step) {
        if let Some(fetch) = self.fetches.get(&chunk) {
            // Sending fails if the fetch has just ended, and the step is then irrelevant.
            let _ = fetch.steps.try_send(step);
        }
    }

    fn reply_to_request(&mut self, to: PeerKey, chunk: ChunkIndex, reply: SessionReply) {
        let session = self.sessions.get(&(to, chunk));
        let delivered = session.is_some_and(|session| session.try_send(reply).is_ok());
        if !delivered && reply == SessionReply::Granted {
            self.sessions.remove(&(to, chunk));
            let event = SwarmEvent::RequestCancelled { from: to, chunk };
            self.queue_input(DriverInput::Event(event));
        }
    }

    fn queue_input(&self, input: DriverInput) {
        let inputs = self.input_sender.clone();
        tokio::spawn(async move {
            // Sending fails if the driver has ended, and the input is then irrelevant.
            let _ = inputs.send(input).await;
        });
    }

    fn fetch(&mut self, chunk: ChunkIndex, source: ChunkSource) {
        let (steps, answers) = mpsc::channel(4);
        let fetch = ChunkFetch {
            context: self.context.clone(),
            manifest: self.manifest.clone(),
            chunk,
            source,
            address: match source {
                ChunkSource::Peer(peer) => self.addresses.get(&peer).copied(),
                ChunkSource::Origin | ChunkSource::Store => None,
            },
            held: self.planner.progress().held,
            inputs: self.input_sender.clone(),
            state: self.state.clone(),
        };
        let task = tokio::spawn(fetch.run(answers));
        let task = AbortOnDrop(task.abort_handle());
        self.fetches.insert(chunk, ActiveFetch { source, steps, _task: task });
    }

    fn send_notes(&self, to: PeerKey, notes: Vec<SwarmNote>) {
        let Some(address) = self.addresses.get(&to).copied() else { return };
        let node = &self.context.node;
        let status = self.planner.status();
        let message = SwarmNotes {
            manifest: Bytes::copy_from_slice(self.manifest.digest().as_bytes()),
            box_id: node.settings.box_id.to_string(),
            notes: notes.iter().map(codec::encode_note).collect(),
            queue: status.queue,
            drawn: status.drawn,
        };
        let inputs = self.input_sender.clone();
        let lost = move || {
            // If the queue is full, the planner detects the unreachable peer by its missing notes.
            let _ = inputs.try_send(DriverInput::Event(SwarmEvent::PeerUnreachable(to)));
        };
        self.context.note_sender.send(address, message, Box::new(lost));
    }
}

/// Key that identifies a box in a transfer.
pub fn peer_key(id: &headlatch_types::id::BoxId) -> PeerKey {
    PeerKey(id.key())
}

/// Decodes the manifest digest of a message; `None` if its length is wrong.
pub fn manifest_digest(bytes: &[u8]) -> Option<Digest> {
    Digest::try_from(bytes).ok()
}
