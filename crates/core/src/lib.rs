//! Decision logic of headlatch, without I/O, clock or threads.
//!
//! Each module takes typed events and the current time and returns typed actions, so that the same
//! code runs in the daemons, the benchmarks, the golden session test and the fault tests.

pub mod admission;
pub mod apply;
pub mod burst;
pub mod config;
pub mod direct;
pub mod gate;
pub mod hash;
pub mod keys;
pub mod membership;
pub mod placement;
pub mod retry;
pub mod rollover;
pub mod routing;
pub mod time;
