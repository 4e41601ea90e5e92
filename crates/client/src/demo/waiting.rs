//! Waits until the demo's cluster is where it should be.

use std::time::Duration;

use error_stack::Report;
use headlatch_types::fleet::SetKey;
use tokio::time::Instant;

use super::cluster::DemoCluster;
use crate::error::ClientError;

/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// How far a version is.
#[derive(Debug, Clone, Copy)]
pub struct SeenProgress {
    /// Boxes with an engine.
    pub boxes: usize,
    /// Boxes that serve the version.
    pub serving: usize,
    /// Part of all chunks that are verified, in thousandths.
    pub permille: u32,
}

/// Waits until every node knows every other.
pub async fn until_known(cluster: &DemoCluster, time: Duration) -> Result<(), Report<ClientError>> {
    let others = cluster.entries.len() + cluster.agents.len() - 1;
    let deadline = Instant::now() + time;
    loop {
        let entries = cluster.entries.iter().map(|entry| &entry.node);
        let nodes = entries.chain(cluster.agents.iter().map(|agent| &agent.node));
        if nodes.into_iter().all(|node| node.table().alive_nodes(node.now()).count() >= others) {
            return Ok(());
        }
        sleep(deadline, "the nodes did not find each other").await?;
    }
}

/// Waits until every engine serves `set`; returns when that was.
pub async fn until_serving(
    cluster: &DemoCluster,
    set: SetKey,
    time: Duration,
    show: impl Fn(SeenProgress),
) -> Result<Instant, Report<ClientError>> {
    let deadline = Instant::now() + time;
    loop {
        let seen = look(cluster, set);
        show(seen);
        if seen.serving == seen.boxes {
            return Ok(Instant::now());
        }
        sleep(deadline, "the boxes did not all come to serve").await?;
    }
}

fn look(cluster: &DemoCluster, set: SetKey) -> SeenProgress {
    let engines =
        cluster.agents.iter().filter(|agent| agent.admission.endpoint().service.is_none());
    let mut seen = SeenProgress { boxes: 0, serving: 0, permille: 0 };
    for agent in engines {
        let serves = agent.admission.lock().gate.serving() == Some(set);
        let fetched =
            agent.node.table().own().endpoint.as_ref().map_or(0, |one| one.fetched_permille);
        seen.boxes += 1;
        seen.serving += usize::from(serves);
        seen.permille += if serves { 1000 } else { fetched };
    }
    seen.permille /= seen.boxes.max(1) as u32;
    seen
}

async fn sleep(deadline: Instant, message: &str) -> Result<(), Report<ClientError>> {
    if Instant::now() >= deadline {
        return Err(Report::new(ClientError::Local(format!("{message} in time"))));
    }
    tokio::time::sleep(LOOK_PAUSE).await;
    Ok(())
}
