//! Draws from the origin and the store: held tickets, retries, and the limit on extra draws.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use headlatch_types::ChunkIndex;

use super::{DrawPool, DrawTicket, PeerKey};
use crate::time::Moment;

/// Number of origin tickets in circulation, which limits concurrent draws from the origin.
///
/// Two would saturate an origin of twice a box's rate, but draws share the box's link with downloads
/// from peers and therefore take several times as long as the chunk alone.
pub(super) const ORIGIN_TICKETS: u32 = 6;

/// Lane of a ticket that replaces a lost draw. It is not passed on after its chunk.
pub(super) const REPLACEMENT_LANE: u32 = u32::MAX;

/// Number of origin tickets issued at the start. More would only delay the first chunks.
const FIRST_TICKETS: u32 = 2;

/// Initial backoff after a failed draw from the origin or the store; doubles with each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);

const MAX_BACKOFF: Duration = Duration::from_secs(8);

#[derive(Debug, Clone, Copy)]
struct HeldTicket {
    not_before: Moment,
    failures: u32,
}

/// Time without an acknowledgement after which a ticket is sent again.
const RECEIPT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which an acknowledged ticket is given to another box if its chunk is not known to have
/// been fetched, in addition to the time of the draws themselves.
const DRAW_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of draws to allow for until the announcement of a chunk has propagated.
const DRAWS_UNTIL_NEWS: u32 = 64;

/// Maximum number of times that a ticket is sent.
const MAX_HANDOVERS: u32 = 6;

/// A ticket sent to another box and kept until its chunk is known to be held or offered.
#[derive(Debug, Clone)]
struct Handover {
    to: Vec<PeerKey>,
    since: Moment,
    received: bool,
    tries: u32,
}

/// A ticket that is due to be sent again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct TicketResend {
    pub(super) ticket: DrawTicket,
    /// Boxes to which the ticket was sent without result. The last one may not have received it.
    pub(super) failed: Vec<PeerKey>,
    /// Whether to send it to the last of them again.
    pub(super) again: bool,
    /// Whether the maximum number of sends is reached, as in a domain that is partitioned off.
    pub(super) exhausted: bool,
}

/// Tickets that this box holds or has sent to others.
#[derive(Debug, Clone, Default)]
pub(super) struct DrawLedger {
    held: BTreeMap<DrawTicket, HeldTicket>,
    /// All tickets received so far; a duplicate must not start a second sequence of draws.
    seen: BTreeSet<DrawTicket>,
    handed: BTreeMap<DrawTicket, Handover>,
    drawn: u32,
    /// When `drawn` last increased.
    advanced: Option<Moment>,
    extras: u32,
    next_extra: Moment,
}

impl DrawLedger {
    /// Accepts a ticket unless it is a duplicate.
    pub(super) fn take(&mut self, now: Moment, ticket: DrawTicket) {
        self.advance_past(now, ticket);
        if self.seen.insert(ticket) {
            self.hold(now, ticket);
        }
    }

    fn advance_past(&mut self, now: Moment, ticket: DrawTicket) {
        if ticket.pool == DrawPool::Origin {
            self.advance(now, ticket.chunk.0 + 1);
        }
    }

    /// Holds a ticket created by this box to replace a lost one.
    pub(super) fn replace_lost(&mut self, now: Moment, ticket: DrawTicket) {
        if ticket.lane != REPLACEMENT_LANE {
            self.advance_past(now, ticket);
        }
        self.hold(now, ticket);
    }

    /// Takes back a ticket that no other box has used.
    pub(super) fn take_back(&mut self, now: Moment, ticket: DrawTicket) {
        self.handed.remove(&ticket);
        self.hold(now, ticket);
    }

    /// Holds a ticket, even if it was received before.
    fn hold(&mut self, now: Moment, ticket: DrawTicket) {
        self.held.entry(ticket).or_insert(HeldTicket { not_before: now, failures: 0 });
    }

    /// Records that a ticket is sent to another box.
    pub(super) fn hand_over(&mut self, now: Moment, ticket: DrawTicket, to: PeerKey) {
        self.advance_past(now, ticket);
        let fresh = Handover { to: Vec::new(), since: now, received: false, tries: 0 };
        let handover = self.handed.entry(ticket).or_insert(fresh);
        if handover.to.last() != Some(&to) {
            handover.to.push(to);
        }
        handover.since = now;
        handover.received = false;
        handover.tries += 1;
    }

    /// Records that a box acknowledged a ticket.
    pub(super) fn record_receipt(&mut self, now: Moment, ticket: DrawTicket, from: PeerKey) {
        let handover = self.handed.get_mut(&ticket).filter(|one| one.to.last() == Some(&from));
        if let Some(handover) = handover {
            handover.received = true;
            handover.since = now;
        }
    }

    /// Chunks of the tickets sent to other boxes and still tracked.
    pub(super) fn handed_over(&self) -> impl Iterator<Item = ChunkIndex> + '_ {
        self.handed.keys().map(|ticket| ticket.chunk)
    }

    /// Tickets that are due to be sent again.
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

    /// Removes a ticket in order to pass it on; `false` if it was not held.
    pub(super) fn release(&mut self, ticket: DrawTicket) -> bool {
        self.held.remove(&ticket).is_some()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Held tickets, and whether the backoff of each has elapsed.
    pub(super) fn tickets(&self, now: Moment) -> Vec<(DrawTicket, bool)> {
        self.held.iter().map(|(ticket, held)| (*ticket, held.not_before <= now)).collect()
    }

    /// Delays the tickets of a failed draw, which are kept for a retry.
    pub(super) fn postpone(&mut self, now: Moment, chunk: ChunkIndex, pool: DrawPool) {
        let tickets = self.held.iter_mut();
        for (_, held) in tickets.filter(|(one, _)| one.chunk == chunk && one.pool == pool) {
            let pause = INITIAL_BACKOFF.saturating_mul(1 << held.failures.min(6)).min(MAX_BACKOFF);
            held.not_before = now + pause;
            held.failures += 1;
        }
    }

    /// Records that `drawn` chunks have had their draws scheduled, if that is an increase.
    pub(super) fn advance(&mut self, now: Moment, drawn: u32) {
        if drawn > self.drawn {
            self.drawn = drawn;
            self.advanced = Some(now);
        }
    }

    /// Number of chunks whose origin draw has been scheduled, as far as is known.
    ///
    /// Derived from tickets only: a chunk can be held without having been drawn, because versions
    /// share chunks.
    pub(super) fn drawn(&self) -> u32 {
        self.drawn
    }

    /// Whether draws have progressed so far past `chunk` that it should be available.
    pub(super) fn is_passed(&self, chunk: ChunkIndex) -> bool {
        self.drawn > chunk.0 + 2 * ORIGIN_TICKETS
    }

    /// Time since draws last progressed, counted from `begun` if they have not yet.
    pub(super) fn stalled(&self, now: Moment, begun: Moment) -> Duration {
        now.since(self.advanced.unwrap_or(begun))
    }

    /// Whether an extra draw, beyond the first copy of a chunk, is due; at most `most` are allowed.
    pub(super) fn is_extra_due(&self, now: Moment, most: u32) -> bool {
        self.extras < most && now >= self.next_extra
    }

    /// Counts an extra draw; the next is due after `gap`.
    pub(super) fn take_extra(&mut self, now: Moment, gap: Duration) {
        self.extras += 1;
        self.next_extra = now + gap;
    }

    /// Delays the next extra draw at least until `until`.
    pub(super) fn delay_extras(&mut self, until: Moment) {
        self.next_extra = self.next_extra.max(until);
    }

    /// The successor of `ticket` in the order of its pool, if any.
    pub(super) fn next(ticket: DrawTicket, chunks: u32) -> Option<DrawTicket> {
        let chunk = match ticket.pool {
            _ if ticket.lane == REPLACEMENT_LANE => None,
            DrawPool::Origin => Some(ticket.chunk.0 + 1).filter(|chunk| *chunk < chunks),
            DrawPool::Store => ticket.chunk.0.checked_sub(1),
        }?;
        Some(DrawTicket { chunk: ChunkIndex(chunk), ..ticket })
    }

    /// The additional ticket issued when an early draw ends, until [`ORIGIN_TICKETS`] are in circulation.
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

    /// The initial tickets of a transfer of `chunks` chunks.
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
