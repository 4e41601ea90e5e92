//! Replicates plans between entries: entries that do not read the store fetch them from those of their
//! failure domain that do.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt, stream::FuturesUnordered};
use headlatch_http::{CallRequest, Connections};
use headlatch_types::{reading::from_json, traffic::TrafficPlan};
use http::{Response, StatusCode};
use http_body_util::Full;
use serde_json::json;
use tokio::{net::TcpListener, time::Instant};

use super::{front, server_sync, state::EntryState};
use crate::decisions;

/// Path of the plan for other entries.
const PLAN_PATH: &str = "/plan";

/// Path of the part of the plan that agents need.
const AGENT_PLAN_PATH: &str = "/plan/agents";

/// Timeout of a plan transfer. A dozen entries may fetch at once over one link between regions, and a
/// plan of 1 MB takes 8 s at 1 Mbit/s; a shorter timeout would restart the whole transfer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(20);

/// Time without data from a holder after which another one is tried. A round trip takes a few
/// milliseconds, and a saturated link delays data for less than this timeout.
const FETCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size of a plan: the store holds values of up to 1 MB, and this encoding is not much larger.
const MAX_PLAN_BYTES: usize = 4 << 20;

/// Maximum number of holders queried concurrently.
const MAX_CONCURRENT_FETCHES: usize = 2;

/// Interval between attempts to select a holder.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Delay after a fetch that failed or returned no newer plan, so that a holder is not asked for
/// hundreds of kilobytes many times a second.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Serves the active plan and the list of servers to other processes.
pub async fn serve(state: Arc<EntryState>, listener: TcpListener) {
    let served = state.clone();
    front::serve_answers(&state, listener, move |_, path| answer(&served, path)).await;
}

fn answer(state: &EntryState, path: &str) -> Response<Full<Bytes>> {
    let text = match path {
        PLAN_PATH => state.plan.encoded(),
        AGENT_PLAN_PATH => state.plan.encoded_for_agents(),
        path => server_sync::answer(state, path),
    };
    let status = if text.is_some() { StatusCode::OK } else { StatusCode::NOT_FOUND };
    let mut response = Response::new(Full::new(text.unwrap_or_default()));
    *response.status_mut() = status;
    response
}

/// Fetches the active plan of another entry; the error states why it failed.
pub async fn fetch(connections: &Connections, address: SocketAddr) -> Result<TrafficPlan, String> {
    fetch_from(connections, address, PLAN_PATH).await
}

/// Fetches the part of an entry's active plan that agents need.
pub async fn fetch_for_agent(
    connections: &Connections,
    address: SocketAddr,
) -> Result<TrafficPlan, String> {
    fetch_from(connections, address, AGENT_PLAN_PATH).await
}

async fn fetch_from(
    connections: &Connections,
    address: SocketAddr,
    path: &'static str,
) -> Result<TrafficPlan, String> {
    // An idle connection may have been dropped without notice, so none is reused.
    let request = CallRequest::get(path).closing().with_idle_timeout(FETCH_SILENCE_TIMEOUT);
    let call = connections.call(address, request, MAX_PLAN_BYTES, FETCH_TIMEOUT);
    let response = call.await.map_err(|error| format!("{address}: {}", error.message))?;
    if response.status != StatusCode::OK {
        return Err(format!("{address}: plan request returned status {}", response.status));
    }
    let text =
        std::str::from_utf8(&response.body).map_err(|error| format!("{address}: {error}"))?;
    let plan: TrafficPlan = from_json(text).map_err(|error| format!("{address}: {error}"))?;
    plan.check().map_err(|error| format!("{address}: {error}"))?;
    Ok(plan)
}

/// Fetches newer plans from other entries indefinitely.
pub async fn run(state: Arc<EntryState>) {
    let connections = Connections::default();
    loop {
        state.plan.newer_offered().await;
        while state.plan.is_behind(state.now()) {
            fetch_newer(&state, &connections).await;
        }
    }
}

/// Fetches the newer plan from its holders until it has been received from one of them or by other
/// means.
///
/// If a holder has not completed after [`FETCH_SILENCE_TIMEOUT`], a second one is queried: the first
/// may have a slow link.
async fn fetch_newer(state: &EntryState, connections: &Connections) {
    let mut calls = FuturesUnordered::new();
    let mut next = Instant::now();
    while state.plan.is_behind(state.now()) {
        tokio::select! {
            Some((holder, fetched)) = calls.next() => {
                if !apply_fetched(state, fetched) {
                    state.plan.record_failed_fetch(holder);
                    next = next.min(Instant::now() + RETRY_DELAY);
                }
            }
            () = tokio::time::sleep_until(next), if calls.len() < MAX_CONCURRENT_FETCHES => {
                next = Instant::now() + POLL_INTERVAL;
                if let Some(holder) = state.newer_plan_holder() {
                    calls.push(async move { (holder, fetch(connections, holder).await) });
                    // Makes a concurrent fetch choose a different holder.
                    state.plan.record_failed_fetch(holder);
                    next = Instant::now() + FETCH_SILENCE_TIMEOUT;
                }
            }
            () = tokio::time::sleep(POLL_INTERVAL) => {}
        }
    }
}

/// Applies a fetched plan; returns whether it was newer than the active one.
fn apply_fetched(state: &EntryState, fetched: Result<TrafficPlan, String>) -> bool {
    match fetched {
        Ok(plan) => {
            let newer = plan.version > state.plan_version();
            state.apply_plan(plan, "peer");
            newer
        }
        Err(error) => {
            decisions::warn("plan", "not_fetched", json!({ "error": error }));
            false
        }
    }
}
