//! What is known of a single server: its weights, its failures, and its load.

use std::collections::HashMap;

use headlatch_types::traffic::WeightVersion;

use super::{ServerState, misdirected::Misdirected};
use crate::{
    direct::{engine_model::EngineLoad, peers::ServerNotice},
    time::Moment,
};

/// Requests queued at an engine beyond its slots where they continue an interrupted stream.
const CONTINUATION_QUEUE: u32 = 6;

/// Slot utilization, in percent, from which a load change is sent to other entries immediately. Below it
/// the change can wait: each immediate update is a datagram to every entry of the failure domain.
const URGENT_LOAD_PERCENT: u32 = 75;

/// Weight of the latest outcome in the exponential moving average of failures.
const FAILURE_WEIGHT: f64 = 0.2;

impl ServerState {
    /// Replaces the notice of the server's agent.
    pub(super) fn replace_notice(&mut self, notice: Option<ServerNotice>) {
        let weights = |notice: &Option<ServerNotice>| notice.as_ref().and_then(|one| one.whole);
        // A server without the requested weights answers like another server.
        if weights(&self.notice) != weights(&notice) {
            self.misdirected.clear();
        }
        self.notice = notice;
    }

    /// Resets the state of a server process that has ended. Requests of this entry that are still in flight
    /// are counted down as they end.
    pub(super) fn forget_life(&mut self) {
        self.failures = 0;
        self.refusals = 0;
        self.failure_share = 0.0;
        self.blocked_until = Moment::ZERO;
        self.backoff_until = None;
        self.notice = None;
        self.cold = None;
        self.misdirected = Misdirected::default();
    }
}

/// Returns whether a server is loading other weights or draining for that.
pub(super) fn is_changing(state: &ServerState) -> bool {
    state.notice.as_ref().is_some_and(|notice| notice.changing)
}

/// Returns whether a server has staged newer weights; the upcoming change cuts or delays running requests.
pub(super) fn is_about_to_change(state: &ServerState) -> bool {
    state.notice.as_ref().is_some_and(|notice| notice.staged > notice.whole)
}

/// Marks a load change as urgent if the server is busy enough for other entries to need it immediately.
pub(super) fn mark_urgent_change(state: &mut ServerState, others: &HashMap<u32, EngineLoad>) {
    let others = others.get(&state.key).copied().unwrap_or_default();
    let in_flight = state.own.in_flight + others.in_flight;
    let busy = in_flight * 100 >= state.record.slots.max(1) * URGENT_LOAD_PERCENT;
    state.has_urgent_change |= busy;
}

/// Updates the moving average of failures; `failed` is 1 for a failure and 0 for a success.
pub(super) fn update_failure_share(state: &mut ServerState, failed: f64) {
    state.failure_share += (failed - state.failure_share) * FAILURE_WEIGHT;
}

/// Returns the version that a server has loaded completely. The notice of its agent takes precedence, as it
/// is more recent than the record in the store.
pub(super) fn loaded_version(state: &ServerState, layers: u32) -> Option<WeightVersion> {
    match &state.notice {
        Some(notice) => notice.whole,
        None => state.record.models.iter().find_map(|model| model.whole_version(layers)),
    }
}

/// Returns whether a server has loaded all layers of its model in at least version `min_version`.
pub(super) fn has_weights(
    state: &ServerState,
    layers: u32,
    min_version: Option<WeightVersion>,
) -> bool {
    let version = loaded_version(state, layers);
    version.is_some_and(|version| min_version.is_none_or(|min_version| version >= min_version))
}

/// Returns the maximum number of requests in flight at an engine for requests that continue a stream.
pub(super) fn continuation_limit(state: &ServerState) -> u32 {
    state.record.slots.max(1) + CONTINUATION_QUEUE
}
