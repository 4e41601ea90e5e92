//! One burst in virtual time: `cargo run --release --example burst -- --help`.

use clap::Parser;
use headlatch_bench::burst::{self, BurstOptions};

/// Spread weights to many boxes over fake links and report how long it took.
#[derive(Debug, Parser)]
struct CommandLine {
    #[command(flatten)]
    options: BurstOptions,
}

fn main() {
    let options = CommandLine::parse().options;
    let report = burst::run(&options);
    let text = if options.json {
        serde_json::to_string(&report)
    } else {
        serde_json::to_string_pretty(&report)
    };
    println!("{}", text.expect("a report has only string keys"));
}
