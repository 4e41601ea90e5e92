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
const WATCH_TIME: Duration = Duration::from_secs(20);

/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// How often a node looks whether it should watch.
const DUTY_PAUSE: Duration = Duration::from_secs(2);

/// How often a watching node reads the list of members.
const MEMBERS_PAUSE: Duration = Duration::from_secs(5);

/// Runs until the stop.
pub async fn run(node: Arc<NodeContext>, mut signal: StopSignal) {
    tokio::select! {
        ((), ()) = async { tokio::join!(follow_config(&node), follow_members(&node)) } => {}
        () = signal.stopped() => {}
    }
}

async fn follow_config(node: &NodeContext) {
    take(node, node.store.read(FLEET_KEY).await);
    loop {
        if !is_watcher(node) {
            tokio::time::sleep(DUTY_PAUSE).await;
            continue;
        }
        let after = node.config().revision.number();
        if !take(node, node.store.watch(FLEET_KEY, after, WATCH_TIME).await) {
            tokio::time::sleep(FAILURE_PAUSE).await;
        }
    }
}

/// Takes over what the platform answered; false if it did not.
fn take(node: &NodeContext, answer: Result<Option<ObjectValue>, StoreError>) -> bool {
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
    let near =
        table.alive_nodes(now).filter(|record| record.domain == own.domain && !record.leaving);
    let near: Vec<_> = near.chain([own]).collect();
    let entries = near.iter().any(|record| record.kind == NodeKind::Entry);
    if entries && own.kind == NodeKind::Agent {
        return false;
    }
    let same_kind = near.iter().filter(|record| record.kind == own.kind);
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
        let pause = if first { FAILURE_PAUSE } else { MEMBERS_PAUSE };
        tokio::time::sleep(pause).await;
    }
}
