//! Replicates the list of servers between entries: entries that do not read the store fetch changes
//! from those of their failure domain that do.

use headlatch_types::store::StoreRevision;
use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use headlatch_core::direct::server_copy::ServerChanges;
use headlatch_http::{CallRequest, CallTarget, Connections};
use http::StatusCode;
use rand::seq::IndexedRandom;
use serde_json::json;

use super::state::EntryState;
use crate::decisions;

/// Path of the list for other entries, followed by the revision up to which the caller is complete.
pub(super) const SERVERS_PATH: &str = "/servers";

/// Timeout of a response. A list of a thousand servers takes 0.1 s at 40 Mbit/s and 3.2 s at 1 Mbit/s;
/// a shorter timeout would restart the whole transfer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without data from a holder after which the fetch fails, as for plans.
const FETCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size of a response: a record takes about 400 bytes, and the design limit is 720 servers.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Delay after each response, to batch further changes. Notices also report leaving servers, and the
/// agents' notices about their servers arrive before the list does.
const BATCH_DELAY: Duration = Duration::from_millis(300);

/// Time before an entry of another failure domain is queried: the readers of the own failure domain are
/// about to receive the same changes.
const FAR_HOLDER_DELAY: Duration = Duration::from_millis(600);

/// Time for which an entry that reads the store itself waits for the store before querying others.
const READER_DELAY: Duration = Duration::from_millis(1200);

/// Returns the response to a request for `path`; `None` if the path is a different one or no list is
/// known yet.
pub(super) fn answer(state: &EntryState, path: &str) -> Option<Bytes> {
    let after: u64 = path.strip_prefix(SERVERS_PATH)?.strip_prefix('/')?.parse().ok()?;
    let changes = state.server_changes(StoreRevision::from_wire(after))?;
    match serde_json::to_vec(&changes) {
        Ok(text) => Some(text.into()),
        Err(error) => {
            decisions::warn("servers", "not_encoded", json!({ "error": error.to_string() }));
            None
        }
    }
}

/// Fetches server changes from other entries indefinitely.
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
            tokio::time::sleep(BATCH_DELAY).await;
        }
    }
}

/// Selects an entry to fetch missing changes from; `None` if none are missing or they are about to
/// arrive by other means.
fn holder(state: &EntryState) -> Option<SocketAddr> {
    let age = state.servers_age();
    let behind = age.behind(state.now())?;
    let peers = state.peers();
    if peers.is_plan_reader() && behind < READER_DELAY {
        return None;
    }
    let near = peers.newer_servers(age.covered(), true);
    let far = || match behind >= FAR_HOLDER_DELAY {
        true => peers.newer_servers(age.covered(), false),
        false => Vec::new(),
    };
    let holders = if near.is_empty() { far() } else { near };
    holders.choose(&mut rand::rng()).copied()
}

async fn fetch(
    connections: &Connections,
    address: SocketAddr,
    after: StoreRevision,
) -> Result<ServerChanges, String> {
    let target = CallTarget::new(SERVERS_PATH).segment(after.to_wire());
    // An idle connection may have been dropped without notice, so none is reused.
    let request = CallRequest::get(target).closing().with_idle_timeout(FETCH_SILENCE_TIMEOUT);
    let call = connections.call(address, request, MAX_RESPONSE_BYTES, FETCH_TIMEOUT);
    let response = call.await.map_err(|error| format!("{address}: {}", error.message))?;
    if response.status != StatusCode::OK {
        return Err(format!("{address}: server list request returned status {}", response.status));
    }
    serde_json::from_slice(&response.body).map_err(|error| format!("{address}: {error}"))
}
