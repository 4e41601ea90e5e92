//! Serving gate, placement and version switches: no partial or mixed set of weights is served.

use std::collections::{BTreeMap, BTreeSet};

use headlatch_core::{
    config::{ConfigHolder, FleetObject, OfferOutcome},
    gate::{EngineReport, GateStep, TargetSet, WeightGate},
    placement::{EngineBox, place},
    rollover::{ReplicaView, may_switch},
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
fn gate_serves_only_complete_confirmed_set() {
    let mut gate = WeightGate::closed();
    gate.set_target(Some(target(1, &[b"base", b"adapter"])));
    gate.mark_verified(Digest::of(b"base"));
    assert_eq!(gate.next_step(), GateStep::Wait, "the adapter is not verified");
    gate.mark_verified(Digest::of(b"adapter"));
    assert_eq!(gate.next_step(), GateStep::Ready(SetKey(1)));
    gate.handle_report(report(9, Some(1), false));
    assert_eq!(gate.serving(), None, "the loaded set was not ordered by this gate");
    let (_, token) = gate.issue_order(report(9, None, false)).expect("target is ready");
    assert_eq!(token, FencingToken::new(10));
    gate.handle_report(report(10, None, true));
    assert_eq!(gate.serving(), None, "the engine is still loading");
    gate.handle_report(report(10, Some(1), false));
    assert_eq!(gate.serving(), Some(SetKey(1)));
}

#[test]
fn gate_closes_on_unknown_order() {
    let mut gate = WeightGate::closed();
    gate.set_target(Some(target(1, &[b"base"])));
    gate.mark_verified(Digest::of(b"base"));
    gate.issue_order(report(0, None, false)).expect("target is ready");
    gate.handle_report(report(1, Some(1), false));
    // Another agent issued an order. Even for the same set, the state of the engine is unknown.
    gate.handle_report(report(2, Some(1), false));
    assert_eq!(gate.serving(), None);
    let (_, token) =
        gate.issue_order(report(2, Some(1), false)).expect("a new order can be issued");
    assert_eq!(token, FencingToken::new(3), "the token is higher than every token seen");
}

/// An order of an agent that was paused has a lower token than the order issued in the meantime.
#[test]
fn delayed_order_has_lower_token() {
    let (mut delayed, mut successor) = (WeightGate::closed(), WeightGate::closed());
    for gate in [&mut delayed, &mut successor] {
        gate.set_target(Some(target(1, &[b"base"])));
        gate.mark_verified(Digest::of(b"base"));
    }
    let (_, old) = delayed.issue_order(report(4, None, false)).expect("target is ready");
    let (_, new) = successor.issue_order(report(5, None, false)).expect("target is ready");
    assert!(new > old, "an engine that checks tokens rejects the delayed order");
}

#[test]
fn old_set_serves_until_stopped_and_none_after_engine_loss() {
    let mut gate = WeightGate::closed();
    gate.set_target(Some(target(1, &[b"one"])));
    gate.mark_verified(Digest::of(b"one"));
    gate.issue_order(report(0, None, false));
    gate.handle_report(report(1, Some(1), false));
    gate.set_target(Some(target(2, &[b"two"])));
    assert_eq!(gate.serving(), Some(SetKey(1)));
    gate.mark_verified(Digest::of(b"two"));
    assert_eq!(
        gate.issue_order(report(1, Some(1), false)),
        None,
        "requests may still run on the old set"
    );
    gate.stop_serving();
    assert!(gate.issue_order(report(1, Some(1), false)).is_some());
    gate.handle_engine_loss();
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
    FleetPlan::parse(&json!({ "models": rows }).to_string()).expect("valid fleet file")
}

fn boxes(numbers: impl Iterator<Item = u32>) -> Vec<EngineBox> {
    numbers
        .map(|nth| EngineBox {
            id: format!("box-{nth}").parse().expect("valid box id"),
            domain: "a".parse().expect("valid domain id"),
        })
        .collect()
}

proptest! {
    /// Removing a box moves at most one replica of the model it ran and of each model placed after
    /// that one.
    #[test]
    fn placement_moves_few_replicas(removed in 0u32..20, first in 1u32..10, second in 1u32..8) {
        let plan = fleet(&[("one", first), ("two", second)]);
        let before = place(&plan, &boxes(0..20));
        let after = place(&plan, &boxes((0..20).filter(|nth| *nth != removed)));
        let model = |placement: &headlatch_core::placement::Placement| -> BTreeMap<_, _> {
            placement.iter().map(|(id, one)| (id.clone(), one.model)).collect()
        };
        let (before, after) = (model(&before), model(&after));
        prop_assert_eq!(after.len() as u32, first + second);
        let moved = after.iter().filter(|(id, model)| before.get(*id) != Some(*model)).count();
        prop_assert!(moved <= 2, "{moved} replicas moved");
    }

    /// Replicas with outdated views of each other never leave fewer serving than the fleet file
    /// requires.
    #[test]
    fn version_switches_keep_min_serving(
        replicas in 1u32..10,
        spare in 1u32..5,
        steps in prop::collection::vec((0u32..10, any::<bool>()), 1..200),
    ) {
        let min_serving = replicas.saturating_sub(spare);
        // Actual state of each replica, and the possibly outdated state known to the others.
        let mut actual = vec![(false, true); replicas as usize];
        let mut observed = actual.clone();
        for (nth, refresh) in steps {
            let index = (nth % replicas) as usize;
            if refresh {
                observed[index] = actual[index];
                continue;
            }
            let others: Vec<ReplicaView> = (0..replicas)
                .filter(|rank| *rank as usize != index)
                .map(|rank| {
                    let (serves_target, serves) = observed[rank as usize];
                    ReplicaView { rank, serves_target, serves }
                })
                .collect();
            actual[index] = match actual[index] {
                (false, true) if may_switch(index as u32, replicas, min_serving, &others) => (false, false),
                (false, false) => (true, true),
                state => state,
            };
            let serving = actual.iter().filter(|(_, serves)| *serves).count() as u32;
            prop_assert!(serving >= min_serving, "{serving} serve of {min_serving}");
        }
    }

    /// Configurations that arrive out of order, repeatedly or corrupted never lower the revision.
    #[test]
    fn configuration_revision_never_decreases(offers in prop::collection::vec((0u64..9, any::<bool>()), 1..40)) {
        let mut holder = ConfigHolder::default();
        let mut highest = 0;
        let mut seen = BTreeSet::new();
        for (revision, valid) in offers {
            let object = FleetObject { apply_id: "a".to_owned(), fleet: "{}".to_owned() };
            let text = if valid { serde_json::to_string(&object).unwrap() } else { "{".to_owned() };
            let outcome = holder.offer(ConfigRevision::new(revision), &text);
            if valid && revision > highest {
                prop_assert_eq!(outcome, OfferOutcome::Taken);
                highest = revision;
            }
            seen.insert(holder.revision());
            prop_assert_eq!(holder.revision().number(), highest);
        }
    }
}
