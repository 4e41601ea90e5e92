//! Handling of completed and failed fetches.

use headlatch_types::ChunkIndex;

use super::SwarmPlanner;
use crate::{
    burst::{
        ChunkSource, DrawPool, FetchFailure, PeerKey, SwarmAction, SwarmNote,
        fetching::RATE_CHUNKS, topology::ImportOrigin,
    },
    time::Moment,
};

/// Chunks with fewer copies among the neighbours are announced immediately.
const ANNOUNCE_AT_ONCE_COPIES: u32 = 3;

/// Number of first chunks that a box announces immediately: a batching delay would add to each
/// doubling of the number of copies.
const EARLY_ANNOUNCEMENTS: u32 = 32;

/// Minimum number of times that offers to other domains are repeated after a chunk has entered this
/// one, since the offer of a chunk that arrives late, after an origin outage, may also be lost.
const LATE_OFFER_ROUNDS: u32 = 2;

impl SwarmPlanner {
    /// Stores a verified chunk and announces it to interested boxes.
    pub(in crate::burst) fn accept(
        &mut self,
        now: Moment,
        chunk: ChunkIndex,
        source: ChunkSource,
        actions: &mut Vec<SwarmAction>,
    ) {
        if let Some(fetch) = self.open.get(&chunk).copied() {
            self.record_import_time(now, fetch);
        }
        self.record_transfer(now, chunk);
        self.close_fetch(chunk, source);
        self.timeout_factor = (self.timeout_factor / 2).max(1);
        self.corrupt_draws.remove(chunk);
        if source == ChunkSource::Origin {
            self.window.record_draw();
        }
        if let ChunkSource::Peer(peer) = source {
            self.peers.record_valid_chunk(peer);
        }
        if self.held.insert(chunk) {
            self.window.record_arrival(now);
            self.arrivals.push_back(now);
            if self.arrivals.len() > RATE_CHUNKS {
                self.arrivals.pop_front();
            }
            self.announce(now, chunk, source, actions);
        }
        self.check_complete(actions);
        self.start_fetches(now, actions);
    }

    /// Updates the average transfer time with that of a completed fetch.
    pub(in crate::burst) fn record_transfer(&mut self, now: Moment, chunk: ChunkIndex) {
        let started = self.open.get(&chunk).and_then(|fetch| fetch.started);
        let Some(started) = started else { return };
        // Concurrent downloads share the link.
        let took = now.since(started) / self.active_downloads().max(1) as u32;
        self.transfer_time = (self.transfer_time * 2 + took) / 3;
    }

    pub(in crate::burst) fn announce(
        &mut self,
        now: Moment,
        chunk: ChunkIndex,
        source: ChunkSource,
        actions: &mut Vec<SwarmAction>,
    ) {
        let seekers = self.imports.resolve(chunk);
        let onward = self.import_origin(source).map(|from| {
            self.imported.insert(chunk, from);
            self.offer_rounds = self.offer_rounds.max(LATE_OFFER_ROUNDS);
            self.topology.onward(chunk, from)
        });
        let offer = |to| SwarmAction::SendNote { to, note: SwarmNote::Offer(chunk) };
        actions.extend(onward.into_iter().flatten().chain(seekers).map(offer));
        self.unannounced.push(chunk);
        let early = self.held.count() < EARLY_ANNOUNCEMENTS;
        if early || self.peers.copies(chunk) < ANNOUNCE_AT_ONCE_COPIES {
            self.flush_announcements(now, actions);
        }
    }

    /// How a chunk from `source` entered this domain; `None` if it came from within the domain.
    pub(in crate::burst) fn import_origin(&self, source: ChunkSource) -> Option<ImportOrigin> {
        let ChunkSource::Peer(peer) = source else { return Some(ImportOrigin::OriginOrStore) };
        let location = self.topology.location(peer)?;
        let me = self.topology.local();
        match (location.domain == me.domain, location.region == me.region) {
            (true, _) => None,
            (false, true) => Some(ImportOrigin::SameRegion),
            (false, false) => Some(ImportOrigin::OtherRegion),
        }
    }

    pub(in crate::burst) fn flush_announcements(
        &mut self,
        now: Moment,
        actions: &mut Vec<SwarmAction>,
    ) {
        if self.unannounced.is_empty() {
            return;
        }
        self.last_announced = now;
        let fresh = std::mem::take(&mut self.unannounced);
        let note = || SwarmNote::Have(fresh.clone());
        actions.extend(self.peers.keys().map(|to| SwarmAction::SendNote { to, note: note() }));
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
        self.close_fetch(chunk, source);
        match source {
            ChunkSource::Peer(peer) => self.record_peer_failure(now, peer, chunk, failure),
            ChunkSource::Origin => self.postpone(now, chunk, DrawPool::Origin, failure),
            ChunkSource::Store => self.postpone(now, chunk, DrawPool::Store, failure),
        }
        self.start_fetches(now, actions);
    }

    pub(in crate::burst) fn record_peer_failure(
        &mut self,
        now: Moment,
        peer: PeerKey,
        chunk: ChunkIndex,
        failure: FetchFailure,
    ) {
        match failure {
            FetchFailure::Corrupt => {
                self.peers.record_corrupt_chunk(peer);
                if self.peers.is_corrupter(peer) {
                    self.imports.forget(peer);
                }
            }
            FetchFailure::Busy => self.peers.record_busy(now, peer),
            FetchFailure::Absent => self.peers.drop_chunk(peer, chunk),
            FetchFailure::Unreachable => self.peers.record_failure(now, peer),
        }
    }

    /// Delays the next draw after a failure.
    pub(in crate::burst) fn postpone(
        &mut self,
        now: Moment,
        chunk: ChunkIndex,
        pool: DrawPool,
        failure: FetchFailure,
    ) {
        if failure == FetchFailure::Corrupt {
            return self.corrupt_draws.record(now, chunk);
        }
        self.draws.postpone(now, chunk, pool);
        if pool == DrawPool::Origin {
            self.window.record_failure(now);
            self.imports.restart_waits(now);
        }
    }
}
