//! Keeps the configuration and the list of members up to date with the platform.
//!
//! A few nodes of each failure domain watch; the others hear from them by gossip, so that the
//! platform's calls do not grow with the fleet.

use std::{sync::Arc, time::Duration};

use headlatch_core::{config::FLEET_KEY, hash::ranking, membership::NodeKind};
use headlatch_http::StopSignal;
use headlatch_types::quantity::ConfigRevision;

use super::NodeContext;
use crate::platform::{ObjectValue, StoreError};

/// Nodes of a domain that watch the platform.
const WATCHERS: usize = 2;

/// How long one watch waits.
const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// How often a node looks whether it should watch.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// How often a watching node reads the list of members.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(5);

/// Runs until the stop.
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

/// Takes over what the platform answered; false if it did not.
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

/// Whether this node is among the few of its domain that watch.
///
/// Entries come before agents. A node that knows of nobody watches, so that a domain with only
/// newcomers is never without a watcher.
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
                Ok(members) => {
                    first = false;
                    node.table().set_seeds(members.iter().map(|member| member.control).collect());
                }
                Err(error) => log::debug!("members: {error}"),
            }
        }
        let pause = if first { RETRY_DELAY } else { MEMBERS_INTERVAL };
        tokio::time::sleep(pause).await;
    }
}
