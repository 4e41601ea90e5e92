//! Connections of callers: how many there may be, and which one is closed when others need what it holds.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use headlatch_core::direct::{
    process_limits::ProcessLimits,
    slow_peers::{WaitingPeer, slowest_peer},
};
use headlatch_http::{
    progress::{PeerProgress, PeerWait},
    stall::PeerLimit,
};
use headlatch_types::{direct_settings::DirectSettings, quantity::ByteRate};
use nix::sys::resource::{Resource, getrlimit};
use serde_json::json;
use tokio::{sync::Notify, task::AbortHandle, time::Instant};

use crate::{decisions, metrics::NodeMetrics};

/// Number of descriptors where the operating system does not say how many it allows.
const FALLBACK_DESCRIPTORS: u64 = 1024;

/// Interval at which callers are judged while a connection waits for room.
const SLOWNESS_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest time between two log lines about one limit.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What callers may make a process with these settings hold.
pub fn process_limits(settings: &DirectSettings) -> ProcessLimits {
    let system_descriptors = || {
        let (soft, _) = getrlimit(Resource::RLIMIT_NOFILE).unwrap_or((FALLBACK_DESCRIPTORS, 0));
        usize::try_from(soft).unwrap_or(usize::MAX)
    };
    let descriptors = settings.descriptors.unwrap_or_else(system_descriptors);
    ProcessLimits::new(settings.memory, descriptors)
}

/// The limit for which a caller's connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallerLimit {
    /// It read too slowly for too long.
    ReadRate,
    /// Its request head was incomplete for too long.
    HeadTime,
    /// There are as many connections as there may be, and it had no request in progress.
    Connections,
    /// Others needed the memory for request bodies.
    RequestMemory,
    /// Others needed the memory for answers.
    AnswerMemory,
    /// Others needed a server.
    Servers,
}

impl CallerLimit {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ReadRate => "read_rate",
            Self::HeadTime => "head_time",
            Self::Connections => "connections",
            Self::RequestMemory => "request_memory",
            Self::AnswerMemory => "answer_memory",
            Self::Servers => "servers",
        }
    }
}

impl From<PeerLimit> for CallerLimit {
    fn from(limit: PeerLimit) -> Self {
        match limit {
            PeerLimit::ReadRate => Self::ReadRate,
            PeerLimit::HeadTime => Self::HeadTime,
        }
    }
}

/// What a request lacks because of other callers.
#[derive(Debug, Clone, Copy)]
pub enum CallerNeed<'a> {
    /// Memory for a request body.
    RequestMemory,
    /// Memory for an answer.
    AnswerMemory,
    /// A server of this service.
    Server(&'a str),
}

/// A connection of a caller.
#[derive(Debug, Default)]
pub struct CallerConnection {
    /// How fast the caller reads and sends.
    pub progress: Arc<PeerProgress>,
    /// Service of the request in progress, once a server has been chosen.
    service: Mutex<Option<Arc<str>>>,
}

impl CallerConnection {
    /// Records the service that the request in progress is sent to.
    pub fn set_service(&self, service: &Arc<str>) {
        *lock(&self.service) = Some(service.clone());
    }

    /// The wait for the caller that `need` could be met by ending.
    fn wait_for(&self, need: CallerNeed<'_>) -> Option<PeerWait> {
        match need {
            CallerNeed::RequestMemory => self.progress.wait(),
            CallerNeed::AnswerMemory => self.progress.unread(),
            CallerNeed::Server(service) => {
                let uses_service = lock(&self.service).as_deref() == Some(service);
                self.progress.unread().filter(|_| uses_service)
            }
        }
    }
}

/// Marks a request of a connection as in progress until dropped.
#[derive(Debug)]
pub struct RequestGuard(Arc<CallerConnection>);

impl RequestGuard {
    /// A request of `caller` whose head is complete.
    pub fn new(caller: Arc<CallerConnection>) -> Self {
        caller.progress.begin_request();
        Self(caller)
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.progress.end_request();
    }
}

/// Number of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionId(u64);

#[derive(Debug)]
struct OpenConnection {
    caller: Arc<CallerConnection>,
    /// Aborting the task closes the connection and whatever it waits for.
    task: Option<AbortHandle>,
    /// It is being closed and counts until its task has ended.
    closing: bool,
}

#[derive(Debug, Default)]
struct CallerState {
    open: HashMap<ConnectionId, OpenConnection>,
    last_id: u64,
    logs: HashMap<CallerLimit, LimitLog>,
}

/// Connections closed for one limit.
#[derive(Debug, Default)]
struct LimitLog {
    last: Option<Instant>,
    /// Closed since the last line.
    closed: u64,
}

/// All connections of callers.
#[derive(Debug)]
pub struct CallerConnections {
    state: Mutex<CallerState>,
    /// A connection has ended.
    released: Notify,
    yield_rate: ByteRate,
    metrics: NodeMetrics,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Keeps a connection in the count until dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    callers: Arc<CallerConnections>,
    /// Its number.
    pub id: ConnectionId,
    /// The connection.
    pub caller: Arc<CallerConnection>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        lock(&self.callers.state).open.remove(&self.id);
        self.callers.released.notify_one();
    }
}

impl CallerConnections {
    /// No connections; those slower than `yield_rate` give way to others.
    pub fn new(yield_rate: ByteRate, metrics: NodeMetrics) -> Arc<Self> {
        let (state, released) = (Mutex::default(), Notify::new());
        Arc::new(Self { state, released, yield_rate, metrics })
    }

    /// Waits until there is room for one more connection among `limit`. Connections without a request in progress
    /// give way, then those of slow callers.
    pub async fn admit(self: &Arc<Self>, limit: usize) -> ConnectionGuard {
        loop {
            if let Some(guard) = self.try_admit(limit) {
                return guard;
            }
            // A caller that reads becomes a slow one without anything happening.
            let _ = tokio::time::timeout(SLOWNESS_INTERVAL, self.released.notified()).await;
        }
    }

    fn try_admit(self: &Arc<Self>, limit: usize) -> Option<ConnectionGuard> {
        let mut state = lock(&self.state);
        if state.open.len() >= limit {
            // One that is being closed makes room as soon as its task has ended.
            if !state.open.values().any(|open| open.closing) {
                let id = state
                    .most_idle()
                    .or_else(|| state.slowest(self.yield_rate, |caller| caller.progress.wait()))?;
                self.close(&mut state, id, CallerLimit::Connections);
            }
            return None;
        }
        state.last_id += 1;
        let (id, caller) = (ConnectionId(state.last_id), Arc::new(CallerConnection::default()));
        let open = OpenConnection { caller: caller.clone(), task: None, closing: false };
        state.open.insert(id, open);
        Some(ConnectionGuard { callers: self.clone(), id, caller })
    }

    /// Sets the task that serves a connection; closing the connection aborts it.
    pub fn set_task(&self, id: ConnectionId, task: AbortHandle) {
        if let Some(open) = lock(&self.state).open.get_mut(&id) {
            open.task = Some(task);
        }
    }

    /// Closes the connection of the slowest caller whose request holds what is needed; returns whether there was one.
    /// It is released once its task has ended, a moment later.
    pub fn give_way(&self, need: CallerNeed<'_>) -> bool {
        let mut state = lock(&self.state);
        let slowest = state.slowest(self.yield_rate, |caller| caller.wait_for(need));
        let Some(id) = slowest else { return false };
        let limit = match need {
            CallerNeed::RequestMemory => CallerLimit::RequestMemory,
            CallerNeed::AnswerMemory => CallerLimit::AnswerMemory,
            CallerNeed::Server(_) => CallerLimit::Servers,
        };
        self.close(&mut state, id, limit);
        true
    }

    /// Records that a connection was closed for `limit`.
    pub fn record_closed(&self, limit: CallerLimit) {
        self.count(&mut lock(&self.state), limit);
    }

    fn close(&self, state: &mut CallerState, id: ConnectionId, limit: CallerLimit) {
        let Some(open) = state.open.get_mut(&id) else { return };
        open.closing = true;
        if let Some(task) = &open.task {
            task.abort();
        }
        self.count(state, limit);
    }

    fn count(&self, state: &mut CallerState, limit: CallerLimit) {
        self.metrics.count_closed_caller(limit.as_str());
        let open = state.open.len();
        let log = state.logs.entry(limit).or_default();
        log.closed += 1;
        if log.last.is_some_and(|last| last.elapsed() < LOG_INTERVAL) {
            return;
        }
        let fields = json!({ "limit": limit.as_str(), "closed": log.closed, "open": open });
        (log.last, log.closed) = (Some(Instant::now()), 0);
        decisions::warn("callers", "closed", fields);
    }
}

impl CallerState {
    /// The connection without a request in progress that has been so for longest; those that never had one first.
    fn most_idle(&self) -> Option<ConnectionId> {
        let idle = self.open.iter().filter(|(_, open)| !open.closing).filter_map(|(id, open)| {
            open.caller.progress.idle_since().map(|(served, since)| (served, since, *id))
        });
        idle.min().map(|(_, _, id)| id)
    }

    fn slowest(
        &self,
        yield_rate: ByteRate,
        wait: impl Fn(&CallerConnection) -> Option<PeerWait>,
    ) -> Option<ConnectionId> {
        let now = Instant::now();
        let peers = self.open.iter().filter(|(_, open)| !open.closing).filter_map(|(id, open)| {
            let wait = wait(&open.caller)?;
            let waited = now.saturating_duration_since(wait.since);
            Some(WaitingPeer { id: *id, waited, rate: wait.rate(now) })
        });
        slowest_peer(peers, yield_rate)
    }
}
