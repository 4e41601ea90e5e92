//! Draws from the origin and the store: tickets held here, retries, and the limit on extras.

use std::{collections::BTreeMap, time::Duration};

use headlatch_types::ChunkIndex;

use super::{DrawPool, DrawTicket};
use crate::time::Moment;

/// Tickets that travel for the origin: as many chunks leave it at the same time.
///
/// Two fill an origin of twice a box's rate; the third covers the hand-over.
pub(super) const ORIGIN_TICKETS: u32 = 3;

/// First pause after the origin or the store refused or failed; it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

#[derive(Debug, Clone, Copy)]
struct HeldTicket {
    not_before: Moment,
    failures: u32,
}

/// Tickets that this box holds.
#[derive(Debug, Clone, Default)]
pub(super) struct DrawLedger {
    held: BTreeMap<DrawTicket, HeldTicket>,
    /// Highest chunk known to have left the origin, and when that was learnt.
    frontier: Option<(ChunkIndex, Moment)>,
    extras: u32,
    next_extra: Moment,
}

impl DrawLedger {
    /// Takes a ticket.
    pub(super) fn take(&mut self, now: Moment, ticket: DrawTicket) {
        self.held.entry(ticket).or_insert(HeldTicket { not_before: now, failures: 0 });
    }

    /// Gives a ticket up, to be passed on; false if it was not held.
    pub(super) fn give(&mut self, ticket: DrawTicket) -> bool {
        self.held.remove(&ticket).is_some()
    }

    /// Whether any ticket is held.
    pub(super) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Tickets held, and whether each may be used now.
    pub(super) fn tickets(&self, now: Moment) -> Vec<(DrawTicket, bool)> {
        self.held.iter().map(|(ticket, held)| (*ticket, held.not_before <= now)).collect()
    }

    /// The source failed; the ticket stays here for a later try.
    pub(super) fn postpone(&mut self, now: Moment, ticket: DrawTicket) {
        if let Some(held) = self.held.get_mut(&ticket) {
            let pause = FIRST_PAUSE.saturating_mul(1 << held.failures.min(6)).min(LONGEST_PAUSE);
            held.not_before = now + pause;
            held.failures += 1;
        }
    }

    /// Notes that a chunk is known to exist among the boxes.
    pub(super) fn advance(&mut self, now: Moment, chunk: ChunkIndex) {
        if self.frontier.is_none_or(|(highest, _)| chunk > highest) {
            self.frontier = Some((chunk, now));
        }
    }

    /// Whether `chunk` should have left the origin by now, judging by chunks after it.
    pub(super) fn is_passed(&self, chunk: ChunkIndex) -> bool {
        self.frontier.is_some_and(|(highest, _)| highest.0 >= chunk.0 + 2 * ORIGIN_TICKETS)
    }

    /// Time since the frontier last moved, counted from `begun` if it never has.
    pub(super) fn stalled(&self, now: Moment, begun: Moment) -> Duration {
        now.since(self.frontier.map_or(begun, |(_, at)| at))
    }

    /// Highest chunk known to have left the origin.
    pub(super) fn frontier(&self) -> Option<ChunkIndex> {
        self.frontier.map(|(chunk, _)| chunk)
    }

    /// Whether one more draw beyond the first copy is due, of `most` in all.
    pub(super) fn is_extra_due(&self, now: Moment, most: u32) -> bool {
        self.extras < most && now >= self.next_extra
    }

    /// Counts a draw beyond the first copy; the next is due after `gap`.
    pub(super) fn take_extra(&mut self, now: Moment, gap: Duration) {
        self.extras += 1;
        self.next_extra = now + gap;
    }

    /// Puts off the first extra draw.
    pub(super) fn delay_extras(&mut self, until: Moment) {
        self.next_extra = self.next_extra.max(until);
    }

    /// The ticket after `ticket` in its pool's order, if there is one.
    pub(super) fn next(ticket: DrawTicket, chunks: u32) -> Option<DrawTicket> {
        let chunk = match ticket.pool {
            DrawPool::Origin => {
                ticket.chunk.0.checked_add(ORIGIN_TICKETS).filter(|chunk| *chunk < chunks)
            }
            DrawPool::Store => ticket.chunk.0.checked_sub(1),
        }?;
        Some(DrawTicket { chunk: ChunkIndex(chunk), pool: ticket.pool })
    }

    /// The tickets that a transfer of `chunks` chunks begins with.
    pub(super) fn first(chunks: u32, store: bool) -> Vec<DrawTicket> {
        let origin = (0..ORIGIN_TICKETS.min(chunks))
            .map(|chunk| DrawTicket { chunk: ChunkIndex(chunk), pool: DrawPool::Origin });
        let last = chunks.checked_sub(1).filter(|_| store);
        let store =
            last.map(|chunk| DrawTicket { chunk: ChunkIndex(chunk), pool: DrawPool::Store });
        origin.chain(store).collect()
    }
}
