//! Selects the entries of a failure domain that read the plan from the store and pass it to the others.
//!
//! A plan may take hundreds of kilobytes, and links between regions carry a few megabytes per second. If
//! every entry read the plan itself, changes would arrive seconds late.

use std::{net::SocketAddr, time::Duration};

/// Number of plan readers in a failure domain: one may fail or lose the store undetected.
const PLAN_READERS: usize = 2;

/// Time after its start at which a process reads from the store what it has not received from a peer, if
/// `before` processes of its failure domain take precedence and the first of them reads after `first`.
///
/// After a power failure all processes start without any state at once. If each read the list of servers
/// itself, the copies would saturate the link to the region of the store.
pub fn fallback_read_delay(first: Duration, before: usize) -> Duration {
    first * (1 + before / PLAN_READERS) as u32
}

/// A live entry of the local failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderCandidate {
    /// Address at which the entry receives notices.
    pub address: SocketAddr,
    /// Whether the store answers the calls of the entry, to its knowledge.
    pub reads_store: bool,
}

/// Rank of the entry at `own` among the store readers of its failure domain; none if it is not a reader.
/// The readers are the entries with the lowest addresses among those that can reach the store.
pub fn reader_rank(
    own: SocketAddr,
    others: impl Iterator<Item = ReaderCandidate>,
) -> Option<usize> {
    let before = others.filter(|other| other.reads_store && other.address < own);
    let rank = before.take(PLAN_READERS).count();
    (rank < PLAN_READERS).then_some(rank)
}

/// Whether the entry at `own` is a plan reader.
pub fn is_plan_reader(own: SocketAddr, others: impl Iterator<Item = ReaderCandidate>) -> bool {
    reader_rank(own, others).is_some()
}
