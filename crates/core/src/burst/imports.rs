//! Chunks that this box should bring into its domain: offers, and what to do when none comes.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use headlatch_types::ChunkIndex;

use super::{PeerKey, PeerTopology, SwarmTimings};
use crate::time::Moment;

/// Chunks that may have to go out before one that is to be imported.
const CHUNKS_BEFORE: u32 = 16;

/// A chunk that its domain lacks although others should have it.
#[derive(Debug, Clone, Copy)]
struct Overdue {
    since: Moment,
    last_sought: Option<Moment>,
}

/// What is to be done about an overdue chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Recovery {
    /// Ask other domains.
    Seek(ChunkIndex),
    /// Draw it, whoever should have.
    Draw(ChunkIndex),
}

impl Recovery {
    /// The chunk that is lacking.
    pub(super) fn chunk(self) -> ChunkIndex {
        match self {
            Self::Seek(chunk) | Self::Draw(chunk) => chunk,
        }
    }
}

/// Offers at hand and chunks overdue.
#[derive(Debug, Clone, Default)]
pub(super) struct ImportTracker {
    offers: BTreeMap<ChunkIndex, VecDeque<PeerKey>>,
    /// This box's rank for every chunk, and its domain's. All boxes of a domain answer for a chunk,
    /// one after the other: any number of those before this one may never begin.
    assignments: Vec<(ChunkIndex, usize, usize)>,
    overdue: BTreeMap<ChunkIndex, Overdue>,
    /// Boxes that look for a chunk which this box does not hold yet.
    seekers: BTreeMap<ChunkIndex, BTreeSet<PeerKey>>,
}

impl ImportTracker {
    /// Works out anew after how many others this box answers for each chunk.
    pub(super) fn assign(&mut self, topology: &PeerTopology, chunks: u32) {
        let assignment =
            |chunk| (chunk, topology.importer_rank(chunk), topology.domain_rank(chunk));
        self.assignments = (0..chunks).map(ChunkIndex).map(assignment).collect();
    }

    /// Takes in an offer.
    pub(super) fn offer(&mut self, chunk: ChunkIndex, from: PeerKey) {
        let offers = self.offers.entry(chunk).or_default();
        if !offers.contains(&from) {
            offers.push_back(from);
        }
    }

    /// The first offer for a chunk that `wanted` accepts.
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

    /// Drops every offer of a box.
    pub(super) fn forget(&mut self, from: PeerKey) {
        self.offers.retain(|_, offers| {
            offers.retain(|other| *other != from);
            !offers.is_empty()
        });
    }

    /// Whether anyone has offered the chunk.
    pub(super) fn is_offered(&self, chunk: ChunkIndex) -> bool {
        self.offers.contains_key(&chunk)
    }

    /// A box looks for a chunk that is not here yet.
    pub(super) fn remember_seeker(&mut self, chunk: ChunkIndex, from: PeerKey) {
        self.seekers.entry(chunk).or_default().insert(from);
    }

    /// The chunk has come: forgets it and returns who was looking for it.
    pub(super) fn resolve(&mut self, chunk: ChunkIndex) -> BTreeSet<PeerKey> {
        self.offers.remove(&chunk);
        self.overdue.remove(&chunk);
        self.seekers.remove(&chunk).unwrap_or_default()
    }

    /// After how many others of its domain this box answers for a chunk.
    pub(super) fn rank(&self, chunk: ChunkIndex) -> usize {
        self.assignments.get(chunk.0 as usize).map_or(0, |(_, rank, _)| *rank)
    }

    /// Whether a chunk is lacking although others should have it.
    pub(super) fn is_overdue(&self, chunk: ChunkIndex) -> bool {
        self.overdue.contains_key(&chunk)
    }

    /// Counts the time for which chunks are lacking anew: the origin has failed this box, and may have
    /// failed those that should have drawn them.
    pub(super) fn restart_waits(&mut self, now: Moment) {
        self.overdue.values_mut().for_each(|overdue| overdue.since = now);
    }

    /// Remedies that are due, for chunks that `lacking` reports as overdue in this domain.
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
