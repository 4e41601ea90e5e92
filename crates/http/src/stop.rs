//! Planned stops.

use tokio::sync::watch;

/// Asks every holder of the signal to stop.
#[derive(Debug, Clone)]
pub struct StopHandle(watch::Sender<bool>);

/// Tells when a stop has been asked for.
#[derive(Debug, Clone)]
pub struct StopSignal(watch::Receiver<bool>);

impl StopHandle {
    /// A handle and its signal.
    pub fn new() -> (Self, StopSignal) {
        let (sender, receiver) = watch::channel(false);
        (Self(sender), StopSignal(receiver))
    }

    /// Asks for a stop.
    pub fn stop(&self) {
        self.0.send_replace(true);
    }

    /// A further signal.
    pub fn signal(&self) -> StopSignal {
        StopSignal(self.0.subscribe())
    }
}

impl StopSignal {
    /// Whether a stop has been asked for.
    pub fn is_stopped(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits until a stop is asked for, or its handle is gone.
    pub async fn stopped(&mut self) {
        // An error means that the handle is gone, which is a stop as well.
        let _ = self.0.wait_for(|stopped| *stopped).await;
    }
}
