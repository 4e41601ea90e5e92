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

/// Lane of a draw that makes up for a lost one; it ends with its chunk.
pub(super) const REPLACEMENT_LANE: u32 = u32::MAX;

/// Tickets that a transfer begins with; more only keep the first chunks from coming soon.
const FIRST_TICKETS: u32 = 2;

/// First pause after the origin or the store refused or failed; it doubles each time.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

/// Longest such pause.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

#[derive(Debug, Clone, Copy)]
struct HeldTicket {
    not_before: Moment,
    failures: u32,
}

/// How long a ticket's receipt is waited for before the ticket is handed over again.
const RECEIPT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long a chunk whose ticket was received may stay unknown here, besides the time of the
/// draws themselves, before the ticket is given to another box.
const DRAW_TIMEOUT: Duration = Duration::from_secs(2);

/// Draws that may pass until news of a chunk has come around.
const DRAWS_UNTIL_NEWS: u32 = 64;

/// Times that one ticket is handed over.
const MAX_HANDOVERS: u32 = 6;

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
pub(super) struct TicketResend {
    pub(super) ticket: DrawTicket,
    /// Boxes that had it and did not draw; the last one may just not have received it.
    pub(super) failed: Vec<PeerKey>,
    /// Whether the last of them should have it again.
    pub(super) again: bool,
    /// Whether nobody seems to be there to take it, as in a domain that is cut off.
    pub(super) exhausted: bool,
}

/// Tickets that this box holds or has handed over.
#[derive(Debug, Clone, Default)]
pub(super) struct DrawLedger {
    held: BTreeMap<DrawTicket, HeldTicket>,
    /// Tickets that were here once: a repeated one must not start a second row of draws.
    seen: BTreeSet<DrawTicket>,
    handed: BTreeMap<DrawTicket, Handover>,
    drawn: u32,
    /// When the draws last got on.
    advanced: Option<Moment>,
    extras: u32,
    next_extra: Moment,
}

impl DrawLedger {
    /// Takes a ticket, unless it was here before.
    pub(super) fn take(&mut self, now: Moment, ticket: DrawTicket) {
        self.note_turn(now, ticket);
        if self.seen.insert(ticket) {
            self.hold(now, ticket);
        }
    }

    fn note_turn(&mut self, now: Moment, ticket: DrawTicket) {
        if ticket.pool == DrawPool::Origin {
            self.advance(now, ticket.chunk.0 + 1);
        }
    }

    /// Takes a ticket that this box makes itself, in place of one that was lost.
    pub(super) fn replace_lost(&mut self, now: Moment, ticket: DrawTicket) {
        if ticket.lane != REPLACEMENT_LANE {
            self.note_turn(now, ticket);
        }
        self.hold(now, ticket);
    }

    /// Takes back a ticket that nobody else would have.
    pub(super) fn take_back(&mut self, now: Moment, ticket: DrawTicket) {
        self.handed.remove(&ticket);
        self.hold(now, ticket);
    }

    /// Takes a ticket although it may have been here before.
    fn hold(&mut self, now: Moment, ticket: DrawTicket) {
        self.held.entry(ticket).or_insert(HeldTicket { not_before: now, failures: 0 });
    }

    /// A ticket goes to another box.
    pub(super) fn hand_over(&mut self, now: Moment, ticket: DrawTicket, to: PeerKey) {
        self.note_turn(now, ticket);
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

    /// Chunks whose tickets were handed over and are not known to have come.
    pub(super) fn handed_over(&self) -> impl Iterator<Item = ChunkIndex> + '_ {
        self.handed.keys().map(|ticket| ticket.chunk)
    }

    /// Tickets that have to be handed over once more.
    pub(super) fn due_resends(
        &mut self,
        now: Moment,
        draw_time: Duration,
        is_known: impl Fn(ChunkIndex) -> bool,
    ) -> Vec<TicketResend> {
        self.handed.retain(|ticket, _| !is_known(ticket.chunk));
        let patience = |one: &Handover| match one.received {
            true => DRAW_TIMEOUT + draw_time * DRAWS_UNTIL_NEWS,
            false => RECEIPT_TIMEOUT,
        };
        let due = self.handed.iter().filter(|(_, one)| now.since(one.since) >= patience(one));
        due.map(|(ticket, one)| TicketResend {
            ticket: *ticket,
            failed: one.to.clone(),
            again: !one.received && one.tries % 2 == 1,
            exhausted: one.tries >= MAX_HANDOVERS,
        })
        .collect()
    }

    /// Gives a ticket up, to be passed on; false if it was not held.
    pub(super) fn release(&mut self, ticket: DrawTicket) -> bool {
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

    /// A draw failed; its tickets stay here for a later try.
    pub(super) fn postpone(&mut self, now: Moment, chunk: ChunkIndex, pool: DrawPool) {
        let tickets = self.held.iter_mut();
        for (_, held) in tickets.filter(|(one, _)| one.chunk == chunk && one.pool == pool) {
            let pause = INITIAL_BACKOFF.saturating_mul(1 << held.failures.min(6)).min(MAX_BACKOFF);
            held.not_before = now + pause;
            held.failures += 1;
        }
    }

    /// Notes that the draws have come to `drawn` chunks.
    pub(super) fn advance(&mut self, now: Moment, drawn: u32) {
        if drawn > self.drawn {
            self.drawn = drawn;
            self.advanced = Some(now);
        }
    }

    /// Chunks that have had their turn to be drawn, as far as is known.
    ///
    /// Only tickets tell: that a chunk exists says nothing where versions share chunks.
    pub(super) fn drawn(&self) -> u32 {
        self.drawn
    }

    /// Whether `chunk` should have come by now, judging by draws after it.
    pub(super) fn is_passed(&self, chunk: ChunkIndex) -> bool {
        self.drawn > chunk.0 + 2 * ORIGIN_TICKETS
    }

    /// Time since the draws last got on, counted from `begun` if they never have.
    pub(super) fn stalled(&self, now: Moment, begun: Moment) -> Duration {
        now.since(self.advanced.unwrap_or(begun))
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
            _ if ticket.lane == REPLACEMENT_LANE => None,
            DrawPool::Origin => Some(ticket.chunk.0 + 1).filter(|chunk| *chunk < chunks),
            DrawPool::Store => ticket.chunk.0.checked_sub(1),
        }?;
        Some(DrawTicket { chunk: ChunkIndex(chunk), ..ticket })
    }

    /// The further ticket that the end of an early draw sets off, until all are on their way.
    pub(super) fn add_lane(ticket: DrawTicket, chunks: u32) -> Option<DrawTicket> {
        let lane = ticket.lane.saturating_add(FIRST_TICKETS);
        let chunk = ticket.chunk.0 + FIRST_TICKETS;
        let early = ticket.pool == DrawPool::Origin && ticket.chunk.0 == ticket.lane;
        (early && lane < ORIGIN_TICKETS && chunk < chunks).then_some(DrawTicket {
            chunk: ChunkIndex(chunk),
            pool: ticket.pool,
            lane,
        })
    }

    /// The tickets that a transfer of `chunks` chunks begins with.
    pub(super) fn first(chunks: u32, store: bool) -> Vec<DrawTicket> {
        let pool = DrawPool::Origin;
        let origin = (0..FIRST_TICKETS.min(chunks)).map(|lane| DrawTicket {
            chunk: ChunkIndex(lane),
            pool,
            lane,
        });
        let last = chunks.checked_sub(1).filter(|_| store);
        let pool = DrawPool::Store;
        let store = last.map(|chunk| DrawTicket { chunk: ChunkIndex(chunk), pool, lane: 0 });
        origin.chain(store).collect()
    }
}
