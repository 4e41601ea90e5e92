//! Boxes that begin, join, pause and die, and who is seen to take part.

use headlatch_core::{
    burst::{PeerLocation, SwarmEvent},
    time::Moment,
};
use headlatch_types::ChunkIndex;
use rand::Rng;

use super::{BurstWorld, Flow, WorldEvent};
use crate::burst::links::LinkTrouble;

impl BurstWorld {
    pub(super) fn begin(&mut self, now: Moment, nth: usize) {
        if !self.boxes[nth].alive {
            return;
        }
        for transfer in self.boxes[nth].wanted.clone() {
            self.start_transfer(now, nth, transfer);
        }
        self.queue.after(self.tick_pause(), WorldEvent::Tick(nth));
        let spread = self.seats_pause().mul_f64(self.rng.random::<f64>());
        self.queue.after(spread, WorldEvent::Seats(nth));
    }

    /// The boxes that take part in a transfer, as membership shows them now.
    pub(super) fn visible_seats(&self, now: Moment, transfer: usize) -> Vec<PeerLocation> {
        let seen_until = self.faults.lag.map_or(Moment::ZERO, |lag| now - lag);
        let joined = |nth: &usize| self.faults.joins.iter().any(|(late, _)| late == nth);
        let mut visible: Vec<bool> = (0..self.boxes.len()).map(|nth| !joined(&nth)).collect();
        for (at, nth, alive) in &self.changes {
            if *at <= seen_until {
                visible[*nth] = *alive;
            }
        }
        self.boxes
            .iter()
            .zip(visible)
            .enumerate()
            .filter(|(nth, (_, seen))| *seen && self.takes_part(*nth, transfer))
            .map(|(_, (one, _))| one.seat)
            .collect()
    }

    /// Whether the fleet file gives a box this transfer, now or after the change of version.
    pub(super) fn takes_part(&self, nth: usize, transfer: usize) -> bool {
        let changes = self.faults.superseded.is_some();
        changes || self.first_wanted(nth).contains(&transfer)
    }

    pub(super) fn reseat(&mut self, now: Moment, nth: usize) {
        if !self.boxes[nth].alive {
            return;
        }
        let horizon = now - self.seats_pause();
        let lag = self.faults.lag.unwrap_or_default();
        let changed = self.changes.iter().any(|(at, ..)| *at + lag > horizon && *at + lag <= now);
        for transfer in 0..self.transfers.len() {
            if changed && self.boxes[nth].planners[transfer].is_some() {
                let seats = self.visible_seats(now, transfer);
                self.handle(now, nth, transfer, SwarmEvent::Peers(seats));
            }
        }
        self.queue.after(self.seats_pause(), WorldEvent::Seats(nth));
    }

    pub(super) fn die(&mut self, now: Moment, nth: usize) {
        self.boxes[nth].alive = false;
        self.boxes[nth].planners.iter_mut().for_each(|planner| *planner = None);
        self.boxes[nth].fetches.clear();
        self.changes.push((now, nth, false));
        let broken = |flow: &&mut Flow| flow.sender == Some(nth) || flow.receiver == nth;
        self.flows.iter_mut().filter(broken).for_each(|flow| flow.broken = true);
    }

    pub(super) fn join(&mut self, now: Moment, nth: usize) {
        self.boxes[nth].alive = true;
        self.changes.push((now, nth, true));
        self.begin(now, nth);
    }

    pub(super) fn pause(&mut self, now: Moment, nth: usize, until: Moment) {
        self.boxes[nth].paused_until = Some(until);
        let trouble = LinkTrouble { from: now, until, slowdown: None };
        let (up, down) = (self.boxes[nth].up, self.boxes[nth].down);
        self.links[up].trouble(trouble);
        if down != up {
            self.links[down].trouble(trouble);
        }
    }

    /// The second version takes the place of the first; chunks that both have are kept.
    pub(super) fn supersede(&mut self, now: Moment, nth: usize) {
        if !self.boxes[nth].alive {
            return;
        }
        let first = self.boxes[nth].stored[0].clone();
        let wanted = self.transfers[1].contents.clone();
        for ((slot, old), content) in self.boxes[nth].stored[1].iter_mut().zip(first).zip(wanted) {
            *slot = old.filter(|held| *held == content);
        }
        let open: Vec<(usize, ChunkIndex)> = self.boxes[nth].fetches.keys().copied().collect();
        let mut open = open;
        open.sort();
        for (transfer, chunk) in open {
            self.cancel(now, nth, transfer, chunk);
        }
        self.boxes[nth].planners[0] = None;
        self.boxes[nth].wanted = vec![1];
        self.boxes[nth].served_at = None;
        self.settled = false;
        self.start_transfer(now, nth, 1);
    }
}
