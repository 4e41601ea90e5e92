//! Switching one server to another version of its weights: which server may switch next, and how it
//! is drained before.

use std::{collections::HashMap, sync::atomic::Ordering, time::Duration};

use headlatch_core::{
    direct::{
        draining::{DrainView, QueueReport, may_change},
        peers::ServerNotice,
        staging::{TurnView, has_turn},
    },
    hash::ranking,
};
use headlatch_outside::engine::EngineStage;
use headlatch_types::traffic::WeightVersion;
use serde_json::json;

use super::agent::{AgentState, lock};
use crate::decisions;

/// Poll interval while a server is drained.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// Whether this server may switch now to `version`, which became the target `elapsed` ago.
pub(super) fn is_turn(
    state: &AgentState,
    version: WeightVersion,
    elapsed: Duration,
    serves: bool,
) -> bool {
    let own = state.settings.node.control;
    let peers = lock(&state.peers);
    let agents: Vec<(u64, &ServerNotice)> = peers
        .reachable(state.node.now())
        .filter_map(|peer| {
            let server = peer.notice.server.as_ref()?;
            Some((state.seat_key(peer.notice.from).0, server))
        })
        .collect();
    let own = state.seat_key(own).0;
    let ranked = ranking(version.0, agents.iter().map(|(key, _)| *key).chain([own]));
    let ranks: HashMap<u64, u32> = ranked.into_iter().zip(0..).collect();
    let rank = |key: u64| ranks.get(&key).copied().unwrap_or(0);
    let others: Vec<TurnView> = agents
        .iter()
        .map(|(key, server)| TurnView {
            rank: rank(*key),
            done: server.whole.is_some_and(|whole| whole >= version),
            ready: server.staged == Some(version),
            changing: server.changing,
        })
        .collect();
    has_turn(rank(own), serves, elapsed, state.settings.direct.weights_time, &others)
}

/// Conditions that determine how long a server is drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DrainConditions {
    /// The server serves a complete version.
    pub serves: bool,
    /// No other server has switched yet or is switching.
    pub is_first: bool,
}

/// Whether no other known server has loaded `version` or a newer one, or is switching.
pub(super) fn is_first(state: &AgentState, version: WeightVersion) -> bool {
    let peers = lock(&state.peers);
    let mut servers = peers.living().filter_map(|peer| peer.notice.server.as_ref());
    !servers.any(|server| server.changing || server.whole.is_some_and(|whole| whole >= version))
}

/// Makes entries stop sending requests to the server, and waits until it has few running and no
/// queued requests, or until the drain limit has passed.
pub(super) async fn drain(
    state: &AgentState,
    engine: &dyn EngineStage,
    conditions: DrainConditions,
) {
    state.update_notice(|notice| notice.changing = true);
    if !conditions.serves {
        return;
    }
    state.draining.store(true, Ordering::Relaxed);
    lock(&state.peers).clear_drain_sums();
    let started = state.node.now();
    loop {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        let report = engine.report().await.ok();
        let view = DrainView {
            waited: state.node.now().since(started),
            is_first: conditions.is_first,
            requests: report
                .map(|report| QueueReport { queued: report.queued, active: report.active }),
            entries: lock(&state.peers).drain_report(state.settings.server),
        };
        if may_change(&view) {
            log_drained(&view);
            break;
        }
    }
}

fn log_drained(view: &DrainView) {
    let requests = view.requests.unwrap_or_default();
    let fields = json!({
        "waited_ms": view.waited.as_millis() as u64, "queued": requests.queued,
        "active": requests.active, "unconfirmed": view.entries.unconfirmed,
        "waiting": view.entries.waiting, "kept": view.entries.unresumable,
    });
    decisions::info("engine", "emptied", fields);
}
