//! Distinguishes a server that has ended from one that only closed a connection.

use std::{sync::Arc, time::Duration};

use headlatch_core::direct::server_table::ChosenServer;
use headlatch_http::ConnectionChoice;

use super::state::EntryState;

/// Timeout for the connection attempt to a server that closed a connection: several round trips
/// between regions. The caller's request is retried on another server only after that.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);

/// State of a server that just closed a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerLiveness {
    /// It accepts connections.
    Alive,
    /// Nothing listens at its address any more.
    Ended,
    /// Its machine does not respond: it may be disconnected or suspended.
    Unknown,
}

/// Tries to connect to a server that just closed a connection.
///
/// A connection that succeeds goes to the pool in place of the closed one.
pub async fn probe(state: &Arc<EntryState>, server: &ChosenServer) -> ServerLiveness {
    let opened =
        state.connections.get(server.address, ConnectionChoice::Fresh, PROBE_TIMEOUT).await;
    match opened {
        Ok((connection, _)) => {
            state.connections.release(connection);
            ServerLiveness::Alive
        }
        Err(error) if error.refused => ServerLiveness::Ended,
        Err(_) => ServerLiveness::Unknown,
    }
}
