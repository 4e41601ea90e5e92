//! Planned stop of an entry.

use std::{sync::OnceLock, time::Duration};

use headlatch_http::StopHandle;
use tokio::time::Instant;

/// Refusal or failure cause: the entry stops, and the request would not end before it.
pub const STOPPING: &str = "stopping";

/// State of a planned stop.
#[derive(Debug)]
pub struct PlannedStop {
    /// When requests in progress are answered, however far they are; set when the stop begins.
    answers_due: OnceLock<Instant>,
    /// Stops once that time has come.
    due: StopHandle,
}

impl Default for PlannedStop {
    fn default() -> Self {
        let (due, _) = StopHandle::new();
        Self { answers_due: OnceLock::new(), due }
    }
}

impl PlannedStop {
    /// Begins a stop in which all requests are answered by `answers_due`.
    pub fn begin(&self, answers_due: Instant) {
        // Only the first request for a stop counts.
        let _ = self.answers_due.set(answers_due);
    }

    /// Whether a stop has begun.
    pub fn is_begun(&self) -> bool {
        self.answers_due.get().is_some()
    }

    /// Time until all requests are answered; `None` while no stop has begun.
    pub fn time_left(&self) -> Option<Duration> {
        let due = self.answers_due.get()?;
        Some(due.saturating_duration_since(Instant::now()))
    }

    /// Ends the steps of all requests in progress.
    pub fn end_requests(&self) {
        self.due.stop();
    }

    /// Takes a step of a request, or fails once requests have to end.
    pub async fn before_end<T>(&self, step: impl Future<Output = T>) -> Result<T, &'static str> {
        let mut due = self.due.signal();
        tokio::select! {
            biased;
            taken = step => Ok(taken),
            () = due.stopped() => Err(STOPPING),
        }
    }
}
