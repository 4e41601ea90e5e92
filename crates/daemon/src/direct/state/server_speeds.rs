//! Servers that become slow or recover.

use headlatch_types::pace::ServerPace;
use serde_json::json;

use super::EntryState;
use crate::decisions;

impl EntryState {
    /// Updates the metric of slow servers, and logs which ones have become slow or have recovered.
    pub(super) fn update_speeds(&self) {
        if !self.settings.direct.server_pace {
            return;
        }
        let (slow, changes) = self.servers().take_speed_changes();
        self.metrics.set_slow_servers(slow);
        if changes.is_empty() {
            return;
        }
        // All entries learn of it; only one entry of each failure domain logs it.
        if !self.peers().is_domain_reporter() {
            return;
        }
        for change in changes {
            let event = match change.factor == ServerPace::NOMINAL {
                true => "server_recovered",
                false => "server_slow",
            };
            let fields = json!({ "server": change.server, "factor": change.factor.factor() });
            decisions::info("servers", event, fields);
        }
    }
}
