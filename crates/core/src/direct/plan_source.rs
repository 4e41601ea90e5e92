//! Selects when and from which peer an outdated entry fetches the newer plan.
//!
//! A plan must be in force everywhere within two seconds of its acceptance. The time from the store to an
//! entry without a working watch is bounded as follows:
//!
//! | step | maximum |
//! |---|---|
//! | the watch of another entry delivers the plan | 0.1 s |
//! | notice within a failure domain, at the next tick | 0.1 s |
//! | the entry that reports for a failure domain fetches the plan from a local peer ([`NEAR_WAIT`]) | 0.3 s |
//! | its notice to other failure domains | 0.1 s |
//! | a failure domain without the plan asks remote entries ([`FAR_WAIT`], [`RANK_WAIT`]) | 0.7 s |
//! | one holder times out, and another one answers | 0.4 s + 0.1 s |
//!
//! The worst case is 1.8 s; usually the first two steps suffice.

use headlatch_types::traffic::PlanVersion;
use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use super::fact_age::FactAge;
use crate::time::Moment;

/// Time that an entry with a watch on the store waits for it before it asks a local peer: across regions,
/// watches deliver a plan of a few hundred kilobytes within 0.15 s of each other.
const NEAR_WAIT: Duration = Duration::from_millis(250);

/// Time that an entry waits for its own failure domain before it asks another one: traffic between regions
/// is expensive, and the links are slow.
const FAR_WAIT: Duration = Duration::from_millis(400);

/// Added to [`FAR_WAIT`] for each local entry with a lower address: the first one to fetch a plan from
/// another domain passes it to the others, which takes 0.1 s.
const RANK_WAIT: Duration = Duration::from_millis(100);

/// Maximum number of local entries to wait for, since they may be disconnected as well.
const MAX_RANKS: u32 = 3;

/// Interval between reads of the store while the watch of an entry is overdue.
const READ_INTERVAL: Duration = Duration::from_millis(900);

/// Time after which an entry that is not a plan reader reads the store, if no peer has sent the plan.
const FALLBACK_READ_DELAY: Duration = Duration::from_millis(1500);

/// The holders of a newer plan that an outdated entry knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlanHolders {
    /// Whether this entry reads the plan from the store and its watch is not overdue.
    pub reads_store: bool,
    /// Entries of the local failure domain with the newer plan.
    pub near: Vec<SocketAddr>,
    /// Entries of other failure domains with the newer plan.
    pub far: Vec<SocketAddr>,
    /// Number of entries of the local failure domain with a lower address than this one.
    pub before: u32,
}

/// Sources of newer plans for one entry.
#[derive(Debug, Clone, Default)]
pub struct PlanSource {
    age: FactAge<PlanVersion>,
    /// Holders whose fetch has failed since this entry fell behind.
    failed: BTreeSet<SocketAddr>,
    /// Since when this entry has been a plan reader.
    reader_since: Option<Moment>,
}

impl PlanSource {
    /// Freshness of the plan.
    pub fn age(&self) -> &FactAge<PlanVersion> {
        &self.age
    }

    /// Records that the store has returned `version` as the newest plan.
    pub fn confirm_from_store(&mut self, now: Moment, version: PlanVersion) {
        self.age.confirm_from_store(now, version, version);
        self.clear_failures(now);
    }

    /// Records that a plan has been applied, from any source.
    pub fn take_from_peer(&mut self, now: Moment, version: PlanVersion) {
        self.age.take_from_peer(version);
        self.clear_failures(now);
    }

    fn clear_failures(&mut self, now: Moment) {
        if self.age.behind(now).is_none() {
            self.failed.clear();
        }
    }

    /// Records that another entry has the plan of `version`.
    pub fn record_peer_position(&mut self, now: Moment, version: PlanVersion) {
        self.age.record_peer_position(now, version);
    }

    /// Records whether this entry is currently a plan reader.
    pub fn record_role(&mut self, now: Moment, is_reader: bool) {
        match is_reader {
            true => {
                self.reader_since.get_or_insert(now);
            }
            false => self.reader_since = None,
        }
    }

    /// Records that a holder did not return the plan.
    pub fn record_failure(&mut self, holder: SocketAddr) {
        self.failed.insert(holder);
    }

    /// Whether this entry is a plan reader and the store should already have delivered a plan that others
    /// have. Another entry then takes its place as reader until the store delivers it.
    pub fn is_watch_overdue(&self, now: Moment) -> bool {
        let waiting_since = self.reader_since.zip(self.age.missing_from_store_since());
        waiting_since
            .is_some_and(|(reader, missing_since)| now.since(reader.max(missing_since)) >= FAR_WAIT)
    }

    /// Selects the holder to fetch the newer plan from, if a fetch is due; `draw` is random.
    ///
    /// Failed holders are retried only after all others have failed as well.
    pub fn holder(&self, now: Moment, view: &PlanHolders, draw: u64) -> Option<SocketAddr> {
        let behind = self.age.behind(now)?;
        let near_wait = if view.reads_store { NEAR_WAIT } else { Duration::ZERO };
        let far_wait = FAR_WAIT + RANK_WAIT * view.before.min(MAX_RANKS);
        let near = view.near.iter().filter(|_| behind >= near_wait);
        let far = view.far.iter().filter(|_| behind >= far_wait);
        let is_untried = |holder: &&SocketAddr| !self.failed.contains(*holder);
        let pick = |holders: Vec<&SocketAddr>| {
            let at = draw.checked_rem(holders.len() as u64)?;
            holders.get(at as usize).map(|holder| **holder)
        };
        pick(near.clone().filter(is_untried).collect())
            .or_else(|| pick(far.clone().filter(is_untried).collect()))
            .or_else(|| pick(near.chain(far).collect()))
    }

    /// Whether the store must be read now. A plan reader reads while its watch is overdue, even if a peer has
    /// sent the plan. Other entries read only if no peer sends it, as plans are large and links between
    /// regions are slow.
    pub fn take_due_read(&mut self, now: Moment, is_reader: bool) -> bool {
        let is_fallback_due =
            self.age.behind(now).is_some_and(|behind| behind >= FALLBACK_READ_DELAY);
        (is_reader || is_fallback_due) && self.age.take_due(now, READ_INTERVAL)
    }
}
