//! Reads one topic of the fact store: a list, then watches, then a new list when the watch history has
//! been compacted.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use headlatch_outside::facts::{
    FactChanges, FactList, FactStore, FactTopic, Freshness, ListExtent, StoreFailure,
};
use headlatch_types::{
    ByteProgress,
    store::{StoreEra, StoreRevision},
};
use rand::Rng;
use serde_json::json;
use tokio::{sync::Notify, time::Instant};

use super::fact_update::log_dead_ends;
pub use super::fact_update::{FactUpdate, readable_facts};
use crate::decisions;

/// Wait of a watch sent by a standby reader, which learns of changes from the active readers.
const STANDBY_WATCH_WAIT: Duration = Duration::from_secs(29);

/// Wait of a watch sent by an active reader.
///
/// A watch can be lost without an error: sent while the store does not respond, or on a connection
/// that never responds again. If the watches of all readers are lost, only the end of the wait shows
/// it. Changes must arrive within 2 s of being made, starting 3 s after the fault; this wait,
/// [`WATCH_SILENCE_TIMEOUT`], a list and a notice take 2.6 s together.
const WATCH_WAIT: Duration = Duration::from_millis(1500);

/// Wait of an active reader's watch on wanted weights, whose deadline is 8 s or more.
const WEIGHTS_WATCH_WAIT: Duration = Duration::from_millis(3000);

/// Wait of an active reader's watch on evacuations: an evacuated failure domain must receive no new
/// requests after 5 s.
const EVACUATIONS_WATCH_WAIT: Duration = Duration::from_millis(2500);

/// Lower end of the random watch wait, in percent of the full one; spreads the calls of the nodes.
const MIN_WATCH_WAIT_PERCENT: u32 = 85;

/// Time without a response after the end of its wait at which a watch counts as lost, in addition to
/// the duration of the last list. Far longer than a slow store takes to respond.
const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Upper bound on the added list duration: the list may have been large and its link slow.
const MAX_LIST_TIME_ALLOWANCE: Duration = Duration::from_millis(1000);

/// Delay before the first retry of a failed call.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Upper bound of the exponential backoff.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1500);

/// Delay before the first cut list is read anew.
const INITIAL_RELIST_DELAY: Duration = Duration::from_secs(1);

/// Upper bound of the exponential delay: as long as the store does not continue the list, each call brings the same
/// part.
const MAX_RELIST_DELAY: Duration = Duration::from_secs(10);

/// Time without data after which a list is hedged with a second call: longer than a slow store takes
/// to respond, and well before the deadline of a change accepted in the meantime.
const LIST_HEDGE_DELAY: Duration = Duration::from_millis(1000);

/// Hedge delay for wanted weights: their deadline is 8 s or more, and every process also advertises
/// them to every other.
const WEIGHTS_HEDGE_DELAY: Duration = Duration::from_millis(3000);

/// Delay after a watch returned server changes, to batch further ones: each call has a cost, and a
/// leaving server keeps serving for at least 2 s.
const SERVERS_BATCH_DELAY: Duration = Duration::from_millis(800);

/// Batch delay of a standby reader: notices carry what the active reader has read, and leaving servers
/// of every failure domain.
const STANDBY_SERVERS_BATCH_DELAY: Duration = Duration::from_millis(2000);

fn batch_delay(topic: FactTopic, role: ReaderRole) -> Duration {
    match (topic, role) {
        (FactTopic::Servers, ReaderRole::Active) => SERVERS_BATCH_DELAY,
        (FactTopic::Servers, ReaderRole::Standby) => STANDBY_SERVERS_BATCH_DELAY,
        (FactTopic::Plan | FactTopic::Weights | FactTopic::Evacuations, _) => Duration::ZERO,
    }
}

/// Wait of the next watch, with jitter except for standby readers.
fn watch_wait(topic: FactTopic, role: ReaderRole) -> Duration {
    let most = match (role, topic) {
        (ReaderRole::Standby, _) => return STANDBY_WATCH_WAIT,
        (ReaderRole::Active, FactTopic::Weights) => WEIGHTS_WATCH_WAIT,
        (ReaderRole::Active, FactTopic::Evacuations) => EVACUATIONS_WATCH_WAIT,
        (ReaderRole::Active, FactTopic::Plan | FactTopic::Servers) => WATCH_WAIT,
    };
    most * rand::rng().random_range(MIN_WATCH_WAIT_PERCENT..=100) / 100
}

/// Time without data after which a list is hedged, with jitter to spread the calls of the nodes.
fn hedge_delay(topic: FactTopic) -> Duration {
    let most = match topic {
        FactTopic::Plan | FactTopic::Servers | FactTopic::Evacuations => LIST_HEDGE_DELAY,
        FactTopic::Weights => WEIGHTS_HEDGE_DELAY,
    };
    most.mul_f64(rand::rng().random_range(0.7..=1.0))
}

/// Decides whether a topic is read from the store, and records whether the calls succeed.
pub trait ReadGate: Send + Sync {
    /// Whether the topic should be read now.
    fn is_open(&self) -> bool;
    /// Records whether the store responded to the last call.
    fn note(&self, answered: bool);
    /// Role of this process among the readers of the topic.
    fn role(&self) -> ReaderRole {
        ReaderRole::Active
    }
    /// The newest era of the store that this process knows of, from any source.
    fn newest_era(&self) -> StoreEra {
        StoreEra::default()
    }
}

/// Role of a reader of a topic among those of its failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderRole {
    /// Other processes depend on it, so it must detect a lost watch by itself.
    Active,
    /// Reads as a fallback in case the active reader stops, so its calls may be rare.
    Standby,
}

/// Gate of a topic that is always read.
#[derive(Debug, Clone, Copy, Default)]
pub struct AlwaysOpen;

impl ReadGate for AlwaysOpen {
    fn is_open(&self) -> bool {
        true
    }

    fn note(&self, _answered: bool) {}
}

/// Consecutive polls that must find the gate closed, or the role changed, before a watch is cancelled:
/// 1 s in total.
const CLOSED_GATE_POLLS: u32 = 5;

/// Poll interval of a gate.
const GATE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Poll interval of a closed gate during start-up, when other processes wait for the data.
const STARTUP_GATE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Start-up period with the shorter poll interval.
const STARTUP_PERIOD: Duration = Duration::from_secs(2);

/// Polls a gate until a watch from `at` sent in `role` is obsolete: the store is known to be in a newer era,
/// or for [`CLOSED_GATE_POLLS`] consecutive polls the gate was closed or a standby reader had become the active
/// one.
async fn watch_obsolete(gate: &dyn ReadGate, role: ReaderRole, at: StoreRevision) {
    let is_right = || gate.is_open() && (gate.role() == role || role == ReaderRole::Active);
    let mut polls = 0;
    while polls < CLOSED_GATE_POLLS && gate.newest_era() <= at.era() {
        tokio::time::sleep(GATE_POLL_INTERVAL).await;
        polls = if is_right() { 0 } else { polls + 1 };
    }
}

/// Backoff after `failures` consecutive failures, with jitter to spread the calls of the nodes.
pub fn retry_delay(failures: u32) -> Duration {
    let doubled = INITIAL_RETRY_DELAY * (1 << failures.clamp(1, 6).saturating_sub(1));
    let most = doubled.min(MAX_RETRY_DELAY).as_millis() as u64;
    Duration::from_millis(rand::rng().random_range(most / 2..=most))
}

/// Delay before a list is read anew after `cut_lists` consecutive ones that the store did not continue, with jitter to
/// spread the calls of the nodes.
pub(super) fn relist_delay(cut_lists: u32) -> Duration {
    let doubled = INITIAL_RELIST_DELAY * (1 << cut_lists.clamp(1, 6).saturating_sub(1));
    doubled.min(MAX_RELIST_DELAY) * rand::rng().random_range(MIN_WATCH_WAIT_PERCENT..=100) / 100
}

/// Follows `topic` indefinitely and passes updates to `apply`. A notification on `refresh`, sent by
/// whoever knows of newer data, forces a new list.
///
/// A broken watch is never resumed from its last revision: a store that has lost part of its history
/// may let it wait as if nothing had changed. After a change whose name could not be read the topic is listed anew,
/// since the change may concern any fact. A cut list is watched as well, and listed anew after a while.
pub async fn follow(
    store: Arc<dyn FactStore>,
    topic: FactTopic,
    refresh: Arc<Notify>,
    gate: Arc<dyn ReadGate>,
    mut apply: impl FnMut(FactUpdate) + Send,
) {
    let mut reader = FactReader::new(store, topic, refresh, gate);
    let mut at = StoreRevision::default();
    let mut outdated_lists = 0;
    let mut unnamed_changes = 0;
    let mut cut_lists = 0;
    loop {
        reader.wait_until_open().await;
        let list = reader.list(Freshness::Current).await;
        log_list(topic, at, &list);
        at = list.at;
        let is_cut = list.extent == ListExtent::Cut;
        cut_lists = if is_cut { cut_lists + 1 } else { 0 };
        let relist_at = is_cut.then(|| Instant::now() + relist_delay(cut_lists));
        apply(FactUpdate::from(list));
        // A response that was delayed, or came from a part of the store that is behind.
        if at.era() < reader.gate.newest_era() {
            outdated_lists += 1;
            tokio::time::sleep(retry_delay(outdated_lists)).await;
            continue;
        }
        outdated_lists = 0;
        while let Some(changes) = reader.watch(at).await {
            at = changes.at;
            let is_news = !changes.changes.is_empty();
            let has_unnamed = changes.has_unnamed();
            apply(match is_cut {
                true => FactUpdate::ChangesSinceCut(changes),
                false => FactUpdate::Changes(changes),
            });
            if has_unnamed {
                unnamed_changes += 1;
                tokio::time::sleep(retry_delay(unnamed_changes)).await;
                break;
            }
            if is_news {
                // Batches changes in quick succession into one call.
                unnamed_changes = 0;
                tokio::time::sleep(batch_delay(topic, reader.gate.role())).await;
            }
            if relist_at.is_some_and(|due| due <= Instant::now()) {
                break;
            }
        }
    }
}

/// Logs the position of a list, whether it is before what this process has read already, and behind which names the
/// store did not continue it.
fn log_list(topic: FactTopic, before: StoreRevision, list: &FactList) {
    let at = list.at;
    let newest = list.facts.iter().map(|fact| fact.revision.number()).max();
    let fields = json!({
        "topic": topic.as_str(), "at": at.number(), "era": at.era(), "before": before.number(),
        "before_era": before.era(), "facts": list.facts.len(), "newest": newest,
    });
    match at.number() < before.number() {
        true => decisions::warn("store", "revisions_went_back", fields),
        false => decisions::info("store", "listed", fields),
    }
    log_dead_ends(topic.as_str(), list.facts.len(), list.extent, &list.dead_ends);
}

/// Reads one topic from the store.
pub(super) struct FactReader {
    store: Arc<dyn FactStore>,
    topic: FactTopic,
    /// Notified when another component knows of newer data.
    refresh: Arc<Notify>,
    gate: Arc<dyn ReadGate>,
    begun: Instant,
    /// Calls that failed since the last success.
    outage: Option<StoreOutage>,
    /// Duration of the last list.
    answer_time: Duration,
    /// Responses with an unreadable era when this was last checked.
    malformed_eras: u64,
}

impl FactReader {
    /// Creates a reader of `topic`.
    pub(super) fn new(
        store: Arc<dyn FactStore>,
        topic: FactTopic,
        refresh: Arc<Notify>,
        gate: Arc<dyn ReadGate>,
    ) -> Self {
        let (begun, answer_time) = (Instant::now(), Duration::ZERO);
        Self { store, topic, refresh, gate, begun, outage: None, answer_time, malformed_eras: 0 }
    }

    /// Waits until the gate opens or a refresh is requested.
    async fn wait_until_open(&self) {
        while !self.gate.is_open() {
            let is_first = self.begun.elapsed() < STARTUP_PERIOD;
            let pause = if is_first { STARTUP_GATE_POLL_INTERVAL } else { GATE_POLL_INTERVAL };
            let refreshed = tokio::time::timeout(pause, self.refresh.notified()).await;
            if refreshed.is_ok() {
                return;
            }
        }
    }

    /// Lists the topic, retrying until it succeeds.
    ///
    /// A call that receives no data for a while is hedged with another: after an outage, a store or
    /// the path to it often responds to new calls but never to earlier ones. The first response wins,
    /// so a merely slow store is read as well. No call is added while data arrives: it would compete
    /// for the link until no call completes in time.
    pub(super) async fn list(&mut self, freshness: Freshness) -> FactList {
        let (store, topic) = (self.store.clone(), self.topic);
        let progress = ByteProgress::default();
        let call = || async {
            let begun = Instant::now();
            (begun, store.list(topic, freshness, progress.clone()).await)
        };
        let mut calls = FuturesUnordered::new();
        calls.push(call());
        let mut next = Instant::now() + hedge_delay(topic);
        let mut received = 0;
        loop {
            tokio::select! {
                Some((begun, listed)) = calls.next() => match listed {
                    Ok(list) => {
                        self.answer_time = begun.elapsed();
                        self.record_success();
                        return list;
                    }
                    Err(error) => {
                        let pause = self.record_failure(StoreCall::List, begun, &error);
                        if calls.is_empty() {
                            next = Instant::now() + pause;
                        }
                    }
                },
                () = tokio::time::sleep_until(next) => {
                    let has_moved = progress.total() > received;
                    received = progress.total();
                    if calls.is_empty() || !has_moved {
                        if !calls.is_empty() {
                            self.gate.note(false);
                        }
                        calls.push(call());
                    }
                    next = Instant::now() + hedge_delay(topic);
                }
                () = self.refresh.notified() => {
                    next = next.min(Instant::now() + INITIAL_RETRY_DELAY);
                }
            }
        }
    }

    /// Waits for changes after `at`; `None` if the topic has to be listed again.
    async fn watch(&mut self, at: StoreRevision) -> Option<FactChanges> {
        let begun = Instant::now();
        let role = self.gate.role();
        let wait = watch_wait(self.topic, role);
        let watched = tokio::select! {
            watched = self.watched(at, wait) => watched,
            () = self.refresh.notified() => {
                decisions::info("store", "nudged", json!({ "topic": self.topic.as_str() }));
                return None;
            }
            () = watch_obsolete(&*self.gate, role, at) => return None,
        };
        match watched {
            Ok(changes) => {
                self.gate.note(true);
                self.log_changes(begun, &changes);
                Some(changes)
            }
            Err(StoreFailure::HistoryGone) => {
                decisions::info("store", "history_gone", json!({ "topic": self.topic.as_str() }));
                None
            }
            Err(StoreFailure::EraChanged { before, after }) => {
                let fields =
                    json!({ "topic": self.topic.as_str(), "era": after, "watched_era": before });
                decisions::info("store", "watch_of_old_era", fields);
                None
            }
            Err(error) => {
                let pause = self.record_failure(StoreCall::Watch, begun, &error);
                tokio::time::sleep(pause).await;
                None
            }
        }
    }

    /// Watches for `wait`; fails if the store stays silent for too long after that.
    async fn watched(
        &self,
        at: StoreRevision,
        wait: Duration,
    ) -> Result<FactChanges, StoreFailure> {
        let silence_limit = WATCH_SILENCE_TIMEOUT + self.answer_time.min(MAX_LIST_TIME_ALLOWANCE);
        let progress = ByteProgress::default();
        let watch = self.store.watch(self.topic, at, wait, progress.clone());
        let mut watch = std::pin::pin!(watch);
        let (mut silence, mut received) = (wait + silence_limit, 0);
        loop {
            match tokio::time::timeout(silence, &mut watch).await {
                Ok(watched) => return watched,
                // A large response is still arriving over a slow link.
                Err(_) if progress.total() > received => {
                    (silence, received) = (silence_limit, progress.total())
                }
                Err(_) => return Err(silent_for(silence)),
            }
        }
    }

    /// Logs how long a watch that returned changes had been open. A missing next line shows that the
    /// store never responded to the following watch.
    fn log_changes(&self, begun: Instant, changes: &FactChanges) {
        if changes.changes.is_empty() {
            return;
        }
        let fields = json!({
            "topic": self.topic.as_str(), "open_ms": begun.elapsed().as_millis() as u64,
            "changes": changes.changes.len(), "at": changes.at.number(), "era": changes.at.era(),
        });
        decisions::info("store", "watch_brought", fields);
    }

    /// Logs responses whose era was unreadable. They count as being of the newest known era.
    fn log_malformed_eras(&mut self) {
        let count = self.store.malformed_eras();
        if count > self.malformed_eras {
            let fields = json!({ "topic": self.topic.as_str(), "responses": count });
            decisions::warn("store", "malformed_era", fields);
        }
        self.malformed_eras = count;
    }

    fn record_success(&mut self) {
        self.gate.note(true);
        self.log_malformed_eras();
        if let Some(outage) = self.outage.take() {
            outage.end();
        }
    }

    /// Records a failed call and returns the delay before the next one.
    fn record_failure(
        &mut self,
        call: StoreCall,
        begun: Instant,
        error: &StoreFailure,
    ) -> Duration {
        self.gate.note(false);
        let outage = self.outage.get_or_insert_with(|| StoreOutage::new(self.topic, begun));
        outage.note(call, begun, error);
        retry_delay(outage.failures)
    }
}

fn silent_for(silence: Duration) -> StoreFailure {
    StoreFailure::Unreachable(format!("silent for {} ms", silence.as_millis()))
}

/// Kind of a store call, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoreCall {
    List,
    Watch,
}

impl StoreCall {
    const fn as_str(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Watch => "watch",
        }
    }
}

/// A run of consecutive failed store calls.
#[derive(Debug)]
struct StoreOutage {
    topic: FactTopic,
    since: Instant,
    failures: u32,
}

impl StoreOutage {
    fn new(topic: FactTopic, since: Instant) -> Self {
        Self { topic, since, failures: 0 }
    }

    /// Records and logs a failed call.
    fn note(&mut self, call: StoreCall, begun: Instant, error: &StoreFailure) {
        self.failures += 1;
        let event = if self.failures == 1 { "lost" } else { "still_lost" };
        let fields = json!({
            "topic": self.topic.as_str(), "error": error.to_string(), "call": call.as_str(),
            "took_ms": begun.elapsed().as_millis() as u64, "failures": self.failures,
        });
        decisions::warn("store", event, fields);
    }

    /// Logs the end of the outage.
    fn end(self) {
        let lost_ms = self.since.elapsed().as_millis() as u64;
        let fields = json!({ "topic": self.topic.as_str(), "lost_ms": lost_ms });
        decisions::info("store", "regained", fields);
    }
}
