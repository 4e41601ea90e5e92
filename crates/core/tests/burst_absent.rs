//! Simulated bursts in which some of the listed boxes never start. Their chunks must still reach the
//! domain within a bound, although the highest-ranked importers are absent.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use googletest::prelude::*;
use headlatch_core::{
    burst::{
        ChunkSet, ChunkSource, DrawMode, FetchFailure, PeerKey, PeerLocation, PeerTopology,
        SwarmAction, SwarmEvent, SwarmNote, SwarmPlanner, SwarmSettings, SwarmTimings,
    },
    time::Moment,
};
use headlatch_types::{ChunkIndex, fleet::BurstPreference};

/// Number of chunks, as in an observed failure.
const CHUNKS: u32 = 96;

/// Transfer time of a chunk over any link.
const CHUNK_TIME: Duration = Duration::from_millis(10);

/// Latency of a message.
const MESSAGE_TIME: Duration = Duration::from_millis(1);

const SALT: u64 = 1;

/// The failure domain in which boxes are absent.
const DOMAIN: u64 = 0;

/// Boxes per domain, and how many of them never start, as in an observed failure.
const BOXES: u64 = 11;
const ABSENT: usize = 7;

/// The chunk whose highest-ranked importers never start.
const UNSERVED_CHUNK: ChunkIndex = ChunkIndex(5);

/// Time limit for a whole burst: 1 s for the draws; 0.2 s and the time of 16 chunks for each of seven
/// ranks, which is 2.5 s; and the same again for the box that takes over and for ticks.
const BOUND: Duration = Duration::from_secs(7);

/// Boxes of one burst. Messages are never lost, and links have unlimited capacity.
struct Simulation {
    now: Moment,
    planners: BTreeMap<PeerKey, SwarmPlanner>,
    domains: BTreeMap<PeerKey, u64>,
    due: BTreeMap<(Moment, u64), (PeerKey, SwarmEvent)>,
    events: u64,
    /// Number of draws from the origin.
    draws: usize,
    /// Number of chunks received from a box of another domain.
    imports: usize,
}

impl Simulation {
    /// A burst of all `peers` in which those in `absent` never start.
    fn start(peers: &[PeerLocation], absent: &BTreeSet<PeerKey>) -> Self {
        let mut simulation = Self {
            now: Moment::ZERO,
            planners: BTreeMap::new(),
            domains: peers.iter().map(|peer| (peer.key, peer.domain)).collect(),
            due: BTreeMap::new(),
            events: 0,
            draws: 0,
            imports: 0,
        };
        for peer in peers.iter().filter(|peer| !absent.contains(&peer.key)) {
            let held = ChunkSet::new(CHUNKS);
            let planner = SwarmPlanner::begin(settings(), SALT, *peer, held, simulation.now);
            simulation.planners.insert(peer.key, planner);
            simulation.post(Duration::ZERO, peer.key, SwarmEvent::Peers(peers.to_vec()));
        }
        simulation
    }

    /// Runs the burst until all participants are complete, at most until `end`.
    fn run(&mut self, end: Duration) {
        let end = Moment::ZERO + end;
        let tick = settings().timings.tick;
        while self.now < end && !self.is_complete() {
            let boxes: Vec<PeerKey> = self.planners.keys().copied().collect();
            boxes.into_iter().for_each(|key| self.post(tick, key, SwarmEvent::Tick));
            let next = self.now + tick;
            self.deliver(next);
            self.now = next;
        }
    }

    fn deliver(&mut self, until: Moment) {
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((at, _), (to, event)) = entry.remove_entry();
            self.now = at;
            let Some(planner) = self.planners.get_mut(&to) else { continue };
            let actions = planner.handle(at, event);
            actions.into_iter().for_each(|action| self.apply_action(to, action));
        }
    }

    fn post(&mut self, after: Duration, to: PeerKey, event: SwarmEvent) {
        self.events += 1;
        self.due.insert((self.now + after, self.events), (to, event));
    }

    /// Sends a message to a box, or returns `unreachable` to the sender if that box never started.
    fn send(&mut self, from: PeerKey, to: PeerKey, event: SwarmEvent, unreachable: SwarmEvent) {
        match self.planners.contains_key(&to) {
            true => self.post(MESSAGE_TIME, to, event),
            false => self.post(MESSAGE_TIME, from, unreachable),
        }
    }

    fn apply_action(&mut self, me: PeerKey, action: SwarmAction) {
        match action {
            SwarmAction::Fetch { chunk, source: ChunkSource::Peer(from) } => {
                let held = self.planners[&me].held().count();
                let (source, failure) = (ChunkSource::Peer(from), FetchFailure::Unreachable);
                let failed = SwarmEvent::Failed { chunk, source, failure };
                self.send(me, from, SwarmEvent::Requested { from: me, chunk, held }, failed);
            }
            SwarmAction::Fetch { chunk, source } => {
                self.draws += 1;
                self.post(CHUNK_TIME, me, SwarmEvent::Verified { chunk, source });
            }
            SwarmAction::Grant { to, chunk } => {
                let source = ChunkSource::Peer(me);
                self.post(MESSAGE_TIME, to, SwarmEvent::Granted { chunk, source });
            }
            SwarmAction::Refuse { to, chunk, failure } => {
                let source = ChunkSource::Peer(me);
                self.post(MESSAGE_TIME, to, SwarmEvent::Failed { chunk, source, failure });
            }
            SwarmAction::AcceptGrant { chunk, source: ChunkSource::Peer(from) } => {
                self.imports += usize::from(self.domains[&me] != self.domains[&from]);
                let source = ChunkSource::Peer(from);
                self.post(CHUNK_TIME, me, SwarmEvent::Verified { chunk, source });
                self.post(CHUNK_TIME, from, SwarmEvent::Sent { to: me, chunk });
            }
            SwarmAction::Cancel { chunk, source: ChunkSource::Peer(from) } => {
                self.post(MESSAGE_TIME, from, SwarmEvent::RequestCancelled { from: me, chunk });
            }
            SwarmAction::DeferGrant { chunk, source: ChunkSource::Peer(from) } => {
                self.post(MESSAGE_TIME, from, SwarmEvent::GrantDeferred { from: me, chunk });
            }
            SwarmAction::ResumeGrant { chunk, source: ChunkSource::Peer(from) } => {
                self.post(MESSAGE_TIME, from, SwarmEvent::GrantResumed { from: me, chunk });
            }
            SwarmAction::SendNote { to, note } => self.send_note(me, to, note),
            // The origin does not grant requests.
            SwarmAction::AcceptGrant { .. }
            | SwarmAction::Cancel { .. }
            | SwarmAction::DeferGrant { .. }
            | SwarmAction::ResumeGrant { .. }
            | SwarmAction::Complete => {}
        }
    }

    fn send_note(&mut self, me: PeerKey, to: PeerKey, note: SwarmNote) {
        let status = self.planners[&me].status();
        self.send(
            me,
            to,
            SwarmEvent::Note { from: me, note, status },
            SwarmEvent::PeerUnreachable(to),
        );
    }

    fn is_complete(&self) -> bool {
        self.planners.values().all(SwarmPlanner::is_complete)
    }

    /// Chunks that each box of `domain` holds.
    fn held(&self, domain: u64) -> Vec<u32> {
        let near = self.planners.iter().filter(|(key, _)| self.domains[*key] == domain);
        near.map(|(_, planner)| planner.held().count()).collect()
    }
}

fn settings() -> SwarmSettings {
    let mut settings = SwarmSettings::new(CHUNKS, CHUNK_TIME, CHUNK_TIME);
    settings.prefer = BurstPreference::OriginBytes;
    settings.draw_mode = DrawMode::Assigned;
    settings.timings = SwarmTimings::short_burst();
    settings
}

/// `BOXES` boxes in each domain. Every domain is its own region.
fn peers(domains: u64) -> Vec<PeerLocation> {
    let peer =
        |key| PeerLocation { key: PeerKey(key), domain: key % domains, region: key % domains };
    (1..=domains * BOXES).map(peer).collect()
}

/// The highest-ranked importers of `UNSERVED_CHUNK` in `DOMAIN`.
fn importers(peers: &[PeerLocation], count: usize) -> BTreeSet<PeerKey> {
    let me = PeerLocation { key: PeerKey(0), domain: u64::MAX, region: u64::MAX };
    let mut map = PeerTopology::new(SALT, me);
    map.replace(peers);
    let near = |key: &PeerKey| map.location(*key).is_some_and(|peer| peer.domain == DOMAIN);
    map.other_importers(UNSERVED_CHUNK, count).into_iter().filter(near).collect()
}

#[gtest]
fn a_chunk_whose_first_importers_never_begin_comes_from_another_domain() {
    let peers = peers(3);
    let mut simulation = Simulation::start(&peers, &importers(&peers, ABSENT));
    simulation.run(BOUND);
    let present = BOXES as usize - ABSENT;
    expect_that!(simulation.held(DOMAIN), eq(&vec![CHUNKS; present]));
}

#[gtest]
fn a_chunk_whose_first_drawers_never_begin_is_drawn_by_another_box() {
    let peers = peers(1);
    let mut simulation = Simulation::start(&peers, &importers(&peers, ABSENT));
    simulation.run(BOUND);
    let present = BOXES as usize - ABSENT;
    expect_that!(simulation.held(DOMAIN), eq(&vec![CHUNKS; present]));
    expect_that!(simulation.draws, eq(CHUNKS as usize));
}

#[gtest]
fn a_burst_in_which_all_begin_draws_and_imports_each_chunk_once() {
    let domains = 3;
    let peers = peers(domains);
    let mut simulation = Simulation::start(&peers, &BTreeSet::new());
    simulation.run(BOUND);
    expect_that!(simulation.is_complete(), eq(true));
    expect_that!(simulation.draws, eq(CHUNKS as usize));
    expect_that!(simulation.imports, eq(CHUNKS as usize * (domains as usize - 1)));
}
