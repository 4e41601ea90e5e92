//! Golden test of a complete session: apply, burst, requests, version switch and drain.
//!
//! The session has four boxes in two failure domains and six chunks. Every message is delivered
//! immediately and in order, so that the decisions can be read from top to bottom.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt::Write as _,
    time::Duration,
};

use headlatch_core::{
    apply::{ApplyEvent, ApplyOutcome, ApplyStep, FleetApply},
    burst::{
        ChunkSet, ChunkSource, PeerKey, PeerLocation, SwarmAction, SwarmEvent, SwarmPlanner,
        SwarmSettings,
    },
    config::{ConfigHolder, FleetObject},
    gate::{EngineReport, GateStep, TargetSet, WeightGate},
    keys::{IdempotencyKeys, KeyClaim},
    placement::{EngineBox, Placement, place},
    rollover::{ReplicaView, may_switch},
    routing::{Candidate, EndpointPicker},
    time::Moment,
};
use headlatch_types::{
    ChunkIndex, Digest, FleetPlan, RunVerdict,
    fleet::{BurstPreference, SetKey},
    id::{ApplyId, BoxId},
    quantity::{ConfigRevision, FencingToken},
    verdict::{Repeatability, RetryPermit},
};
use rand::{SeedableRng, rngs::SmallRng};
use serde_json::json;

const CHUNKS: u32 = 6;
const BOXES: [(&str, &str); 4] =
    [("north-1", "north"), ("north-2", "north"), ("south-1", "south"), ("south-2", "south")];

/// Box with its gate and the state of its engine.
struct SimulatedBox {
    id: BoxId,
    domain: &'static str,
    gate: WeightGate,
    engine: EngineReport,
}

struct Session {
    log: String,
    now: Moment,
    config: ConfigHolder,
    boxes: Vec<SimulatedBox>,
    version: u64,
    writer: Option<ApplyId>,
}

impl Session {
    fn new() -> Self {
        let new_box = |(id, domain): &(&str, &'static str)| SimulatedBox {
            id: id.parse().unwrap(),
            domain,
            gate: WeightGate::closed(),
            engine: EngineReport { token: FencingToken::new(0), loaded: None, loading: false },
        };
        Self {
            log: String::new(),
            now: Moment::ZERO,
            config: ConfigHolder::default(),
            boxes: BOXES.iter().map(new_box).collect(),
            version: 0,
            writer: None,
        }
    }

    fn log_line(&mut self, line: &str) {
        writeln!(self.log, "{line}").unwrap();
    }

    fn name(&self, key: PeerKey) -> String {
        let found = self.boxes.iter().find(|one| one.id.key() == key.0);
        found.map_or_else(|| "nobody".to_owned(), |one| one.id.to_string())
    }

    fn plan(&self) -> FleetPlan {
        self.config.current().plan.clone()
    }

    fn placement(&self) -> Placement {
        let engine = |one: &SimulatedBox| EngineBox {
            id: one.id.clone(),
            domain: one.domain.parse().unwrap(),
        };
        place(&self.plan(), &self.boxes.iter().map(engine).collect::<Vec<_>>())
    }

    /// Applies a fleet file based on revision `based_on`; `response_lost` drops the response to the
    /// write.
    fn apply(&mut self, operator: &str, fleet: &str, based_on: Option<u64>, response_lost: bool) {
        self.log_line(&format!("\n# {operator} applies a file"));
        let id: ApplyId = operator.parse().unwrap();
        let mut apply = FleetApply::new(id.clone(), based_on.map(ConfigRevision::new));
        let mut step = apply.start();
        loop {
            self.log_line(&format!("  {step:?}"));
            let event = match &step {
                ApplyStep::Done(outcome) => {
                    if let ApplyOutcome::Applied(revision) = outcome {
                        let object =
                            FleetObject { apply_id: id.to_string(), fleet: fleet.to_owned() };
                        let text = serde_json::to_string(&object).unwrap();
                        let taken = self.config.offer(*revision, &text);
                        self.log_line(&format!("  in force: revision {revision}, {taken:?}"));
                    }
                    return;
                }
                ApplyStep::Read => ApplyEvent::Read(
                    self.writer.clone().map(|id| (ConfigRevision::new(self.version), id)),
                ),
                ApplyStep::Write(based_on) if based_on.number() == self.version => {
                    self.version += 1;
                    self.writer = Some(id.clone());
                    let written = ApplyEvent::Written(ConfigRevision::new(self.version));
                    if response_lost { ApplyEvent::WriteUnknown } else { written }
                }
                ApplyStep::Write(_) => ApplyEvent::WriteConflict,
            };
            step = apply.handle(event);
        }
    }

    /// Distributes the target version; every box starts with the chunks in `initially_held`.
    fn burst(&mut self, initially_held: &[u32]) {
        self.log_line("\n# burst");
        let peers: Vec<PeerLocation> = self.boxes.iter().map(location).collect();
        let mut planners: BTreeMap<PeerKey, SwarmPlanner> = BTreeMap::new();
        let mut queue: VecDeque<(PeerKey, SwarmEvent)> = VecDeque::new();
        for location in &peers {
            let mut settings =
                SwarmSettings::new(CHUNKS, Duration::from_millis(20), Duration::from_millis(10));
            settings.prefer = BurstPreference::OriginBytes;
            let mut held = ChunkSet::new(CHUNKS);
            initially_held.iter().for_each(|chunk| {
                held.insert(ChunkIndex(*chunk));
            });
            planners
                .insert(location.key, SwarmPlanner::begin(settings, 1, *location, held, self.now));
            queue.push_back((location.key, SwarmEvent::Peers(peers.clone())));
        }
        for _ in 0..100 {
            while let Some((to, event)) = queue.pop_front() {
                let actions = planners.get_mut(&to).unwrap().handle(self.now, event);
                for action in actions {
                    self.apply_action(to, action, &planners, &mut queue);
                }
            }
            if planners.values().all(SwarmPlanner::is_complete) {
                return;
            }
            self.now = self.now + Duration::from_millis(200);
            queue.extend(peers.iter().map(|location| (location.key, SwarmEvent::Tick)));
        }
        self.log_line("  the burst did not end");
    }

    fn apply_action(
        &mut self,
        local: PeerKey,
        action: SwarmAction,
        planners: &BTreeMap<PeerKey, SwarmPlanner>,
        queue: &mut VecDeque<(PeerKey, SwarmEvent)>,
    ) {
        let own = ChunkSource::Peer(local);
        match action {
            SwarmAction::Fetch { chunk, source: ChunkSource::Peer(from) } => {
                let held = planners[&local].progress().held;
                queue.push_back((from, SwarmEvent::Requested { from: local, chunk, held }));
            }
            SwarmAction::Fetch { chunk, source } => {
                self.log_line(&format!(
                    "  {} draws chunk {chunk} from {source:?}",
                    self.name(local)
                ));
                queue.push_back((local, SwarmEvent::Verified { chunk, source }));
            }
            SwarmAction::Grant { to, chunk } => {
                queue.push_back((to, SwarmEvent::Granted { chunk, source: own }));
            }
            SwarmAction::AcceptGrant { chunk, source } => {
                if let ChunkSource::Peer(from) = source {
                    self.log_line(&format!(
                        "  {} gets chunk {chunk} from {}",
                        self.name(local),
                        self.name(from)
                    ));
                    queue.push_back((from, SwarmEvent::Sent { to: local, chunk }));
                }
                queue.push_back((local, SwarmEvent::Verified { chunk, source }));
            }
            SwarmAction::DeferGrant { chunk, source: ChunkSource::Peer(from) } => {
                queue.push_back((from, SwarmEvent::GrantDeferred { from: local, chunk }));
            }
            SwarmAction::ResumeGrant { chunk, source: ChunkSource::Peer(from) } => {
                queue.push_back((from, SwarmEvent::GrantResumed { from: local, chunk }));
            }
            SwarmAction::Refuse { to, chunk, failure } => {
                queue.push_back((to, SwarmEvent::Failed { chunk, source: own, failure }));
            }
            SwarmAction::SendNote { to, note } => {
                let status = planners[&local].status();
                queue.push_back((to, SwarmEvent::Note { from: local, note, status }));
            }
            SwarmAction::Cancel { chunk, source: ChunkSource::Peer(from) } => {
                queue.push_back((from, SwarmEvent::RequestCancelled { from: local, chunk }));
            }
            SwarmAction::Complete => self.log_line(&format!("  {} is whole", self.name(local))),
            _ => {}
        }
    }

    /// Switches all boxes to the target set in rollover order.
    fn switch_version(&mut self) {
        self.log_line("\n# gates");
        let plan = self.plan();
        let (placement, model) = (self.placement(), &plan.models[0]);
        let parts = model.parts().iter().map(|part| part.manifest).collect();
        let target = TargetSet { key: model.set_key(), parts };
        for _ in 0..20 {
            for index in 0..self.boxes.len() {
                let views = self.views(index, &placement, target.key);
                let min_serving = model.min_serving(&self.boxes[index].domain.parse().unwrap());
                let rank = placement[&self.boxes[index].id].rank;
                let in_turn = may_switch(rank, 1 + views.len() as u32, min_serving, &views);
                self.advance_box(index, &target, in_turn);
            }
        }
    }

    fn views(&self, index: usize, placement: &Placement, target: SetKey) -> Vec<ReplicaView> {
        let others = self.boxes.iter().filter(|other| {
            other.domain == self.boxes[index].domain && other.id != self.boxes[index].id
        });
        others
            .map(|other| ReplicaView {
                rank: placement[&other.id].rank,
                serves_target: other.gate.serving() == Some(target),
                serves: other.gate.serving().is_some(),
            })
            .collect()
    }

    fn advance_box(&mut self, index: usize, target: &TargetSet, in_turn: bool) {
        let one = &mut self.boxes[index];
        let id = one.id.clone();
        one.gate.set_target(Some(target.clone()));
        target.parts.iter().for_each(|part| one.gate.mark_verified(*part));
        let mut lines = Vec::new();
        if matches!(one.gate.next_step(), GateStep::Ready(_)) {
            if one.gate.serving().is_some() && in_turn {
                one.gate.stop_serving();
                lines.push(format!("  {id} closes to change"));
            } else if let Some((set, token)) = one.gate.issue_order(one.engine) {
                one.engine = EngineReport { token, loaded: Some(set), loading: false };
                lines.push(format!("  {id} orders with token {token}"));
            }
        }
        let before = one.gate.serving();
        one.gate.handle_report(one.engine);
        if before.is_none() && one.gate.serving().is_some() {
            lines.push(format!("  {id} serves"));
        }
        lines.iter().for_each(|line| self.log_line(line));
    }

    /// Sends repeatable requests, a request that its endpoint refuses, and a request that is sent
    /// twice with the same idempotency key.
    fn requests(&mut self) {
        self.log_line("\n# requests");
        let mut picker = EndpointPicker::new("north".parse().unwrap(), SmallRng::seed_from_u64(3));
        let candidate = |one: &SimulatedBox| Candidate {
            id: one.id.clone(),
            domain: one.domain.parse().unwrap(),
            slots: 2,
            reported: 0,
        };
        let candidates: Vec<Candidate> = self.boxes.iter().map(candidate).collect();
        for nth in 1..=4 {
            let id = picker.pick(self.now, &candidates, &[], None).unwrap();
            picker.start_request(&id);
            self.log_line(&format!("  request {nth} runs at {id}: {}", RunVerdict::Ran));
        }
        let refused = picker.pick(self.now, &candidates, &[], None).unwrap();
        let permit = RetryPermit::after(RunVerdict::NotRun, Repeatability::Once);
        let next =
            picker.pick(self.now, &candidates, std::slice::from_ref(&refused), None).unwrap();
        self.log_line(&format!(
            "  request 5 is refused at {refused}, {permit:?}, and runs at {next}"
        ));
        let may_have_run = RetryPermit::after(RunVerdict::MayHaveRun, Repeatability::Once);
        self.log_line(&format!(
            "  a notice whose answer is lost may be sent again: {may_have_run:?}"
        ));
        let mut keys = IdempotencyKeys::default();
        let first = keys.claim(self.now, "notice-1");
        keys.mark_spent("notice-1");
        let second = keys.claim(self.now, "notice-1");
        assert_eq!((first, second), (KeyClaim::Fresh, KeyClaim::Spent));
        self.log_line(&format!("  the same key twice: {first:?}, then {second:?}"));
    }

    /// Removes one box; the placement no longer contains it.
    fn drain(&mut self) {
        self.log_line("\n# drain");
        let drained = self.boxes.remove(0);
        self.log_line(&format!("  {} leaves", drained.id));
        let placement = self.placement();
        let lines: Vec<String> = placement
            .iter()
            .map(|(id, one)| format!("  {id} is replica {} of model {}", one.rank, one.model))
            .collect();
        lines.iter().for_each(|line| self.log_line(line));
    }
}

fn location(one: &SimulatedBox) -> PeerLocation {
    let domain = headlatch_types::digest::key_of(one.domain.as_bytes());
    PeerLocation { key: PeerKey(one.id.key()), domain, region: domain }
}

fn fleet(version: &str) -> String {
    json!({
        "models": [{
            "name": "demo",
            "version": version,
            "manifest": Digest::of(version.as_bytes()),
            "replicas": { "north": 2, "south": 2 },
        }],
    })
    .to_string()
}

fn run() -> String {
    let mut session = Session::new();
    session.apply("alice", &fleet("1"), None, true);
    session.apply("bob", &fleet("0"), Some(0), false);
    session.burst(&[]);
    session.switch_version();
    session.requests();
    session.apply("bob", &fleet("2"), Some(1), false);
    session.burst(&[0, 1, 2]);
    session.switch_version();
    session.drain();
    session.log
}

#[test]
fn golden_session_matches_snapshot() {
    insta::assert_snapshot!(run());
}

#[test]
fn session_is_deterministic() {
    assert_eq!(run(), run());
}
