//! List of servers, as reported by the store and by other entries.

use std::{collections::HashSet, net::SocketAddr, sync::atomic::Ordering, time::Duration};

use headlatch_core::direct::{
    leaving::LeavingNotice,
    server_copy::{RemovedServer, RevisionedRecord, ServerChanges},
};
use headlatch_outside::facts::{Fact, FactChange, FactTopic, NamedFact};
use headlatch_types::{store::StoreRevision, traffic::ServerId};
use serde_json::json;

use super::{EntryState, lock};
use crate::{decisions, direct::facts::FactUpdate};

/// Maximum time for which this entry may be behind a peer's list of servers before it rereads the
/// list. It is longer than a watch pauses after each change plus the response time of a slow store.
/// Servers that leave are announced immediately in addition.
const MAX_SERVERS_LAG: Duration = Duration::from_millis(1400);

/// Same for the second reader of a failure domain, whose watch pauses for 2 s.
const SECOND_READER_MAX_LAG: Duration = Duration::from_millis(3200);

/// Converts an update from the store to server changes; records that can't be parsed are logged and
/// left out.
fn server_changes(update: FactUpdate, newest: StoreRevision) -> ServerChanges {
    let (covered, whole) = (update.covered(), matches!(update, FactUpdate::All(_)));
    let mut converted = ServerChanges { covered, newest, whole, ..ServerChanges::default() };
    for fact in update.into_changes() {
        match fact {
            FactChange::Set(NamedFact { revision, fact: Ok(Fact::Server(record)), .. }) => {
                converted.set.push(RevisionedRecord { revision, record });
            }
            FactChange::Set(NamedFact { fact: Ok(_), .. }) => {}
            FactChange::Set(NamedFact { name, revision, fact: Err(error), .. }) => {
                let fields = json!({ "name": name, "error": error.to_string() });
                decisions::warn("servers", "unreadable", fields);
                // The previous record of the server is no longer valid either.
                if !name.is_empty() {
                    converted.gone.push(RemovedServer { revision, id: ServerId(name.into()) });
                }
            }
            FactChange::Gone { name, revision } => {
                converted.gone.push(RemovedServer { revision, id: ServerId(name.into()) });
            }
        }
    }
    converted
}

impl EntryState {
    /// Applies an update of the list of servers from the store.
    pub fn apply_servers_update(&self, update: FactUpdate) {
        self.record_field_issues(FactTopic::Servers, &update);
        self.record_era(update.read_at(), "store");
        let (covered, newest) = (update.covered(), update.newest());
        let is_partial = update.is_partial();
        self.apply_servers(server_changes(update, newest));
        if is_partial {
            let is_any_known = self.servers().records().next().is_some();
            self.some_servers_known.fetch_or(is_any_known, Ordering::Relaxed);
            return;
        }
        lock(&self.servers_age).confirm_from_store(self.now(), covered, newest);
    }

    /// Applies server changes from another entry.
    pub fn merge_server_changes(&self, changes: ServerChanges) {
        if changes.covered <= self.servers_age().covered() {
            return;
        }
        let (covered, newest) = (changes.covered, changes.newest);
        self.apply_servers(changes);
        lock(&self.servers_age).take_list_from_peer(self.now(), covered, newest);
    }

    /// Server changes since `after`, for another entry.
    pub fn server_changes(&self, after: StoreRevision) -> Option<ServerChanges> {
        lock(&self.server_copy).changes_after(after)
    }

    fn apply_servers(&self, changes: ServerChanges) {
        let mut copy = lock(&self.server_copy);
        let changes = copy.newer_changes(changes);
        let known_era = copy.era();
        copy.take(self.now(), &changes);
        let kept = if changes.whole { copy.ids() } else { Vec::new() };
        drop(copy);
        if known_era.is_some_and(|era| era < changes.covered.era()) {
            self.servers().begin_era(self.now(), changes.covered);
        }
        if changes.whole {
            self.servers().retain_listed(self.now(), &kept, changes.covered);
            let (listed, at) = (changes.set.len(), changes.covered);
            let fields = json!({
                "servers": listed, "unregistered": kept.len().saturating_sub(listed),
                "at": at.number(), "era": at.era(),
            });
            decisions::info("servers", "listed", fields);
        }
        // Only one entry of each failure domain logs the changes.
        let notes = self.peers().is_domain_reporter();
        changes.set.iter().cloned().for_each(|marked| self.set_server(marked, notes));
        changes.gone.iter().for_each(|gone| self.remove_server(gone));
        if changes.whole {
            self.servers_known.store(true, Ordering::Relaxed);
        }
        let wanted: HashSet<SocketAddr> =
            self.servers().records().map(|record| record.address).collect();
        self.connections.retain(|address| wanted.contains(address));
    }

    /// Removes servers that have not registered again since the store came back from an older copy.
    pub fn remove_unregistered_servers(&self) {
        let removed = lock(&self.server_copy).remove_unregistered(self.now());
        if removed.is_empty() {
            return;
        }
        decisions::warn("servers", "not_registered_again", json!({ "servers": removed }));
        self.metrics.count_store_events("server_not_registered_again", removed.len());
        let mut servers = self.servers();
        for id in &removed {
            servers.remove_unregistered(self.now(), id);
        }
    }

    /// Mark of the newest server change that this entry has applied.
    pub fn newest_servers(&self) -> StoreRevision {
        lock(&self.servers_age).newest()
    }

    /// Records that a peer has applied server changes up to `newest`. If this entry stays behind,
    /// its watch has missed a change and the list is reread.
    pub fn record_peer_servers_mark(&self, newest: StoreRevision) {
        let now = self.now();
        if newest != StoreRevision::default() {
            self.record_era(newest, "peer");
        }
        let rank = self.peers().reader_rank();
        let mut age = lock(&self.servers_age);
        age.record_peer_position(now, newest);
        if age.behind(now).is_some() {
            self.newer_servers_offered.notify_one();
        }
        let is_late = age.stalled(now).is_some_and(|stalled| stalled >= MAX_SERVERS_LAG);
        let max_lag = if rank == Some(1) { SECOND_READER_MAX_LAG } else { MAX_SERVERS_LAG };
        let is_due = (is_late || rank.is_some()) && age.take_due(now, max_lag);
        drop(age);
        if is_due && !self.awaits_turn() {
            self.servers_refresh.notify_one();
        }
    }

    /// Marks servers that peers report as leaving; they get no more requests from this entry
    /// either.
    pub fn merge_leaving(&self, leaving: &[LeavingNotice]) {
        let now = self.now();
        for notice in leaving {
            if self.servers().merge_leaving(now, *notice) {
                let fields = json!({
                    "server_key": notice.server, "revision": notice.revision.number(),
                    "era": notice.revision.era(),
                    "returned": notice.returned,
                });
                decisions::info("servers", "leaving_told", fields);
            }
        }
    }

    fn set_server(&self, marked: RevisionedRecord, notes: bool) {
        let RevisionedRecord { revision, record } = marked;
        if notes {
            let fields = json!({
                "server": record.id, "service": record.service, "address": record.address,
                "zone": record.zone, "draining": record.draining, "slots": record.slots,
                "models": record.models, "cold_ms": record.cold_ms, "revision": revision.number(), "era": revision.era(),
            });
            decisions::info("servers", "set", fields);
        }
        if !record.models.is_empty() {
            let machine = SocketAddr::new(record.address.ip(), self.settings.node.control.port());
            self.peers().add_candidate(self.now(), machine);
        }
        self.servers().set(self.now(), record, revision);
        self.notices_stale.store(true, Ordering::Relaxed);
    }

    fn remove_server(&self, gone: &RemovedServer) {
        if self.servers().remove(self.now(), &gone.id, gone.revision) {
            decisions::info("servers", "gone", json!({ "server": gone.id }));
        }
    }
}
