//! The system's clock.

use std::time::Duration;

use headlatch_core::time::Moment;
use tokio::{
    sync::mpsc,
    time::{Instant, MissedTickBehavior, interval},
};

use super::{TickStream, TimerService};

/// A timer service on the system's monotonic clock.
#[derive(Debug)]
pub struct SystemTimer {
    begun: Instant,
}

impl Default for SystemTimer {
    fn default() -> Self {
        Self { begun: Instant::now() }
    }
}

impl TimerService for SystemTimer {
    fn now(&self) -> Moment {
        Moment::from_micros(self.begun.elapsed().as_micros() as u64)
    }

    fn subscribe(&self, period: Duration) -> TickStream {
        let (sender, receiver) = mpsc::channel(1);
        let begun = self.begun;
        tokio::spawn(async move {
            let mut ticks = interval(period);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                let at = ticks.tick().await;
                let now = Moment::from_micros((at - begun).as_micros() as u64);
                if matches!(sender.try_send(now), Err(mpsc::error::TrySendError::Closed(_))) {
                    return;
                }
            }
        });
        TickStream(receiver)
    }
}
