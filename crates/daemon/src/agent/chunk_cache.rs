//! A bounded in-memory cache of verified chunks, keyed by digest.

use std::{
    collections::{HashMap, HashSet},
    sync::{Mutex, MutexGuard},
};

use bytes::Bytes;
use headlatch_types::{ChunkIndex, Digest, Manifest, digest::DigestKind, quantity::ByteSize};

/// A chunk does not fit in the memory limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("chunk_memory is full; raise it in the settings to hold a whole version")]
pub struct ChunkCacheFull;

#[derive(Debug, Default)]
struct ChunkCacheState {
    chunks: HashMap<Digest, Bytes>,
    used: u64,
}

/// Chunks held by this box; each is verified against its digest before it is stored.
#[derive(Debug)]
pub struct ChunkCache {
    state: Mutex<ChunkCacheState>,
    limit: ByteSize,
}

impl ChunkCache {
    /// An empty cache that holds at most `limit`.
    pub fn new(limit: ByteSize) -> Self {
        Self { state: Mutex::default(), limit }
    }

    fn lock(&self) -> MutexGuard<'_, ChunkCacheState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Memory limit.
    pub fn limit(&self) -> ByteSize {
        self.limit
    }

    /// Total size of the held chunks.
    pub fn used(&self) -> ByteSize {
        ByteSize::from_bytes(self.lock().used)
    }

    /// Stores a chunk if `data` matches `digest`; `None` if it does not match.
    pub fn put(
        &self,
        kind: DigestKind,
        digest: Digest,
        data: Bytes,
    ) -> Option<Result<(), ChunkCacheFull>> {
        if kind.of(&data) != digest {
            return None;
        }
        let mut state = self.lock();
        if state.chunks.contains_key(&digest) {
            return Some(Ok(()));
        }
        if state.used + data.len() as u64 > self.limit.bytes() {
            return Some(Err(ChunkCacheFull));
        }
        state.used += data.len() as u64;
        state.chunks.insert(digest, data);
        Some(Ok(()))
    }

    /// The chunk with this digest, if held.
    pub fn get(&self, digest: &Digest) -> Option<Bytes> {
        self.lock().chunks.get(digest).cloned()
    }

    /// Indexes of the manifest's chunks that are held.
    pub fn held(&self, manifest: &Manifest) -> Vec<ChunkIndex> {
        let state = self.lock();
        let chunks = manifest.chunks().iter().zip(0u32..);
        chunks
            .filter(|(place, _)| state.chunks.contains_key(&place.digest))
            .map(|(_, index)| ChunkIndex(index))
            .collect()
    }

    /// Drops every chunk that no manifest in `wanted` lists.
    pub fn retain<'a>(&self, wanted: impl Iterator<Item = &'a Manifest>) {
        let digests: HashSet<Digest> =
            wanted.flat_map(|one| one.chunks()).map(|place| place.digest).collect();
        let mut state = self.lock();
        state.chunks.retain(|digest, _| digests.contains(digest));
        state.used = state.chunks.values().map(|data| data.len() as u64).sum();
    }
}
