//! Chunks that this box should import into its domain: offers, and recovery if no offer arrives.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use headlatch_types::ChunkIndex;

use super::{PeerKey, PeerTopology, SwarmTimings};
use crate::time::Moment;

/// Number of chunk transfers to allow for before that of an imported chunk.
const CHUNKS_BEFORE: u32 = 16;

/// A chunk that is missing in this domain although it should be available.
#[derive(Debug, Clone, Copy)]
struct Overdue {
    since: Moment,
    last_sought: Option<Moment>,
}

/// Recovery action for an overdue chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Recovery {
    /// Query other domains.
    Seek(ChunkIndex),
    /// Draw it, even if it is assigned to another box.
    Draw(ChunkIndex),
}

impl Recovery {
    /// The missing chunk.
    pub(super) fn chunk(self) -> ChunkIndex {
        match self {
            Self::Seek(chunk) | Self::Draw(chunk) => chunk,
        }
    }
}

/// Pending offers and overdue chunks.
#[derive(Debug, Clone, Default)]
pub(super) struct ImportTracker {
    offers: BTreeMap<ChunkIndex, VecDeque<PeerKey>>,
    /// For every chunk, the rank of this box within its domain and the rank of the domain. All boxes of
    /// a domain are responsible for a chunk, one after the other, because any number of higher-ranked
    /// boxes may never start.
    assignments: Vec<(ChunkIndex, usize, usize)>,
    overdue: BTreeMap<ChunkIndex, Overdue>,
    /// Boxes that queried a chunk which this box does not hold yet.
    seekers: BTreeMap<ChunkIndex, BTreeSet<PeerKey>>,
}

impl ImportTracker {
    /// Recomputes this box's rank for each chunk.
    pub(super) fn assign(&mut self, topology: &PeerTopology, chunks: u32) {
        let assignment =
            |chunk| (chunk, topology.importer_rank(chunk), topology.domain_rank(chunk));
        self.assignments = (0..chunks).map(ChunkIndex).map(assignment).collect();
    }

    /// Stores an offer.
    pub(super) fn offer(&mut self, chunk: ChunkIndex, from: PeerKey) {
        let offers = self.offers.entry(chunk).or_default();
        if !offers.contains(&from) {
            offers.push_back(from);
        }
    }

    /// Removes and returns the first offer for a chunk that `wanted` accepts.
    pub(super) fn accept(
        &mut self,
        wanted: impl Fn(ChunkIndex) -> bool,
    ) -> Option<(ChunkIndex, PeerKey)> {
        let chunk = self.offers.keys().copied().find(|chunk| wanted(*chunk))?;
        let offers = self.offers.get_mut(&chunk)?;
        let peer = offers.pop_front();
        if offers.is_empty() {
            self.offers.remove(&chunk);
        }
        peer.map(|peer| (chunk, peer))
    }

    pub(super) fn forget(&mut self, from: PeerKey) {
        self.offers.retain(|_, offers| {
            offers.retain(|other| *other != from);
            !offers.is_empty()
        });
    }

    /// Whether there is an offer of the chunk.
    pub(super) fn is_offered(&self, chunk: ChunkIndex) -> bool {
        self.offers.contains_key(&chunk)
    }

    /// Records a query for a chunk that this box does not hold yet.
    pub(super) fn remember_seeker(&mut self, chunk: ChunkIndex, from: PeerKey) {
        self.seekers.entry(chunk).or_default().insert(from);
    }

    /// Clears the state of a chunk that has arrived and returns the boxes that queried it.
    pub(super) fn resolve(&mut self, chunk: ChunkIndex) -> BTreeSet<PeerKey> {
        self.offers.remove(&chunk);
        self.overdue.remove(&chunk);
        self.seekers.remove(&chunk).unwrap_or_default()
    }

    /// Rank of this box among its domain's importers of a chunk, 0 for the first.
    pub(super) fn rank(&self, chunk: ChunkIndex) -> usize {
        self.assignments.get(chunk.0 as usize).map_or(0, |(_, rank, _)| *rank)
    }

    /// Whether a chunk is overdue in this domain.
    pub(super) fn is_overdue(&self, chunk: ChunkIndex) -> bool {
        self.overdue.contains_key(&chunk)
    }

    /// Restarts the waiting time of all overdue chunks after a failed draw, since the origin may also have
    /// failed the boxes to which those chunks are assigned.
    pub(super) fn restart_waits(&mut self, now: Moment) {
        self.overdue.values_mut().for_each(|overdue| overdue.since = now);
    }

    /// Recovery actions that are due for the chunks for which `is_missing` returns true.
    pub(super) fn due_recoveries(
        &mut self,
        now: Moment,
        (chunk_time, redraw_delay): (Duration, Duration),
        timings: SwarmTimings,
        is_missing: impl Fn(ChunkIndex) -> bool,
    ) -> Vec<Recovery> {
        let mut due = Vec::new();
        let others = chunk_time * CHUNKS_BEFORE;
        for (chunk, rank, domain_rank) in &self.assignments {
            if !is_missing(*chunk) {
                self.overdue.remove(chunk);
                continue;
            }
            let fresh = Overdue { since: now, last_sought: None };
            let overdue = self.overdue.entry(*chunk).or_insert(fresh);
            let waited = now.since(overdue.since);
            let own_turn = (timings.rank_timeout + others) * *rank as u32;
            let domain_turn = redraw_delay * (*domain_rank as u32 + 1);
            if waited >= own_turn + others + domain_turn {
                due.push(Recovery::Draw(*chunk));
            } else if waited >= own_turn + others + timings.seek_delay
                && overdue.last_sought.is_none_or(|at| now.since(at) >= timings.seek_interval)
            {
                overdue.last_sought = Some(now);
                due.push(Recovery::Seek(*chunk));
            }
        }
        due
    }
}
