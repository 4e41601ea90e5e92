//! Model engines that take weights piece by piece, and the origin of those pieces.

use std::{fmt, net::SocketAddr};

use bytes::Bytes;
use headlatch_types::{
    id::ModelName,
    traffic::{HeldModel, StartTime, WeightVersion},
};

use crate::OutsideFuture;

/// Number of orders that an engine has begun since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderSequence(pub u64);

/// What an engine says of itself.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StageReport {
    /// This start of it, if it tells that.
    pub started_at: Option<StartTime>,
    /// Models that it holds.
    pub models: Vec<HeldModel>,
    /// Whether an order is under way.
    pub busy: bool,
    /// Orders that it has begun.
    pub sequence: OrderSequence,
    /// Requests that wait.
    pub queued: u32,
    /// Requests that run.
    pub active: u32,
}

/// SHA-256 digest of a piece.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
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

/// What becomes of requests that run when an order changes the weights.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RunningRequests {
    /// They end first; nothing new is taken meanwhile.
    #[default]
    Finish,
    /// They are cut, to be continued elsewhere.
    Cut,
}

/// An order to start with the layers that lie in the stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: WeightVersion,
    /// Higher than that of any order before it.
    pub fence: u64,
    /// Orders that the engine must have begun.
    pub expected: OrderSequence,
    /// What becomes of requests that run.
    pub running: RunningRequests,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// It has begun.
    Begun,
    /// It holds already.
    Holds,
    /// It does not fit the engine's state.
    Conflict,
    /// The engine has seen a higher fence.
    Fenced,
    /// The engine refuses it for another reason.
    Refused(u16),
}

/// Why a call brought nothing.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StageFailure {
    /// There is no such thing there.
    #[error("it is not there")]
    Absent,
    /// The version is no longer handed out.
    #[error("the version is no longer handed out")]
    Superseded,
    /// It has too much to do.
    #[error("it has too much to do")]
    Busy,
    /// No answer, or none that can be read; an order may have been taken.
    #[error("no answer: {0}")]
    Unreachable(String),
}

/// The stage and orders of the engine on this machine.
pub trait EngineStage: Send + Sync + fmt::Debug {
    /// What the engine says of itself.
    fn report(&self) -> OutsideFuture<'_, Result<StageReport, StageFailure>>;
    /// Lays a piece into the stage.
    fn put<'a>(
        &'a self,
        model: &'a ModelName,
        piece: u32,
        data: Bytes,
    ) -> OutsideFuture<'a, Result<(), StageFailure>>;
    /// Reads a piece back.
    fn get<'a>(
        &'a self,
        model: &'a ModelName,
        piece: u32,
    ) -> OutsideFuture<'a, Result<Bytes, StageFailure>>;
    /// Gives an order.
    fn start(&self, order: StartOrder) -> OutsideFuture<'_, Result<OrderAnswer, StageFailure>>;
}

/// The origin of weights.
pub trait PieceOrigin: Send + Sync + fmt::Debug {
    /// The manifest of a version.
    fn manifest<'a>(
        &'a self,
        origin: SocketAddr,
        model: &'a ModelName,
        version: WeightVersion,
    ) -> OutsideFuture<'a, Result<PieceManifest, StageFailure>>;
    /// The bytes of a piece, not verified.
    fn piece<'a>(
        &'a self,
        origin: SocketAddr,
        model: &'a ModelName,
        version: WeightVersion,
        piece: u32,
    ) -> OutsideFuture<'a, Result<Bytes, StageFailure>>;
}
