//! What an entry has at servers that are about to change their weights, and what of it could go on
//! elsewhere.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use headlatch_types::{
    id::RegionId,
    traffic::{ServerId, WeightVersion},
};

use super::{ServerState, ServerTable, continued_limit, has_weights, is_changing};
use crate::{direct::peers::DrainNotice, time::Moment};

/// What limits the continuation of streams of one service.
#[derive(Debug, Clone, Copy)]
pub struct ContinuationLimits {
    /// Layers of the model; 0 if it is not said.
    pub layers: u32,
    /// The least version of weights that may go on.
    pub least: Option<WeightVersion>,
    /// Retries that this entry may still send.
    pub retries: usize,
    /// Some of the streams may go on only within their region.
    pub within_region: bool,
}

impl ServerTable {
    /// Services some of whose servers get nothing because they are about to change.
    pub fn changing_services(&self) -> BTreeSet<Arc<str>> {
        let changing = self.servers.values().filter(|state| is_changing(state));
        changing.map(|state| state.record.service.clone()).collect()
    }

    /// Servers that get nothing because they are about to change, for their agents; `limits` by
    /// service.
    pub fn drains(
        &self,
        now: Moment,
        limits: &BTreeMap<Arc<str>, ContinuationLimits>,
    ) -> Vec<DrainNotice> {
        let full = limits.iter().filter(|(service, limits)| !self.can_move(now, service, limits));
        let full: BTreeSet<&Arc<str>> = full.map(|(service, _)| service).collect();
        let changing = self.servers.values().filter(|state| is_changing(state));
        changing
            .map(|state| {
                let begun = state.own.in_flight.saturating_sub(state.waiting);
                let kept = match full.contains(&state.record.service) {
                    true => begun,
                    false => state.last_streams,
                };
                DrainNotice {
                    server: state.record.address,
                    waiting: state.waiting,
                    unresumable: kept,
                }
            })
            .collect()
    }

    /// Whether the other servers of a service have room for what runs at those that are changing: all
    /// of it comes to them at once.
    fn can_move(&self, now: Moment, service: &str, limits: &ContinuationLimits) -> bool {
        let ids = self.services.get(service).map(Vec::as_slice).unwrap_or_default();
        let servers: Vec<&ServerState> = ids.iter().filter_map(|id| self.servers.get(id)).collect();
        let changing = servers.iter().filter(|state| is_changing(state));
        let own: u32 = changing.map(|state| state.own.in_flight).sum();
        if limits.retries < own as usize {
            return false;
        }
        if !limits.within_region {
            return self.has_room(now, &servers, limits);
        }
        let mut regions: BTreeMap<Option<&RegionId>, Vec<&ServerState>> = BTreeMap::new();
        for state in servers {
            regions.entry(state.region.as_ref()).or_default().push(state);
        }
        regions.values().all(|servers| self.has_room(now, servers, limits))
    }

    /// Whether those of `servers` that are not changing have room for what runs at the others.
    fn has_room(&self, now: Moment, servers: &[&ServerState], limits: &ContinuationLimits) -> bool {
        let (changing, others): (Vec<&ServerState>, Vec<&ServerState>) =
            servers.iter().copied().partition(|state| is_changing(state));
        let moving: u32 = changing.into_iter().map(|state| self.load(state).in_flight).sum();
        let takes = others.into_iter().filter(|state| {
            let rests = state.blocked_until > now || state.is_backing_off(now);
            let is_limited = self.limits.limit(state.life).is_some();
            !rests
                && !is_limited
                && !self.takes_nothing(state)
                && has_weights(state, limits.layers, limits.least)
        });
        let room = takes
            .map(|state| continued_limit(state).saturating_sub(self.load(state).in_flight))
            .sum::<u32>();
        room >= moving
    }

    /// Notes that a stream which has begun at a server may not be sent to another one any more.
    pub fn begin_last(&mut self, id: &ServerId) {
        if let Some(state) = self.servers.get_mut(id) {
            state.last_streams += 1;
        }
    }

    /// Notes the end of such a stream.
    pub fn end_last(&mut self, id: &ServerId) {
        if let Some(state) = self.servers.get_mut(id) {
            state.last_streams = state.last_streams.saturating_sub(1);
        }
    }
}
