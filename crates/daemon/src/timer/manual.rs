//! A manually advanced timer for tests.

use std::{
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use headlatch_core::time::Moment;
use tokio::sync::mpsc;

use super::{TickStream, TimerService};

#[derive(Debug)]
struct Subscription {
    period: Duration,
    due: Moment,
    sender: mpsc::Sender<Moment>,
}

#[derive(Debug, Default)]
struct ManualState {
    now: Moment,
    subscriptions: Vec<Subscription>,
}

/// A timer service whose time only moves by [`ManualTimer::advance`].
#[derive(Debug, Default)]
pub struct ManualTimer {
    state: Mutex<ManualState>,
}

impl ManualTimer {
    fn lock(&self) -> MutexGuard<'_, ManualState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Advances the time and sends the ticks that have become due.
    pub fn advance(&self, duration: Duration) {
        let mut state = self.lock();
        state.now = state.now + duration;
        let now = state.now;
        state.subscriptions.retain_mut(|subscription| {
            if subscription.due > now {
                return true;
            }
            subscription.due = now + subscription.period;
            !matches!(subscription.sender.try_send(now), Err(mpsc::error::TrySendError::Closed(_)))
        });
    }
}

impl TimerService for ManualTimer {
    fn now(&self) -> Moment {
        self.lock().now
    }

    fn subscribe(&self, period: Duration) -> TickStream {
        let (sender, receiver) = mpsc::channel(1);
        let mut state = self.lock();
        let due = state.now + period;
        state.subscriptions.push(Subscription { period, due, sender });
        TickStream(receiver)
    }
}
