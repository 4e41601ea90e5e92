//! Where it is kept which requests are refused because servers ended under them: all entries may be
//! killed at once, and none has a disk.

use std::fmt;

use headlatch_types::request::RequestDigest;

use crate::{OutsideFuture, facts::StoreFailure};

/// A time of day, in milliseconds of the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnixMillis(pub u64);

/// A request that is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineEntry {
    /// The request.
    pub digest: RequestDigest,
    /// Until when it is refused.
    pub until: UnixMillis,
}

/// Keeps which requests are refused.
pub trait QuarantineStore: Send + Sync + fmt::Debug {
    /// All that are kept; what cannot be read is left out.
    fn list_quarantines(&self) -> OutsideFuture<'_, Result<Vec<QuarantineEntry>, StoreFailure>>;

    /// Keeps one, in place of what was kept of the same request.
    fn keep(&self, quarantine: QuarantineEntry) -> OutsideFuture<'_, Result<(), StoreFailure>>;

    /// Keeps one no longer; it may not be there.
    fn lift(&self, digest: RequestDigest) -> OutsideFuture<'_, Result<(), StoreFailure>>;
}
