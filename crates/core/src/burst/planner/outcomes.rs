//! What a planner does when a fetch has brought its chunk or has failed.

use headlatch_types::ChunkIndex;

use super::SwarmPlanner;
use crate::{
    burst::{
        ChunkSource, DrawPool, FetchFailure, PeerKey, SwarmAction, SwarmNote, pursuit::RATE_CHUNKS,
        seats::ImportOrigin,
    },
    time::Moment,
};

/// A chunk with fewer copies nearby is told of at once.
const TELL_AT_ONCE: u32 = 3;

/// A box tells of its first chunks at once: waiting would add to every doubling of their copies.
const EARLY_TELLS: u32 = 32;

/// Rounds in which offers to other domains are repeated at least after a chunk has entered this one: the
/// note of a chunk that comes late, after an outage of the origin, may be lost as well.
const LATE_OFFER_ROUNDS: u32 = 2;

impl SwarmPlanner {
    /// Takes a verified chunk in and tells those who need to know.
    pub(in crate::burst) fn accept(
        &mut self,
        now: Moment,
        chunk: ChunkIndex,
        source: ChunkSource,
        actions: &mut Vec<SwarmAction>,
    ) {
        self.note_transfer(now, chunk);
        self.close(chunk, source);
        self.patience = (self.patience / 2).max(1);
        if source == ChunkSource::Origin {
            self.window.note_drawn();
        }
        if let ChunkSource::Peer(peer) = source {
            self.peers.praise(peer);
        }
        if self.held.insert(chunk) {
            self.window.note_arrival(now);
            self.arrivals.push_back(now);
            if self.arrivals.len() > RATE_CHUNKS {
                self.arrivals.pop_front();
            }
            self.announce(now, chunk, source, actions);
        }
        self.check_complete(actions);
        self.pursue(now, actions);
    }

    /// Notes how long a chunk took to come over this box's link.
    pub(in crate::burst) fn note_transfer(&mut self, now: Moment, chunk: ChunkIndex) {
        let started = self.open.get(&chunk).and_then(|fetch| fetch.started);
        let Some(started) = started else { return };
        // Chunks that come at the same time share the link.
        let took = now.since(started) / self.coming().max(1) as u32;
        self.transfer = (self.transfer * 2 + took) / 3;
    }

    pub(in crate::burst) fn announce(
        &mut self,
        now: Moment,
        chunk: ChunkIndex,
        source: ChunkSource,
        actions: &mut Vec<SwarmAction>,
    ) {
        let seekers = self.imports.settle(chunk);
        let onward = self.import_origin(source).map(|from| {
            self.brought.insert(chunk, from);
            self.offer_rounds = self.offer_rounds.max(LATE_OFFER_ROUNDS);
            self.seats.onward(chunk, from)
        });
        let offer = |to| SwarmAction::Tell { to, note: SwarmNote::Offer(chunk) };
        actions.extend(onward.into_iter().flatten().chain(seekers).map(offer));
        self.fresh.push(chunk);
        let early = self.held.count() < EARLY_TELLS;
        if early || self.peers.copies(chunk) < TELL_AT_ONCE {
            self.tell_fresh(now, actions);
        }
    }

    /// How a chunk entered this domain; none if it was in it already.
    pub(in crate::burst) fn import_origin(&self, source: ChunkSource) -> Option<ImportOrigin> {
        let ChunkSource::Peer(peer) = source else { return Some(ImportOrigin::Outside) };
        let seat = self.seats.seat(peer)?;
        let me = self.seats.me();
        match (seat.domain == me.domain, seat.region == me.region) {
            (true, _) => None,
            (false, true) => Some(ImportOrigin::Sibling),
            (false, false) => Some(ImportOrigin::OtherRegion),
        }
    }

    pub(in crate::burst) fn tell_fresh(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        if self.fresh.is_empty() {
            return;
        }
        self.told = now;
        let fresh = std::mem::take(&mut self.fresh);
        let note = || SwarmNote::Have(fresh.clone());
        actions.extend(self.peers.keys().map(|to| SwarmAction::Tell { to, note: note() }));
    }

    pub(in crate::burst) fn check_complete(&mut self, actions: &mut Vec<SwarmAction>) {
        if self.complete || !self.held.is_full() {
            return;
        }
        self.complete = true;
        let open = std::mem::take(&mut self.open);
        actions.extend(
            open.into_iter()
                .map(|(chunk, fetch)| SwarmAction::Cancel { chunk, source: fetch.source }),
        );
        actions.push(SwarmAction::Complete);
    }

    pub(in crate::burst) fn fail(
        &mut self,
        now: Moment,
        chunk: ChunkIndex,
        source: ChunkSource,
        failure: FetchFailure,
        actions: &mut Vec<SwarmAction>,
    ) {
        self.close(chunk, source);
        match source {
            ChunkSource::Peer(peer) => self.blame(now, peer, chunk, failure),
            ChunkSource::Origin => self.postpone(now, chunk, DrawPool::Origin, failure),
            ChunkSource::Store => self.postpone(now, chunk, DrawPool::Store, failure),
        }
        self.pursue(now, actions);
    }

    pub(in crate::burst) fn blame(
        &mut self,
        now: Moment,
        peer: PeerKey,
        chunk: ChunkIndex,
        failure: FetchFailure,
    ) {
        match failure {
            FetchFailure::Corrupt => {
                self.peers.note_corrupt(peer);
                if self.peers.is_corrupter(peer) {
                    self.imports.forget(peer);
                }
            }
            FetchFailure::Busy => self.peers.note_busy(now, peer),
            FetchFailure::Absent => self.peers.drop_chunk(peer, chunk),
            FetchFailure::Unreachable => self.peers.note_trouble(now, peer),
        }
    }

    /// Corrupt bytes are fetched again at once; any other failure waits.
    pub(in crate::burst) fn postpone(
        &mut self,
        now: Moment,
        chunk: ChunkIndex,
        pool: DrawPool,
        failure: FetchFailure,
    ) {
        if failure == FetchFailure::Corrupt {
            return;
        }
        self.draws.postpone(now, chunk, pool);
        if pool == DrawPool::Origin {
            self.window.note_failure(now);
            self.imports.wait_anew(now);
        }
    }
}
