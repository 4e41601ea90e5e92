//! Tells a server that has ended from one that broke an answer off and lives.

use std::{sync::Arc, time::Duration};

use headlatch_core::direct::server_table::ChosenServer;
use headlatch_http::ConnectionChoice;

use super::state::EntryState;

/// Time for a connection to a server that broke off: several round trips between regions. The caller's
/// request goes on elsewhere only after that.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);

/// Whether nobody listens any more where a server was that has just broken off.
///
/// A server whose machine is cut off or stands still refuses nothing, and is not taken for ended. A
/// connection that comes up replaces the one that broke.
pub async fn has_ended(state: &Arc<EntryState>, server: &ChosenServer) -> bool {
    let opened =
        state.connections.get(server.address, ConnectionChoice::Fresh, PROBE_TIMEOUT).await;
    match opened {
        Ok((connection, _)) => {
            state.connections.put_back(connection);
            false
        }
        Err(error) => error.refused,
    }
}
