//! Draws from the origin and the store: tickets held here, retries, and the limit on extras.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use headlatch_types::ChunkIndex;

use super::{DrawPool, DrawTicket, PeerKey};
use crate::time::Moment;

/// Tickets that travel for the origin: as many chunks leave it at the same time.
///
/// Two would fill an origin of twice a box's rate, but a drawer's link is shared with what comes
/// in from peers, so that a draw takes several times as long as the chunk alone would.
pub(super) const ORIGIN_TICKETS: u32 = 6;

/// Tickets that a transfer begins with; more only keep the first chunks from coming soon.
const FIRST_TICKETS: u32 = 2;

/// First pause after the origin or the store refused or failed; it doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(8);

#[derive(Debug, Clone, Copy)]
struct HeldTicket {
    not_before: Moment,
    failures: u32,
}

/// How long a ticket's receipt is waited for before the ticket is handed over again.
const RECEIPT_TIME: Duration = Duration::from_millis(400);

/// How long a chunk whose ticket was received may stay unknown here, besides the time of the
/// draws themselves, before the ticket is given to another box.
const DRAW_TIME: Duration = Duration::from_secs(2);

/// Draws that may pass until news of a chunk has come around.
const DRAWS_UNTIL_NEWS: u32 = 64;

/// Times that one ticket is handed over.
const MOST_HANDOVERS: u32 = 6;

/// A ticket that was handed over, until its chunk is known to exist.
#[derive(Debug, Clone)]
struct Handover {
    to: Vec<PeerKey>,
    since: Moment,
    received: bool,
    tries: u32,
}

/// A ticket to hand over once more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Reminder {
    pub(super) ticket: DrawTicket,
    /// Boxes that had it and did not draw; the last one may just not have received it.
    pub(super) failed: Vec<PeerKey>,
    /// Whether the last of them should have it again.
    pub(super) again: bool,
}

/// Tickets that this box holds or has handed over.
#[derive(Debug, Clone, Default)]
pub(super) struct DrawLedger {
    held: BTreeMap<DrawTicket, HeldTicket>,
    /// Tickets that were here once: a repeated one must not start a second row of draws.
    seen: BTreeSet<DrawTicket>,
    handed: BTreeMap<DrawTicket, Handover>,
    /// Highest chunk known to have left the origin, and when that was learnt.
    frontier: Option<(ChunkIndex, Moment)>,
    extras: u32,
    next_extra: Moment,
}

impl DrawLedger {
    /// Takes a ticket, unless it was here before.
    pub(super) fn take(&mut self, now: Moment, ticket: DrawTicket) {
        if self.seen.insert(ticket) {
            self.retake(now, ticket);
        }
    }

    /// Takes a ticket although it may have been here before.
    pub(super) fn retake(&mut self, now: Moment, ticket: DrawTicket) {
        self.held.entry(ticket).or_insert(HeldTicket { not_before: now, failures: 0 });
    }

    /// A ticket goes to another box.
    pub(super) fn hand_over(&mut self, now: Moment, ticket: DrawTicket, to: PeerKey) {
        let fresh = Handover { to: Vec::new(), since: now, received: false, tries: 0 };
        let handover = self.handed.entry(ticket).or_insert(fresh);
        if handover.to.last() != Some(&to) {
            handover.to.push(to);
        }
        handover.since = now;
        handover.received = false;
        handover.tries += 1;
    }

    /// A box has received a ticket.
    pub(super) fn note_receipt(&mut self, now: Moment, ticket: DrawTicket, from: PeerKey) {
        let handover = self.handed.get_mut(&ticket).filter(|one| one.to.last() == Some(&from));
        if let Some(handover) = handover {
            handover.received = true;
            handover.since = now;
        }
    }

    /// Tickets that have to be handed over once more.
    pub(super) fn reminders(
        &mut self,
        now: Moment,
        draw_time: Duration,
        is_known: impl Fn(ChunkIndex) -> bool,
    ) -> Vec<Reminder> {
        self.handed.retain(|ticket, one| !is_known(ticket.chunk) && one.tries < MOST_HANDOVERS);
        let patience = |one: &Handover| match one.received {
            true => DRAW_TIME + draw_time * DRAWS_UNTIL_NEWS,
            false => RECEIPT_TIME,
        };
        let due = self.handed.iter().filter(|(_, one)| now.since(one.since) >= patience(one));
        due.map(|(ticket, one)| Reminder {
            ticket: *ticket,
            failed: one.to.clone(),
            again: !one.received && one.tries % 2 == 1,
        })
        .collect()
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

    /// The further ticket that the end of an early draw sets off, until all are on their way.
    pub(super) fn multiply(ticket: DrawTicket, chunks: u32) -> Option<DrawTicket> {
        let chunk = ticket.chunk.0 + FIRST_TICKETS;
        let early = ticket.pool == DrawPool::Origin && chunk < ORIGIN_TICKETS && chunk < chunks;
        early.then_some(DrawTicket { chunk: ChunkIndex(chunk), pool: ticket.pool })
    }

    /// The tickets that a transfer of `chunks` chunks begins with.
    pub(super) fn first(chunks: u32, store: bool) -> Vec<DrawTicket> {
        let origin = (0..FIRST_TICKETS.min(chunks))
            .map(|chunk| DrawTicket { chunk: ChunkIndex(chunk), pool: DrawPool::Origin });
        let last = chunks.checked_sub(1).filter(|_| store);
        let store =
            last.map(|chunk| DrawTicket { chunk: ChunkIndex(chunk), pool: DrawPool::Store });
        origin.chain(store).collect()
    }
}
