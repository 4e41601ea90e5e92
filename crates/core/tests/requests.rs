//! Shares, retries, keys and the choice of endpoints.

use std::{collections::BTreeMap, time::Duration};

use headlatch_core::{
    admission::{Admission, FairQueue, RefusalReason, ShareTerms, TicketNumber},
    keys::{KeyAnswer, KeyLedger},
    retry::RetryBudget,
    routing::{Candidate, EndpointPicker},
    time::Moment,
};
use headlatch_types::id::{BoxId, OrganisationName};
use rand::{SeedableRng, rngs::SmallRng};

fn at(millis: u64) -> Moment {
    Moment::from_micros(millis * 1000)
}

fn terms(share: u32) -> ShareTerms {
    ShareTerms { share, most_in_progress: None }
}

/// Two organisations ask for far more than there is; what runs follows their shares.
#[test]
fn capacity_follows_shares_when_all_want_more() {
    let names: [OrganisationName; 2] = ["large", "small"].map(|name| name.parse().unwrap());
    let share = |name: &OrganisationName| terms(if name.as_str() == "large" { 3 } else { 1 });
    let mut queue = FairQueue::new(4, 40, Duration::from_secs(1));
    let (mut number, mut running) = (0, Vec::new());
    let mut owners = BTreeMap::new();
    let mut ran: BTreeMap<OrganisationName, u32> = BTreeMap::new();
    for round in 0..1000 {
        for name in &names {
            // The large one asks five times as often as the small one.
            for _ in 0..if name.as_str() == "large" { 10 } else { 2 } {
                number += 1;
                owners.insert(TicketNumber(number), name.clone());
                if queue.arrive(at(round), TicketNumber(number), name, share(name))
                    == Admission::Run
                {
                    running.push(TicketNumber(number));
                }
            }
        }
        for done in std::mem::take(&mut running) {
            *ran.entry(owners[&done].clone()).or_default() += 1;
            queue.end(&owners[&done]);
        }
        running.extend(queue.release(share));
        queue.expire(at(round));
    }
    let (large, small) = (ran[&names[0]], ran[&names[1]]);
    assert!((29..=31).contains(&(large * 10 / small)), "{large} to {small}");
}

#[test]
fn a_full_queue_refuses_at_once_and_a_long_wait_ends() {
    let name: OrganisationName = "one".parse().unwrap();
    let mut queue = FairQueue::new(1, 1, Duration::from_millis(100));
    let mut arrive = |now, number| queue.arrive(at(now), TicketNumber(number), &name, terms(1));
    assert_eq!(arrive(0, 1), Admission::Run);
    assert_eq!(arrive(0, 2), Admission::Wait);
    assert_eq!(arrive(0, 3), Admission::Refuse(RefusalReason::QueueFull));
    assert_eq!(queue.expire(at(99)), []);
    assert_eq!(queue.expire(at(100)), [TicketNumber(2)]);
}

#[test]
fn retries_add_a_tenth_when_everything_fails() {
    let mut budget = RetryBudget::new(Moment::ZERO);
    let retries = (0..10_000)
        .filter(|_| {
            budget.earn(Moment::ZERO);
            budget.spend(Moment::ZERO)
        })
        .count();
    assert!((1000..=1010).contains(&retries), "{retries}");
}

#[test]
fn a_key_runs_once() {
    let mut ledger = KeyLedger::default();
    assert_eq!(ledger.take(at(0), "k"), KeyAnswer::Fresh);
    assert_eq!(ledger.take(at(1), "k"), KeyAnswer::InProgress);
    ledger.spend("k");
    assert_eq!(ledger.take(at(2), "k"), KeyAnswer::Spent);
    ledger.take(at(3), "unrun");
    ledger.release("unrun");
    assert_eq!(ledger.take(at(4), "unrun"), KeyAnswer::Fresh);
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
fn stale_reports_do_not_draw_all_requests_to_one_endpoint() {
    let mut picker = picker();
    let mut candidates = candidates(10);
    // All but one reported a high load some time ago; the picker has only that to go by.
    candidates.iter_mut().skip(1).for_each(|one| one.reported = 5);
    let mut counts: BTreeMap<BoxId, u32> = BTreeMap::new();
    for _ in 0..100 {
        let id = picker.pick(at(0), &candidates, &[], None).unwrap();
        picker.begin(&id);
        *counts.entry(id).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count <= 15), "{counts:?}");
}

#[test]
fn an_endpoint_that_fails_is_left_out_and_probed_again() {
    let mut picker = picker();
    let candidates = candidates(2);
    let bad = candidates[0].id.clone();
    picker.pick(at(0), &candidates, &[], None);
    (0..3).for_each(|_| picker.fail(at(0), &bad));
    let chosen = |picker: &mut EndpointPicker, now| {
        (0..50).filter_map(|_| picker.pick(at(now), &candidates, &[], None)).any(|id| id == bad)
    };
    assert!(!chosen(&mut picker, 1000));
    assert!(chosen(&mut picker, 2500), "it is probed");
    picker.fail(at(2500), &bad);
    assert!(!chosen(&mut picker, 6000), "and left out for longer");
    assert!(chosen(&mut picker, 6600));
}

#[test]
fn the_own_domain_is_left_only_when_it_is_full() {
    let mut picker = picker();
    let mut candidates = candidates(4);
    candidates[3].domain = "b".parse().unwrap();
    let far = candidates[3].id.clone();
    let mut picked = Vec::new();
    for _ in 0..40 {
        let id = picker.pick(at(0), &candidates, &[], None).unwrap();
        picker.begin(&id);
        picked.push(id);
    }
    let first_far = picked.iter().position(|id| *id == far).expect("it spills over");
    assert!(first_far >= 25, "the first far request was number {first_far}");
}

#[test]
fn a_prompt_stays_where_it_is_cached_until_that_is_much_busier() {
    let mut picker = picker();
    let candidates = candidates(10);
    let home = picker.pick(at(0), &candidates, &[], Some(42)).unwrap();
    assert!((0..20).all(|_| picker.pick(at(0), &candidates, &[], Some(42)) == Some(home.clone())));
    (0..10).for_each(|_| picker.begin(&home));
    assert_ne!(picker.pick(at(0), &candidates, &[], Some(42)), Some(home));
}
