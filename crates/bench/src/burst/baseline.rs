//! Naive schemes, to compare with.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use clap::ValueEnum;
use headlatch_core::{
    burst::{ChunkSource, PeerKey, PeerStatus, SwarmAction, SwarmEvent, SwarmNote, SwarmPlanner},
    time::Moment,
};
use headlatch_types::ChunkIndex;

/// A naive scheme.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Baseline {
    /// Every box draws the whole copy from the origin
    Direct,
    /// The first box draws, and each box passes every chunk on to two others
    Tree,
}

/// Logic that moves chunks: the planner, or a baseline.
pub trait ChunkLogic {
    /// Takes in an event and returns what is to be done.
    fn handle(&mut self, now: Moment, event: SwarmEvent) -> Vec<SwarmAction>;
    /// Chunks held.
    fn held(&self) -> u32;
    /// What it says with every note.
    fn pulse(&self) -> PeerStatus;
    /// Memory that its state takes, without the chunks, in bytes.
    fn memory_bytes(&self) -> u64;
}

impl ChunkLogic for SwarmPlanner {
    fn handle(&mut self, now: Moment, event: SwarmEvent) -> Vec<SwarmAction> {
        SwarmPlanner::handle(self, now, event)
    }

    fn held(&self) -> u32 {
        self.progress().held
    }

    fn pulse(&self) -> PeerStatus {
        SwarmPlanner::status(self)
    }

    fn memory_bytes(&self) -> u64 {
        SwarmPlanner::memory_bytes(self)
    }
}

/// Fetches each chunk from one fixed source and passes it on to fixed boxes.
#[derive(Debug)]
pub struct FixedRoute {
    source: ChunkSource,
    children: Vec<PeerKey>,
    chunks: u32,
    ready: VecDeque<ChunkIndex>,
    open: BTreeSet<ChunkIndex>,
    held: BTreeSet<ChunkIndex>,
    repeat_due: Moment,
}

/// Chunks a fixed route fetches at the same time.
const FIXED_PIPELINE: usize = 4;

/// How often a fixed route says again what it holds.
const REPEAT_PAUSE: Duration = Duration::from_secs(5);

impl FixedRoute {
    /// The route of box `nth` of `keys` in `baseline`.
    pub fn new(baseline: Baseline, nth: usize, keys: &[PeerKey], chunks: u32) -> Self {
        let parent = (nth > 0 && baseline == Baseline::Tree).then(|| keys[(nth - 1) / 2]);
        let children = match baseline {
            Baseline::Direct => Vec::new(),
            Baseline::Tree => {
                [2 * nth + 1, 2 * nth + 2].iter().filter_map(|at| keys.get(*at)).copied().collect()
            }
        };
        let ready =
            if parent.is_none() { (0..chunks).map(ChunkIndex).collect() } else { VecDeque::new() };
        let source = parent.map_or(ChunkSource::Origin, ChunkSource::Peer);
        Self {
            source,
            children,
            chunks,
            ready,
            open: BTreeSet::new(),
            held: BTreeSet::new(),
            repeat_due: Moment::ZERO,
        }
    }

    fn fill(&mut self, actions: &mut Vec<SwarmAction>) {
        while self.open.len() < FIXED_PIPELINE {
            let Some(chunk) = self.ready.pop_front() else { return };
            self.open.insert(chunk);
            actions.push(SwarmAction::Fetch { chunk, source: self.source });
        }
    }

    fn learn(&mut self, chunks: Vec<ChunkIndex>) {
        let fresh = chunks.into_iter().filter(|chunk| {
            !self.held.contains(chunk) && !self.open.contains(chunk) && !self.ready.contains(chunk)
        });
        let fresh: Vec<ChunkIndex> = fresh.collect();
        self.ready.extend(fresh);
    }

    /// Tells the children again what is here, since notes may be lost.
    fn repeat(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        if now < self.repeat_due || self.held.is_empty() {
            return;
        }
        self.repeat_due = now + REPEAT_PAUSE;
        let note = || SwarmNote::Have(self.held.iter().copied().collect());
        actions
            .extend(self.children.iter().map(|to| SwarmAction::SendNote { to: *to, note: note() }));
    }

    fn accept(&mut self, chunk: ChunkIndex, actions: &mut Vec<SwarmAction>) {
        self.open.remove(&chunk);
        self.held.insert(chunk);
        let note = || SwarmNote::Have(vec![chunk]);
        actions
            .extend(self.children.iter().map(|to| SwarmAction::SendNote { to: *to, note: note() }));
        if self.held.len() == self.chunks as usize {
            actions.push(SwarmAction::Complete);
        }
    }
}

impl ChunkLogic for FixedRoute {
    fn handle(&mut self, now: Moment, event: SwarmEvent) -> Vec<SwarmAction> {
        let mut actions = Vec::new();
        match event {
            SwarmEvent::Note { note: SwarmNote::Have(chunks), .. } => self.learn(chunks),
            SwarmEvent::Requested { from, chunk, .. } => {
                actions.push(SwarmAction::Grant { to: from, chunk });
            }
            SwarmEvent::Granted { chunk, source } => {
                actions.push(SwarmAction::AcceptGrant { chunk, source });
            }
            SwarmEvent::Verified { chunk, .. } => self.accept(chunk, &mut actions),
            SwarmEvent::Tick => self.repeat(now, &mut actions),
            SwarmEvent::Failed { chunk, .. } => {
                self.open.remove(&chunk);
                self.ready.push_back(chunk);
            }
            _ => {}
        }
        self.fill(&mut actions);
        actions
    }

    fn held(&self) -> u32 {
        self.held.len() as u32
    }

    fn pulse(&self) -> PeerStatus {
        PeerStatus::default()
    }

    fn memory_bytes(&self) -> u64 {
        let indices = self.ready.len() + self.open.len() + self.held.len();
        (size_of::<Self>() + indices * size_of::<ChunkIndex>()) as u64
    }
}
