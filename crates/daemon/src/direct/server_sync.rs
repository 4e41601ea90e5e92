//! The list of servers from one entry to another: entries that do not read the store have what has
//! changed from those of their failure domain that do.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use headlatch_core::direct::{fact_age::ChangeMark, server_copy::ServerChanges};
use headlatch_http::{CallRequest, Connections};
use http::StatusCode;
use rand::seq::IndexedRandom;
use serde_json::json;

use super::state::EntryState;
use crate::decisions;

/// Path of the list among entries; the place up to which the asker knows everything follows.
pub(super) const SERVERS_PATH: &str = "/servers/";

/// Time for an answer: a list of a thousand servers takes 0.1 s over a link of 40 Mbit/s, and 3.2 s
/// over 1 Mbit/s. Given up earlier, all of it would be asked for again.
const FETCH_TIME: Duration = Duration::from_secs(5);

/// Silence of a holder after which another one is asked, as for plans.
const FETCH_SILENCE: Duration = Duration::from_millis(400);

/// Largest answer: a record takes about 400 bytes, 720 servers are designed for.
const MOST_ANSWER: usize = 4 << 20;

/// Pause after each answer, in which further changes gather: a server that leaves is told in notices
/// besides, and what agents tell of their servers comes before the list does.
const GATHER_PAUSE: Duration = Duration::from_millis(300);

/// Time for which an entry of another failure domain is not asked: the readers of the own one are
/// about to hear the same.
const FAR_WAIT: Duration = Duration::from_millis(600);

/// Time for which an entry that reads the store itself waits for that.
const READER_WAIT: Duration = Duration::from_millis(1200);

/// The answer to an entry that asks for `path`; none if that is no such question, or if nothing is
/// known yet.
pub(super) fn answer(state: &EntryState, path: &str) -> Option<Bytes> {
    let after: u64 = path.strip_prefix(SERVERS_PATH)?.parse().ok()?;
    let changes = state.server_changes(ChangeMark(after))?;
    match serde_json::to_vec(&changes) {
        Ok(text) => Some(text.into()),
        Err(error) => {
            decisions::warn("servers", "not_encoded", json!({ "error": error.to_string() }));
            None
        }
    }
}

/// Brings in changes of servers that other entries have, for ever.
pub async fn run(state: Arc<EntryState>) {
    let connections = Connections::default();
    loop {
        state.newer_servers_offered.notified().await;
        while let Some(holder) = holder(&state) {
            match fetch(&connections, holder, state.servers_age().covered()).await {
                Ok(changes) => state.merge_server_changes(changes),
                Err(error) => {
                    decisions::warn("servers", "not_fetched", json!({ "error": error }));
                }
            }
            tokio::time::sleep(GATHER_PAUSE).await;
        }
    }
}

/// An entry to ask for what is missing here; none if nothing is, or if it is about to come anyway.
fn holder(state: &EntryState) -> Option<SocketAddr> {
    let age = state.servers_age();
    let behind = age.behind(state.now())?;
    let peers = state.peers();
    if peers.is_plan_reader() && behind < READER_WAIT {
        return None;
    }
    let near = peers.newer_servers(age.covered(), true);
    let far = || match behind >= FAR_WAIT {
        true => peers.newer_servers(age.covered(), false),
        false => Vec::new(),
    };
    let holders = if near.is_empty() { far() } else { near };
    holders.choose(&mut rand::rng()).copied()
}

async fn fetch(
    connections: &Connections,
    address: SocketAddr,
    after: ChangeMark,
) -> Result<ServerChanges, String> {
    let path = format!("{SERVERS_PATH}{after}");
    // A connection that has rested may have been cut off meanwhile without a word.
    let request = CallRequest::get(path).closing().with_idle_timeout(FETCH_SILENCE);
    let call = connections.call(address, request, MOST_ANSWER, FETCH_TIME);
    let answer = call.await.map_err(|error| format!("{address}: {}", error.message))?;
    if answer.status != StatusCode::OK {
        return Err(format!("{address}: it answered {} and no list", answer.status));
    }
    serde_json::from_slice(&answer.body).map_err(|error| format!("{address}: {error}"))
}
