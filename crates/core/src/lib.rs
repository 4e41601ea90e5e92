//! Decision logic of headlatch, without I/O, clock or threads.
//!
//! Every part takes a typed event and the time and returns typed actions. The same code runs
//! under the daemons, the benches, the golden sessions and the fault matrices.

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
