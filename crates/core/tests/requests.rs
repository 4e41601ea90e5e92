//! Fair shares, retry budget, idempotency keys and choice of endpoints.

use std::{collections::BTreeMap, time::Duration};

use headlatch_core::{
    admission::{Admission, FairQueue, OrganisationQuota, RefusalReason, RequestNumber},
    keys::{IdempotencyKeys, KeyClaim},
    retry::RetryBudget,
    routing::{Candidate, EndpointPicker},
    time::Moment,
};
use headlatch_types::id::{BoxId, OrganisationName};
use rand::{SeedableRng, rngs::SmallRng};

fn at(millis: u64) -> Moment {
    Moment::from_micros(millis * 1000)
}

fn quota(share: u32) -> OrganisationQuota {
    OrganisationQuota { share, max_in_progress: None }
}

/// Two organisations request more than the capacity: completed requests follow their shares.
#[test]
fn capacity_is_split_by_share_under_overload() {
    let names: [OrganisationName; 2] = ["large", "small"].map(|name| name.parse().unwrap());
    let share = |name: &OrganisationName| quota(if name.as_str() == "large" { 3 } else { 1 });
    let mut queue = FairQueue::new(4, 40, Duration::from_secs(1));
    let (mut number, mut running) = (0, Vec::new());
    let mut owners = BTreeMap::new();
    let mut completed: BTreeMap<OrganisationName, u32> = BTreeMap::new();
    for round in 0..1000 {
        for name in &names {
            // The large organisation sends five times as many requests as the small one.
            for _ in 0..if name.as_str() == "large" { 10 } else { 2 } {
                number += 1;
                owners.insert(RequestNumber(number), name.clone());
                if queue.admit(at(round), RequestNumber(number), name, share(name))
                    == Admission::Run
                {
                    running.push(RequestNumber(number));
                }
            }
        }
        for finished in std::mem::take(&mut running) {
            *completed.entry(owners[&finished].clone()).or_default() += 1;
            queue.finish(&owners[&finished]);
        }
        running.extend(queue.dequeue(share));
        queue.expire(at(round));
    }
    let (large, small) = (completed[&names[0]], completed[&names[1]]);
    assert!((29..=31).contains(&(large * 10 / small)), "{large} to {small}");
}

#[test]
fn full_queue_rejects_and_waiting_requests_time_out() {
    let name: OrganisationName = "one".parse().unwrap();
    let mut queue = FairQueue::new(1, 1, Duration::from_millis(100));
    let mut admit = |now, number| queue.admit(at(now), RequestNumber(number), &name, quota(1));
    assert_eq!(admit(0, 1), Admission::Run);
    assert_eq!(admit(0, 2), Admission::Wait);
    assert_eq!(admit(0, 3), Admission::Refuse(RefusalReason::QueueFull));
    assert_eq!(queue.expire(at(99)), []);
    assert_eq!(queue.expire(at(100)), [RequestNumber(2)]);
}

#[test]
fn retries_add_ten_percent_when_all_requests_fail() {
    let mut budget = RetryBudget::new(Moment::ZERO);
    let retries = (0..10_000)
        .filter(|_| {
            budget.deposit(Moment::ZERO);
            budget.try_withdraw(Moment::ZERO)
        })
        .count();
    assert!((1000..=1010).contains(&retries), "{retries}");
}

#[test]
fn idempotency_key_runs_once() {
    let mut keys = IdempotencyKeys::default();
    assert_eq!(keys.claim(at(0), "k"), KeyClaim::Fresh);
    assert_eq!(keys.claim(at(1), "k"), KeyClaim::InProgress);
    keys.mark_spent("k");
    assert_eq!(keys.claim(at(2), "k"), KeyClaim::Spent);
    keys.claim(at(3), "unrun");
    keys.release("unrun");
    assert_eq!(keys.claim(at(4), "unrun"), KeyClaim::Fresh);
}

fn candidates(count: u32) -> Vec<Candidate> {
    (0..count)
        .map(|nth| Candidate {
            id: format!("box-{nth}").parse().unwrap(),
            domain: "a".parse().unwrap(),
            slots: 10,
            reported: 0,
        })
        .collect()
}

fn picker() -> EndpointPicker {
    EndpointPicker::new("a".parse().unwrap(), SmallRng::seed_from_u64(1))
}

#[test]
fn stale_load_reports_do_not_concentrate_requests() {
    let mut picker = picker();
    let mut candidates = candidates(10);
    // All endpoints but one reported a high load earlier, and the picker has no newer reports.
    candidates.iter_mut().skip(1).for_each(|one| one.reported = 5);
    let mut counts: BTreeMap<BoxId, u32> = BTreeMap::new();
    for _ in 0..100 {
        let id = picker.pick(at(0), &candidates, &[], None).unwrap();
        picker.start_request(&id);
        *counts.entry(id).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count <= 15), "{counts:?}");
}

#[test]
fn failing_endpoint_is_ejected_and_probed() {
    let mut picker = picker();
    let candidates = candidates(2);
    let failing = candidates[0].id.clone();
    picker.pick(at(0), &candidates, &[], None);
    (0..3).for_each(|_| picker.record_failure(at(0), &failing));
    let is_picked = |picker: &mut EndpointPicker, now| {
        (0..50).filter_map(|_| picker.pick(at(now), &candidates, &[], None)).any(|id| id == failing)
    };
    assert!(!is_picked(&mut picker, 1000));
    assert!(is_picked(&mut picker, 2500), "the endpoint is probed");
    picker.record_failure(at(2500), &failing);
    assert!(!is_picked(&mut picker, 6000), "the second ejection lasts longer");
    assert!(is_picked(&mut picker, 6600));
}

#[test]
fn remote_domain_is_used_only_when_local_is_full() {
    let mut picker = picker();
    let mut candidates = candidates(4);
    candidates[3].domain = "b".parse().unwrap();
    let remote = candidates[3].id.clone();
    let mut picked = Vec::new();
    for _ in 0..40 {
        let id = picker.pick(at(0), &candidates, &[], None).unwrap();
        picker.start_request(&id);
        picked.push(id);
    }
    let first_remote = picked
        .iter()
        .position(|id| *id == remote)
        .expect("requests spill over to the remote domain");
    assert!(first_remote >= 25, "request {first_remote} went to the remote domain");
}

#[test]
fn prompt_affinity_holds_until_endpoint_is_overloaded() {
    let mut picker = picker();
    let candidates = candidates(10);
    let preferred = picker.pick(at(0), &candidates, &[], Some(42)).unwrap();
    assert!(
        (0..20).all(|_| picker.pick(at(0), &candidates, &[], Some(42)) == Some(preferred.clone()))
    );
    (0..10).for_each(|_| picker.start_request(&preferred));
    assert_ne!(picker.pick(at(0), &candidates, &[], Some(42)), Some(preferred));
}
