//! Timer service on the system clock.

use std::{sync::Arc, time::Duration};

use headlatch_core::time::Moment;
use tokio::{
    sync::mpsc,
    time::{MissedTickBehavior, interval},
};

use super::{NodeClock, SuspendSource, TickStream, TimerService};

/// A timer service on the system clocks that includes suspended time.
#[derive(Debug, Default)]
pub struct SystemTimer {
    clock: Arc<NodeClock>,
}

impl SystemTimer {
    /// Creates a timer with a custom source of suspended time.
    pub fn with_suspend_source(source: Box<dyn SuspendSource>) -> Self {
        Self { clock: Arc::new(NodeClock::new(source)) }
    }
}

impl TimerService for SystemTimer {
    fn now(&self) -> Moment {
        self.clock.now()
    }

    fn subscribe(&self, period: Duration) -> TickStream {
        let (sender, receiver) = mpsc::channel(1);
        let clock = self.clock.clone();
        tokio::spawn(async move {
            let mut ticks = interval(period);
            ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
            loop {
                let now = clock.at(ticks.tick().await);
                if matches!(sender.try_send(now), Err(mpsc::error::TrySendError::Closed(_))) {
                    return;
                }
            }
        });
        TickStream(receiver)
    }
}
