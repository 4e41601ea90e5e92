//! A process that starts during a weight update must use the same deadline for old weights as the others.
//!
//! With only the newest target version, at the age that it had when a relay received it, such a process
//! counts the deadline of the oldest weights from that version. For versions 2 and 3 published at 18 and 20 s
//! and a start at 22.32 s, it receives version 3 with an age of 488 ms and still sends a request to version 1
//! at 31.32 s.

use std::time::Duration;

use googletest::prelude::*;
use headlatch_core::{
    direct::{
        peers::{DomainKey, PeerKind, PeerNotice, PeerTable},
        weight_deadline::WeightDeadlines,
    },
    time::Moment,
};
use headlatch_types::{store::StoreEra, traffic::WeightVersion};
use proptest::prelude::{ProptestConfig, Strategy, any, prop, proptest};

#[path = "support/entry.rs"]
mod entry;

use entry::{at, millis, model};

/// Time for servers to switch to a new version.
const CHANGE_TIME: Duration = Duration::from_millis(13_400);

/// Maximum difference between the deadlines of a version in two processes, in milliseconds.
const TOLERANCE_MS: u64 = 100;

fn send_notices(from: &WeightDeadlines, to: &mut WeightDeadlines, now: Moment) {
    for one in from.notices(now, CHANGE_TIME) {
        to.learn_with_age(now, &one.model, one.version, one.age);
    }
}

fn least(weights: &WeightDeadlines, millis: u64) -> u64 {
    weights.min_version(at(millis), &model(), CHANGE_TIME).map_or(0, |version| version.0)
}

#[gtest]
fn process_started_during_update_uses_deadline_of_first_version() {
    let mut existing = WeightDeadlines::default();
    existing.learn(at(18_000), &model(), WeightVersion(2));
    existing.learn(at(20_000), &model(), WeightVersion(3));
    let mut newcomer = WeightDeadlines::default();
    // Its own list contains only the newest version.
    newcomer.learn(at(22_400), &model(), WeightVersion(3));
    send_notices(&existing, &mut newcomer, at(22_500));
    for now in (22_500..40_000).step_by(50) {
        expect_that!(least(&newcomer, now), eq(least(&existing, now)), "at {now}");
    }
    // A process that learns the versions from another new one.
    let mut later = WeightDeadlines::default();
    send_notices(&newcomer, &mut later, at(30_000));
    for now in (30_000..40_000).step_by(50) {
        expect_that!(least(&later, now), eq(least(&existing, now)), "at {now}");
    }
}

#[gtest]
fn expired_version_is_published_until_a_newer_one_expires() {
    let mut weights = WeightDeadlines::default();
    let sent = |weights: &WeightDeadlines, now| {
        let notices = weights.notices(at(now), CHANGE_TIME);
        notices.iter().map(|one| one.version.0).collect::<Vec<_>>()
    };
    weights.learn(at(0), &model(), WeightVersion(2));
    weights.learn(at(5_000), &model(), WeightVersion(3));
    weights.learn(at(6_000), &model(), WeightVersion(4));
    expect_that!(sent(&weights, 7_000), eq(&vec![2, 3, 4]));
    expect_that!(sent(&weights, 14_000), eq(&vec![2, 3, 4]));
    expect_that!(sent(&weights, 18_500), eq(&vec![3, 4]));
    expect_that!(sent(&weights, 60_000), eq(&vec![4]));
}

#[gtest]
fn ages_advance_while_a_relay_stores_a_notice() {
    let address = |text: &str| text.parse().expect("an address");
    let domain = DomainKey(1);
    let mut existing = WeightDeadlines::default();
    existing.learn(at(1_000), &model(), WeightVersion(2));
    let sent = PeerNotice {
        wanted: existing.notices(at(1_500), CHANGE_TIME),
        ..PeerNotice::empty(address("10.0.0.1:1"), PeerKind::Entry, domain)
    };
    let mut relay = PeerTable::new(address("10.0.0.2:1"), domain);
    relay.receive(at(1_500), sent.clone());
    // Load deltas refresh the liveness of the sender and contain no target versions.
    for sequence in 2..30 {
        let change =
            PeerNotice { sequence, changes_only: true, wanted: Vec::new(), ..sent.clone() };
        relay.receive(at(1_500 + sequence * 100), change);
    }
    let peer = relay.peer(sent.from).expect("it is known");
    let (facts, last_seen) = (peer.facts(at(6_000)), peer.last_seen);
    expect_that!(facts.wanted[0].age, eq(millis(5_000)));
    // Forwarded by a second relay.
    let mut next = PeerTable::new(address("10.0.0.3:1"), domain);
    next.apply_relayed(at(6_000), facts, at(6_000).since(last_seen));
    let facts = next.peer(sent.from).expect("it is known").facts(at(8_000));
    expect_that!(facts.wanted[0].age, eq(millis(7_000)));
}

/// Publication times of versions, and start times of processes.
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

/// Runs a simulation in which each new process receives a notice from a random other process in each step,
/// and half of the notices are lost.
fn simulate(case: &JoinCase) -> std::result::Result<(), String> {
    let mut draw = case.seed | 1;
    let mut drawn = move || {
        draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        draw >> 33
    };
    let mut established = WeightDeadlines::default();
    let mut newcomers: Vec<Option<(WeightDeadlines, u64)>> =
        vec![None, None, None, None].into_iter().collect();
    for now in (0..40_000).step_by(100) {
        for (index, at_ms) in case.named.iter().enumerate() {
            if now / 100 == at_ms.div_ceil(100) {
                established.learn(at(now), &model(), WeightVersion(index as u64 + 2));
            }
        }
        for (index, start) in case.starts.iter().enumerate() {
            if now / 100 == start / 100 {
                let mut weights = WeightDeadlines::default();
                if let Some(newest) =
                    established.newest(&model()).filter(|_| case.reads_store[index])
                {
                    weights.learn(at(now), &model(), newest);
                }
                newcomers[index] = Some((weights, now));
            }
        }
        for index in 0..newcomers.len() {
            // The sender is the long-running process or another new one.
            let (from, lost) = (drawn() as usize % (newcomers.len() + 1), drawn() % 2 == 0);
            let sent = match newcomers.get(from) {
                Some(Some((weights, _))) => weights.notices(at(now), CHANGE_TIME),
                Some(None) => Vec::new(),
                None => established.notices(at(now), CHANGE_TIME),
            };
            if let Some((weights, _)) = newcomers[index].as_mut().filter(|_| !lost) {
                for one in sent {
                    weights.learn_with_age(at(now), &one.model, one.version, one.age);
                }
            }
        }
        for (weights, since) in newcomers.iter().flatten() {
            let behind = least(&established, now.saturating_sub(TOLERANCE_MS));
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
    fn new_process_converges_to_established_deadlines(case in cases()) {
        proptest::prop_assert_eq!(simulate(&case), Ok(()));
    }
}

/// Agents read the store only while no entry near them does, and have its era from notices.
#[gtest]
fn newest_era_of_live_peers_is_known_to_a_process_that_does_not_read_the_store() {
    let address = |text: &str| text.parse().expect("an address");
    let domain = DomainKey(1);
    let mut agent = PeerTable::new(address("10.0.0.3:1"), domain);
    expect_that!(agent.newest_era(), eq(StoreEra::default()));
    for (from, era) in [("10.0.0.1:1", 2), ("10.0.0.2:1", 1)] {
        let servers = StoreEra::new(era).start();
        let notice = PeerNotice::empty(address(from), PeerKind::Entry, domain);
        agent.receive(Moment::ZERO, PeerNotice { servers, ..notice });
    }
    expect_that!(agent.newest_era(), eq(StoreEra::new(2)));
}
