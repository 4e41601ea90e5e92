//! Servers that are not at their address any more: another process answers there that it is not the one that the
//! request is for.
//!
//! The record of a server that has ended may stay listed for seconds. Each request for it reaches whoever listens at
//! its address now, who may be cold. Entries therefore tell each other, and try again rarely until a record or
//! an agent says something new.

use std::{collections::HashMap, time::Duration};

use super::{ServerState, ServerTable};
use crate::{
    direct::{rate_limits::EntryKey, suspects::LifeKey},
    hash::score,
    time::Moment,
};

/// Initial time without requests after a misdirected one. Entries add up to the same time again, so that they do not
/// all try at the same moment.
const COOLDOWN: Duration = Duration::from_secs(1);

/// Maximum number of times the cooldown is doubled.
const MAX_DOUBLINGS: u32 = 2;

/// Time for which a misdirected request is gossiped.
const GOSSIP_TIME: Duration = Duration::from_millis(800);

/// Difference between the times of two misdirected requests below which they count as one, as notices take time.
const GOSSIP_TOLERANCE: Duration = Duration::from_millis(300);

/// Maximum number of misdirected requests in one notice.
pub const MAX_MISDIRECTED_NOTICES: usize = 32;

/// A misdirected request, as gossiped between entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MisdirectedNotice {
    /// Key of the server process that the request was for.
    pub life: LifeKey,
    /// Time since the answer.
    pub age: Duration,
}

/// Misdirected requests to one server since its record or the weights that its agent reports last changed.
#[derive(Debug, Clone, Copy, Default)]
pub struct Misdirected {
    /// Time of the latest one of any entry.
    last: Option<Moment>,
    /// Number of those of this entry.
    count: u32,
    /// Whether the weights have changed since.
    cleared: bool,
    /// Time of the last change of the record.
    changed: Moment,
}

impl Misdirected {
    /// Starts anew after a change of the server's record.
    pub fn reset(&mut self, now: Moment) {
        *self = Self { changed: now, ..Self::default() };
    }

    /// Lets the server have requests again after a change of its weights.
    pub fn clear(&mut self) {
        (self.count, self.cleared) = (0, true);
    }

    /// Records a misdirected request of this entry.
    pub fn record(&mut self, now: Moment) {
        (self.last, self.cleared) = (Some(now), false);
        self.count += 1;
    }

    /// Merges a misdirected request of another entry at `at`; returns whether it is a later one.
    fn merge(&mut self, at: Moment) -> bool {
        let is_known = self.last.is_some_and(|last| at <= last + GOSSIP_TOLERANCE);
        let is_later = !is_known && at > self.changed;
        if is_later {
            (self.last, self.cleared) = (Some(at), false);
        }
        is_later
    }

    /// Returns the time until which the server gets no requests; `stagger`, from 0 to 1, is this entry's own.
    fn blocked_until(&self, stagger: f64) -> Option<Moment> {
        if self.cleared {
            return None;
        }
        let doublings = self.count.saturating_sub(1).min(MAX_DOUBLINGS);
        Some(self.last? + (COOLDOWN * (1 << doublings)).mul_f64(1.0 + stagger))
    }
}

impl ServerTable {
    /// Returns whether a server gets no requests after a misdirected one.
    pub(super) fn is_misdirected(&self, now: Moment, state: &ServerState) -> bool {
        let stagger = score(u64::from(state.life.0), self.own.0) as f64 / u64::MAX as f64;
        state.misdirected.blocked_until(stagger).is_some_and(|until| now < until)
    }

    /// Merges misdirected requests of other entries; returns the servers for which they are new.
    pub fn merge_misdirected(
        &mut self,
        now: Moment,
        notices: &[MisdirectedNotice],
    ) -> Vec<LifeKey> {
        let reported: HashMap<LifeKey, Duration> =
            notices.iter().map(|notice| (notice.life, notice.age)).collect();
        let mut learned = Vec::new();
        for state in self.servers.values_mut() {
            let Some(age) = reported.get(&state.life) else { continue };
            if state.misdirected.merge(now - *age) {
                learned.push(state.life);
            }
        }
        learned
    }

    /// Returns the latest misdirected requests to gossip, newest first.
    pub fn recent_misdirected(&self, now: Moment) -> Vec<MisdirectedNotice> {
        let recent = self.servers.values().filter_map(|state| {
            let age = now.since(state.misdirected.last?);
            (age <= GOSSIP_TIME).then_some(MisdirectedNotice { life: state.life, age })
        });
        let mut recent: Vec<MisdirectedNotice> = recent.collect();
        recent.sort_by_key(|notice| (notice.age, notice.life.0));
        recent.truncate(MAX_MISDIRECTED_NOTICES);
        recent
    }

    /// Sets the key of this entry.
    pub(super) fn set_own(&mut self, own: EntryKey) {
        self.own = own;
    }
}
