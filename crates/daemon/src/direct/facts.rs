//! Follows the facts of one topic: list, watch, and list again where the history is gone.

use std::{sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use headlatch_core::direct::fact_age::ChangeMark;
use headlatch_outside::facts::{
    Fact, FactChange, FactChanges, FactList, FactStore, FactTopic, Freshness, NamedFact,
    StoreFailure, StoreRevision,
};
use headlatch_types::ByteProgress;
use rand::Rng;
use serde_json::json;
use tokio::{sync::Notify, time::Instant};

use crate::decisions;

/// How long a watch waits at a process that stands by: those that watch tell it of changes.
const STANDBY_WATCH_WAIT: Duration = Duration::from_secs(29);

/// The same at a process that watches. A watch may be lost without a word: sent while the store was
/// silent, or on a connection that is silent for good. Where all of them are lost nobody knows more
/// than anybody else, so that only the end of the wait shows it. Changes are due two seconds after
/// they are made, from three seconds after the trouble on: with [`WATCH_SILENCE_TIMEOUT`], a list and a
/// notice, 2.6 s have passed by then.
const WATCH_WAIT: Duration = Duration::from_millis(1500);

/// The same for wanted weights, which are due after eight seconds and more.
const WEIGHTS_WATCH_WAIT: Duration = Duration::from_millis(3000);

/// The same for failure domains that are being emptied, which get nothing new five seconds later.
const EVACUATIONS_WATCH_WAIT: Duration = Duration::from_millis(2500);

/// Least part of these times that is drawn, so that nodes do not call together, in percent.
const MIN_WATCH_WAIT_PERCENT: u32 = 85;

/// Silence after the end of its wait from which a watch counts as lost, beside the time that the
/// store took for the last list: far longer than the answer of a store that is slow.
const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Most of that time that is added: the list may have been large, and its link narrow.
const MAX_LIST_TIME_ALLOWANCE: Duration = Duration::from_millis(1000);

/// First pause after a failed call.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Longest pause after failed calls.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1500);

/// Silence of a list after which another call joins it: longer than the answer of a store that is slow,
/// and well before a change is due that was accepted while nothing came.
const LIST_HEDGE_DELAY: Duration = Duration::from_millis(1000);

/// The same for wanted weights: they are due after eight seconds and more, and every process tells
/// them to every other.
const WEIGHTS_HEDGE_DELAY: Duration = Duration::from_millis(3000);

/// Rest after a watch brought something, in which further changes gather: each call is priced, and
/// a server that leaves serves on for two seconds at least.
const SERVERS_BATCH_DELAY: Duration = Duration::from_millis(800);

/// The same for a reader that stands by: what the one that watches has read it hears in notices, and
/// of servers that leave from every failure domain.
const STANDBY_SERVERS_BATCH_DELAY: Duration = Duration::from_millis(2000);

fn batch_delay(topic: FactTopic, role: ReaderRole) -> Duration {
    match (topic, role) {
        (FactTopic::Servers, ReaderRole::Active) => SERVERS_BATCH_DELAY,
        (FactTopic::Servers, ReaderRole::Standby) => STANDBY_SERVERS_BATCH_DELAY,
        (FactTopic::Plan | FactTopic::Weights | FactTopic::Evacuations, _) => Duration::ZERO,
    }
}

/// How long the next watch waits.
fn watch_wait(topic: FactTopic, role: ReaderRole) -> Duration {
    let most = match (role, topic) {
        (ReaderRole::Standby, _) => return STANDBY_WATCH_WAIT,
        (ReaderRole::Active, FactTopic::Weights) => WEIGHTS_WATCH_WAIT,
        (ReaderRole::Active, FactTopic::Evacuations) => EVACUATIONS_WATCH_WAIT,
        (ReaderRole::Active, FactTopic::Plan | FactTopic::Servers) => WATCH_WAIT,
    };
    most * rand::rng().random_range(MIN_WATCH_WAIT_PERCENT..=100) / 100
}

/// Time for which a list may be silent, with jitter so that nodes do not call together.
fn hedge_delay(topic: FactTopic) -> Duration {
    let most = match topic {
        FactTopic::Plan | FactTopic::Servers | FactTopic::Evacuations => LIST_HEDGE_DELAY,
        FactTopic::Weights => WEIGHTS_HEDGE_DELAY,
    };
    most.mul_f64(rand::rng().random_range(0.7..=1.0))
}

/// Decides whether a topic is read from the store, and hears whether that works.
pub trait ReadGate: Send + Sync {
    /// Whether the topic is to be read now.
    fn is_open(&self) -> bool;
    /// Notes whether the last call was answered.
    fn note(&self, answered: bool);
    /// What this process has to do beside the others that read the topic.
    fn role(&self) -> ReaderRole {
        ReaderRole::Active
    }
}

/// What a process that reads a topic has to do beside others of its failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderRole {
    /// Others rely on it: it must notice by itself when its watch is lost.
    Active,
    /// It reads in case the one that watches stops: its calls may be rare.
    Standby,
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

/// Looks in a row that must find a gate closed, or its duty another one, before a watch is ended: one
/// second.
const CLOSED_GATE_POLLS: u32 = 5;

/// How often a closed gate is looked at.
const GATE_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The same at first, when others wait for what is read.
const STARTUP_GATE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a gate is looked at more often.
const STARTUP_PERIOD: Duration = Duration::from_secs(2);

/// Looks at a gate until a watch that was sent with `duty` is not the right one any more: the gate
/// has been closed for some time, or its process has to watch and did not when it was sent.
async fn watch_obsolete(gate: &dyn ReadGate, role: ReaderRole) {
    let is_right = || gate.is_open() && (gate.role() == role || role == ReaderRole::Active);
    let mut polls = 0;
    while polls < CLOSED_GATE_POLLS {
        tokio::time::sleep(GATE_POLL_INTERVAL).await;
        polls = if is_right() { 0 } else { polls + 1 };
    }
}

/// What a follower hands over.
#[derive(Debug, Clone)]
pub enum FactUpdate {
    /// Everything there is; whatever is not in it is gone.
    All(FactList),
    /// What a watch brought.
    Changes(FactChanges),
}

impl FactUpdate {
    /// The place up to which the store has said everything.
    pub fn covered(&self) -> ChangeMark {
        match self {
            Self::All(list) => ChangeMark(list.at.0),
            Self::Changes(changes) => ChangeMark(changes.at.0),
        }
    }

    /// The newest change in it.
    pub fn newest(&self) -> ChangeMark {
        let revision = |fact: &NamedFact| ChangeMark(fact.revision.0);
        let newest = match self {
            Self::All(list) => list.facts.iter().map(revision).max(),
            Self::Changes(changes) => {
                let marks = changes.changes.iter().map(|change| match change {
                    FactChange::Set(fact) => revision(fact),
                    FactChange::Gone { revision, .. } => ChangeMark(revision.0),
                });
                marks.max()
            }
        };
        newest.unwrap_or_default()
    }
}

/// Pause after the `failures`th failure in a row, with jitter so that nodes do not call together.
pub fn retry_delay(failures: u32) -> Duration {
    let doubled = INITIAL_RETRY_DELAY * (1 << failures.clamp(1, 6).saturating_sub(1));
    let most = doubled.min(MAX_RETRY_DELAY).as_millis() as u64;
    Duration::from_millis(rand::rng().random_range(most / 2..=most))
}

/// Follows `topic` for ever and hands news to `take`; whoever knows that there is something newer
/// notifies `refresh`, upon which everything is listed again.
///
/// A watch that broke off is never taken up again where it was: a store that has lost part of its
/// history may let it wait as if nothing had changed.
pub async fn follow(
    store: Arc<dyn FactStore>,
    topic: FactTopic,
    refresh: Arc<Notify>,
    gate: Arc<dyn ReadGate>,
    mut apply: impl FnMut(FactUpdate) + Send,
) {
    let mut reader = FactReader::new(store, topic, refresh, gate);
    loop {
        reader.wait_until_open().await;
        let list = reader.list(Freshness::Current).await;
        let mut at = list.at;
        apply(FactUpdate::All(list));
        while let Some(changes) = reader.watch(at).await {
            at = changes.at;
            let is_news = !changes.changes.is_empty();
            apply(FactUpdate::Changes(changes));
            if is_news {
                // Changes that come close together are one call.
                tokio::time::sleep(batch_delay(topic, reader.gate.role())).await;
            }
        }
    }
}

/// Reads one topic from the store.
pub(super) struct FactReader {
    store: Arc<dyn FactStore>,
    topic: FactTopic,
    /// Somebody knows that there is something newer.
    refresh: Arc<Notify>,
    gate: Arc<dyn ReadGate>,
    begun: Instant,
    /// Calls that have failed since the last one that was answered.
    outage: Option<StoreOutage>,
    /// Time that the store took for the last list.
    answer_time: Duration,
}

impl FactReader {
    /// A reader of `topic`.
    pub(super) fn new(
        store: Arc<dyn FactStore>,
        topic: FactTopic,
        refresh: Arc<Notify>,
        gate: Arc<dyn ReadGate>,
    ) -> Self {
        let (begun, answer_time) = (Instant::now(), Duration::ZERO);
        Self { store, topic, refresh, gate, begun, outage: None, answer_time }
    }

    /// Waits until the gate opens or somebody knows that there is something newer.
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

    /// Lists the topic, however often that fails.
    ///
    /// A call of which nothing has come for a while is joined by another: a store, or a way to it,
    /// that is back after a silence answers what comes then, and often never what came before. The
    /// first answer wins, so that a store that is merely slow is read as well. As long as bytes come
    /// none joins: it would take the link from the others, until no call ends in time.
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

    /// Waits for changes after `at`; none where everything is to be listed anew.
    async fn watch(&mut self, at: StoreRevision) -> Option<FactChanges> {
        let begun = Instant::now();
        let role = self.gate.role();
        let wait = watch_wait(self.topic, role);
        let watched = tokio::select! {
            watched = self.watched(at, wait) => watched,
            () = self.refresh.notified() => {
                decisions::note("store", "nudged", json!({ "topic": self.topic.as_str() }));
                return None;
            }
            () = watch_obsolete(&*self.gate, role) => return None,
        };
        match watched {
            Ok(changes) => {
                self.gate.note(true);
                self.log_changes(begun, &changes);
                Some(changes)
            }
            Err(StoreFailure::HistoryGone) => {
                decisions::note("store", "history_gone", json!({ "topic": self.topic.as_str() }));
                None
            }
            Err(error) => {
                let pause = self.record_failure(StoreCall::Watch, begun, &error);
                tokio::time::sleep(pause).await;
                None
            }
        }
    }

    /// What a watch for `wait` brings; an error once nothing has come for too long after that.
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
                // A large change is on its way over a narrow link.
                Err(_) if progress.total() > received => {
                    (silence, received) = (silence_limit, progress.total())
                }
                Err(_) => return Err(silent_for(silence)),
            }
        }
    }

    /// Writes down how long a watch that brought something had been open: where the next one of
    /// these lines is missing, the watch after it was never answered.
    fn log_changes(&self, begun: Instant, changes: &FactChanges) {
        if changes.changes.is_empty() {
            return;
        }
        let fields = json!({
            "topic": self.topic.as_str(), "open_ms": begun.elapsed().as_millis() as u64,
            "changes": changes.changes.len(), "at": changes.at.0,
        });
        decisions::note("store", "watch_brought", fields);
    }

    fn record_success(&mut self) {
        self.gate.note(true);
        if let Some(outage) = self.outage.take() {
            outage.end();
        }
    }

    /// Notes a call that failed, and tells how long to wait before the next one.
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

/// A call to the store, for logs.
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

/// A store whose calls fail.
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

    /// Notes a call that failed.
    fn note(&mut self, call: StoreCall, begun: Instant, error: &StoreFailure) {
        self.failures += 1;
        let event = if self.failures == 1 { "lost" } else { "still_lost" };
        let fields = json!({
            "topic": self.topic.as_str(), "error": error.to_string(), "call": call.as_str(),
            "took_ms": begun.elapsed().as_millis() as u64, "failures": self.failures,
        });
        decisions::warn("store", event, fields);
    }

    /// Notes that a call was answered.
    fn end(self) {
        let lost_ms = self.since.elapsed().as_millis() as u64;
        let fields = json!({ "topic": self.topic.as_str(), "lost_ms": lost_ms });
        decisions::note("store", "regained", fields);
    }
}

/// The facts in news that are there and can be read.
pub fn readable_facts(news: FactUpdate) -> Vec<Fact> {
    let named: Vec<NamedFact> = match news {
        FactUpdate::All(list) => list.facts,
        FactUpdate::Changes(changes) => changes
            .changes
            .into_iter()
            .filter_map(|change| match change {
                FactChange::Set(fact) => Some(fact),
                FactChange::Gone { .. } => None,
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
