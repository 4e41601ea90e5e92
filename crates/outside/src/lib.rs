//! What headlatch asks of the systems around it.
//!
//! An adapter implements these traits for one outside platform. It only translates: decisions,
//! retries and state stay with the callers of these traits.

pub mod engine;
pub mod facts;
pub mod headers;
pub mod quarantine;

use std::{future::Future, pin::Pin};

/// A future that a trait object returns.
pub type OutsideFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;
