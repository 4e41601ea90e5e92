//! Messages between the processes of headlatch, generated from `proto/headlatch.proto`.

#[rustfmt::skip]
#[allow(missing_docs, clippy::all, clippy::pedantic, rustdoc::all)]
mod generated;

pub use generated::*;
