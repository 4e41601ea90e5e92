//! The transfer of one manifest's weights to many boxes: who fetches which chunk from whom.
//!
//! Each box runs one [`SwarmPlanner`] per manifest. It knows only what it was told: the list of
//! boxes that take part, which may lag, and notes from other boxes, which may be late or lost.
//! How the parts act together, and what was weighed, stands in `docs/decisions/0002-burst.md`.

mod chunks;
mod draw_window;
mod draws;
mod fetching;
mod imports;
mod maintenance;
mod peers;
mod planner;
mod topology;
mod uploads;

use std::time::Duration;

use headlatch_types::{ChunkIndex, fleet::BurstPreference};

pub use chunks::ChunkSet;
pub use planner::{SwarmPlanner, SwarmProgress};
pub use topology::{PeerKey, PeerLocation, PeerTopology};

/// Where a chunk is fetched from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ChunkSource {
    /// The origin of weights.
    Origin,
    /// The rate-limited weight store.
    Store,
    /// Another box.
    Peer(PeerKey),
}

/// Why a fetch did not bring its chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FetchFailure {
    /// The bytes did not match their digest.
    Corrupt,
    /// The source has too much to do at the moment.
    Busy,
    /// The source does not have the chunk.
    Absent,
    /// The source could not be reached, or broke off.
    Unreachable,
}

/// What a box says of itself with every note.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerStatus {
    /// Requests that wait at it.
    pub queue: u32,
    /// Chunks that have had their turn to be drawn from the origin, as far as it knows.
    pub drawn: u32,
}

/// A note from one box to another about one manifest's weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwarmNote {
    /// The sender holds these chunks as well.
    Have(Vec<ChunkIndex>),
    /// All chunks that the sender holds.
    Bitfield(ChunkSet),
    /// The receiver may draw the chunk at this position from this source.
    Ticket(DrawTicket),
    /// The sender has received this ticket.
    TicketReceived(DrawTicket),
    /// The sender holds this chunk, which the receiver should bring into its domain.
    Offer(ChunkIndex),
    /// The sender's domain lacks this chunk; whoever holds it should offer it.
    Seek(ChunkIndex),
}

/// Leave to draw one chunk from the origin or the store.
///
/// Tickets keep the order of draws: a few travel from drawer to drawer, so that chunks leave a
/// source one after another at its full rate instead of all at once and slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct DrawTicket {
    /// Chunk to draw; origin tickets travel upwards, store tickets downwards.
    pub chunk: ChunkIndex,
    /// Which source it is for.
    pub pool: DrawPool,
    /// Number of the ticket among those of its pool, by which a repeated one is known.
    pub lane: u32,
}

/// A source that is drawn from by ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DrawPool {
    /// The origin.
    Origin,
    /// The weight store.
    Store,
}

impl DrawPool {
    /// The source behind the pool.
    pub fn source(self) -> ChunkSource {
        match self {
            Self::Origin => ChunkSource::Origin,
            Self::Store => ChunkSource::Store,
        }
    }
}

/// What a planner is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwarmEvent {
    /// The boxes that take part, this one among them, as far as is known.
    Peers(Vec<PeerLocation>),
    /// A note came.
    Note {
        /// Who sent it.
        from: PeerKey,
        /// What it says.
        note: SwarmNote,
        /// What the sender says besides.
        status: PeerStatus,
    },
    /// A box asks for a chunk.
    Requested {
        /// Who asks.
        from: PeerKey,
        /// For what.
        chunk: ChunkIndex,
        /// Chunks that it holds.
        held: u32,
    },
    /// A box no longer wants what it asked for.
    RequestCancelled {
        /// Who asked.
        from: PeerKey,
        /// For what.
        chunk: ChunkIndex,
    },
    /// A box that was granted a chunk has no room for it now.
    GrantDeferred {
        /// Who asked.
        from: PeerKey,
        /// For what.
        chunk: ChunkIndex,
    },
    /// A box that passed has room again.
    GrantResumed {
        /// Who asked.
        from: PeerKey,
        /// For what.
        chunk: ChunkIndex,
    },
    /// A granted chunk has gone out, or its transfer has broken off.
    Sent {
        /// Who asked.
        to: PeerKey,
        /// For what.
        chunk: ChunkIndex,
    },
    /// A box is ready to send a chunk that was asked of it.
    Granted {
        /// The chunk.
        chunk: ChunkIndex,
        /// Its source.
        source: ChunkSource,
    },
    /// A fetch brought a chunk, and its digest fits.
    Verified {
        /// The chunk.
        chunk: ChunkIndex,
        /// Its source.
        source: ChunkSource,
    },
    /// A fetch failed.
    Failed {
        /// The chunk.
        chunk: ChunkIndex,
        /// Its source.
        source: ChunkSource,
        /// Why.
        failure: FetchFailure,
    },
    /// A box could not be reached with a note.
    PeerUnreachable(PeerKey),
    /// Another version is wanted now: nothing more is fetched, and what is here is still sent.
    Superseded,
    /// Some time has passed; due about every [`TICK`].
    Tick,
}

/// How often a planner wants [`SwarmEvent::Tick`].
pub const TICK: Duration = Duration::from_millis(200);

/// What a planner wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwarmAction {
    /// Fetch a chunk.
    Fetch {
        /// The chunk.
        chunk: ChunkIndex,
        /// From where.
        source: ChunkSource,
    },
    /// Break off a fetch; no event about it is due any more.
    Cancel {
        /// The chunk.
        chunk: ChunkIndex,
        /// From where.
        source: ChunkSource,
    },
    /// Let a box begin to send a chunk whose turn has come.
    AcceptGrant {
        /// The chunk.
        chunk: ChunkIndex,
        /// From where.
        source: ChunkSource,
    },
    /// Let a box know that there is no room for a chunk whose turn has come.
    DeferGrant {
        /// The chunk.
        chunk: ChunkIndex,
        /// From where.
        source: ChunkSource,
    },
    /// Let a box know that there is room again for a chunk that was passed.
    ResumeGrant {
        /// The chunk.
        chunk: ChunkIndex,
        /// From where.
        source: ChunkSource,
    },
    /// Tell an asker that its turn has come; it takes the chunk or passes.
    Grant {
        /// To whom.
        to: PeerKey,
        /// What.
        chunk: ChunkIndex,
    },
    /// Tell an asker that it will not get the chunk from here now.
    Refuse {
        /// Whom.
        to: PeerKey,
        /// What.
        chunk: ChunkIndex,
        /// Why.
        failure: FetchFailure,
    },
    /// Hand over a note.
    SendNote {
        /// To whom.
        to: PeerKey,
        /// What.
        note: SwarmNote,
    },
    /// Every chunk is here and verified.
    Complete,
}

/// How boxes come to draw chunks from the origin.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum DrawMode {
    /// A few tickets travel from drawer to drawer: for more boxes than the origin could serve at
    /// once.
    #[default]
    Tickets,
    /// Every box draws the chunks that fall to it by rendezvous hashing, one at a time: for bursts
    /// so short that the handing over of tickets would take longer than the draws.
    Assigned,
}

/// Pauses and patience of a planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SwarmTimings {
    /// How often the planner wants [`SwarmEvent::Tick`].
    pub tick: Duration,
    /// How often the whole field is sent again, against lost notes.
    pub bitfield_interval: Duration,
    /// How long fresh chunks wait to be told of together.
    pub announce_interval: Duration,
    /// Added to every limit on waiting, whatever the chunk's size.
    pub min_timeout: Duration,
    /// How long a box waits for each rank above it, besides the time that chunks take.
    pub rank_timeout: Duration,
    /// How long the lack of a chunk is borne before it is looked for elsewhere, besides the time
    /// that chunks take.
    pub seek_delay: Duration,
    /// Pause between two searches for the same chunk.
    pub seek_interval: Duration,
    /// How long a domain bears the lack of a chunk before it draws it again; by the preference if
    /// none.
    pub redraw_delay: Option<Duration>,
    /// A box that says nothing for this long may be gone: what only it holds counts as lacking.
    pub silence_timeout: Duration,
    /// First pause after a box proved slow or out of reach; it doubles each time.
    pub initial_backoff: Duration,
}

impl Default for SwarmTimings {
    fn default() -> Self {
        Self {
            tick: TICK,
            bitfield_interval: Duration::from_secs(5),
            announce_interval: Duration::from_millis(200),
            min_timeout: Duration::from_secs(2),
            rank_timeout: Duration::from_secs(1),
            seek_delay: Duration::from_secs(1),
            seek_interval: Duration::from_secs(2),
            redraw_delay: None,
            silence_timeout: Duration::from_secs(8),
            initial_backoff: Duration::from_secs(2),
        }
    }
}

impl SwarmTimings {
    /// The pace of bursts that last a few seconds.
    pub fn short_burst() -> Self {
        Self {
            tick: Duration::from_millis(50),
            bitfield_interval: Duration::from_millis(250),
            announce_interval: Duration::from_millis(50),
            min_timeout: Duration::from_millis(500),
            rank_timeout: Duration::from_millis(200),
            seek_delay: Duration::from_millis(200),
            seek_interval: Duration::from_millis(500),
            redraw_delay: Some(Duration::from_millis(250)),
            silence_timeout: Duration::from_millis(1200),
            initial_backoff: Duration::from_millis(400),
        }
    }
}

/// Settings of one planner.
#[derive(Debug, Clone)]
pub struct SwarmSettings {
    /// What to spare.
    pub prefer: BurstPreference,
    /// Chunks in the manifest.
    pub chunks: u32,
    /// Time one chunk takes over this box's link.
    pub chunk_time: Duration,
    /// Time one chunk takes over the origin's link.
    pub origin_chunk_time: Duration,
    /// Whether there is a weight store.
    pub store: bool,
    /// Chunks sent at the same time.
    pub uploads: usize,
    /// Chunks received at the same time.
    pub downloads: usize,
    /// Chunks asked for at the same time, whether they have begun to come or not.
    pub pipeline: usize,
    /// Boxes of its own domain that this box keeps informed, roughly.
    pub neighbours: usize,
    /// Requests that may wait for an upload.
    pub queue: usize,
    /// Seed of every random choice.
    pub seed: u64,
    /// How chunks are drawn from the origin.
    pub draw_mode: DrawMode,
    /// Pauses and patience.
    pub timings: SwarmTimings,
}

impl SwarmSettings {
    /// The usual settings for `chunks` chunks that take the given times.
    pub fn new(chunks: u32, chunk_time: Duration, origin_chunk_time: Duration) -> Self {
        Self {
            prefer: BurstPreference::default(),
            chunks,
            chunk_time,
            origin_chunk_time,
            store: false,
            uploads: 4,
            downloads: 4,
            pipeline: 12,
            neighbours: 24,
            queue: 8,
            seed: 0,
            draw_mode: DrawMode::default(),
            timings: SwarmTimings::default(),
        }
    }
}
