//! Requests and configurations under faults, in virtual time.

use clap::Parser;
use headlatch_bench::{
    routing::{self, RoutingOptions},
    spread::{self, SpreadOptions},
};
use rstest::rstest;

#[derive(Debug, Parser)]
struct RoutingLine {
    #[command(flatten)]
    options: RoutingOptions,
}

#[derive(Debug, Parser)]
struct SpreadLine {
    #[command(flatten)]
    options: SpreadOptions,
}

fn requests(further: &[&str]) -> routing::RoutingReport {
    let plain =
        ["routing", "--entries", "6", "--endpoints", "24", "--rps", "80", "--seconds", "60"];
    routing::run(&RoutingLine::parse_from(plain.iter().chain(further)).options)
}

fn configurations(further: &[&str]) -> spread::SpreadReport {
    let plain = ["spread", "--entries", "12", "--agents", "24", "--domains", "3", "--applies", "4"];
    spread::run(&SpreadLine::parse_from(plain.iter().chain(further)).options)
}

#[rstest]
fn no_request_is_lost_doubled_or_falsely_not_run(
    #[values("deaths", "domain-loss", "slow", "lost-answers", "lag", "leaving")] fault: &str,
    #[values("1", "2")] demand: &str,
) {
    let report = requests(&["--faults", fault, "--demand", demand]);
    assert_eq!(report.lost, 0, "{report:?}");
    assert_eq!(report.crossed, 0, "{report:?}");
    assert_eq!(report.doubled, 0, "{report:?}");
    assert_eq!(report.false_not_run, 0, "{report:?}");
    let ended = report.whole + report.not_run + report.may_have_run;
    assert_eq!(ended, report.offered, "{report:?}");
}

#[test]
fn a_leaving_endpoint_costs_no_request() {
    let report = requests(&["--faults", "leaving"]);
    assert_eq!(report.whole, report.offered, "{report:?}");
}

#[rstest]
fn no_configuration_reverts_or_comes_late(
    #[values("loss", "watchers", "stale-reads", "loss,watchers,stale-reads")] faults: &str,
) {
    let report = configurations(&["--faults", faults]);
    assert_eq!(report.reverted, 0, "{report:?}");
    assert_eq!(report.missed, 0, "{report:?}");
    assert!(report.max_seconds <= 5.0, "{report:?}");
}

#[test]
fn a_domain_that_was_cut_off_catches_up() {
    let report = configurations(&["--faults", "cut"]);
    assert_eq!(report.reverted, 0, "{report:?}");
    // Twelve nodes miss two applies while they are cut off, and none after.
    assert_eq!(report.missed, 24, "{report:?}");
}
