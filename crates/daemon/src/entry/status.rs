//! Operator status: one object per failure domain, written by one of its entries.

use std::{sync::Arc, time::Duration};

use headlatch_core::{
    hash::winner,
    membership::{EndpointState, NodeKind, NodeRecord},
    time::Moment,
};
use headlatch_http::StopSignal;
use headlatch_types::status::{DomainStatus, EndpointStatus, NodeStatus, STATUS_PREFIX};
use http::StatusCode;
use volo_http::server::{Router, route::get};

use super::answer;
use crate::{node::NodeContext, platform::WriteCondition, timer::unix_time};

/// Interval between status checks.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Number of checks after which status is written even if unchanged, so that readers can
/// distinguish an idle domain from an unreachable one.
const FORCED_WRITE_CHECKS: u32 = 10;

/// Writes the status of this entry's failure domain.
#[derive(Debug, Clone)]
pub struct StatusWriter {
    node: Arc<NodeContext>,
}

impl StatusWriter {
    /// Creates a writer for the failure domain of `node`.
    pub fn new(node: Arc<NodeContext>) -> Self {
        Self { node }
    }

    /// Adds the `/status` route.
    pub fn add_routes(&self, router: Router) -> Router {
        let writer = self.clone();
        router.route(
            "/status",
            get(move || async move {
                let status = serde_json::to_value(writer.status());
                answer::json(StatusCode::OK, &status.unwrap_or_default())
            }),
        )
    }

    /// Writes status periodically until stopped.
    pub async fn run(self, mut signal: StopSignal) {
        let mut ticks = self.node.timer.subscribe(CHECK_INTERVAL);
        let mut last: Vec<NodeStatus> = Vec::new();
        let mut checks = 0;
        loop {
            let now = tokio::select! {
                tick = ticks.next() => match tick { Some(now) => now, None => return },
                () = signal.stopped() => return,
            };
            checks += 1;
            if !self.is_writer(now) {
                continue;
            }
            let status = self.status();
            let stable: Vec<NodeStatus> =
                status.nodes.iter().map(without_volatile_fields).collect();
            if stable == last && checks % FORCED_WRITE_CHECKS != 0 {
                continue;
            }
            last = stable;
            self.write(&status).await;
        }
    }

    async fn write(&self, status: &DomainStatus) {
        let key = format!("{STATUS_PREFIX}{}", status.domain);
        let text = serde_json::to_string(status).expect("status has only string keys");
        // Concurrent writers during a membership change are harmless: each writes a full object.
        if let Err(error) = self.node.store.write(&key, WriteCondition::Always, text).await {
            log::debug!("status: write failed: {error}");
        }
    }

    /// Whether this entry is the elected writer of its failure domain, by rendezvous hashing.
    fn is_writer(&self, now: Moment) -> bool {
        let table = self.node.table();
        let own = table.own();
        let local = table.alive_nodes(now).filter(|record| {
            record.kind == NodeKind::Entry && record.domain == own.domain && !record.leaving
        });
        let keys = local.map(|record| record.id.key()).chain([own.id.key()]);
        winner(own.domain.key(), keys) == Some(own.id.key())
    }

    /// The status of this failure domain as seen by this entry.
    pub fn status(&self) -> DomainStatus {
        let now = self.node.now();
        let table = self.node.table();
        let own = table.own();
        let local = table.known_nodes().filter(|known| known.record.domain == own.domain);
        let others = local.map(|known| node_status(&known.record, now.since(known.last_alive)));
        let mut nodes: Vec<NodeStatus> = others.chain([node_status(own, Duration::ZERO)]).collect();
        nodes.sort_by(|a, b| a.id.cmp(&b.id));
        DomainStatus {
            domain: own.domain.clone(),
            writer: own.id.clone(),
            written_ms: unix_time().as_millis() as u64,
            nodes,
        }
    }
}

/// A node's status with the fields that change continuously zeroed, for comparison.
fn without_volatile_fields(status: &NodeStatus) -> NodeStatus {
    let mut stable = status.clone();
    stable.silent_ms = 0;
    if let Some(endpoint) = stable.endpoint.as_mut() {
        endpoint.in_progress = 0;
        endpoint.fetch_rate = 0;
    }
    stable
}

fn node_status(record: &NodeRecord, silent: Duration) -> NodeStatus {
    NodeStatus {
        id: record.id.clone(),
        revision: record.revision,
        leaving: record.leaving,
        silent_ms: silent.as_millis() as u64,
        endpoint: record.endpoint.as_ref().map(endpoint_status),
    }
}

fn endpoint_status(state: &EndpointState) -> EndpointStatus {
    EndpointStatus {
        service: state.service.clone(),
        serving: state.serving,
        fetching: state.fetching,
        fetched_permille: state.fetched_permille,
        fetch_rate: state.fetch_rate,
        in_progress: state.in_progress,
        slots: state.slots,
        healthy: state.healthy,
    }
}
