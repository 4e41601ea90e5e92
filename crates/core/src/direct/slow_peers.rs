//! Which connection gives way when others need what it holds.

use std::time::Duration;

use headlatch_types::quantity::ByteRate;

/// Time for which a peer must have kept this process waiting before it can be judged: a send buffer that is full
/// empties in steps.
const MIN_WAIT: Duration = Duration::from_secs(2);

/// A connection whose peer keeps this process waiting, for it to read or to send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitingPeer<Id> {
    /// The connection.
    pub id: Id,
    /// Time since the wait began.
    pub waited: Duration,
    /// Rate at which the peer has read or sent since then.
    pub rate: ByteRate,
}

/// The slowest of the peers that are slower than `yield_rate`; the one that has been waited for longest among equals.
pub fn slowest_peer<Id: Copy>(
    peers: impl IntoIterator<Item = WaitingPeer<Id>>,
    yield_rate: ByteRate,
) -> Option<Id> {
    let slow = peers.into_iter().filter(|peer| peer.waited >= MIN_WAIT && peer.rate < yield_rate);
    slow.min_by_key(|peer| (peer.rate, std::cmp::Reverse(peer.waited))).map(|peer| peer.id)
}
