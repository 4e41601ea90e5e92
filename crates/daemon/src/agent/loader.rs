//! Transfers the weights that the plan assigns to this box and orders the engine to load them.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use headlatch_core::{
    burst::{PeerLocation, SwarmSettings},
    config::FleetConfig,
    gate::{EngineReport, GateStep, TargetSet},
    hash::ranking,
    membership::{NodeKind, NodeRecord},
    placement::{EngineBox, PlacedReplica, Placement, place},
    rollover::{ReplicaView, may_switch},
    time::Moment,
};
use headlatch_http::StopSignal;
use headlatch_types::{
    Digest, Manifest,
    fleet::{ModelPlan, SetKey, WeightPart},
    id::BoxId,
    quantity::ByteSize,
    settings::AgentSettings,
};

use super::{
    admission::EndpointAdmission,
    chunk_cache::ChunkCache,
    engine::{EngineControl, LoadOrder, OrderOutcome},
    fetch::{
        ChunkReader, HttpChunkReader, HttpFetcher, HttpSource, escape_path, manifest_from_peer,
    },
    notes::GrpcNoteSender,
    registry::SwarmRegistry,
    swarm::{self, DriverInput, SwarmContext, peer_key},
};
use crate::node::NodeContext;

/// Interval at which the loader compares the plan with the state of this box.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which the engine's state is polled.
const ENGINE_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Delay before a new agent acts on the plan, so that it does not place models with a membership
/// list that is still empty.
const STARTUP_DELAY: Duration = Duration::from_secs(2);

/// Number of peers asked for a manifest before the origin.
const MANIFEST_PEERS: usize = 3;

/// Number of boxes that read a manifest from the origin without waiting; the others ask these
/// first.
const MANIFEST_ORIGIN_READERS: usize = 2;

/// Time after which a box that got no manifest from its peers reads the origin.
const MANIFEST_PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Transfers weights and has the engine load them.
pub struct WeightLoader {
    pub(super) settings: AgentSettings,
    pub(super) node: Arc<NodeContext>,
    pub(super) admission: Arc<EndpointAdmission>,
    pub(super) registry: Arc<SwarmRegistry>,
    pub(super) chunk_cache: Arc<ChunkCache>,
    pub(super) engine: Arc<dyn EngineControl>,
    pub(super) fetcher: HttpFetcher,
    /// Base URL from which the engine reads weight files.
    pub(super) weights_url: String,
    pub(super) state: LoaderState,
}

/// State that the loader keeps between reconciliations.
#[derive(Debug, Default)]
pub struct LoaderState {
    next_engine_poll: Moment,
    report: Option<EngineReport>,
    /// Time of the first attempt to find each missing manifest.
    manifest_search_began: BTreeMap<Digest, Moment>,
    last_bytes: (u64, Moment),
    rate: u64,
}

/// The plan, membership and placement used by one reconciliation.
struct LoadGoal {
    config: Arc<FleetConfig>,
    placement: Placement,
    boxes: Vec<NodeRecord>,
    own: Option<PlacedReplica>,
}

impl LoadGoal {
    fn model(&self) -> Option<&ModelPlan> {
        self.own.and_then(|own| self.config.plan.models.get(own.model))
    }
}

impl WeightLoader {
    /// Runs until the stop signal.
    pub async fn run(mut self, mut signal: StopSignal) {
        let mut ticks = self.node.timer.subscribe(RECONCILE_INTERVAL);
        let mut changes = self.node.watch_config();
        loop {
            tokio::select! {
                tick = ticks.next() => if tick.is_none() { return },
                changed = changes.changed() => if changed.is_err() { return },
                () = signal.stopped() => return,
            }
            self.reconcile().await;
        }
    }

    async fn reconcile(&mut self) {
        let now = self.node.now();
        if now >= self.state.next_engine_poll {
            self.state.next_engine_poll = now + ENGINE_POLL_INTERVAL;
            self.poll_engine().await;
        }
        if now.since(Moment::ZERO) < STARTUP_DELAY {
            return;
        }
        let goal = self.goal(now);
        self.update_gate_target(&goal);
        self.update_transfers(now, &goal).await;
        self.switch_weights(now, &goal).await;
        self.publish_progress(now, &goal);
    }

    fn goal(&self, now: Moment) -> LoadGoal {
        let config = self.node.config();
        let table = self.node.table();
        let own = table.own().clone();
        let others = table.alive_nodes(now).cloned();
        let is_engine = |record: &NodeRecord| {
            record.kind == NodeKind::Agent
                && !record.leaving
                && record.endpoint.as_ref().is_some_and(|state| state.service.is_none())
        };
        let boxes: Vec<NodeRecord> = others.chain([own.clone()]).filter(is_engine).collect();
        drop(table);
        let engines: Vec<EngineBox> = boxes
            .iter()
            .map(|record| EngineBox { id: record.id.clone(), domain: record.domain.clone() })
            .collect();
        let placement = place(&config.plan, &engines);
        let own = placement.get(&own.id).copied();
        LoadGoal { config, placement, boxes, own }
    }

    fn update_gate_target(&self, goal: &LoadGoal) {
        let target = goal.model().map(|model| TargetSet {
            key: model.set_key(),
            parts: model.parts().iter().map(|part| part.manifest).collect(),
        });
        // A box without an assigned model keeps serving its current weights until it is assigned a
        // model, because the other boxes may not serve these weights yet.
        if target.is_some() {
            self.admission.lock().gate.set_target(target);
        }
    }

    /// Starts missing transfers, updates the peers of all transfers, and ends those no longer in
    /// the plan.
    async fn update_transfers(&mut self, now: Moment, goal: &LoadGoal) {
        let Some(model) = goal.model().cloned() else { return };
        let parts = model.parts();
        for part in &parts {
            let peers = self.peers(goal, &part.manifest);
            if self.registry.get(&part.manifest).is_none() {
                self.start_swarm(now, goal, part, &peers).await;
            }
            let Some(handle) = self.registry.get(&part.manifest) else { continue };
            handle.try_send(DriverInput::Peers(peers));
            if handle.is_complete() {
                self.admission.lock().gate.mark_verified(part.manifest);
            }
        }
        let wanted = |digest: &Digest| parts.iter().any(|part| part.manifest == *digest);
        if parts.iter().all(|part| self.registry.get(&part.manifest).is_some()) {
            self.registry.retain(wanted);
        }
    }

    /// The boxes whose assigned weight sets include this manifest, with their addresses.
    fn peers(&self, goal: &LoadGoal, manifest: &Digest) -> Vec<(PeerLocation, SocketAddr)> {
        let participates = |id: &BoxId| {
            let placed =
                goal.placement.get(id).and_then(|one| goal.config.plan.models.get(one.model));
            placed.is_some_and(|model| model.parts().iter().any(|part| part.manifest == *manifest))
        };
        let boxes = goal.boxes.iter().filter(|record| participates(&record.id));
        boxes.map(|record| (peer_location(record), record.control)).collect()
    }

    async fn start_swarm(
        &mut self,
        now: Moment,
        goal: &LoadGoal,
        part: &WeightPart,
        peers: &[(PeerLocation, SocketAddr)],
    ) {
        let since = *self.state.manifest_search_began.entry(part.manifest).or_insert(now);
        let Some((text, manifest)) = self.find_manifest(now, since, part, peers).await else {
            return;
        };
        if manifest.total() > self.chunk_cache.limit() {
            log::error!(
                "burst: {} needs {}, more than chunk_memory; raise chunk_memory in the settings",
                part.location,
                manifest.total()
            );
            return;
        }
        if self.chunk_cache.used().bytes() + manifest.total().bytes()
            > self.chunk_cache.limit().bytes()
        {
            // Both versions do not fit in memory. The engine has already loaded the old one, so
            // dropping its chunks only takes them from peers.
            self.registry.retain(|_| false);
        }
        self.state.manifest_search_began.remove(&part.manifest);
        log::info!("burst: starting transfer of {}, {}", part.location, manifest.total());
        let settings = self.swarm_settings(&manifest, goal);
        let context = self.context(part);
        let own_location = peer_location(self.node.table().own());
        self.registry.add(swarm::start(
            context,
            part.location.clone(),
            (text, Arc::new(manifest)),
            settings,
            own_location,
        ));
    }

    fn context(&self, part: &WeightPart) -> SwarmContext {
        let reader = |source: HttpSource| -> Arc<dyn ChunkReader> {
            Arc::new(HttpChunkReader { fetcher: self.fetcher.clone(), source })
        };
        let [origin, store] = self.sources(part);
        SwarmContext {
            node: self.node.clone(),
            chunk_cache: self.chunk_cache.clone(),
            downlink: self.fetcher.downlink(),
            note_sender: Arc::new(GrpcNoteSender(self.node.clone())),
            origin: origin.map(reader),
            store: store.map(reader),
        }
    }

    /// Origin and store of a part, if configured.
    fn sources(&self, part: &WeightPart) -> [Option<HttpSource>; 2] {
        let location = &part.location;
        [&self.settings.origin, &self.settings.store]
            .map(|url| url.clone().map(|url| HttpSource { url, location: location.clone() }))
    }

    fn swarm_settings(&self, manifest: &Manifest, goal: &LoadGoal) -> SwarmSettings {
        let chunks = manifest.chunks().len() as u32;
        let mean = manifest.total().bytes() / u64::from(chunks.max(1));
        let mean = ByteSize::from_bytes(mean);
        let own = self.settings.link.usable().time_for(mean);
        let origin = self.settings.origin_rate.time_for(mean);
        let mut settings = SwarmSettings::new(chunks, own, origin);
        settings.prefer = goal.config.plan.burst.prefer;
        settings.store = self.settings.store.is_some();
        settings
    }

    async fn find_manifest(
        &self,
        now: Moment,
        since: Moment,
        part: &WeightPart,
        peers: &[(PeerLocation, SocketAddr)],
    ) -> Option<(Bytes, Manifest)> {
        let own = peer_key(&self.node.settings.box_id);
        let ranked = ranking(part.manifest.key(), peers.iter().map(|(peer, _)| peer.key.0));
        let reads_origin = ranked.iter().take(MANIFEST_ORIGIN_READERS).any(|key| *key == own.0);
        let address = |key: &u64| {
            peers.iter().find(|(peer, _)| peer.key.0 == *key).map(|(_, address)| *address)
        };
        for key in ranked.iter().filter(|key| **key != own.0).take(MANIFEST_PEERS) {
            let Some(address) = address(key) else { continue };
            let asked = manifest_from_peer(&self.node.channels, address, part.manifest);
            if let Some(found) = asked.await {
                return Some(found);
            }
        }
        if !reads_origin && now.since(since) < MANIFEST_PEER_TIMEOUT {
            return None;
        }
        for source in self.sources(part).into_iter().flatten() {
            match self.fetcher.manifest(&source, part.manifest).await {
                Ok(found) => return Some(found),
                Err(failure) => log::warn!(
                    "burst: failed to read the manifest of {} from {}, {failure:?}",
                    part.location,
                    source.url
                ),
            }
        }
        None
    }

    async fn poll_engine(&mut self) {
        match self.engine.report().await {
            Ok(report) => {
                self.state.report = Some(report);
                let mut admission = self.admission.lock();
                let before = admission.gate.serving();
                admission.gate.handle_report(report);
                admission.healthy = true;
                let after = admission.gate.serving();
                drop(admission);
                if before != after {
                    log_gate(before, after);
                    self.publish_serving(after);
                }
            }
            Err(error) => {
                if self.state.report.take().is_some() {
                    log::error!("gate: closed, {error}");
                }
                let mut admission = self.admission.lock();
                admission.gate.handle_engine_loss();
                admission.healthy = false;
            }
        }
    }

    /// Orders the engine to load the target set once all its chunks are verified, the rollover
    /// allows this replica to switch, and no request is in progress.
    async fn switch_weights(&mut self, now: Moment, goal: &LoadGoal) {
        let (Some(model), Some(report)) = (goal.model(), self.state.report) else { return };
        let may_switch_weights = self.may_switch_now(now, goal, model);
        let order = {
            let mut admission = self.admission.lock();
            if !matches!(admission.gate.next_step(), GateStep::Ready(_)) {
                return;
            }
            if admission.gate.serving().is_some() {
                if !may_switch_weights {
                    return;
                }
                log::info!("gate: closed to switch to {}@{}", model.name, model.version);
                admission.gate.stop_serving();
                self.publish_serving(None);
            }
            if admission.in_progress > 0 {
                return;
            }
            let order = admission.gate.issue_order(report);
            admission.model_names = model.caller_names();
            order
        };
        let Some((set, token)) = order else { return };
        log::info!(
            "gate: ordering the engine to load {}@{} with token {token}",
            model.name,
            model.version
        );
        let order = LoadOrder { token, set, files: self.file_urls(model) };
        match self.engine.load(order).await {
            Ok(OrderOutcome::Accepted) => {}
            Ok(OrderOutcome::Fenced) => {
                log::warn!("gate: the engine has had a later order than token {token}");
                self.admission.lock().gate.cancel_order();
            }
            // The next engine report shows whether the order arrived.
            Err(error) => log::warn!("gate: load order not confirmed, {error}"),
        }
    }

    fn file_urls(&self, model: &ModelPlan) -> Vec<String> {
        let swarms = model.parts().into_iter().filter_map(|part| self.registry.get(&part.manifest));
        let base = &self.weights_url;
        let urls = swarms.flat_map(|handle| {
            let digest = handle.manifest.digest();
            let files = handle.manifest.files().iter();
            let url = |path: &str| format!("{base}/weights/{digest}/{}", escape_path(path));
            files.map(|file| url(&file.path)).collect::<Vec<_>>()
        });
        urls.collect()
    }

    fn may_switch_now(&self, now: Moment, goal: &LoadGoal, model: &ModelPlan) -> bool {
        let Some(own) = goal.own else { return false };
        let domain = &self.node.settings.domain;
        let wanted = model.set_key();
        let serving = |record: &NodeRecord| record.endpoint.as_ref().and_then(|one| one.serving);
        let table = self.node.table();
        let others: Vec<ReplicaView> = table
            .alive_nodes(now)
            .filter(|record| record.domain == *domain)
            .filter_map(|record| {
                let placed = goal.placement.get(&record.id)?;
                let serves_target = serving(record) == Some(wanted);
                let serves = serving(record).is_some();
                (placed.model == own.model).then_some(ReplicaView {
                    rank: placed.rank,
                    serves_target,
                    serves,
                })
            })
            .collect();
        let replicas = 1 + others.len() as u32;
        may_switch(own.rank, replicas, model.min_serving(domain).min(replicas - 1), &others)
    }

    /// Publishes the served weight set without waiting for the next gossip round.
    fn publish_serving(&self, serving: Option<SetKey>) {
        self.node.update_record(true, |record| {
            if let Some(state) = record.endpoint.as_mut() {
                state.serving = serving;
            }
        });
    }

    /// Publishes transfer progress and load in this node's record.
    fn publish_progress(&mut self, now: Moment, goal: &LoadGoal) {
        let fetching: Option<SetKey> = goal.model().map(ModelPlan::set_key);
        let swarms = self.registry.all();
        let chunks: u64 = swarms.iter().map(|one| one.manifest.chunks().len() as u64).sum();
        let held: u64 = swarms.iter().map(|one| one.held()).sum();
        let permille = (held * 1000).checked_div(chunks).unwrap_or(0) as u32;
        let bytes: u64 = swarms.iter().map(|one| one.bytes()).sum();
        let (last, at) = self.state.last_bytes;
        let elapsed = now.since(at).as_secs_f64();
        if elapsed >= 1.0 {
            self.state.rate = (bytes.saturating_sub(last) as f64 / elapsed) as u64;
            self.state.last_bytes = (bytes, now);
        }
        let admission = self.admission.lock();
        let (serving, in_progress, healthy) =
            (admission.gate.serving(), admission.in_progress, admission.healthy);
        drop(admission);
        let rate = self.state.rate;
        self.node.update_record(false, |record| {
            if let Some(state) = record.endpoint.as_mut() {
                state.serving = serving;
                state.fetching = fetching.filter(|set| Some(*set) != serving);
                state.fetched_permille = permille;
                state.fetch_rate = rate;
                state.in_progress = in_progress;
                state.healthy = healthy;
            }
        });
    }
}

fn log_gate(before: Option<SetKey>, after: Option<SetKey>) {
    match (before, after) {
        (_, Some(set)) => log::info!("gate: open for set {set}"),
        (Some(set), None) => log::warn!("gate: closed, the engine no longer confirms set {set}"),
        (None, None) => {}
    }
}

/// Key, failure domain and region of a node as a transfer peer.
fn peer_location(record: &NodeRecord) -> PeerLocation {
    let region = headlatch_types::digest::key_of(record.region.as_str().as_bytes());
    PeerLocation { key: peer_key(&record.id), domain: record.domain.key(), region }
}
