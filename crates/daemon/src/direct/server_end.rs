//! Distinguishes a server that has ended from one that only closed a connection.

use std::{sync::Arc, time::Duration};

use headlatch_core::direct::server_table::ChosenServer;
use headlatch_http::{ActiveConnection, ConnectionChoice};

use super::state::EntryState;

/// Timeout for the connection attempt to a server that closed a connection: several round trips
/// between regions. The caller's request is retried on another server only after that.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which a connection must stay open to show that its server lives: a process that ends may
/// close its connections before it stops listening.
const SETTLE_TIME: Duration = Duration::from_millis(60);

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
    match connect(state, server).await {
        Ok(connection) => {
            state.connections.release(connection);
            ServerLiveness::Alive
        }
        Err(liveness) => liveness,
    }
}

/// As [`probe`], but waits until a server that is just ending has stopped listening. For answers that
/// are whole only if the server lives on.
pub async fn probe_settled(state: &Arc<EntryState>, server: &ChosenServer) -> ServerLiveness {
    let connection = match connect(state, server).await {
        Ok(connection) => connection,
        Err(liveness) => return liveness,
    };
    tokio::time::sleep(SETTLE_TIME).await;
    if connection.is_closed() {
        return probe(state, server).await;
    }
    state.connections.release(connection);
    ServerLiveness::Alive
}

async fn connect(
    state: &Arc<EntryState>,
    server: &ChosenServer,
) -> Result<ActiveConnection, ServerLiveness> {
    let opened =
        state.connections.get(server.address, ConnectionChoice::Fresh, PROBE_TIMEOUT).await;
    match opened {
        Ok((connection, _)) => Ok(connection),
        Err(error) if error.refused => Err(ServerLiveness::Ended),
        Err(_) => Err(ServerLiveness::Unknown),
    }
}
