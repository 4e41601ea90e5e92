//! Requests for chunks that this box sends to others.

use std::time::Duration;

use headlatch_types::ChunkIndex;

use super::{FetchFailure, PeerKey, SwarmAction};
use crate::time::Moment;

/// One request that waits.
#[derive(Debug, Clone)]
struct WaitingAsk {
    from: PeerKey,
    chunk: ChunkIndex,
    held: u32,
    far: bool,
    /// Its turn came when it had no room; it will say when it has.
    passed: bool,
    /// When it came, or when it was granted.
    since: Moment,
}

/// Requests that wait and chunks that are on their way out.
#[derive(Debug, Clone)]
pub(super) struct UploadQueue {
    waiting: Vec<WaitingAsk>,
    active: Vec<WaitingAsk>,
    most_waiting: usize,
}

impl UploadQueue {
    pub(super) fn new(most_waiting: usize) -> Self {
        Self { waiting: Vec::new(), active: Vec::new(), most_waiting }
    }

    /// Requests that wait, for others to know.
    pub(super) fn length(&self) -> u32 {
        self.ready() as u32
    }

    /// Requests whose boxes have room. Those that passed do not count: they would keep out boxes
    /// that have room while this one has nothing to send.
    fn ready(&self) -> usize {
        self.waiting.iter().filter(|ask| !ask.passed).count()
    }

    /// Takes in a request; refuses it if too many wait.
    pub(super) fn ask(
        &mut self,
        now: Moment,
        (from, chunk): (PeerKey, ChunkIndex),
        held: u32,
        far: bool,
        actions: &mut Vec<SwarmAction>,
    ) {
        if self.waiting.iter().chain(&self.active).any(|ask| ask.is(from, chunk)) {
            return;
        }
        let most = if far { self.most_waiting * FAR_ROOM } else { self.most_waiting };
        if self.ready() >= most || self.waiting.len() >= most * PASSED_ROOM {
            actions.push(SwarmAction::Refuse { to: from, chunk, failure: FetchFailure::Busy });
            return;
        }
        self.waiting.push(WaitingAsk { from, chunk, held, far, passed: false, since: now });
    }

    /// Forgets a request, be it waiting or on its way.
    pub(super) fn end(&mut self, from: PeerKey, chunk: ChunkIndex) {
        self.waiting.retain(|ask| !ask.is(from, chunk));
        self.active.retain(|ask| !ask.is(from, chunk));
    }

    /// Forgets everything a box asked for.
    pub(super) fn forget(&mut self, from: PeerKey) {
        self.waiting.retain(|ask| ask.from != from);
        self.active.retain(|ask| ask.from != from);
    }

    /// Forgets chunks that should have gone out long ago: whoever asked does not take them in.
    pub(super) fn expire(&mut self, now: Moment, time: Duration) {
        self.active.retain(|ask| now.since(ask.since) < time);
    }

    /// The box whose turn had come has no room; its request waits until it has.
    pub(super) fn pass(&mut self, from: PeerKey, chunk: ChunkIndex) {
        let Some(at) = self.active.iter().position(|ask| ask.is(from, chunk)) else { return };
        let ask = self.active.swap_remove(at);
        self.waiting.push(WaitingAsk { passed: true, ..ask });
    }

    /// The box has room again.
    pub(super) fn resume(&mut self, from: PeerKey, chunk: ChunkIndex) {
        let ask = self.waiting.iter_mut().find(|ask| ask.is(from, chunk));
        ask.into_iter().for_each(|ask| ask.passed = false);
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
            let busy = |ask: &WaitingAsk| self.active.iter().any(|other| other.from == ask.from);
            let order = |ask: &WaitingAsk| {
                (!ask.far, busy(ask), rarity(ask.chunk).min(RARE), ask.held, ask.since)
            };
            let ready = self.waiting.iter().enumerate().filter(|(_, ask)| !ask.passed);
            let Some((at, _)) = ready.min_by_key(|(_, ask)| order(ask)) else { return };
            let ask = WaitingAsk { since: now, ..self.waiting.swap_remove(at) };
            actions.push(SwarmAction::Grant { to: ask.from, chunk: ask.chunk });
            self.active.push(ask);
        }
    }
}

impl WaitingAsk {
    fn is(&self, from: PeerKey, chunk: ChunkIndex) -> bool {
        self.from == from && self.chunk == chunk
    }
}

/// How much longer the queue may be with requests that passed.
const PASSED_ROOM: usize = 8;

/// How much longer the queue may be for other domains, since each chunk is imported only once.
const FAR_ROOM: usize = 4;

/// A chunk with this many copies nearby or more is not rare.
const RARE: u32 = 6;
