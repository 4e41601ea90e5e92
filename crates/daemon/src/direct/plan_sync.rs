//! Plans from one entry to another: entries that do not read the store have them from those of
//! their failure domain that do.

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

/// Path of the plan among entries.
const PLAN_PATH: &str = "/plan";

/// Path of what agents need of it.
const AGENT_PLAN_PATH: &str = "/plan/agents";

/// Time for a plan to come: a dozen entries may ask at once over one link between regions, and a
/// plan of a megabyte takes 8 s over 1 Mbit/s. Given up earlier, all of it would be asked for again.
const FETCH_TIME: Duration = Duration::from_secs(20);

/// Silence of a holder after which another one is asked: a round trip takes a few milliseconds, and
/// a full link holds bytes back for less than that.
const FETCH_SILENCE: Duration = Duration::from_millis(400);

/// Largest plan: the store holds values of a megabyte, and this form is not much longer.
const MOST_PLAN: usize = 4 << 20;

/// Holders that are asked at a time.
const MOST_FETCHES: usize = 2;

/// Pause between two looks whom to ask.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Pause after a plan did not come, or was not newer: a holder that cannot help now is not to be
/// asked for hundreds of kilobytes many times a second.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Hands out the plan in force, and the list of servers, to other processes.
pub async fn serve(state: Arc<EntryState>, listener: TcpListener) {
    front::serve_answers(listener, move |_, path| answer(&state, path)).await;
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

/// Reads the plan that another entry has in force; the error says why there is none.
pub async fn fetch(connections: &Connections, address: SocketAddr) -> Result<TrafficPlan, String> {
    fetch_from(connections, address, PLAN_PATH).await
}

/// Reads what agents need of the plan that an entry has in force.
pub async fn fetch_for_agent(
    connections: &Connections,
    address: SocketAddr,
) -> Result<TrafficPlan, String> {
    fetch_from(connections, address, AGENT_PLAN_PATH).await
}

async fn fetch_from(
    connections: &Connections,
    address: SocketAddr,
    path: &str,
) -> Result<TrafficPlan, String> {
    // A connection that has rested may have been cut off meanwhile without a word.
    let request = CallRequest::get(path).closing().with_idle_timeout(FETCH_SILENCE);
    let call = connections.call(address, request, MOST_PLAN, FETCH_TIME);
    let answer = call.await.map_err(|error| format!("{address}: {}", error.message))?;
    if answer.status != StatusCode::OK {
        return Err(format!("{address}: it answered {} and no plan", answer.status));
    }
    let text = std::str::from_utf8(&answer.body).map_err(|error| format!("{address}: {error}"))?;
    let plan: TrafficPlan = from_json(text).map_err(|error| format!("{address}: {error}"))?;
    plan.check().map_err(|error| format!("{address}: {error}"))?;
    Ok(plan)
}

/// Brings in newer plans that other entries have, for ever.
pub async fn run(state: Arc<EntryState>) {
    let connections = Connections::default();
    loop {
        state.plan.offered().await;
        while state.plan.is_behind(state.now()) {
            bring_in(&state, &connections).await;
        }
    }
}

/// Asks holders for the newer plan until one has handed it over, or it has come another way.
///
/// A holder that has not done so after a while is joined by another one: its link may be narrow.
async fn bring_in(state: &EntryState, connections: &Connections) {
    let mut calls = FuturesUnordered::new();
    let mut next = Instant::now();
    while state.plan.is_behind(state.now()) {
        tokio::select! {
            Some((holder, fetched)) = calls.next() => {
                if !take_fetched(state, fetched) {
                    state.plan.note_failed(holder);
                    next = next.min(Instant::now() + RETRY_PAUSE);
                }
            }
            () = tokio::time::sleep_until(next), if calls.len() < MOST_FETCHES => {
                next = Instant::now() + LOOK_PAUSE;
                if let Some(holder) = state.newer_plan_holder() {
                    calls.push(async move { (holder, fetch(connections, holder).await) });
                    // Whoever is asked besides is to be somebody else.
                    state.plan.note_failed(holder);
                    next = Instant::now() + FETCH_SILENCE;
                }
            }
            () = tokio::time::sleep(LOOK_PAUSE) => {}
        }
    }
}

/// Takes over what a holder handed over; tells whether that was newer.
fn take_fetched(state: &EntryState, fetched: Result<TrafficPlan, String>) -> bool {
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
