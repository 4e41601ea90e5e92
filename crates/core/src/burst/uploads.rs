//! Requests for chunks that this box sends to others.

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
    since: Moment,
}

/// Requests that wait and chunks that are on their way out.
#[derive(Debug, Clone)]
pub(super) struct UploadQueue {
    waiting: Vec<WaitingAsk>,
    active: Vec<(PeerKey, ChunkIndex)>,
    most_active: usize,
    most_waiting: usize,
}

impl UploadQueue {
    pub(super) fn new(most_active: usize, most_waiting: usize) -> Self {
        Self { waiting: Vec::new(), active: Vec::new(), most_active, most_waiting }
    }

    /// Requests that wait, for others to know.
    pub(super) fn length(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Takes in a request; refuses it if too many wait. Requests from other domains always fit,
    /// since each chunk is imported only once.
    pub(super) fn ask(
        &mut self,
        now: Moment,
        (from, chunk): (PeerKey, ChunkIndex),
        held: u32,
        far: bool,
        actions: &mut Vec<SwarmAction>,
    ) {
        let known = |ask: &WaitingAsk| ask.from == from && ask.chunk == chunk;
        if self.waiting.iter().any(known) || self.active.contains(&(from, chunk)) {
            return;
        }
        let room = self.waiting.len() < self.most_waiting;
        if !room && !(far && self.waiting.len() < self.most_waiting * 4) {
            actions.push(SwarmAction::Refuse { to: from, chunk, failure: FetchFailure::Busy });
            return;
        }
        self.waiting.push(WaitingAsk { from, chunk, held, far, since: now });
    }

    /// Forgets a request, be it waiting or on its way.
    pub(super) fn end(&mut self, from: PeerKey, chunk: ChunkIndex) {
        self.waiting.retain(|ask| ask.from != from || ask.chunk != chunk);
        self.active.retain(|active| *active != (from, chunk));
    }

    /// Forgets everything a box asked for.
    pub(super) fn forget(&mut self, from: PeerKey) {
        self.waiting.retain(|ask| ask.from != from);
        self.active.retain(|(peer, _)| *peer != from);
    }

    /// Grants requests while there is room: other domains first, then the rarest chunk, then the
    /// box that holds least, then the longest wait.
    pub(super) fn grant(&mut self, rarity: impl Fn(ChunkIndex) -> u32, actions: &mut Vec<SwarmAction>) {
        while self.active.len() < self.most_active {
            let busy = |ask: &WaitingAsk| self.active.iter().any(|(peer, _)| *peer == ask.from);
            let order = |ask: &WaitingAsk| {
                (!ask.far, busy(ask), rarity(ask.chunk).min(RARE), ask.held, ask.since)
            };
            let waiting = self.waiting.iter().enumerate();
            let Some((at, _)) = waiting.min_by_key(|(_, ask)| order(ask)) else { return };
            let ask = self.waiting.swap_remove(at);
            self.active.push((ask.from, ask.chunk));
            actions.push(SwarmAction::Grant { to: ask.from, chunk: ask.chunk });
        }
    }
}

/// A chunk with this many copies nearby or more is not rare.
const RARE: u32 = 6;
