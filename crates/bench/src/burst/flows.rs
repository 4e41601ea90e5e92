//! Chunks on their way over the fake links, block by block.

use std::time::Duration;

use headlatch_core::{
    burst::{ChunkSource, FetchFailure, SwarmEvent},
    time::Moment,
};
use headlatch_types::ChunkIndex;
use rand::Rng;

use super::world::{BLOCKS, BurstWorld, Flow, OUTSIDE, REFUSAL_TIME, WINDOW, WorldEvent};

impl BurstWorld {
    pub(super) fn start_flow(
        &mut self,
        now: Moment,
        sender: Option<usize>,
        receiver: usize,
        transfer: usize,
        chunk: ChunkIndex,
        fetch: u64,
    ) {
        let Some(open) = self.boxes[receiver].fetches.get(&(transfer, chunk)) else { return };
        let source = open.source;
        let to = &self.boxes[receiver];
        let mut path = match (source, sender) {
            (ChunkSource::Origin, _) => vec![self.origin_link],
            (ChunkSource::Store, _) => vec![self.store_link],
            (ChunkSource::Peer(_), nth) => {
                vec![nth.map_or(self.origin_link, |nth| self.boxes[nth].up)]
            }
        };
        if let Some(from) = sender.map(|nth| &self.boxes[nth]) {
            if from.region != to.region {
                path.push(self.region_links[to.region]);
            }
            if from.domain != to.domain {
                path.push(self.domain_links[to.domain]);
            }
        }
        path.push(to.down);
        self.store_flows += u32::from(source == ChunkSource::Store);
        let latency = sender.map_or(OUTSIDE, |nth| self.latency(nth, receiver));
        let flow = Flow {
            transfer,
            chunk,
            source,
            sender,
            receiver,
            fetch,
            path,
            latency,
            sent: 0,
            arrived: 0,
            broken: false,
        };
        let id = match self.free_flows.pop() {
            Some(id) => {
                self.flows[id] = flow;
                id
            }
            None => {
                self.flows.push(flow);
                self.flows.len() - 1
            }
        };
        if let Some(open) = self.boxes[receiver].fetches.get_mut(&(transfer, chunk)) {
            open.flow = Some(id);
        }
        (0..WINDOW.min(BLOCKS)).for_each(|_| self.send_block(now, id));
        self.watch_silence(id);
    }

    /// Looks at a draw again after the time for which it may be silent.
    fn watch_silence(&mut self, id: usize) {
        let flow = &self.flows[id];
        if flow.source != ChunkSource::Origin || self.options.draw_silence_ms == 0 {
            return;
        }
        let (fetch, arrived) = (flow.fetch, flow.arrived);
        let silence = Duration::from_millis(self.options.draw_silence_ms);
        self.queue.after(silence, WorldEvent::Silence { flow: id, fetch, arrived });
    }

    /// Ends a draw for which nothing has come since `arrived` blocks had; what is on the origin's
    /// link by then is sent all the same.
    pub(super) fn end_silent(&mut self, id: usize, fetch: u64, arrived: u32) {
        let flow = &self.flows[id];
        if flow.fetch != fetch || flow.broken || flow.sent == flow.arrived {
            return;
        }
        if flow.arrived > arrived {
            return self.watch_silence(id);
        }
        self.flows[id].broken = true;
    }

    /// Puts the next block of a flow on its way.
    pub(super) fn send_block(&mut self, now: Moment, id: usize) {
        let flow = &mut self.flows[id];
        if flow.sent < BLOCKS {
            flow.sent += 1;
            self.move_block(now, id, 0);
        }
    }

    pub(super) fn move_block(&mut self, now: Moment, id: usize, hop: usize) {
        if self.is_broken(now, id) {
            self.retire_block(id, now);
            return;
        }
        let flow = &self.flows[id];
        let last = flow.path.len();
        if hop == last {
            self.arrive(now, id);
            return;
        }
        let left = self.links[flow.path[hop]].send(now);
        self.count_block(id, hop);
        let flow = &self.flows[id];
        let travel = if hop + 1 == last { flow.latency } else { Duration::ZERO };
        self.queue.at(left + travel, WorldEvent::Block { flow: id, hop: hop + 1 });
    }

    pub(super) fn is_broken(&self, now: Moment, id: usize) -> bool {
        let flow = &self.flows[id];
        let cut = match flow.sender {
            Some(nth) => {
                let apart = self.boxes[nth].domain != self.boxes[flow.receiver].domain;
                apart && (self.is_cut(now, nth) || self.is_cut(now, flow.receiver))
            }
            None => self.is_cut(now, flow.receiver),
        };
        let down = flow.source == ChunkSource::Origin
            && self.faults.origin_down.is_some_and(|span| span.covers(now));
        flow.broken || cut || down
    }

    /// A block of a broken flow is gone; with the last one the flow ends.
    pub(super) fn retire_block(&mut self, id: usize, now: Moment) {
        let flow = &mut self.flows[id];
        flow.broken = true;
        flow.arrived += 1;
        if flow.arrived == flow.sent {
            self.end_flow(now, id);
        }
    }

    pub(super) fn count_block(&mut self, id: usize, hop: usize) {
        let flow = &self.flows[id];
        if hop > 0 {
            return;
        }
        match flow.source {
            ChunkSource::Origin => self.origin_blocks += 1,
            ChunkSource::Store => self.store_blocks += 1,
            ChunkSource::Peer(_) => {
                let (Some(sender), receiver) = (flow.sender, flow.receiver) else { return };
                let (from, to) = (&self.boxes[sender], &self.boxes[receiver]);
                self.domain_blocks[to.domain] += u64::from(from.domain != to.domain);
                self.region_blocks[to.region] += u64::from(from.region != to.region);
            }
        }
    }

    pub(super) fn arrive(&mut self, now: Moment, id: usize) {
        let flow = &mut self.flows[id];
        flow.arrived += 1;
        let latency = flow.latency;
        if flow.arrived == BLOCKS {
            self.deliver(now, id);
            self.end_flow(now, id);
        } else {
            self.queue.after(latency, WorldEvent::Ack { flow: id });
        }
    }

    pub(super) fn end_flow(&mut self, now: Moment, id: usize) {
        let flow = &self.flows[id];
        let (sender, receiver) = (flow.sender, flow.receiver);
        let (transfer, chunk, latency) = (flow.transfer, flow.chunk, flow.latency);
        self.store_flows -= u32::from(flow.source == ChunkSource::Store);
        let open = self.boxes[receiver].fetches.get_mut(&(transfer, chunk));
        let mut broken_fetch = None;
        if let Some(open) = open.filter(|open| open.flow == Some(id)) {
            open.flow = None;
            broken_fetch = Some(open.id);
        }
        if let Some(fetch) = broken_fetch.filter(|_| flow.source == ChunkSource::Origin) {
            let failure = FetchFailure::Unreachable;
            let event = WorldEvent::Failed { at: receiver, transfer, chunk, fetch, failure };
            self.queue.after(REFUSAL_TIME, event);
        }
        if let Some(nth) = sender.filter(|nth| self.boxes[*nth].alive) {
            let event = WorldEvent::Withdrawn { at: nth, by: receiver, transfer, chunk };
            self.queue.at(now + latency, event);
        }
        self.flows[id].sent = BLOCKS;
        self.free_flows.push(id);
    }

    /// All blocks of a chunk are here: verifies it as an agent would.
    pub(super) fn deliver(&mut self, now: Moment, id: usize) {
        let flow = &self.flows[id];
        let (nth, transfer, chunk) = (flow.receiver, flow.transfer, flow.chunk);
        let (source, fetch, sender) = (flow.source, flow.fetch, flow.sender);
        let current = self.boxes[nth].fetches.get(&(transfer, chunk));
        if current.is_none_or(|open| open.id != fetch) {
            return;
        }
        self.boxes[nth].fetches.remove(&(transfer, chunk));
        let truth = self.transfers[transfer].contents[chunk.0 as usize];
        let held =
            sender.map_or(Some(truth), |from| self.boxes[from].stored[transfer][chunk.0 as usize]);
        let spoilt = sender.is_some() && sender == self.faults.corrupter
            || self.rng.random::<f64>() < self.faults.corrupt_part;
        let content = held.map_or(0, |content| if spoilt { content ^ 1 } else { content });
        if content != truth {
            self.refetched += 1;
            let failure = FetchFailure::Corrupt;
            self.handle(now, nth, transfer, SwarmEvent::Failed { chunk, source, failure });
            return;
        }
        let slot = &mut self.boxes[nth].stored[transfer][chunk.0 as usize];
        self.refetched += u64::from(slot.is_some());
        *slot = Some(content);
        self.handle(now, nth, transfer, SwarmEvent::Verified { chunk, source });
    }
}
