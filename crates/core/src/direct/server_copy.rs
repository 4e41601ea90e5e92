//! The list of servers as entries replicate it: two entries of a failure domain read it from the store,
//! and the others receive the changes from them.
//!
//! A store that comes back from an older copy lacks servers that registered since. They are kept until they have
//! had the time to register again.

use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};

use headlatch_types::{
    store::{StoreEra, StoreRevision},
    traffic::{ServerId, ServerRecord},
};
use serde::{Deserialize, Serialize};

use crate::time::Moment;

/// Time for which servers are kept that the list of a new era lacks: a server that is missing two seconds after
/// the return of the store is gone.
const REGISTRATION_TIME: Duration = Duration::from_millis(2000);

/// Maximum number of removed servers that are kept for other entries. An entry that is further behind
/// receives the full list.
const MAX_REMOVED: usize = 512;

/// A server record with its revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionedRecord {
    /// Store revision of the last change of the record.
    pub revision: StoreRevision,
    /// The server record.
    pub record: ServerRecord,
}

/// A server that has been removed from the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemovedServer {
    /// Store revision of the removal, or of the last change before it.
    pub revision: StoreRevision,
    /// Identifier of the server.
    pub id: ServerId,
}

/// Changes of the list of servers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerChanges {
    /// Position up to which no change is missing.
    pub covered: StoreRevision,
    /// The newest known change.
    pub newest: StoreRevision,
    /// `set` is the full list: servers that it lacks have been removed.
    pub whole: bool,
    /// New and changed servers.
    pub set: Vec<RevisionedRecord>,
    /// Removed servers.
    pub gone: Vec<RemovedServer>,
}

/// The list of servers of one entry, from which other entries are updated.
#[derive(Debug, Clone, Default)]
pub struct ServerCopy {
    covered: StoreRevision,
    newest: StoreRevision,
    records: BTreeMap<ServerId, RevisionedRecord>,
    /// Removed servers, each with the position up to which changes were known at its removal.
    gone: BTreeMap<ServerId, (StoreRevision, RemovedServer)>,
    /// Removals before this position are not kept.
    removals_known_after: StoreRevision,
    /// Until when records of an earlier era than that of `covered` are kept, if there are any.
    kept_until: Option<Moment>,
}

impl ServerCopy {
    /// Filters out changes that are already outdated: a slow read of the store may return an older state
    /// than another entry has sent in the meantime.
    pub fn newer_changes(&self, changes: ServerChanges) -> ServerChanges {
        let known = |id: &ServerId| self.records.get(id).map(|marked| marked.revision);
        let is_old = |id: &ServerId, revision| known(id).is_some_and(|known| known > revision);
        // The store's older copy may list a process that has restarted since.
        let is_earlier_life = |listed: &RevisionedRecord| {
            let known = self.records.get(&listed.record.id);
            let known = known.filter(|known| known.revision.era() < listed.revision.era());
            let starts =
                known.and_then(|known| known.record.started_at.zip(listed.record.started_at));
            starts.is_some_and(|(known, listed)| listed < known)
        };
        let whole = changes.whole && changes.covered >= self.covered;
        let is_gone = |marked: &RevisionedRecord| {
            let gone = self.gone.get(&marked.record.id);
            changes.covered < self.covered && gone.is_some_and(|(at, _)| marked.revision <= *at)
        };
        let is_outdated = |marked: &&RevisionedRecord| {
            is_old(&marked.record.id, marked.revision) || is_gone(marked) || is_earlier_life(marked)
        };
        let set = changes.set.iter().filter(|marked| !is_outdated(marked)).cloned().collect();
        let gone = changes.gone.iter().filter(|gone| !is_old(&gone.id, gone.revision));
        let gone = gone.cloned().collect();
        ServerChanges { whole, set, gone, ..changes }
    }

    /// Era of the store that the list is of; `None` before the first full list.
    pub fn era(&self) -> Option<StoreEra> {
        (self.covered != StoreRevision::default()).then(|| self.covered.era())
    }

    /// Identifiers of all servers in the list.
    pub fn ids(&self) -> Vec<ServerId> {
        self.records.keys().cloned().collect()
    }

    /// Applies changes.
    pub fn take(&mut self, now: Moment, changes: &ServerChanges) {
        let known_era = self.covered.era();
        self.covered = self.covered.max(changes.covered);
        self.newest = self.newest.max(changes.newest);
        if changes.whole {
            let listed: HashSet<&ServerId> =
                changes.set.iter().map(|marked| &marked.record.id).collect();
            let era = self.covered.era();
            let is_missing = |(id, marked): &(&ServerId, &RevisionedRecord)| {
                !listed.contains(id) && marked.revision.era() == era
            };
            let missing: Vec<ServerId> =
                self.records.iter().filter(is_missing).map(|(id, _)| id.clone()).collect();
            let revision = changes.covered;
            missing.into_iter().for_each(|id| self.remove(RemovedServer { revision, id }));
            // Removals before the first full list are unknown.
            if self.removals_known_after == StoreRevision::default() {
                self.removals_known_after = changes.covered;
            }
        }
        for marked in &changes.set {
            self.gone.remove(&marked.record.id);
            self.records.insert(marked.record.id.clone(), marked.clone());
        }
        changes.gone.iter().cloned().for_each(|gone| self.remove(gone));
        let is_kept = self.records_of_earlier_eras().next().is_some();
        self.kept_until = is_kept.then(|| match self.kept_until {
            Some(until) if known_era == self.covered.era() => until,
            _ => now + REGISTRATION_TIME,
        });
    }

    /// Servers that have not been listed since the store came back from an older copy.
    fn records_of_earlier_eras(&self) -> impl Iterator<Item = &ServerId> {
        let era = self.covered.era();
        let earlier = self.records.iter().filter(move |(_, marked)| marked.revision.era() < era);
        earlier.map(|(id, _)| id)
    }

    /// Removes the servers that have not registered again in time, and returns their identifiers.
    ///
    /// They are not among the removed servers that other entries receive: that they are gone is inferred, and an
    /// entry that has missed their registration must not take them from others.
    pub fn remove_unregistered(&mut self, now: Moment) -> Vec<ServerId> {
        if self.kept_until.is_none_or(|until| now < until) {
            return Vec::new();
        }
        self.kept_until = None;
        let removed: Vec<ServerId> = self.records_of_earlier_eras().cloned().collect();
        removed.iter().for_each(|id| drop(self.records.remove(id)));
        removed
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

    /// Changes for an entry that knows everything up to `after`; none before the first full list has been
    /// received.
    pub fn changes_after(&self, after: StoreRevision) -> Option<ServerChanges> {
        if self.covered == StoreRevision::default() {
            return None;
        }
        // What an older copy of the store lacks is not among the removed servers.
        let whole = after.era() < self.covered.era() || after < self.removals_known_after;
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
