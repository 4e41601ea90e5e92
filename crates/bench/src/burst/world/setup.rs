//! What a world begins with: transfers, links, boxes and the faults that are to strike.

use std::collections::HashMap;

use headlatch_core::{
    burst::{PeerKey, PeerLocation},
    hash::score,
};
use headlatch_types::{digest::key_of, settings::LinkDuplex};
use rand::Rng;

use super::{BEGIN_SPREAD, BLOCKS, BurstWorld, FakeBox, Transfer, WorldEvent};
use crate::burst::links::{FakeLink, LinkTrouble};

impl BurstWorld {
    pub(in crate::burst) fn add_transfers(&mut self) {
        let chunks = self.options.chunks();
        let fresh = |salt: u64, count: u32| -> Vec<u64> {
            (0..u64::from(count)).map(|chunk| score(salt, chunk)).collect()
        };
        let first = fresh(1, chunks);
        self.transfers.push(Transfer { contents: first.clone() });
        if self.faults.superseded.is_some() {
            let mut contents = fresh(2, chunks);
            contents.iter_mut().zip(&first).step_by(2).for_each(|(new, old)| *new = *old);
            self.transfers.push(Transfer { contents });
        } else if self.faults.two_bursts {
            self.transfers.push(Transfer { contents: fresh(3, chunks) });
        } else if self.faults.adapters {
            self.transfers.push(Transfer { contents: fresh(4, chunks.div_ceil(16)) });
        }
    }

    pub(in crate::burst) fn add_link(&mut self, copies: f64) -> usize {
        let block_time = self.options.chunk_time(copies.max(1e-6)) / BLOCKS;
        self.links.push(FakeLink::new(block_time));
        self.links.len() - 1
    }

    pub(in crate::burst) fn add_links(&mut self) {
        self.origin_link = self.add_link(self.options.origin_copies);
        self.store_link = self.add_link(self.options.store_copies);
        let (domains, regions) = (self.options.domains, self.options.regions);
        let copies = (self.options.domain_copies, self.options.region_copies);
        self.domain_links = (0..domains).map(|_| self.add_link(copies.0)).collect();
        self.region_links = (0..regions).map(|_| self.add_link(copies.1)).collect();
    }

    pub(in crate::burst) fn add_boxes(&mut self) {
        for nth in 0..self.options.boxes as usize {
            let domain = nth % self.options.domains as usize;
            let region = domain % self.options.regions as usize;
            let down = self.add_link(self.options.usable_box_copies());
            let up = match self.options.duplex {
                LinkDuplex::Full => self.add_link(self.options.usable_box_copies()),
                LinkDuplex::Shared => down,
            };
            let key = PeerKey(key_of(format!("box-{nth}").as_bytes()));
            let seat = PeerLocation { key, domain: domain as u64, region: region as u64 };
            self.index.insert(key, nth);
            let transfers = self.transfers.iter();
            let stored = transfers.map(|transfer| vec![None; transfer.contents.len()]).collect();
            self.boxes.push(FakeBox {
                seat,
                domain,
                region,
                up,
                down,
                alive: true,
                paused_until: None,
                planners: self.transfers.iter().map(|_| None).collect(),
                stored,
                wanted: self.first_wanted(nth),
                fetches: HashMap::new(),
                served_at: None,
                control_bytes: 0,
            });
            let spread = BEGIN_SPREAD.mul_f64(self.rng.random::<f64>());
            self.queue.after(spread, WorldEvent::Begin(nth));
        }
    }

    pub(in crate::burst) fn first_wanted(&self, nth: usize) -> Vec<usize> {
        if self.faults.two_bursts {
            // Neighbouring numbers stand in different domains, so halves are cut by blocks.
            return vec![usize::from(nth >= self.options.boxes as usize / 2)];
        }
        if self.faults.adapters { vec![0, 1] } else { vec![0] }
    }

    pub(in crate::burst) fn schedule_faults(&mut self) {
        let faults = self.faults.clone();
        for (nth, at) in &faults.deaths {
            self.queue.at(*at, WorldEvent::Die(*nth));
        }
        if let Some(span) = faults.origin_down {
            self.queue.at(span.until, WorldEvent::OutageEnd);
        }
        for (nth, at) in &faults.joins {
            self.boxes[*nth].alive = false;
            self.queue.at(*at, WorldEvent::Join(*nth));
        }
        let stalls = faults.stalled.iter().map(|(nth, span)| (*nth, *span, None));
        let slow = faults.slowed.iter().map(|(nth, span)| (*nth, *span, Some(10)));
        for (nth, span, slowdown) in stalls.chain(slow) {
            let trouble = LinkTrouble { from: span.from, until: span.until, slowdown };
            let (up, down) = (self.boxes[nth].up, self.boxes[nth].down);
            self.links[up].trouble(trouble);
            if down != up {
                self.links[down].trouble(trouble);
            }
        }
        for (nth, span) in &faults.paused {
            self.queue.at(span.from, WorldEvent::Pause(*nth, span.until));
        }
        if let Some(span) = faults.origin_slow {
            let trouble = LinkTrouble { from: span.from, until: span.until, slowdown: Some(10) };
            self.links[self.origin_link].trouble(trouble);
        }
        if let Some(at) = faults.superseded {
            for nth in 0..self.boxes.len() {
                let spread = BEGIN_SPREAD.mul_f64(self.rng.random::<f64>());
                self.queue.at(at + spread, WorldEvent::Supersede(nth));
            }
        }
    }
}
