//! The burst bench: boxes with fake links in virtual time under the real planner.

mod baseline;
mod faults;
mod flows;
mod links;
mod options;
mod report;
mod world;

pub use baseline::{Baseline, ChunkLogic};
pub use faults::{Fault, FaultPlan};
pub use options::BurstOptions;
pub use report::BurstReport;
pub use world::BurstWorld;

/// Runs one burst to its end.
pub fn run(options: &BurstOptions) -> BurstReport {
    let mut world = BurstWorld::new(options);
    world.run();
    world.report()
}
