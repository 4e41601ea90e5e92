//! Tests of watches that are never answered: the call was sent while the store did not answer, or
//! on a connection that stopped delivering data without a reset. If no process has a working watch,
//! nothing else reveals the loss. All tests run in virtual time.

use std::{
    ops::Range,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use googletest::prelude::*;
use headlatch_daemon::direct::facts::{AlwaysOpen, FactUpdate, ReadGate, ReaderRole, follow};
use headlatch_outside::{
    OutsideFuture,
    facts::{
        Fact, FactChange, FactChanges, FactList, FactStore, FactTopic, Freshness, NamedFact,
        StoreFailure,
    },
};
use headlatch_types::{
    ByteProgress, InputError,
    reading::FieldIssues,
    store::StoreRevision,
    traffic::{TargetWeights, WeightVersion},
};
use tokio::time::Instant;

/// Time after which the platform's client abandons a call, in addition to the wait time of the
/// call.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time that the store takes to answer.
const ANSWER_LATENCY: Duration = Duration::from_millis(4);

/// Maximum time from a change until an entry that reads the store knows it. Two seconds are allowed
/// for all entries, half a second of which is for passing it on to the others.
const MAX_PROPAGATION: Duration = Duration::from_millis(1500);

/// Time after a fault from which changes must propagate in time again.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// Outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallOutcome {
    Answered,
    /// The call gets no answer until the caller abandons it.
    Lost,
}

/// A store with injected faults. The Nth change has revision N.
#[derive(Debug)]
struct FaultyStore {
    /// Calls that start in this range are lost; answers to earlier calls that fall into it are
    /// delayed until its end.
    silent: Range<Instant>,
    /// Calls in progress at this time are lost; later ones are not.
    connections_lost: Option<Instant>,
    /// Times of the changes.
    changes: Vec<Instant>,
    /// Watches return changes whose names can't be read.
    unnamed: bool,
    lists: AtomicU32,
    watches: AtomicU32,
}

impl FaultyStore {
    /// Creates a store without faults.
    fn healthy(changes: Vec<Instant>) -> Self {
        let now = Instant::now();
        let (lists, watches) = (AtomicU32::default(), AtomicU32::default());
        Self { silent: now..now, connections_lost: None, changes, unnamed: false, lists, watches }
    }

    fn revision(&self) -> u64 {
        let now = Instant::now();
        self.changes.iter().filter(|at| **at <= now).count() as u64
    }

    /// Waits for the duration of a call whose answer is available at `ready`, and returns its
    /// outcome.
    async fn answer_at(&self, started: Instant, ready: Instant) -> CallOutcome {
        if self.silent.contains(&started) {
            return CallOutcome::Lost;
        }
        let held = if self.silent.contains(&ready) { self.silent.end } else { ready };
        tokio::time::sleep_until(held + ANSWER_LATENCY).await;
        let lost = self.connections_lost.filter(|at| (started..Instant::now()).contains(at));
        match lost {
            Some(_) => CallOutcome::Lost,
            None => CallOutcome::Answered,
        }
    }
}

/// Waits until the caller abandons a call that started at `started` with the wait time `wait`.
async fn client_timeout(started: Instant, wait: Duration) -> StoreFailure {
    tokio::time::sleep_until(started + wait + CLIENT_TIMEOUT).await;
    StoreFailure::Unreachable("no answer in time".to_owned())
}

fn fact(revision: u64) -> NamedFact {
    let wanted = TargetWeights {
        model: "m".parse().expect("valid model name"),
        version: WeightVersion(revision),
    };
    NamedFact {
        name: "m".to_owned(),
        revision: StoreRevision::from_wire(revision),
        fact: Ok(Fact::Weights(wanted)),
        field_issues: FieldIssues::default(),
    }
}

fn unnamed_fact(revision: u64) -> NamedFact {
    let error = InputError::new("object".to_owned(), "no JSON".to_owned());
    NamedFact { name: String::new(), fact: Err(error), ..fact(revision) }
}

impl FactStore for FaultyStore {
    fn list(
        &self,
        _topic: FactTopic,
        _freshness: Freshness,
        _progress: ByteProgress,
    ) -> OutsideFuture<'_, std::result::Result<FactList, StoreFailure>> {
        self.lists.fetch_add(1, Ordering::Relaxed);
        Box::pin(async move {
            let started = Instant::now();
            if self.answer_at(started, started).await == CallOutcome::Lost {
                return Err(client_timeout(started, Duration::ZERO).await);
            }
            let revision = self.revision();
            Ok(FactList {
                facts: vec![fact(revision)],
                at: StoreRevision::from_wire(revision),
                ..FactList::default()
            })
        })
    }

    fn watch(
        &self,
        _topic: FactTopic,
        after: StoreRevision,
        wait: Duration,
        _progress: ByteProgress,
    ) -> OutsideFuture<'_, std::result::Result<FactChanges, StoreFailure>> {
        self.watches.fetch_add(1, Ordering::Relaxed);
        Box::pin(async move {
            let started = Instant::now();
            let next = self.changes.get(after.number() as usize).copied();
            let ready = next.unwrap_or(started + wait).clamp(started, started + wait);
            if self.answer_at(started, ready).await == CallOutcome::Lost {
                return Err(client_timeout(started, wait).await);
            }
            let revision = self.revision();
            let is_news = revision > after.number();
            let changed = if self.unnamed { unnamed_fact } else { fact };
            let changes = is_news.then(|| FactChange::Set(changed(revision)));
            Ok(FactChanges {
                changes: changes.into_iter().collect(),
                at: StoreRevision::from_wire(revision),
            })
        })
    }
}

/// Time after the last change for which a process is observed.
const OBSERVATION_TIME: Duration = Duration::from_secs(40);

/// Returns the time from the last change of `store` until a process that follows the store knows
/// it, or `None` if it does not learn it within [`OBSERVATION_TIME`].
async fn propagation_time(
    store: FaultyStore,
    topic: FactTopic,
    gate: Arc<dyn ReadGate>,
) -> Option<Duration> {
    let last = *store.changes.last().expect("store has at least one change");
    let wanted = StoreRevision::from_wire(store.changes.len() as u64);
    let known: Arc<Mutex<Option<Instant>>> = Arc::default();
    let observed = known.clone();
    let take = move |news: FactUpdate| {
        if news.covered() >= wanted {
            observed.lock().expect("mutex is not poisoned").get_or_insert(Instant::now());
        }
    };
    let following = tokio::spawn(follow(Arc::new(store), topic, Arc::default(), gate, take));
    tokio::time::sleep_until(last + OBSERVATION_TIME).await;
    following.abort();
    let known = *known.lock().expect("mutex is not poisoned");
    known.map(|at| at - last)
}

/// A store with one change, an outage that starts `gap` later and lasts for `silence`, and a second
/// change [`RECOVERY_TIME`] after the outage.
fn store_silent_after_a_change(gap: Duration, silence: Duration) -> FaultyStore {
    let first = Instant::now() + Duration::from_millis(5000);
    let silent = first + gap..first + gap + silence;
    let second = silent.end + RECOVERY_TIME;
    FaultyStore { silent, ..FaultyStore::healthy(vec![first, second]) }
}

/// Guards against missing a change because the watches of all readers are lost at once. All readers
/// pause after the same change and then send their next watches simultaneously, so that an outage
/// that starts during the pause affects all of them.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_change_after_a_store_outage_that_lost_the_watch_propagates_in_time() {
    let topics = [FactTopic::Plan, FactTopic::Servers];
    let gaps = (1..12).map(|tenths| Duration::from_millis(tenths * 100 - 99));
    for (topic, gap) in topics.into_iter().flat_map(|topic| gaps.clone().map(move |g| (topic, g))) {
        for silence in [2000, 4500, 9000].map(Duration::from_millis) {
            let store = store_silent_after_a_change(gap, silence);
            let took = propagation_time(store, topic, Arc::new(AlwaysOpen)).await;
            expect_that!(
                took,
                some(le(MAX_PROPAGATION)),
                "{topic:?}, {gap:?} before an outage of {silence:?}"
            );
        }
    }
}

/// Guards against waiting on a connection that stopped delivering data without a reset, while new
/// connections work. Changes must propagate in time again three seconds later, so that a change
/// made one second after the loss must be known by then.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_change_after_the_watch_connection_is_lost_propagates_in_time() {
    for topic in [FactTopic::Plan, FactTopic::Servers] {
        for hundredths in (0..40).map(|step| step * 10) {
            let first = Instant::now() + Duration::from_millis(5000);
            let lost = first + Duration::from_millis(hundredths * 10);
            let second = lost + RECOVERY_TIME - Duration::from_millis(1950);
            let healthy = FaultyStore::healthy(vec![first, second]);
            let store = FaultyStore { connections_lost: Some(lost), ..healthy };
            let took = propagation_time(store, topic, Arc::new(AlwaysOpen)).await;
            expect_that!(
                took,
                some(le(MAX_PROPAGATION)),
                "{topic:?}, connection lost {} ms after a change",
                hundredths * 10
            );
        }
    }
}

/// An open gate whose process stands by until `watches` is set.
#[derive(Debug, Default)]
struct StandbyGate {
    watches: AtomicBool,
}

impl ReadGate for StandbyGate {
    fn is_open(&self) -> bool {
        true
    }

    fn note(&self, _answered: bool) {}

    fn role(&self) -> ReaderRole {
        match self.watches.load(Ordering::Relaxed) {
            true => ReaderRole::Active,
            false => ReaderRole::Standby,
        }
    }
}

/// The watch of a standby process may have been lost long ago. Guards against keeping it when the
/// standby takes over from a process that is gone.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_standby_that_takes_over_abandons_its_old_watch() {
    for topic in [FactTopic::Plan, FactTopic::Servers, FactTopic::Weights] {
        let first = Instant::now() + Duration::from_millis(5000);
        let lost = first + Duration::from_millis(4000);
        let second = lost + RECOVERY_TIME;
        let healthy = FaultyStore::healthy(vec![first, second]);
        let store = FaultyStore { connections_lost: Some(lost), ..healthy };
        let gate = Arc::new(StandbyGate::default());
        let turn = gate.clone();
        tokio::spawn(async move {
            tokio::time::sleep_until(lost + Duration::from_millis(1600)).await;
            turn.watches.store(true, Ordering::Relaxed);
        });
        let took = propagation_time(store, topic, gate).await;
        expect_that!(took, some(le(MAX_PROPAGATION)), "{topic:?}");
    }
}

/// Guards against pauses after a watch that returned no changes: the next watch must start at once,
/// so that a change is known as soon as the store answers, whenever it is made.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_change_at_a_healthy_store_propagates_without_delay() {
    for hundredths in 0..40 {
        let store = FaultyStore::healthy(vec![
            Instant::now() + Duration::from_millis(9000 + hundredths * 50),
        ]);
        let took = propagation_time(store, FactTopic::Servers, Arc::new(AlwaysOpen)).await;
        expect_that!(took, some(le(ANSWER_LATENCY * 3)), "{hundredths}");
    }
}

/// Returns the numbers of list and watch calls to a healthy store within a minute.
async fn calls_in_a_minute(topic: FactTopic, gate: Arc<dyn ReadGate>) -> (u32, u32) {
    let store = Arc::new(FaultyStore::healthy(Vec::new()));
    let following =
        tokio::spawn(follow(store.clone(), topic, Arc::default(), gate, |_: FactUpdate| {}));
    tokio::time::sleep(Duration::from_secs(60)).await;
    following.abort();
    (store.lists.load(Ordering::Relaxed), store.watches.load(Ordering::Relaxed))
}

/// Guards against needless calls, each of which is charged for: a healthy store is called as rarely
/// as the time limits allow.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_healthy_store_is_called_rarely() {
    for (topic, most) in [(FactTopic::Plan, 47), (FactTopic::Servers, 47), (FactTopic::Weights, 24)]
    {
        let (lists, watches) = calls_in_a_minute(topic, Arc::new(AlwaysOpen)).await;
        expect_that!(lists, eq(1), "{topic:?}");
        expect_that!(watches, le(most), "{topic:?}");
        let (lists, watches) = calls_in_a_minute(topic, Arc::new(StandbyGate::default())).await;
        expect_that!(lists, eq(1), "{topic:?}, standby");
        expect_that!(watches, le(3), "{topic:?}, standby");
    }
}

/// Follows servers of a store with unnamed changes at these times, in milliseconds from now, for a minute. Returns
/// the number of lists, and the newest revision that a list or a named change has brought.
async fn lists_after_unnamed_changes(changes: impl Iterator<Item = u64>) -> (u32, StoreRevision) {
    let at = |millis| Instant::now() + Duration::from_millis(millis);
    let healthy = FaultyStore::healthy(changes.map(at).collect());
    let store = Arc::new(FaultyStore { unnamed: true, ..healthy });
    let known: Arc<Mutex<StoreRevision>> = Arc::default();
    let observed = known.clone();
    let take = move |news: FactUpdate| {
        if let FactUpdate::All(list) = news {
            *observed.lock().expect("mutex is not poisoned") = list.at;
        }
    };
    let gate = Arc::new(AlwaysOpen);
    let following =
        tokio::spawn(follow(store.clone(), FactTopic::Servers, Arc::default(), gate, take));
    tokio::time::sleep(Duration::from_secs(60)).await;
    following.abort();
    let known = *known.lock().expect("mutex is not poisoned");
    (store.lists.load(Ordering::Relaxed), known)
}

/// Guards against skipping a change for good whose name could not be read: only a list tells what it concerns.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_change_without_a_readable_name_leads_to_a_list() {
    let (lists, known) = lists_after_unnamed_changes([5000, 20_000].into_iter()).await;
    expect_that!(lists, eq(3));
    expect_that!(known, eq(StoreRevision::from_wire(2)));
}

/// Guards against a list for each change of another writer who changes something ten times a second.
#[gtest]
#[tokio::test(start_paused = true)]
async fn many_changes_without_readable_names_lead_to_few_lists() {
    let (lists, known) = lists_after_unnamed_changes((1..500).map(|step| step * 100)).await;
    expect_that!(lists, le(90));
    expect_that!(known, eq(StoreRevision::from_wire(499)));
}
