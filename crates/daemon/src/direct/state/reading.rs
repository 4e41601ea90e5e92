//! Decides which entries read the store, and when they do so after a start.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use headlatch_core::direct::plan_readers::fallback_read_delay;
use headlatch_types::store::StoreEra;

use super::{EntryState, lock};
use crate::direct::facts::{ReadGate, ReaderRole};

/// After the first start of the whole system, time for which an entry discovers peers before it
/// reads the store. Without it each entry would take itself for the only one and read.
const DISCOVERY_TIME: Duration = Duration::from_millis(400);

/// Same when other entries are running or have run. Peers named in the first responses have
/// responded by then, so that only a few of dozens of entries read a plan of up to a megabyte over
/// one link between regions.
const RESTART_DISCOVERY_TIME: Duration = Duration::from_millis(150);

/// Same when no other entry has been found: after a power loss hundreds of processes discover each
/// other at first through a few that have just started as well.
const RESTART_ALONE_DISCOVERY_TIME: Duration = Duration::from_millis(600);

/// Time for which the number of known entries must be unchanged before an entry without a plan may
/// consider itself a reader of the store.
const STABLE_TIME: Duration = Duration::from_millis(300);

/// Same when other entries are running or have run: two ticks without a new entry.
const RESTART_STABLE_TIME: Duration = Duration::from_millis(150);

/// Time after a start when the first entries that still lack the plan or the servers read the store
/// themselves; the others follow one after the other.
const SELF_READ_DELAY: Duration = Duration::from_millis(1500);

impl ReadGate for EntryState {
    fn is_open(&self) -> bool {
        let lacks = self.lacks_facts();
        let since = self.started.elapsed();
        if lacks && since >= self.self_read_delay() {
            return true;
        }
        // Callers are waiting, unless the whole system starts for the first time.
        let known = *lock(&self.known_entries);
        let stable_for = self.now().since(known.1);
        let settled = match self.settings.direct.first_start {
            true => since >= DISCOVERY_TIME && stable_for >= STABLE_TIME,
            // No other entry is known, but some may have started at the same moment.
            false if known.0 <= 1 => since >= RESTART_ALONE_DISCOVERY_TIME,
            false => since >= RESTART_DISCOVERY_TIME && stable_for >= RESTART_STABLE_TIME,
        };
        let has_read = !lacks;
        (settled || has_read) && self.peers().is_plan_reader()
    }

    fn note(&self, answered: bool) {
        self.plan.record_store_call(answered);
    }

    fn role(&self) -> ReaderRole {
        match self.peers().reader_rank() {
            Some(0) => ReaderRole::Active,
            _ => ReaderRole::Standby,
        }
    }

    fn newest_era(&self) -> StoreEra {
        EntryState::newest_era(self)
    }
}

/// Same gate as that of the plan, for topics whose calls say nothing about the freshness of the
/// plan.
#[derive(Debug)]
pub struct TopicGate(pub Arc<EntryState>);

impl ReadGate for TopicGate {
    fn is_open(&self) -> bool {
        self.0.is_open()
    }

    fn note(&self, _answered: bool) {}

    fn role(&self) -> ReaderRole {
        self.0.role()
    }

    fn newest_era(&self) -> StoreEra {
        self.0.newest_era()
    }
}

impl EntryState {
    /// Whether this entry has no plan or no list of servers yet.
    fn lacks_facts(&self) -> bool {
        self.routes().is_none() || !self.servers_known.load(Ordering::Relaxed)
    }

    /// Time after the start when this entry reads from the store whatever no peer has sent it.
    fn self_read_delay(&self) -> Duration {
        fallback_read_delay(SELF_READ_DELAY, self.peers().readers_before())
    }

    /// Whether this entry has just started and should leave reading the store to others.
    pub(super) fn awaits_turn(&self) -> bool {
        self.lacks_facts()
            && !self.peers().is_plan_reader()
            && self.started.elapsed() < self.self_read_delay()
    }
}
