//! What a burst comes to.

use headlatch_core::time::Moment;

use super::{BLOCKS, BurstWorld, FakeBox};
use crate::burst::BurstReport;

fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}

impl BurstWorld {
    /// Writes a line about how far the boxes are and how busy their links have been.
    pub(in crate::burst) fn print_progress(&self, now: Moment) {
        let held = |one: &FakeBox| {
            one.wanted
                .iter()
                .filter_map(|at| one.planners[*at].as_ref())
                .map(|one| one.held())
                .sum()
        };
        let counts: Vec<u32> = self.boxes.iter().filter(|one| one.alive).map(held).collect();
        let mean = f64::from(counts.iter().sum::<u32>()) / counts.len() as f64;
        let (least, most) = (counts.iter().min(), counts.iter().max());
        let waiting: u32 = self
            .boxes
            .iter()
            .filter_map(|one| one.planners[0].as_ref())
            .map(|one| one.pulse().queue)
            .sum();
        let flows = self.flows.len() - self.free_flows.len();
        eprintln!(
            "{now} held {:?} to {:?}, {mean:.1} on average; {flows} flows, {waiting} waiting; \
             origin sent {:.1}",
            least.unwrap_or(&0),
            most.unwrap_or(&0),
            self.origin_blocks as f64 / f64::from(BLOCKS),
        );
    }

    /// What the run came to.
    pub fn report(&self) -> BurstReport {
        let awake = |one: &&FakeBox| one.alive && one.paused_until.is_none();
        let living = self.boxes.iter().filter(|one| one.alive);
        let last = self.boxes.iter().filter(awake).filter_map(|one| one.served_at).max();
        let end = last.unwrap_or(self.queue.now()).seconds();
        let bound = self.bound_seconds();
        let copy_blocks = f64::from(self.options.chunks() * BLOCKS);
        let most = |blocks: &[u64]| blocks.iter().copied().max().unwrap_or(0) as f64 / copy_blocks;
        let control: u64 = self.boxes.iter().map(|one| one.control_bytes).sum();
        BurstReport {
            boxes: self.options.boxes,
            seconds_to_n: round(end),
            bound_seconds: round(bound),
            time_ratio: round(end / bound),
            origin_copies: round(self.origin_blocks as f64 / copy_blocks),
            missing_after_outage: round(self.missing_after_outage),
            store_copies: round(self.store_blocks as f64 / copy_blocks),
            cross_domain_copies: round(most(&self.domain_blocks)),
            cross_region_copies: round(most(&self.region_blocks)),
            chunks_refetched: self.refetched,
            corrupt_accepted: self.corrupt_accepted,
            mixed_served: self.mixed_served,
            unfinished: living.filter(|one| one.served_at.is_none()).count() as u64,
            control_bytes_per_box_second: round(
                control as f64 / f64::from(self.options.boxes) / end,
            ),
            agent_peak_bytes: self.peak_bytes,
            wall_seconds: round(self.begun.elapsed().as_secs_f64()),
        }
    }

    /// The bound of the options, corrected for what this run's faults add to the work.
    pub(in crate::burst) fn bound_seconds(&self) -> f64 {
        let bound = self.options.bound_seconds();
        if let Some(at) = self.faults.superseded {
            // Half of what came before the change belongs to the second version as well.
            return bound + at.seconds() / 2.0;
        }
        if self.faults.two_bursts {
            let outside = self.options.origin_copies + self.options.store_copies;
            return bound.max(2.0 * self.options.window_seconds as f64 / outside);
        }
        let copy = self.options.window_seconds as f64 / self.options.usable_box_copies();
        let joined = self.faults.joins.iter().map(|(_, at)| at.seconds() + copy);
        let bound = if self.faults.adapters { bound * 17.0 / 16.0 } else { bound };
        joined.fold(bound, f64::max)
    }

    /// Part of the first version's chunks that no living box holds.
    pub(super) fn missing_part(&self) -> f64 {
        let chunks = self.transfers[0].contents.len();
        let living = || self.boxes.iter().filter(|one| one.alive);
        let is_missing = |chunk: &usize| living().all(|one| one.stored[0][*chunk].is_none());
        (0..chunks).filter(is_missing).count() as f64 / chunks as f64
    }
}
