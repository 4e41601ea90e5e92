//! Chooses which of several wanted versions of the weights is completed first.
//!
//! Handles versions announced in quick succession, and an origin that goes down and returns between
//! them.

use std::time::Duration;

use headlatch_types::traffic::WeightVersion;

use super::staging::TURN_TIME;
use crate::time::Moment;

/// A wanted version that the server does not hold, with the cost of fetching it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionChoice {
    /// The version.
    pub version: WeightVersion,
    /// When older weights stop receiving requests.
    pub due: Moment,
    /// Estimated time until its missing pieces have arrived.
    pub transfer: Duration,
}

/// Allowance for a transfer that has not started and may take longer than estimated. A version is
/// skipped in favour of a newer one only if the newer one is in time even then.
const SKIP_MARGIN: Duration = Duration::from_millis(1500);

/// Share of capacity, in percent, that may be unavailable while servers take turns. A fleet sized
/// for its peak has about this much spare.
const SPARE_PERCENT: u32 = 25;

/// Cost of changing to a version whose pieces arrive at `here`, as time in which a server does not
/// serve; older weights stop receiving requests at `due`.
///
/// Every server is unavailable for its turn. With enough time, turns use only spare capacity; the
/// less time there is, the more servers are away at once, and past `due` all of them are idle.
fn change_cost(here: Moment, due: Moment) -> Duration {
    let covered = due.since(here) * SPARE_PERCENT / 100;
    TURN_TIME.saturating_sub(covered) + here.since(due)
}

/// The version to fetch next, from the wanted versions, oldest first.
///
/// Handles versions announced in quick succession. The newest satisfies the deadlines of all of
/// them, but if it arrives too late for an older one, servers would have to stop serving at that
/// deadline. An older version goes first if both changes together cost less.
pub fn next_version(now: Moment, wanted: &[VersionChoice]) -> Option<WeightVersion> {
    let (newest, older) = wanted.split_last()?;
    let first_due = older.iter().map(|one| one.due).fold(newest.due, Moment::min);
    let skipping = change_cost(now + newest.transfer + SKIP_MARGIN, first_due);
    let with_older = |one: &VersionChoice| {
        let here = now + one.transfer;
        change_cost(here, one.due) + change_cost(here + newest.transfer, newest.due)
    };
    let best = older.iter().min_by_key(|one| with_older(one));
    let older_first = best.filter(|one| with_older(one) < skipping);
    Some(older_first.map_or(newest.version, |one| one.version))
}
