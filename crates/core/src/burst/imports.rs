//! Chunks that this box should bring into its domain: offers, and what to do when none comes.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use headlatch_types::ChunkIndex;

use super::{PeerKey, SeatMap, SwarmPace};
use crate::time::Moment;

/// Chunks that may have to go out before one that is to be imported.
const CHUNKS_BEFORE: u32 = 16;

/// A chunk that its domain lacks although others should have it.
#[derive(Debug, Clone, Copy)]
struct Overdue {
    since: Moment,
    sought: Option<Moment>,
}

/// What is to be done about an overdue chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Remedy {
    /// Ask other domains.
    Seek(ChunkIndex),
    /// Draw it, whoever should have.
    Draw(ChunkIndex),
}

impl Remedy {
    /// The chunk that is lacking.
    pub(super) fn chunk(self) -> ChunkIndex {
        match self {
            Self::Seek(chunk) | Self::Draw(chunk) => chunk,
        }
    }
}

/// Offers at hand and chunks overdue.
#[derive(Debug, Clone, Default)]
pub(super) struct ImportDesk {
    offers: BTreeMap<ChunkIndex, VecDeque<PeerKey>>,
    /// This box's rank for every chunk, and its domain's. All boxes of a domain answer for a chunk,
    /// one after the other: any number of those before this one may never begin.
    duties: Vec<(ChunkIndex, usize, usize)>,
    overdue: BTreeMap<ChunkIndex, Overdue>,
    /// Boxes that look for a chunk which this box does not hold yet.
    seekers: BTreeMap<ChunkIndex, BTreeSet<PeerKey>>,
}

impl ImportDesk {
    /// Works out anew after how many others this box answers for each chunk.
    pub(super) fn assign(&mut self, seats: &SeatMap, chunks: u32) {
        let duty = |chunk| (chunk, seats.importer_rank(chunk), seats.domain_rank(chunk));
        self.duties = (0..chunks).map(ChunkIndex).map(duty).collect();
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
    pub(super) fn settle(&mut self, chunk: ChunkIndex) -> BTreeSet<PeerKey> {
        self.offers.remove(&chunk);
        self.overdue.remove(&chunk);
        self.seekers.remove(&chunk).unwrap_or_default()
    }

    /// After how many others of its domain this box answers for a chunk.
    pub(super) fn rank(&self, chunk: ChunkIndex) -> usize {
        self.duties.get(chunk.0 as usize).map_or(0, |(_, rank, _)| *rank)
    }

    /// Whether a chunk is lacking although others should have it.
    pub(super) fn is_overdue(&self, chunk: ChunkIndex) -> bool {
        self.overdue.contains_key(&chunk)
    }

    /// Counts the time for which chunks are lacking anew: the origin has failed this box, and may have
    /// failed those that should have drawn them.
    pub(super) fn wait_anew(&mut self, now: Moment) {
        self.overdue.values_mut().for_each(|overdue| overdue.since = now);
    }

    /// Remedies that are due, for chunks that `lacking` reports as overdue in this domain.
    pub(super) fn remedies(
        &mut self,
        now: Moment,
        (chunk_time, draw_patience): (Duration, Duration),
        pace: SwarmPace,
        lacking: impl Fn(ChunkIndex) -> bool,
    ) -> Vec<Remedy> {
        let mut due = Vec::new();
        let others = chunk_time * CHUNKS_BEFORE;
        for (chunk, rank, domain_rank) in &self.duties {
            if !lacking(*chunk) {
                self.overdue.remove(chunk);
                continue;
            }
            let fresh = Overdue { since: now, sought: None };
            let overdue = self.overdue.entry(*chunk).or_insert(fresh);
            let waited = now.since(overdue.since);
            let own_turn = (pace.rank_patience + others) * *rank as u32;
            let domain_turn = draw_patience * (*domain_rank as u32 + 1);
            if waited >= own_turn + others + domain_turn {
                due.push(Remedy::Draw(*chunk));
            } else if waited >= own_turn + others + pace.seek_patience
                && overdue.sought.is_none_or(|at| now.since(at) >= pace.seek_pause)
            {
                overdue.sought = Some(now);
                due.push(Remedy::Seek(*chunk));
            }
        }
        due
    }
}
