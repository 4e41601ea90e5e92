//! The parts of the plan that an agent needs: the origin of weights and the parameters of its
//! engine.
//!
//! The plan is read by a separate task, so that the stager never waits for it. A plan is kept until
//! a newer one has been read: an outdated plan nearly always names the right origin, while no plan
//! names none.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use headlatch_core::direct::{peers::PeerKind, plan_readers::fallback_read_delay};
use headlatch_http::Connections;
use headlatch_outside::facts::{Fact, FactStore, FactTopic, Freshness};
use headlatch_types::{
    id::ModelName,
    traffic::{EngineCapacity, OriginPlan, PlanVersion, TrafficPlan},
};
use rand::seq::IndexedRandom;
use serde_json::json;
use tokio::{sync::Notify, time::Instant};

use super::{
    agent::{AgentState, lock},
    facts::{AlwaysOpen, FactReader, FactUpdate, readable_facts},
    plan_sync,
};
use crate::decisions;

/// Pause between two reads of the plan.
const PLAN_READ_INTERVAL: Duration = Duration::from_millis(700);

/// Minimum time between two reads while no entry is known to have a newer plan.
const REFRESH_MIN_INTERVAL: Duration = Duration::from_secs(5);

/// Poll interval while waiting for an entry with a newer plan.
const NEWER_PLAN_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which the plan is read from the store if no entry is known.
const NO_ENTRY_DELAY: Duration = Duration::from_millis(500);

/// Time after which the first agents of a failure domain read the plan from the store although
/// entries are known; the others follow staggered by rank. Entries that started at the same time
/// have the plan earlier than that. A whole plan may take a megabyte, and there are dozens of
/// agents per region.
const STORE_FALLBACK_DELAY: Duration = Duration::from_millis(3000);

/// Pause between two attempts to read the plan from an entry.
const ENTRY_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// An agent's copy of the plan.
#[derive(Debug, Default)]
pub(super) struct AgentPlan {
    plan: Mutex<Option<Arc<TrafficPlan>>>,
    refresh_requested: Notify,
}

impl AgentPlan {
    fn lock(&self) -> MutexGuard<'_, Option<Arc<TrafficPlan>>> {
        self.plan.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    /// Returns the origin of weights, or `None` until a plan names one.
    pub(super) fn origin(&self) -> Option<OriginPlan> {
        self.lock().as_ref()?.origin().cloned()
    }

    /// Returns the engine parameters of `service`, or of the first service that has any.
    pub(super) fn engine(&self, service: Option<&str>) -> Option<EngineCapacity> {
        let plan = self.lock().clone()?;
        let named = service.and_then(|service| plan.services.get(service));
        let named = named.and_then(|service| service.engine.as_ref());
        let any = || plan.services.values().find_map(|service| service.engine.as_ref());
        named.or_else(any).cloned()
    }

    /// Returns the first model of the engine of `service`.
    pub(super) fn model(&self, service: Option<&str>) -> Option<ModelName> {
        self.engine(service).and_then(|engine| engine.models.first().cloned())
    }

    /// Whether all streams of `service` can be resumed on another server.
    pub(super) fn may_interrupt(&self, service: Option<&str>) -> bool {
        let plan = self.lock().clone();
        plan.zip(service).is_some_and(|(plan, service)| plan.may_interrupt(service))
    }

    /// Requests a new read of the plan after a failure of the origin, whose address may have
    /// changed.
    pub(super) fn request_refresh(&self) {
        self.refresh_requested.notify_one();
    }

    /// Reads the plan until it names an origin, and again whenever a refresh is requested.
    pub(super) async fn run(self: Arc<Self>, state: Arc<AgentState>, store: Arc<dyn FactStore>) {
        // An outdated plan nearly always names the same origin, and costs the store a tenth of a
        // current one.
        let mut freshness = Freshness::MayBeOld;
        let mut reader =
            FactReader::new(store, FactTopic::Plan, Arc::default(), Arc::new(AlwaysOpen));
        loop {
            let plan = tokio::select! {
                plan = read_from_store(&state, &mut reader, freshness) => plan,
                plan = read_from_entries(&state) => Some(plan),
            };
            match plan.filter(|plan| plan.origin().is_some()) {
                Some(plan) => {
                    self.replace_if_newer(plan);
                    self.wait_for_refresh(&state).await;
                }
                None => decisions::info("plan", "names_no_origin", json!({})),
            }
            freshness = Freshness::Current;
            tokio::time::sleep(PLAN_READ_INTERVAL).await;
        }
    }

    /// Replaces the plan if `plan` has a higher version.
    fn replace_if_newer(&self, plan: Arc<TrafficPlan>) {
        let mut kept = self.lock();
        if kept.as_ref().is_some_and(|kept| kept.version >= plan.version) {
            return;
        }
        decisions::info("plan", "read", json!({ "version": plan.version }));
        *kept = Some(plan);
    }

    /// Waits for a refresh request, and then until an entry has a newer plan or
    /// [`REFRESH_MIN_INTERVAL`] has passed. An origin that is only overloaded or down requests a
    /// refresh at every failure.
    async fn wait_for_refresh(&self, state: &AgentState) {
        let earliest_refresh = Instant::now() + REFRESH_MIN_INTERVAL;
        self.refresh_requested.notified().await;
        let version = self.lock().as_ref().map(|plan| plan.version).unwrap_or_default();
        while Instant::now() < earliest_refresh && entry_with_newer_plan(state, version).is_none() {
            tokio::time::sleep(NEWER_PLAN_POLL_INTERVAL).await;
        }
    }
}

/// Reads the plan from the store once the delay for reading it from an entry has passed.
async fn read_from_store(
    state: &AgentState,
    reader: &mut FactReader,
    freshness: Freshness,
) -> Option<Arc<TrafficPlan>> {
    tokio::time::sleep(NO_ENTRY_DELAY).await;
    if entry_with_newer_plan(state, PlanVersion::default()).is_some() || knows_entries(state) {
        let before = lock(&state.peers).agents_before();
        tokio::time::sleep(fallback_read_delay(STORE_FALLBACK_DELAY, before) - NO_ENTRY_DELAY)
            .await;
    }
    let list = reader.list(freshness).await;
    let plans = readable_facts(FactUpdate::from(list)).into_iter().filter_map(|fact| match fact {
        Fact::Plan(plan) => Some(Arc::from(plan)),
        _ => None,
    });
    plans.last()
}

fn knows_entries(state: &AgentState) -> bool {
    lock(&state.peers).entries(PeerKind::Agent) > 0
}

/// Reads the plan from an entry, retrying until one succeeds.
async fn read_from_entries(state: &AgentState) -> Arc<TrafficPlan> {
    let connections = Connections::default();
    loop {
        if let Some(entry) = entry_with_newer_plan(state, PlanVersion::default()) {
            match plan_sync::fetch_for_agent(&connections, entry).await {
                Ok(plan) => return Arc::new(plan),
                Err(error) => decisions::warn("plan", "not_fetched", json!({ "error": error })),
            }
        }
        tokio::time::sleep(ENTRY_RETRY_INTERVAL).await;
    }
}

/// Returns a random entry with a plan newer than `version`, preferring the own failure domain.
fn entry_with_newer_plan(state: &AgentState, version: PlanVersion) -> Option<SocketAddr> {
    let peers = lock(&state.peers);
    let near = peers.newer_plans(version, true);
    let far = || peers.newer_plans(version, false);
    let entries = if near.is_empty() { far() } else { near };
    entries.choose(&mut rand::rng()).copied()
}
