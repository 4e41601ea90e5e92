//! A process that starts in the middle of a change of weights was told the newest wanted version alone,
//! with the age that it had when a relay heard of it. It counted the end of the oldest weights from that,
//! and sent requests to them after their end:
//!
//! ```text
//! versions 2 and 3 named at 18 and 20 s; started at 22.32 s; {"event":"version_wanted","version":3,"age_ms":488}
//! at 31.32 s {"event":"server_chosen","version":1,"least":null}
//! ```

use std::time::Duration;

use googletest::prelude::*;
use headlatch_core::{
    direct::{
        peers::{DomainKey, PeerKind, PeerNotice, PeerTable},
        weight_deadline::WeightDeadlines,
    },
    time::Moment,
};
use headlatch_types::traffic::WeightVersion;
use proptest::prelude::{ProptestConfig, Strategy, any, prop, proptest};

#[path = "support/entry.rs"]
mod entry;

use entry::{at, millis, model};

/// Time that servers have to change.
const CHANGE_TIME: Duration = Duration::from_millis(13_400);

/// How far apart two processes may be in what they hold to be the end of a version.
const TOLERANCE_MS: u64 = 100;

fn tell(from: &WeightDeadlines, to: &mut WeightDeadlines, now: Moment) {
    for one in from.notices(now, CHANGE_TIME) {
        to.learn_with_age(now, &one.model, one.version, one.age);
    }
}

fn least(weights: &WeightDeadlines, millis: u64) -> u64 {
    weights.min_version(at(millis), &model(), CHANGE_TIME).map_or(0, |version| version.0)
}

#[gtest]
fn who_starts_between_two_versions_counts_the_end_from_the_first_of_them() {
    let mut there = WeightDeadlines::default();
    there.learn(at(18_000), &model(), WeightVersion(2));
    there.learn(at(20_000), &model(), WeightVersion(3));
    let mut newcomer = WeightDeadlines::default();
    // Its own list names the newest version alone.
    newcomer.learn(at(22_400), &model(), WeightVersion(3));
    tell(&there, &mut newcomer, at(22_500));
    for now in (22_500..40_000).step_by(50) {
        expect_that!(least(&newcomer, now), eq(least(&there, now)), "at {now}");
    }
    // Told by one who has just started as well.
    let mut later = WeightDeadlines::default();
    tell(&newcomer, &mut later, at(30_000));
    for now in (30_000..40_000).step_by(50) {
        expect_that!(least(&later, now), eq(least(&there, now)), "at {now}");
    }
}

#[gtest]
fn a_version_whose_time_is_over_is_told_until_a_newer_ones_is() {
    let mut weights = WeightDeadlines::default();
    let told = |weights: &WeightDeadlines, now| {
        let notices = weights.notices(at(now), CHANGE_TIME);
        notices.iter().map(|one| one.version.0).collect::<Vec<_>>()
    };
    weights.learn(at(0), &model(), WeightVersion(2));
    weights.learn(at(5_000), &model(), WeightVersion(3));
    weights.learn(at(6_000), &model(), WeightVersion(4));
    expect_that!(told(&weights, 7_000), eq(&vec![2, 3, 4]));
    expect_that!(told(&weights, 14_000), eq(&vec![2, 3, 4]));
    expect_that!(told(&weights, 18_500), eq(&vec![3, 4]));
    expect_that!(told(&weights, 60_000), eq(&vec![4]));
}

#[gtest]
fn ages_go_on_while_a_relay_keeps_what_it_was_told() {
    let address = |text: &str| text.parse().expect("an address");
    let domain = DomainKey(1);
    let mut there = WeightDeadlines::default();
    there.learn(at(1_000), &model(), WeightVersion(2));
    let told = PeerNotice {
        wanted: there.notices(at(1_500), CHANGE_TIME),
        ..PeerNotice::empty(address("10.0.0.1:1"), PeerKind::Entry, domain)
    };
    let mut relay = PeerTable::new(address("10.0.0.2:1"), domain);
    relay.hear(at(1_500), told.clone());
    // Changes of load say that it lives, and nothing of what is wanted.
    for sequence in 2..30 {
        let change =
            PeerNotice { sequence, changes_only: true, wanted: Vec::new(), ..told.clone() };
        relay.hear(at(1_500 + sequence * 100), change);
    }
    let peer = relay.peer(told.from).expect("it is known");
    let (facts, heard) = (peer.facts(at(6_000)), peer.heard);
    expect_that!(facts.wanted[0].age, eq(millis(5_000)));
    // By way of a second relay.
    let mut next = PeerTable::new(address("10.0.0.3:1"), domain);
    next.hear_relayed(at(6_000), facts, at(6_000).since(heard));
    let facts = next.peer(told.from).expect("it is known").facts(at(8_000));
    expect_that!(facts.wanted[0].age, eq(millis(7_000)));
}

/// Versions with the times at which they are named, and processes with the times at which they start.
#[derive(Debug, Clone)]
struct JoinCase {
    named: Vec<u64>,
    starts: Vec<u64>,
    reads_store: Vec<bool>,
    seed: u64,
}

fn cases() -> impl Strategy<Value = JoinCase> {
    (
        prop::collection::vec(0..6_000u64, 1..4),
        prop::collection::vec(0..16_000u64, 4),
        prop::collection::vec(any::<bool>(), 4),
        any::<u64>(),
    )
        .prop_map(|(gaps, starts, reads_store, seed)| {
            let named = gaps.iter().scan(0, |sum, gap| {
                *sum += gap;
                Some(*sum)
            });
            JoinCase { named: named.collect(), starts, reads_store, seed }
        })
}

/// One process: it tells one other at each step, and one in two of its notices is lost.
fn play(case: &JoinCase) -> std::result::Result<(), String> {
    let mut draw = case.seed | 1;
    let mut drawn = move || {
        draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        draw >> 33
    };
    let mut veteran = WeightDeadlines::default();
    let mut newcomers: Vec<Option<(WeightDeadlines, u64)>> =
        vec![None, None, None, None].into_iter().collect();
    for now in (0..40_000).step_by(100) {
        for (index, at_ms) in case.named.iter().enumerate() {
            if now / 100 == at_ms.div_ceil(100) {
                veteran.learn(at(now), &model(), WeightVersion(index as u64 + 2));
            }
        }
        for (index, start) in case.starts.iter().enumerate() {
            if now / 100 == start / 100 {
                let mut weights = WeightDeadlines::default();
                if let Some(newest) = veteran.newest(&model()).filter(|_| case.reads_store[index]) {
                    weights.learn(at(now), &model(), newest);
                }
                newcomers[index] = Some((weights, now));
            }
        }
        for index in 0..newcomers.len() {
            // Told by the one who was there or by another newcomer.
            let (from, lost) = (drawn() as usize % (newcomers.len() + 1), drawn() % 2 == 0);
            let told = match newcomers.get(from) {
                Some(Some((weights, _))) => weights.notices(at(now), CHANGE_TIME),
                Some(None) => Vec::new(),
                None => veteran.notices(at(now), CHANGE_TIME),
            };
            if let Some((weights, _)) = newcomers[index].as_mut().filter(|_| !lost) {
                for one in told {
                    weights.learn_with_age(at(now), &one.model, one.version, one.age);
                }
            }
        }
        for (weights, since) in newcomers.iter().flatten() {
            let behind = least(&veteran, now.saturating_sub(TOLERANCE_MS));
            if now > since + 8_000 && least(weights, now) < behind {
                return Err(format!("at {now}: {} for {behind}", least(weights, now)));
            }
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        ..ProptestConfig::default()
    })]

    #[test]
    fn who_joins_at_any_moment_decides_before_long_as_who_was_there(case in cases()) {
        proptest::prop_assert_eq!(play(&case), Ok(()));
    }
}
