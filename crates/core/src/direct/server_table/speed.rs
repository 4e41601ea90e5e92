//! Speed of the servers, applied to the table.

use headlatch_types::pace::ServerPace;

use super::{ServerState, ServerTable};
use crate::direct::server_speed::{SpeedChange, slow_factor};

impl ServerTable {
    /// Sets whether predictions take the pace of the servers into account; by default, they do not.
    pub fn set_uses_pace(&mut self, uses_pace: bool) {
        self.uses_pace = uses_pace;
    }

    /// The factor by which predictions for a server are multiplied; `None` for 1.
    pub(super) fn slow_by(&self, state: &ServerState) -> Option<ServerPace> {
        state.notice.as_ref().filter(|_| self.uses_pace)?.pace.and_then(slow_factor)
    }

    /// The number of servers that count as slow, and those that have become slow or have recovered
    /// since the last call.
    pub fn take_speed_changes(&mut self) -> (usize, Vec<SpeedChange>) {
        let (mut slow, mut changes) = (0, Vec::new());
        if !self.uses_pace {
            return (slow, changes);
        }
        for state in self.servers.values_mut() {
            let pace = state.notice.as_ref().and_then(|notice| notice.pace);
            let current = pace.and_then(slow_factor);
            slow += usize::from(current.is_some());
            if state.was_slow != current.is_some() {
                state.was_slow = current.is_some();
                let factor = current.unwrap_or(ServerPace::NOMINAL);
                changes.push(SpeedChange { server: state.record.id.clone(), factor });
            }
        }
        (slow, changes)
    }
}
