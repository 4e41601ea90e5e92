//! Speed of the servers, applied to the table.

use headlatch_types::{pace::ServerPace, traffic::ServerId};

use super::{ChosenServer, ServerState, ServerTable, is_about_to_change, is_changing};
use crate::{
    direct::{
        peers::ServerNotice,
        server_speed::{FirstToken, SpeedChange, SpeedObserver, SpeedSource, WatchTicket},
    },
    time::Moment,
};

impl ServerTable {
    /// Sets whether predictions take the speed of the servers into account; by default, they do not.
    pub fn set_observed_speed(&mut self, observed: bool) {
        self.speeds = observed.then(SpeedObserver::default);
    }

    /// Starts to watch the load at a server for a request that [`Self::begin`] has counted; `None` if
    /// the speed of the servers is not taken into account.
    pub fn watch_first_token(&mut self, id: &ServerId) -> Option<WatchTicket> {
        let state = self.servers.get(id)?;
        let others = self.others.get(&state.key).copied().unwrap_or_default();
        Some(self.speeds.as_mut()?.watch(state.key, state.own, others))
    }

    /// Ends a watch without an observation.
    pub fn end_watch(&mut self, id: &ServerId, ticket: WatchTicket) {
        if let Some(speeds) = &mut self.speeds {
            // The watch has usually been ended by its first token.
            let _ = speeds.end(super::server_key(id), ticket);
        }
    }

    /// Records the first token of a watched request, which was sent to a server at `sent`.
    ///
    /// Not used are responses of other processes than the current one, of servers in other failure
    /// domains, whose time contains that of the network, and of servers that are cold or about to
    /// change their weights.
    pub fn record_first_token(
        &mut self,
        now: Moment,
        server: &ChosenServer,
        ticket: WatchTicket,
        sent: Moment,
        token: &FirstToken<'_>,
    ) {
        let Some(speeds) = &mut self.speeds else { return };
        let Some(load) = speeds.end(super::server_key(&server.id), ticket) else { return };
        let Some(state) = self.servers.get(&server.id) else { return };
        let is_warm = state.cold.is_none_or(|cold| cold.has_ended(now));
        let is_steady = is_warm && !is_changing(state) && !is_about_to_change(state);
        if state.life != server.life || !self.is_local(state) || !is_steady {
            return;
        }
        let (service, key) = (state.record.service.clone(), state.key);
        let Some(speeds) = &mut self.speeds else { return };
        let ratio = speeds.compare(now, &service, key, token, load);
        if let (Some(ratio), Some(state)) = (ratio, self.servers.get_mut(&server.id)) {
            state.speed.record(now, sent, ratio);
        }
    }

    /// The factor of a server and its source; `None` if it is as fast as configured, or if speeds are
    /// not taken into account.
    fn factor(&self, now: Moment, state: &ServerState) -> Option<(ServerPace, SpeedSource)> {
        self.speeds.as_ref()?;
        state.speed.factor(now, state.notice.as_ref().and_then(|notice| notice.pace))
    }

    /// The factor by which predictions for a server are multiplied; `None` for 1.
    pub(super) fn slow_by(&self, now: Moment, state: &ServerState) -> Option<ServerPace> {
        self.factor(now, state).map(|(factor, _)| factor)
    }

    /// The number of servers that count as slow, and those that have become slow or have recovered
    /// since the last call.
    pub fn take_speed_changes(&mut self, now: Moment) -> (usize, Vec<SpeedChange>) {
        let (mut slow, mut changes) = (0, Vec::new());
        if self.speeds.is_none() {
            return (slow, changes);
        }
        for state in self.servers.values_mut() {
            let reported = state.notice.as_ref().and_then(|notice| notice.pace);
            let current = state.speed.factor(now, reported);
            slow += usize::from(current.is_some());
            if let Some((factor, source)) = state.speed.take_change(current) {
                changes.push(SpeedChange { server: state.record.id.clone(), factor, source });
            }
        }
        (slow, changes)
    }
}

impl ServerState {
    /// Applies the notice of its agent.
    pub(super) fn apply_notice(&mut self, notice: Option<ServerNotice>) {
        self.notice = notice;
        if is_changing(self) || is_about_to_change(self) {
            self.speed.forget();
        }
    }
}
