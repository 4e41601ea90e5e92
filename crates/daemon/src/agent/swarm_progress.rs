//! Progress of one transfer, shared between its driver and the readers of its handle.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};

use headlatch_core::burst::{ChunkSet, ChunkSource, FetchFailure, SwarmEvent, SwarmNote};

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
}

impl SwarmState {
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
