//! Chunk scheduling of one box for one manifest.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use headlatch_types::ChunkIndex;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    ChunkSet, ChunkSource, DrawMode, DrawTicket, FetchFailure, PeerKey, PeerLocation, PeerStatus,
    PeerTopology, SwarmAction, SwarmEvent, SwarmNote, SwarmSettings, corrupt_draws::CorruptDraws,
    draw_window::DrawWindow, draws::DrawLedger, imports::ImportTracker, peers::PeerTable,
    topology::ImportOrigin, uploads::UploadQueue,
};
use crate::time::Moment;

mod outcomes;

/// The limits on concurrent uploads and downloads start at one and grow by one each time this many more
/// chunks are held. Early in a burst few boxes hold any chunk, and chunks spread fastest if they are sent
/// one after another.
const EARLY_CHUNKS: usize = 2;

/// Queue length from which a waiting request is moved to an idle box.
const LONG_QUEUE: u32 = 3;

/// Number of times that offers to other domains are repeated after the list of boxes changes, for
/// boxes that started late or missed a note.
const OFFER_ROUNDS: u32 = 8;

/// A link counts as slow when transfers take more than this many times the configured chunk time.
const SLOW_LINK_FACTOR: u32 = 4;

/// One fetch in progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct OpenFetch {
    pub(super) source: ChunkSource,
    pub(super) asked: Moment,
    pub(super) started: Option<Moment>,
    pub(super) deferred: bool,
}

/// Progress of a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SwarmProgress {
    /// Chunks held and verified.
    pub held: u32,
    /// Chunks in the manifest.
    pub chunks: u32,
    /// Fetches in progress.
    pub open: usize,
    /// Upload requests queued at this box.
    pub queue: u32,
}

/// Decides for one box which chunks to fetch, from which sources, and which requests to serve.
#[derive(Debug, Clone)]
pub struct SwarmPlanner {
    pub(super) settings: SwarmSettings,
    pub(super) topology: PeerTopology,
    pub(super) peers: PeerTable,
    pub(super) held: ChunkSet,
    pub(super) open: BTreeMap<ChunkIndex, OpenFetch>,
    pub(super) draws: DrawLedger,
    pub(super) corrupt_draws: CorruptDraws,
    pub(super) imports: ImportTracker,
    pub(super) uploads: UploadQueue,
    pub(super) rng: SmallRng,
    pub(super) started: Moment,
    /// Arrival times of the most recent chunks, oldest first.
    pub(super) arrivals: VecDeque<Moment>,
    pub(super) unannounced: Vec<ChunkIndex>,
    pub(super) last_announced: Moment,
    pub(super) bitfield_due: Moment,
    /// Multiplier of transfer timeouts. Doubles on timeouts, since consecutive ones indicate that
    /// this box's own link is slow.
    pub(super) timeout_factor: u32,
    pub(super) complete: bool,
    /// Whether another version replaces this one and has the origin's link to itself.
    pub(super) superseded: bool,
    /// Moving average of the time from a chunk's first byte to its last.
    pub(super) transfer_time: Duration,
    /// Time that the slowest recent imports took from the first byte to the last, at least.
    pub(super) import_time: Duration,
    /// Chunks that this box brought into its domain, with their origin, for repeated offers.
    pub(super) imported: BTreeMap<ChunkIndex, ImportOrigin>,
    /// Remaining repetitions of offers.
    pub(super) offer_rounds: u32,
    /// Limit on the assigned chunks that all boxes together may draw.
    pub(super) window: DrawWindow,
}

impl SwarmPlanner {
    /// Starts a planner at `now` with the verified chunks in `held`.
    pub fn begin(
        settings: SwarmSettings,
        salt: u64,
        me: PeerLocation,
        held: ChunkSet,
        now: Moment,
    ) -> Self {
        let seed = settings.seed ^ me.key.0 ^ salt;
        let uploads = UploadQueue::new(settings.queue);
        Self {
            topology: PeerTopology::new(salt, me),
            peers: PeerTable::new(settings.chunks, settings.timings),
            held,
            open: BTreeMap::new(),
            draws: DrawLedger::default(),
            corrupt_draws: CorruptDraws::default(),
            imports: ImportTracker::default(),
            uploads,
            rng: SmallRng::seed_from_u64(seed),
            started: now,
            arrivals: VecDeque::new(),
            unannounced: Vec::new(),
            last_announced: now,
            bitfield_due: now + settings.timings.bitfield_interval,
            timeout_factor: 1,
            complete: false,
            superseded: false,
            transfer_time: Duration::ZERO,
            import_time: Duration::ZERO,
            imported: BTreeMap::new(),
            offer_rounds: OFFER_ROUNDS,
            window: DrawWindow::new(now),
            settings,
        }
    }

    /// Progress of the transfer.
    pub fn progress(&self) -> SwarmProgress {
        SwarmProgress {
            held: self.held.count(),
            chunks: self.settings.chunks,
            open: self.open.len(),
            queue: self.uploads.length(),
        }
    }

    /// The verified chunks that this box holds.
    pub fn held(&self) -> &ChunkSet {
        &self.held
    }

    /// Whether all chunks are held and verified.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// State of this box to attach to outgoing notes.
    pub fn status(&self) -> PeerStatus {
        PeerStatus { queue: self.uploads.length(), drawn: self.draws.drawn() }
    }

    /// Approximate memory use in bytes, summed over the main components.
    pub fn memory_bytes(&self) -> u64 {
        let topology = self.topology.count() * (2 * size_of::<PeerLocation>() + size_of::<u64>());
        let open = self.open.len() * size_of::<(ChunkIndex, OpenFetch)>();
        let parts = topology + open + self.peers.memory_bytes() + self.held.memory_bytes();
        (size_of::<Self>() + parts) as u64
    }

    /// Processes an event and returns the resulting actions.
    pub fn handle(&mut self, now: Moment, event: SwarmEvent) -> Vec<SwarmAction> {
        let mut actions = Vec::new();
        match event {
            SwarmEvent::Peers(peers) => self.update_peers(now, &peers, &mut actions),
            SwarmEvent::Note { from, note, status } => {
                self.peers.record_message(now, from, status.queue);
                self.draws.advance(now, status.drawn);
                self.handle_note(now, from, note, &mut actions);
            }
            SwarmEvent::Requested { from, chunk, held } => {
                self.receive_request(now, from, chunk, held, &mut actions);
            }
            SwarmEvent::RequestCancelled { from, chunk } | SwarmEvent::Sent { to: from, chunk } => {
                self.uploads.end(from, chunk);
                self.grant(now, &mut actions);
            }
            SwarmEvent::GrantDeferred { from, chunk } => {
                self.uploads.pass(from, chunk);
                self.grant(now, &mut actions);
            }
            SwarmEvent::GrantResumed { from, chunk } => {
                self.uploads.resume(from, chunk);
                self.grant(now, &mut actions);
            }
            SwarmEvent::Granted { chunk, source } => {
                self.handle_grant(now, chunk, source, &mut actions)
            }
            SwarmEvent::Verified { chunk, source } => {
                self.accept(now, chunk, source, &mut actions);
            }
            SwarmEvent::Failed { chunk, source, failure } => {
                self.fail(now, chunk, source, failure, &mut actions);
            }
            SwarmEvent::PeerUnreachable(peer) => self.handle_unreachable(now, peer, &mut actions),
            SwarmEvent::Superseded => self.superseded = true,
            SwarmEvent::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    pub(super) fn update_peers(
        &mut self,
        now: Moment,
        peers: &[PeerLocation],
        actions: &mut Vec<SwarmAction>,
    ) {
        let first_time = self.topology.count() == 1;
        let before = self.topology.count();
        self.topology.replace(peers);
        if self.topology.count() != before {
            self.offer_rounds = OFFER_ROUNDS;
        }
        self.imports.assign(&self.topology, self.settings.chunks);
        let neighbours = self.topology.neighbours(self.settings.neighbours);
        let new = self.peers.replace(&neighbours);
        if !self.held.is_empty() {
            let field = || SwarmNote::Bitfield(self.held.clone());
            actions.extend(new.into_iter().map(|to| SwarmAction::SendNote { to, note: field() }));
        }
        if first_time && self.settings.draw_mode == DrawMode::Tickets {
            let mine = |ticket: &DrawTicket| {
                self.topology.drawer(ticket.chunk) == self.topology.local().key
            };
            let tickets = DrawLedger::first(self.settings.chunks, self.settings.store);
            tickets.into_iter().filter(mine).for_each(|ticket| self.draws.take(now, ticket));
            let spread = self.settings.origin_chunk_time * self.topology.count() as u32;
            self.draws.delay_extras(now + spread.mul_f64(self.rng.random::<f64>()));
        }
        if first_time {
            self.offer_held(actions);
        }
        self.check_complete(actions);
        self.start_fetches(now, actions);
    }

    /// Offers chunks kept from an earlier version to their importers in this domain. An importer that
    /// is not a neighbour would otherwise fetch from a remote domain what is available locally.
    pub(super) fn offer_held(&self, actions: &mut Vec<SwarmAction>) {
        let me = self.topology.local();
        let offer = |chunk| {
            let to = self.topology.importer(me.domain, chunk).filter(|key| *key != me.key)?;
            Some(SwarmAction::SendNote { to, note: SwarmNote::Offer(chunk) })
        };
        actions.extend(self.held.iter().filter_map(offer));
    }

    /// Repeats the offers to other domains of chunks that this box brought into its domain.
    pub(super) fn repeat_offers(&mut self, actions: &mut Vec<SwarmAction>) {
        if self.offer_rounds == 0 || self.settings.draw_mode != DrawMode::Assigned {
            return;
        }
        self.offer_rounds -= 1;
        for (chunk, from) in &self.imported {
            let onward = self.topology.onward(*chunk, *from).into_iter();
            let note = SwarmNote::Offer(*chunk);
            actions.extend(onward.map(|to| SwarmAction::SendNote { to, note: note.clone() }));
        }
    }

    pub(super) fn handle_note(
        &mut self,
        now: Moment,
        from: PeerKey,
        note: SwarmNote,
        actions: &mut Vec<SwarmAction>,
    ) {
        match note {
            SwarmNote::Have(chunks) => {
                chunks.into_iter().for_each(|chunk| self.peers.add_chunk(from, chunk));
                self.move_request(now, from, actions);
            }
            SwarmNote::Bitfield(field) => {
                field.iter().for_each(|chunk| self.peers.add_chunk(from, chunk));
                self.move_request(now, from, actions);
            }
            SwarmNote::Ticket(ticket) if ticket.chunk.0 < self.settings.chunks => {
                actions.push(SwarmAction::SendNote {
                    to: from,
                    note: SwarmNote::TicketReceived(ticket),
                });
                self.draws.take(now, ticket);
            }
            SwarmNote::TicketReceived(ticket) => self.draws.record_receipt(now, ticket, from),
            SwarmNote::Offer(chunk) if chunk.0 < self.settings.chunks => {
                if !self.held.contains(chunk) && !self.peers.is_corrupter(from) {
                    self.imports.offer(chunk, from);
                }
            }
            SwarmNote::Seek(chunk) if self.held.contains(chunk) => {
                actions.push(SwarmAction::SendNote { to: from, note: SwarmNote::Offer(chunk) });
            }
            SwarmNote::Seek(chunk) if chunk.0 < self.settings.chunks => {
                self.imports.remember_seeker(chunk, from);
            }
            // The chunk index is out of range.
            SwarmNote::Ticket(_) | SwarmNote::Offer(_) | SwarmNote::Seek(_) => {}
        }
        self.start_fetches(now, actions);
    }

    /// Moves a request that waits in a long queue to an idle box.
    ///
    /// Early in a burst all requests for a chunk go to its first holders. Without this, later holders
    /// would be idle until those queues are drained.
    pub(super) fn move_request(
        &mut self,
        now: Moment,
        idle: PeerKey,
        actions: &mut Vec<SwarmAction>,
    ) {
        if !self.peers.is_idle(now, idle) {
            return;
        }
        let load = |fetch: &OpenFetch| match fetch.source {
            ChunkSource::Peer(peer) => self.peers.load(peer),
            ChunkSource::Origin | ChunkSource::Store => 0,
        };
        let movable = self.open.iter().filter(|(chunk, fetch)| {
            fetch.started.is_none() && !fetch.deferred && self.peers.holds(idle, **chunk)
        });
        let longest = movable.map(|(chunk, fetch)| (load(fetch), *chunk, fetch.source)).max();
        let Some((_, chunk, source)) = longest.filter(|(load, ..)| *load >= LONG_QUEUE) else {
            return;
        };
        actions.push(SwarmAction::Cancel { chunk, source });
        self.close_fetch(chunk, source);
        self.fetch(now, chunk, ChunkSource::Peer(idle), actions);
    }

    pub(super) fn receive_request(
        &mut self,
        now: Moment,
        from: PeerKey,
        chunk: ChunkIndex,
        held: u32,
        actions: &mut Vec<SwarmAction>,
    ) {
        if !self.held.contains(chunk) {
            actions.push(SwarmAction::Refuse { to: from, chunk, failure: FetchFailure::Absent });
            return;
        }
        // Requests from boxes that are not neighbours are imports.
        let remote = !self.peers.contains(from);
        self.uploads.enqueue(now, (from, chunk), held, remote, actions);
        self.grant(now, actions);
    }

    pub(super) fn grant(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        let peers = &self.peers;
        let most = match self.is_link_slow() {
            true => 1,
            false => self.settings.uploads.min(1 + self.held.count() as usize / EARLY_CHUNKS),
        };
        self.uploads.grant(now, most, |chunk| peers.copies(chunk), actions);
    }

    /// Accepts a granted chunk, or defers it if the download limit is reached.
    ///
    /// The limit balances the load of links: without it some boxes receive many chunks at once while
    /// others receive none, and a quarter of all uplinks is idle.
    pub(super) fn handle_grant(
        &mut self,
        now: Moment,
        chunk: ChunkIndex,
        source: ChunkSource,
        actions: &mut Vec<SwarmAction>,
    ) {
        let room = self.active_downloads() < self.max_downloads();
        let slow = self.is_link_slow();
        let remote = matches!(source, ChunkSource::Peer(peer) if !self.peers.contains(peer));
        let Some(fetch) = self.open.get_mut(&chunk).filter(|fetch| fetch.source == source) else {
            return;
        };
        if room || (remote && !slow) {
            fetch.started.get_or_insert(now);
            actions.push(SwarmAction::AcceptGrant { chunk, source });
        } else {
            fetch.deferred = true;
            actions.push(SwarmAction::DeferGrant { chunk, source });
        }
    }

    /// Current limit on concurrent downloads, which grows with the held chunks like that on uploads.
    pub(super) fn max_downloads(&self) -> usize {
        if self.is_link_slow() {
            return 1;
        }
        self.settings.downloads.min(1 + self.held.count() as usize / EARLY_CHUNKS)
    }

    /// Number of downloads in progress.
    pub(super) fn active_downloads(&self) -> usize {
        self.open.values().filter(|fetch| fetch.started.is_some()).count()
    }

    /// Resumes deferred grants once downloads are below their limit.
    pub(super) fn resume(&mut self, actions: &mut Vec<SwarmAction>) {
        if self.active_downloads() >= self.max_downloads() {
            return;
        }
        for (chunk, fetch) in self.open.iter_mut().filter(|(_, fetch)| fetch.deferred) {
            fetch.deferred = false;
            actions.push(SwarmAction::ResumeGrant { chunk: *chunk, source: fetch.source });
        }
    }

    /// Whether transfers are so slow that this box's link must be slower than configured.
    ///
    /// Transfers are then limited to one in each direction, so that other traffic on the link is not
    /// queued behind them.
    pub(super) fn is_link_slow(&self) -> bool {
        let slow = self.settings.chunk_time * SLOW_LINK_FACTOR;
        self.settings.draw_mode == DrawMode::Assigned && self.transfer_time > slow
    }

    pub(super) fn close_fetch(&mut self, chunk: ChunkIndex, source: ChunkSource) {
        if self.open.get(&chunk).is_none_or(|fetch| fetch.source != source) {
            return;
        }
        self.open.remove(&chunk);
        if let ChunkSource::Peer(peer) = source {
            self.peers.record_request_end(peer);
        }
    }

    pub(super) fn handle_unreachable(
        &mut self,
        now: Moment,
        peer: PeerKey,
        actions: &mut Vec<SwarmAction>,
    ) {
        self.peers.record_failure(now, peer);
        self.uploads.forget(peer);
        self.grant(now, actions);
        self.start_fetches(now, actions);
    }
}
