//! Watches that nobody answers any more: sent to a store that was silent at that moment, or on a
//! connection that has gone silent for good. Nothing else tells of them where no process has a
//! watch that works. All of it in virtual time.

use std::{
    ops::Range,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use googletest::prelude::*;
use headlatch_core::direct::fact_age::ChangeMark;
use headlatch_daemon::direct::facts::{AlwaysOpen, FactNews, ReadGate, ReaderDuty, follow};
use headlatch_outside::{
    OutsideFuture,
    facts::{
        Fact, FactChange, FactChanges, FactList, FactStore, FactTopic, Freshness, NamedFact,
        StoreFailure, StoreRevision,
    },
};
use headlatch_types::ByteProgress;
use headlatch_types::traffic::{TargetWeights, WeightVersion};
use tokio::time::Instant;

/// Time after which the platform's client gives a call up, beside the time that it waits.
const CLIENT_TIME: Duration = Duration::from_secs(3);

/// Time for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Time from a change to its being known at an entry that reads the store: two seconds are allowed
/// everywhere, and half a second takes it to other entries.
const KNOWN_IN: Duration = Duration::from_millis(1500);

/// Time after a trouble from which changes are due in time again.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// What becomes of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallFate {
    Answered,
    /// It is met with silence until the caller gives it up.
    Lost,
}

/// A store with troubles. Revision N is that of the Nth change.
#[derive(Debug)]
struct TroubledStore {
    /// Calls that begin in here are lost; what was begun before is answered afterwards.
    silent: Range<Instant>,
    /// Calls under way at this moment are lost, later ones are not.
    connections_lost: Option<Instant>,
    /// When something changes.
    changes: Vec<Instant>,
    lists: AtomicU32,
    watches: AtomicU32,
}

impl TroubledStore {
    /// A store without troubles.
    fn calm(changes: Vec<Instant>) -> Self {
        let now = Instant::now();
        let (lists, watches) = (AtomicU32::default(), AtomicU32::default());
        Self { silent: now..now, connections_lost: None, changes, lists, watches }
    }

    fn revision(&self) -> u64 {
        let now = Instant::now();
        self.changes.iter().filter(|at| **at <= now).count() as u64
    }

    /// Waits as long as a call takes that has an answer at `ready`, and tells what becomes of it.
    async fn answer_at(&self, begun: Instant, ready: Instant) -> CallFate {
        if self.silent.contains(&begun) {
            return CallFate::Lost;
        }
        let held = if self.silent.contains(&ready) { self.silent.end } else { ready };
        tokio::time::sleep_until(held + ANSWER_TIME).await;
        let lost = self.connections_lost.filter(|at| (begun..Instant::now()).contains(at));
        match lost {
            Some(_) => CallFate::Lost,
            None => CallFate::Answered,
        }
    }
}

/// Lets the caller wait until it gives the call up, which began at `begun` and may wait for `wait`.
async fn given_up(begun: Instant, wait: Duration) -> StoreFailure {
    tokio::time::sleep_until(begun + wait + CLIENT_TIME).await;
    StoreFailure::Unreachable("no answer in time".to_owned())
}

fn fact(revision: u64) -> NamedFact {
    let wanted = TargetWeights {
        model: "m".parse().expect("a model's name"),
        version: WeightVersion(revision),
    };
    NamedFact {
        name: "m".to_owned(),
        revision: StoreRevision(revision),
        fact: Ok(Fact::Weights(wanted)),
    }
}

impl FactStore for TroubledStore {
    fn list(
        &self,
        _topic: FactTopic,
        _freshness: Freshness,
        _progress: ByteProgress,
    ) -> OutsideFuture<'_, std::result::Result<FactList, StoreFailure>> {
        self.lists.fetch_add(1, Ordering::Relaxed);
        Box::pin(async move {
            let begun = Instant::now();
            if self.answer_at(begun, begun).await == CallFate::Lost {
                return Err(given_up(begun, Duration::ZERO).await);
            }
            let revision = self.revision();
            Ok(FactList { facts: vec![fact(revision)], at: StoreRevision(revision) })
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
            let begun = Instant::now();
            let next = self.changes.get(after.0 as usize).copied();
            let ready = next.unwrap_or(begun + wait).clamp(begun, begun + wait);
            if self.answer_at(begun, ready).await == CallFate::Lost {
                return Err(given_up(begun, wait).await);
            }
            let revision = self.revision();
            let is_news = revision > after.0;
            let changes = is_news.then(|| FactChange::Set(fact(revision)));
            Ok(FactChanges { changes: changes.into_iter().collect(), at: StoreRevision(revision) })
        })
    }
}

/// How long a process that does not know a change is waited for.
const PATIENCE: Duration = Duration::from_secs(40);

/// Time from the last change of `store` to its being known to a process that follows it; none if it
/// does not become known.
async fn time_to_know(
    store: TroubledStore,
    topic: FactTopic,
    gate: Arc<dyn ReadGate>,
) -> Option<Duration> {
    let last = *store.changes.last().expect("a change");
    let wanted = ChangeMark(store.changes.len() as u64);
    let known: Arc<Mutex<Option<Instant>>> = Arc::default();
    let heard = known.clone();
    let take = move |news: FactNews| {
        if news.covered() >= wanted {
            heard.lock().expect("no panic").get_or_insert(Instant::now());
        }
    };
    let following = tokio::spawn(follow(Arc::new(store), topic, Arc::default(), gate, take));
    tokio::time::sleep_until(last + PATIENCE).await;
    following.abort();
    let known = *known.lock().expect("no panic");
    known.map(|at| at - last)
}

/// A change, a silence that begins `gap` later and lasts for `silence`, and another change as soon
/// after it as changes are due in time again.
fn store_silent_after_a_change(gap: Duration, silence: Duration) -> TroubledStore {
    let first = Instant::now() + Duration::from_millis(5000);
    let silent = first + gap..first + gap + silence;
    let second = silent.end + CONTACT_TIME;
    TroubledStore { silent, ..TroubledStore::calm(vec![first, second]) }
}

/// All readers rest after the same change, and send their next watches in step: a silence that
/// begins meanwhile takes all of them.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_change_after_a_silence_that_took_the_watch_is_known_in_time() {
    let topics = [FactTopic::Plan, FactTopic::Servers];
    let gaps = (1..12).map(|tenths| Duration::from_millis(tenths * 100 - 99));
    for (topic, gap) in topics.into_iter().flat_map(|topic| gaps.clone().map(move |g| (topic, g))) {
        for silence in [2000, 4500, 9000].map(Duration::from_millis) {
            let store = store_silent_after_a_change(gap, silence);
            let took = time_to_know(store, topic, Arc::new(AlwaysOpen)).await;
            expect_that!(
                took,
                some(le(KNOWN_IN)),
                "{topic:?}, {gap:?} before a silence of {silence:?}"
            );
        }
    }
}

/// Connections may go silent for good without a reset, while new ones work; changes are due in time
/// again three seconds later, so that one made a second after it must be known then.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_change_after_the_watch_went_silent_for_good_is_known_in_time() {
    for topic in [FactTopic::Plan, FactTopic::Servers] {
        for hundredths in (0..40).map(|step| step * 10) {
            let first = Instant::now() + Duration::from_millis(5000);
            let lost = first + Duration::from_millis(hundredths * 10);
            let second = lost + CONTACT_TIME - Duration::from_millis(1950);
            let calm = TroubledStore::calm(vec![first, second]);
            let store = TroubledStore { connections_lost: Some(lost), ..calm };
            let took = time_to_know(store, topic, Arc::new(AlwaysOpen)).await;
            expect_that!(
                took,
                some(le(KNOWN_IN)),
                "{topic:?}, silent {} ms after a change",
                hundredths * 10
            );
        }
    }
}

/// An open gate whose process stands by until it is told to watch.
#[derive(Debug, Default)]
struct StandbyGate {
    watches: AtomicBool,
}

impl ReadGate for StandbyGate {
    fn is_open(&self) -> bool {
        true
    }

    fn note(&self, _answered: bool) {}

    fn duty(&self) -> ReaderDuty {
        match self.watches.load(Ordering::Relaxed) {
            true => ReaderDuty::Watches,
            false => ReaderDuty::StandsBy,
        }
    }
}

/// The watch of a process that stands by may be lost for long; it ends when the process that
/// watched is gone.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_standby_whose_turn_comes_leaves_its_old_watch() {
    for topic in [FactTopic::Plan, FactTopic::Servers, FactTopic::Weights] {
        let first = Instant::now() + Duration::from_millis(5000);
        let lost = first + Duration::from_millis(4000);
        let second = lost + CONTACT_TIME;
        let calm = TroubledStore::calm(vec![first, second]);
        let store = TroubledStore { connections_lost: Some(lost), ..calm };
        let gate = Arc::new(StandbyGate::default());
        let turn = gate.clone();
        tokio::spawn(async move {
            tokio::time::sleep_until(lost + Duration::from_millis(1600)).await;
            turn.watches.store(true, Ordering::Relaxed);
        });
        let took = time_to_know(store, topic, gate).await;
        expect_that!(took, some(le(KNOWN_IN)), "{topic:?}");
    }
}

/// A watch that brought nothing is followed by the next one at once: whenever a change is made, it
/// is known as soon as the store answers.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_calm_store_is_heard_at_once() {
    for hundredths in 0..40 {
        let store = TroubledStore::calm(vec![
            Instant::now() + Duration::from_millis(9000 + hundredths * 50),
        ]);
        let took = time_to_know(store, FactTopic::Servers, Arc::new(AlwaysOpen)).await;
        expect_that!(took, some(le(ANSWER_TIME * 3)), "{hundredths}");
    }
}

/// Calls to a calm store in a minute.
async fn calls_in_a_minute(topic: FactTopic, gate: Arc<dyn ReadGate>) -> (u32, u32) {
    let store = Arc::new(TroubledStore::calm(Vec::new()));
    let following =
        tokio::spawn(follow(store.clone(), topic, Arc::default(), gate, |_: FactNews| {}));
    tokio::time::sleep(Duration::from_secs(60)).await;
    following.abort();
    (store.lists.load(Ordering::Relaxed), store.watches.load(Ordering::Relaxed))
}

/// Each call is priced: a calm store is asked as rarely as the bounds allow.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_calm_store_is_called_rarely() {
    for (topic, most) in [(FactTopic::Plan, 47), (FactTopic::Servers, 47), (FactTopic::Weights, 24)]
    {
        let (lists, watches) = calls_in_a_minute(topic, Arc::new(AlwaysOpen)).await;
        expect_that!(lists, eq(1), "{topic:?}");
        expect_that!(watches, le(most), "{topic:?}");
        let (lists, watches) = calls_in_a_minute(topic, Arc::new(StandbyGate::default())).await;
        expect_that!(lists, eq(1), "{topic:?}, standing by");
        expect_that!(watches, le(3), "{topic:?}, standing by");
    }
}
