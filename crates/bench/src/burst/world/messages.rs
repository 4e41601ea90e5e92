//! What boxes ask of each other and of origin and store, and what becomes of it.

use headlatch_core::{
    burst::{ChunkSource, FetchFailure, PeerKey, PeerStatus, SwarmAction, SwarmEvent, SwarmNote},
    time::Moment,
};
use headlatch_types::ChunkIndex;
use rand::Rng;

use super::{
    BurstWorld, CONNECT_TIMEOUT, MESSAGE_BYTES, OpenFetch, REFUSAL_TIME, STEP_BYTES, WorldEvent,
};

fn note_bytes(note: &SwarmNote) -> u64 {
    match note {
        SwarmNote::Have(chunks) => 4 + 3 * chunks.len() as u64,
        SwarmNote::Bitfield(field) => 4 + u64::from(field.chunks().div_ceil(8)),
        SwarmNote::Ticket(_)
        | SwarmNote::TicketReceived(_)
        | SwarmNote::Offer(_)
        | SwarmNote::Seek(_) => 8,
    }
}

impl BurstWorld {
    pub(in crate::burst) fn act(
        &mut self,
        now: Moment,
        nth: usize,
        transfer: usize,
        action: SwarmAction,
    ) {
        match action {
            SwarmAction::Fetch { chunk, source } => self.fetch(now, nth, transfer, chunk, source),
            SwarmAction::Cancel { chunk, .. } => self.cancel(now, nth, transfer, chunk),
            SwarmAction::Grant { to, chunk } => {
                let (at, source) = (self.index[&to], ChunkSource::Peer(self.boxes[nth].seat.key));
                self.count_control(nth, STEP_BYTES);
                let event = WorldEvent::Turn { at, transfer, chunk, source };
                self.queue.after(self.latency(nth, at), event);
            }
            SwarmAction::AcceptGrant { chunk, source: ChunkSource::Peer(from) } => {
                self.step_back(nth, from, |at| WorldEvent::Take { at, by: nth, transfer, chunk });
            }
            SwarmAction::DeferGrant { chunk, source: ChunkSource::Peer(from) } => {
                self.step_back(nth, from, |at| WorldEvent::Passed { at, by: nth, transfer, chunk });
            }
            SwarmAction::ResumeGrant { chunk, source: ChunkSource::Peer(from) } => {
                self.step_back(nth, from, |at| WorldEvent::Resumed {
                    at,
                    by: nth,
                    transfer,
                    chunk,
                });
            }
            SwarmAction::AcceptGrant { .. }
            | SwarmAction::DeferGrant { .. }
            | SwarmAction::ResumeGrant { .. } => {}
            SwarmAction::Refuse { to, chunk, failure } => {
                self.refuse(nth, transfer, to, chunk, failure);
            }
            SwarmAction::Complete => self.complete(now, nth),
            SwarmAction::SendNote { .. } => {}
        }
    }

    /// Answers a sender on the stream of a fetch.
    pub(in crate::burst) fn step_back(
        &mut self,
        nth: usize,
        from: PeerKey,
        event: impl Fn(usize) -> WorldEvent,
    ) {
        let at = self.index[&from];
        self.count_control(nth, STEP_BYTES);
        self.queue.after(self.latency(nth, at), event(at));
    }

    pub(in crate::burst) fn send_notes(
        &mut self,
        now: Moment,
        nth: usize,
        transfer: usize,
        to: PeerKey,
        notes: Vec<SwarmNote>,
        pulse: PeerStatus,
    ) {
        let bytes = MESSAGE_BYTES + notes.iter().map(note_bytes).sum::<u64>();
        self.count_control(nth, bytes);
        let at = self.index[&to];
        if !self.reaches(now, nth, at) {
            let event = WorldEvent::Lost { at: nth, transfer, peer: to };
            self.queue.after(CONNECT_TIMEOUT, event);
            return;
        }
        if self.rng.random::<f64>() < self.faults.loss {
            return;
        }
        let from = self.boxes[nth].seat.key;
        let latency = self.latency(nth, at);
        self.queue.after(latency, WorldEvent::Notes { to: at, transfer, from, notes, pulse });
    }

    /// Counts control bytes until the last box that is awake serves.
    pub(in crate::burst) fn count_control(&mut self, nth: usize, bytes: u64) {
        if !self.settled {
            self.boxes[nth].control_bytes += bytes;
        }
    }

    pub(in crate::burst) fn fetch(
        &mut self,
        now: Moment,
        nth: usize,
        transfer: usize,
        chunk: ChunkIndex,
        source: ChunkSource,
    ) {
        self.next_fetch += 1;
        let id = self.next_fetch;
        let open = OpenFetch { id, source, flow: None };
        self.boxes[nth].fetches.insert((transfer, chunk), open);
        self.count_control(nth, MESSAGE_BYTES);
        let failed = |failure| WorldEvent::Failed { at: nth, transfer, chunk, fetch: id, failure };
        match source {
            ChunkSource::Peer(key) => {
                let at = self.index[&key];
                if !self.reaches(now, nth, at) {
                    self.queue.after(CONNECT_TIMEOUT, failed(FetchFailure::Unreachable));
                    return;
                }
                let held = self.boxes[nth].planners[transfer].as_ref().map_or(0, |one| one.held());
                let latency = self.latency(nth, at);
                let event = WorldEvent::Asked { at, by: nth, transfer, chunk, held, fetch: id };
                self.queue.after(latency, event);
            }
            ChunkSource::Origin | ChunkSource::Store => {
                match self.outside_failure(now, nth, source) {
                    Some(failure) => self.queue.after(REFUSAL_TIME, failed(failure)),
                    None => self.start_flow(now, None, nth, transfer, chunk, id),
                }
            }
        }
    }

    pub(in crate::burst) fn outside_failure(
        &mut self,
        now: Moment,
        nth: usize,
        source: ChunkSource,
    ) -> Option<FetchFailure> {
        if self.is_cut(now, nth) {
            return Some(FetchFailure::Unreachable);
        }
        if source == ChunkSource::Store {
            let full = self.store_flows >= 2;
            return (self.faults.store_down || full).then_some(FetchFailure::Busy);
        }
        if self.faults.origin_down.is_some_and(|span| span.covers(now)) {
            return Some(FetchFailure::Unreachable);
        }
        let refused = self.rng.random::<f64>() < self.faults.origin_refuses;
        refused.then_some(FetchFailure::Busy)
    }

    pub(in crate::burst) fn deliver_ask(
        &mut self,
        now: Moment,
        at: usize,
        by: usize,
        (transfer, chunk): (usize, ChunkIndex),
        held: u32,
        fetch: u64,
    ) {
        if !self.boxes[at].alive {
            return;
        }
        if self.boxes[at].planners[transfer].is_none() {
            let failure = FetchFailure::Absent;
            let event = WorldEvent::Failed { at: by, transfer, chunk, fetch, failure };
            self.queue.after(self.latency(at, by), event);
            return;
        }
        let from = self.boxes[by].seat.key;
        self.handle(now, at, transfer, SwarmEvent::Requested { from, chunk, held });
    }

    pub(in crate::burst) fn refuse(
        &mut self,
        nth: usize,
        transfer: usize,
        to: PeerKey,
        chunk: ChunkIndex,
        failure: FetchFailure,
    ) {
        let by = self.index[&to];
        let Some(open) = self.boxes[by].fetches.get(&(transfer, chunk)) else { return };
        let event = WorldEvent::Failed { at: by, transfer, chunk, fetch: open.id, failure };
        self.count_control(nth, MESSAGE_BYTES);
        self.queue.after(self.latency(nth, by), event);
    }

    pub(in crate::burst) fn send_chunk(
        &mut self,
        now: Moment,
        nth: usize,
        transfer: usize,
        to: PeerKey,
        chunk: ChunkIndex,
    ) {
        let by = self.index[&to];
        let own = ChunkSource::Peer(self.boxes[nth].seat.key);
        let open = self.boxes[by].fetches.get(&(transfer, chunk));
        let fetch = open.filter(|open| open.source == own).map(|open| open.id);
        match fetch {
            Some(id) if self.boxes[by].alive => {
                self.start_flow(now, Some(nth), by, transfer, chunk, id);
            }
            _ => {
                let event = WorldEvent::Withdrawn { at: nth, by, transfer, chunk };
                self.queue.after(self.latency(nth, by), event);
            }
        }
    }

    pub(in crate::burst) fn cancel(
        &mut self,
        now: Moment,
        nth: usize,
        transfer: usize,
        chunk: ChunkIndex,
    ) {
        let Some(open) = self.boxes[nth].fetches.remove(&(transfer, chunk)) else { return };
        self.count_control(nth, MESSAGE_BYTES);
        if let Some(flow) = open.flow {
            self.flows[flow].broken = true;
        }
        if let ChunkSource::Peer(key) = open.source {
            let at = self.index[&key];
            if self.reaches(now, nth, at) {
                let event = WorldEvent::Withdrawn { at, by: nth, transfer, chunk };
                self.queue.after(self.latency(nth, at), event);
            }
        }
    }

    pub(in crate::burst) fn fail_fetch(
        &mut self,
        now: Moment,
        at: usize,
        (transfer, chunk): (usize, ChunkIndex),
        fetch: u64,
        failure: FetchFailure,
    ) {
        let open = self.boxes[at].fetches.get(&(transfer, chunk)).copied();
        let Some(open) = open.filter(|open| open.id == fetch) else { return };
        self.boxes[at].fetches.remove(&(transfer, chunk));
        let source = open.source;
        self.handle(now, at, transfer, SwarmEvent::Failed { chunk, source, failure });
    }
}
