//! What an agent needs of the plan: the origin of weights, and the figures of its engine.
//!
//! It is read beside the agent's work, which never waits for it, and is kept until a newer one is
//! here: a plan that may be old names the right origin nearly always, none names nothing.

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
    facts::{AlwaysOpen, FactNews, FactReader, set_facts},
    plan_sync,
};
use crate::decisions;

/// Pause between two readings.
const PLAN_PAUSE: Duration = Duration::from_millis(700);

/// Time between two readings of a plan that nobody is known to have replaced.
const DOUBT_REST: Duration = Duration::from_secs(5);

/// Pause between two looks for a newer plan.
const LOOK_PAUSE: Duration = Duration::from_millis(200);

/// Time after which the store is asked for the plan where no entry is known that has one.
const LONELY_PATIENCE: Duration = Duration::from_millis(500);

/// Time after which the first agents of a failure domain ask it in any case, the others in turns: entries
/// that have just started as well have the plan before that. A whole plan may take a megabyte, and there
/// are dozens of agents a region.
const STORE_PATIENCE: Duration = Duration::from_millis(3000);

/// Pause between two entries that are asked.
const ENTRY_PAUSE: Duration = Duration::from_millis(100);

/// An agent's copy of the plan.
#[derive(Debug, Default)]
pub(super) struct AgentPlan {
    plan: Mutex<Option<Arc<TrafficPlan>>>,
    doubted: Notify,
}

impl AgentPlan {
    fn lock(&self) -> MutexGuard<'_, Option<Arc<TrafficPlan>>> {
        self.plan.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    /// The origin of weights; none as long as no plan names one.
    pub(super) fn origin(&self) -> Option<OriginPlan> {
        self.lock().as_ref()?.origin().cloned()
    }

    /// The figures of the engine of `service`, or of the only one that has any.
    pub(super) fn engine(&self, service: Option<&str>) -> Option<EngineCapacity> {
        let plan = self.lock().clone()?;
        let named = service.and_then(|service| plan.services.get(service));
        let named = named.and_then(|service| service.engine.as_ref());
        let any = || plan.services.values().find_map(|service| service.engine.as_ref());
        named.or_else(any).cloned()
    }

    /// The first model of the engine of `service`.
    pub(super) fn model(&self, service: Option<&str>) -> Option<ModelName> {
        self.engine(service).and_then(|engine| engine.models.first().cloned())
    }

    /// Whether all streams of `service` can be continued elsewhere.
    pub(super) fn may_interrupt(&self, service: Option<&str>) -> bool {
        let plan = self.lock().clone();
        plan.zip(service).is_some_and(|(plan, service)| plan.may_interrupt(service))
    }

    /// The origin failed; it may have moved, so that the plan is to be read again.
    pub(super) fn doubt(&self) {
        self.doubted.notify_one();
    }

    /// Reads the plan until it names an origin, and again whenever that is doubted.
    pub(super) async fn run(self: Arc<Self>, state: Arc<AgentState>, store: Arc<dyn FactStore>) {
        // An old plan names the same origin nearly always, and costs the store a tenth.
        let mut freshness = Freshness::MayBeOld;
        let mut reader =
            FactReader::new(store, FactTopic::Plan, Arc::default(), Arc::new(AlwaysOpen));
        loop {
            let plan = tokio::select! {
                plan = read_store(&state, &mut reader, freshness) => plan,
                plan = read_entries(&state) => Some(plan),
            };
            match plan.filter(|plan| plan.origin().is_some()) {
                Some(plan) => {
                    self.take(plan);
                    self.wait_for_doubt(&state).await;
                }
                None => decisions::note("plan", "names_no_origin", json!({})),
            }
            freshness = Freshness::Current;
            tokio::time::sleep(PLAN_PAUSE).await;
        }
    }

    /// Takes over a plan unless it is older than the one that is kept.
    fn take(&self, plan: Arc<TrafficPlan>) {
        let mut kept = self.lock();
        if kept.as_ref().is_some_and(|kept| kept.version >= plan.version) {
            return;
        }
        decisions::note("plan", "read", json!({ "version": plan.version }));
        *kept = Some(plan);
    }

    /// Waits until the plan is doubted, and then until a newer one is known or some time has
    /// passed: an origin that is merely full or down fails again and again.
    async fn wait_for_doubt(&self, state: &AgentState) {
        let rested = Instant::now() + DOUBT_REST;
        self.doubted.notified().await;
        let version = self.lock().as_ref().map(|plan| plan.version).unwrap_or_default();
        while Instant::now() < rested && holder_of_newer(state, version).is_none() {
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    }
}

/// The plan from the store, where no entry hands it over.
async fn read_store(
    state: &AgentState,
    reader: &mut FactReader,
    freshness: Freshness,
) -> Option<Arc<TrafficPlan>> {
    tokio::time::sleep(LONELY_PATIENCE).await;
    if holder_of_newer(state, PlanVersion::default()).is_some() || knows_entries(state) {
        let before = lock(&state.peers).agents_before();
        tokio::time::sleep(fallback_read_delay(STORE_PATIENCE, before) - LONELY_PATIENCE).await;
    }
    let list = reader.list(freshness).await;
    let plans = set_facts(FactNews::All(list)).into_iter().filter_map(|fact| match fact {
        Fact::Plan(plan) => Some(Arc::from(plan)),
        _ => None,
    });
    plans.last()
}

fn knows_entries(state: &AgentState) -> bool {
    lock(&state.peers).entries(PeerKind::Agent) > 0
}

/// The plan from an entry.
async fn read_entries(state: &AgentState) -> Arc<TrafficPlan> {
    let connections = Connections::default();
    loop {
        if let Some(entry) = holder_of_newer(state, PlanVersion::default()) {
            match plan_sync::fetch_for_agent(&connections, entry).await {
                Ok(plan) => return Arc::new(plan),
                Err(error) => decisions::warn("plan", "not_fetched", json!({ "error": error })),
            }
        }
        tokio::time::sleep(ENTRY_PAUSE).await;
    }
}

/// An entry that has a plan newer than `version`, of the own failure domain if there is one.
fn holder_of_newer(state: &AgentState, version: PlanVersion) -> Option<SocketAddr> {
    let peers = lock(&state.peers);
    let near = peers.newer_plans(version, true);
    let far = || peers.newer_plans(version, false);
    let entries = if near.is_empty() { far() } else { near };
    entries.choose(&mut rand::rng()).copied()
}
