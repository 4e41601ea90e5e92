//! Shutdown signal.

use tokio::sync::watch;

/// Requests a shutdown of every holder of the signal.
#[derive(Debug, Clone)]
pub struct StopHandle(watch::Sender<bool>);

/// Receives the shutdown request.
#[derive(Debug, Clone)]
pub struct StopSignal(watch::Receiver<bool>);

impl StopHandle {
    /// A handle and its signal.
    pub fn new() -> (Self, StopSignal) {
        let (sender, receiver) = watch::channel(false);
        (Self(sender), StopSignal(receiver))
    }

    /// Requests a shutdown.
    pub fn stop(&self) {
        self.0.send_replace(true);
    }

    /// A new receiver of the shutdown request.
    pub fn signal(&self) -> StopSignal {
        StopSignal(self.0.subscribe())
    }
}

impl StopSignal {
    /// Whether a shutdown was requested.
    pub fn is_stopped(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits until a shutdown is requested or the handle is dropped.
    pub async fn stopped(&mut self) {
        // An error means that the handle was dropped, which counts as a shutdown request.
        let _ = self.0.wait_for(|stopped| *stopped).await;
    }
}
