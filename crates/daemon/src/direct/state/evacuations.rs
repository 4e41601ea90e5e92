//! Evacuated failure domains, as reported by the store and by other entries.

use std::collections::BTreeSet;

use headlatch_core::direct::{evacuation::EvacuatedDomains, peers::DomainKey};
use headlatch_outside::facts::{Fact, FactChange, NamedFact};
use headlatch_types::id::DomainId;
use serde_json::json;

use super::{EntryState, lock};
use crate::{decisions, direct::facts::FactUpdate};

impl EntryState {
    /// The evacuated failure domains that the store lists, as far as this entry knows.
    pub fn evacuated(&self) -> EvacuatedDomains {
        lock(&self.evacuations).listed().clone()
    }

    /// The failure domains that get no new requests.
    pub fn evacuations_in_force(&self) -> BTreeSet<DomainKey> {
        lock(&self.evacuations).in_force()
    }

    /// Applies an update of the evacuations from the store.
    pub fn apply_evacuations_update(&self, update: FactUpdate) {
        self.record_era(update.read_at(), "store");
        let (mark, is_partial) = (update.read_at(), update.is_partial());
        let is_cut_list = matches!(update, FactUpdate::Cut(_));
        let base = match &update {
            FactUpdate::All(_) => EvacuatedDomains::default(),
            _ => self.evacuated(),
        };
        let facts = update.into_changes();
        let changes = facts.into_iter().filter_map(|change| match change {
            FactChange::Set(NamedFact { fact: Ok(Fact::Evacuation(domain)), .. }) => {
                Some((DomainKey::from(&domain), true))
            }
            FactChange::Set(NamedFact { name, fact, .. }) => {
                let error = fact.err().map(|error| error.to_string());
                decisions::warn(
                    "evacuations",
                    "unreadable",
                    json!({ "name": name, "error": error }),
                );
                None
            }
            FactChange::Gone { name, .. } => {
                let domain: DomainId = name.parse().ok()?;
                Some((DomainKey::from(&domain), false))
            }
        });
        if is_partial {
            let mut evacuations = lock(&self.evacuations);
            let before = evacuations.in_force();
            if is_cut_list {
                evacuations.forget_partial();
            }
            evacuations.apply_partial(mark, changes);
            let has_changed = evacuations.in_force() != before;
            drop(evacuations);
            if has_changed {
                self.enforce_evacuations();
            }
            return;
        }
        self.merge_evacuated(&base.with_changes(mark, changes));
    }

    /// Replaces the evacuated failure domains if `reported` is newer.
    pub fn merge_evacuated(&self, reported: &EvacuatedDomains) {
        if lock(&self.evacuations).merge(self.now(), reported) {
            self.enforce_evacuations();
        }
    }

    /// Drops orders that the store has lost and that have not been written again in time.
    pub fn expire_evacuations(&self) {
        if lock(&self.evacuations).expire(self.now()) {
            self.enforce_evacuations();
        }
    }

    fn enforce_evacuations(&self) {
        let evacuations = lock(&self.evacuations);
        let (domains, at) = (evacuations.in_force(), evacuations.listed().mark);
        drop(evacuations);
        let names: Vec<String> = domains.iter().map(DomainKey::to_string).collect();
        let fields = json!({ "domains": names, "at": at.number(), "era": at.era() });
        decisions::info("evacuations", "in_force", fields);
        self.servers().set_evacuated_domains(self.now(), domains);
    }
}
