//! State of neighbouring boxes: held chunks, load and failures.

use std::{collections::HashMap, time::Duration};

use headlatch_types::ChunkIndex;
use rand::{Rng, rngs::SmallRng};

use super::{ChunkSet, PeerKey, SwarmTimings};
use crate::time::Moment;

/// Number of corrupt chunks after which a box is excluded, unless offset by valid ones.
const MAX_CORRUPT_CHUNKS: u32 = 2;

/// Number of valid chunks that offset a corrupt one, since links occasionally corrupt a chunk.
const VALID_PER_CORRUPT_CHUNK: u32 = 8;

/// Maximum backoff after failures, as a multiple of the initial backoff.
const MAX_BACKOFF_FACTOR: u32 = 15;

/// Backoff after a box reported that it is busy.
const BUSY_BACKOFF: Duration = Duration::from_millis(60);

/// With more copies than this, at least one holder is assumed to be alive.
const MANY_COPIES: u32 = 4;

#[derive(Debug, Clone)]
struct PeerState {
    key: PeerKey,
    held: ChunkSet,
    /// Outstanding requests to this peer.
    asked: u32,
    /// Queue length that it last reported.
    queue: u32,
    last_message: Moment,
    corrupt_chunks: u32,
    valid_chunks: u32,
    failures: u32,
    paused_until: Moment,
}

impl PeerState {
    /// Whether it can serve a request. A silent peer is excluded: it would hold a request that another
    /// peer could answer.
    fn is_usable(&self, now: Moment, silence: Duration, most_asked: u32, most_load: u32) -> bool {
        !self.is_corrupter()
            && self.paused_until <= now
            && self.is_responsive(now, silence)
            && self.asked < most_asked
            && self.load() < most_load
    }

    fn is_responsive(&self, now: Moment, silence: Duration) -> bool {
        now.since(self.last_message) < silence
    }

    fn load(&self) -> u32 {
        self.asked + self.queue
    }

    fn is_corrupter(&self) -> bool {
        self.corrupt_chunks >= MAX_CORRUPT_CHUNKS
            && self.corrupt_chunks * VALID_PER_CORRUPT_CHUNK > self.valid_chunks
    }
}

/// Neighbours with their chunks, load and failure history.
#[derive(Debug, Clone)]
pub(super) struct PeerTable {
    chunks: u32,
    /// A box not heard from for this long is presumed gone.
    silence: Duration,
    /// Initial backoff after a box was slow or unreachable; doubles with each failure.
    initial_backoff: Duration,
    peers: Vec<PeerState>,
    index: HashMap<PeerKey, usize>,
    /// Number of neighbours that hold each chunk.
    copies: Vec<u32>,
    /// Boxes excluded for corrupt chunks, including ones that are not neighbours.
    corrupters: Vec<PeerKey>,
}

impl PeerTable {
    pub(super) fn new(chunks: u32, timings: SwarmTimings) -> Self {
        Self {
            chunks,
            silence: timings.silence_timeout,
            initial_backoff: timings.initial_backoff,
            peers: Vec::new(),
            index: HashMap::new(),
            copies: vec![0; chunks as usize],
            corrupters: Vec::new(),
        }
    }

    /// Replaces the list of neighbours and returns the new ones.
    pub(super) fn replace(&mut self, neighbours: &[PeerKey]) -> Vec<PeerKey> {
        let gone = |peer: &PeerState| !neighbours.contains(&peer.key);
        let leaving: Vec<PeerKey> =
            self.peers.iter().filter(|peer| gone(peer)).map(|peer| peer.key).collect();
        leaving.into_iter().for_each(|key| self.remove(key));
        let is_new = |key: &&PeerKey| !self.index.contains_key(key);
        let new: Vec<PeerKey> = neighbours.iter().filter(is_new).copied().collect();
        new.iter().for_each(|key| self.add(*key));
        new
    }

    fn add(&mut self, key: PeerKey) {
        self.index.insert(key, self.peers.len());
        self.peers.push(PeerState {
            key,
            held: ChunkSet::new(self.chunks),
            asked: 0,
            queue: 0,
            last_message: Moment::ZERO,
            corrupt_chunks: 0,
            valid_chunks: 0,
            failures: 0,
            paused_until: Moment::ZERO,
        });
    }

    pub(super) fn remove(&mut self, key: PeerKey) {
        let Some(at) = self.index.remove(&key) else { return };
        let gone = self.peers.swap_remove(at);
        gone.held.iter().for_each(|chunk| self.copies[chunk.0 as usize] -= 1);
        if let Some(moved) = self.peers.get(at) {
            self.index.insert(moved.key, at);
        }
    }

    fn get_mut(&mut self, key: PeerKey) -> Option<&mut PeerState> {
        self.index.get(&key).map(|at| &mut self.peers[*at])
    }

    /// Approximate memory use in bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        let peer = |peer: &PeerState| size_of::<PeerState>() + peer.held.memory_bytes();
        let index = self.index.len() * size_of::<(PeerKey, usize)>();
        self.peers.iter().map(peer).sum::<usize>() + index + self.copies.len() * size_of::<u32>()
    }

    /// Whether a box is a neighbour.
    pub(super) fn contains(&self, key: PeerKey) -> bool {
        self.index.contains_key(&key)
    }

    /// Keys of all neighbours.
    pub(super) fn keys(&self) -> impl Iterator<Item = PeerKey> + '_ {
        self.peers.iter().map(|peer| peer.key)
    }

    /// Number of neighbours that hold `chunk`.
    pub(super) fn copies(&self, chunk: ChunkIndex) -> u32 {
        self.copies.get(chunk.0 as usize).copied().unwrap_or(0)
    }

    /// Whether a neighbour that was heard from recently holds `chunk`.
    ///
    /// Chunks of silent neighbours do not count, since they may be permanently unreachable.
    pub(super) fn is_held_nearby(&self, now: Moment, chunk: ChunkIndex) -> bool {
        let copies = self.copies(chunk);
        if copies == 0 || copies > MANY_COPIES {
            return copies > 0;
        }
        let holds =
            |peer: &PeerState| peer.held.contains(chunk) && peer.is_responsive(now, self.silence);
        self.peers.iter().any(holds)
    }

    /// Records a message with the sender's queue length. Clears the backoff of a sender that was silent.
    pub(super) fn record_message(&mut self, now: Moment, key: PeerKey, queue: u32) {
        let silence = self.silence;
        if let Some(peer) = self.get_mut(key) {
            if !peer.is_responsive(now, silence) {
                peer.failures = 0;
                peer.paused_until = now;
            }
            peer.queue = queue;
            peer.last_message = now;
        }
    }

    /// Whether a box was heard from within the silence timeout; all send notes every few seconds.
    pub(super) fn is_responsive(&self, now: Moment, key: PeerKey) -> bool {
        let peer = self.index.get(&key).map(|at| &self.peers[*at]);
        peer.is_some_and(|peer| peer.is_responsive(now, self.silence))
    }

    /// Records that a neighbour holds a chunk.
    pub(super) fn add_chunk(&mut self, key: PeerKey, chunk: ChunkIndex) {
        let Some(peer) = self.get_mut(key) else { return };
        if !peer.is_corrupter() && peer.held.insert(chunk) {
            self.copies[chunk.0 as usize] += 1;
        }
    }

    /// Records that a neighbour does not hold a chunk.
    pub(super) fn drop_chunk(&mut self, key: PeerKey, chunk: ChunkIndex) {
        let Some(peer) = self.get_mut(key) else { return };
        if peer.held.remove(chunk) {
            self.copies[chunk.0 as usize] -= 1;
        }
    }

    /// Outstanding requests to a box plus the queue length that it reported.
    pub(super) fn load(&self, key: PeerKey) -> u32 {
        self.index.get(&key).map_or(0, |at| self.peers[*at].load())
    }

    /// Whether a box can serve a request and has no load, as far as is known.
    pub(super) fn is_idle(&self, now: Moment, key: PeerKey) -> bool {
        let peer = self.index.get(&key).map(|at| &self.peers[*at]);
        peer.is_some_and(|peer| peer.is_usable(now, self.silence, 1, 1))
    }

    pub(super) fn holds(&self, key: PeerKey, chunk: ChunkIndex) -> bool {
        self.index.get(&key).is_some_and(|at| self.peers[*at].held.contains(chunk))
    }

    pub(super) fn record_request(&mut self, key: PeerKey) {
        if let Some(peer) = self.get_mut(key) {
            peer.asked += 1;
        }
    }

    pub(super) fn record_request_end(&mut self, key: PeerKey) {
        if let Some(peer) = self.get_mut(key) {
            peer.asked = peer.asked.saturating_sub(1);
        }
    }

    pub(super) fn record_valid_chunk(&mut self, key: PeerKey) {
        if let Some(peer) = self.get_mut(key) {
            peer.failures = 0;
            peer.valid_chunks += 1;
        }
    }

    /// Backs off briefly from a busy box.
    pub(super) fn record_busy(&mut self, now: Moment, key: PeerKey) {
        if let Some(peer) = self.get_mut(key) {
            peer.paused_until = now + BUSY_BACKOFF;
        }
    }

    /// Backs off from a slow or unreachable box, for longer with each failure.
    pub(super) fn record_failure(&mut self, now: Moment, key: PeerKey) {
        let first = self.initial_backoff;
        if let Some(peer) = self.get_mut(key) {
            // Failures during the backoff belong to the failure that caused it.
            if peer.paused_until > now {
                return;
            }
            let pause = first.saturating_mul((1 << peer.failures.min(4)).min(MAX_BACKOFF_FACTOR));
            peer.failures += 1;
            peer.paused_until = now + pause;
        }
    }

    /// Records a corrupt chunk from a box, which is excluded after several. A box that is not a
    /// neighbour has no record of valid chunks and is excluded at once.
    pub(super) fn record_corrupt_chunk(&mut self, key: PeerKey) {
        let Some(at) = self.index.get(&key).copied() else {
            self.corrupters.push(key);
            return;
        };
        let peer = &mut self.peers[at];
        peer.corrupt_chunks += 1;
        if !peer.is_corrupter() {
            return;
        }
        let held = std::mem::replace(&mut peer.held, ChunkSet::new(self.chunks));
        held.iter().for_each(|chunk| self.copies[chunk.0 as usize] -= 1);
        self.corrupters.push(key);
    }

    /// Whether a box is excluded for corrupt chunks.
    pub(super) fn is_corrupter(&self, key: PeerKey) -> bool {
        self.corrupters.contains(&key)
    }

    /// Chunks held by neighbours that can serve a request now, as the words of a bitfield.
    pub(super) fn available(&self, now: Moment, limits: AskLimits) -> Vec<u64> {
        let mut union = Vec::new();
        self.peers
            .iter()
            .filter(|peer| peer.is_usable(now, self.silence, limits.asked, limits.load))
            .for_each(|peer| peer.held.add_to(&mut union));
        union
    }

    /// The least loaded neighbour that holds `chunk` and can serve a request now.
    pub(super) fn pick(
        &self,
        now: Moment,
        chunk: ChunkIndex,
        limits: AskLimits,
        rng: &mut SmallRng,
    ) -> Option<PeerKey> {
        self.peers
            .iter()
            .filter(|peer| peer.is_usable(now, self.silence, limits.asked, limits.load))
            .filter(|peer| peer.held.contains(chunk))
            .min_by_key(|peer| (peer.load(), rng.random::<u32>()))
            .map(|peer| peer.key)
    }
}

/// Limits on requests to one box.
#[derive(Debug, Clone, Copy)]
pub(super) struct AskLimits {
    /// A box with this many outstanding requests gets no further ones.
    pub(super) asked: u32,
    /// A box with this much load gets no further requests.
    pub(super) load: u32,
}
