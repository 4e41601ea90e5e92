//! An entry's copy of the plan: the active routes, their age, and the peers to fetch a newer plan from.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, RwLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use headlatch_core::{
    direct::{
        fact_age::FactAge,
        plan_source::{PlanHolders, PlanSource},
        route_table::RouteTable,
    },
    time::Moment,
};
use headlatch_types::traffic::{PlanVersion, TrafficPlan};
use serde_json::json;
use tokio::{sync::Notify, time::Instant};

use crate::decisions;

/// An entry's copy of the plan.
#[derive(Debug)]
pub struct PlanCopy {
    routes: RwLock<Option<Arc<RouteTable>>>,
    /// Cached encoding of a plan and its version: a dozen peers may request the same one.
    encoded: Mutex<Option<(PlanVersion, Bytes)>>,
    source: Mutex<PlanSource>,
    /// Whether the store responded to the last call for the plan.
    store_responds: AtomicBool,
    /// Notified when another entry has a newer plan.
    newer_offered: Notify,
    /// Notified when a newer plan becomes active.
    applied: Notify,
}

impl Default for PlanCopy {
    fn default() -> Self {
        Self {
            routes: RwLock::default(),
            encoded: Mutex::default(),
            source: Mutex::default(),
            store_responds: AtomicBool::new(true),
            newer_offered: Notify::new(),
            applied: Notify::new(),
        }
    }
}

impl PlanCopy {
    fn source(&self) -> MutexGuard<'_, PlanSource> {
        self.source.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Returns the active routes; `None` before the first plan.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.read().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    /// Returns the version of the active plan.
    pub fn version(&self) -> PlanVersion {
        self.routes().map(|routes| routes.plan().version).unwrap_or_default()
    }

    /// Returns the encoded active plan for entries; `None` before the first plan.
    pub fn encoded(&self) -> Option<Bytes> {
        let routes = self.routes()?;
        let version = routes.plan().version;
        let mut encoded = self.encoded.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        if let Some((_, text)) = encoded.as_ref().filter(|(known, _)| *known == version) {
            return Some(text.clone());
        }
        match serde_json::to_vec(&**routes.plan()) {
            Ok(text) => Some(encoded.insert((version, text.into())).1.clone()),
            Err(error) => {
                decisions::warn("plan", "not_encoded", json!({ "error": error.to_string() }));
                None
            }
        }
    }

    /// Returns the encoded part of the active plan that agents need; `None` before the first plan.
    pub fn encoded_for_agents(&self) -> Option<Bytes> {
        let plan = self.routes()?.plan().for_agents();
        match serde_json::to_vec(&plan) {
            Ok(text) => Some(text.into()),
            Err(error) => {
                decisions::warn("plan", "not_encoded", json!({ "error": error.to_string() }));
                None
            }
        }
    }

    /// Returns how current the plan is.
    pub fn age(&self) -> FactAge<PlanVersion> {
        *self.source().age()
    }

    /// Activates a plan if it is newer than the active one; returns whether it was.
    pub fn apply(&self, now: Moment, plan: TrafficPlan, source: &str) -> bool {
        let mut routes = self.routes.write().unwrap_or_else(|poisoned| poisoned.into_inner());
        let before = routes.as_ref().map(|routes| routes.plan().version);
        if before.is_some_and(|version| version >= plan.version) {
            return false;
        }
        let behind = self.source().age().behind(now);
        let fields = json!({
            "version": plan.version, "before": before, "source": source,
            "behind_ms": behind.map(|behind| behind.as_millis() as u64),
            "routes": plan.routes.len(), "services": plan.services.len(),
            "tenants": plan.tenants.len(),
            "least_timeout_ms": plan.routes.iter().map(|route| route.timeout_ms).min(),
            "most_timeout_ms": plan.routes.iter().map(|route| route.timeout_ms).max(),
        });
        let version = plan.version;
        *routes = Some(Arc::new(RouteTable::new(Arc::new(plan))));
        drop(routes);
        self.source().take_from_peer(now, version);
        self.applied.notify_waiters();
        decisions::info("plan", "in_force", fields);
        true
    }

    /// Records that the store has no plan newer than the active one.
    pub fn confirm(&self, now: Moment) {
        let version = self.version();
        self.source().confirm_from_store(now, version);
    }

    /// Records whether the store responded to the last call for the plan.
    pub fn record_store_call(&self, responds: bool) {
        self.store_responds.store(responds, Ordering::Relaxed);
    }

    /// Whether the store responds to this entry's calls for the plan, as far as it knows. A watch that
    /// has not returned a change that other entries have counts as unanswered.
    pub fn reads_store(&self, now: Moment) -> bool {
        self.store_responds.load(Ordering::Relaxed) && !self.source().is_watch_overdue(now)
    }

    /// Records that another entry has the plan of `version`; returns whether the store has to be read
    /// as a result.
    pub fn record_peer_version(&self, now: Moment, version: PlanVersion, is_reader: bool) -> bool {
        let mut source = self.source();
        source.record_role(now, is_reader);
        source.record_peer_position(now, version);
        let reads = source.take_due_read(now, is_reader);
        let is_behind = source.age().behind(now).is_some();
        drop(source);
        if is_behind {
            self.newer_offered.notify_one();
        }
        reads
    }

    /// Whether another entry is known to have a newer plan.
    pub fn is_behind(&self, now: Moment) -> bool {
        self.source().age().behind(now).is_some()
    }

    /// Selects the peer to fetch a newer plan from.
    pub fn holder(&self, now: Moment, view: &PlanHolders) -> Option<SocketAddr> {
        self.source().holder(now, view, rand::random())
    }

    /// Records that a holder did not return a newer plan.
    pub fn record_failed_fetch(&self, holder: SocketAddr) {
        self.source().record_failure(holder);
    }

    /// Waits until another entry has a newer plan.
    pub async fn newer_offered(&self) {
        self.newer_offered.notified().await;
    }

    /// Waits up to `time` for a plan newer than `version` to become active; returns whether one has.
    pub async fn newer_than(&self, version: PlanVersion, time: Duration) -> bool {
        let until = Instant::now() + time;
        loop {
            let applied = self.applied.notified();
            if self.version() > version {
                return true;
            }
            if tokio::time::timeout_at(until, applied).await.is_err() {
                return self.version() > version;
            }
        }
    }
}
