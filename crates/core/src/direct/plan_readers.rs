//! Which entries of a failure domain read the plan from the store; the others have it from them.
//!
//! A plan may take hundreds of kilobytes, and links between regions carry a few megabytes a second:
//! where every entry reads it by itself, a change reaches them seconds late.

use std::net::SocketAddr;

/// Entries of a failure domain that read the plan: one may stop, or lose the store, unseen.
const PLAN_READERS: usize = 2;

/// An entry of the own failure domain that lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderView {
    /// Where it hears notices.
    pub address: SocketAddr,
    /// Its calls to the store are answered, as far as it knows.
    pub reads_store: bool,
}

/// Whether the entry at `own` reads the plan from the store: the first by address do, of those
/// whose calls are answered.
pub fn is_plan_reader(own: SocketAddr, others: impl Iterator<Item = ReaderView>) -> bool {
    let before = others.filter(|other| other.reads_store && other.address < own);
    before.take(PLAN_READERS).count() < PLAN_READERS
}
