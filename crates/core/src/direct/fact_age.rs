//! How current a process's copy of a topic of the outside store is.
//!
//! A watch that waits and a watch that nobody will ever answer look alike from here. What tells
//! them apart are other processes: each tells the newest change that it has taken in, and whoever
//! has read the store less far than that has missed something.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::time::Moment;

/// Place of a change in the order of its topic: a version of the plan, or a revision of the store.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ChangeMark(pub u64);

impl fmt::Display for ChangeMark {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// What a process knows of the age of its copy of one topic.
#[derive(Debug, Clone, Copy, Default)]
pub struct FactAge {
    /// No change up to here is missing.
    covered: ChangeMark,
    /// The same as far as the store has said so itself.
    confirmed_to: ChangeMark,
    /// The newest change that has been taken in.
    newest: ChangeMark,
    /// The newest change that others have taken in.
    told: ChangeMark,
    /// When the store last said that nothing is missing.
    confirmed: Option<Moment>,
    /// Since when a change is known to be missing.
    behind_since: Option<Moment>,
    /// Since when the store has not told a change that others know.
    untold_since: Option<Moment>,
    /// When the store was last to be read because of that.
    due: Option<Moment>,
    /// When changes were last taken in, from wherever.
    progressed: Option<Moment>,
    /// When the store last told changes.
    store_progressed: Option<Moment>,
}

impl FactAge {
    /// The store has said everything up to `covered`, of which `newest` is the last change.
    pub fn confirm_from_store(&mut self, now: Moment, covered: ChangeMark, newest: ChangeMark) {
        let before = self.confirmed_to;
        self.confirmed_to = self.confirmed_to.max(covered).max(newest);
        if self.confirmed_to > before {
            self.progressed = Some(now);
            self.store_progressed = Some(now);
        }
        self.covered = self.covered.max(self.confirmed_to);
        self.newest = self.newest.max(newest);
        self.confirmed = Some(now);
        self.settle();
    }

    /// A change has come from another process.
    pub fn take_from_peer(&mut self, newest: ChangeMark) {
        self.covered = self.covered.max(newest);
        self.newest = self.newest.max(newest);
        self.settle();
    }

    /// Another process has handed over everything up to `covered`, of which `newest` is the last
    /// change.
    pub fn take_list_from_peer(&mut self, now: Moment, covered: ChangeMark, newest: ChangeMark) {
        let before = self.covered;
        self.covered = self.covered.max(covered).max(newest);
        if self.covered > before {
            self.progressed = Some(now);
        }
        self.newest = self.newest.max(newest);
        self.settle();
    }

    /// The place up to which no change is missing.
    pub fn covered(&self) -> ChangeMark {
        self.covered
    }

    /// Another process has taken in `newest`.
    pub fn note_told(&mut self, now: Moment, newest: ChangeMark) {
        self.told = self.told.max(newest);
        if self.told > self.covered {
            self.behind_since.get_or_insert(now);
        }
        if self.told > self.confirmed_to {
            self.untold_since.get_or_insert(now);
        }
    }

    fn settle(&mut self) {
        if self.covered >= self.told {
            self.behind_since = None;
        }
        if self.confirmed_to >= self.told {
            self.untold_since = None;
            self.due = None;
        }
    }

    /// The newest change that has been taken in, for others.
    pub fn newest(&self) -> ChangeMark {
        self.newest
    }

    /// The newest change that anybody is known to have taken in.
    pub fn newest_told(&self) -> ChangeMark {
        self.told.max(self.newest)
    }

    /// How long a change has been known to be missing; none if none is.
    pub fn behind(&self, now: Moment) -> Option<Duration> {
        self.behind_since.map(|since| now.since(since))
    }

    /// How long a change has been missing while none was taken in. Where changes come one after the other,
    /// a process that takes them in is always a little behind, and misses nothing.
    pub fn stalled(&self, now: Moment) -> Option<Duration> {
        let since = self.behind_since?;
        Some(now.since(self.progressed.map_or(since, |at| at.max(since))))
    }

    /// Since when the store has not told a change that others know, although it was read or
    /// watched; none if there is no such change.
    pub fn untold_since(&self) -> Option<Moment> {
        self.untold_since
    }

    /// Whether the store is to be read anew because it has not told a change for `patience`; once
    /// in that time, and not while the store goes on telling others.
    pub fn take_due(&mut self, now: Moment, patience: Duration) -> bool {
        let untold =
            self.untold_since.map(|since| self.store_progressed.map_or(since, |at| at.max(since)));
        let waits = self.due.max(untold);
        let is_due = waits.is_some_and(|since| now.since(since) >= patience);
        if is_due {
            self.due = Some(now);
        }
        is_due
    }

    /// Time since the store last said that nothing is missing; none if it never has.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }
}
