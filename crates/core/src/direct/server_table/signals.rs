//! Drain announcements and backoffs of servers, applied to the table.

use std::{collections::HashSet, time::Duration};

use super::{ChosenServer, ServerState, ServerTable};
use crate::{direct::suspects::LifeKey, time::Moment};

/// Reason why a selected server is not sent the request after all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ineligible {
    /// The server is no longer listed, has restarted, or is not at its address any more.
    Gone,
    /// The server is draining.
    Draining,
    /// The server has requested a backoff.
    BackingOff,
}

impl Ineligible {
    /// Returns the cause as it appears in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Gone => "server_gone",
            Self::Draining => "server_draining",
            Self::BackingOff => "server_backoff",
        }
    }
}

impl ServerTable {
    /// Marks a server process that has announced draining in a response; returns whether that is new.
    pub fn mark_draining(&mut self, now: Moment, life: LifeKey) -> bool {
        self.draining_lives.note(now, life)
    }

    /// Returns the recently announced draining server processes to gossip.
    pub fn recent_draining_lives(&self, now: Moment) -> Vec<LifeKey> {
        self.draining_lives.recent(now)
    }

    /// Starts a backoff requested by a server; this entry sends it no requests for that time.
    pub fn start_backoff(&mut self, now: Moment, server: &ChosenServer, backoff: Duration) {
        let state = self.servers.get_mut(&server.id).filter(|state| state.life == server.life);
        if let Some(state) = state {
            // A shorter backoff in a late response does not cut a longer one short.
            state.backoff_until = state.backoff_until.max(Some(now + backoff));
        }
    }

    /// Checks whether a selected server may still be sent the request.
    pub fn check_eligibility(&self, now: Moment, server: &ChosenServer) -> Result<(), Ineligible> {
        let state = self.servers.get(&server.id).filter(|state| state.life == server.life);
        match state {
            None => Err(Ineligible::Gone),
            Some(state) if state.superseded || self.is_misdirected(now, state) => {
                Err(Ineligible::Gone)
            }
            Some(state) if self.is_excluded(state) => Err(Ineligible::Draining),
            Some(state) if !state.backoff(now).is_zero() => Err(Ineligible::BackingOff),
            Some(_) => Ok(()),
        }
    }

    /// Removes draining server processes that have not been listed for some time.
    pub(super) fn prune_draining_lives(&mut self, now: Moment) {
        if !self.draining_lives.is_empty() {
            let lives: HashSet<LifeKey> = self.servers.values().map(|state| state.life).collect();
            self.draining_lives.forget_old(now, |life| lives.contains(&life));
        }
    }
}

impl ServerState {
    /// Returns the remaining time of the backoff requested by the server.
    pub(super) fn backoff(&self, now: Moment) -> Duration {
        self.backoff_until.map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Returns whether the server is in backoff or has not yet answered the first request after it.
    pub(super) fn is_backing_off(&self, now: Moment) -> bool {
        !self.backoff(now).is_zero() || (self.backoff_until.is_some() && self.waiting > 0)
    }
}
