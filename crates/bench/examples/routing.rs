//! Routing of requests in virtual time: `cargo run --release --example routing -- --help`.

use clap::Parser;
use headlatch_bench::routing::{self, RoutingOptions};

/// Send requests to many endpoints and report what callers got.
#[derive(Debug, Parser)]
struct CommandLine {
    #[command(flatten)]
    options: RoutingOptions,
}

fn main() {
    let options = CommandLine::parse().options;
    let report = routing::run(&options);
    let text = if options.json {
        serde_json::to_string(&report)
    } else {
        serde_json::to_string_pretty(&report)
    };
    println!("{}", text.expect("a report has only string keys"));
}
