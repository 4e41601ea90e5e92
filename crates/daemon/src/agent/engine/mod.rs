//! Control of the model engine on this box.

mod http;

use std::{future::Future, pin::Pin};

use headlatch_core::gate::EngineReport;
use headlatch_types::{fleet::SetKey, quantity::FencingToken};

pub use http::HttpEngine;

/// A failed call to the engine.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("engine call failed: {0}")]
pub struct EngineError(pub String);

/// Outcome of a load order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order.
    Accepted,
    /// The engine has seen a later fencing token and rejected the order.
    Fenced,
}

/// An order to load a set of weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadOrder {
    /// Fencing token, higher than that of any earlier order.
    pub token: FencingToken,
    /// The weight set to load.
    pub set: SetKey,
    /// URLs of the set's files, in the order of their manifests.
    pub files: Vec<String>,
}

/// Boxed future, so that `EngineControl` can be used as a trait object.
pub type EngineFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, EngineError>> + Send + 'a>>;

/// Sends orders to an engine and reads its state.
pub trait EngineControl: Send + Sync + std::fmt::Debug {
    /// Reads the engine's state.
    fn report(&self) -> EngineFuture<'_, EngineReport>;
    /// Orders the engine to load a weight set in place of the current one.
    fn load(&self, order: LoadOrder) -> EngineFuture<'_, OrderOutcome>;
}
