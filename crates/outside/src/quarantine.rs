//! Persistent list of quarantined requests and prompt parts, which are refused because they crashed servers. It is kept in an
//! external store because all entries may be killed at once and none has a disk.

use std::fmt;

use headlatch_types::request::QuarantineKey;

use crate::{
    OutsideFuture,
    facts::{DeadEnd, ListExtent, StoreFailure},
};

/// A point in time, in milliseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnixMillis(pub u64);

/// A quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// What is refused.
    pub key: QuarantineKey,
    /// End of the quarantine.
    pub until: UnixMillis,
}

/// The quarantines in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct QuarantineList {
    /// The quarantines that could be read.
    pub entries: Vec<QuarantineEntry>,
    /// Names of entries that could not be read.
    pub unreadable: Vec<String>,
    /// Whether the store may have more quarantines.
    pub extent: ListExtent,
    /// Names behind which the store did not continue the list.
    pub dead_ends: Vec<DeadEnd>,
}

/// Stores quarantines.
pub trait QuarantineStore: Send + Sync + fmt::Debug {
    /// Lists the quarantines. If the store does not continue the list, the part that could be read is returned as
    /// [`ListExtent::Cut`].
    fn list_quarantines(&self) -> OutsideFuture<'_, Result<QuarantineList, StoreFailure>>;

    /// Stores an entry; replaces an existing one with the same key.
    fn keep(&self, quarantine: QuarantineEntry) -> OutsideFuture<'_, Result<(), StoreFailure>>;

    /// Deletes an entry; no error if it does not exist.
    fn lift(&self, key: QuarantineKey) -> OutsideFuture<'_, Result<(), StoreFailure>>;
}
