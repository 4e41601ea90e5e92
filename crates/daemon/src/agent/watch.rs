//! Looks after a plain service's health and publishes what runs at an endpoint.

use std::{sync::Arc, time::Duration};

use headlatch_http::StopSignal;
use tokio::net::TcpStream;

use super::desk::EndpointDesk;
use crate::node::{NodeContext, admin::ReadyFlag};

/// How often an endpoint is looked at.
const LOOK_PAUSE: Duration = Duration::from_secs(1);

/// Time to connect to a plain service.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Watches one endpoint.
pub struct EndpointWatcher {
    node: Arc<NodeContext>,
    desk: Arc<EndpointDesk>,
    ready: ReadyFlag,
}

impl EndpointWatcher {
    /// A watcher of `desk`'s endpoint, which sets `ready`.
    pub fn new(node: Arc<NodeContext>, desk: Arc<EndpointDesk>, ready: ReadyFlag) -> Self {
        Self { node, desk, ready }
    }

    /// Runs until the stop.
    pub async fn run(self, mut signal: StopSignal) {
        let mut ticks = self.node.timer.subscribe(LOOK_PAUSE);
        loop {
            tokio::select! {
                tick = ticks.next() => if tick.is_none() { return },
                () = signal.stopped() => return,
            }
            if self.desk.endpoint().service.is_some() {
                self.look_at_service().await;
            }
            let desk = self.desk.lock();
            let serves = desk.gate.serving().is_some() || self.desk.endpoint().service.is_some();
            self.ready.set(desk.healthy && serves && !desk.leaving);
            self.node.metrics.set_in_progress(desk.in_progress as usize);
        }
    }

    async fn look_at_service(&self) {
        let address = self.desk.endpoint().address;
        let connected = tokio::time::timeout(CONNECT_TIME, TcpStream::connect(address)).await;
        let healthy = matches!(connected, Ok(Ok(_)));
        let in_progress = {
            let mut desk = self.desk.lock();
            if desk.healthy != healthy {
                log::info!("endpoint: {address} {}", if healthy { "answers" } else { "is gone" });
            }
            desk.healthy = healthy;
            desk.in_progress
        };
        self.node.update_record(false, |record| {
            if let Some(state) = record.endpoint.as_mut() {
                state.healthy = healthy;
                state.in_progress = in_progress;
            }
        });
    }
}
