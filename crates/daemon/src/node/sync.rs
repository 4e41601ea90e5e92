//! Synchronizes the configuration and the member list with the platform.
//!
//! Only a few nodes per failure domain watch the platform; the others receive updates by gossip, so
//! that the number of platform calls does not grow with the fleet.

use std::{sync::Arc, time::Duration};

use headlatch_core::{config::FLEET_KEY, hash::ranking, membership::NodeKind};
use headlatch_http::StopSignal;
use headlatch_types::quantity::ConfigRevision;

use super::NodeContext;
use crate::platform::{ListedRows, ObjectValue, StoreError};

/// Number of nodes per failure domain that watch the platform.
const WATCHERS: usize = 2;

/// Maximum wait of one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Delay before retrying a failed call.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Interval at which a non-watching node checks whether it has become a watcher.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between reads of the member list by a watcher.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(5);

/// Runs the synchronization until stopped.
pub async fn run(node: Arc<NodeContext>, mut signal: StopSignal) {
    tokio::select! {
        ((), ()) = async { tokio::join!(follow_config(&node), follow_members(&node)) } => {}
        () = signal.stopped() => {}
    }
}

async fn follow_config(node: &NodeContext) {
    apply_read(node, node.store.read(FLEET_KEY).await);
    loop {
        if !is_watcher(node) {
            tokio::time::sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        let after = node.config().revision.number();
        if !apply_read(node, node.store.watch(FLEET_KEY, after, WATCH_TIMEOUT).await) {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

/// Offers the object read from the platform as configuration; returns false if the read failed.
fn apply_read(node: &NodeContext, answer: Result<Option<ObjectValue>, StoreError>) -> bool {
    match answer {
        Ok(Some(object)) => node.offer_config(ConfigRevision::new(object.version), &object.text),
        Ok(None) => {}
        Err(error) => {
            log::warn!("config: {error}");
            return false;
        }
    }
    true
}

/// Whether this node is a watcher of its failure domain, by rendezvous hashing.
///
/// Entries take precedence over agents. A node that knows no other node is a watcher, so that a
/// domain of newly started nodes always has one.
pub fn is_watcher(node: &NodeContext) -> bool {
    let now = node.now();
    let table = node.table();
    let own = table.own();
    let local =
        table.alive_nodes(now).filter(|record| record.domain == own.domain && !record.leaving);
    let local: Vec<_> = local.chain([own]).collect();
    let entries = local.iter().any(|record| record.kind == NodeKind::Entry);
    if entries && own.kind == NodeKind::Agent {
        return false;
    }
    let same_kind = local.iter().filter(|record| record.kind == own.kind);
    let ranked = ranking(own.domain.key(), same_kind.map(|record| record.id.key()));
    ranked.iter().take(WATCHERS).any(|key| *key == own.id.key())
}

async fn follow_members(node: &NodeContext) {
    let mut first = true;
    loop {
        if first || is_watcher(node) || node.table().known_nodes().next().is_none() {
            match node.store.members().await {
                Ok(ListedRows { rows: members, unreadable }) => {
                    first = false;
                    unreadable.iter().for_each(|error| log::warn!("members: {error}"));
                    node.metrics.count_store_events("member_unreadable", unreadable.len());
                    node.table().set_seeds(members.iter().map(|member| member.control).collect());
                }
                Err(error) => log::debug!("members: read failed: {error}"),
            }
        }
        let pause = if first { RETRY_DELAY } else { MEMBERS_INTERVAL };
        tokio::time::sleep(pause).await;
    }
}
