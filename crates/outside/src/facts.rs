//! Interface to the store that holds the plan, the servers, the target versions and the evacuations.

use std::{fmt, time::Duration};

use headlatch_types::{
    ByteProgress, InputError,
    id::DomainId,
    reading::FieldIssues,
    store::{StoreEra, StoreRevision},
    traffic::{ServerRecord, TargetWeights, TrafficPlan},
};
use http::StatusCode;

use crate::OutsideFuture;

/// A kind of fact that can be listed and watched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FactTopic {
    /// The traffic plan.
    Plan,
    /// The servers.
    Servers,
    /// The target versions of weights.
    Weights,
    /// The failure domains that are being evacuated.
    Evacuations,
}

impl FactTopic {
    /// The value used in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Plan => "plan",
            Self::Servers => "servers",
            Self::Weights => "weights",
            Self::Evacuations => "evacuations",
        }
    }
}

/// One fact.
#[derive(Debug, Clone, PartialEq)]
pub enum Fact {
    /// A traffic plan.
    Plan(Box<TrafficPlan>),
    /// A server.
    Server(ServerRecord),
    /// A target version.
    Weights(TargetWeights),
    /// A failure domain that is being evacuated.
    Evacuation(DomainId),
}

/// A fact with its name in the store.
#[derive(Debug, Clone)]
pub struct NamedFact {
    /// Its name among those of its topic.
    pub name: String,
    /// Revision of its last change.
    pub revision: StoreRevision,
    /// The fact, or why it cannot be read.
    pub fact: Result<Fact, InputError>,
    /// Its fields that are unknown or invalid.
    pub field_issues: FieldIssues,
}

/// A name behind which the store did not continue a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeadEnd {
    /// The name; empty for the beginning of the list.
    pub name: String,
    /// What happened instead.
    pub reason: String,
}

/// How far a list was read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ListExtent {
    /// To its end.
    #[default]
    Whole,
    /// The store has more facts, and no call returned them.
    Cut,
}

/// The facts of a topic.
#[derive(Debug, Clone, Default)]
pub struct FactList {
    /// The facts. Of several with the same name the last one holds.
    pub facts: Vec<NamedFact>,
    /// Revision of the list.
    pub at: StoreRevision,
    /// Whether these are all facts of the topic.
    pub extent: ListExtent,
    /// Names behind which the store did not continue the list. A whole list was continued behind others.
    pub dead_ends: Vec<DeadEnd>,
}

/// One change.
#[derive(Debug, Clone)]
pub enum FactChange {
    /// A fact was added or changed.
    Set(NamedFact),
    /// A fact was deleted.
    Gone {
        /// Its name among those of its topic.
        name: String,
        /// Revision of the deletion, or of the last change if the store does not report it.
        revision: StoreRevision,
    },
}

/// Result of a watch.
#[derive(Debug, Clone)]
pub struct FactChanges {
    /// The changes in order; empty if nothing changed within the wait time.
    pub changes: Vec<FactChange>,
    /// Revision to watch from next.
    pub at: StoreRevision,
}

impl FactChanges {
    /// Whether a fact has changed whose name could not be read, so that only a new list tells which one.
    pub fn has_unnamed(&self) -> bool {
        self.changes.iter().any(|change| match change {
            FactChange::Set(fact) => fact.name.is_empty(),
            FactChange::Gone { name, .. } => name.is_empty(),
        })
    }
}

/// Whether a list may be a few seconds old.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Freshness {
    /// It must be current.
    #[default]
    Current,
    /// It may be stale, which is cheaper for the store.
    MayBeOld,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreFailure {
    /// The requested revision is older than the history that the store keeps.
    #[error("the store no longer has that history")]
    HistoryGone,
    /// The store has come back from an older copy since the call's revision, or while a list was read: its
    /// revisions have been given out again.
    #[error("the store came back from an older copy: it is in era {after}, not {before}")]
    EraChanged {
        /// Era of the revision or of the first page.
        before: StoreEra,
        /// Era of the response.
        after: StoreEra,
    },
    /// The store does not carry out the call now.
    #[error("the store refuses for now: {0}")]
    Refused(String),
    /// The store rejected the call as such: it will reject the same call again.
    #[error("the store rejects the call: {0}")]
    Rejected(StatusCode),
    /// The store could not be reached, or the connection was lost.
    #[error("the store does not answer: {0}")]
    Unreachable(String),
    /// The response of the store could not be decoded.
    #[error("the store's answer cannot be read: {0}")]
    Unreadable(String),
}

/// Lists and watches facts.
///
/// Revisions of results are in the era of the response. A watch fails with [`StoreFailure::EraChanged`] if
/// that differs from the era of its revision.
pub trait FactStore: Send + Sync + fmt::Debug {
    /// Lists the facts of a topic; `progress` counts the bytes received. If the store does not continue the list,
    /// the part that could be read is returned as [`ListExtent::Cut`].
    fn list(
        &self,
        topic: FactTopic,
        freshness: Freshness,
        progress: ByteProgress,
    ) -> OutsideFuture<'_, Result<FactList, StoreFailure>>;

    /// Waits up to `wait` for changes of a topic after revision `after`; `progress` counts the bytes
    /// received.
    fn watch(
        &self,
        topic: FactTopic,
        after: StoreRevision,
        wait: Duration,
        progress: ByteProgress,
    ) -> OutsideFuture<'_, Result<FactChanges, StoreFailure>>;

    /// Number of responses so far whose era was unreadable.
    fn malformed_eras(&self) -> u64 {
        0
    }
}
