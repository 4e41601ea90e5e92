//! The fake world of a burst: boxes, links, notes and faults around the planners.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use headlatch_core::{
    burst::{
        ChunkSet, ChunkSource, DrawMode, FetchFailure, PeerKey, PeerLocation, PeerStatus,
        SwarmAction, SwarmEvent, SwarmNote, SwarmPlanner, SwarmSettings, SwarmTimings, TICK,
    },
    time::Moment,
};
use headlatch_types::ChunkIndex;
use rand::{SeedableRng, rngs::SmallRng};

use super::{BurstOptions, ChunkLogic, FaultPlan, baseline::FixedRoute, links::FakeLink};
use crate::queue::EventQueue;

mod lives;
mod measures;
mod messages;
mod setup;

/// Blocks a chunk is cut into on the links.
pub(super) const BLOCKS: u32 = 8;

/// Blocks of one flow on the way at the same time.
pub(super) const WINDOW: u32 = 4;

/// One way, within a domain, between domains, between regions, and to origin and store.
const NEAR: Duration = Duration::from_micros(250);
const DOMAINS_APART: Duration = Duration::from_micros(1500);
const REGIONS_APART: Duration = Duration::from_micros(3000);
pub(super) const OUTSIDE: Duration = Duration::from_micros(3000);

/// Time until a box that does not answer counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time until a refusal or failure of origin or store is known.
pub(super) const REFUSAL_TIME: Duration = Duration::from_millis(10);

/// How often boxes look for changes of membership.
const SEATS_PAUSE: Duration = Duration::from_secs(5);

/// The same in bursts that last a few seconds.
const SHORT_SEATS_PAUSE: Duration = Duration::from_millis(250);

/// Boxes begin within this time of each other, as the configuration reaches them.
const BEGIN_SPREAD: Duration = Duration::from_millis(500);

/// Bytes of a message of notes or a request, with the headers below it.
const MESSAGE_BYTES: u64 = 130;

/// Bytes of a step on the stream of a fetch that is open already.
const STEP_BYTES: u64 = 60;

/// No run goes on for longer than this.
const HORIZON: Duration = Duration::from_secs(3 * 3600);

/// One manifest on its way to boxes.
#[derive(Debug)]
pub(super) struct Transfer {
    /// What each chunk must contain; shared chunks have equal contents.
    pub(super) contents: Vec<u64>,
}

/// One box.
pub(super) struct FakeBox {
    pub(super) seat: PeerLocation,
    pub(super) domain: usize,
    pub(super) region: usize,
    pub(super) up: usize,
    pub(super) down: usize,
    pub(super) alive: bool,
    pub(super) paused_until: Option<Moment>,
    pub(super) planners: Vec<Option<Box<dyn ChunkLogic>>>,
    /// Content taken for good, per transfer and chunk.
    pub(super) stored: Vec<Vec<Option<u64>>>,
    pub(super) wanted: Vec<usize>,
    pub(super) fetches: HashMap<(usize, ChunkIndex), OpenFetch>,
    pub(super) served_at: Option<Moment>,
    pub(super) control_bytes: u64,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct OpenFetch {
    pub(super) id: u64,
    pub(super) source: ChunkSource,
    pub(super) flow: Option<usize>,
}

/// One chunk on its way.
#[derive(Debug)]
pub(super) struct Flow {
    pub(super) transfer: usize,
    pub(super) chunk: ChunkIndex,
    pub(super) source: ChunkSource,
    pub(super) sender: Option<usize>,
    pub(super) receiver: usize,
    pub(super) fetch: u64,
    pub(super) path: Vec<usize>,
    pub(super) latency: Duration,
    pub(super) sent: u32,
    pub(super) arrived: u32,
    pub(super) broken: bool,
}

#[derive(Debug)]
pub(super) enum WorldEvent {
    Begin(usize),
    Tick(usize),
    Seats(usize),
    Notes { to: usize, transfer: usize, from: PeerKey, notes: Vec<SwarmNote>, pulse: PeerStatus },
    Asked { at: usize, by: usize, transfer: usize, chunk: ChunkIndex, held: u32, fetch: u64 },
    Withdrawn { at: usize, by: usize, transfer: usize, chunk: ChunkIndex },
    Failed { at: usize, transfer: usize, chunk: ChunkIndex, fetch: u64, failure: FetchFailure },
    Lost { at: usize, transfer: usize, peer: PeerKey },
    Turn { at: usize, transfer: usize, chunk: ChunkIndex, source: ChunkSource },
    Take { at: usize, by: usize, transfer: usize, chunk: ChunkIndex },
    Passed { at: usize, by: usize, transfer: usize, chunk: ChunkIndex },
    Resumed { at: usize, by: usize, transfer: usize, chunk: ChunkIndex },
    Block { flow: usize, hop: usize },
    Ack { flow: usize },
    Silence { flow: usize, fetch: u64, arrived: u32 },
    Die(usize),
    OutageEnd,
    Join(usize),
    Pause(usize, Moment),
    Supersede(usize),
}

/// Boxes, links and what happens to them.
pub struct BurstWorld {
    pub(super) options: BurstOptions,
    pub(super) faults: FaultPlan,
    pub(super) queue: EventQueue<WorldEvent>,
    pub(super) rng: SmallRng,
    pub(super) transfers: Vec<Transfer>,
    pub(super) boxes: Vec<FakeBox>,
    pub(super) index: HashMap<PeerKey, usize>,
    pub(super) links: Vec<FakeLink>,
    pub(super) origin_link: usize,
    pub(super) store_link: usize,
    pub(super) domain_links: Vec<usize>,
    pub(super) region_links: Vec<usize>,
    pub(super) flows: Vec<Flow>,
    pub(super) free_flows: Vec<usize>,
    pub(super) next_fetch: u64,
    /// Changes of who lives, in order.
    pub(super) changes: Vec<(Moment, usize, bool)>,
    pub(super) origin_blocks: u64,
    /// Part of the chunks that no living box held when the outage ended.
    pub(super) missing_after_outage: f64,
    pub(super) store_blocks: u64,
    pub(super) store_flows: u32,
    pub(super) domain_blocks: Vec<u64>,
    pub(super) region_blocks: Vec<u64>,
    pub(super) refetched: u64,
    pub(super) corrupt_accepted: u64,
    pub(super) mixed_served: u64,
    /// Whether every box that is awake serves.
    pub(super) settled: bool,
    pub(super) peak_bytes: u64,
    pub(super) begun: Instant,
}

impl BurstWorld {
    /// A world at the moment the fleet file is accepted.
    pub fn new(options: &BurstOptions) -> Self {
        let faults = FaultPlan::new(options);
        let mut world = Self {
            queue: EventQueue::default(),
            rng: SmallRng::seed_from_u64(options.seed),
            transfers: Vec::new(),
            boxes: Vec::new(),
            index: HashMap::new(),
            links: Vec::new(),
            origin_link: 0,
            store_link: 0,
            domain_links: Vec::new(),
            region_links: Vec::new(),
            flows: Vec::new(),
            free_flows: Vec::new(),
            next_fetch: 0,
            changes: Vec::new(),
            origin_blocks: 0,
            missing_after_outage: 0.0,
            store_blocks: 0,
            store_flows: 0,
            domain_blocks: vec![0; options.domains as usize],
            region_blocks: vec![0; options.regions as usize],
            refetched: 0,
            corrupt_accepted: 0,
            mixed_served: 0,
            settled: false,
            peak_bytes: 0,
            begun: Instant::now(),
            faults,
            options: options.clone(),
        };
        world.add_transfers();
        world.add_links();
        world.add_boxes();
        world.schedule_faults();
        world
    }

    /// Runs until every living box serves, or nothing more can be expected.
    pub fn run(&mut self) {
        while let Some((now, event)) = self.queue.pop() {
            if now > Moment::ZERO + HORIZON || self.is_finished() {
                return;
            }
            self.step(now, event);
        }
    }

    pub(super) fn is_finished(&self) -> bool {
        let open = |one: &FakeBox| one.alive && one.served_at.is_none();
        let now = self.queue.now();
        let joining = self.faults.joins.iter().any(|(_, at)| *at >= now);
        let changing = self.faults.superseded.is_some_and(|at| at + BEGIN_SPREAD >= now);
        !joining && !changing && !self.boxes.iter().any(open)
    }

    pub(super) fn step(&mut self, now: Moment, event: WorldEvent) {
        if let Some(until) = self.pause_of(&event) {
            self.queue.at(until, event);
            return;
        }
        match event {
            WorldEvent::Begin(nth) => self.begin(now, nth),
            WorldEvent::Tick(nth) => self.tick(now, nth),
            WorldEvent::Seats(nth) => self.reseat(now, nth),
            WorldEvent::Notes { to, transfer, from, notes, pulse } => {
                for note in notes {
                    self.handle(now, to, transfer, SwarmEvent::Note { from, note, status: pulse });
                }
            }
            WorldEvent::Asked { at, by, transfer, chunk, held, fetch } => {
                self.deliver_ask(now, at, by, (transfer, chunk), held, fetch);
            }
            WorldEvent::Withdrawn { at, by, transfer, chunk } => {
                let from = self.boxes[by].seat.key;
                self.handle(now, at, transfer, SwarmEvent::RequestCancelled { from, chunk });
            }
            WorldEvent::Failed { at, transfer, chunk, fetch, failure } => {
                self.fail_fetch(now, at, (transfer, chunk), fetch, failure);
            }
            WorldEvent::Lost { at, transfer, peer } => {
                self.handle(now, at, transfer, SwarmEvent::PeerUnreachable(peer));
            }
            WorldEvent::Turn { at, transfer, chunk, source } => {
                self.handle(now, at, transfer, SwarmEvent::Granted { chunk, source });
            }
            WorldEvent::Take { at, by, transfer, chunk } => {
                let to = self.boxes[by].seat.key;
                self.send_chunk(now, at, transfer, to, chunk);
            }
            WorldEvent::Passed { at, by, transfer, chunk } => {
                let from = self.boxes[by].seat.key;
                self.handle(now, at, transfer, SwarmEvent::GrantDeferred { from, chunk });
            }
            WorldEvent::Resumed { at, by, transfer, chunk } => {
                let from = self.boxes[by].seat.key;
                self.handle(now, at, transfer, SwarmEvent::GrantResumed { from, chunk });
            }
            WorldEvent::Block { flow, hop } => self.move_block(now, flow, hop),
            WorldEvent::Ack { flow } => self.send_block(now, flow),
            WorldEvent::Silence { flow, fetch, arrived } => self.end_silent(flow, fetch, arrived),
            WorldEvent::Die(nth) => self.die(now, nth),
            WorldEvent::OutageEnd => self.missing_after_outage = self.missing_part(),
            WorldEvent::Join(nth) => self.join(now, nth),
            WorldEvent::Pause(nth, until) => self.pause(now, nth, until),
            WorldEvent::Supersede(nth) => self.supersede(now, nth),
        }
    }

    /// Until when the box that the event is for sleeps, if it does.
    pub(super) fn pause_of(&self, event: &WorldEvent) -> Option<Moment> {
        let nth = match event {
            WorldEvent::Tick(nth)
            | WorldEvent::Seats(nth)
            | WorldEvent::Supersede(nth)
            | WorldEvent::Notes { to: nth, .. }
            | WorldEvent::Asked { at: nth, .. }
            | WorldEvent::Withdrawn { at: nth, .. }
            | WorldEvent::Failed { at: nth, .. }
            | WorldEvent::Turn { at: nth, .. }
            | WorldEvent::Take { at: nth, .. }
            | WorldEvent::Passed { at: nth, .. }
            | WorldEvent::Resumed { at: nth, .. }
            | WorldEvent::Lost { at: nth, .. } => *nth,
            _ => return None,
        };
        self.boxes[nth].paused_until.filter(|until| *until > self.queue.now())
    }

    pub(super) fn settings(&self, transfer: usize) -> SwarmSettings {
        let options = &self.options;
        let chunks = self.transfers[transfer].contents.len() as u32;
        let chunk_time = options.chunk_time(options.usable_box_copies());
        let origin_time = options.chunk_time(options.origin_copies);
        let mut settings = SwarmSettings::new(chunks, chunk_time, origin_time);
        settings.prefer = options.prefer;
        settings.seed = options.seed;
        settings.store = options.store_copies > 0.0;
        settings.uploads = options.uploads.unwrap_or(settings.uploads);
        settings.downloads = options.downloads.unwrap_or(settings.downloads);
        settings.pipeline = options.pipeline.unwrap_or(settings.pipeline);
        settings.neighbours = options.neighbours.unwrap_or(settings.neighbours);
        settings.queue = options.queue.unwrap_or(settings.queue);
        if options.short {
            settings.draw_mode = DrawMode::Assigned;
            settings.timings = SwarmTimings::short_burst();
        }
        settings
    }

    fn tick_pause(&self) -> Duration {
        if self.options.short { SwarmTimings::short_burst().tick } else { TICK }
    }

    fn seats_pause(&self) -> Duration {
        if self.options.short { SHORT_SEATS_PAUSE } else { SEATS_PAUSE }
    }

    pub(super) fn start_transfer(&mut self, now: Moment, nth: usize, transfer: usize) {
        let chunks = self.transfers[transfer].contents.len() as u32;
        let mut held = ChunkSet::new(chunks);
        for (chunk, content) in self.boxes[nth].stored[transfer].iter().zip(0u32..) {
            if chunk.is_some() {
                held.insert(ChunkIndex(content));
            }
        }
        let planner: Box<dyn ChunkLogic> = match self.options.baseline {
            None => {
                let settings = self.settings(transfer);
                let seat = self.boxes[nth].seat;
                Box::new(SwarmPlanner::begin(settings, transfer as u64, seat, held, now))
            }
            Some(baseline) => {
                let keys: Vec<PeerKey> = self.boxes.iter().map(|one| one.seat.key).collect();
                Box::new(FixedRoute::new(baseline, nth, &keys, chunks))
            }
        };
        self.boxes[nth].planners[transfer] = Some(planner);
        let seats = self.visible_seats(now, transfer);
        self.handle(now, nth, transfer, SwarmEvent::Peers(seats));
    }

    pub(super) fn tick(&mut self, now: Moment, nth: usize) {
        if !self.boxes[nth].alive {
            return;
        }
        if nth == 0 && self.options.timeline {
            self.print_progress(now);
        }
        for transfer in 0..self.transfers.len() {
            self.handle(now, nth, transfer, SwarmEvent::Tick);
        }
        self.queue.after(self.tick_pause(), WorldEvent::Tick(nth));
    }

    pub(super) fn handle(&mut self, now: Moment, nth: usize, transfer: usize, event: SwarmEvent) {
        let Some(planner) = self.boxes[nth].planners[transfer].as_mut() else { return };
        let actions = planner.handle(now, event);
        let pulse = planner.pulse();
        let mut notes: Vec<(PeerKey, Vec<SwarmNote>)> = Vec::new();
        for action in actions {
            match action {
                SwarmAction::SendNote { to, note } => {
                    match notes.iter_mut().find(|(key, _)| *key == to) {
                        Some((_, list)) => list.push(note),
                        None => notes.push((to, vec![note])),
                    }
                }
                other => self.act(now, nth, transfer, other),
            }
        }
        for (to, list) in notes {
            self.send_notes(now, nth, transfer, to, list, pulse);
        }
    }

    pub(super) fn latency(&self, one: usize, other: usize) -> Duration {
        let (one, other) = (&self.boxes[one], &self.boxes[other]);
        if one.domain == other.domain {
            NEAR
        } else if one.region == other.region {
            DOMAINS_APART
        } else {
            REGIONS_APART
        }
    }

    pub(super) fn reaches(&self, now: Moment, one: usize, other: usize) -> bool {
        let apart = self.boxes[one].domain != self.boxes[other].domain;
        self.boxes[other].alive && !(apart && (self.is_cut(now, one) || self.is_cut(now, other)))
    }

    pub(super) fn is_cut(&self, now: Moment, nth: usize) -> bool {
        let here = |(domain, span): &(u32, super::faults::Span)| {
            self.boxes[nth].domain == *domain as usize && span.covers(now)
        };
        self.faults.cut.as_ref().is_some_and(here)
    }

    /// One transfer of a box is complete; once all are, its gate opens and it serves.
    pub(super) fn complete(&mut self, now: Moment, nth: usize) {
        let one = &mut self.boxes[nth];
        let whole = |transfer: &usize| {
            one.planners[*transfer].as_ref().is_some_and(|planner| {
                planner.held() as usize == self.transfers[*transfer].contents.len()
            })
        };
        if !one.wanted.iter().all(whole) || one.served_at.is_some() {
            return;
        }
        one.served_at = Some(now);
        for transfer in &one.wanted {
            let pairs = one.stored[*transfer].iter().zip(&self.transfers[*transfer].contents);
            let wrong = pairs.filter(|(stored, truth)| **stored != Some(**truth)).count() as u64;
            self.corrupt_accepted += wrong;
            self.mixed_served += u64::from(wrong > 0);
        }
        let planners = one.planners.iter().flatten();
        self.peak_bytes = self.peak_bytes.max(planners.map(|one| one.memory_bytes()).sum());
        let waits =
            |one: &FakeBox| one.alive && one.paused_until.is_none() && one.served_at.is_none();
        self.settled = !self.boxes.iter().any(waits);
    }
}
