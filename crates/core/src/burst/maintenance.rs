//! Periodic work of a planner: cancels slow fetches, resends messages that may be lost, and recovers
//! overdue chunks.

use std::time::Duration;

use headlatch_types::{ChunkIndex, fleet::BurstPreference};

use super::{
    ChunkSource, DrawMode, DrawPool, DrawTicket, PeerKey, SwarmAction, SwarmNote, SwarmPlanner,
    draws::{ORIGIN_TICKETS, REPLACEMENT_LANE},
    fetching::DRAWS_AT_ONCE,
    imports::Recovery,
    planner::OpenFetch,
};
use crate::time::Moment;

/// Multiplier of the transfer timeout on the sending side, relative to the receiving side.
const UPLOAD_TIMEOUT_FACTOR: u32 = 3;

/// Number of later chunks that must have arrived for a missing chunk's draw to count as lost. Draws that
/// share a link do not complete in the order in which they started.
const CHUNKS_AHEAD: u32 = 8;

/// Maximum timeout of imports, as a multiple of the usual transfer timeout.
const MAX_IMPORT_TIMEOUT_FACTOR: u32 = 8;

/// A transfer is about to end when less than this percentage of its chunks is missing.
const ENDING_PERCENT: u32 = 15;

/// Number of boxes per domain that may redraw the same chunk while no chunk arrives. More would poll an
/// origin that is down, and all would draw the same chunks when it recovers.
const STALLED_RANKS: usize = 2;

impl SwarmPlanner {
    pub(super) fn tick(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        if now.since(self.last_announced) >= self.settings.timings.announce_interval {
            self.flush_announcements(now, actions);
        }
        if now >= self.bitfield_due && !self.held.is_empty() {
            if self.bitfield_due == self.started + self.settings.timings.bitfield_interval
                && !self.complete
            {
                // Repeated once for boxes that started after this one.
                self.offer_held(actions);
            }
            self.bitfield_due = now + self.settings.timings.bitfield_interval;
            self.repeat_offers(actions);
            let note = || SwarmNote::Bitfield(self.held.clone());
            actions.extend(self.peers.keys().map(|to| SwarmAction::SendNote { to, note: note() }));
        }
        self.uploads.expire(now, self.longest_transfer() * UPLOAD_TIMEOUT_FACTOR);
        self.grant(now, actions);
        self.cancel_slow(now, actions);
        self.resend_tickets(now, actions);
        self.recover_overdue(now, actions);
        self.start_fetches(now, actions);
    }

    /// Cancels fetches that take too long.
    pub(super) fn cancel_slow(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        let slow: Vec<(ChunkIndex, OpenFetch)> = self
            .open
            .iter()
            .filter(|(_, fetch)| self.is_slow(now, fetch))
            .map(|(chunk, fetch)| (*chunk, *fetch))
            .collect();
        if slow.iter().any(|(_, fetch)| !self.is_silent(now, fetch)) {
            self.timeout_factor = (self.timeout_factor * 2).min(16);
        }
        for (chunk, fetch) in slow {
            self.record_import_time(now, fetch);
            actions.push(SwarmAction::Cancel { chunk, source: fetch.source });
            self.close_fetch(chunk, fetch.source);
            match fetch.source {
                // A box that was heard from recently is busy rather than unreachable.
                ChunkSource::Peer(peer)
                    if fetch.started.is_none() && self.peers.is_responsive(now, peer) =>
                {
                    self.peers.record_busy(now, peer);
                }
                ChunkSource::Peer(peer) => self.peers.record_failure(now, peer),
                ChunkSource::Origin | ChunkSource::Store => {}
            }
        }
    }

    /// Transfer timeout of a chunk between two boxes.
    pub(super) fn longest_transfer(&self) -> Duration {
        let chunk_time = self.settings.chunk_time.max(self.settings.origin_chunk_time);
        chunk_time * (4 * self.settings.uploads as u32) + self.settings.timings.min_timeout
    }

    /// Whether a source is a box that is not a neighbour, and therefore almost always in another domain.
    fn is_import(&self, source: ChunkSource) -> bool {
        matches!(source, ChunkSource::Peer(peer) if !self.peers.contains(peer))
    }

    /// Timeout of an import that has begun: twice the time of recent ones, since many imports share a link
    /// between regions. With 1.75 Mbit/s left of it, the usual timeout cancelled most of them before their
    /// end, and their chunks were drawn again.
    fn import_timeout(&self) -> Duration {
        let usual = self.longest_transfer();
        (self.import_time * 2).clamp(usual, usual * MAX_IMPORT_TIMEOUT_FACTOR)
    }

    /// Records the time that an import took, or has taken when it is cancelled. The time of earlier
    /// imports decays.
    pub(super) fn record_import_time(&mut self, now: Moment, fetch: OpenFetch) {
        if let Some(started) = fetch.started.filter(|_| self.is_import(fetch.source)) {
            self.import_time = now.since(started).max(self.import_time * 3 / 4);
        }
    }

    /// Whether a fetch has exceeded its timeout. Draws are never slow: an overloaded origin is slow for
    /// all boxes, and restarting draws would add load; a draw that stalls fails by itself.
    pub(super) fn is_slow(&self, now: Moment, fetch: &OpenFetch) -> bool {
        if !matches!(fetch.source, ChunkSource::Peer(_)) {
            return false;
        }
        if self.is_silent(now, fetch) {
            return true;
        }
        let queue = self.settings.chunk_time * self.settings.queue as u32;
        let limit = match fetch.started {
            Some(_) if self.is_import(fetch.source) => self.import_timeout(),
            Some(_) => self.longest_transfer(),
            None => self.longest_transfer() + queue,
        };
        now.since(fetch.started.unwrap_or(fetch.asked)) > limit * self.timeout_factor
    }

    /// Whether a neighbour has neither started to send the requested chunk nor been heard from within the
    /// silence timeout, and is therefore presumed gone.
    fn is_silent(&self, now: Moment, fetch: &OpenFetch) -> bool {
        let ChunkSource::Peer(peer) = fetch.source else { return false };
        let waited = now.since(fetch.asked) >= self.settings.timings.silence_timeout;
        let begun = fetch.started.is_some();
        waited && !begun && self.peers.contains(peer) && !self.peers.is_responsive(now, peer)
    }

    /// Recovers chunks that are overdue in this domain.
    pub(super) fn recover_overdue(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        if self.complete || self.superseded {
            return;
        }
        let stalled = self.draws.stalled(now, self.started) > self.schedule_stall_timeout();
        let end = self.draws.drawn() + 2 * ORIGIN_TICKETS;
        let (held, peers, open) = (&self.held, &self.peers, &self.open);
        let (draws, imports) = (&self.draws, &self.imports);
        let missing: Vec<ChunkIndex> = match self.settings.draw_mode {
            DrawMode::Assigned => self.overdue_assigned(now),
            DrawMode::Tickets => (0..self.settings.chunks)
                .map(ChunkIndex)
                .filter(|chunk| !held.contains(*chunk) && !peers.is_held_nearby(now, *chunk))
                .filter(|chunk| draws.is_passed(*chunk) || (stalled && chunk.0 < end))
                .collect(),
        };
        let patience = (self.settings.chunk_time, self.redraw_delay());
        let is_pending = |chunk: ChunkIndex| open.contains_key(&chunk) || imports.is_offered(chunk);
        let pending: Vec<ChunkIndex> =
            missing.iter().copied().filter(|chunk| is_pending(*chunk)).collect();
        let due = self.imports.due_recoveries(now, patience, self.settings.timings, |chunk| {
            missing.binary_search(&chunk).is_ok()
        });
        // Chunks already requested or offered need no recovery yet, but the time they are missing counts.
        let is_pending = |recovery: &Recovery| pending.binary_search(&recovery.chunk()).is_ok();
        for recovery in due.into_iter().filter(|recovery| !is_pending(recovery)) {
            self.apply(now, recovery, actions);
        }
    }

    pub(super) fn apply(
        &mut self,
        now: Moment,
        recovery: Recovery,
        actions: &mut Vec<SwarmAction>,
    ) {
        match recovery {
            Recovery::Seek(chunk) => {
                let to = self.topology.other_importers(chunk, 2);
                let seek = |to| SwarmAction::SendNote { to, note: SwarmNote::Seek(chunk) };
                actions.extend(to.into_iter().map(seek));
            }
            Recovery::Draw(chunk) if self.settings.draw_mode == DrawMode::Assigned => {
                let may_draw = self.corrupt_draws.may_draw(now, chunk);
                if !self.is_drawing() && self.window.is_open(now) && may_draw {
                    self.fetch(now, chunk, ChunkSource::Origin, actions);
                }
            }
            // One at a time, since concurrent draws would share the same bandwidth.
            Recovery::Draw(_) if !self.draws.is_empty() => {}
            Recovery::Draw(chunk) => {
                // If regular draws have not progressed past this chunk, a ticket was lost and is replaced.
                let lost = !self.draws.is_passed(chunk);
                let lane = if lost { chunk.0 % ORIGIN_TICKETS } else { REPLACEMENT_LANE };
                let ticket = DrawTicket { chunk, pool: DrawPool::Origin, lane };
                self.draws.replace_lost(now, ticket);
            }
        }
    }

    /// Resends tickets that were not acknowledged or whose chunk did not become available.
    pub(super) fn resend_tickets(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        let handed: Vec<ChunkIndex> = self.draws.handed_over().collect();
        let known: Vec<ChunkIndex> =
            handed.into_iter().filter(|chunk| self.is_known(now, *chunk)).collect();
        let draw_time = self.settings.origin_chunk_time;
        let resends = self.draws.due_resends(now, draw_time, |chunk| known.contains(&chunk));
        for resend in resends {
            if resend.exhausted {
                self.draws.take_back(now, resend.ticket);
                continue;
            }
            let last = resend.failed.last().copied().filter(|_| resend.again);
            let next = || self.topology.next_drawer(resend.ticket.chunk, &resend.failed);
            let drawer = last.unwrap_or_else(next);
            self.send_ticket(now, resend.ticket, drawer, actions);
        }
    }

    pub(super) fn send_ticket(
        &mut self,
        now: Moment,
        ticket: DrawTicket,
        drawer: PeerKey,
        actions: &mut Vec<SwarmAction>,
    ) {
        if drawer == self.topology.local().key {
            self.draws.take(now, ticket);
            return;
        }
        self.draws.hand_over(now, ticket, drawer);
        actions.push(SwarmAction::SendNote { to: drawer, note: SwarmNote::Ticket(ticket) });
    }

    /// Time for which a domain may lack a chunk before it draws the chunk again.
    pub(super) fn redraw_delay(&self) -> Duration {
        let usual = match self.settings.prefer {
            BurstPreference::Time => Duration::from_secs(3),
            BurstPreference::OriginBytes => Duration::from_secs(12),
        };
        self.settings.timings.redraw_delay.unwrap_or(usual)
    }

    /// Assigned chunks whose drawers appear to have failed, in order: many later chunks have arrived, no
    /// chunk has arrived for a long time, or nearly all others are available. Elapsed time alone is no
    /// criterion: an origin that is slow or was down delays all draws, and redraws would slow it further.
    fn overdue_assigned(&self, now: Moment) -> Vec<ChunkIndex> {
        let is_here = |chunk: &ChunkIndex| {
            self.held.contains(*chunk) || self.peers.is_held_nearby(now, *chunk)
        };
        let chunks: Vec<ChunkIndex> = (0..self.settings.chunks).map(ChunkIndex).collect();
        let (here, missing): (Vec<ChunkIndex>, Vec<ChunkIndex>) =
            chunks.into_iter().partition(is_here);
        let is_ending = missing.len() as u32 * 100 < self.settings.chunks * ENDING_PERCENT;
        let is_stalled = self.window.is_stalled(now, self.stalled_timeout());
        let may_ask = |chunk: &ChunkIndex| self.imports.rank(*chunk) < STALLED_RANKS;
        let is_passed = |chunk: &ChunkIndex| {
            here.len() - here.partition_point(|other| other < chunk) >= CHUNKS_AHEAD as usize
        };
        let is_late = |chunk: &ChunkIndex| is_ending && now > self.draw_end(*chunk);
        let first = missing.into_iter().take(self.window.chunks() as usize);
        let overdue = first
            .filter(|chunk| is_passed(chunk) || is_late(chunk) || (is_stalled && may_ask(chunk)));
        overdue.collect()
    }

    /// Expected completion of an assigned draw at the origin's configured rate.
    fn draw_end(&self, chunk: ChunkIndex) -> Moment {
        self.draw_slot(chunk) + self.settings.origin_chunk_time * (2 * DRAWS_AT_ONCE)
    }

    /// Time without arrivals or origin failures after which draws of assigned chunks count as stalled.
    fn stalled_timeout(&self) -> Duration {
        self.settings.origin_chunk_time * CHUNKS_AHEAD + self.settings.timings.seek_delay
    }

    /// Time without progress of ticketed draws after which tickets count as lost.
    pub(super) fn schedule_stall_timeout(&self) -> Duration {
        self.redraw_delay() + self.settings.origin_chunk_time * (8 * ORIGIN_TICKETS)
    }
}
