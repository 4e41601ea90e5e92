//! Chooses where an agent reads a version's manifest. The origin accepts few connections, so a few
//! agents read it from there and the others from those agents.

use std::{net::SocketAddr, time::Duration};

/// Number of agents that read a manifest from the origin at first. The origin accepts few
/// connections, and downloads of pieces need them too.
pub const INITIAL_READERS: usize = 12;

/// Interval at which the same number of further agents may read from the origin. A read takes a few
/// round trips, and the news of it takes as long.
const READER_INTERVAL: Duration = Duration::from_millis(300);

/// Maximum number of agents that read a manifest from the origin. If all boxes start at once, more
/// readers would keep each other from completing any read.
pub const MAX_READERS: usize = 24;

/// Time for which the number of known agents must have been stable before the origin is read.
/// Agents that have not discovered each other would each rank themselves first and download
/// everything.
pub const STEADY_TIME: Duration = Duration::from_millis(300);

/// Time after which the origin is read even if agents are still being discovered.
pub const MAX_SETTLING_TIME: Duration = Duration::from_millis(2500);

/// Time after its start for which an agent that knows no peers waits to discover some. If all boxes
/// start at once, each would rank itself first. Starts are 0.3 s apart, so a short wait spreads
/// them; a longer one only delays serving.
const SETTLING_TIME: Duration = Duration::from_millis(150);

/// Time after which an agent reads from the origin whatever its rank, since no agent ranked before
/// it has passed the manifest on.
const LAST_RESORT: Duration = Duration::from_millis(1500);

/// Time between two such reads: several times the transfer time of a manifest over the origin's
/// link.
const LAST_RESORT_SPACING: Duration = Duration::from_millis(100);

/// Number of agents that ask one holder at once. Each answer takes a new connection and part of a
/// narrow link; if many asked one holder, all of them would time out.
const REQUESTERS_PER_HOLDER: usize = 8;

/// Number of agents in a failure domain that ask holders in other domains, in total.
const REMOTE_REQUESTERS: usize = 2;

/// Interval at which the same number of further agents may ask.
const REQUESTER_INTERVAL: Duration = Duration::from_millis(200);

/// What an agent knows when it needs a manifest.
#[derive(Debug, Clone, Copy)]
pub struct ManifestView<'a> {
    /// Its rank among the agents of its service, by rendezvous hashing.
    pub rank: usize,
    /// Its rank among the agents of its own failure domain.
    pub domain_rank: usize,
    /// Whether it knows no other agent.
    pub is_alone: bool,
    /// Time for which the number of known agents has been stable.
    pub steady: Duration,
    /// Time since the manifest was first needed.
    pub waited: Duration,
    /// Number of failed attempts.
    pub failures: u32,
    /// Agents that hold the manifest: those of the agent's own failure domain if there are any.
    pub holders: &'a [SocketAddr],
    /// Whether the holders are in the agent's own failure domain.
    pub holders_in_domain: bool,
}

/// Where to read a manifest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ManifestSource {
    /// From an agent that holds it.
    Peer(SocketAddr),
    /// From the origin.
    Origin,
    /// Nowhere yet.
    Wait,
}

/// Decides where to read a manifest now.
pub fn manifest_source(view: &ManifestView<'_>) -> ManifestSource {
    let tries = view.failures as usize;
    // Every third attempt bypasses the peers, since their copy may be corrupt.
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
    // Eventually every agent reads from the origin, spaced by rank.
    let last = view.waited >= LAST_RESORT + LAST_RESORT_SPACING * view.rank as u32;
    match view.rank < readers || last {
        true => ManifestSource::Origin,
        false => ManifestSource::Wait,
    }
}

/// Whether holders have capacity for this agent. Agents ranked before it ask first and become
/// holders themselves.
fn may_request(view: &ManifestView<'_>) -> bool {
    let rounds = 1 + (view.waited.as_millis() / REQUESTER_INTERVAL.as_millis()) as usize;
    let at_once = match view.holders_in_domain {
        true => view.holders.len() * REQUESTERS_PER_HOLDER,
        false => REMOTE_REQUESTERS,
    };
    view.domain_rank < at_once * rounds
}
