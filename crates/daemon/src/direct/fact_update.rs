//! What a reading of the fact store says of one topic, and how much of it.

use headlatch_outside::facts::{
    DeadEnd, Fact, FactChange, FactChanges, FactList, FactTopic, ListExtent, NamedFact,
};
use headlatch_types::store::StoreRevision;
use serde_json::json;

use crate::{decisions, metrics::NodeMetrics};

/// Update of a topic.
#[derive(Debug, Clone)]
pub enum FactUpdate {
    /// The complete list; facts that are not in it have been deleted.
    All(FactList),
    /// A list that the store did not continue. It says nothing of facts that are not in it.
    Cut(FactList),
    /// Changes returned by a watch that continues a complete list.
    Changes(FactChanges),
    /// Changes returned by a watch that continues a cut list: facts may be missing all the same.
    ChangesSinceCut(FactChanges),
}

impl From<FactList> for FactUpdate {
    fn from(list: FactList) -> Self {
        match list.extent {
            ListExtent::Whole => Self::All(list),
            ListExtent::Cut => Self::Cut(list),
        }
    }
}

impl FactUpdate {
    /// Position of the store at which the update was read.
    pub fn read_at(&self) -> StoreRevision {
        match self {
            Self::All(list) | Self::Cut(list) => list.at,
            Self::Changes(changes) | Self::ChangesSinceCut(changes) => changes.at,
        }
    }

    /// Whether facts of the store may be missing after this update.
    pub fn is_partial(&self) -> bool {
        matches!(self, Self::Cut(_) | Self::ChangesSinceCut(_))
    }

    /// Revision up to which the update is complete; zero if facts may be missing.
    pub fn covered(&self) -> StoreRevision {
        if self.is_partial() { StoreRevision::default() } else { self.read_at() }
    }

    /// The facts that the update sets.
    pub fn set(&self) -> impl Iterator<Item = &NamedFact> {
        let (listed, changes) = match self {
            Self::All(list) | Self::Cut(list) => (&list.facts[..], &[][..]),
            Self::Changes(changes) | Self::ChangesSinceCut(changes) => {
                (&[][..], &changes.changes[..])
            }
        };
        let changed = changes.iter().filter_map(|change| match change {
            FactChange::Set(fact) => Some(fact),
            FactChange::Gone { .. } => None,
        });
        listed.iter().chain(changed)
    }

    /// The changes; a list sets each of its facts.
    pub fn into_changes(self) -> Vec<FactChange> {
        match self {
            Self::All(list) | Self::Cut(list) => {
                list.facts.into_iter().map(FactChange::Set).collect()
            }
            Self::Changes(changes) | Self::ChangesSinceCut(changes) => changes.changes,
        }
    }

    /// Counts the facts that could not be read, and the names behind which the store did not continue the list.
    pub fn count_odd_entries(&self, topic: FactTopic, metrics: &NodeMetrics) {
        let event = match topic {
            FactTopic::Plan => "plan_unreadable",
            FactTopic::Servers => "server_unreadable",
            FactTopic::Weights => "weights_unreadable",
            FactTopic::Evacuations => "evacuation_unreadable",
        };
        let unreadable = self.set().filter(|fact| fact.fact.is_err()).count();
        metrics.count_store_events(event, unreadable);
        if let Self::All(list) | Self::Cut(list) = self {
            count_dead_ends(metrics, list.extent, &list.dead_ends);
        }
    }

    /// Revision of the newest change in the update; at least the start of its era, so that other processes learn
    /// of the era. Zero if facts may be missing, so that no other process takes this one for complete.
    pub fn newest(&self) -> StoreRevision {
        if self.is_partial() {
            return StoreRevision::default();
        }
        let set = self.set().map(|fact| fact.revision);
        let gone = match self {
            Self::Changes(changes) => &changes.changes[..],
            _ => &[],
        };
        let gone = gone.iter().filter_map(|change| match change {
            FactChange::Gone { revision, .. } => Some(*revision),
            FactChange::Set(_) => None,
        });
        set.chain(gone).max().unwrap_or_default().max(self.covered().era().start())
    }
}

/// The facts that an update sets; unreadable ones are logged and skipped.
pub fn readable_facts(news: FactUpdate) -> Vec<Fact> {
    let readable = news.into_changes().into_iter().filter_map(|change| match change {
        FactChange::Set(NamedFact { fact: Ok(fact), .. }) => Some(fact),
        FactChange::Set(NamedFact { name, fact: Err(error), .. }) => {
            let fields = json!({ "name": name, "error": error.to_string() });
            decisions::warn("store", "unreadable", fields);
            None
        }
        FactChange::Gone { .. } => None,
    });
    readable.collect()
}

/// Logs behind which names the store did not continue a list with `listed` entries, and whether it is cut.
pub(super) fn log_dead_ends(topic: &str, listed: usize, extent: ListExtent, dead_ends: &[DeadEnd]) {
    for DeadEnd { name, reason } in dead_ends {
        let fields = json!({ "topic": topic, "name": name, "reason": reason });
        decisions::warn("store", "dead_end", fields);
    }
    if extent == ListExtent::Cut {
        decisions::warn("store", "list_cut", json!({ "topic": topic, "listed": listed }));
    }
}

/// Counts what [`log_dead_ends`] logs.
pub(super) fn count_dead_ends(metrics: &NodeMetrics, extent: ListExtent, dead_ends: &[DeadEnd]) {
    metrics.count_store_events("dead_end", dead_ends.len());
    metrics.count_store_events("list_cut", usize::from(extent == ListExtent::Cut));
}
