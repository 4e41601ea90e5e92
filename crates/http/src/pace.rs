//! Links with a rate: whoever sends on one waits for its turn.

use std::{sync::Mutex, time::Duration};

use headlatch_types::quantity::{ByteRate, ByteSize};
use tokio::time::Instant;

/// Bytes that are sent in one turn, so that several senders share a link evenly.
pub const TURN_BYTES: usize = 32 << 10;

/// Longest time for which a link that was idle may be used ahead.
const BURST_TIME: Duration = Duration::from_millis(4);

/// One way of a link.
#[derive(Debug)]
pub struct LinkPacer {
    rate: ByteRate,
    free_at: Mutex<Option<Instant>>,
}

impl LinkPacer {
    /// A link of `rate`.
    pub fn new(rate: ByteRate) -> Self {
        Self { rate, free_at: Mutex::new(None) }
    }

    /// The link's rate.
    pub fn rate(&self) -> ByteRate {
        self.rate
    }

    /// Waits until `bytes` bytes have been sent.
    pub async fn send(&self, bytes: usize) {
        let until = self.reserve(bytes);
        tokio::time::sleep_until(until).await;
    }

    /// Waits until what was handed to the link before has been sent, so that nothing queues below.
    pub async fn wait_until_free(&self, bytes: usize) {
        let until = self.reserve(bytes);
        let took = self.rate.time_for(ByteSize::from_bytes(bytes as u64));
        tokio::time::sleep_until(until.checked_sub(took).unwrap_or(until)).await;
    }

    fn reserve(&self, bytes: usize) -> Instant {
        let now = Instant::now();
        let earliest = now.checked_sub(BURST_TIME).unwrap_or(now);
        let mut free_at = self.free_at.lock().unwrap_or_else(|broken| broken.into_inner());
        let start = free_at.map_or(earliest, |free_at| free_at.max(earliest));
        let end = start + self.rate.time_for(ByteSize::from_bytes(bytes as u64));
        *free_at = Some(end);
        end
    }
}
