//! What holds for prompt parts that end servers, over drawn mixes in virtual time.

use std::time::Duration;

use googletest::prelude::*;
use headlatch_bench::harmful_parts::{DetectorKind, PartScenario, run};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Requests with a harmful part that may reach servers later than 3 s after the fifth end under it.
const MAX_LATE: usize = 3;

/// Largest share of sound requests that may be refused for a part beside harmful ones.
const MAX_SOUND_REFUSED: f64 = 0.05;

fn drawn_mix(seed: u64) -> PartScenario {
    let mut random = SmallRng::seed_from_u64(seed);
    let servers = random.random_range(10..40);
    let herds = (0..random.random_range(0..4)).map(|_| random.random_range(1000..15_000));
    PartScenario {
        seed,
        herds: herds.map(Duration::from_millis).collect(),
        entries: random.random_range(3..12),
        servers,
        sound_rate: f64::from(random.random_range(3..8)) * servers as f64,
        harmful_parts: random.random_range(1..4),
        harmful_rate: f64::from(random.random_range(2..10)),
        harmful_from: Duration::from_millis(random.random_range(0..8000)),
        subjects: random.random_range(20..500),
        single_ends: random.random_range(0.0..0.3),
        duration: Duration::from_secs(20),
        ..PartScenario::default()
    }
}

#[gtest]
fn harmful_parts_stop_reaching_servers_and_sound_requests_go_on() {
    for seed in 1..=40 {
        let report = run(&drawn_mix(seed), DetectorKind::Table);
        expect_that!(report.late_arrivals, le(MAX_LATE), "seed {seed}: {report:?}");
        let refused = report.sound_refused as f64 / report.sound.max(1) as f64;
        expect_that!(refused, le(MAX_SOUND_REFUSED), "seed {seed}: {report:?}");
    }
}

/// Herds and single ends without any harmful part.
#[gtest]
fn no_part_is_refused_in_herds_of_ends() {
    let herds: Vec<Duration> = (1..=8).map(|herd| Duration::from_secs(herd * 2)).collect();
    for seed in 1..=40 {
        let scenario = PartScenario {
            harmful_parts: 0,
            herds: herds.clone(),
            duration: Duration::from_secs(20),
            ..drawn_mix(seed)
        };
        let report = run(&scenario, DetectorKind::Table);
        expect_that!(report.sound_parts_refused, eq(0), "seed {seed}: {report:?}");
    }
}
