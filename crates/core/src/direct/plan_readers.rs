//! Which entries of a failure domain read the plan from the store; the others have it from them.
//!
//! A plan may take hundreds of kilobytes, and links between regions carry a few megabytes a second:
//! where every entry reads it by itself, a change reaches them seconds late.

use std::{net::SocketAddr, time::Duration};

/// Entries of a failure domain that read the plan: one may stop, or lose the store, unseen.
const PLAN_READERS: usize = 2;

/// Time after its start from which a process reads by itself what nobody has handed it, where `before`
/// others of its failure domain do so before it and the first of them after `first`.
///
/// After a loss of power all of them lack everything at once. If each read the list of servers for itself,
/// the link to the store's region would be full of copies of it.
pub fn fallback_read_delay(first: Duration, before: usize) -> Duration {
    first * (1 + before / PLAN_READERS) as u32
}

/// An entry of the own failure domain that lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderCandidate {
    /// Where it hears notices.
    pub address: SocketAddr,
    /// Its calls to the store are answered, as far as it knows.
    pub reads_store: bool,
}

/// Rank of the entry at `own` among those of its failure domain that read the store; none if it does
/// not: the first by address do, of those whose calls are answered.
pub fn reader_rank(
    own: SocketAddr,
    others: impl Iterator<Item = ReaderCandidate>,
) -> Option<usize> {
    let before = others.filter(|other| other.reads_store && other.address < own);
    let rank = before.take(PLAN_READERS).count();
    (rank < PLAN_READERS).then_some(rank)
}

/// Whether the entry at `own` reads the plan from the store.
pub fn is_plan_reader(own: SocketAddr, others: impl Iterator<Item = ReaderCandidate>) -> bool {
    reader_rank(own, others).is_some()
}
