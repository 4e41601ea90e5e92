//! The headlatch daemons: entries, which accept and route requests, and agents, which manage the
//! endpoint on their box.

pub mod agent;
pub mod cli;
pub mod decisions;
pub mod direct;
pub mod entry;
pub mod error;
pub mod logging;
pub mod metrics;
pub mod node;
pub mod platform;
pub mod run;
pub mod signals;
pub mod supervisor;
pub mod timer;
pub mod trace;
