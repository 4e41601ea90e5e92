//! Selection of fetches to start: draws, imports, and requests to neighbours.

use headlatch_types::{ChunkIndex, fleet::BurstPreference};
use rand::{Rng, seq::IteratorRandom};

use super::{
    ChunkSource, DrawMode, DrawPool, DrawTicket, SwarmAction, SwarmPlanner,
    draws::{DrawLedger, REPLACEMENT_LANE},
    peers::AskLimits,
    planner::OpenFetch,
};
use crate::time::Moment;

/// Number of randomly sampled chunks of which the rarest is requested.
const SAMPLE: usize = 16;

/// Number of chunks in the window over which the arrival rate is measured.
pub(super) const RATE_CHUNKS: usize = 32;

/// A box whose download link is utilised below this percentage may make extra draws.
const UNDERUTILIZED_PERCENT: usize = 85;

/// Number of assigned chunks drawn concurrently while the origin keeps its configured rate.
pub(super) const DRAWS_AT_ONCE: u32 = 8;

/// Maximum average number of copies of a chunk that the origin sends under [`BurstPreference::Time`].
const MAX_ORIGIN_COPIES: u32 = 4;

impl SwarmPlanner {
    /// Starts all fetches that are possible now.
    pub(super) fn start_fetches(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        if self.superseded {
            return;
        }
        match self.settings.draw_mode {
            DrawMode::Tickets => self.use_tickets(now, actions),
            DrawMode::Assigned => self.draw_assigned(now, actions),
        }
        if self.complete {
            return;
        }
        self.resume(actions);
        self.use_offers(now, actions);
        self.use_neighbours(now, actions);
        self.use_extras(now, actions);
    }

    pub(super) fn is_known(&self, now: Moment, chunk: ChunkIndex) -> bool {
        self.held.contains(chunk)
            || self.peers.is_held_nearby(now, chunk)
            || self.imports.is_offered(chunk)
    }

    pub(super) fn use_tickets(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        if self.draws.is_empty() {
            return;
        }
        let mut drawing = Vec::new();
        for (ticket, ready) in self.draws.tickets(now) {
            let source = ticket.pool.source();
            let open = self.open.get(&ticket.chunk).map(|fetch| fetch.source);
            if open == Some(source) && !drawing.contains(&ticket.chunk) {
                drawing.push(ticket.chunk);
            } else if open.is_some() || self.is_known(now, ticket.chunk) {
                self.forward_ticket(now, ticket, actions);
            } else if ready && self.corrupt_draws.may_draw(now, ticket.chunk) {
                drawing.push(ticket.chunk);
                self.fetch(now, ticket.chunk, source, actions);
            }
        }
    }

    /// Whether a draw from the origin is in progress.
    pub(super) fn is_drawing(&self) -> bool {
        self.open.values().any(|fetch| fetch.source == ChunkSource::Origin)
    }

    /// Draws the next chunk assigned to this box, unless a draw is in progress.
    ///
    /// The chunks of a failed box are reassigned with the next list of peers. Chunks beyond the window
    /// wait: if all boxes drew at once after an outage, each draw would get so little of the origin's
    /// bandwidth that none would complete.
    fn draw_assigned(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        if self.complete || !self.window.is_open(now) || self.is_drawing() {
            return;
        }
        if let Some(chunk) = self.next_assigned(now) {
            self.fetch(now, chunk, ChunkSource::Origin, actions);
        }
    }

    /// The first chunk that is assigned to this box and may be drawn now.
    fn next_assigned(&self, now: Moment) -> Option<ChunkIndex> {
        let own = self.topology.local().key;
        let missing = (0..self.settings.chunks).map(ChunkIndex).filter(|chunk| {
            !self.held.contains(*chunk)
                && !self.open.contains_key(chunk)
                && !self.is_known(now, *chunk)
        });
        let is_due = |chunk: &ChunkIndex| now >= self.draw_slot(*chunk);
        let mut due = self.within_window(missing).take_while(is_due);
        due.find(|chunk| {
            self.topology.drawer(*chunk) == own && self.corrupt_draws.may_draw(now, *chunk)
        })
    }

    /// The missing chunks that fit into the draw window shared by all boxes. Overdue chunks do not count
    /// towards the window: their drawers may never start, and would block the draws of all later chunks.
    pub(super) fn within_window(
        &self,
        missing: impl Iterator<Item = ChunkIndex>,
    ) -> impl Iterator<Item = ChunkIndex> {
        let mut left = self.window.chunks();
        missing.take_while(move |chunk| {
            let takes_place = !self.imports.is_overdue(*chunk);
            let fits = !takes_place || left > 0;
            left = left.saturating_sub(u32::from(takes_place));
            fits
        })
    }

    /// Earliest time at which an assigned chunk may be drawn. Only a few are drawn concurrently, so that the
    /// first arrive early and spread while the others are drawn. After a failure of the origin only the
    /// draw window applies.
    pub(super) fn draw_slot(&self, chunk: ChunkIndex) -> Moment {
        if self.window.has_failed() {
            return self.started;
        }
        self.started + self.settings.origin_chunk_time * chunk.0.saturating_sub(DRAWS_AT_ONCE)
    }

    /// Passes a ticket on to the drawer of the next chunk that is not known to be available.
    pub(super) fn forward_ticket(
        &mut self,
        now: Moment,
        ticket: DrawTicket,
        actions: &mut Vec<SwarmAction>,
    ) {
        if !self.draws.release(ticket) {
            return;
        }
        let chunks = self.settings.chunks;
        if let Some(extra) = DrawLedger::add_lane(ticket, chunks) {
            self.send_ticket(now, extra, self.topology.drawer(extra.chunk), actions);
        }
        let order = std::iter::successors(DrawLedger::next(ticket, chunks), |ticket| {
            DrawLedger::next(*ticket, chunks)
        });
        let next = order.into_iter().find(|ticket| !self.is_known(now, ticket.chunk));
        let Some(next) = next else {
            if ticket.pool == DrawPool::Origin && ticket.lane != REPLACEMENT_LANE {
                self.draws.advance(now, chunks);
            }
            return;
        };
        let drawer = self.topology.drawer(next.chunk);
        self.send_ticket(now, next, drawer, actions);
        if drawer == self.topology.local().key {
            self.use_tickets(now, actions);
        }
    }

    pub(super) fn use_offers(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        loop {
            let (held, open, peers) = (&self.held, &self.open, &self.peers);
            let wanted = |chunk: ChunkIndex| {
                !held.contains(chunk)
                    && !open.contains_key(&chunk)
                    && !peers.is_held_nearby(now, chunk)
            };
            let Some((chunk, from)) = self.imports.accept(wanted) else { return };
            self.fetch(now, chunk, ChunkSource::Peer(from), actions);
        }
    }

    pub(super) fn use_neighbours(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        let limits = AskLimits { asked: 2, load: self.settings.queue as u32 };
        while self.open.len() < self.settings.pipeline {
            let available = self.peers.available(now, limits);
            let Some(chunk) = self.rarest(&available) else { return };
            let Some(peer) = self.peers.pick(now, chunk, limits, &mut self.rng) else { return };
            self.fetch(now, chunk, ChunkSource::Peer(peer), actions);
        }
    }

    /// The rarest of a random sample of available chunks that are neither held nor being fetched.
    ///
    /// With the globally rarest chunk, all boxes of a domain would send requests to its one or two
    /// holders while the others are idle.
    pub(super) fn rarest(&mut self, available: &[u64]) -> Option<ChunkIndex> {
        let open = &self.open;
        let candidates = self.held.missing_in(available).filter(|chunk| !open.contains_key(chunk));
        let sample = candidates.choose_multiple(&mut self.rng, SAMPLE);
        sample.into_iter().min_by_key(|chunk| self.peers.copies(*chunk))
    }

    /// Under [`BurstPreference::Time`], starts extra draws if peers do not saturate this box's link.
    ///
    /// The origin is idle once every chunk has been drawn. A box whose link is saturated would not
    /// benefit from another source and makes no extra draws.
    pub(super) fn use_extras(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        let drawn = self.draws.drawn() >= self.settings.chunks;
        if self.settings.prefer != BurstPreference::Time || !drawn || !self.is_underutilized(now) {
            return;
        }
        let boxes = self.topology.count() as u32;
        let most = (MAX_ORIGIN_COPIES - 1) * self.settings.chunks / boxes;
        let gap = self.settings.origin_chunk_time * boxes;
        if !self.draws.is_extra_due(now, most) {
            return;
        }
        let missing = |chunk: &ChunkIndex| {
            !self.held.contains(*chunk)
                && !self.open.contains_key(chunk)
                && self.corrupt_draws.may_draw(now, *chunk)
        };
        let wanted: Vec<ChunkIndex> =
            (0..self.settings.chunks).map(ChunkIndex).filter(missing).collect();
        // Near the end, a draw that shares the origin with many others would complete last.
        if wanted.len() <= 2 * self.settings.pipeline {
            return;
        }
        self.draws.take_extra(now, gap);
        let chunk = wanted[self.rng.random_range(0..wanted.len())];
        self.fetch(now, chunk, ChunkSource::Origin, actions);
    }

    /// Whether the recent arrival rate is clearly below the capacity of this box's link.
    pub(super) fn is_underutilized(&self, now: Moment) -> bool {
        let window = self.settings.chunk_time * RATE_CHUNKS as u32;
        if now.since(self.started) < window * 2 {
            return false;
        }
        let lately = self.arrivals.iter().filter(|at| now.since(**at) < window).count();
        lately * 100 < RATE_CHUNKS * UNDERUTILIZED_PERCENT
    }

    pub(super) fn fetch(
        &mut self,
        now: Moment,
        chunk: ChunkIndex,
        source: ChunkSource,
        actions: &mut Vec<SwarmAction>,
    ) {
        if let ChunkSource::Peer(peer) = source {
            self.peers.record_request(peer);
        }
        self.open.insert(chunk, OpenFetch { source, asked: now, started: None, deferred: false });
        actions.push(SwarmAction::Fetch { chunk, source });
    }
}
