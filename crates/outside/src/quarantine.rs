//! Persistent list of quarantined requests and prompt parts, which are refused because they crashed servers. It is kept in an
//! external store because all entries may be killed at once and none has a disk.

use std::fmt;

use headlatch_types::request::QuarantineKey;

use crate::{OutsideFuture, facts::StoreFailure};

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

/// Stores quarantines.
pub trait QuarantineStore: Send + Sync + fmt::Debug {
    /// Lists all quarantines; unreadable entries are skipped.
    fn list_quarantines(&self) -> OutsideFuture<'_, Result<Vec<QuarantineEntry>, StoreFailure>>;

    /// Stores an entry; replaces an existing one with the same key.
    fn keep(&self, quarantine: QuarantineEntry) -> OutsideFuture<'_, Result<(), StoreFailure>>;

    /// Deletes an entry; no error if it does not exist.
    fn lift(&self, key: QuarantineKey) -> OutsideFuture<'_, Result<(), StoreFailure>>;
}
