//! The waiting requests of one entry, and when they look for a server.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use headlatch_core::{
    direct::admission::{
        caller::UsualDeadlines,
        queue::{AdmissionQueue, QueueBound, QueueLane, QueueTicket},
        return_time::ReturnTime,
    },
    time::Moment,
};
use tokio::sync::Notify;

use crate::direct::state::EntryState;

/// Interval at which the first waiting requests are tried while no change of load is known.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Minimum interval between two tries: entries receive up to several notices per millisecond, and each try
/// looks at all servers of the service.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Signal to one waiting request.
#[derive(Debug, Default)]
pub(super) struct WaitSignal {
    /// The request should look for a server, or at least check whether one exists.
    pub(super) try_now: Notify,
    /// The request is the next one of its lane and may be sent.
    pub(super) is_next: AtomicBool,
    /// The request must be refused.
    pub(super) refused: OnceLock<QueueBound>,
}

#[derive(Debug, Default)]
pub(super) struct WaitingState {
    pub(super) queue: AdmissionQueue,
    pub(super) signals: HashMap<QueueTicket, Arc<WaitSignal>>,
    pub(super) deadlines: UsualDeadlines,
    pub(super) return_times: ReturnTime,
}

/// The waiting requests of one entry.
#[derive(Debug, Default)]
pub struct WaitingRequests {
    state: Mutex<WaitingState>,
    pub(super) count: AtomicUsize,
    /// Signalled when a waiting request may find a server or must be refused.
    pub(super) changed: Notify,
}

impl WaitingRequests {
    pub(super) fn lock(&self) -> MutexGuard<'_, WaitingState> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Number of waiting requests.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }

    /// Has the first waiting requests look for a server, because a load may have fallen or a server has
    /// changed.
    pub fn wake(&self) {
        if self.count() > 0 {
            self.changed.notify_one();
        }
    }

    /// Signals the requests that must be refused and those that are sent next.
    fn signal(&self, now: Moment) {
        let mut state = self.lock();
        for (ticket, bound) in state.queue.due(now) {
            if let Some(signal) = state.signals.get(&ticket) {
                // A second bound does not change the refusal.
                let _ = signal.refused.set(bound);
                signal.try_now.notify_one();
            }
        }
        for ticket in state.queue.next_heads(now) {
            if let Some(signal) = state.signals.get(&ticket) {
                signal.is_next.store(true, Ordering::Relaxed);
                signal.try_now.notify_one();
            }
        }
    }

    /// Has all waiting requests check whether they are still admitted, because the plan has changed.
    pub fn recheck_all(&self) {
        self.lock().signals.values().for_each(|signal| signal.try_now.notify_one());
    }

    /// Has the waiting requests of `lane` check whether any server is left for them.
    pub(super) fn recheck_lane(&self, lane: &QueueLane) {
        let state = self.lock();
        for signal in state.queue.tickets(lane).filter_map(|one| state.signals.get(&one)) {
            signal.try_now.notify_one();
        }
    }
}

/// Signals waiting requests whenever a load changes, and at regular intervals while any request waits.
pub async fn run(state: Arc<EntryState>) {
    let waiting = &state.waiting;
    loop {
        waiting.signal(state.now());
        if waiting.count() == 0 {
            waiting.changed.notified().await;
            continue;
        }
        tokio::time::sleep(MIN_POLL_INTERVAL).await;
        let rest = POLL_INTERVAL - MIN_POLL_INTERVAL;
        // Both a change and the end of the interval lead to the next try.
        let _ = tokio::time::timeout(rest, waiting.changed.notified()).await;
    }
}
