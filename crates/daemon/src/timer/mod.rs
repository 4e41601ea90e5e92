//! Time as a service that parts subscribe to.

mod manual;
mod suspend;
mod system;

use std::{sync::Arc, time::Duration};

use headlatch_core::time::Moment;
use tokio::sync::mpsc;

pub use manual::ManualTimer;
pub use suspend::{KernelSuspendClock, NodeClock, SuspendSource};
pub use system::SystemTimer;

/// Time of day since 1970, for what is compared across processes; zero on a clock before that.
pub fn unix_time() -> Duration {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default()
}

/// Tells the time and sends ticks.
pub trait TimerService: Send + Sync + std::fmt::Debug {
    /// The time since the service began.
    fn now(&self) -> Moment;
    /// A subscription that ticks every `period`, for as long as it is held.
    fn subscribe(&self, period: Duration) -> TickStream;
}

/// A timer service shared by the parts of a daemon.
pub type SharedTimer = Arc<dyn TimerService>;

/// Ticks of one subscription; ticks that nobody took in time are left out.
#[derive(Debug)]
pub struct TickStream(mpsc::Receiver<Moment>);

impl TickStream {
    /// Waits for the next tick; none once the service is gone.
    pub async fn next(&mut self) -> Option<Moment> {
        self.0.recv().await
    }
}
