//! Orders to the model engine on this box.

mod http;

use std::{future::Future, pin::Pin};

use headlatch_core::gate::EngineReport;
use headlatch_types::{fleet::SetKey, quantity::FencingToken};

pub use http::HttpEngine;

/// An engine that did not answer as it should.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("the engine does not answer as it should: {0}")]
pub struct EngineError(pub String);

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine took it.
    Accepted,
    /// The engine has had a later one.
    Fenced,
}

/// An order to load a set of weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadOrder {
    /// Its token, higher than any before it.
    pub token: FencingToken,
    /// The set.
    pub set: SetKey,
    /// URLs of the set's files, in the order of their manifests.
    pub files: Vec<String>,
}

/// A future that a trait object returns.
pub type EngineFuture<'a, T> = Pin<Box<dyn Future<Output = Result<T, EngineError>> + Send + 'a>>;

/// Gives orders to an engine and hears what it says of itself.
pub trait EngineControl: Send + Sync + std::fmt::Debug {
    /// What the engine says of itself.
    fn report(&self) -> EngineFuture<'_, EngineReport>;
    /// Orders it to load a set in place of what it has.
    fn load(&self, order: LoadOrder) -> EngineFuture<'_, OrderOutcome>;
}
