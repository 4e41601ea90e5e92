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
    peer_newest: ChangeMark,
    /// When the store last said that nothing is missing.
    confirmed_at: Option<Moment>,
    /// Since when a change is known to be missing.
    behind_since: Option<Moment>,
    /// Since when the store has not told a change that others know.
    missing_from_store_since: Option<Moment>,
    /// When the store was last to be read because of that.
    last_reread: Option<Moment>,
    /// When changes were last taken in, from wherever.
    last_progress: Option<Moment>,
    /// When the store last told changes.
    last_store_progress: Option<Moment>,
}

impl FactAge {
    /// The store has said everything up to `covered`, of which `newest` is the last change.
    pub fn confirm_from_store(&mut self, now: Moment, covered: ChangeMark, newest: ChangeMark) {
        let before = self.confirmed_to;
        self.confirmed_to = self.confirmed_to.max(covered).max(newest);
        if self.confirmed_to > before {
            self.last_progress = Some(now);
            self.last_store_progress = Some(now);
        }
        self.covered = self.covered.max(self.confirmed_to);
        self.newest = self.newest.max(newest);
        self.confirmed_at = Some(now);
        self.clear_resolved();
    }

    /// A change has come from another process.
    pub fn take_from_peer(&mut self, newest: ChangeMark) {
        self.covered = self.covered.max(newest);
        self.newest = self.newest.max(newest);
        self.clear_resolved();
    }

    /// Another process has handed over everything up to `covered`, of which `newest` is the last
    /// change.
    pub fn take_list_from_peer(&mut self, now: Moment, covered: ChangeMark, newest: ChangeMark) {
        let before = self.covered;
        self.covered = self.covered.max(covered).max(newest);
        if self.covered > before {
            self.last_progress = Some(now);
        }
        self.newest = self.newest.max(newest);
        self.clear_resolved();
    }

    /// The place up to which no change is missing.
    pub fn covered(&self) -> ChangeMark {
        self.covered
    }

    /// Another process has taken in `newest`.
    pub fn note_told(&mut self, now: Moment, newest: ChangeMark) {
        self.peer_newest = self.peer_newest.max(newest);
        if self.peer_newest > self.covered {
            self.behind_since.get_or_insert(now);
        }
        if self.peer_newest > self.confirmed_to {
            self.missing_from_store_since.get_or_insert(now);
        }
    }

    fn clear_resolved(&mut self) {
        if self.covered >= self.peer_newest {
            self.behind_since = None;
        }
        if self.confirmed_to >= self.peer_newest {
            self.missing_from_store_since = None;
            self.last_reread = None;
        }
    }

    /// The newest change that has been taken in, for others.
    pub fn newest(&self) -> ChangeMark {
        self.newest
    }

    /// The newest change that anybody is known to have taken in.
    pub fn newest_told(&self) -> ChangeMark {
        self.peer_newest.max(self.newest)
    }

    /// How long a change has been known to be missing; none if none is.
    pub fn behind(&self, now: Moment) -> Option<Duration> {
        self.behind_since.map(|since| now.since(since))
    }

    /// How long a change has been missing while none was taken in. Where changes come one after the other,
    /// a process that takes them in is always a little behind, and misses nothing.
    pub fn stalled(&self, now: Moment) -> Option<Duration> {
        let since = self.behind_since?;
        Some(now.since(self.last_progress.map_or(since, |at| at.max(since))))
    }

    /// Since when the store has not told a change that others know, although it was read or
    /// watched; none if there is no such change.
    pub fn missing_from_store_since(&self) -> Option<Moment> {
        self.missing_from_store_since
    }

    /// Whether the store is to be read anew because it has not told a change for `patience`; once
    /// in that time, and not while the store goes on telling others.
    pub fn take_due(&mut self, now: Moment, timeout: Duration) -> bool {
        let missing_since = self
            .missing_from_store_since
            .map(|since| self.last_store_progress.map_or(since, |at| at.max(since)));
        let waiting_since = self.last_reread.max(missing_since);
        let is_overdue = waiting_since.is_some_and(|since| now.since(since) >= timeout);
        if is_overdue {
            self.last_reread = Some(now);
        }
        is_overdue
    }

    /// Time since the store last said that nothing is missing; none if it never has.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.confirmed_at.map(|confirmed_at| now.since(confirmed_at))
    }
}
