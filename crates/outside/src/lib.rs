//! Interfaces to the external systems that headlatch depends on.
//!
//! An adapter implements these traits for one platform. It only translates between formats; decisions,
//! retries and state belong to the callers of the traits.

pub mod engine;
pub mod facts;
pub mod headers;
pub mod quarantine;

use std::{future::Future, pin::Pin};

/// A boxed future, returned by methods of trait objects.
pub type OutsideFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;
