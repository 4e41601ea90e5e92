//! How current a process's copy of a topic of the outside store is.
//!
//! A watch that waits and a watch that nobody will ever answer look alike from here. What tells
//! them apart are other processes: each tells the newest change that it has taken in, and whoever
//! has read the store less far than that has missed something.

use std::{fmt, time::Duration};

use crate::time::Moment;

/// Place of a change in the order of its topic: a version of the plan, or a revision of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
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
    /// The newest change that has been taken in.
    newest: ChangeMark,
    /// The newest change that others have taken in.
    told: ChangeMark,
    /// When the store last said that nothing is missing.
    confirmed: Option<Moment>,
    /// Since when a change is known to be missing.
    behind_since: Option<Moment>,
    /// When it was last said to be due because a change is missing.
    due: Option<Moment>,
}

impl FactAge {
    /// The store has said everything up to `covered`, of which `newest` is the last change.
    pub fn read(&mut self, now: Moment, covered: ChangeMark, newest: ChangeMark) {
        self.covered = self.covered.max(covered).max(newest);
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

    /// Another process has taken in `newest`.
    pub fn hear(&mut self, now: Moment, newest: ChangeMark) {
        self.told = self.told.max(newest);
        if self.told > self.covered && self.behind_since.is_none() {
            self.behind_since = Some(now);
        }
    }

    fn settle(&mut self) {
        if self.covered >= self.told {
            self.behind_since = None;
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

    /// Whether the store is to be read anew because a change has been missing for `patience`; once
    /// in that time.
    pub fn take_due(&mut self, now: Moment, patience: Duration) -> bool {
        let waits = self.due.max(self.behind_since);
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
