//! A whole session as a golden file: apply, burst, requests, change of version, drain.
//!
//! Four boxes in two domains and six chunks; every note arrives at once and in order, so that the
//! decisions can be read from top to bottom.

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
    keys::{KeyAnswer, KeyLedger},
    placement::{EngineBox, Placement, place},
    rollover::{ReplicaView, may_change},
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

/// One box: its gate, its engine's state, and what it holds of each version.
struct SessionBox {
    id: BoxId,
    domain: &'static str,
    gate: WeightGate,
    engine: EngineReport,
}

struct Session {
    log: String,
    now: Moment,
    holder: ConfigHolder,
    boxes: Vec<SessionBox>,
    version: u64,
    writer: Option<ApplyId>,
}

impl Session {
    fn new() -> Self {
        let fresh = |(id, domain): &(&str, &'static str)| SessionBox {
            id: id.parse().unwrap(),
            domain,
            gate: WeightGate::closed(),
            engine: EngineReport { token: FencingToken::new(0), loaded: None, loading: false },
        };
        Self {
            log: String::new(),
            now: Moment::ZERO,
            holder: ConfigHolder::default(),
            boxes: BOXES.iter().map(fresh).collect(),
            version: 0,
            writer: None,
        }
    }

    fn say(&mut self, line: &str) {
        writeln!(self.log, "{line}").unwrap();
    }

    fn name(&self, key: PeerKey) -> String {
        let found = self.boxes.iter().find(|one| one.id.key() == key.0);
        found.map_or_else(|| "nobody".to_owned(), |one| one.id.to_string())
    }

    fn plan(&self) -> FleetPlan {
        self.holder.current().plan.clone()
    }

    fn placement(&self) -> Placement {
        let engine = |one: &SessionBox| EngineBox {
            id: one.id.clone(),
            domain: one.domain.parse().unwrap(),
        };
        place(&self.plan(), &self.boxes.iter().map(engine).collect::<Vec<_>>())
    }

    /// An operator applies a file; `lost` loses the answer to the write, `on` is what it is based on.
    fn apply(&mut self, operator: &str, fleet: &str, on: Option<u64>, lost: bool) {
        self.say(&format!("\n# {operator} applies a file"));
        let id: ApplyId = operator.parse().unwrap();
        let mut apply = FleetApply::new(id.clone(), on.map(ConfigRevision::new));
        let mut step = apply.begin();
        loop {
            self.say(&format!("  {step:?}"));
            let event = match &step {
                ApplyStep::Done(outcome) => {
                    if let ApplyOutcome::Applied(revision) = outcome {
                        let object =
                            FleetObject { apply_id: id.to_string(), fleet: fleet.to_owned() };
                        let text = serde_json::to_string(&object).unwrap();
                        let taken = self.holder.offer(*revision, &text);
                        self.say(&format!("  in force: revision {revision}, {taken:?}"));
                    }
                    return;
                }
                ApplyStep::Read => ApplyEvent::Read(
                    self.writer.clone().map(|id| (ConfigRevision::new(self.version), id)),
                ),
                ApplyStep::Write(on) if on.number() == self.version => {
                    self.version += 1;
                    self.writer = Some(id.clone());
                    let written = ApplyEvent::Written(ConfigRevision::new(self.version));
                    if lost { ApplyEvent::Unclear } else { written }
                }
                ApplyStep::Write(_) => ApplyEvent::Refused,
            };
            step = apply.handle(event);
        }
    }

    /// Spreads the wanted version; chunks in `kept` are held by everybody already.
    fn burst(&mut self, kept: &[u32]) {
        self.say("\n# burst");
        let seats: Vec<PeerLocation> = self.boxes.iter().map(seat).collect();
        let mut planners: BTreeMap<PeerKey, SwarmPlanner> = BTreeMap::new();
        let mut queue: VecDeque<(PeerKey, SwarmEvent)> = VecDeque::new();
        for seat in &seats {
            let mut settings =
                SwarmSettings::new(CHUNKS, Duration::from_millis(20), Duration::from_millis(10));
            settings.prefer = BurstPreference::OriginBytes;
            let mut held = ChunkSet::new(CHUNKS);
            kept.iter().for_each(|chunk| {
                held.insert(ChunkIndex(*chunk));
            });
            planners.insert(seat.key, SwarmPlanner::begin(settings, 1, *seat, held, self.now));
            queue.push_back((seat.key, SwarmEvent::Peers(seats.clone())));
        }
        for _ in 0..100 {
            while let Some((to, event)) = queue.pop_front() {
                let actions = planners.get_mut(&to).unwrap().handle(self.now, event);
                for action in actions {
                    self.act(to, action, &planners, &mut queue);
                }
            }
            if planners.values().all(SwarmPlanner::is_complete) {
                return;
            }
            self.now = self.now + Duration::from_millis(200);
            queue.extend(seats.iter().map(|seat| (seat.key, SwarmEvent::Tick)));
        }
        self.say("  the burst did not end");
    }

    fn act(
        &mut self,
        me: PeerKey,
        action: SwarmAction,
        planners: &BTreeMap<PeerKey, SwarmPlanner>,
        queue: &mut VecDeque<(PeerKey, SwarmEvent)>,
    ) {
        let own = ChunkSource::Peer(me);
        match action {
            SwarmAction::Fetch { chunk, source: ChunkSource::Peer(from) } => {
                let held = planners[&me].progress().held;
                queue.push_back((from, SwarmEvent::Requested { from: me, chunk, held }));
            }
            SwarmAction::Fetch { chunk, source } => {
                self.say(&format!("  {} draws chunk {chunk} from {source:?}", self.name(me)));
                queue.push_back((me, SwarmEvent::Verified { chunk, source }));
            }
            SwarmAction::Grant { to, chunk } => {
                queue.push_back((to, SwarmEvent::Granted { chunk, source: own }));
            }
            SwarmAction::AcceptGrant { chunk, source } => {
                if let ChunkSource::Peer(from) = source {
                    self.say(&format!(
                        "  {} gets chunk {chunk} from {}",
                        self.name(me),
                        self.name(from)
                    ));
                    queue.push_back((from, SwarmEvent::Sent { to: me, chunk }));
                }
                queue.push_back((me, SwarmEvent::Verified { chunk, source }));
            }
            SwarmAction::DeferGrant { chunk, source: ChunkSource::Peer(from) } => {
                queue.push_back((from, SwarmEvent::GrantDeferred { from: me, chunk }));
            }
            SwarmAction::ResumeGrant { chunk, source: ChunkSource::Peer(from) } => {
                queue.push_back((from, SwarmEvent::GrantResumed { from: me, chunk }));
            }
            SwarmAction::Refuse { to, chunk, failure } => {
                queue.push_back((to, SwarmEvent::Failed { chunk, source: own, failure }));
            }
            SwarmAction::SendNote { to, note } => {
                let pulse = planners[&me].status();
                queue.push_back((to, SwarmEvent::Note { from: me, note, status: pulse }));
            }
            SwarmAction::Cancel { chunk, source: ChunkSource::Peer(from) } => {
                queue.push_back((from, SwarmEvent::RequestCancelled { from: me, chunk }));
            }
            SwarmAction::Complete => self.say(&format!("  {} is whole", self.name(me))),
            _ => {}
        }
    }

    /// Lets boxes change to the wanted set, each in its turn, until none is left.
    fn change(&mut self) {
        self.say("\n# gates");
        let plan = self.plan();
        let (placement, model) = (self.placement(), &plan.models[0]);
        let parts = model.parts().iter().map(|part| part.manifest).collect();
        let target = TargetSet { key: model.set_key(), parts };
        for _ in 0..20 {
            for at in 0..self.boxes.len() {
                let views = self.views(at, &placement, target.key);
                let kept = model.kept_in(&self.boxes[at].domain.parse().unwrap());
                let rank = placement[&self.boxes[at].id].rank;
                let turn = may_change(rank, 1 + views.len() as u32, kept, &views);
                self.change_one(at, &target, turn);
            }
        }
    }

    fn views(&self, at: usize, placement: &Placement, wanted: SetKey) -> Vec<ReplicaView> {
        let others = self
            .boxes
            .iter()
            .filter(|other| other.domain == self.boxes[at].domain && other.id != self.boxes[at].id);
        others
            .map(|other| ReplicaView {
                rank: placement[&other.id].rank,
                serves_wanted: other.gate.serving() == Some(wanted),
                serves: other.gate.serving().is_some(),
            })
            .collect()
    }

    fn change_one(&mut self, at: usize, target: &TargetSet, turn: bool) {
        let one = &mut self.boxes[at];
        let id = one.id.clone();
        one.gate.aim(Some(target.clone()));
        target.parts.iter().for_each(|part| one.gate.verify(*part));
        let mut lines = Vec::new();
        if matches!(one.gate.step(), GateStep::Ready(_)) {
            if one.gate.serving().is_some() && turn {
                one.gate.close();
                lines.push(format!("  {id} closes to change"));
            } else if let Some((set, token)) = one.gate.order(one.engine) {
                one.engine = EngineReport { token, loaded: Some(set), loading: false };
                lines.push(format!("  {id} orders with token {token}"));
            }
        }
        let before = one.gate.serving();
        one.gate.observe(one.engine);
        if before.is_none() && one.gate.serving().is_some() {
            lines.push(format!("  {id} serves"));
        }
        lines.iter().for_each(|line| self.say(line));
    }

    /// Sends requests: repeatable ones, one whose endpoint refuses, one with a key sent twice.
    fn requests(&mut self) {
        self.say("\n# requests");
        let mut picker = EndpointPicker::new("north".parse().unwrap(), SmallRng::seed_from_u64(3));
        let candidate = |one: &SessionBox| Candidate {
            id: one.id.clone(),
            domain: one.domain.parse().unwrap(),
            slots: 2,
            reported: 0,
        };
        let candidates: Vec<Candidate> = self.boxes.iter().map(candidate).collect();
        for nth in 1..=4 {
            let id = picker.pick(self.now, &candidates, &[], None).unwrap();
            picker.begin(&id);
            self.say(&format!("  request {nth} runs at {id}: {}", RunVerdict::Ran));
        }
        let refused = picker.pick(self.now, &candidates, &[], None).unwrap();
        let permit = RetryPermit::after(RunVerdict::NotRun, Repeatability::Once);
        let next =
            picker.pick(self.now, &candidates, std::slice::from_ref(&refused), None).unwrap();
        self.say(&format!("  request 5 is refused at {refused}, {permit:?}, and runs at {next}"));
        let lost = RetryPermit::after(RunVerdict::MayHaveRun, Repeatability::Once);
        self.say(&format!("  a notice whose answer is lost may be sent again: {lost:?}"));
        let mut ledger = KeyLedger::default();
        let first = ledger.take(self.now, "notice-1");
        ledger.spend("notice-1");
        let second = ledger.take(self.now, "notice-1");
        assert_eq!((first, second), (KeyAnswer::Fresh, KeyAnswer::Spent));
        self.say(&format!("  the same key twice: {first:?}, then {second:?}"));
    }

    /// One box leaves; it is chosen no more.
    fn drain(&mut self) {
        self.say("\n# drain");
        let gone = self.boxes.remove(0);
        self.say(&format!("  {} leaves", gone.id));
        let placement = self.placement();
        let lines: Vec<String> = placement
            .iter()
            .map(|(id, one)| format!("  {id} is replica {} of model {}", one.rank, one.model))
            .collect();
        lines.iter().for_each(|line| self.say(line));
    }
}

fn seat(one: &SessionBox) -> PeerLocation {
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
    session.change();
    session.requests();
    session.apply("bob", &fleet("2"), Some(1), false);
    session.burst(&[0, 1, 2]);
    session.change();
    session.drain();
    session.log
}

#[test]
fn a_session_reads_as_it_did() {
    insta::assert_snapshot!(run());
}

#[test]
fn a_session_is_the_same_every_time() {
    assert_eq!(run(), run());
}
