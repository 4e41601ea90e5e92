//! Start and shutdown of an entry that sends requests directly to servers.

use std::{
    net::SocketAddr,
    pin::pin,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use error_stack::{Report, ResultExt};
use headlatch_http::StopHandle;
use headlatch_outside::{
    facts::{FactStore, FactTopic},
    headers::HeaderFormat,
    quarantine::QuarantineStore,
};
use headlatch_types::direct_settings::DirectEntrySettings;
use serde_json::json;
use tokio::{
    net::UdpSocket,
    sync::Notify,
    task::JoinHandle,
    time::{Instant, timeout_at},
};

use super::{
    entry_notices,
    facts::{FactUpdate, ReadGate, follow},
    front, plan_sync, quarantine_keeper, server_sync,
    state::{EntryState, TopicGate},
    waiting,
};
use crate::{decisions, error::DaemonError, supervisor::supervise};

/// Time after a shutdown request during which callers may still be sent here: the load balancer
/// probes once per second and needs two failed probes. A request that is accepted later than 3 s
/// after the shutdown request might not complete within the grace period.
const UNREADY_DELAY: Duration = Duration::from_millis(2700);

/// Shutdown ends at the latest this long before the end of the grace period.
const GRACE_RESERVE: Duration = Duration::from_millis(400);

/// Time at the end of a shutdown for the answers to requests that are still in progress.
const ANSWER_RESERVE: Duration = Duration::from_millis(200);

/// Interval at which a shutdown checks whether requests are still in progress.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running entry.
#[derive(Debug)]
pub struct DirectEntry {
    /// State shared by the tasks of the entry.
    pub state: Arc<EntryState>,
    /// Listen address for callers.
    pub address: SocketAddr,
    /// Listen address of the admin endpoint.
    pub admin: SocketAddr,
    stop: StopHandle,
    front: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl DirectEntry {
    /// Starts an entry that persists the quarantined requests in a store.
    pub async fn start_with_quarantines(
        settings: DirectEntrySettings,
        store: Arc<dyn FactStore>,
        headers: Arc<dyn HeaderFormat>,
        quarantines: Arc<dyn QuarantineStore>,
    ) -> Result<Self, Report<DaemonError>> {
        let mut entry = Self::start(settings, store, headers).await?;
        let state = entry.state.clone();
        entry.tasks.push(supervise("quarantine_keeper", move || {
            quarantine_keeper::run(state.clone(), quarantines.clone())
        }));
        Ok(entry)
    }

    /// Starts an entry.
    pub async fn start(
        settings: DirectEntrySettings,
        store: Arc<dyn FactStore>,
        headers: Arc<dyn HeaderFormat>,
    ) -> Result<Self, Report<DaemonError>> {
        Self::start_on(EntryState::new(settings, headers), store).await
    }

    /// Starts an entry from a given state.
    pub async fn start_on(
        state: Arc<EntryState>,
        store: Arc<dyn FactStore>,
    ) -> Result<Self, Report<DaemonError>> {
        let settings = &state.settings;
        let control = settings.node.control;
        let socket = UdpSocket::bind(control).await.change_context(DaemonError::Bind(control))?;
        let peer_listener = front::bind(control).await?;
        let listener = front::bind_callers(settings.listen).await?;
        let admin_listener = front::bind(settings.node.admin).await?;
        let failure = || DaemonError::Bind(settings.listen);
        let address = listener.local_addr().change_context_lazy(failure)?;
        let admin = admin_listener.local_addr().change_context_lazy(failure)?;
        let metrics = settings.direct.metrics;
        let fields = json!({
            "node": settings.node.box_id, "zone": settings.node.domain, "listen": address,
            "control": control, "seeds": settings.direct.seeds,
        });
        let (stop, signal) = StopHandle::new();
        let front = tokio::spawn(front::serve(state.clone(), listener, signal));
        let mut tasks = vec![
            tokio::spawn(front::serve_admin(state.clone(), admin_listener)),
            tokio::spawn(plan_sync::serve(state.clone(), peer_listener)),
        ];
        let (state_told, socket) = (state.clone(), Arc::new(socket));
        tasks.push(supervise("notices", move || {
            entry_notices::run(state_told.clone(), socket.clone())
        }));
        let state_planned = state.clone();
        tasks.push(supervise("plan_sync", move || plan_sync::run(state_planned.clone())));
        let state_served = state.clone();
        tasks.push(supervise("server_sync", move || server_sync::run(state_served.clone())));
        let state_waited = state.clone();
        tasks.push(supervise("waiting", move || waiting::run(state_waited.clone())));
        if let Some(metrics) = metrics {
            let listener = front::bind(metrics).await?;
            tasks.push(tokio::spawn(front::serve_admin(state.clone(), listener)));
        }
        tasks.extend(follow_all(&state, &store));
        decisions::info("life", "started", fields);
        Ok(Self { state, address, admin, stop, front, tasks })
    }

    /// Shuts down gracefully: accepts no more connections once callers have been redirected, and
    /// waits for requests in progress. Those that have not ended shortly before the end of the grace period are
    /// answered with a failure.
    pub async fn leave(self) {
        decisions::info("life", "stopping", json!({ "held": self.held() }));
        let begun = Instant::now();
        let grace = self.state.settings.node.drain.saturating_sub(GRACE_RESERVE);
        let answers_due = begun + grace.saturating_sub(ANSWER_RESERVE);
        self.state.stop.begin(answers_due);
        let mut draining = pin!(self.drain());
        let mut ended = timeout_at(answers_due, &mut draining).await.is_ok();
        let late = if ended { 0 } else { self.held() };
        if !ended {
            self.state.stop.end_requests();
            self.stop.stop();
            ended = timeout_at(begun + grace, &mut draining).await.is_ok();
        }
        let fields = json!({ "in_time": ended, "late": late, "held": self.held() });
        decisions::info("life", "stopped", fields);
        self.tasks.iter().for_each(JoinHandle::abort);
    }

    async fn drain(&self) {
        tokio::time::sleep(UNREADY_DELAY).await;
        self.stop.stop();
        while !self.front.is_finished() || self.held() > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    fn held(&self) -> usize {
        self.state.in_progress.load(Ordering::Relaxed)
    }
}

fn follow_all(state: &Arc<EntryState>, store: &Arc<dyn FactStore>) -> Vec<JoinHandle<()>> {
    let others: Arc<dyn ReadGate> = Arc::new(TopicGate(state.clone()));
    let topics = [
        TopicSubscription {
            topic: FactTopic::Plan,
            refresh: state.plan_refresh.clone(),
            gate: state.clone(),
            apply: EntryState::apply_plan_update,
        },
        TopicSubscription {
            topic: FactTopic::Servers,
            refresh: state.servers_refresh.clone(),
            gate: others.clone(),
            apply: EntryState::apply_servers_update,
        },
        TopicSubscription {
            topic: FactTopic::Weights,
            refresh: state.weights_refresh.clone(),
            gate: others,
            apply: EntryState::apply_weights_update,
        },
    ];
    let evacuations = state.settings.direct.reads_evacuations.then(|| TopicSubscription {
        topic: FactTopic::Evacuations,
        refresh: state.evacuations_refresh.clone(),
        gate: Arc::new(TopicGate(state.clone())),
        apply: EntryState::apply_evacuations_update,
    });
    let topics = topics.into_iter().chain(evacuations);
    topics.map(|subscription| subscription.follow(state.clone(), store.clone())).collect()
}

/// How an entry follows one topic of the store.
struct TopicSubscription {
    topic: FactTopic,
    refresh: Arc<Notify>,
    gate: Arc<dyn ReadGate>,
    apply: fn(&EntryState, FactUpdate),
}

impl TopicSubscription {
    fn follow(self, state: Arc<EntryState>, store: Arc<dyn FactStore>) -> JoinHandle<()> {
        let Self { topic, refresh, gate, apply } = self;
        supervise(topic.as_str(), move || {
            let state = state.clone();
            follow(store.clone(), topic, refresh.clone(), gate.clone(), move |update| {
                update.count_odd_entries(topic, &state.metrics);
                apply(&state, update);
            })
        })
    }
}
