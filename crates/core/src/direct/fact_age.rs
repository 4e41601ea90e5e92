//! Freshness of a process's copy of a topic of the external store.
//!
//! An idle watch cannot be told from one that will never be answered. Every process therefore publishes the
//! newest change that it has applied, and a process that has read the store only up to an older change knows
//! that it has missed one.

use std::time::Duration;

use crate::time::Moment;

/// Freshness of the copy of one topic. `M` is the position of a change: a version of the plan, or a revision of
/// the store.
#[derive(Debug, Clone, Copy, Default)]
pub struct FactAge<M> {
    /// Position up to which no change is missing.
    covered: M,
    /// Position up to which the store itself has confirmed that no change is missing.
    confirmed_to: M,
    /// The newest change that has been applied.
    newest: M,
    /// The newest change that other processes report as applied.
    peer_newest: M,
    /// When the store last confirmed that no change is missing.
    confirmed_at: Option<Moment>,
    /// Since when a change is known to be missing.
    behind_since: Option<Moment>,
    /// Since when the store has not delivered a change that other processes know.
    missing_from_store_since: Option<Moment>,
    /// When a read of the store was last due for that reason.
    last_reread: Option<Moment>,
    /// When changes were last applied, from any source.
    last_progress: Option<Moment>,
    /// When the store last delivered changes.
    last_store_progress: Option<Moment>,
}

impl<M: Copy + Ord + Default> FactAge<M> {
    /// Records that the store has delivered all changes up to `covered`, the last of which is `newest`.
    pub fn confirm_from_store(&mut self, now: Moment, covered: M, newest: M) {
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

    /// Records a change received from another process.
    pub fn take_from_peer(&mut self, newest: M) {
        self.covered = self.covered.max(newest);
        self.newest = self.newest.max(newest);
        self.clear_resolved();
    }

    /// Records that another process has sent all changes up to `covered`, the last of which is `newest`.
    pub fn take_list_from_peer(&mut self, now: Moment, covered: M, newest: M) {
        let before = self.covered;
        self.covered = self.covered.max(covered).max(newest);
        if self.covered > before {
            self.last_progress = Some(now);
        }
        self.newest = self.newest.max(newest);
        self.clear_resolved();
    }

    /// Position up to which no change is missing.
    pub fn covered(&self) -> M {
        self.covered
    }

    /// Records that another process has applied `newest`.
    pub fn record_peer_position(&mut self, now: Moment, newest: M) {
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

    /// The newest applied change, for publication to other processes.
    pub fn newest(&self) -> M {
        self.newest
    }

    /// The newest change that any process is known to have applied.
    pub fn newest_told(&self) -> M {
        self.peer_newest.max(self.newest)
    }

    /// Time for which a change has been known to be missing; none if none is.
    pub fn behind(&self, now: Moment) -> Option<Duration> {
        self.behind_since.map(|since| now.since(since))
    }

    /// Time for which a change has been missing without any progress. While changes arrive in quick
    /// succession, a process that applies them is always slightly behind without having missed any.
    pub fn stalled(&self, now: Moment) -> Option<Duration> {
        let since = self.behind_since?;
        Some(now.since(self.last_progress.map_or(since, |at| at.max(since))))
    }

    /// Since when the store has not delivered a change that other processes know, although it was read or
    /// watched; none if there is no such change.
    pub fn missing_from_store_since(&self) -> Option<Moment> {
        self.missing_from_store_since
    }

    /// Whether the store must be read again because it has not delivered a known change within `timeout`.
    /// Returns true at most once per `timeout`, and not while the store still delivers other changes.
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

    /// Time since the store last confirmed that no change is missing; none if it never has.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.confirmed_at.map(|confirmed_at| now.since(confirmed_at))
    }
}
