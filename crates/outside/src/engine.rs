//! Model engines to which weights are uploaded in pieces, and the origin of those pieces.

use std::{collections::BTreeSet, fmt, net::SocketAddr};

use bytes::Bytes;
use headlatch_types::{
    id::ModelName,
    pace::{PaceError, ServerPace},
    reading::FieldPath,
    traffic::{HeldModel, StartTime, WeightVersion},
};

use crate::OutsideFuture;

/// Number of orders that an engine has started to execute since its own start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderSequence(pub u64);

/// Status report of an engine.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StageReport {
    /// Start time of the engine, if it reports one.
    pub started_at: Option<StartTime>,
    /// Models that it holds.
    pub models: Vec<HeldModel>,
    /// Whether an order is being executed.
    pub busy: bool,
    /// Number of orders started.
    pub sequence: OrderSequence,
    /// Queued requests.
    pub queued: u32,
    /// Running requests.
    pub active: u32,
    /// Its pace, if it reports a valid one.
    pub pace: Option<ServerPace>,
    /// Why its reported pace is invalid and counts as none.
    pub pace_error: Option<PaceError>,
    /// Fields of the report that headlatch does not know.
    pub unknown_fields: BTreeSet<FieldPath>,
}

/// SHA-256 digest of a piece.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PieceDigest(pub [u8; 32]);

impl fmt::Debug for PieceDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..4].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// The pieces of one version of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PieceManifest {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: WeightVersion,
    /// Size of a piece, in bytes.
    pub piece_bytes: u32,
    /// Layers of the model.
    pub layers: u32,
    /// Digests of the pieces in order.
    pub digests: Vec<PieceDigest>,
}

/// The version whose manifest is requested from an origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionRequest {
    /// The newest version that the origin offers.
    Newest,
    /// This version.
    Exactly(WeightVersion),
}

/// Handling of running requests when an order changes the weights.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RunningRequests {
    /// They are completed first; no new request is accepted meanwhile.
    #[default]
    Finish,
    /// They are interrupted, to be resumed on another server.
    Cut,
}

/// An order to load the staged layers and serve them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: WeightVersion,
    /// Fencing token; higher than that of any earlier order.
    pub fence: u64,
    /// Number of orders that the engine must have started, or it rejects this one.
    pub expected: OrderSequence,
    /// Handling of running requests.
    pub running: RunningRequests,
}

/// Response of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// Execution has started.
    Begun,
    /// The engine already holds the ordered version.
    Holds,
    /// The order conflicts with the state of the engine.
    Conflict,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// The engine rejected it with this status.
    Refused(u16),
}

/// Why a call to an engine or origin failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StageFailure {
    /// The model, version or piece does not exist there.
    #[error("not found")]
    Absent,
    /// The version is no longer available.
    #[error("the version is no longer available")]
    Superseded,
    /// The server is overloaded.
    #[error("the server is overloaded")]
    Busy,
    /// No response, or one that cannot be decoded; an order may have been accepted.
    #[error("no answer: {0}")]
    Unreachable(String),
}

/// Access to the staging area and orders of the engine on this box.
pub trait EngineStage: Send + Sync + fmt::Debug {
    /// Reads the engine's status report.
    fn report(&self) -> OutsideFuture<'_, Result<StageReport, StageFailure>>;
    /// Uploads a piece to the staging area.
    fn put<'a>(
        &'a self,
        model: &'a ModelName,
        piece: u32,
        data: Bytes,
    ) -> OutsideFuture<'a, Result<(), StageFailure>>;
    /// Reads a piece back from the staging area.
    fn get<'a>(
        &'a self,
        model: &'a ModelName,
        piece: u32,
    ) -> OutsideFuture<'a, Result<Bytes, StageFailure>>;
    /// Sends an order.
    fn start(&self, order: StartOrder) -> OutsideFuture<'_, Result<OrderAnswer, StageFailure>>;
}

/// The origin of weights.
pub trait PieceOrigin: Send + Sync + fmt::Debug {
    /// Fetches the manifest of a version.
    fn manifest<'a>(
        &'a self,
        origin: SocketAddr,
        model: &'a ModelName,
        version: VersionRequest,
    ) -> OutsideFuture<'a, Result<PieceManifest, StageFailure>>;
    /// Fetches a piece without verifying it.
    fn piece<'a>(
        &'a self,
        origin: SocketAddr,
        model: &'a ModelName,
        version: WeightVersion,
        piece: u32,
    ) -> OutsideFuture<'a, Result<Bytes, StageFailure>>;
}
