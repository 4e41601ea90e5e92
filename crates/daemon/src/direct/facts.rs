//! Follows the facts of one topic: list, watch, and list again where the history is gone.

use std::{sync::Arc, time::Duration};

use headlatch_core::direct::fact_age::ChangeMark;
use headlatch_outside::facts::{
    Fact, FactChange, FactChanges, FactList, FactStore, FactTopic, Freshness, NamedFact,
    StoreFailure, StoreRevision,
};
use rand::Rng;
use serde_json::json;
use tokio::{sync::Notify, time::Instant};

use crate::decisions;

/// How long one watch waits.
const WATCH_TIME: Duration = Duration::from_secs(29);

/// First pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after failed calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(1500);

/// Rest after a watch brought something, in which further changes gather: each call is priced, and
/// a server that leaves serves on for two seconds at least.
const SERVERS_REST: Duration = Duration::from_millis(800);

fn rest_after(topic: FactTopic) -> Duration {
    match topic {
        FactTopic::Servers => SERVERS_REST,
        FactTopic::Plan | FactTopic::Weights => Duration::ZERO,
    }
}

/// Decides whether a topic is read from the store, and hears whether that works.
pub trait ReadGate: Send + Sync {
    /// Whether the topic is to be read now.
    fn is_open(&self) -> bool;
    /// Notes whether the last call was answered.
    fn note(&self, answered: bool);
}

/// A topic that is always read.
#[derive(Debug, Clone, Copy, Default)]
pub struct AlwaysOpen;

impl ReadGate for AlwaysOpen {
    fn is_open(&self) -> bool {
        true
    }

    fn note(&self, _answered: bool) {}
}

/// How often a closed gate is looked at.
const GATE_PAUSE: Duration = Duration::from_millis(200);

/// Looks at a gate until that has been closed for some time.
async fn closed(gate: &dyn ReadGate) {
    let mut looks = 0;
    while looks < 5 {
        tokio::time::sleep(GATE_PAUSE).await;
        looks = if gate.is_open() { 0 } else { looks + 1 };
    }
}

/// Waits until a gate opens or somebody knows that there is something newer.
async fn opened(gate: &dyn ReadGate, nudge: &Notify) {
    while !gate.is_open() {
        let nudged = tokio::time::timeout(GATE_PAUSE, nudge.notified()).await;
        if nudged.is_ok() {
            return;
        }
    }
}

/// What a follower hands over.
#[derive(Debug, Clone)]
pub enum FactNews {
    /// Everything there is; whatever is not in it is gone.
    All(FactList),
    /// What a watch brought.
    Changes(FactChanges),
}

impl FactNews {
    /// The place up to which the store has said everything.
    pub fn covered(&self) -> ChangeMark {
        match self {
            Self::All(list) => ChangeMark(list.at.0),
            Self::Changes(changes) => ChangeMark(changes.at.0),
        }
    }

    /// The newest change in it; that something is gone has no revision of its own, so that the
    /// place of the whole answer stands for it.
    pub fn newest(&self) -> ChangeMark {
        let revision = |fact: &NamedFact| ChangeMark(fact.revision.0);
        let newest = match self {
            Self::All(list) => list.facts.iter().map(revision).max(),
            Self::Changes(changes) => {
                let marks = changes.changes.iter().map(|change| match change {
                    FactChange::Set(fact) => revision(fact),
                    FactChange::Gone(_) => self.covered(),
                });
                marks.max()
            }
        };
        newest.unwrap_or_default()
    }
}

/// Pause after the `failures`th failure in a row, with jitter so that nodes do not call together.
pub fn pause_after(failures: u32) -> Duration {
    let doubled = FIRST_PAUSE * (1 << failures.clamp(1, 6).saturating_sub(1));
    let most = doubled.min(LONGEST_PAUSE).as_millis() as u64;
    Duration::from_millis(rand::rng().random_range(most / 2..=most))
}

/// Follows `topic` for ever and hands news to `take`; whoever knows that there is something newer
/// notifies `nudge`, upon which everything is listed again.
///
/// A watch that broke off is never taken up again where it was: a store that has lost part of its
/// history may let it wait as if nothing had changed.
pub async fn follow(
    store: Arc<dyn FactStore>,
    topic: FactTopic,
    nudge: Arc<Notify>,
    gate: Arc<dyn ReadGate>,
    mut take: impl FnMut(FactNews) + Send,
) {
    let mut at: Option<StoreRevision> = None;
    let mut failures = 0;
    let mut lost = Instant::now();
    loop {
        let (begun, call) = (Instant::now(), call_name(at));
        let outcome = match at {
            None => {
                opened(&*gate, &nudge).await;
                list(&*store, topic, &mut take).await
            }
            Some(after) => {
                tokio::select! {
                    watched = watch(&*store, topic, after, &mut take) => watched,
                    () = nudge.notified() => {
                        decisions::note("store", "nudged", json!({ "topic": topic.as_str() }));
                        at = None;
                        continue;
                    }
                    () = closed(&*gate) => {
                        at = None;
                        continue;
                    }
                }
            }
        };
        gate.note(matches!(outcome, Ok(_) | Err(StoreFailure::HistoryGone)));
        match outcome {
            Ok(next) => {
                // Changes that come close together are one call.
                if at.is_some() {
                    tokio::time::sleep(rest_after(topic)).await;
                }
                if failures > 0 {
                    let lost_ms = lost.elapsed().as_millis() as u64;
                    let fields = json!({ "topic": topic.as_str(), "lost_ms": lost_ms });
                    decisions::note("store", "regained", fields);
                }
                failures = 0;
                at = Some(next);
            }
            Err(StoreFailure::HistoryGone) => {
                decisions::note("store", "history_gone", json!({ "topic": topic.as_str() }));
                at = None;
            }
            Err(error) => {
                failures += 1;
                at = None;
                let took_ms = begun.elapsed().as_millis() as u64;
                let fields = json!({
                    "topic": topic.as_str(), "error": error.to_string(), "call": call,
                    "took_ms": took_ms, "failures": failures,
                });
                if failures == 1 {
                    lost = begun;
                }
                decisions::warn("store", if failures == 1 { "lost" } else { "still_lost" }, fields);
                tokio::time::sleep(pause_after(failures)).await;
            }
        }
    }
}

/// The word in logs for the call that comes next.
fn call_name(at: Option<StoreRevision>) -> &'static str {
    if at.is_some() { "watch" } else { "list" }
}

async fn list(
    store: &dyn FactStore,
    topic: FactTopic,
    take: &mut (impl FnMut(FactNews) + Send),
) -> Result<StoreRevision, StoreFailure> {
    let facts = store.list(topic, Freshness::Current).await?;
    let at = facts.at;
    take(FactNews::All(facts));
    Ok(at)
}

async fn watch(
    store: &dyn FactStore,
    topic: FactTopic,
    after: StoreRevision,
    take: &mut (impl FnMut(FactNews) + Send),
) -> Result<StoreRevision, StoreFailure> {
    let changes = store.watch(topic, after, WATCH_TIME).await?;
    let at = changes.at;
    take(FactNews::Changes(changes));
    Ok(at)
}

/// The facts in news that are there and can be read.
pub fn set_facts(news: FactNews) -> Vec<Fact> {
    let named: Vec<NamedFact> = match news {
        FactNews::All(list) => list.facts,
        FactNews::Changes(changes) => changes
            .changes
            .into_iter()
            .filter_map(|change| match change {
                FactChange::Set(fact) => Some(fact),
                FactChange::Gone(_) => None,
            })
            .collect(),
    };
    let readable = named.into_iter().filter_map(|named| match named.fact {
        Ok(fact) => Some(fact),
        Err(error) => {
            let fields = json!({ "name": named.name, "error": error.to_string() });
            decisions::warn("store", "unreadable", fields);
            None
        }
    });
    readable.collect()
}
