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

/// Largest allowance for a transfer that may take longer than estimated. A version is skipped in
/// favour of a newer one only if the newer one is in time even then. The allowance is at most the
/// estimate itself, since a version that has arrived completely cannot be late.
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

/// The least by which another version must be better for a choice to change. Boxes learn of an
/// outage at different times and hold different numbers of pieces; a fleet that is split between
/// versions fetches both.
const CHANGE_THRESHOLD: Duration = Duration::from_millis(300);

/// Cost of completing the version at `first` among the wanted versions, oldest first, and the newest
/// after it. Older weights stop receiving requests when the first of the versions that they miss is
/// due.
fn order_cost(now: Moment, wanted: &[VersionChoice], first: usize) -> Option<Duration> {
    let (newest, one) = (wanted.last()?, wanted.get(first)?);
    let first_due = |versions: &[VersionChoice]| versions.iter().map(|one| one.due).min();
    let (until_first, after_first) = wanted.split_at(first + 1);
    let due = first_due(until_first)?;
    let Some(newest_due) = first_due(after_first) else {
        let margin = newest.transfer.min(SKIP_MARGIN);
        return Some(change_cost(now + newest.transfer + margin, due));
    };
    let here = now + one.transfer;
    Some(change_cost(here, due) + change_cost(here + newest.transfer, newest_due))
}

/// Cost of completing `version` first, as time in which a server does not serve; `None` if it is not
/// among the wanted versions, oldest first.
pub fn completion_cost(
    now: Moment,
    wanted: &[VersionChoice],
    version: WeightVersion,
) -> Option<Duration> {
    let first = wanted.iter().position(|one| one.version == version)?;
    order_cost(now, wanted, first)
}

/// The version to complete first, from the wanted versions, oldest first, regardless of any earlier
/// choice.
///
/// The newest satisfies the deadlines of all of them, but if it arrives too late for an older one,
/// servers would have to stop serving at that deadline. An older version goes first if both changes
/// together cost less.
pub fn next_version(now: Moment, wanted: &[VersionChoice]) -> Option<WeightVersion> {
    // Of equal costs, the newest version is chosen: it needs one change.
    let costs = (0..wanted.len())
        .rev()
        .filter_map(|first| Some((order_cost(now, wanted, first)?, wanted[first].version)));
    costs.min_by_key(|(cost, _)| *cost).map(|(_, version)| version)
}

/// Chooses the version to complete first, and keeps to the choice while no other one is clearly
/// better.
#[derive(Debug, Clone, Copy, Default)]
pub struct VersionChooser {
    chosen: Option<WeightVersion>,
}

impl VersionChooser {
    /// Chooses from the wanted versions that the server lacks, oldest first; `None` if there are
    /// none.
    pub fn choose(&mut self, now: Moment, wanted: &[VersionChoice]) -> Option<WeightVersion> {
        let best = next_version(now, wanted);
        let cost = |version| completion_cost(now, wanted, version);
        let before = self.chosen.and_then(|chosen| Some((chosen, cost(chosen)?)));
        let kept = before
            .zip(best.and_then(cost))
            .filter(|((_, kept), best)| kept.saturating_sub(*best) < CHANGE_THRESHOLD);
        self.chosen = kept.map(|((chosen, _), _)| chosen).or(best);
        self.chosen
    }
}
