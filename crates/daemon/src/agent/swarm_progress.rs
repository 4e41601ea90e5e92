//! Progress of one transfer, shared between its driver and the readers of its handle.

use std::{
    collections::HashMap,
    sync::{
        Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
};

use headlatch_core::burst::{ChunkSet, ChunkSource, FetchFailure, SwarmEvent, SwarmNote};
use headlatch_types::{ChunkIndex, Digest};

/// Progress counters updated by a driver.
#[derive(Debug, Default)]
pub(super) struct SwarmState {
    pub(super) held: AtomicU64,
    pub(super) bytes: AtomicU64,
    pub(super) complete: AtomicBool,
    /// Number of chunks that this box or a peer is known to hold.
    pub(super) known: AtomicU32,
    pub(super) origin_reads: AtomicU64,
    /// Origin reads that could not reach it, since the last one that could.
    pub(super) origin_failures: AtomicU32,
    corrupt: Mutex<CorruptChunks>,
}

/// Chunks that did not match the manifest.
#[derive(Debug, Default)]
struct CorruptChunks {
    /// Digest of the bytes that came last for a chunk.
    last: HashMap<ChunkIndex, Digest>,
    /// The same bytes have come twice for a chunk.
    is_repeated: bool,
}

impl SwarmState {
    fn corrupt(&self) -> MutexGuard<'_, CorruptChunks> {
        self.corrupt.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Records the digest of bytes that do not match the manifest; returns whether the last ones for this
    /// chunk were the same.
    pub(super) fn record_corrupt(&self, chunk: ChunkIndex, found: Digest) -> bool {
        let mut corrupt = self.corrupt();
        let is_repeated = corrupt.last.insert(chunk, found) == Some(found);
        corrupt.is_repeated |= is_repeated;
        is_repeated
    }

    pub(super) fn is_contradicted(&self) -> bool {
        self.corrupt().is_repeated
    }

    pub(super) fn clear_contradictions(&self) {
        *self.corrupt() = CorruptChunks::default();
    }

    /// Counts an origin read. A refusal shows that the origin can be reached.
    pub(super) fn count_origin_read(&self, failure: Option<FetchFailure>) {
        match failure {
            Some(FetchFailure::Unreachable) => {
                self.origin_failures.fetch_add(1, Ordering::Relaxed);
                return;
            }
            Some(_) => {}
            None => {
                self.origin_reads.fetch_add(1, Ordering::Relaxed);
            }
        }
        self.origin_failures.store(0, Ordering::Relaxed);
    }
}

/// The chunks that this box or a peer is known to hold. A peer that dies is not subtracted, since
/// most chunks are held by several.
#[derive(Debug)]
pub(super) struct KnownChunks(ChunkSet);

impl KnownChunks {
    /// Starts with the chunks that this box holds.
    pub(super) fn new(held: ChunkSet) -> Self {
        Self(held)
    }

    /// Number of known chunks.
    pub(super) fn count(&self) -> u32 {
        self.0.count()
    }

    /// Records the chunks that an event reveals.
    pub(super) fn observe(&mut self, event: &SwarmEvent) {
        let mut add = |chunk| {
            self.0.insert(chunk);
        };
        match event {
            SwarmEvent::Verified { chunk, .. }
            | SwarmEvent::Granted { chunk, source: ChunkSource::Peer(_) } => add(*chunk),
            SwarmEvent::Note { note, .. } => match note {
                SwarmNote::Have(chunks) => chunks.iter().copied().for_each(add),
                SwarmNote::Bitfield(chunks) => chunks.iter().for_each(add),
                SwarmNote::Offer(chunk) => add(*chunk),
                SwarmNote::Ticket(_) | SwarmNote::TicketReceived(_) | SwarmNote::Seek(_) => {}
            },
            _ => {}
        }
    }
}
