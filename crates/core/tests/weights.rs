//! The gate, placement and changes of version: nothing partial or mixed serves.

use std::collections::{BTreeMap, BTreeSet};

use headlatch_core::{
    config::{ConfigHolder, FleetObject, OfferOutcome},
    gate::{EngineReport, GateStep, TargetSet, WeightGate},
    placement::{EngineBox, place},
    rollover::{ReplicaView, may_change},
};
use headlatch_types::{
    Digest, FleetPlan,
    fleet::SetKey,
    quantity::{ConfigRevision, FencingToken},
};
use proptest::prelude::*;
use serde_json::json;

fn target(key: u64, parts: &[&[u8]]) -> TargetSet {
    TargetSet { key: SetKey(key), parts: parts.iter().map(|part| Digest::of(part)).collect() }
}

fn report(token: u64, loaded: Option<u64>, loading: bool) -> EngineReport {
    EngineReport { token: FencingToken::new(token), loaded: loaded.map(SetKey), loading }
}

#[test]
fn a_gate_opens_only_for_the_whole_set_ordered_and_confirmed() {
    let mut gate = WeightGate::closed();
    gate.aim(Some(target(1, &[b"base", b"adapter"])));
    gate.verify(Digest::of(b"base"));
    assert_eq!(gate.step(), GateStep::Wait, "the adapter is missing");
    gate.verify(Digest::of(b"adapter"));
    assert_eq!(gate.step(), GateStep::Ready(SetKey(1)));
    gate.observe(report(9, Some(1), false));
    assert_eq!(gate.serving(), None, "nobody ordered what the engine has");
    let (_, token) = gate.order(report(9, None, false)).expect("it is ready");
    assert_eq!(token, FencingToken::new(10));
    gate.observe(report(10, None, true));
    assert_eq!(gate.serving(), None, "it is still loading");
    gate.observe(report(10, Some(1), false));
    assert_eq!(gate.serving(), Some(SetKey(1)));
}

#[test]
fn a_gate_closes_when_the_engine_names_another_order() {
    let mut gate = WeightGate::closed();
    gate.aim(Some(target(1, &[b"base"])));
    gate.verify(Digest::of(b"base"));
    gate.order(report(0, None, false)).expect("it is ready");
    gate.observe(report(1, Some(1), false));
    // Somebody else gave an order, though for the same set: what runs is no longer known.
    gate.observe(report(2, Some(1), false));
    assert_eq!(gate.serving(), None);
    let (_, token) = gate.order(report(2, Some(1), false)).expect("a new order may be given");
    assert_eq!(token, FencingToken::new(3), "tokens rise above every one seen");
}

#[test]
fn a_paused_holders_order_is_too_low_when_it_wakes() {
    let (mut sleeper, mut successor) = (WeightGate::closed(), WeightGate::closed());
    for gate in [&mut sleeper, &mut successor] {
        gate.aim(Some(target(1, &[b"base"])));
        gate.verify(Digest::of(b"base"));
    }
    let (_, old) = sleeper.order(report(4, None, false)).expect("it is ready");
    let (_, new) = successor.order(report(5, None, false)).expect("it is ready");
    assert!(new > old, "an engine that checks refuses the sleeper's order");
}

#[test]
fn the_old_set_serves_until_it_is_closed_and_a_lost_engine_serves_nothing() {
    let mut gate = WeightGate::closed();
    gate.aim(Some(target(1, &[b"one"])));
    gate.verify(Digest::of(b"one"));
    gate.order(report(0, None, false));
    gate.observe(report(1, Some(1), false));
    gate.aim(Some(target(2, &[b"two"])));
    assert_eq!(gate.serving(), Some(SetKey(1)));
    gate.verify(Digest::of(b"two"));
    assert_eq!(gate.order(report(1, Some(1), false)), None, "requests may still run on the old");
    gate.close();
    assert!(gate.order(report(1, Some(1), false)).is_some());
    gate.lose_engine();
    assert_eq!(gate.serving(), None);
}

fn fleet(models: &[(&str, u32)]) -> FleetPlan {
    let digest = Digest::of(b"weights").to_string();
    let rows: Vec<_> = models
        .iter()
        .map(|(name, count)| {
            json!({ "name": name, "version": "1", "manifest": digest, "replicas": { "a": count } })
        })
        .collect();
    FleetPlan::parse(&json!({ "models": rows }).to_string()).expect("it is good")
}

fn boxes(numbers: impl Iterator<Item = u32>) -> Vec<EngineBox> {
    numbers
        .map(|nth| EngineBox {
            id: format!("box-{nth}").parse().expect("it is a name"),
            domain: "a".parse().expect("it is a name"),
        })
        .collect()
}

proptest! {
    /// The loss of one box moves as few replicas as there are models after the one it ran.
    #[test]
    fn placement_moves_few_replicas(gone in 0u32..20, first in 1u32..10, second in 1u32..8) {
        let plan = fleet(&[("one", first), ("two", second)]);
        let before = place(&plan, &boxes(0..20));
        let after = place(&plan, &boxes((0..20).filter(|nth| *nth != gone)));
        let model = |placement: &headlatch_core::placement::Placement| -> BTreeMap<_, _> {
            placement.iter().map(|(id, one)| (id.clone(), one.model)).collect()
        };
        let (before, after) = (model(&before), model(&after));
        prop_assert_eq!(after.len() as u32, first + second);
        let moved = after.iter().filter(|(id, at)| before.get(*id) != Some(*at)).count();
        prop_assert!(moved <= 2, "{moved} replicas moved");
    }

    /// Replicas that see the others late never leave fewer serving than the file asks for.
    #[test]
    fn changes_of_version_keep_enough_serving(
        replicas in 1u32..10,
        spare in 1u32..5,
        steps in prop::collection::vec((0u32..10, any::<bool>()), 1..200),
    ) {
        let kept = replicas.saturating_sub(spare);
        // What each replica does, and what everybody believes of it, which may be older.
        let mut truth = vec![(false, true); replicas as usize];
        let mut seen = truth.clone();
        for (nth, news) in steps {
            let at = (nth % replicas) as usize;
            if news {
                seen[at] = truth[at];
                continue;
            }
            let others: Vec<ReplicaView> = (0..replicas)
                .filter(|rank| *rank as usize != at)
                .map(|rank| {
                    let (serves_wanted, serves) = seen[rank as usize];
                    ReplicaView { rank, serves_wanted, serves }
                })
                .collect();
            truth[at] = match truth[at] {
                (false, true) if may_change(at as u32, replicas, kept, &others) => (false, false),
                (false, false) => (true, true),
                state => state,
            };
            let serving = truth.iter().filter(|(_, serves)| *serves).count() as u32;
            prop_assert!(serving >= kept, "{serving} serve of {kept}");
        }
    }

    /// Configurations in any order, repeated or broken, never take a node back.
    #[test]
    fn a_configuration_never_reverts(offers in prop::collection::vec((0u64..9, any::<bool>()), 1..40)) {
        let mut holder = ConfigHolder::default();
        let mut highest = 0;
        let mut seen = BTreeSet::new();
        for (revision, good) in offers {
            let object = FleetObject { apply_id: "a".to_owned(), fleet: "{}".to_owned() };
            let text = if good { serde_json::to_string(&object).unwrap() } else { "{".to_owned() };
            let outcome = holder.offer(ConfigRevision::new(revision), &text);
            if good && revision > highest {
                prop_assert_eq!(outcome, OfferOutcome::Taken);
                highest = revision;
            }
            seen.insert(holder.revision());
            prop_assert_eq!(holder.revision().number(), highest);
        }
    }
}
