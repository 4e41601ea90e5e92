//! Failure domains that are being evacuated.
//!
//! Servers in an evacuated failure domain get no new requests until the evacuation order is withdrawn. Entries
//! that read the store gossip the complete set together with its store revision, so that a newly started entry
//! needs only one notice.

use headlatch_types::store::StoreRevision;
use std::collections::BTreeSet;

use super::peers::DomainKey;

/// The set of evacuated failure domains as of one store revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuatedDomains {
    /// Store revision; zero if nothing is known.
    pub mark: StoreRevision,
    /// Evacuated failure domains.
    pub domains: BTreeSet<DomainKey>,
}

impl EvacuatedDomains {
    /// Replaces the set with one of a later revision; returns whether the failure domains changed.
    pub fn merge(&mut self, other: &Self) -> bool {
        if other.mark <= self.mark {
            return false;
        }
        self.mark = other.mark;
        let changed = self.domains != other.domains;
        self.domains.clone_from(&other.domains);
        changed
    }

    /// Returns the set as of a later revision after `changes`: pairs of a failure domain and whether it is
    /// being evacuated.
    pub fn with_changes(
        &self,
        mark: StoreRevision,
        changes: impl IntoIterator<Item = (DomainKey, bool)>,
    ) -> Self {
        let mut domains = self.domains.clone();
        for (domain, is_emptied) in changes {
            match is_emptied {
                true => domains.insert(domain),
                false => domains.remove(&domain),
            };
        }
        Self { mark, domains }
    }
}
