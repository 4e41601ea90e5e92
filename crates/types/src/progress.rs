//! How far an answer has come.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Bytes of an answer's body that have come so far, shared by whoever reads it and whoever waits for
/// it.
#[derive(Debug, Clone, Default)]
pub struct ByteProgress(Arc<AtomicU64>);

impl ByteProgress {
    /// Further `bytes` have come.
    pub fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Bytes that have come.
    pub fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
