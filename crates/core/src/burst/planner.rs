//! The planner of one box for one manifest.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use headlatch_types::ChunkIndex;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    ChunkSet, ChunkSource, DrawOrder, DrawTicket, FetchFailure, PeerKey, PeerSeat, SeatMap,
    SwarmAction, SwarmEvent, SwarmNote, SwarmPulse, SwarmSettings, draw_window::DrawWindow,
    draws::DrawLedger, imports::ImportDesk, peers::PeerTable, seats::ImportOrigin,
    uploads::UploadQueue,
};
use crate::time::Moment;

mod outcomes;

/// A box sends one chunk at a time until it holds this many, then two, and so on: few boxes hold
/// anything at first, and what they hold spreads fastest one chunk after another.
const EARLY_CHUNKS: usize = 2;

/// A queue from which an ask is moved to an idle box.
const LONG_QUEUE: u32 = 3;

/// Rounds in which offers to other domains are repeated, after each change of the list of boxes:
/// whoever began late or missed a note hears of them again.
const OFFER_ROUNDS: u32 = 8;

/// How many times longer than usual chunks take over a link that has become narrow.
const NARROW_LINK: u32 = 4;

/// One fetch in progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct OpenFetch {
    pub(super) source: ChunkSource,
    pub(super) asked: Moment,
    pub(super) started: Option<Moment>,
    pub(super) passed: bool,
}

/// How far a transfer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SwarmProgress {
    /// Chunks held and verified.
    pub held: u32,
    /// Chunks in the manifest.
    pub chunks: u32,
    /// Fetches in progress.
    pub open: usize,
    /// Requests of other boxes that wait here.
    pub queue: u32,
}

/// Decides for one box which chunks to fetch from whom, and whom to send chunks.
#[derive(Debug, Clone)]
pub struct SwarmPlanner {
    pub(super) settings: SwarmSettings,
    pub(super) seats: SeatMap,
    pub(super) peers: PeerTable,
    pub(super) held: ChunkSet,
    pub(super) open: BTreeMap<ChunkIndex, OpenFetch>,
    pub(super) draws: DrawLedger,
    pub(super) imports: ImportDesk,
    pub(super) uploads: UploadQueue,
    pub(super) rng: SmallRng,
    pub(super) begun: Moment,
    /// When the last chunks came in, newest last.
    pub(super) arrivals: VecDeque<Moment>,
    pub(super) fresh: Vec<ChunkIndex>,
    pub(super) told: Moment,
    pub(super) field_due: Moment,
    /// Doubles when fetches time out one after another: then this box's own link is slow.
    pub(super) patience: u32,
    pub(super) complete: bool,
    /// Another version is wanted: the origin's link is left to that.
    pub(super) superseded: bool,
    /// Time that chunks lately took from their first byte to their last.
    pub(super) transfer: Duration,
    /// Chunks that entered this domain here, and from where: offered onward until they have come.
    pub(super) brought: BTreeMap<ChunkIndex, ImportOrigin>,
    /// Rounds in which offers are still repeated.
    pub(super) offer_rounds: u32,
    /// How many of the missing chunks may be drawn now, over all boxes.
    pub(super) window: DrawWindow,
}

impl SwarmPlanner {
    /// A planner that begins `now` with the chunks in `held`, which are verified.
    pub fn begin(
        settings: SwarmSettings,
        salt: u64,
        me: PeerSeat,
        held: ChunkSet,
        now: Moment,
    ) -> Self {
        let seed = settings.seed ^ me.key.0 ^ salt;
        let uploads = UploadQueue::new(settings.queue);
        Self {
            seats: SeatMap::new(salt, me),
            peers: PeerTable::new(settings.chunks, settings.pace),
            held,
            open: BTreeMap::new(),
            draws: DrawLedger::default(),
            imports: ImportDesk::default(),
            uploads,
            rng: SmallRng::seed_from_u64(seed),
            begun: now,
            arrivals: VecDeque::new(),
            fresh: Vec::new(),
            told: now,
            field_due: now + settings.pace.field_pause,
            patience: 1,
            complete: false,
            superseded: false,
            transfer: Duration::ZERO,
            brought: BTreeMap::new(),
            offer_rounds: OFFER_ROUNDS,
            window: DrawWindow::new(now),
            settings,
        }
    }

    /// How far the transfer is.
    pub fn progress(&self) -> SwarmProgress {
        SwarmProgress {
            held: self.held.count(),
            chunks: self.settings.chunks,
            open: self.open.len(),
            queue: self.uploads.length(),
        }
    }

    /// Chunks held.
    pub fn held(&self) -> &ChunkSet {
        &self.held
    }

    /// Whether every chunk is here and verified.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// What this box says with every note.
    pub fn pulse(&self) -> SwarmPulse {
        SwarmPulse { queue: self.uploads.length(), drawn: self.draws.drawn() }
    }

    /// Memory that the state takes, in bytes, from the sizes of its parts.
    pub fn memory_bytes(&self) -> u64 {
        let seats = self.seats.count() * (2 * size_of::<PeerSeat>() + size_of::<u64>());
        let open = self.open.len() * size_of::<(ChunkIndex, OpenFetch)>();
        let parts = seats + open + self.peers.memory_bytes() + self.held.memory_bytes();
        (size_of::<Self>() + parts) as u64
    }

    /// Takes in an event and returns what is to be done.
    pub fn handle(&mut self, now: Moment, event: SwarmEvent) -> Vec<SwarmAction> {
        let mut actions = Vec::new();
        match event {
            SwarmEvent::Seats(seats) => self.reseat(now, &seats, &mut actions),
            SwarmEvent::Note { from, note, pulse } => {
                self.peers.hear(now, from, pulse.queue);
                self.draws.advance(now, pulse.drawn);
                self.read(now, from, note, &mut actions);
            }
            SwarmEvent::Asked { from, chunk, held } => {
                self.receive_ask(now, from, chunk, held, &mut actions);
            }
            SwarmEvent::Withdrawn { from, chunk } | SwarmEvent::Sent { to: from, chunk } => {
                self.uploads.end(from, chunk);
                self.grant(now, &mut actions);
            }
            SwarmEvent::Passed { from, chunk } => {
                self.uploads.pass(from, chunk);
                self.grant(now, &mut actions);
            }
            SwarmEvent::Resumed { from, chunk } => {
                self.uploads.resume(from, chunk);
                self.grant(now, &mut actions);
            }
            SwarmEvent::Turn { chunk, source } => self.take_turn(now, chunk, source, &mut actions),
            SwarmEvent::Verified { chunk, source } => {
                self.accept(now, chunk, source, &mut actions);
            }
            SwarmEvent::Failed { chunk, source, failure } => {
                self.fail(now, chunk, source, failure, &mut actions);
            }
            SwarmEvent::Lost(peer) => self.lose(now, peer, &mut actions),
            SwarmEvent::Superseded => self.superseded = true,
            SwarmEvent::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    pub(super) fn reseat(
        &mut self,
        now: Moment,
        seats: &[PeerSeat],
        actions: &mut Vec<SwarmAction>,
    ) {
        let first_time = self.seats.count() == 1;
        let before = self.seats.count();
        self.seats.replace(seats);
        if self.seats.count() != before {
            self.offer_rounds = OFFER_ROUNDS;
        }
        self.imports.assign(&self.seats, self.settings.chunks);
        let neighbours = self.seats.neighbours(self.settings.neighbours);
        let new = self.peers.replace(&neighbours);
        if !self.held.is_empty() {
            let field = || SwarmNote::Field(self.held.clone());
            actions.extend(new.into_iter().map(|to| SwarmAction::Tell { to, note: field() }));
        }
        if first_time && self.settings.draws == DrawOrder::Tickets {
            let mine = |ticket: &DrawTicket| self.seats.drawer(ticket.chunk) == self.seats.me().key;
            let tickets = DrawLedger::first(self.settings.chunks, self.settings.store);
            tickets.into_iter().filter(mine).for_each(|ticket| self.draws.take(now, ticket));
            let spread = self.settings.origin_chunk_time * self.seats.count() as u32;
            self.draws.delay_extras(now + spread.mul_f64(self.rng.random::<f64>()));
        }
        if first_time {
            self.offer_held(actions);
        }
        self.check_complete(actions);
        self.pursue(now, actions);
    }

    /// Offers chunks kept from an earlier version to those who would import them: they may not
    /// be among this box's neighbours, and would fetch from afar what is near.
    pub(super) fn offer_held(&self, actions: &mut Vec<SwarmAction>) {
        let me = self.seats.me();
        let offer = |chunk| {
            let to = self.seats.importer(me.domain, chunk).filter(|key| *key != me.key)?;
            Some(SwarmAction::Tell { to, note: SwarmNote::Offer(chunk) })
        };
        actions.extend(self.held.iter().filter_map(offer));
    }

    /// Offers the chunks that entered this domain here to other domains once more.
    pub(super) fn repeat_offers(&mut self, actions: &mut Vec<SwarmAction>) {
        if self.offer_rounds == 0 || self.settings.draws != DrawOrder::Assigned {
            return;
        }
        self.offer_rounds -= 1;
        for (chunk, from) in &self.brought {
            let onward = self.seats.onward(*chunk, *from).into_iter();
            let note = SwarmNote::Offer(*chunk);
            actions.extend(onward.map(|to| SwarmAction::Tell { to, note: note.clone() }));
        }
    }

    pub(super) fn read(
        &mut self,
        now: Moment,
        from: PeerKey,
        note: SwarmNote,
        actions: &mut Vec<SwarmAction>,
    ) {
        match note {
            SwarmNote::Have(chunks) => {
                chunks.into_iter().for_each(|chunk| self.peers.add_chunk(from, chunk));
                self.move_ask(now, from, actions);
            }
            SwarmNote::Field(field) => {
                field.iter().for_each(|chunk| self.peers.add_chunk(from, chunk));
                self.move_ask(now, from, actions);
            }
            SwarmNote::Ticket(ticket) if ticket.chunk.0 < self.settings.chunks => {
                actions.push(SwarmAction::Tell { to: from, note: SwarmNote::Took(ticket) });
                self.draws.take(now, ticket);
            }
            SwarmNote::Took(ticket) => self.draws.note_receipt(now, ticket, from),
            SwarmNote::Offer(chunk) if chunk.0 < self.settings.chunks => {
                if !self.held.contains(chunk) && !self.peers.is_corrupter(from) {
                    self.imports.offer(chunk, from);
                }
            }
            SwarmNote::Seek(chunk) if self.held.contains(chunk) => {
                actions.push(SwarmAction::Tell { to: from, note: SwarmNote::Offer(chunk) });
            }
            SwarmNote::Seek(chunk) if chunk.0 < self.settings.chunks => {
                self.imports.remember_seeker(chunk, from);
            }
            // A chunk that does not exist.
            SwarmNote::Ticket(_) | SwarmNote::Offer(_) | SwarmNote::Seek(_) => {}
        }
        self.pursue(now, actions);
    }

    /// Moves an ask that waits in a long queue to a box that has nothing to send.
    ///
    /// Early on everybody asks the first holders of a chunk; without this the holders that come
    /// after them would stand idle until those queues had been worked off.
    pub(super) fn move_ask(&mut self, now: Moment, idle: PeerKey, actions: &mut Vec<SwarmAction>) {
        if !self.peers.is_idle(now, idle) {
            return;
        }
        let load = |fetch: &OpenFetch| match fetch.source {
            ChunkSource::Peer(peer) => self.peers.load(peer),
            ChunkSource::Origin | ChunkSource::Store => 0,
        };
        let movable = self.open.iter().filter(|(chunk, fetch)| {
            fetch.started.is_none() && !fetch.passed && self.peers.holds(idle, **chunk)
        });
        let longest = movable.map(|(chunk, fetch)| (load(fetch), *chunk, fetch.source)).max();
        let Some((_, chunk, source)) = longest.filter(|(load, ..)| *load >= LONG_QUEUE) else {
            return;
        };
        actions.push(SwarmAction::Cancel { chunk, source });
        self.close(chunk, source);
        self.fetch(now, chunk, ChunkSource::Peer(idle), actions);
    }

    pub(super) fn receive_ask(
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
        // Only imports are asked of boxes that are no neighbours.
        let far = !self.peers.contains(from);
        self.uploads.ask(now, (from, chunk), held, far, actions);
        self.grant(now, actions);
    }

    pub(super) fn grant(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        let peers = &self.peers;
        let most = match self.is_link_narrow() {
            true => 1,
            false => self.settings.uploads.min(1 + self.held.count() as usize / EARLY_CHUNKS),
        };
        self.uploads.grant(now, most, |chunk| peers.copies(chunk), actions);
    }

    /// Takes a chunk whose turn has come, unless as many are coming in as this box wants.
    ///
    /// The limit keeps the numbers of chunks on each link alike; without it some boxes receive
    /// many at once while others receive none, and a quarter of all uplinks stands idle.
    pub(super) fn take_turn(
        &mut self,
        now: Moment,
        chunk: ChunkIndex,
        source: ChunkSource,
        actions: &mut Vec<SwarmAction>,
    ) {
        let room = self.coming() < self.most_downloads();
        let narrow = self.is_link_narrow();
        let far = matches!(source, ChunkSource::Peer(peer) if !self.peers.contains(peer));
        let Some(fetch) = self.open.get_mut(&chunk).filter(|fetch| fetch.source == source) else {
            return;
        };
        if room || (far && !narrow) {
            fetch.started.get_or_insert(now);
            actions.push(SwarmAction::Take { chunk, source });
        } else {
            fetch.passed = true;
            actions.push(SwarmAction::Pass { chunk, source });
        }
    }

    /// Chunks that may come in at the same time; few at first, as with uploads.
    pub(super) fn most_downloads(&self) -> usize {
        if self.is_link_narrow() {
            return 1;
        }
        self.settings.downloads.min(1 + self.held.count() as usize / EARLY_CHUNKS)
    }

    /// Chunks that are coming in.
    pub(super) fn coming(&self) -> usize {
        self.open.values().filter(|fetch| fetch.started.is_some()).count()
    }

    /// Once there is room, tells boxes whose turn was passed.
    pub(super) fn resume(&mut self, actions: &mut Vec<SwarmAction>) {
        if self.coming() >= self.most_downloads() {
            return;
        }
        for (chunk, fetch) in self.open.iter_mut().filter(|(_, fetch)| fetch.passed) {
            fetch.passed = false;
            actions.push(SwarmAction::Resume { chunk: *chunk, source: fetch.source });
        }
    }

    /// Whether chunks come so slowly that this box's link must be narrower than it was said to be.
    ///
    /// Then one chunk at a time goes each way: whatever else uses the link would wait behind them.
    pub(super) fn is_link_narrow(&self) -> bool {
        let narrow = self.settings.chunk_time * NARROW_LINK;
        self.settings.draws == DrawOrder::Assigned && self.transfer > narrow
    }

    pub(super) fn close(&mut self, chunk: ChunkIndex, source: ChunkSource) {
        if self.open.get(&chunk).is_none_or(|fetch| fetch.source != source) {
            return;
        }
        self.open.remove(&chunk);
        if let ChunkSource::Peer(peer) = source {
            self.peers.end(peer);
        }
    }

    pub(super) fn lose(&mut self, now: Moment, peer: PeerKey, actions: &mut Vec<SwarmAction>) {
        self.peers.note_trouble(now, peer);
        self.uploads.forget(peer);
        self.grant(now, actions);
        self.pursue(now, actions);
    }
}
