//! Cold servers in the table: what makes them cold, their request rate, and what is reported of them.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use headlatch_types::traffic::ServerId;

use super::{
    ChosenServer, ColdEvent, ColdNotice, ColdRates, ColdView, MAX_COLD_NOTICES, ServerState,
    ServerTable, cold::ColdPeriod,
};
use crate::{
    direct::{peers::DomainKey, suspects::LifeKey},
    time::Moment,
};

impl ServerTable {
    /// Sets the request rate limits for cold servers.
    pub fn set_cold_rates(&mut self, now: Moment, rates: ColdRates) {
        self.cold_rates = rates;
        let ids: Vec<ServerId> = self.servers.keys().cloned().collect();
        ids.iter().for_each(|id| self.limit_cold(now, id));
    }

    /// Applies the cold rate to a server, or ends it.
    pub(super) fn limit_cold(&mut self, now: Moment, id: &ServerId) {
        let Some(state) = self.servers.get(id) else { return };
        let rate = self.cold_rates.0.get(&state.record.service).copied();
        match state.cold.zip(rate) {
            Some((cold, rate)) => self.limits.set_cold(now, state.life, rate, cold.until()),
            None => self.limits.clear_cold(now, state.life),
        }
    }

    /// Sets the failure domains that are being evacuated. Servers of those that return count as cold.
    pub fn set_evacuated_domains(&mut self, now: Moment, evacuated: BTreeSet<DomainKey>) {
        let before = std::mem::replace(&mut self.evacuated, evacuated);
        let domains: BTreeSet<DomainKey> = before.difference(&self.evacuated).copied().collect();
        let mut returned = Vec::new();
        for state in self.servers.values_mut().filter(|state| domains.contains(&state.domain)) {
            state.cold = Some(ColdPeriod::after_evacuation(now, state.cold));
            returned.push(state.record.id.clone());
        }
        returned.iter().for_each(|id| self.limit_cold(now, id));
    }

    /// Returns the cold period of a server; `None` if it is warm or its service has no cold rate.
    pub(super) fn cold_view(&self, now: Moment, state: &ServerState) -> Option<ColdView> {
        let is_limited = self.cold_rates.0.contains_key(&state.record.service);
        let view = state.cold.filter(|_| is_limited)?.view(now);
        (!view.remaining.is_zero()).then_some(view)
    }

    /// Returns the cold period of a server; `None` if it is warm, unknown, or its service has no cold rate.
    pub fn cold_view_of(&self, now: Moment, id: &ServerId) -> Option<ColdView> {
        self.cold_view(now, self.servers.get(id)?)
    }

    /// Returns the number of cold servers whose request rate is limited.
    pub fn cold_servers(&self, now: Moment) -> usize {
        self.servers.values().filter(|state| self.cold_view(now, state).is_some()).count()
    }

    /// Returns the cold periods that have begun or ended since the last call.
    pub fn take_cold_events(&mut self, now: Moment) -> Vec<ColdEvent> {
        let cold = self.servers.values().filter_map(|state| {
            let view = self.cold_view(now, state)?;
            Some((state.life, (state.record.id.clone(), view)))
        });
        let cold: HashMap<LifeKey, (ServerId, ColdView)> = cold.collect();
        let before = std::mem::replace(&mut self.reported_cold, cold);
        let event = |life: LifeKey, began: bool, (server, view): &(ServerId, ColdView)| ColdEvent {
            server: server.clone(),
            life,
            began,
            view: *view,
        };
        let began = self.reported_cold.iter().filter(|(life, _)| !before.contains_key(life));
        let began = began.map(|(life, known)| event(*life, true, known));
        let ended = before.iter().filter(|(life, _)| !self.reported_cold.contains_key(life));
        began.chain(ended.map(|(life, known)| event(*life, false, known))).collect()
    }

    /// Records the remaining cold time that a server has announced in a response.
    pub fn record_cold(&mut self, now: Moment, server: &ChosenServer, remaining: Duration) {
        let state = self.servers.get_mut(&server.id).filter(|state| state.life == server.life);
        if let Some(state) = state {
            state.cold = ColdPeriod::from_response(now, remaining, state.cold);
            self.limit_cold(now, &server.id);
        }
    }

    /// Merges cold servers reported by other entries.
    pub fn merge_cold(&mut self, now: Moment, notices: &[ColdNotice]) {
        let reported: HashMap<LifeKey, Duration> =
            notices.iter().map(|notice| (notice.life, notice.remaining)).collect();
        let mut merged = Vec::new();
        for state in self.servers.values_mut() {
            let Some(remaining) = reported.get(&state.life) else { continue };
            state.cold = ColdPeriod::from_peer(now, *remaining, state.cold);
            merged.push(state.record.id.clone());
        }
        merged.iter().for_each(|id| self.limit_cold(now, id));
    }

    /// Returns the recently announced cold servers to gossip, those that stay cold longest first.
    pub fn recent_cold(&self, now: Moment) -> Vec<ColdNotice> {
        let recent = self.servers.values().filter_map(|state| {
            let remaining = state.cold?.remaining_to_gossip(now)?;
            Some(ColdNotice { life: state.life, remaining })
        });
        let mut recent: Vec<ColdNotice> = recent.collect();
        recent.sort_by_key(|notice| (std::cmp::Reverse(notice.remaining), notice.life.0));
        recent.truncate(MAX_COLD_NOTICES);
        recent
    }
}
