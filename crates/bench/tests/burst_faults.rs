//! The burst under every fault, alone and mixed, in virtual time.

use clap::{Parser, ValueEnum};
use headlatch_bench::burst::{self, BurstOptions, BurstReport, Fault};
use proptest::prelude::*;
use rstest::rstest;

#[derive(Debug, Parser)]
struct CommandLine {
    #[command(flatten)]
    options: BurstOptions,
}

/// A small burst with further options.
fn small(further: &[&str]) -> BurstOptions {
    let plain = ["burst", "--boxes", "24", "--copy-mib", "64", "--window-seconds", "60"];
    CommandLine::parse_from(plain.iter().chain(further)).options
}

fn assert_promises(report: &BurstReport) {
    assert_eq!(report.corrupt_accepted, 0, "{report:?}");
    assert_eq!(report.mixed_served, 0, "{report:?}");
    assert_eq!(report.unfinished, 0, "{report:?}");
}

fn name(fault: Fault) -> String {
    fault.to_possible_value().expect("every fault has a name").get_name().to_owned()
}

#[rstest]
fn every_fault_ends_with_whole_weights_everywhere(
    #[values("time", "origin-bytes")] prefer: &str,
    #[values("full", "shared")] duplex: &str,
) {
    for fault in Fault::each().chain([Fault::All]) {
        let fault = name(fault);
        let options = small(&["--prefer", prefer, "--duplex", duplex, "--faults", &fault]);
        let report = burst::run(&options);
        assert_promises(&report);
    }
}

#[test]
fn one_copy_leaves_the_origin_when_that_is_preferred() {
    let report = burst::run(&small(&["--prefer", "origin-bytes"]));
    assert!(report.origin_copies <= 1.01, "{report:?}");
    assert!(report.cross_domain_copies <= 1.2, "{report:?}");
}

#[test]
fn a_store_takes_part_of_the_draws() {
    let report = burst::run(&small(&["--prefer", "origin-bytes", "--store-copies", "1"]));
    assert!(report.store_copies > 0.05, "{report:?}");
    assert!(report.origin_copies + report.store_copies <= 1.05, "{report:?}");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let options = small(&["--faults", "all", "--seed", "7"]);
    assert_eq!(burst::run(&options).steady(), burst::run(&options).steady());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 12, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Any mixture of faults; a failure prints the faults and the seed.
    #[test]
    fn mixed_faults_end_with_whole_weights(
        faults in prop::sample::subsequence(Fault::each().collect::<Vec<_>>(), 1..5),
        seed in 0u64..1000,
    ) {
        let exclusive = [Fault::Superseded, Fault::TwoBursts, Fault::Adapters];
        prop_assume!(faults.iter().filter(|fault| exclusive.contains(fault)).count() <= 1);
        let names: Vec<String> = faults.iter().copied().map(name).collect();
        let report = burst::run(&small(&["--faults", &names.join(","), "--seed", &seed.to_string()]));
        prop_assert_eq!(report.corrupt_accepted, 0);
        prop_assert_eq!(report.mixed_served, 0);
        prop_assert_eq!(report.unfinished, 0, "{:?}", report);
    }
}

/// A burst of a few seconds: 20 boxes in 3 regions, copy and link of 3 s.
fn short(further: &[&str]) -> BurstOptions {
    let plain = [
        "burst",
        "--short",
        "--boxes",
        "20",
        "--domains",
        "3",
        "--regions",
        "3",
        "--copy-mib",
        "3",
        "--chunk-kib",
        "32",
        "--window-seconds",
        "3",
        "--origin-copies",
        "1",
        "--box-copies",
        "1",
        "--domain-copies",
        "100",
        "--region-copies",
        "100",
        "--prefer",
        "origin-bytes",
    ];
    CommandLine::parse_from(plain.iter().chain(further)).options
}

#[rstest]
fn a_short_burst_takes_at_most_half_as_long_again_as_its_links(
    #[values("1", "2", "3", "4", "5")] seed: &str,
) {
    let report = burst::run(&short(&["--seed", seed]));
    assert_promises(&report);
    assert!(report.time_ratio <= 1.5, "{report:?}");
    assert!(report.origin_copies <= 1.01, "{report:?}");
}

#[rstest]
fn draws_in_slots_let_the_first_chunks_spread_early(#[values("1", "2", "3", "4", "5")] seed: &str) {
    let report = burst::run(&short(&["--seed", seed]));
    assert!(report.time_ratio <= 1.35, "{report:?}");
}

#[rstest]
fn boxes_that_stand_still_keep_the_others_from_nothing(
    #[values("1", "2", "3", "4", "5")] seed: &str,
) {
    let report = burst::run(&short(&["--faults", "paused", "--seed", seed]));
    assert_promises(&report);
    assert!(report.time_ratio <= 2.5, "{report:?}");
    assert!(report.origin_copies <= 1.1, "{report:?}");
}

#[test]
fn every_fault_of_a_short_burst_ends_with_whole_weights_everywhere() {
    for fault in Fault::each().chain([Fault::All]) {
        let report = burst::run(&short(&["--faults", &name(fault)]));
        assert_promises(&report);
    }
}
