//! Servers that become slow or recover.

use headlatch_core::direct::server_speed::SpeedSource;
use headlatch_types::pace::ServerPace;
use serde_json::json;

use super::EntryState;
use crate::decisions;

impl EntryState {
    /// Updates the metric of slow servers, and logs which ones have become slow or have recovered.
    pub(super) fn update_speeds(&self) {
        if !self.settings.direct.observed_speed {
            return;
        }
        let (slow, changes) = self.servers().take_speed_changes(self.now());
        self.metrics.set_slow_servers(slow);
        if changes.is_empty() {
            return;
        }
        // All entries learn of a report; only one entry of each failure domain logs it.
        let logs_reports = self.peers().is_domain_reporter();
        for change in changes {
            if change.source == SpeedSource::Report && !logs_reports {
                continue;
            }
            let event = match change.factor == ServerPace::NOMINAL {
                true => "server_recovered",
                false => "server_slow",
            };
            let fields = json!({
                "server": change.server, "factor": change.factor.factor(),
                "source": change.source.as_str(),
            });
            decisions::info("servers", event, fields);
        }
    }
}
