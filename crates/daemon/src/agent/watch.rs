//! Checks the health of a plain service and publishes the endpoint's readiness.

use std::{sync::Arc, time::Duration};

use headlatch_http::StopSignal;
use tokio::net::TcpStream;

use super::admission::EndpointAdmission;
use crate::node::{NodeContext, admin::ReadyFlag};

/// Interval between checks of an endpoint.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout for connecting to a plain service.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Monitors one endpoint.
pub struct EndpointWatcher {
    node: Arc<NodeContext>,
    admission: Arc<EndpointAdmission>,
    ready: ReadyFlag,
}

impl EndpointWatcher {
    /// A watcher of the endpoint of `admission`, which updates `ready`.
    pub fn new(
        node: Arc<NodeContext>,
        admission: Arc<EndpointAdmission>,
        ready: ReadyFlag,
    ) -> Self {
        Self { node, admission, ready }
    }

    /// Runs until the stop signal.
    pub async fn run(self, mut signal: StopSignal) {
        let mut ticks = self.node.timer.subscribe(CHECK_INTERVAL);
        loop {
            tokio::select! {
                tick = ticks.next() => if tick.is_none() { return },
                () = signal.stopped() => return,
            }
            if self.admission.endpoint().service.is_some() {
                self.check_service().await;
            }
            let admission = self.admission.lock();
            let serves =
                admission.gate.serving().is_some() || self.admission.endpoint().service.is_some();
            self.ready.set(admission.healthy && serves && !admission.leaving);
            self.node.metrics.set_in_progress(admission.in_progress as usize);
        }
    }

    async fn check_service(&self) {
        let address = self.admission.endpoint().address;
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let healthy = matches!(connected, Ok(Ok(_)));
        let in_progress = {
            let mut admission = self.admission.lock();
            if admission.healthy != healthy {
                log::info!(
                    "endpoint: {address} {}",
                    if healthy { "answers" } else { "does not answer" }
                );
            }
            admission.healthy = healthy;
            admission.in_progress
        };
        self.node.update_record(false, |record| {
            if let Some(state) = record.endpoint.as_mut() {
                state.healthy = healthy;
                state.in_progress = in_progress;
            }
        });
    }
}
