//! Brings in the weights that this box is to serve, and has the engine load them.

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
    desk::EndpointDesk,
    engine::{EngineControl, LoadOrder, OrderOutcome},
    fetch::{
        ChunkReader, FolderReader, OutsideFetcher, OutsideSource, escape_path, manifest_from_peer,
    },
    hub::SwarmHub,
    notes::ChannelCarrier,
    swarm::{self, DriverInput, SwarmTools, peer_key},
    vault::ChunkVault,
};
use crate::node::NodeContext;

/// How often the loader looks at the whole picture.
const LOOK_PAUSE: Duration = Duration::from_millis(250);

/// How often the engine is asked for its state.
const ENGINE_PAUSE: Duration = Duration::from_millis(250);

/// Time in which a new agent only listens, so that it does not act on a list of nobody.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Peers asked for a manifest before the origin is.
const MANIFEST_PEERS: usize = 3;

/// Boxes that read a manifest from the origin at once; the others ask them first.
const MANIFEST_READERS: usize = 2;

/// How long a box asks others for a manifest before it reads the origin itself.
const MANIFEST_PATIENCE: Duration = Duration::from_secs(3);

/// Everything an agent of an engine needs to bring in and load weights.
pub struct WeightLoader {
    pub(super) settings: AgentSettings,
    pub(super) node: Arc<NodeContext>,
    pub(super) desk: Arc<EndpointDesk>,
    pub(super) hub: Arc<SwarmHub>,
    pub(super) vault: Arc<ChunkVault>,
    pub(super) engine: Arc<dyn EngineControl>,
    pub(super) fetcher: OutsideFetcher,
    /// Where the engine reads files from.
    pub(super) weights_url: String,
    pub(super) state: LoaderState,
}

/// What the loader remembers from look to look.
#[derive(Debug, Default)]
pub struct LoaderState {
    engine_due: Moment,
    report: Option<EngineReport>,
    /// When the search for a manifest began.
    wanted_since: BTreeMap<Digest, Moment>,
    last_bytes: (u64, Moment),
    rate: u64,
}

/// What this box is to run, in the picture of one look.
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
    /// Runs until the stop.
    pub async fn run(mut self, mut signal: StopSignal) {
        let mut ticks = self.node.timer.subscribe(LOOK_PAUSE);
        let mut changes = self.node.watch_config();
        loop {
            tokio::select! {
                tick = ticks.next() => if tick.is_none() { return },
                changed = changes.changed() => if changed.is_err() { return },
                () = signal.stopped() => return,
            }
            self.look().await;
        }
    }

    async fn look(&mut self) {
        let now = self.node.now();
        if now >= self.state.engine_due {
            self.state.engine_due = now + ENGINE_PAUSE;
            self.ask_engine().await;
        }
        if now.since(Moment::ZERO) < SETTLE_TIME {
            return;
        }
        let goal = self.goal(now);
        self.aim(&goal);
        self.bring_in(now, &goal).await;
        self.change(now, &goal).await;
        self.publish(now, &goal);
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

    fn aim(&self, goal: &LoadGoal) {
        let target = goal.model().map(|model| TargetSet {
            key: model.set_key(),
            parts: model.parts().iter().map(|part| part.manifest).collect(),
        });
        // A box that is to run nothing goes on serving what it has until it is given something
        // else: the others may not have taken over yet.
        if target.is_some() {
            self.desk.lock().gate.set_target(target);
        }
    }

    /// Starts transfers that are missing, tells all who takes part, and ends those not wanted.
    async fn bring_in(&mut self, now: Moment, goal: &LoadGoal) {
        let Some(model) = goal.model().cloned() else { return };
        let parts = model.parts();
        for part in &parts {
            let seats = self.seats(goal, &part.manifest);
            if self.hub.get(&part.manifest).is_none() {
                self.start_swarm(now, goal, part, &seats).await;
            }
            let Some(handle) = self.hub.get(&part.manifest) else { continue };
            handle.tell(DriverInput::Seats(seats));
            if handle.is_complete() {
                self.desk.lock().gate.mark_verified(part.manifest);
            }
        }
        let wanted = |digest: &Digest| parts.iter().any(|part| part.manifest == *digest);
        if parts.iter().all(|part| self.hub.get(&part.manifest).is_some()) {
            self.hub.retain(wanted);
        }
    }

    /// The boxes whose sets have this manifest, with their addresses.
    fn seats(&self, goal: &LoadGoal, manifest: &Digest) -> Vec<(PeerLocation, SocketAddr)> {
        let takes_part = |id: &BoxId| {
            let placed =
                goal.placement.get(id).and_then(|one| goal.config.plan.models.get(one.model));
            placed.is_some_and(|model| model.parts().iter().any(|part| part.manifest == *manifest))
        };
        let boxes = goal.boxes.iter().filter(|record| takes_part(&record.id));
        boxes.map(|record| (seat_of(record), record.control)).collect()
    }

    async fn start_swarm(
        &mut self,
        now: Moment,
        goal: &LoadGoal,
        part: &WeightPart,
        seats: &[(PeerLocation, SocketAddr)],
    ) {
        let since = *self.state.wanted_since.entry(part.manifest).or_insert(now);
        let Some((text, manifest)) = self.find_manifest(now, since, part, seats).await else {
            return;
        };
        if manifest.total() > self.vault.limit() {
            log::error!(
                "burst: {} takes {}, more than chunk_memory; raise it in the settings",
                part.location,
                manifest.total()
            );
            return;
        }
        if self.vault.used().bytes() + manifest.total().bytes() > self.vault.limit().bytes() {
            // Both versions do not fit: the old one is loaded already and only others miss it.
            self.hub.retain(|_| false);
        }
        self.state.wanted_since.remove(&part.manifest);
        log::info!("burst: bringing in {}, {}", part.location, manifest.total());
        let settings = self.swarm_settings(&manifest, goal);
        let tools = self.tools(part);
        let me = seat_of(self.node.table().own());
        self.hub.add(swarm::start(
            tools,
            part.location.clone(),
            (text, Arc::new(manifest)),
            settings,
            me,
        ));
    }

    fn tools(&self, part: &WeightPart) -> SwarmTools {
        let reader = |source: OutsideSource| -> Arc<dyn ChunkReader> {
            Arc::new(FolderReader { fetcher: self.fetcher.clone(), source })
        };
        let [origin, store] = self.sources(part);
        SwarmTools {
            node: self.node.clone(),
            vault: self.vault.clone(),
            down: self.fetcher.down(),
            carrier: Arc::new(ChannelCarrier(self.node.clone())),
            origin: origin.map(reader),
            store: store.map(reader),
        }
    }

    /// Origin and store of a part, where they are.
    fn sources(&self, part: &WeightPart) -> [Option<OutsideSource>; 2] {
        let location = &part.location;
        [&self.settings.origin, &self.settings.store]
            .map(|url| url.clone().map(|url| OutsideSource { url, location: location.clone() }))
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
        seats: &[(PeerLocation, SocketAddr)],
    ) -> Option<(Bytes, Manifest)> {
        let own = peer_key(&self.node.settings.box_id);
        let ranked = ranking(part.manifest.key(), seats.iter().map(|(seat, _)| seat.key.0));
        let reader = ranked.iter().take(MANIFEST_READERS).any(|key| *key == own.0);
        let address = |key: &u64| {
            seats.iter().find(|(seat, _)| seat.key.0 == *key).map(|(_, address)| *address)
        };
        for key in ranked.iter().filter(|key| **key != own.0).take(MANIFEST_PEERS) {
            let Some(address) = address(key) else { continue };
            let asked = manifest_from_peer(&self.node.channels, address, part.manifest);
            if let Some(found) = asked.await {
                return Some(found);
            }
        }
        if !reader && now.since(since) < MANIFEST_PATIENCE {
            return None;
        }
        for source in self.sources(part).into_iter().flatten() {
            match self.fetcher.manifest(&source, part.manifest).await {
                Ok(found) => return Some(found),
                Err(failure) => log::warn!(
                    "burst: no manifest of {} from {}, {failure:?}",
                    part.location,
                    source.url
                ),
            }
        }
        None
    }

    async fn ask_engine(&mut self) {
        match self.engine.report().await {
            Ok(report) => {
                self.state.report = Some(report);
                let mut desk = self.desk.lock();
                let before = desk.gate.serving();
                desk.gate.handle_report(report);
                desk.healthy = true;
                let after = desk.gate.serving();
                drop(desk);
                if before != after {
                    log_gate(before, after);
                    self.publish_serving(after);
                }
            }
            Err(error) => {
                if self.state.report.take().is_some() {
                    log::error!("gate: closed, {error}");
                }
                let mut desk = self.desk.lock();
                desk.gate.handle_engine_loss();
                desk.healthy = false;
            }
        }
    }

    /// Has the engine load the wanted set once it is whole, its turn has come, and nothing runs.
    async fn change(&mut self, now: Moment, goal: &LoadGoal) {
        let (Some(model), Some(report)) = (goal.model(), self.state.report) else { return };
        let turn = self.has_turn(now, goal, model);
        let order = {
            let mut desk = self.desk.lock();
            if !matches!(desk.gate.next_step(), GateStep::Ready(_)) {
                return;
            }
            if desk.gate.serving().is_some() {
                if !turn {
                    return;
                }
                log::info!("gate: closed to change to {}@{}", model.name, model.version);
                desk.gate.stop_serving();
                self.publish_serving(None);
            }
            if desk.in_progress > 0 {
                return;
            }
            let order = desk.gate.issue_order(report);
            desk.names = model.caller_names();
            order
        };
        let Some((set, token)) = order else { return };
        log::info!("gate: ordering {}@{} with token {token}", model.name, model.version);
        let order = LoadOrder { token, set, files: self.file_urls(model) };
        match self.engine.load(order).await {
            Ok(OrderOutcome::Taken) => {}
            Ok(OrderOutcome::Fenced) => {
                log::warn!("gate: the engine has had a later order than token {token}");
                self.desk.lock().gate.cancel_order();
            }
            // Whether it came will show in the engine's report.
            Err(error) => log::warn!("gate: {error}"),
        }
    }

    fn file_urls(&self, model: &ModelPlan) -> Vec<String> {
        let swarms = model.parts().into_iter().filter_map(|part| self.hub.get(&part.manifest));
        let base = &self.weights_url;
        let urls = swarms.flat_map(|handle| {
            let digest = handle.manifest.digest();
            let files = handle.manifest.files().iter();
            let url = |path: &str| format!("{base}/weights/{digest}/{}", escape_path(path));
            files.map(|file| url(&file.path)).collect::<Vec<_>>()
        });
        urls.collect()
    }

    fn has_turn(&self, now: Moment, goal: &LoadGoal, model: &ModelPlan) -> bool {
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

    /// Lets others know at once what serves here.
    fn publish_serving(&self, serving: Option<SetKey>) {
        self.node.update_record(true, |record| {
            if let Some(state) = record.endpoint.as_mut() {
                state.serving = serving;
            }
        });
    }

    /// Lets others know how far this box is.
    fn publish(&mut self, now: Moment, goal: &LoadGoal) {
        let fetching: Option<SetKey> = goal.model().map(ModelPlan::set_key);
        let swarms = self.hub.all();
        let chunks: u64 = swarms.iter().map(|one| one.manifest.chunks().len() as u64).sum();
        let held: u64 = swarms.iter().map(|one| one.held()).sum();
        let permille = (held * 1000).checked_div(chunks).unwrap_or(0) as u32;
        let bytes: u64 = swarms.iter().map(|one| one.bytes()).sum();
        let (last, at) = self.state.last_bytes;
        let rest = now.since(at).as_secs_f64();
        if rest >= 1.0 {
            self.state.rate = (bytes.saturating_sub(last) as f64 / rest) as u64;
            self.state.last_bytes = (bytes, now);
        }
        let desk = self.desk.lock();
        let (serving, in_progress, healthy) = (desk.gate.serving(), desk.in_progress, desk.healthy);
        drop(desk);
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

/// The place of a node in a transfer.
fn seat_of(record: &NodeRecord) -> PeerLocation {
    let region = headlatch_types::digest::key_of(record.region.as_str().as_bytes());
    PeerLocation { key: peer_key(&record.id), domain: record.domain.key(), region }
}
