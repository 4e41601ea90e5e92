//! Drain announcements and backoffs of servers, applied to the table.

use std::{collections::HashSet, time::Duration};

use super::{ChosenServer, ServerState, ServerTable};
use crate::{direct::suspects::LifeKey, time::Moment};

/// Why a chosen server is not sent the request after all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ineligible {
    /// It is no longer listed, or has restarted.
    Gone,
    /// It is draining.
    Draining,
    /// It has asked this entry to back off.
    BackingOff,
}

impl Ineligible {
    /// The cause, for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Gone => "server_gone",
            Self::Draining => "server_draining",
            Self::BackingOff => "server_backoff",
        }
    }
}

impl ServerTable {
    /// Marks a server that has announced in an answer that it drains; returns whether that is new.
    pub fn mark_draining(&mut self, now: Moment, life: LifeKey) -> bool {
        self.draining_lives.note(now, life)
    }

    /// Draining servers to gossip.
    pub fn recent_draining_lives(&self, now: Moment) -> Vec<LifeKey> {
        self.draining_lives.recent(now)
    }

    /// Keeps requests of this entry from a server for `backoff`, as it has asked.
    pub fn start_backoff(&mut self, now: Moment, server: &ChosenServer, backoff: Duration) {
        let state = self.servers.get_mut(&server.id).filter(|state| state.life == server.life);
        if let Some(state) = state {
            // A shorter time in a late answer does not end a longer one.
            state.backoff_until = state.backoff_until.max(Some(now + backoff));
        }
    }

    /// Whether a chosen server may still be sent the request.
    pub fn check_eligibility(&self, now: Moment, server: &ChosenServer) -> Result<(), Ineligible> {
        let state = self.servers.get(&server.id).filter(|state| state.life == server.life);
        match state {
            None => Err(Ineligible::Gone),
            Some(state) if self.is_excluded(state) => Err(Ineligible::Draining),
            Some(state) if !state.backoff(now).is_zero() => Err(Ineligible::BackingOff),
            Some(_) => Ok(()),
        }
    }

    /// Forgets draining servers that have not been listed for some time.
    pub(super) fn prune_draining_lives(&mut self, now: Moment) {
        if !self.draining_lives.is_empty() {
            let lives: HashSet<LifeKey> = self.servers.values().map(|state| state.life).collect();
            self.draining_lives.forget_old(now, |life| lives.contains(&life));
        }
    }
}

impl ServerState {
    /// Rest of the backoff that it has asked for.
    pub(super) fn backoff(&self, now: Moment) -> Duration {
        self.backoff_until.map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Whether it backs off, or its first request after that is still unanswered.
    pub(super) fn is_backing_off(&self, now: Moment) -> bool {
        !self.backoff(now).is_zero() || (self.backoff_until.is_some() && self.waiting > 0)
    }
}
