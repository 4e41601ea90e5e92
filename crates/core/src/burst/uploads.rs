//! Requests for chunks that this box sends to others.

use std::time::Duration;

use headlatch_types::ChunkIndex;

use super::{FetchFailure, PeerKey, SwarmAction};
use crate::time::Moment;

/// One request that waits.
#[derive(Debug, Clone)]
struct UploadRequest {
    from: PeerKey,
    chunk: ChunkIndex,
    held: u32,
    remote: bool,
    /// Its turn came when it had no room; it will say when it has.
    deferred: bool,
    /// When it came, or when it was granted.
    since: Moment,
}

/// Requests that wait and chunks that are on their way out.
#[derive(Debug, Clone)]
pub(super) struct UploadQueue {
    waiting: Vec<UploadRequest>,
    active: Vec<UploadRequest>,
    max_waiting: usize,
}

impl UploadQueue {
    pub(super) fn new(max_waiting: usize) -> Self {
        Self { waiting: Vec::new(), active: Vec::new(), max_waiting }
    }

    /// Requests that wait, for others to know.
    pub(super) fn length(&self) -> u32 {
        self.ready() as u32
    }

    /// Requests whose boxes have room. Those that passed do not count: they would keep out boxes
    /// that have room while this one has nothing to send.
    fn ready(&self) -> usize {
        self.waiting.iter().filter(|request| !request.deferred).count()
    }

    /// Takes in a request; refuses it if too many wait.
    pub(super) fn enqueue(
        &mut self,
        now: Moment,
        (from, chunk): (PeerKey, ChunkIndex),
        held: u32,
        remote: bool,
        actions: &mut Vec<SwarmAction>,
    ) {
        if self.waiting.iter().chain(&self.active).any(|request| request.matches(from, chunk)) {
            return;
        }
        let most = if remote { self.max_waiting * REMOTE_QUEUE_FACTOR } else { self.max_waiting };
        if self.ready() >= most || self.waiting.len() >= most * DEFERRED_QUEUE_FACTOR {
            actions.push(SwarmAction::Refuse { to: from, chunk, failure: FetchFailure::Busy });
            return;
        }
        self.waiting.push(UploadRequest { from, chunk, held, remote, deferred: false, since: now });
    }

    /// Forgets a request, be it waiting or on its way.
    pub(super) fn end(&mut self, from: PeerKey, chunk: ChunkIndex) {
        self.waiting.retain(|request| !request.matches(from, chunk));
        self.active.retain(|request| !request.matches(from, chunk));
    }

    /// Forgets everything a box asked for.
    pub(super) fn forget(&mut self, from: PeerKey) {
        self.waiting.retain(|request| request.from != from);
        self.active.retain(|request| request.from != from);
    }

    /// Forgets chunks that should have gone out long ago: whoever asked does not take them in.
    pub(super) fn expire(&mut self, now: Moment, time: Duration) {
        self.active.retain(|request| now.since(request.since) < time);
    }

    /// The box whose turn had come has no room; its request waits until it has.
    pub(super) fn pass(&mut self, from: PeerKey, chunk: ChunkIndex) {
        let Some(at) = self.active.iter().position(|request| request.matches(from, chunk)) else {
            return;
        };
        let request = self.active.swap_remove(at);
        self.waiting.push(UploadRequest { deferred: true, ..request });
    }

    /// The box has room again.
    pub(super) fn resume(&mut self, from: PeerKey, chunk: ChunkIndex) {
        let request = self.waiting.iter_mut().find(|request| request.matches(from, chunk));
        request.into_iter().for_each(|request| request.deferred = false);
    }

    /// Grants requests until `most` are on their way: other domains first, then boxes that are
    /// not being sent anything, then the rarest chunk, then the box that holds least, then the
    /// longest wait.
    pub(super) fn grant(
        &mut self,
        now: Moment,
        most: usize,
        rarity: impl Fn(ChunkIndex) -> u32,
        actions: &mut Vec<SwarmAction>,
    ) {
        while self.active.len() < most {
            let is_sending = |request: &UploadRequest| {
                self.active.iter().any(|other| other.from == request.from)
            };
            let order = |request: &UploadRequest| {
                (
                    !request.remote,
                    is_sending(request),
                    rarity(request.chunk).min(COMMON_COPIES),
                    request.held,
                    request.since,
                )
            };
            let ready = self.waiting.iter().enumerate().filter(|(_, request)| !request.deferred);
            let Some((at, _)) = ready.min_by_key(|(_, request)| order(request)) else { return };
            let request = UploadRequest { since: now, ..self.waiting.swap_remove(at) };
            actions.push(SwarmAction::Grant { to: request.from, chunk: request.chunk });
            self.active.push(request);
        }
    }
}

impl UploadRequest {
    fn matches(&self, from: PeerKey, chunk: ChunkIndex) -> bool {
        self.from == from && self.chunk == chunk
    }
}

/// How much longer the queue may be with requests that passed.
const DEFERRED_QUEUE_FACTOR: usize = 8;

/// How much longer the queue may be for other domains, since each chunk is imported only once.
const REMOTE_QUEUE_FACTOR: usize = 4;

/// A chunk with this many copies nearby or more is not rare.
const COMMON_COPIES: u32 = 6;
