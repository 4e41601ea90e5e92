//! Checked types shared by every package of headlatch.
//!
//! Raw input is converted to these types once, where it enters the process, and is not checked again.

pub mod digest;
pub mod direct_settings;
pub mod fleet;
pub mod id;
pub mod manifest;
pub mod pace;
pub mod progress;
pub mod quantity;
pub mod reading;
pub mod request;
pub mod settings;
pub mod status;
pub mod store;
pub mod traffic;
pub mod verdict;

pub use digest::Digest;
pub use fleet::FleetPlan;
pub use manifest::{ChunkIndex, Manifest};
pub use progress::ByteProgress;
pub use reading::InputError;
pub use verdict::RunVerdict;
