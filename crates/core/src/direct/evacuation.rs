//! Failure domains that are being evacuated.
//!
//! Servers in an evacuated failure domain get no new requests until the evacuation order is withdrawn. Entries
//! that read the store gossip the complete set together with its store revision, so that a newly started entry
//! needs only one notice.
//!
//! A store that comes back from an older copy may lack an order. Failure domains that were being evacuated
//! therefore stay so until the operator has had the time to write the order again. Each process keeps them by
//! itself: notices hold only what the store lists.

use headlatch_types::store::StoreRevision;
use std::{collections::BTreeSet, time::Duration};

use super::peers::DomainKey;
use crate::time::Moment;

/// Time for which an order is kept that the list of a new era lacks: well below the time in which an order must
/// be in force everywhere.
const REWRITE_TIME: Duration = Duration::from_millis(2500);

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

/// The evacuations that one process enforces.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    listed: EvacuatedDomains,
    /// Failure domains that were evacuated in the previous era of the store, and until when they stay so.
    kept: Option<(Moment, BTreeSet<DomainKey>)>,
    /// Orders from lists that could not be read to their end. They are in force here, but other processes must not
    /// take them for the complete set.
    partial: EvacuatedDomains,
}

impl Evacuations {
    /// The set as of the newest known revision, for other processes.
    pub fn listed(&self) -> &EvacuatedDomains {
        &self.listed
    }

    /// Replaces the set with one of a later revision; returns whether the failure domains in force changed.
    pub fn merge(&mut self, now: Moment, reported: &EvacuatedDomains) -> bool {
        let before = self.in_force();
        let is_new_era = reported.mark.era() > self.listed.mark.era();
        if is_new_era && !before.is_empty() {
            self.kept = Some((now + REWRITE_TIME, before.clone()));
        }
        self.listed.merge(reported);
        if self.listed.mark >= self.partial.mark {
            self.partial = EvacuatedDomains::default();
        }
        self.in_force() != before
    }

    /// Forgets the orders from lists that could not be read to their end, because there is a newer such list.
    pub fn forget_partial(&mut self) {
        self.partial = EvacuatedDomains::default();
    }

    /// Applies changes of a list that could not be read to its end: pairs of a failure domain and whether it is being
    /// evacuated.
    pub fn apply_partial(
        &mut self,
        mark: StoreRevision,
        changes: impl IntoIterator<Item = (DomainKey, bool)>,
    ) {
        let changes: Vec<(DomainKey, bool)> = changes.into_iter().collect();
        for (domain, _) in changes.iter().filter(|(_, is_evacuated)| !is_evacuated) {
            self.listed.domains.remove(domain);
        }
        self.partial = self.partial.with_changes(mark, changes);
    }

    /// Drops orders of an earlier era that have not been written again in time; returns whether the failure domains
    /// in force changed.
    pub fn expire(&mut self, now: Moment) -> bool {
        let before = self.in_force();
        self.kept = self.kept.take().filter(|(until, _)| now < *until);
        self.in_force() != before
    }

    /// The failure domains that get no new requests.
    pub fn in_force(&self) -> BTreeSet<DomainKey> {
        let kept = self.kept.iter().flat_map(|(_, domains)| domains);
        self.listed.domains.iter().chain(kept).chain(&self.partial.domains).copied().collect()
    }
}
