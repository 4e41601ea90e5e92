//! Which entries read the store, and when after a start.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use headlatch_core::direct::plan_readers::turn_time;

use super::{EntryState, lock};
use crate::direct::facts::{ReadGate, ReaderDuty};

/// Time after the first start of the whole system in which an entry waits to hear of others before it
/// reads the store: each would take itself for the first.
const DISCOVERY_TIME: Duration = Duration::from_millis(400);

/// The same where others run or have run: who is named by the first answers has answered by then, so
/// that few of dozens of entries read a plan of up to a megabyte over one link between regions.
const RESTART_DISCOVERY_TIME: Duration = Duration::from_millis(150);

/// The same where nobody is heard: after a loss of power hundreds of processes find each other at first
/// through a few that have just started as well.
const RESTART_ALONE_DISCOVERY_TIME: Duration = Duration::from_millis(600);

/// Time for which the number of known entries must have stood still before an entry that lacks the
/// plan takes itself for one that reads the store.
const STABLE_TIME: Duration = Duration::from_millis(300);

/// The same where others run or have run: two ticks in which nobody else was found.
const RESTART_STABLE_TIME: Duration = Duration::from_millis(150);

/// Time after a start from which the first entries that still lack the plan or the servers read them by
/// themselves; the others follow in turns.
const SELF_READ_DELAY: Duration = Duration::from_millis(1500);

impl ReadGate for EntryState {
    fn is_open(&self) -> bool {
        let lacks = self.lacks_facts();
        let since = self.started.elapsed();
        if lacks && since >= self.self_read_delay() {
            return true;
        }
        // Callers wait, unless the whole system starts for the first time.
        let known = *lock(&self.known_entries);
        let stable_for = self.now().since(known.1);
        let settled = match self.settings.direct.first_start {
            true => since >= DISCOVERY_TIME && stable_for >= STABLE_TIME,
            // Nobody is known: others may have started at the same moment.
            false if known.0 <= 1 => since >= RESTART_ALONE_DISCOVERY_TIME,
            false => since >= RESTART_DISCOVERY_TIME && stable_for >= RESTART_STABLE_TIME,
        };
        let has_read = !lacks;
        (settled || has_read) && self.peers().is_plan_reader()
    }

    fn note(&self, answered: bool) {
        self.plan.note_store(answered);
    }

    fn duty(&self) -> ReaderDuty {
        match self.peers().reader_rank() {
            Some(0) => ReaderDuty::Watches,
            _ => ReaderDuty::StandsBy,
        }
    }
}

/// Opens as the plan's gate does, for topics whose calls say nothing about the plan.
#[derive(Debug)]
pub struct TopicGate(pub Arc<EntryState>);

impl ReadGate for TopicGate {
    fn is_open(&self) -> bool {
        self.0.is_open()
    }

    fn note(&self, _answered: bool) {}

    fn duty(&self) -> ReaderDuty {
        self.0.duty()
    }
}

impl EntryState {
    /// Whether this entry has no plan or no list of servers yet.
    fn lacks_facts(&self) -> bool {
        self.routes().is_none() || !self.servers_known.load(Ordering::Relaxed)
    }

    /// Time after the start from which this entry reads by itself what nobody has handed it.
    fn self_read_delay(&self) -> Duration {
        turn_time(SELF_READ_DELAY, self.peers().readers_before())
    }

    /// Whether others are to read the store before this entry does, which has just started.
    pub(super) fn awaits_turn(&self) -> bool {
        self.lacks_facts()
            && !self.peers().is_plan_reader()
            && self.started.elapsed() < self.self_read_delay()
    }
}
