//! Pacing of senders to the rate of a link.

use std::{sync::Mutex, time::Duration};

use headlatch_types::quantity::{ByteRate, ByteSize};
use tokio::time::Instant;

/// Bytes that are sent at a time, so that several senders share a link evenly.
pub const TURN_BYTES: usize = 32 << 10;

/// Largest burst after an idle period, as transmission time.
const MAX_BURST_TIME: Duration = Duration::from_millis(4);

/// Pacer for one direction of a link.
#[derive(Debug)]
pub struct LinkPacer {
    rate: ByteRate,
    free_at: Mutex<Option<Instant>>,
}

impl LinkPacer {
    /// A pacer for a link of `rate`.
    pub fn new(rate: ByteRate) -> Self {
        Self { rate, free_at: Mutex::new(None) }
    }

    /// The link's rate.
    pub fn rate(&self) -> ByteRate {
        self.rate
    }

    /// Reserves the link for `bytes` bytes and waits until they would have been sent.
    pub async fn send(&self, bytes: usize) {
        let until = self.reserve(bytes);
        tokio::time::sleep_until(until).await;
    }

    /// Reserves the link for `bytes` bytes and waits until earlier reservations have been sent, so that no
    /// queue builds up in lower layers.
    pub async fn wait_until_free(&self, bytes: usize) {
        let until = self.reserve(bytes);
        let took = self.rate.time_for(ByteSize::from_bytes(bytes as u64));
        tokio::time::sleep_until(until.checked_sub(took).unwrap_or(until)).await;
    }

    fn reserve(&self, bytes: usize) -> Instant {
        let now = Instant::now();
        let earliest = now.checked_sub(MAX_BURST_TIME).unwrap_or(now);
        let mut free_at = self.free_at.lock().unwrap_or_else(|broken| broken.into_inner());
        let start = free_at.map_or(earliest, |free_at| free_at.max(earliest));
        let end = start + self.rate.time_for(ByteSize::from_bytes(bytes as u64));
        *free_at = Some(end);
        end
    }
}
