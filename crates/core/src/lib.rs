//! Decision logic of headlatch, without I/O, clock or threads.
//!
//! Every part takes a typed event and the time and returns typed actions. The same code runs
//! under the daemons, the benches, the golden sessions and the fault matrices.

pub mod burst;
pub mod hash;
pub mod time;
