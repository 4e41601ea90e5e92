//! The order of organisations by what they have been served.

use std::{cmp::Ordering, net::SocketAddr, sync::Arc, time::Duration};

use googletest::prelude::*;
use headlatch_core::{
    direct::admission::fair_share::{FairShares, NoOrder, OrganisationOrder, OrganisationService},
    time::Moment,
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

fn entry(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn send(shares: &mut FairShares, millis: u64, organisation: &str, tokens: u64) {
    shares.record_sent(at(millis), Some(&organisation.into()), tokens);
}

fn service(organisation: &str, tokens: u64) -> OrganisationService {
    OrganisationService { organisation: organisation.into(), tokens }
}

/// The order of two organisations, the second of which has the later name.
fn order(shares: &FairShares, millis: u64) -> Ordering {
    shares.compare(at(millis), Some("a"), Some("b"))
}

/// Guards against an organisation that is served before one that has had less.
#[gtest]
fn the_least_served_organisation_goes_first() {
    let mut shares = FairShares::default();
    expect_that!(order(&shares, 0), eq(Ordering::Equal));
    send(&mut shares, 0, "a", 20_000);
    expect_that!(order(&shares, 0), eq(Ordering::Greater));
    send(&mut shares, 0, "b", 60_000);
    expect_that!(order(&shares, 0), eq(Ordering::Less));
    expect_that!(shares.compare(at(0), None, Some("a")), eq(Ordering::Less));
    shares.record_sent(at(0), None, 100_000);
    expect_that!(shares.compare(at(0), None, Some("a")), eq(Ordering::Greater));
}

/// Guards against an order that changes with every prompt and so hides the deadlines of requests.
#[gtest]
fn small_differences_leave_the_order_to_other_criteria() {
    let mut shares = FairShares::default();
    send(&mut shares, 0, "a", 1_000);
    send(&mut shares, 0, "b", 3_000);
    expect_that!(order(&shares, 0), eq(Ordering::Equal));
    send(&mut shares, 0, "b", 1_000_000);
    expect_that!(NoOrder.compare(at(0), Some("a"), Some("b")), eq(Ordering::Equal));
}

/// Guards against an organisation that pays for what it used long ago, and against memory that grows with
/// every organisation that ever came.
#[gtest]
fn idle_organisations_are_forgotten() {
    let mut shares = FairShares::default();
    for number in 0..1_000 {
        send(&mut shares, 0, &format!("idle-{number}"), 1_000);
    }
    send(&mut shares, 0, "a", 50_000);
    expect_that!(order(&shares, 0), eq(Ordering::Greater));
    expect_that!(order(&shares, 20_000), eq(Ordering::Equal));
    send(&mut shares, 120_000, "b", 10);
    expect_that!(shares.organisations(), eq(1));
    expect_that!(shares.served(at(120_000), Some("a")), eq(0.0));
}

/// Guards against an organisation that has its share anew at every entry, and against reports that add up.
#[gtest]
fn a_newer_report_replaces_that_of_the_same_entry() {
    let mut shares = FairShares::default();
    for nth in 0..50 {
        let services = vec![service("a", 10_000), service("b", 30_000)];
        shares.set_report(at(nth * 100), entry(1), services);
    }
    let now = 4_900;
    expect_that!(shares.served(at(now), Some("a")), near(10_000.0, 1.0));
    expect_that!(order(&shares, now), eq(Ordering::Less));
    shares.set_report(at(now), entry(2), vec![service("a", 25_000)]);
    expect_that!(shares.served(at(now), Some("a")), near(35_000.0, 1.0));
    // An organisation that is missing from the newer report was not served by that entry any more.
    shares.set_report(at(now), entry(1), vec![service("a", 10_000)]);
    expect_that!(shares.served(at(now), Some("b")), near(0.0, 1.0));
}

/// Guards against counting twice what was sent here and comes back in a report, and against reports that do not
/// fit into a notice.
#[gtest]
fn a_report_covers_what_was_sent_here_the_most_served_first() {
    let mut shares = FairShares::default();
    shares.set_report(at(0), entry(1), vec![service("elsewhere", 90_000)]);
    send(&mut shares, 0, "a", 2_000);
    send(&mut shares, 0, "b", 7_000);
    send(&mut shares, 0, "c", 4_000);
    let report = shares.report(at(0), 2);
    expect_that!(report, elements_are![eq(&service("b", 7_000)), eq(&service("c", 4_000))]);
    expect_that!(shares.report(at(60_000), 10), is_empty());
}

/// Guards against an entry that died and whose last report counts on.
#[gtest]
fn the_report_of_a_silent_entry_fades() {
    let mut shares = FairShares::default();
    shares.set_report(at(0), entry(1), vec![service("b", 30_000)]);
    expect_that!(order(&shares, 100), eq(Ordering::Less));
    expect_that!(order(&shares, 15_000), eq(Ordering::Equal));
    // A process that starts at the same address does not take away from others.
    send(&mut shares, 40_000, "b", 9_000);
    shares.set_report(at(40_000), entry(1), vec![service("b", 1_000)]);
    expect_that!(shares.served(at(40_000), Some("b")), near(10_000.0, 50.0));
}

/// Guards against small organisations that wait behind a large one: with capacity for half of what is asked, of
/// which one organisation asks two thirds and ten others a thirtieth each, the small ones are all served.
#[gtest]
fn small_organisations_do_not_wait_behind_a_large_one() {
    for seed in 1..=5 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut shares = FairShares::default();
        let names: Vec<Arc<str>> = (0..11).map(|nth| format!("o{nth}").into()).collect();
        let (mut waiting, mut asked, mut served) = ([0_u32; 11], [0_u32; 11], [0_u32; 11]);
        for step in 0..6_000 {
            let number = if random.random_bool(2.0 / 3.0) { 0 } else { random.random_range(1..11) };
            waiting[number] += 1;
            asked[number] += 1;
            if step % 2 == 1 {
                continue;
            }
            let now = at(step * 5);
            let candidates = (0..11).filter(|number| waiting[*number] > 0);
            let first = candidates
                .min_by(|one, other| shares.compare(now, Some(&names[*one]), Some(&names[*other])));
            let Some(first) = first else { continue };
            waiting[first] -= 1;
            served[first] += 1;
            shares.record_sent(now, Some(&names[first]), random.random_range(100..2_000));
        }
        for number in 1..11 {
            expect_that!(asked[number] - served[number], lt(15), "{seed} {number}");
        }
        expect_that!(served[0], gt(600), "{seed}");
    }
}

proptest! {
    /// Guards against an order that is none: sorting with it would fail or depend on the input.
    #[test]
    fn organisations_are_totally_ordered(tokens in prop::collection::vec(0_u64..50_000, 3), later: u16) {
        let mut shares = FairShares::default();
        for (name, tokens) in ["a", "b", "c"].iter().zip(&tokens) {
            send(&mut shares, 0, name, *tokens);
        }
        let now = at(later.into());
        let compare = |one, other| shares.compare(now, Some(one), Some(other));
        prop_assert_eq!(compare("a", "b"), compare("b", "a").reverse());
        if compare("a", "b").is_le() && compare("b", "c").is_le() {
            prop_assert!(compare("a", "c").is_le());
        }
    }
}
