//! The daemons of headlatch: entries, which take requests in, and agents, which look after the
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
pub mod supervisor;
pub mod timer;
pub mod trace;
