//! Whom an entry that is behind asks for the newer plan, and when.
//!
//! A plan must be in force everywhere two seconds after it was accepted. On the way from the store
//! to an entry without a working watch the time goes like this:
//!
//! | step | at most |
//! |---|---|
//! | another entry's watch brings the plan | 0.1 s |
//! | its notice comes: within a failure domain, or from the one that speaks for another | 0.5 s |
//! | the own watch, or a neighbour, may bring it yet | [`WATCH_WAIT`] |
//! | other entries of the failure domain ask far ones first | 3 × [`RANK_WAIT`] |
//! | one holder is silent, and the next one answers | 0.4 s + 0.1 s |

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use super::fact_age::{ChangeMark, FactAge};
use crate::time::Moment;

/// Time in which an entry that reads the store waits for its own watch, and any entry for those of
/// its failure domain: a plan of a few hundred kilobytes takes 0.15 s between regions.
const WATCH_WAIT: Duration = Duration::from_millis(450);

/// Added to that for each entry of the failure domain that comes before: the first to bring a plan
/// from far hands it to the others.
const RANK_WAIT: Duration = Duration::from_millis(150);

/// Entries of the failure domain that are waited for at most: they may be cut off as well.
const MOST_RANKS: u32 = 3;

/// Time between two readings of the store by an entry that stays behind.
const READ_PAUSE: Duration = Duration::from_millis(900);

/// Time after which also an entry that is not to read the plan reads it: nobody else hands it over.
const LAST_RESORT: Duration = Duration::from_millis(1800);

/// What an entry that is behind sees of the others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HolderView {
    /// This entry reads the plan from the store, and its calls are answered as far as it knows.
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
}

impl PlanSource {
    /// How current the plan is.
    pub fn age(&self) -> &FactAge {
        &self.age
    }

    /// The store has said that `version` is the newest plan.
    pub fn read(&mut self, now: Moment, version: ChangeMark) {
        self.age.read(now, version, version);
        self.settle(now);
    }

    /// A plan has been taken over, wherever it came from.
    pub fn take(&mut self, now: Moment, version: ChangeMark) {
        self.age.take_from_peer(version);
        self.settle(now);
    }

    fn settle(&mut self, now: Moment) {
        if self.age.behind(now).is_none() {
            self.failed.clear();
        }
    }

    /// Another entry has the plan of `version`.
    pub fn hear(&mut self, now: Moment, version: ChangeMark) {
        self.age.hear(now, version);
    }

    /// A holder was asked and did not hand the plan over.
    pub fn note_failed(&mut self, holder: SocketAddr) {
        self.failed.insert(holder);
    }

    /// Whether the own watch should have brought the newer plan by now.
    pub fn is_late(&self, now: Moment) -> bool {
        self.age.behind(now).is_some_and(|behind| behind >= WATCH_WAIT)
    }

    /// Whom to ask now, of those that have the newer plan; `draw` is random.
    ///
    /// Holders that failed are asked again only once all others have failed as well.
    pub fn holder(&self, now: Moment, view: &HolderView, draw: u64) -> Option<SocketAddr> {
        let behind = self.age.behind(now)?;
        let near_wait = if view.reads_store { WATCH_WAIT } else { Duration::ZERO };
        let far_wait = WATCH_WAIT + RANK_WAIT * view.before.min(MOST_RANKS);
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

    /// Whether the store is to be read now because this entry stays behind; once a while, and only
    /// by those that read the plan, as it is large and links between regions are narrow.
    pub fn take_read(&mut self, now: Moment, is_reader: bool) -> bool {
        self.age.take_due(now, if is_reader { READ_PAUSE } else { LAST_RESORT })
    }
}
