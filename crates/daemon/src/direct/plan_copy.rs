//! An entry's copy of the plan: the routes in force, how current they are, and whom to ask for
//! newer ones.

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
        fact_age::{ChangeMark, FactAge},
        plan_source::{PlanHolders, PlanSource},
        route_table::RouteTable,
    },
    time::Moment,
};
use headlatch_types::traffic::{PlanVersion, TrafficPlan};
use serde_json::json;
use tokio::{sync::Notify, time::Instant};

use crate::decisions;

/// The plan of one entry.
#[derive(Debug)]
pub struct PlanCopy {
    routes: RwLock<Option<Arc<RouteTable>>>,
    /// A plan as it is handed to others, with its version: a dozen may ask for the same one.
    encoded: Mutex<Option<(PlanVersion, Bytes)>>,
    source: Mutex<PlanSource>,
    /// The last call to the store for the plan was answered.
    store_responds: AtomicBool,
    /// Another entry has a newer plan.
    newer_offered: Notify,
    /// A newer plan has come into force.
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

    /// The routes in force; none before the first plan.
    pub fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.read().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    /// The version of the plan in force.
    pub fn version(&self) -> PlanVersion {
        self.routes().map(|routes| routes.plan().version).unwrap_or_default()
    }

    /// The plan in force as it is handed to others; none before the first.
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

    /// What agents need of the plan in force, as it is handed to them; none before the first.
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

    /// How current the plan is.
    pub fn age(&self) -> FactAge {
        *self.source().age()
    }

    /// Takes over a plan if it is newer than the one in force; tells whether it is.
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
        self.source().take_from_peer(now, ChangeMark(version.0));
        self.applied.notify_waiters();
        decisions::note("plan", "in_force", fields);
        true
    }

    /// The store has said that nothing newer than the plan in force is there.
    pub fn confirm(&self, now: Moment) {
        let version = ChangeMark(self.version().0);
        self.source().confirm_from_store(now, version);
    }

    /// Notes whether the last call to the store for the plan was answered.
    pub fn record_store_call(&self, responds: bool) {
        self.store_responds.store(responds, Ordering::Relaxed);
    }

    /// Whether the store answers this entry's calls for the plan, as far as it knows: a watch that
    /// has not brought what others have does not count as answered.
    pub fn reads_store(&self, now: Moment) -> bool {
        self.store_responds.load(Ordering::Relaxed) && !self.source().is_watch_overdue(now)
    }

    /// Another entry has the plan of `version`; tells whether the store is to be read because of
    /// that.
    pub fn record_peer_version(&self, now: Moment, version: PlanVersion, is_reader: bool) -> bool {
        let mut source = self.source();
        source.record_role(now, is_reader);
        source.record_peer_position(now, ChangeMark(version.0));
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

    /// Whom to ask for a newer plan now.
    pub fn holder(&self, now: Moment, view: &PlanHolders) -> Option<SocketAddr> {
        self.source().holder(now, view, rand::random())
    }

    /// A holder was asked and did not hand the plan over.
    pub fn record_failed_fetch(&self, holder: SocketAddr) {
        self.source().record_failure(holder);
    }

    /// Waits until another entry has a newer plan.
    pub async fn newer_offered(&self) {
        self.newer_offered.notified().await;
    }

    /// Waits until a plan newer than `version` is in force, at most for `time`; tells whether one
    /// is.
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
