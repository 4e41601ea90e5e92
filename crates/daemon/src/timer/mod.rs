//! Timer service: current time and periodic ticks.

mod manual;
mod suspend;
mod system;

use std::{sync::Arc, time::Duration};

use headlatch_core::time::Moment;
use tokio::sync::mpsc;

pub use manual::ManualTimer;
pub use suspend::{KernelSuspendClock, NodeClock, SuspendSource};
pub use system::SystemTimer;

/// Wall-clock time since the Unix epoch, for values compared across processes; zero if the clock is
/// set before the epoch.
pub fn unix_time() -> Duration {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default()
}

/// Provides the current time and periodic ticks.
pub trait TimerService: Send + Sync + std::fmt::Debug {
    /// Time since the service was created.
    fn now(&self) -> Moment;
    /// Subscribes to ticks every `period` until the stream is dropped.
    fn subscribe(&self, period: Duration) -> TickStream;
}

/// A timer service shared by the components of a daemon.
pub type SharedTimer = Arc<dyn TimerService>;

/// Ticks of one subscription; ticks that are not consumed in time are dropped.
#[derive(Debug)]
pub struct TickStream(mpsc::Receiver<Moment>);

impl TickStream {
    /// Waits for the next tick; `None` if the service was dropped.
    pub async fn next(&mut self) -> Option<Moment> {
        self.0.recv().await
    }
}
