//! Peer-to-peer distribution of one manifest's weights: decides which box fetches which chunk from
//! which source.
//!
//! Each box runs one [`SwarmPlanner`] per manifest. Its input is the list of participating boxes,
//! which may be stale, and notes from other boxes, which may be delayed or lost. A *draw* is a fetch
//! from the origin or the weight store, as opposed to one from a peer. The design and its alternatives
//! are described in `docs/decisions/0002-burst.md`.

mod chunks;
mod corrupt_draws;
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

/// Source of a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ChunkSource {
    /// The weight origin.
    Origin,
    /// The rate-limited weight store.
    Store,
    /// Another box.
    Peer(PeerKey),
}

/// Reason for a failed fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FetchFailure {
    /// The data did not match its digest.
    Corrupt,
    /// The source is temporarily overloaded.
    Busy,
    /// The source does not have the chunk.
    Absent,
    /// The source could not be reached, or closed the connection mid-transfer.
    Unreachable,
}

/// Sender state that accompanies every note.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerStatus {
    /// Requests queued at the sender.
    pub queue: u32,
    /// Number of chunks whose origin draw has been scheduled, as far as the sender knows.
    pub drawn: u32,
}

/// A message between two boxes about one manifest's weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwarmNote {
    /// The sender now also holds these chunks.
    Have(Vec<ChunkIndex>),
    /// All chunks that the sender holds.
    Bitfield(ChunkSet),
    /// Grants the receiver permission to draw this chunk from this source.
    Ticket(DrawTicket),
    /// Acknowledges receipt of a ticket.
    TicketReceived(DrawTicket),
    /// The sender holds this chunk, which the receiver should import into its failure domain.
    Offer(ChunkIndex),
    /// The sender's failure domain lacks this chunk; a holder should answer with an offer.
    Seek(ChunkIndex),
}

/// Permission to draw one chunk from the origin or the store.
///
/// Tickets limit concurrent draws: a small number are passed from box to box, so that a source sends
/// chunks one after another at its full rate instead of many at once at a low rate each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct DrawTicket {
    /// Chunk to draw. Origin tickets move to higher chunk numbers, store tickets to lower ones.
    pub chunk: ChunkIndex,
    /// Source to draw from.
    pub pool: DrawPool,
    /// Number of the ticket within its pool, used to recognise duplicates.
    pub lane: u32,
}

/// A source whose draws are limited by tickets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DrawPool {
    /// The origin.
    Origin,
    /// The weight store.
    Store,
}

impl DrawPool {
    /// The chunk source of this pool.
    pub fn source(self) -> ChunkSource {
        match self {
            Self::Origin => ChunkSource::Origin,
            Self::Store => ChunkSource::Store,
        }
    }
}

/// Input to a planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwarmEvent {
    /// Known participants, including this box.
    Peers(Vec<PeerLocation>),
    /// A note was received.
    Note {
        /// Sender.
        from: PeerKey,
        /// Content.
        note: SwarmNote,
        /// State of the sender.
        status: PeerStatus,
    },
    /// A box requested a chunk.
    Requested {
        /// Requesting box.
        from: PeerKey,
        /// Requested chunk.
        chunk: ChunkIndex,
        /// Number of chunks that it holds.
        held: u32,
    },
    /// A box cancelled its request.
    RequestCancelled {
        /// Requesting box.
        from: PeerKey,
        /// Requested chunk.
        chunk: ChunkIndex,
    },
    /// A box deferred a granted upload because its downloads are at their limit.
    GrantDeferred {
        /// Requesting box.
        from: PeerKey,
        /// Requested chunk.
        chunk: ChunkIndex,
    },
    /// A box that deferred a grant can now receive the chunk.
    GrantResumed {
        /// Requesting box.
        from: PeerKey,
        /// Requested chunk.
        chunk: ChunkIndex,
    },
    /// The upload of a granted chunk completed or was aborted.
    Sent {
        /// Requesting box.
        to: PeerKey,
        /// Requested chunk.
        chunk: ChunkIndex,
    },
    /// A source granted this box's request and is ready to send.
    Granted {
        /// The chunk.
        chunk: ChunkIndex,
        /// Its source.
        source: ChunkSource,
    },
    /// A fetch completed and the chunk matched its digest.
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
        /// Reason.
        failure: FetchFailure,
    },
    /// A note could not be delivered to this box.
    PeerUnreachable(PeerKey),
    /// Another version replaces this one: fetches stop, but held chunks are still uploaded.
    Superseded,
    /// Periodic timer, expected about every [`SwarmTimings::tick`].
    Tick,
}

/// Default interval between [`SwarmEvent::Tick`] events.
pub const TICK: Duration = Duration::from_millis(200);

/// Output of a planner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwarmAction {
    /// Fetch a chunk.
    Fetch {
        /// The chunk.
        chunk: ChunkIndex,
        /// Its source.
        source: ChunkSource,
    },
    /// Abort a fetch; no further event is expected for it.
    Cancel {
        /// The chunk.
        chunk: ChunkIndex,
        /// Its source.
        source: ChunkSource,
    },
    /// Accept a granted chunk, so that the source starts sending it.
    AcceptGrant {
        /// The chunk.
        chunk: ChunkIndex,
        /// Its source.
        source: ChunkSource,
    },
    /// Defer a granted chunk because downloads are at their limit.
    DeferGrant {
        /// The chunk.
        chunk: ChunkIndex,
        /// Its source.
        source: ChunkSource,
    },
    /// Tell a source that a deferred chunk can now be received.
    ResumeGrant {
        /// The chunk.
        chunk: ChunkIndex,
        /// Its source.
        source: ChunkSource,
    },
    /// Grant a request; the requesting box accepts or defers it.
    Grant {
        /// Requesting box.
        to: PeerKey,
        /// Requested chunk.
        chunk: ChunkIndex,
    },
    /// Refuse a request.
    Refuse {
        /// Requesting box.
        to: PeerKey,
        /// Requested chunk.
        chunk: ChunkIndex,
        /// Reason.
        failure: FetchFailure,
    },
    /// Send a note.
    SendNote {
        /// Receiver.
        to: PeerKey,
        /// Content.
        note: SwarmNote,
    },
    /// All chunks are held and verified.
    Complete,
}

/// How draws from the origin are distributed over the boxes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum DrawMode {
    /// A limited number of tickets is passed between boxes. For fleets larger than the origin can
    /// serve concurrently.
    #[default]
    Tickets,
    /// Every box draws the chunks assigned to it by rendezvous hashing, one at a time. For bursts so
    /// short that passing tickets would take longer than the draws.
    Assigned,
}

/// Intervals and timeouts of a planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SwarmTimings {
    /// Interval between [`SwarmEvent::Tick`] events.
    pub tick: Duration,
    /// Interval at which the full bitfield is resent, to recover from lost notes.
    pub bitfield_interval: Duration,
    /// Interval over which new chunks are batched into one announcement.
    pub announce_interval: Duration,
    /// Constant part of the transfer timeout, independent of the chunk size.
    pub min_timeout: Duration,
    /// Time that a box waits per higher-ranked importer before it takes over, in addition to the
    /// transfer times of chunks.
    pub rank_timeout: Duration,
    /// Time for which a chunk may be overdue before other domains are queried for it, in addition to
    /// the transfer times of chunks.
    pub seek_delay: Duration,
    /// Interval between queries for the same chunk.
    pub seek_interval: Duration,
    /// Time for which a domain may lack a chunk before it draws the chunk again; derived from
    /// [`SwarmSettings::prefer`] if `None`.
    pub redraw_delay: Option<Duration>,
    /// A box not heard from for this long is presumed gone; chunks held only by it count as missing.
    pub silence_timeout: Duration,
    /// Initial backoff after a box was slow or unreachable; doubles with each failure.
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
    /// Timings for bursts that last a few seconds.
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
    /// Whether to optimise for time or for origin traffic.
    pub prefer: BurstPreference,
    /// Number of chunks in the manifest.
    pub chunks: u32,
    /// Transfer time of one chunk over this box's link.
    pub chunk_time: Duration,
    /// Transfer time of one chunk over the origin's link.
    pub origin_chunk_time: Duration,
    /// Whether there is a weight store.
    pub store: bool,
    /// Maximum concurrent uploads.
    pub uploads: usize,
    /// Maximum concurrent downloads.
    pub downloads: usize,
    /// Maximum outstanding requests, including downloads in progress.
    pub pipeline: usize,
    /// Approximate number of boxes in the same failure domain that this box exchanges notes with.
    pub neighbours: usize,
    /// Maximum number of queued upload requests.
    pub queue: usize,
    /// Seed of the random number generator.
    pub seed: u64,
    /// How draws from the origin are distributed.
    pub draw_mode: DrawMode,
    /// Intervals and timeouts.
    pub timings: SwarmTimings,
}

impl SwarmSettings {
    /// Default settings for `chunks` chunks with the given transfer times.
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
