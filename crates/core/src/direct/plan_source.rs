//! Whom an entry that is behind asks for the newer plan, and when.
//!
//! A plan must be in force everywhere two seconds after it was accepted. On the way from the store
//! to an entry without a working watch the time goes like this:
//!
//! | step | at most |
//! |---|---|
//! | the watch of another entry brings the plan | 0.1 s |
//! | a notice: within a failure domain at the next tick | 0.1 s |
//! | the entry that speaks for a failure domain has it from a neighbour ([`NEAR_WAIT`]) | 0.3 s |
//! | its notice to other failure domains | 0.1 s |
//! | a failure domain that has nothing yet asks far entries ([`FAR_WAIT`], [`RANK_WAIT`]) | 0.7 s |
//! | one holder is silent, and another one answers | 0.4 s + 0.1 s |
//!
//! That makes 1.8 s where everything goes wrong in turn; usually the first two steps are all.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use super::fact_age::{ChangeMark, FactAge};
use crate::time::Moment;

/// Time for which an entry that watches the store waits for that before it asks a neighbour: their
/// watches bring a plan of a few hundred kilobytes within 0.15 s of each other between regions.
const NEAR_WAIT: Duration = Duration::from_millis(250);

/// Time for which any entry waits for its failure domain before it asks another: bytes between
/// regions are dear, and their links narrow.
const FAR_WAIT: Duration = Duration::from_millis(400);

/// Added to that for each entry of the failure domain that comes before: the first to bring a plan
/// from far hands it to the others, which takes 0.1 s.
const RANK_WAIT: Duration = Duration::from_millis(100);

/// Entries of the failure domain that are waited for at most: they may be cut off as well.
const MAX_RANKS: u32 = 3;

/// Time between two readings of the store by an entry whose watch is late.
const READ_INTERVAL: Duration = Duration::from_millis(900);

/// Time after which also an entry that is not to read the plan reads it: nobody hands it over.
const FALLBACK_READ_DELAY: Duration = Duration::from_millis(1500);

/// What an entry that is behind sees of the others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlanHolders {
    /// This entry reads the plan from the store, and its watch is not late.
    pub reads_store: bool,
    /// Entries of the own failure domain that have the newer plan.
    pub near: Vec<SocketAddr>,
    /// Entries of other failure domains that have it.
    pub far: Vec<SocketAddr>,
    /// Entries of the own failure domain that come before this one in the order of addresses.
    pub before: u32,
}

/// An entry's sources of newer plans.
#[derive(Debug, Clone, Default)]
pub struct PlanSource {
    age: FactAge,
    /// Holders that have been asked in vain since this entry fell behind.
    failed: BTreeSet<SocketAddr>,
    /// Since when this entry is one of those that read the plan from the store.
    reader_since: Option<Moment>,
}

impl PlanSource {
    /// How current the plan is.
    pub fn age(&self) -> &FactAge {
        &self.age
    }

    /// The store has said that `version` is the newest plan.
    pub fn confirm_from_store(&mut self, now: Moment, version: ChangeMark) {
        self.age.confirm_from_store(now, version, version);
        self.clear_failures(now);
    }

    /// A plan has been taken over, wherever it came from.
    pub fn take_from_peer(&mut self, now: Moment, version: ChangeMark) {
        self.age.take_from_peer(version);
        self.clear_failures(now);
    }

    fn clear_failures(&mut self, now: Moment) {
        if self.age.behind(now).is_none() {
            self.failed.clear();
        }
    }

    /// Another entry has the plan of `version`.
    pub fn note_told(&mut self, now: Moment, version: ChangeMark) {
        self.age.note_told(now, version);
    }

    /// Whether this entry is one of those that read the plan from the store now.
    pub fn note_role(&mut self, now: Moment, is_reader: bool) {
        match is_reader {
            true => {
                self.reader_since.get_or_insert(now);
            }
            false => self.reader_since = None,
        }
    }

    /// A holder was asked and did not hand the plan over.
    pub fn note_failed(&mut self, holder: SocketAddr) {
        self.failed.insert(holder);
    }

    /// Whether this entry reads the store, and what others have should have come from there by
    /// now: somebody else is to read in its place until the store tells it something.
    pub fn is_watch_overdue(&self, now: Moment) -> bool {
        let waiting_since = self.reader_since.zip(self.age.missing_from_store_since());
        waiting_since
            .is_some_and(|(reader, missing_since)| now.since(reader.max(missing_since)) >= FAR_WAIT)
    }

    /// Whom to ask now, of those that have the newer plan; `draw` is random.
    ///
    /// Holders that failed are asked again only once all others have failed as well.
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

    /// Whether the store is to be read now: by an entry whose watch is late, also where a neighbour
    /// has helped, and by any other only if nobody hands the plan over, as it is large and links
    /// between regions are narrow.
    pub fn take_due_read(&mut self, now: Moment, is_reader: bool) -> bool {
        let is_fallback_due =
            self.age.behind(now).is_some_and(|behind| behind >= FALLBACK_READ_DELAY);
        (is_reader || is_fallback_due) && self.age.take_due(now, READ_INTERVAL)
    }
}
