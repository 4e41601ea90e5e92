//! What this box knows of its neighbours.

use std::{collections::HashMap, time::Duration};

use headlatch_types::ChunkIndex;
use rand::{Rng, rngs::SmallRng};

use super::{ChunkSet, PeerKey, SwarmTimings};
use crate::time::Moment;

/// Corrupt chunks after which a box is not asked again, if it has not sent many good ones.
const MAX_CORRUPT_CHUNKS: u32 = 2;

/// Good chunks that make up for a corrupt one: links spoil a chunk now and then.
const VALID_PER_CORRUPT_CHUNK: u32 = 8;

/// Longest pause after a box proved slow or out of reach, as a multiple of the first.
const MAX_BACKOFF_FACTOR: u32 = 15;

/// Pause after a box said that it is busy.
const BUSY_BACKOFF: Duration = Duration::from_millis(60);

/// With more copies than this, one of them is surely at a box that lives.
const MANY_COPIES: u32 = 4;

#[derive(Debug, Clone)]
struct PeerState {
    key: PeerKey,
    held: ChunkSet,
    /// Chunks asked of it that have not come.
    asked: u32,
    /// Requests that waited at it when it last said so.
    queue: u32,
    last_heard: Moment,
    corrupt_chunks: u32,
    valid_chunks: u32,
    failures: u32,
    paused_until: Moment,
}

impl PeerState {
    /// Whether it can be asked; one that has gone silent would keep the ask from whoever answers.
    fn is_usable(&self, now: Moment, silence: Duration, most_asked: u32, most_load: u32) -> bool {
        !self.is_corrupter()
            && self.paused_until <= now
            && self.is_heard(now, silence)
            && self.asked < most_asked
            && self.load() < most_load
    }

    fn is_heard(&self, now: Moment, silence: Duration) -> bool {
        now.since(self.last_heard) < silence
    }

    fn load(&self) -> u32 {
        self.asked + self.queue
    }

    fn is_corrupter(&self) -> bool {
        self.corrupt_chunks >= MAX_CORRUPT_CHUNKS
            && self.corrupt_chunks * VALID_PER_CORRUPT_CHUNK > self.valid_chunks
    }
}

/// Neighbours, what they hold, and how they have behaved.
#[derive(Debug, Clone)]
pub(super) struct PeerTable {
    chunks: u32,
    /// A box that says nothing for this long may be gone.
    silence: Duration,
    /// First pause after a box proved slow or out of reach; it doubles each time.
    initial_backoff: Duration,
    peers: Vec<PeerState>,
    index: HashMap<PeerKey, usize>,
    /// Neighbours that hold each chunk.
    copies: Vec<u32>,
    /// Boxes known to corrupt chunks, neighbours or not.
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

    /// Takes over a list of neighbours; returns those that are new.
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
            last_heard: Moment::ZERO,
            corrupt_chunks: 0,
            valid_chunks: 0,
            failures: 0,
            paused_until: Moment::ZERO,
        });
    }

    /// Forgets a neighbour.
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

    /// Memory that the table takes, in bytes.
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

    /// Neighbours that hold `chunk`.
    pub(super) fn copies(&self, chunk: ChunkIndex) -> u32 {
        self.copies.get(chunk.0 as usize).copied().unwrap_or(0)
    }

    /// Whether some neighbour that has been heard of lately holds `chunk`.
    ///
    /// What a box held that has gone silent may be out of reach for good.
    pub(super) fn is_held_nearby(&self, now: Moment, chunk: ChunkIndex) -> bool {
        let copies = self.copies(chunk);
        if copies == 0 || copies > MANY_COPIES {
            return copies > 0;
        }
        let holds =
            |peer: &PeerState| peer.held.contains(chunk) && peer.is_heard(now, self.silence);
        self.peers.iter().any(holds)
    }

    /// A box has said something, with the length of its queue; one that was silent is back.
    pub(super) fn note_message(&mut self, now: Moment, key: PeerKey, queue: u32) {
        let silence = self.silence;
        if let Some(peer) = self.get_mut(key) {
            if !peer.is_heard(now, silence) {
                peer.failures = 0;
                peer.paused_until = now;
            }
            peer.queue = queue;
            peer.last_heard = now;
        }
    }

    /// Whether a box has said something lately; all say something every few seconds.
    pub(super) fn is_heard(&self, now: Moment, key: PeerKey) -> bool {
        let peer = self.index.get(&key).map(|at| &self.peers[*at]);
        peer.is_some_and(|peer| peer.is_heard(now, self.silence))
    }

    /// A neighbour holds one more chunk.
    pub(super) fn add_chunk(&mut self, key: PeerKey, chunk: ChunkIndex) {
        let Some(peer) = self.get_mut(key) else { return };
        if !peer.is_corrupter() && peer.held.insert(chunk) {
            self.copies[chunk.0 as usize] += 1;
        }
    }

    /// A neighbour turns out not to hold a chunk.
    pub(super) fn drop_chunk(&mut self, key: PeerKey, chunk: ChunkIndex) {
        let Some(peer) = self.get_mut(key) else { return };
        if peer.held.remove(chunk) {
            self.copies[chunk.0 as usize] -= 1;
        }
    }

    /// Chunks asked of a box and requests of others that wait there.
    pub(super) fn load(&self, key: PeerKey) -> u32 {
        self.index.get(&key).map_or(0, |at| self.peers[*at].load())
    }

    /// Whether a box can be asked and has nothing to send, as far as is known.
    pub(super) fn is_idle(&self, now: Moment, key: PeerKey) -> bool {
        let peer = self.index.get(&key).map(|at| &self.peers[*at]);
        peer.is_some_and(|peer| peer.is_usable(now, self.silence, 1, 1))
    }

    /// Whether a neighbour holds a chunk.
    pub(super) fn holds(&self, key: PeerKey, chunk: ChunkIndex) -> bool {
        self.index.get(&key).is_some_and(|at| self.peers[*at].held.contains(chunk))
    }

    /// A chunk was asked of a box.
    pub(super) fn note_request(&mut self, key: PeerKey) {
        if let Some(peer) = self.get_mut(key) {
            peer.asked += 1;
        }
    }

    /// A request to a box has ended.
    pub(super) fn note_request_end(&mut self, key: PeerKey) {
        if let Some(peer) = self.get_mut(key) {
            peer.asked = peer.asked.saturating_sub(1);
        }
    }

    /// A box has sent a good chunk.
    pub(super) fn note_valid_chunk(&mut self, key: PeerKey) {
        if let Some(peer) = self.get_mut(key) {
            peer.failures = 0;
            peer.valid_chunks += 1;
        }
    }

    /// A box is busy; it is left alone for a moment.
    pub(super) fn note_busy(&mut self, now: Moment, key: PeerKey) {
        if let Some(peer) = self.get_mut(key) {
            peer.paused_until = now + BUSY_BACKOFF;
        }
    }

    /// A box is slow or out of reach; it is left alone for longer each time.
    pub(super) fn note_failure(&mut self, now: Moment, key: PeerKey) {
        let first = self.initial_backoff;
        if let Some(peer) = self.get_mut(key) {
            // What fails while it is left alone anyway is the same trouble.
            if peer.paused_until > now {
                return;
            }
            let pause = first.saturating_mul((1 << peer.failures.min(4)).min(MAX_BACKOFF_FACTOR));
            peer.failures += 1;
            peer.paused_until = now + pause;
        }
    }

    /// A box has sent corrupt bytes; after a few it is not believed any more.
    pub(super) fn note_corrupt(&mut self, key: PeerKey) {
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

    /// Whether a box is known to corrupt chunks.
    pub(super) fn is_corrupter(&self, key: PeerKey) -> bool {
        self.corrupters.contains(&key)
    }

    /// Chunks held by neighbours that can be asked now, as a field of words.
    pub(super) fn available(&self, now: Moment, limits: AskLimits) -> Vec<u64> {
        let mut union = Vec::new();
        self.peers
            .iter()
            .filter(|peer| peer.is_usable(now, self.silence, limits.asked, limits.load))
            .for_each(|peer| peer.held.add_to(&mut union));
        union
    }

    /// The least busy neighbour that holds `chunk` and can be asked now.
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

/// How much one box may ask of another.
#[derive(Debug, Clone, Copy)]
pub(super) struct AskLimits {
    /// Most chunks asked of one box at a time.
    pub(super) asked: u32,
    /// Longest queue that a request is added to.
    pub(super) load: u32,
}
