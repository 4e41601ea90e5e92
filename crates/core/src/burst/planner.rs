//! The planner of one box for one manifest.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use headlatch_types::{ChunkIndex, fleet::BurstPreference};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom};

use super::{
    ChunkSet, ChunkSource, DrawPool, DrawTicket, FetchFailure, PeerKey, PeerSeat, SeatMap,
    SwarmAction, SwarmEvent, SwarmNote, SwarmPulse, SwarmSettings,
    draws::{DrawLedger, LONE_LANE, ORIGIN_TICKETS},
    imports::{ImportDesk, Remedy},
    peers::{AskLimits, PeerTable},
    seats::ImportOrigin,
    uploads::UploadQueue,
};
use crate::time::Moment;

/// How often the whole field is sent again, against lost notes.
const FIELD_PAUSE: Duration = Duration::from_secs(5);

/// How long fresh chunks wait to be told of together.
const HAVE_PAUSE: Duration = Duration::from_millis(200);

/// A chunk with fewer copies nearby is told of at once.
const TELL_AT_ONCE: u32 = 3;

/// A box tells of its first chunks at once: waiting would add to every doubling of their copies.
const EARLY_TELLS: u32 = 32;

/// How much longer a sender bears a slow transfer than its receiver does.
const UPLOAD_PATIENCE: u32 = 3;

/// Added to every limit on waiting, whatever the chunk's size.
const LEAST_WAIT: Duration = Duration::from_secs(2);

/// A box sends one chunk at a time until it holds this many, then two, and so on: few boxes hold
/// anything at first, and what they hold spreads fastest one chunk after another.
const EARLY_CHUNKS: usize = 2;

/// A queue from which an ask is moved to an idle box.
const LONG_QUEUE: u32 = 3;

/// Random chunks of which the rarest is asked for.
const SAMPLE: usize = 16;

/// Chunks over whose time the rate of arrivals is taken.
const RATE_CHUNKS: usize = 32;

/// A box that gets less than this part of what its link could carry may draw extra chunks.
const UNDERFED_PERCENT: usize = 85;

/// Copies that may leave the origin under [`BurstPreference::Time`].
const MOST_COPIES: u32 = 4;

/// One fetch in progress.
#[derive(Debug, Clone, Copy)]
struct OpenFetch {
    source: ChunkSource,
    asked: Moment,
    started: Option<Moment>,
    passed: bool,
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
    settings: SwarmSettings,
    seats: SeatMap,
    peers: PeerTable,
    held: ChunkSet,
    open: BTreeMap<ChunkIndex, OpenFetch>,
    draws: DrawLedger,
    imports: ImportDesk,
    uploads: UploadQueue,
    rng: SmallRng,
    begun: Moment,
    /// When the last chunks came in, newest last.
    arrivals: VecDeque<Moment>,
    fresh: Vec<ChunkIndex>,
    told: Moment,
    field_due: Moment,
    /// Doubles when fetches time out one after another: then this box's own link is slow.
    patience: u32,
    complete: bool,
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
            peers: PeerTable::new(settings.chunks),
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
            field_due: now + FIELD_PAUSE,
            patience: 1,
            complete: false,
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
            SwarmEvent::Tick => self.tick(now, &mut actions),
        }
        actions
    }

    fn reseat(&mut self, now: Moment, seats: &[PeerSeat], actions: &mut Vec<SwarmAction>) {
        let first_time = self.seats.count() == 1;
        self.seats.replace(seats);
        self.imports.assign(&self.seats, self.settings.chunks);
        let neighbours = self.seats.neighbours(self.settings.neighbours);
        let new = self.peers.replace(&neighbours);
        if !self.held.is_empty() {
            let field = || SwarmNote::Field(self.held.clone());
            actions.extend(new.into_iter().map(|to| SwarmAction::Tell { to, note: field() }));
        }
        if first_time {
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
    fn offer_held(&self, actions: &mut Vec<SwarmAction>) {
        let me = self.seats.me();
        let offer = |chunk| {
            let to = self.seats.importer(me.domain, chunk).filter(|key| *key != me.key)?;
            Some(SwarmAction::Tell { to, note: SwarmNote::Offer(chunk) })
        };
        actions.extend(self.held.iter().filter_map(offer));
    }

    fn read(
        &mut self,
        now: Moment,
        from: PeerKey,
        note: SwarmNote,
        actions: &mut Vec<SwarmAction>,
    ) {
        match note {
            SwarmNote::Have(chunks) => {
                chunks.into_iter().for_each(|chunk| self.learn(from, chunk));
                self.move_ask(now, from, actions);
            }
            SwarmNote::Field(field) => {
                field.iter().for_each(|chunk| self.learn(from, chunk));
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

    fn learn(&mut self, from: PeerKey, chunk: ChunkIndex) {
        self.peers.add_chunk(from, chunk);
    }

    /// Moves an ask that waits in a long queue to a box that has nothing to send.
    ///
    /// Early on everybody asks the first holders of a chunk; without this the holders that come
    /// after them would stand idle until those queues had been worked off.
    fn move_ask(&mut self, now: Moment, idle: PeerKey, actions: &mut Vec<SwarmAction>) {
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

    fn receive_ask(
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

    fn grant(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        let peers = &self.peers;
        let most = self.settings.uploads.min(1 + self.held.count() as usize / EARLY_CHUNKS);
        self.uploads.grant(now, most, |chunk| peers.copies(chunk), actions);
    }

    /// Takes a chunk whose turn has come, unless as many are coming in as this box wants.
    ///
    /// The limit keeps the numbers of chunks on each link alike; without it some boxes receive
    /// many at once while others receive none, and a quarter of all uplinks stands idle.
    fn take_turn(
        &mut self,
        now: Moment,
        chunk: ChunkIndex,
        source: ChunkSource,
        actions: &mut Vec<SwarmAction>,
    ) {
        let room = self.coming() < self.most_downloads();
        let far = matches!(source, ChunkSource::Peer(peer) if !self.peers.contains(peer));
        let Some(fetch) = self.open.get_mut(&chunk).filter(|fetch| fetch.source == source) else {
            return;
        };
        if room || far {
            fetch.started.get_or_insert(now);
            actions.push(SwarmAction::Take { chunk, source });
        } else {
            fetch.passed = true;
            actions.push(SwarmAction::Pass { chunk, source });
        }
    }

    /// Chunks that may come in at the same time; few at first, as with uploads.
    fn most_downloads(&self) -> usize {
        self.settings.downloads.min(1 + self.held.count() as usize / EARLY_CHUNKS)
    }

    /// Chunks that are coming in.
    fn coming(&self) -> usize {
        self.open.values().filter(|fetch| fetch.started.is_some()).count()
    }

    /// Once there is room, tells boxes whose turn was passed.
    fn resume(&mut self, actions: &mut Vec<SwarmAction>) {
        if self.coming() >= self.most_downloads() {
            return;
        }
        for (chunk, fetch) in self.open.iter_mut().filter(|(_, fetch)| fetch.passed) {
            fetch.passed = false;
            actions.push(SwarmAction::Resume { chunk: *chunk, source: fetch.source });
        }
    }

    /// Takes a verified chunk in and tells those who need to know.
    fn accept(
        &mut self,
        now: Moment,
        chunk: ChunkIndex,
        source: ChunkSource,
        actions: &mut Vec<SwarmAction>,
    ) {
        self.close(chunk, source);
        self.patience = (self.patience / 2).max(1);
        if let ChunkSource::Peer(peer) = source {
            self.peers.praise(peer);
        }
        if self.held.insert(chunk) {
            self.arrivals.push_back(now);
            if self.arrivals.len() > RATE_CHUNKS {
                self.arrivals.pop_front();
            }
            self.announce(now, chunk, source, actions);
        }
        self.check_complete(actions);
        self.pursue(now, actions);
    }

    fn announce(
        &mut self,
        now: Moment,
        chunk: ChunkIndex,
        source: ChunkSource,
        actions: &mut Vec<SwarmAction>,
    ) {
        let seekers = self.imports.settle(chunk);
        let onward = self.import_origin(source).map(|from| self.seats.onward(chunk, from));
        let offer = |to| SwarmAction::Tell { to, note: SwarmNote::Offer(chunk) };
        actions.extend(onward.into_iter().flatten().chain(seekers).map(offer));
        self.fresh.push(chunk);
        let early = self.held.count() < EARLY_TELLS;
        if early || self.peers.copies(chunk) < TELL_AT_ONCE {
            self.tell_fresh(now, actions);
        }
    }

    /// How a chunk entered this domain; none if it was in it already.
    fn import_origin(&self, source: ChunkSource) -> Option<ImportOrigin> {
        let ChunkSource::Peer(peer) = source else { return Some(ImportOrigin::Outside) };
        let seat = self.seats.seat(peer)?;
        let me = self.seats.me();
        match (seat.domain == me.domain, seat.region == me.region) {
            (true, _) => None,
            (false, true) => Some(ImportOrigin::Sibling),
            (false, false) => Some(ImportOrigin::OtherRegion),
        }
    }

    fn tell_fresh(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        if self.fresh.is_empty() {
            return;
        }
        self.told = now;
        let fresh = std::mem::take(&mut self.fresh);
        let note = || SwarmNote::Have(fresh.clone());
        actions.extend(self.peers.keys().map(|to| SwarmAction::Tell { to, note: note() }));
    }

    fn check_complete(&mut self, actions: &mut Vec<SwarmAction>) {
        if self.complete || !self.held.is_full() {
            return;
        }
        self.complete = true;
        let open = std::mem::take(&mut self.open);
        actions.extend(
            open.into_iter()
                .map(|(chunk, fetch)| SwarmAction::Cancel { chunk, source: fetch.source }),
        );
        actions.push(SwarmAction::Complete);
    }

    fn fail(
        &mut self,
        now: Moment,
        chunk: ChunkIndex,
        source: ChunkSource,
        failure: FetchFailure,
        actions: &mut Vec<SwarmAction>,
    ) {
        self.close(chunk, source);
        match source {
            ChunkSource::Peer(peer) => self.blame(now, peer, chunk, failure),
            ChunkSource::Origin => self.postpone(now, chunk, DrawPool::Origin, failure),
            ChunkSource::Store => self.postpone(now, chunk, DrawPool::Store, failure),
        }
        self.pursue(now, actions);
    }

    fn blame(&mut self, now: Moment, peer: PeerKey, chunk: ChunkIndex, failure: FetchFailure) {
        match failure {
            FetchFailure::Corrupt => {
                self.peers.note_corrupt(peer);
                if self.peers.is_corrupter(peer) {
                    self.imports.forget(peer);
                }
            }
            FetchFailure::Busy => self.peers.note_busy(now, peer),
            FetchFailure::Absent => self.peers.drop_chunk(peer, chunk),
            FetchFailure::Unreachable => self.peers.note_trouble(now, peer),
        }
    }

    /// Corrupt bytes are fetched again at once; any other failure waits.
    fn postpone(&mut self, now: Moment, chunk: ChunkIndex, pool: DrawPool, failure: FetchFailure) {
        if failure != FetchFailure::Corrupt {
            self.draws.postpone(now, chunk, pool);
        }
    }

    fn close(&mut self, chunk: ChunkIndex, source: ChunkSource) {
        if self.open.get(&chunk).is_none_or(|fetch| fetch.source != source) {
            return;
        }
        self.open.remove(&chunk);
        if let ChunkSource::Peer(peer) = source {
            self.peers.end(peer);
        }
    }

    fn lose(&mut self, now: Moment, peer: PeerKey, actions: &mut Vec<SwarmAction>) {
        self.peers.note_trouble(now, peer);
        self.uploads.forget(peer);
        self.grant(now, actions);
        self.pursue(now, actions);
    }

    fn tick(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        if now.since(self.told) >= HAVE_PAUSE {
            self.tell_fresh(now, actions);
        }
        if now >= self.field_due && !self.held.is_empty() {
            if self.field_due == self.begun + FIELD_PAUSE && !self.complete {
                // Once more, for those who began after this box.
                self.offer_held(actions);
            }
            self.field_due = now + FIELD_PAUSE;
            let note = || SwarmNote::Field(self.held.clone());
            actions.extend(self.peers.keys().map(|to| SwarmAction::Tell { to, note: note() }));
        }
        self.uploads.expire(now, self.longest_transfer() * UPLOAD_PATIENCE);
        self.grant(now, actions);
        self.drop_slow(now, actions);
        self.remind(now, actions);
        self.apply_remedies(now, actions);
        self.pursue(now, actions);
    }

    /// Gives up fetches that take too long.
    fn drop_slow(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        let slow: Vec<(ChunkIndex, OpenFetch)> = self
            .open
            .iter()
            .filter(|(_, fetch)| self.is_slow(now, fetch))
            .map(|(chunk, fetch)| (*chunk, *fetch))
            .collect();
        if slow.is_empty() {
            return;
        }
        self.patience = (self.patience * 2).min(16);
        for (chunk, fetch) in slow {
            actions.push(SwarmAction::Cancel { chunk, source: fetch.source });
            self.close(chunk, fetch.source);
            match fetch.source {
                // A box that was heard of lately is only busy, however long it takes.
                ChunkSource::Peer(peer)
                    if fetch.started.is_none() && self.peers.is_heard(now, peer) =>
                {
                    self.peers.note_busy(now, peer);
                }
                ChunkSource::Peer(peer) => self.peers.note_trouble(now, peer),
                ChunkSource::Origin | ChunkSource::Store => {}
            }
        }
    }

    /// Longest time that a chunk on its way between two boxes should take.
    fn longest_transfer(&self) -> Duration {
        let chunk_time = self.settings.chunk_time.max(self.settings.origin_chunk_time);
        chunk_time * (4 * self.settings.uploads as u32) + LEAST_WAIT
    }

    /// Whether a fetch takes too long. Draws are left alone: a crowded origin is slow to all, and
    /// to break off and begin again would make it slower; one that stands still fails by itself.
    fn is_slow(&self, now: Moment, fetch: &OpenFetch) -> bool {
        if !matches!(fetch.source, ChunkSource::Peer(_)) {
            return false;
        }
        let queue = self.settings.chunk_time * self.settings.queue as u32;
        let limit = match fetch.started {
            Some(_) => self.longest_transfer(),
            None => self.longest_transfer() + queue,
        };
        now.since(fetch.started.unwrap_or(fetch.asked)) > limit * self.patience
    }

    /// Looks after chunks that should have come into this domain and have not.
    fn apply_remedies(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        if self.complete {
            return;
        }
        let stalled = self.draws.stalled(now, self.begun) > self.stall_patience();
        let end = self.draws.drawn() + 2 * ORIGIN_TICKETS;
        let (held, peers, open) = (&self.held, &self.peers, &self.open);
        let (draws, imports) = (&self.draws, &self.imports);
        let lacking: Vec<ChunkIndex> = (0..self.settings.chunks)
            .map(ChunkIndex)
            .filter(|chunk| !held.contains(*chunk) && !peers.is_near(now, *chunk))
            .filter(|chunk| !open.contains_key(chunk) && !imports.is_offered(*chunk))
            .filter(|chunk| draws.is_passed(*chunk) || (stalled && chunk.0 < end))
            .collect();
        let patience = (self.settings.chunk_time, self.draw_patience());
        let remedies =
            self.imports.remedies(now, patience, |chunk| lacking.binary_search(&chunk).is_ok());
        for remedy in remedies {
            self.apply(now, remedy, actions);
        }
    }

    fn apply(&mut self, now: Moment, remedy: Remedy, actions: &mut Vec<SwarmAction>) {
        match remedy {
            Remedy::Seek(chunk) => {
                let to = self.seats.other_importers(chunk, 2);
                let seek = |to| SwarmAction::Tell { to, note: SwarmNote::Seek(chunk) };
                actions.extend(to.into_iter().map(seek));
            }
            // One at a time: a crowd of draws would only take each other's rate.
            Remedy::Draw(_) if !self.draws.is_empty() => {}
            Remedy::Draw(chunk) => {
                // A draw past the others' front takes the place of a ticket that has been lost.
                let lost = !self.draws.is_passed(chunk);
                let lane = if lost { chunk.0 % ORIGIN_TICKETS } else { LONE_LANE };
                let ticket = DrawTicket { chunk, pool: DrawPool::Origin, lane };
                self.draws.revive(now, ticket);
            }
        }
    }

    /// Hands tickets over again whose receipt or whose chunk has not been heard of.
    fn remind(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        let (held, peers, imports) = (&self.held, &self.peers, &self.imports);
        let is_known = |chunk: ChunkIndex| {
            held.contains(chunk) || peers.is_near(now, chunk) || imports.is_offered(chunk)
        };
        let reminders = self.draws.reminders(now, self.settings.origin_chunk_time, is_known);
        for reminder in reminders {
            if reminder.hopeless {
                self.draws.take_back(now, reminder.ticket);
                continue;
            }
            let last = reminder.failed.last().copied().filter(|_| reminder.again);
            let next = || self.seats.next_drawer(reminder.ticket.chunk, &reminder.failed);
            let drawer = last.unwrap_or_else(next);
            self.give_ticket(now, reminder.ticket, drawer, actions);
        }
    }

    fn give_ticket(
        &mut self,
        now: Moment,
        ticket: DrawTicket,
        drawer: PeerKey,
        actions: &mut Vec<SwarmAction>,
    ) {
        if drawer == self.seats.me().key {
            self.draws.take(now, ticket);
            return;
        }
        self.draws.hand_over(now, ticket, drawer);
        actions.push(SwarmAction::Tell { to: drawer, note: SwarmNote::Ticket(ticket) });
    }

    /// How long a domain bears the lack of a chunk before it draws the chunk again.
    fn draw_patience(&self) -> Duration {
        match self.settings.prefer {
            BurstPreference::Time => Duration::from_secs(3),
            BurstPreference::OriginBytes => Duration::from_secs(6),
        }
    }

    /// How long the draw order may stand still before it is taken to have been lost.
    fn stall_patience(&self) -> Duration {
        self.draw_patience() + self.settings.origin_chunk_time * (8 * ORIGIN_TICKETS)
    }

    /// Starts whatever can be started now.
    fn pursue(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        self.use_tickets(now, actions);
        if self.complete {
            return;
        }
        self.resume(actions);
        self.use_offers(now, actions);
        self.use_neighbours(now, actions);
        self.use_extras(now, actions);
    }

    fn is_known(&self, now: Moment, chunk: ChunkIndex) -> bool {
        self.held.contains(chunk)
            || self.peers.is_near(now, chunk)
            || self.imports.is_offered(chunk)
    }

    fn use_tickets(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        if self.draws.is_empty() {
            return;
        }
        let mut drawing = Vec::new();
        for (ticket, ready) in self.draws.tickets(now) {
            let source = ticket.pool.source();
            let open = self.open.get(&ticket.chunk).map(|fetch| fetch.source);
            if open == Some(source) && !drawing.contains(&ticket.chunk) {
                drawing.push(ticket.chunk);
            } else if open.is_some() || self.is_known(now, ticket.chunk) {
                self.pass_on(now, ticket, actions);
            } else if ready {
                drawing.push(ticket.chunk);
                self.fetch(now, ticket.chunk, source, actions);
            }
        }
    }

    /// Hands a ticket to the drawer of the next chunk that is not known to be drawn.
    fn pass_on(&mut self, now: Moment, ticket: DrawTicket, actions: &mut Vec<SwarmAction>) {
        if !self.draws.give(ticket) {
            return;
        }
        let chunks = self.settings.chunks;
        if let Some(extra) = DrawLedger::multiply(ticket, chunks) {
            self.give_ticket(now, extra, self.seats.drawer(extra.chunk), actions);
        }
        let order = std::iter::successors(DrawLedger::next(ticket, chunks), |ticket| {
            DrawLedger::next(*ticket, chunks)
        });
        let next = order.into_iter().find(|ticket| !self.is_known(now, ticket.chunk));
        let Some(next) = next else {
            if ticket.pool == DrawPool::Origin && ticket.lane != LONE_LANE {
                self.draws.advance(now, chunks);
            }
            return;
        };
        let drawer = self.seats.drawer(next.chunk);
        self.give_ticket(now, next, drawer, actions);
        if drawer == self.seats.me().key {
            self.use_tickets(now, actions);
        }
    }

    fn use_offers(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        loop {
            let (held, open, peers) = (&self.held, &self.open, &self.peers);
            let wanted = |chunk: ChunkIndex| {
                !held.contains(chunk) && !open.contains_key(&chunk) && !peers.is_near(now, chunk)
            };
            let Some((chunk, from)) = self.imports.accept(wanted) else { return };
            self.fetch(now, chunk, ChunkSource::Peer(from), actions);
        }
    }

    fn use_neighbours(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        let limits = AskLimits { asked: 2, load: self.settings.queue as u32 };
        while self.open.len() < self.settings.pipeline {
            let on_offer = self.peers.on_offer(now, limits);
            let Some(chunk) = self.rarest(&on_offer) else { return };
            let Some(peer) = self.peers.pick(now, chunk, limits, &mut self.rng) else { return };
            self.fetch(now, chunk, ChunkSource::Peer(peer), actions);
        }
    }

    /// The rarest of a few random chunks on offer that are neither held nor on their way.
    ///
    /// The rarest of all would send every box of a domain to the one or two that hold it, while
    /// the others have nothing to send.
    fn rarest(&mut self, on_offer: &[u64]) -> Option<ChunkIndex> {
        let open = &self.open;
        let candidates = self.held.missing_in(on_offer).filter(|chunk| !open.contains_key(chunk));
        let sample = candidates.choose_multiple(&mut self.rng, SAMPLE);
        sample.into_iter().min_by_key(|chunk| self.peers.copies(*chunk))
    }

    /// Under [`BurstPreference::Time`], lets an idle origin help boxes that peers cannot fill.
    ///
    /// The origin is idle once every chunk has left it. A box whose own link is full has no use
    /// for a further source, so that this costs nothing where it would gain nothing.
    fn use_extras(&mut self, now: Moment, actions: &mut Vec<SwarmAction>) {
        let drawn = self.draws.drawn() >= self.settings.chunks;
        if self.settings.prefer != BurstPreference::Time || !drawn || !self.is_underfed(now) {
            return;
        }
        let boxes = self.seats.count() as u32;
        let most = (MOST_COPIES - 1) * self.settings.chunks / boxes;
        let gap = self.settings.origin_chunk_time * boxes;
        if !self.draws.is_extra_due(now, most) {
            return;
        }
        let missing =
            |chunk: &ChunkIndex| !self.held.contains(*chunk) && !self.open.contains_key(chunk);
        let wanted: Vec<ChunkIndex> =
            (0..self.settings.chunks).map(ChunkIndex).filter(missing).collect();
        // Near the end a draw that shares the origin with many others would be the last to come.
        if wanted.len() <= 2 * self.settings.pipeline {
            return;
        }
        self.draws.take_extra(now, gap);
        let chunk = wanted[self.rng.random_range(0..wanted.len())];
        self.fetch(now, chunk, ChunkSource::Origin, actions);
    }

    /// Whether chunks have lately come in clearly more slowly than this box's link could carry.
    fn is_underfed(&self, now: Moment) -> bool {
        let window = self.settings.chunk_time * RATE_CHUNKS as u32;
        if now.since(self.begun) < window * 2 {
            return false;
        }
        let lately = self.arrivals.iter().filter(|at| now.since(**at) < window).count();
        lately * 100 < RATE_CHUNKS * UNDERFED_PERCENT
    }

    fn fetch(
        &mut self,
        now: Moment,
        chunk: ChunkIndex,
        source: ChunkSource,
        actions: &mut Vec<SwarmAction>,
    ) {
        if let ChunkSource::Peer(peer) = source {
            self.peers.ask(peer);
        }
        self.open.insert(chunk, OpenFetch { source, asked: now, started: None, passed: false });
        actions.push(SwarmAction::Fetch { chunk, source });
    }
}
