//! Requests at servers that are about to change their weights, and which of the streams can be resumed on
//! other servers.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use headlatch_types::{
    id::RegionId,
    traffic::{ServerId, WeightVersion},
};

use super::{
    ServerState, ServerTable,
    server_state::{continuation_limit, has_weights, is_changing},
};
use crate::{direct::peers::DrainNotice, time::Moment};

/// Limits on resuming the streams of one service on other servers.
#[derive(Debug, Clone, Copy)]
pub struct ContinuationLimits {
    /// Number of layers of the model; 0 if unknown.
    pub layers: u32,
    /// Minimum weight version of a server that resumes a stream.
    pub min_version: Option<WeightVersion>,
    /// Remaining retry budget of this entry.
    pub retries: usize,
    /// Whether some of the streams may only be resumed within their region.
    pub within_region: bool,
}

impl ServerTable {
    /// Returns the services with servers that get no requests because they are about to change weights.
    pub fn changing_services(&self) -> BTreeSet<Arc<str>> {
        let changing = self.servers.values().filter(|state| is_changing(state));
        changing.map(|state| state.record.service.clone()).collect()
    }

    /// Returns drain notices for the agents of servers that get no requests because they are about to change
    /// weights. `limits` are by service.
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
                    false => state.pinned_streams,
                };
                DrainNotice {
                    server: state.record.address,
                    waiting: state.waiting,
                    unresumable: kept,
                }
            })
            .collect()
    }

    /// Returns whether the other servers of a service have capacity for all requests at the servers that are
    /// changing, which would arrive at the same time.
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

    /// Returns whether those of `servers` that are not changing have capacity for the requests at the others.
    fn has_room(&self, now: Moment, servers: &[&ServerState], limits: &ContinuationLimits) -> bool {
        let (changing, others): (Vec<&ServerState>, Vec<&ServerState>) =
            servers.iter().copied().partition(|state| is_changing(state));
        let moving: u32 = changing.into_iter().map(|state| self.load(state).in_flight).sum();
        let takes = others.into_iter().filter(|state| {
            let rests = state.blocked_until > now || state.is_backing_off(now);
            let is_limited = self.limits.limit(state.life).is_some();
            !rests
                && !is_limited
                && !self.is_excluded(state)
                && has_weights(state, limits.layers, limits.min_version)
        });
        let room = takes
            .map(|state| continuation_limit(state).saturating_sub(self.load(state).in_flight))
            .sum::<u32>();
        room >= moving
    }

    /// Records that a running stream can no longer be resumed on another server.
    pub fn begin_pinned_stream(&mut self, id: &ServerId) {
        if let Some(state) = self.servers.get_mut(id) {
            state.pinned_streams += 1;
        }
    }

    /// Records the end of a stream counted by [`Self::begin_pinned_stream`].
    pub fn end_pinned_stream(&mut self, id: &ServerId) {
        if let Some(state) = self.servers.get_mut(id) {
            state.pinned_streams = state.pinned_streams.saturating_sub(1);
        }
    }
}
