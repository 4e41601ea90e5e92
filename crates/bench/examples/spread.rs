//! Spread of configurations in virtual time: `cargo run --release --example spread -- --help`.

use clap::Parser;
use headlatch_bench::spread::{self, SpreadOptions};

/// Apply configurations to many nodes and report when they are in force.
#[derive(Debug, Parser)]
struct CommandLine {
    #[command(flatten)]
    options: SpreadOptions,
}

fn main() {
    let options = CommandLine::parse().options;
    let report = spread::run(&options);
    let text = if options.json {
        serde_json::to_string(&report)
    } else {
        serde_json::to_string_pretty(&report)
    };
    println!("{}", text.expect("a report has only string keys"));
}
