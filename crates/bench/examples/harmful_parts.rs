//! Compares ways to find prompt parts that end servers, in virtual time:
//! `cargo run --release --example harmful_parts -- --help`.

use std::time::Duration;

use clap::Parser;
use headlatch_bench::harmful_parts::{self, DetectorKind, PartReport, PartScenario};

/// Run each way on each scenario and print the worst and the mean of several seeds.
#[derive(Debug, Parser)]
struct CommandLine {
    /// Seeds per scenario.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Numbers of entries.
    #[arg(long, value_delimiter = ',', default_values_t = [7, 100, 546])]
    entries: Vec<usize>,
}

fn scenarios(entries: usize) -> Vec<(&'static str, PartScenario)> {
    let servers = if entries < 50 { 20 } else { entries * 3 / 2 };
    let load = PartScenario {
        entries,
        servers,
        sound_rate: 5.0 * servers as f64,
        single_ends: 0.005 * servers as f64,
        ..PartScenario::default()
    };
    let herds = vec![2, 4, 6, 8, 10, 12, 14, 16].into_iter().map(Duration::from_secs);
    let herds: Vec<Duration> = herds.collect();
    let none = PartScenario { harmful_parts: 0, ..load.clone() };
    vec![
        ("one", load.clone()),
        ("from the start", PartScenario { harmful_from: Duration::ZERO, ..load.clone() }),
        ("three", PartScenario { harmful_parts: 3, ..load.clone() }),
        ("sound before", PartScenario { sound_before: true, ..load.clone() }),
        ("one and herds", PartScenario { herds: herds.clone(), ..load.clone() }),
        ("herds", PartScenario { herds, ..none.clone() }),
        ("single ends", PartScenario { single_ends: 0.05 * servers as f64, ..none }),
    ]
}

fn main() {
    let CommandLine { seeds, entries } = CommandLine::parse();
    println!(
        "entries scenario        way          ends(worst) late(worst) last end ms(worst) sound parts refused(sum) sound refused(share)"
    );
    for entries in entries {
        for (name, scenario) in scenarios(entries) {
            for (kind, way) in DetectorKind::ALL {
                let reports: Vec<PartReport> = (1..=seeds)
                    .map(|seed| {
                        harmful_parts::run(&PartScenario { seed, ..scenario.clone() }, kind)
                    })
                    .collect();
                let worst =
                    |of: fn(&PartReport) -> usize| reports.iter().map(of).max().unwrap_or(0);
                let sum = |of: fn(&PartReport) -> usize| reports.iter().map(of).sum::<usize>();
                println!(
                    "{entries:7} {name:15} {way:12} {:11} {:11} {:18} {:24} {:.4}",
                    worst(|one| one.most_ends),
                    worst(|one| one.late_arrivals),
                    reports.iter().map(|one| one.last_end_ms).max().unwrap_or(0),
                    sum(|one| one.sound_parts_refused),
                    sum(|one| one.sound_refused) as f64 / sum(|one| one.sound).max(1) as f64,
                );
            }
        }
    }
}
