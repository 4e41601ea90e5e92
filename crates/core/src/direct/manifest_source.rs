//! Where an agent reads the manifest of a version: a few read it from the origin, which takes few
//! connections, and the others from those.

use std::{net::SocketAddr, time::Duration};

/// Agents that read a manifest from the origin at first: an origin takes few connections, and draws need
/// them as well.
pub const INITIAL_READERS: usize = 12;

/// Time after which as many more may read it: a read takes a few round trips, and its news as long.
const READER_INTERVAL: Duration = Duration::from_millis(300);

/// Agents that read a manifest from the origin at most. Where all machines start at once, more keep each
/// other from having any.
pub const MAX_READERS: usize = 24;

/// Time for which the number of known agents must have stood still before the origin is read: those
/// that do not know of each other would all take themselves for the first, and draw everything.
pub const STEADY_TIME: Duration = Duration::from_millis(300);

/// Time after which the origin is read whoever is still being found.
pub const MAX_SETTLING_TIME: Duration = Duration::from_millis(2500);

/// Time after a start in which an agent that knows no other waits to hear of some: where all
/// machines start at once, each would take itself for the first. Starts lie 0.3 s apart, so that a
/// short wait spreads them; a longer one is time in which nothing is served.
const SETTLING_TIME: Duration = Duration::from_millis(150);

/// Time after which an agent reads the origin whatever its rank: none of those before it has handed
/// the manifest on.
const LAST_RESORT: Duration = Duration::from_millis(1500);

/// Time between two of those: several times what a manifest takes over the origin's link.
const LAST_RESORT_SPACING: Duration = Duration::from_millis(100);

/// Agents that ask one holder at once: each answer takes a new connection and some of a narrow link, and
/// many that asked one holder would all wait in vain.
const REQUESTERS_PER_HOLDER: usize = 8;

/// Agents of a failure domain that ask holders in others, for all of it.
const REMOTE_REQUESTERS: usize = 2;

/// Time after which as many more ask.
const REQUESTER_INTERVAL: Duration = Duration::from_millis(200);

/// What an agent knows when it needs a manifest.
#[derive(Debug, Clone, Copy)]
pub struct ManifestView<'a> {
    /// Its rank among the agents of its service, by rendezvous hashing.
    pub rank: usize,
    /// The same among those of its failure domain.
    pub domain_rank: usize,
    /// Whether it has heard of any other.
    pub is_alone: bool,
    /// Time for which the number of agents that it knows has stood still.
    pub steady: Duration,
    /// Time since it was needed first.
    pub waited: Duration,
    /// Tries that have failed.
    pub failures: u32,
    /// Agents that hold the manifest: those of the own failure domain if there are any.
    pub holders: &'a [SocketAddr],
    /// Whether the holders are of the own failure domain.
    pub holders_in_domain: bool,
}

/// Where to read a manifest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ManifestSource {
    /// From an agent that holds it.
    Peer(SocketAddr),
    /// From the origin.
    Origin,
    /// From nobody yet.
    Wait,
}

/// Decides where to read a manifest now.
pub fn manifest_source(view: &ManifestView<'_>) -> ManifestSource {
    let tries = view.failures as usize;
    // Every third try goes past the peers: what they hold may be wrong.
    if !view.holders.is_empty() && tries % 3 != 2 {
        if !may_request(view) {
            return ManifestSource::Wait;
        }
        return ManifestSource::Peer(view.holders[(view.rank + tries) % view.holders.len()]);
    }
    if view.is_alone && view.waited < SETTLING_TIME {
        return ManifestSource::Wait;
    }
    if view.steady < STEADY_TIME && view.waited < MAX_SETTLING_TIME {
        return ManifestSource::Wait;
    }
    let groups = 1 + (view.waited.as_millis() / READER_INTERVAL.as_millis()) as usize;
    let readers = INITIAL_READERS.saturating_mul(groups).min(MAX_READERS);
    // In the end everybody does, a few after the others.
    let last = view.waited >= LAST_RESORT + LAST_RESORT_SPACING * view.rank as u32;
    match view.rank < readers || last {
        true => ManifestSource::Origin,
        false => ManifestSource::Wait,
    }
}

/// Whether holders have time for this agent: those that come before it in the ranking ask first, and
/// become holders themselves.
fn may_request(view: &ManifestView<'_>) -> bool {
    let rounds = 1 + (view.waited.as_millis() / REQUESTER_INTERVAL.as_millis()) as usize;
    let at_once = match view.holders_in_domain {
        true => view.holders.len() * REQUESTERS_PER_HOLDER,
        false => REMOTE_REQUESTERS,
    };
    view.domain_rank < at_once * rounds
}
