//! The era of the store: it rises each time the store comes back from an older copy of itself.

use headlatch_types::store::{StoreEra, StoreRevision};
use serde_json::json;

use super::{EntryState, lock};
use crate::decisions;

impl EntryState {
    /// Records the era of a position that the store or another entry has reported. In a newer era every
    /// watch of an older one is obsolete, since the store gives out its revisions again.
    pub fn record_era(&self, at: StoreRevision, source: &str) {
        let mut known = lock(&self.store_era);
        let before = *known;
        if before.is_some_and(|before| before >= at.era()) {
            return;
        }
        *known = Some(at.era());
        drop(known);
        self.metrics.set_store_era(at.era());
        let Some(before) = before else { return };
        let fields = json!({
            "before": before, "era": at.era(), "at": at.number(), "source": source,
            "servers_at": self.newest_servers().number(),
        });
        decisions::warn("store", "era_changed", fields);
        self.metrics.count_store_events("era_changed", 1);
        self.era_changed.notify_waiters();
    }

    /// The newest known era of the store.
    pub fn newest_era(&self) -> StoreEra {
        lock(&self.store_era).unwrap_or_default()
    }

    /// Waits until the store is known to be in an era later than `known`, and returns that era.
    pub async fn later_era(&self, known: StoreEra) -> StoreEra {
        loop {
            let changed = self.era_changed.notified();
            let era = self.newest_era();
            if era > known {
                return era;
            }
            changed.await;
        }
    }
}
