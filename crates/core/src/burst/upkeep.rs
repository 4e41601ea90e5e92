//! What a planner does as time passes: gives up what is slow, repeats what may be lost, looks
//! after what is overdue.

use std::time::Duration;

use headlatch_types::{ChunkIndex, fleet::BurstPreference};

use super::{
    ChunkSource, DrawOrder, DrawPool, DrawTicket, PeerKey, SwarmAction, SwarmNote, SwarmPlanner,
    draws::{LONE_LANE, ORIGIN_TICKETS},
    imports::Remedy,
    planner::OpenFetch,
    pursuit::DRAWS_AT_ONCE,
};
use crate::time::Moment;

/// How much longer a sender bears a slow transfer than its receiver does.
const UPLOAD_PATIENCE: u32 = 3;

/// Chunks that have come after one that has not, from which on that one's draw counts as lost: draws
/// that share a link do not end in the order in which they began.
const CHUNKS_AHEAD: u32 = 8;

/// Part of the chunks of which fewer are missing when a transfer is about to end, in percent.
const ENDING_PERCENT: u32 = 15;

/// Boxes of a domain that look after the same chunk while nothing comes: more would ask an origin that
/// is down, and all draw the same chunks when it is back.
const STALLED_RANKS: usize = 2;

impl SwarmPlanner {
    pub(super) fn tick(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        if now.since(self.told) >= self.settings.pace.have_pause {
            self.tell_fresh(now, actions);
        }
        if now >= self.field_due && !self.held.is_empty() {
            if self.field_due == self.begun + self.settings.pace.field_pause && !self.complete {
                // Once more, for those who began after this box.
                self.offer_held(actions);
            }
            self.field_due = now + self.settings.pace.field_pause;
            self.repeat_offers(actions);
            let note = || SwarmNote::Field(self.held.clone());
            actions.extend(self.peers.keys().map(|to| SwarmAction::Tell { to, note: note() }));
        }
        self.uploads.expire(now, self.longest_transfer() * UPLOAD_PATIENCE);
        self.grant(now, actions);
        self.drop_slow(now, actions);
        self.remind(now, actions);
        self.apply_remedies(now, actions);
        self.pursue(now, actions);
    }

    /// Gives up fetches that take too long.
    pub(super) fn drop_slow(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        let slow: Vec<(ChunkIndex, OpenFetch)> = self
            .open
            .iter()
            .filter(|(_, fetch)| self.is_slow(now, fetch))
            .map(|(chunk, fetch)| (*chunk, *fetch))
            .collect();
        if slow.iter().any(|(_, fetch)| !self.is_silent(now, fetch)) {
            self.patience = (self.patience * 2).min(16);
        }
        for (chunk, fetch) in slow {
            actions.push(SwarmAction::Cancel { chunk, source: fetch.source });
            self.close(chunk, fetch.source);
            match fetch.source {
                // A box that was heard of lately is only busy, however long it takes.
                ChunkSource::Peer(peer)
                    if fetch.started.is_none() && self.peers.is_heard(now, peer) =>
                {
                    self.peers.note_busy(now, peer);
                }
                ChunkSource::Peer(peer) => self.peers.note_trouble(now, peer),
                ChunkSource::Origin | ChunkSource::Store => {}
            }
        }
    }

    /// Longest time that a chunk on its way between two boxes should take.
    pub(super) fn longest_transfer(&self) -> Duration {
        let chunk_time = self.settings.chunk_time.max(self.settings.origin_chunk_time);
        chunk_time * (4 * self.settings.uploads as u32) + self.settings.pace.least_wait
    }

    /// Whether a fetch takes too long. Draws are left alone: a crowded origin is slow to all, and
    /// to break off and begin again would make it slower; one that stands still fails by itself.
    pub(super) fn is_slow(&self, now: Moment, fetch: &OpenFetch) -> bool {
        if !matches!(fetch.source, ChunkSource::Peer(_)) {
            return false;
        }
        if self.is_silent(now, fetch) {
            return true;
        }
        let queue = self.settings.chunk_time * self.settings.queue as u32;
        let limit = match fetch.started {
            Some(_) => self.longest_transfer(),
            None => self.longest_transfer() + queue,
        };
        now.since(fetch.started.unwrap_or(fetch.asked)) > limit * self.patience
    }

    /// Whether a neighbour that was asked has not begun to send and has gone silent: it may have
    /// stopped for good.
    fn is_silent(&self, now: Moment, fetch: &OpenFetch) -> bool {
        let ChunkSource::Peer(peer) = fetch.source else { return false };
        let waited = now.since(fetch.asked) >= self.settings.pace.silence;
        let begun = fetch.started.is_some();
        waited && !begun && self.peers.contains(peer) && !self.peers.is_heard(now, peer)
    }

    /// Looks after chunks that should have come into this domain and have not.
    pub(super) fn apply_remedies(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        if self.complete || self.superseded {
            return;
        }
        let stalled = self.draws.stalled(now, self.begun) > self.stall_patience();
        let end = self.draws.drawn() + 2 * ORIGIN_TICKETS;
        let (held, peers, open) = (&self.held, &self.peers, &self.open);
        let (draws, imports) = (&self.draws, &self.imports);
        let lacking: Vec<ChunkIndex> = match self.settings.draws {
            DrawOrder::Assigned => self.overdue_assigned(now),
            DrawOrder::Tickets => (0..self.settings.chunks)
                .map(ChunkIndex)
                .filter(|chunk| !held.contains(*chunk) && !peers.is_near(now, *chunk))
                .filter(|chunk| draws.is_passed(*chunk) || (stalled && chunk.0 < end))
                .collect(),
        };
        let patience = (self.settings.chunk_time, self.draw_patience());
        let is_coming = |chunk: ChunkIndex| open.contains_key(&chunk) || imports.is_offered(chunk);
        let coming: Vec<ChunkIndex> =
            lacking.iter().copied().filter(|chunk| is_coming(*chunk)).collect();
        let remedies = self.imports.remedies(now, patience, self.settings.pace, |chunk| {
            lacking.binary_search(&chunk).is_ok()
        });
        // What has been asked for may come yet, but the time without it counts.
        let is_coming = |remedy: &Remedy| coming.binary_search(&remedy.chunk()).is_ok();
        for remedy in remedies.into_iter().filter(|remedy| !is_coming(remedy)) {
            self.apply(now, remedy, actions);
        }
    }

    pub(super) fn apply(&mut self, now: Moment, remedy: Remedy, actions: &mut Vec<SwarmAction>) {
        match remedy {
            Remedy::Seek(chunk) => {
                let to = self.seats.other_importers(chunk, 2);
                let seek = |to| SwarmAction::Tell { to, note: SwarmNote::Seek(chunk) };
                actions.extend(to.into_iter().map(seek));
            }
            Remedy::Draw(chunk) if self.settings.draws == DrawOrder::Assigned => {
                if !self.is_drawing() && self.window.is_open(now) {
                    self.fetch(now, chunk, ChunkSource::Origin, actions);
                }
            }
            // One at a time: a crowd of draws would only take each other's rate.
            Remedy::Draw(_) if !self.draws.is_empty() => {}
            Remedy::Draw(chunk) => {
                // A draw past the others' front takes the place of a ticket that has been lost.
                let lost = !self.draws.is_passed(chunk);
                let lane = if lost { chunk.0 % ORIGIN_TICKETS } else { LONE_LANE };
                let ticket = DrawTicket { chunk, pool: DrawPool::Origin, lane };
                self.draws.revive(now, ticket);
            }
        }
    }

    /// Hands tickets over again whose receipt or whose chunk has not been heard of.
    pub(super) fn remind(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        let handed: Vec<ChunkIndex> = self.draws.handed().collect();
        let known: Vec<ChunkIndex> =
            handed.into_iter().filter(|chunk| self.is_known(now, *chunk)).collect();
        let draw_time = self.settings.origin_chunk_time;
        let reminders = self.draws.reminders(now, draw_time, |chunk| known.contains(&chunk));
        for reminder in reminders {
            if reminder.hopeless {
                self.draws.take_back(now, reminder.ticket);
                continue;
            }
            let last = reminder.failed.last().copied().filter(|_| reminder.again);
            let next = || self.seats.next_drawer(reminder.ticket.chunk, &reminder.failed);
            let drawer = last.unwrap_or_else(next);
            self.give_ticket(now, reminder.ticket, drawer, actions);
        }
    }

    pub(super) fn give_ticket(
        &mut self,
        now: Moment,
        ticket: DrawTicket,
        drawer: PeerKey,
        actions: &mut Vec<SwarmAction>,
    ) {
        if drawer == self.seats.me().key {
            self.draws.take(now, ticket);
            return;
        }
        self.draws.hand_over(now, ticket, drawer);
        actions.push(SwarmAction::Tell { to: drawer, note: SwarmNote::Ticket(ticket) });
    }

    /// How long a domain bears the lack of a chunk before it draws the chunk again.
    pub(super) fn draw_patience(&self) -> Duration {
        let usual = match self.settings.prefer {
            BurstPreference::Time => Duration::from_secs(3),
            BurstPreference::OriginBytes => Duration::from_secs(12),
        };
        self.settings.pace.draw_patience.unwrap_or(usual)
    }

    /// Assigned chunks that their drawers seem not to bring, oldest first: many later ones have come, nothing
    /// has come for long, or nearly all are here. The clock alone does not tell: an origin that is slow or
    /// was down is slow to all, and chunks drawn a second time would make it slower.
    fn overdue_assigned(&self, now: Moment) -> Vec<ChunkIndex> {
        let is_here =
            |chunk: &ChunkIndex| self.held.contains(*chunk) || self.peers.is_near(now, *chunk);
        let chunks: Vec<ChunkIndex> = (0..self.settings.chunks).map(ChunkIndex).collect();
        let (here, missing): (Vec<ChunkIndex>, Vec<ChunkIndex>) =
            chunks.into_iter().partition(is_here);
        let is_ending = missing.len() as u32 * 100 < self.settings.chunks * ENDING_PERCENT;
        let is_stalled = self.window.is_stalled(now, self.stalled_patience());
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

    /// When an assigned chunk should have been drawn by an origin that keeps its rate.
    fn draw_end(&self, chunk: ChunkIndex) -> Moment {
        self.draw_slot(chunk) + self.settings.origin_chunk_time * (2 * DRAWS_AT_ONCE)
    }

    /// How long nothing may come while assigned chunks are missing and the origin does not fail.
    fn stalled_patience(&self) -> Duration {
        self.settings.origin_chunk_time * CHUNKS_AHEAD + self.settings.pace.seek_patience
    }

    /// How long the draw order may stand still before it is taken to have been lost.
    pub(super) fn stall_patience(&self) -> Duration {
        self.draw_patience() + self.settings.origin_chunk_time * (8 * ORIGIN_TICKETS)
    }
}
