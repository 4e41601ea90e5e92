//! The store of facts: plan, servers and wanted weights.

use std::{fmt, time::Duration};

use headlatch_types::{
    ByteProgress, InputError,
    id::DomainId,
    traffic::{ServerRecord, TargetWeights, TrafficPlan},
};

use crate::OutsideFuture;

/// Position in the store's history.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreRevision(pub u64);

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A kind of fact that can be listed and watched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FactTopic {
    /// The traffic plan.
    Plan,
    /// The servers.
    Servers,
    /// The versions of weights that are wanted.
    Weights,
    /// The failure domains that are being emptied.
    Evacuations,
}

impl FactTopic {
    /// The word used in logs and metrics.
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
    /// A wanted version.
    Weights(TargetWeights),
    /// A failure domain that is being emptied.
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
}

/// All facts of a topic.
#[derive(Debug, Clone)]
pub struct FactList {
    /// The facts.
    pub facts: Vec<NamedFact>,
    /// Revision that the list is of.
    pub at: StoreRevision,
}

/// One change.
#[derive(Debug, Clone)]
pub enum FactChange {
    /// A fact is new or has changed.
    Set(NamedFact),
    /// A fact is gone.
    Gone {
        /// Its name among those of its topic.
        name: String,
        /// Revision at which it went, or of its last change where the store does not tell that.
        revision: StoreRevision,
    },
}

/// What a watch brought.
#[derive(Debug, Clone)]
pub struct FactChanges {
    /// The changes in order; none if nothing changed in time.
    pub changes: Vec<FactChange>,
    /// Revision to watch from next.
    pub at: StoreRevision,
}

/// Whether a list may be a few seconds old.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Freshness {
    /// It must be of now.
    #[default]
    Current,
    /// It may be old, which costs the store less.
    MayBeOld,
}

/// Why a call to the store brought nothing.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreFailure {
    /// The history that was asked for is no longer there.
    #[error("the store no longer has that history")]
    HistoryGone,
    /// The store refuses calls for now.
    #[error("the store refuses for now: {0}")]
    Refused(String),
    /// The store cannot be reached or broke off.
    #[error("the store does not answer: {0}")]
    Unreachable(String),
    /// The store answered something that is no answer.
    #[error("the store's answer cannot be read: {0}")]
    Unreadable(String),
}

/// Lists and watches facts.
pub trait FactStore: Send + Sync + fmt::Debug {
    /// All facts of a topic; `progress` is told what has come of them.
    fn list(
        &self,
        topic: FactTopic,
        freshness: Freshness,
        progress: ByteProgress,
    ) -> OutsideFuture<'_, Result<FactList, StoreFailure>>;

    /// Changes of a topic after `after`, as soon as there are any, within `wait`; `progress` is told
    /// what has come of them.
    fn watch(
        &self,
        topic: FactTopic,
        after: StoreRevision,
        wait: Duration,
        progress: ByteProgress,
    ) -> OutsideFuture<'_, Result<FactChanges, StoreFailure>>;
}
