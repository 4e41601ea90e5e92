//! Load and experiment tools of headlatch.
//!
//! Small fakes in virtual time drive the real decision logic; the same seed gives the same run.

pub mod burst;
pub mod harmful_parts;
pub mod queue;
pub mod routing;
pub mod spread;
