//! Failure domains that are being emptied.
//!
//! Their servers get nothing new until the order to empty them is gone. Entries that read the store tell
//! the others the whole set, with the place in the store's history that it is of: whoever has just
//! started knows as much as the one that told it.

use std::collections::BTreeSet;

use super::{fact_age::ChangeMark, peers::DomainKey};

/// The failure domains that are being emptied, as of one place in the store's history.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuatedDomains {
    /// The place; zero if nothing is known.
    pub mark: ChangeMark,
    /// The failure domains.
    pub domains: BTreeSet<DomainKey>,
}

impl EvacuatedDomains {
    /// Takes over a set that is of a later place; tells whether other failure domains are in it.
    pub fn merge(&mut self, told: &Self) -> bool {
        if told.mark <= self.mark {
            return false;
        }
        self.mark = told.mark;
        let changed = self.domains != told.domains;
        self.domains.clone_from(&told.domains);
        changed
    }

    /// The set as of a later place, up to which these are the changes: a failure domain, and whether it
    /// is being emptied.
    pub fn with_changes(
        &self,
        mark: ChangeMark,
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
