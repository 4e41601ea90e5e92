//! The list of servers as entries hand it to each other: two entries of a failure domain read it from
//! the store, and the others have what has changed from them.

use std::collections::{BTreeMap, HashSet};

use headlatch_types::traffic::{ServerId, ServerRecord};
use serde::{Deserialize, Serialize};

use super::fact_age::ChangeMark;

/// Servers that are gone and remembered for others; whoever is further behind has the whole list.
const MAX_REMOVED: usize = 512;

/// A record with the revision of its last change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionedRecord {
    /// Revision of the store at which it last changed.
    pub revision: ChangeMark,
    /// The record.
    pub record: ServerRecord,
}

/// A server that is gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemovedServer {
    /// Revision of the store at which it went, or of its last change.
    pub revision: ChangeMark,
    /// The server.
    pub id: ServerId,
}

/// What has changed of the list of servers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerChanges {
    /// No change up to here is missing.
    pub covered: ChangeMark,
    /// The newest change known.
    pub newest: ChangeMark,
    /// Whatever is not in `set` is gone.
    pub whole: bool,
    /// Servers that are new or have changed.
    pub set: Vec<RevisionedRecord>,
    /// Servers that are gone.
    pub gone: Vec<RemovedServer>,
}

/// The list of servers of one entry, as it is handed to others.
#[derive(Debug, Clone, Default)]
pub struct ServerCopy {
    covered: ChangeMark,
    newest: ChangeMark,
    records: BTreeMap<ServerId, RevisionedRecord>,
    /// Servers that are gone, with the place up to which changes were known then.
    gone: BTreeMap<ServerId, (ChangeMark, RemovedServer)>,
    /// Servers that went before this place are not remembered.
    removals_known_after: ChangeMark,
}

impl ServerCopy {
    /// The part of what has changed that is news: what a slow call to the store brings may be older
    /// than what another entry has handed over meanwhile.
    pub fn newer_changes(&self, changes: ServerChanges) -> ServerChanges {
        let known = |id: &ServerId| self.records.get(id).map(|marked| marked.revision);
        let is_old = |id: &ServerId, revision| known(id).is_some_and(|known| known > revision);
        let whole = changes.whole && changes.covered >= self.covered;
        let is_gone = |marked: &RevisionedRecord| {
            let gone = self.gone.get(&marked.record.id);
            changes.covered < self.covered && gone.is_some_and(|(at, _)| marked.revision <= *at)
        };
        let set = changes
            .set
            .iter()
            .filter(|marked| !is_old(&marked.record.id, marked.revision) && !is_gone(marked));
        let set = set.cloned().collect();
        let gone = changes.gone.iter().filter(|gone| !is_old(&gone.id, gone.revision));
        let gone = gone.cloned().collect();
        ServerChanges { whole, set, gone, ..changes }
    }

    /// Takes in what has changed.
    pub fn take(&mut self, changes: &ServerChanges) {
        self.covered = self.covered.max(changes.covered);
        self.newest = self.newest.max(changes.newest);
        if changes.whole {
            let listed: HashSet<&ServerId> =
                changes.set.iter().map(|marked| &marked.record.id).collect();
            let missing: Vec<ServerId> =
                self.records.keys().filter(|id| !listed.contains(id)).cloned().collect();
            let revision = changes.covered;
            missing.into_iter().for_each(|id| self.remove(RemovedServer { revision, id }));
            // What came and went before this list is not known.
            if self.removals_known_after == ChangeMark::default() {
                self.removals_known_after = changes.covered;
            }
        }
        for marked in &changes.set {
            self.gone.remove(&marked.record.id);
            self.records.insert(marked.record.id.clone(), marked.clone());
        }
        changes.gone.iter().cloned().for_each(|gone| self.remove(gone));
    }

    fn remove(&mut self, gone: RemovedServer) {
        self.records.remove(&gone.id);
        self.gone.insert(gone.id.clone(), (self.covered, gone));
        while self.gone.len() > MAX_REMOVED {
            let oldest = self.gone.iter().min_by_key(|(_, (at, _))| *at);
            let Some((id, at)) = oldest.map(|(id, (at, _))| (id.clone(), *at)) else { return };
            self.gone.remove(&id);
            self.removals_known_after = self.removals_known_after.max(at);
        }
    }

    /// What has changed for an entry that knows everything up to `after`; none before the first
    /// list.
    pub fn changes_after(&self, after: ChangeMark) -> Option<ServerChanges> {
        if self.covered == ChangeMark::default() {
            return None;
        }
        let whole = after < self.removals_known_after;
        let set = self.records.values().filter(|marked| whole || marked.revision > after);
        let gone = self.gone.values().filter(|(at, _)| !whole && *at > after);
        Some(ServerChanges {
            covered: self.covered,
            newest: self.newest,
            whole,
            set: set.cloned().collect(),
            gone: gone.map(|(_, gone)| gone.clone()).collect(),
        })
    }
}
