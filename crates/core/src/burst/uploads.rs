//! Queue of chunk requests from other boxes.

use std::time::Duration;

use headlatch_types::ChunkIndex;

use super::{FetchFailure, PeerKey, SwarmAction};
use crate::time::Moment;

/// A queued or active request.
#[derive(Debug, Clone)]
struct UploadRequest {
    from: PeerKey,
    chunk: ChunkIndex,
    held: u32,
    remote: bool,
    /// Whether the requesting box deferred a grant and has not resumed it.
    deferred: bool,
    /// Time of arrival, or of the grant.
    since: Moment,
}

/// Queued requests and uploads in progress.
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

    /// Queue length to report to other boxes.
    pub(super) fn length(&self) -> u32 {
        self.ready() as u32
    }

    /// Number of requests that can be granted. Deferred requests do not count: they would block requests
    /// that can be served immediately while this box is idle.
    fn ready(&self) -> usize {
        self.waiting.iter().filter(|request| !request.deferred).count()
    }

    /// Queues a request, or refuses it if the queue is full.
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

    /// Removes a queued or active request.
    pub(super) fn end(&mut self, from: PeerKey, chunk: ChunkIndex) {
        self.waiting.retain(|request| !request.matches(from, chunk));
        self.active.retain(|request| !request.matches(from, chunk));
    }

    /// Removes all requests of a box.
    pub(super) fn forget(&mut self, from: PeerKey) {
        self.waiting.retain(|request| request.from != from);
        self.active.retain(|request| request.from != from);
    }

    /// Removes uploads older than `time`, whose receivers have stopped accepting them.
    pub(super) fn expire(&mut self, now: Moment, time: Duration) {
        self.active.retain(|request| now.since(request.since) < time);
    }

    /// Returns a granted request to the queue until the requesting box resumes it.
    pub(super) fn pass(&mut self, from: PeerKey, chunk: ChunkIndex) {
        let Some(at) = self.active.iter().position(|request| request.matches(from, chunk)) else {
            return;
        };
        let request = self.active.swap_remove(at);
        self.waiting.push(UploadRequest { deferred: true, ..request });
    }

    /// Makes a deferred request eligible again.
    pub(super) fn resume(&mut self, from: PeerKey, chunk: ChunkIndex) {
        let request = self.waiting.iter_mut().find(|request| request.matches(from, chunk));
        request.into_iter().for_each(|request| request.deferred = false);
    }

    /// Grants requests until `most` uploads are active. Order: other domains first, then boxes without
    /// an active upload, then the rarest chunk, then the box with the fewest chunks, then the longest
    /// wait.
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

/// Factor by which the queue may exceed its limit when it includes deferred requests.
const DEFERRED_QUEUE_FACTOR: usize = 8;

/// Factor by which the queue limit is larger for other domains, since each chunk is imported only once.
const REMOTE_QUEUE_FACTOR: usize = 4;

/// Number of copies among neighbours from which chunks are equally common when ordering grants.
const COMMON_COPIES: u32 = 6;
