//! The routing bench: entries and engines in virtual time under the real choice of endpoints,
//! admission, retry budget and verdicts.

mod options;
mod report;
mod world;

pub use options::{RoutingFault, RoutingOptions, RoutingPolicy};
pub use report::RoutingReport;

/// Runs the bench.
pub fn run(options: &RoutingOptions) -> RoutingReport {
    let begun = std::time::Instant::now();
    let mut world = world::RoutingWorld::new(options);
    world.run();
    let wall_seconds = begun.elapsed().as_secs_f64();
    RoutingReport { wall_seconds, ..world.report() }
}
