//! Progress of receiving a response.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Number of bytes of a response body received so far, shared between the task that reads the body and the
/// tasks that wait for it.
#[derive(Debug, Clone, Default)]
pub struct ByteProgress(Arc<AtomicU64>);

impl ByteProgress {
    /// Adds `bytes` received bytes.
    pub fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Number of bytes received.
    pub fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
