//! Directory of the endpoints that can serve a request, based on the records of their agents.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use headlatch_core::{
    membership::{NodeKind, NodeRecord},
    routing::{Candidate, EndpointPicker},
};
use headlatch_http::StopSignal;
use headlatch_types::{
    fleet::{ModelPlan, SetKey},
    id::{BoxId, ModelName, ServiceName},
};
use rand::{SeedableRng, rngs::SmallRng};

use crate::node::{NodeContext, admin::ReadyFlag};

/// Number of set keys kept per model, so that boxes on an older version still receive requests
/// during a rollout.
const MAX_SETS_PER_MODEL: usize = 4;

/// Interval for removing endpoints that have left.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// The target of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestTarget {
    /// A model.
    Model(ModelName),
    /// A plain service.
    Service(ServiceName),
}

/// Endpoints by the model or service they serve, with the endpoint picker.
#[derive(Debug)]
pub struct EndpointDirectory {
    node: Arc<NodeContext>,
    sets: Mutex<HashMap<ModelName, VecDeque<SetKey>>>,
    picker: Mutex<EndpointPicker>,
}

impl EndpointDirectory {
    /// Creates the directory of an entry.
    pub fn new(node: Arc<NodeContext>) -> Self {
        let seed = node.settings.box_id.key() ^ node.table().own().incarnation;
        let rng = SmallRng::seed_from_u64(seed);
        let picker = EndpointPicker::new(node.settings.domain.clone(), rng);
        Self { node, sets: Mutex::default(), picker: Mutex::new(picker) }
    }

    /// Locks the endpoint picker.
    pub fn picker(&self) -> MutexGuard<'_, EndpointPicker> {
        self.picker.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Tracks configuration and membership until stopped, and maintains the readiness flag.
    pub async fn run(self: Arc<Self>, ready: ReadyFlag, mut signal: StopSignal) {
        let mut ticks = self.node.timer.subscribe(REFRESH_INTERVAL);
        let mut changes = self.node.watch_config();
        loop {
            tokio::select! {
                tick = ticks.next() => if tick.is_none() { return },
                changed = changes.changed() => if changed.is_err() { return },
                () = signal.stopped() => return,
            }
            self.update_known_sets();
            self.remove_departed();
            let leaving = self.node.table().own().leaving;
            ready.set(self.node.config().revision.number() > 0 && !leaving);
        }
    }

    fn update_known_sets(&self) {
        let config = self.node.config();
        let mut sets = self.sets.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        for model in &config.plan.models {
            let known = sets.entry(model.name.clone()).or_default();
            let key = model.set_key();
            if known.front() != Some(&key) {
                known.retain(|other| *other != key);
                known.push_front(key);
                known.truncate(MAX_SETS_PER_MODEL);
            }
        }
        sets.retain(|name, _| config.plan.models.iter().any(|model| model.name == *name));
    }

    fn remove_departed(&self) {
        let now = self.node.now();
        let alive: Vec<(BoxId, SocketAddr)> = {
            let table = self.node.table();
            table.alive_nodes(now).map(|record| (record.id.clone(), record.control)).collect()
        };
        self.picker().retain(|id| alive.iter().any(|(other, _)| other == id));
        self.node.channels.retain(|address| alive.iter().any(|(_, other)| other == address));
    }

    /// Healthy endpoints that serve `target`, with their addresses.
    pub fn candidates(&self, target: &RequestTarget) -> Vec<(Candidate, SocketAddr)> {
        let now = self.node.now();
        let sets = match target {
            RequestTarget::Model(name) => self.sets_of(name),
            RequestTarget::Service(_) => Vec::new(),
        };
        let table = self.node.table();
        let serves = |record: &&NodeRecord| {
            let Some(state) = &record.endpoint else { return false };
            let fits = match target {
                RequestTarget::Model(_) => state.serving.is_some_and(|set| sets.contains(&set)),
                RequestTarget::Service(name) => state.service.as_ref() == Some(name),
            };
            fits && state.healthy && !record.leaving
        };
        table.alive_nodes(now).filter(serves).filter_map(to_candidate).collect()
    }

    fn sets_of(&self, name: &ModelName) -> Vec<SetKey> {
        let sets = self.sets.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        sets.get(name).map(|known| known.iter().copied().collect()).unwrap_or_default()
    }

    /// Total slots of all endpoints, and the number of entries that share them, including this one.
    pub fn capacity(&self) -> (u32, u32) {
        let now = self.node.now();
        let table = self.node.table();
        let slots = |record: &NodeRecord| record.endpoint.as_ref().map_or(0, |state| state.slots);
        let total = table.alive_nodes(now).filter(|record| !record.leaving).map(slots).sum();
        let entries =
            table.alive_nodes(now).filter(|record| record.kind == NodeKind::Entry).count();
        (total, 1 + entries as u32)
    }

    /// The models that at least one endpoint currently serves.
    pub fn served_models<'a>(&self, models: &'a [ModelPlan]) -> Vec<&'a ModelPlan> {
        let serves = |model: &&ModelPlan| {
            !self.candidates(&RequestTarget::Model(model.name.clone())).is_empty()
        };
        models.iter().filter(serves).collect()
    }
}

fn to_candidate(record: &NodeRecord) -> Option<(Candidate, SocketAddr)> {
    let state = record.endpoint.as_ref()?;
    let candidate = Candidate {
        id: record.id.clone(),
        domain: record.domain.clone(),
        slots: state.slots,
        reported: state.in_progress,
    };
    Some((candidate, record.control))
}
