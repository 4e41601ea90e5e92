//! Distinguishes a server that has ended from one that only closed a connection.

use std::{sync::Arc, time::Duration};

use headlatch_core::direct::server_table::ChosenServer;
use headlatch_http::ConnectionChoice;

use super::state::EntryState;

/// Timeout for the connection attempt to a server that closed a connection: several round trips
/// between regions. The caller's request is retried on another server only after that.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);

/// Whether nothing listens any more at the address of a server that just closed a connection.
///
/// Only a refused connection counts: a server whose machine is disconnected or suspended refuses
/// nothing and is not considered ended. A connection that succeeds goes to the pool in place of the
/// closed one.
pub async fn has_ended(state: &Arc<EntryState>, server: &ChosenServer) -> bool {
    let opened =
        state.connections.get(server.address, ConnectionChoice::Fresh, PROBE_TIMEOUT).await;
    match opened {
        Ok((connection, _)) => {
            state.connections.release(connection);
            false
        }
        Err(error) => error.refused,
    }
}
