//! Requests that wait for a server, and the `Retry-After` of those that are refused.
//!
//! Applies to new requests of services that distinguish urgencies. All other requests take a server at once
//! or are refused, and the times of other refusals do not depend on the load.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use headlatch_core::{
    direct::{
        admission::{
            caller::CallerKind,
            drain_rate::PromptTokens,
            queue::{QueueBound, QueueDecision, QueueLane, QueuePlace, QueueTicket, QueuedRequest},
            return_time::ReturnBounds,
        },
        engine_model::{EngineLoad, time_to_first_token},
        server_table::{ChosenServer, ExclusionCounts, ServerChoice},
    },
    time::Moment,
};
use http::StatusCode;
use rand::Rng;
use serde_json::json;

use super::{
    answer::ErrorResponse,
    callers::CallerNeed,
    exchange::{Exchange, LOAD_SHED},
    handler,
    notices::NOTICE_INTERVAL,
    state::shutdown::STOPPING,
};

mod requests;

use requests::WaitSignal;
pub use requests::{WaitingRequests, run};

/// Refusal cause: every server is at its limit or would answer too late.
pub(super) const SERVERS_FULL: &str = "servers_full";

/// Minimum `Retry-After` of refusals that do not depend on the load, in milliseconds.
const FIXED_RETRY_AFTER_MS: u64 = 700;

/// Random addition to it, so that callers do not return at the same moment.
const FIXED_RETRY_JITTER_MS: u64 = 1000;

/// Minimum `Retry-After` of an entry that stops: others can take the request at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// How a request left the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum QueueOutcome {
    /// It was sent to a server.
    Sent,
    /// It exceeded a bound of the queue.
    Bound(QueueBound),
    /// It was refused for another reason, for example because no server is left.
    Refused,
    /// Its caller disconnected.
    Left,
}

impl QueueOutcome {
    fn as_str(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Bound(QueueBound::Length) => "length",
            Self::Bound(QueueBound::Late) => "late",
            Self::Bound(QueueBound::Deadline) => "deadline",
            Self::Refused => "refused",
            Self::Left => "left",
        }
    }
}

/// A request in the queue, which it leaves when this is dropped.
struct Waiter<'a> {
    exchange: &'a Exchange,
    request: QueuedRequest,
    ticket: QueueTicket,
    signal: Arc<WaitSignal>,
    since: Moment,
    outcome: QueueOutcome,
    /// Random number for the choice of a server, and when it was drawn.
    draw: (u64, Moment),
}

impl<'a> Waiter<'a> {
    /// Adds a request to the queue, or returns the bound that it exceeds.
    fn enter(
        exchange: &'a Exchange,
        request: QueuedRequest,
    ) -> Result<(Self, Option<QueuePlace>), QueueBound> {
        let (waiting, now) = (&exchange.state.waiting, exchange.state.now());
        let mut state = waiting.lock();
        let ticket = match state.queue.offer(now, request.clone()) {
            QueueDecision::Wait(ticket) => ticket,
            QueueDecision::Refuse(bound) => return Err(bound),
        };
        let signal = Arc::new(WaitSignal::default());
        state.signals.insert(ticket, signal.clone());
        let place = state.queue.place(now, ticket);
        drop(state);
        waiting.count.fetch_add(1, Ordering::Relaxed);
        waiting.changed.notify_one();
        exchange.state.metrics.add_waiting(&request.lane.service, request.rank, 1);
        let (outcome, draw) = (QueueOutcome::Left, (rand::rng().random(), now));
        Ok((Self { exchange, request, ticket, signal, since: now, outcome, draw }, place))
    }

    /// Waits for the signal to look for a server, or for the deadline of the request.
    async fn signalled(&self) {
        tokio::select! {
            () = self.signal.try_now.notified() => {}
            () = tokio::time::sleep_until(self.exchange.request.deadline) => {}
        }
    }

    /// Applies the rank under the plan in force, which may be newer than the one that admitted the request.
    fn update_rank(&mut self) {
        let (entry, request) = (&self.exchange.state, &mut self.request);
        let rank = handler::rank_in_force(entry, &self.exchange.request);
        let Some(rank) = rank.filter(|rank| *rank != request.rank) else { return };
        entry.waiting.lock().queue.set_rank(self.ticket, rank);
        entry.metrics.add_waiting(&request.lane.service, request.rank, -1);
        entry.metrics.add_waiting(&request.lane.service, rank, 1);
        request.rank = rank;
    }

    /// Looks for a server; `None` if the request has to wait on. Everything that excludes a server or the
    /// request is checked as it is now.
    fn try_server(&mut self) -> Result<Option<ChosenServer>, &'static str> {
        let exchange = self.exchange;
        let now = exchange.state.now();
        let is_next = self.signal.is_next.swap(false, Ordering::Relaxed);
        handler::check_still_admitted(&exchange.state, &exchange.request)?;
        self.update_rank();
        exchange.check_attempt()?;
        let regions = exchange.allowed_regions();
        // Each draw stands for one arrival: new ones between two notices would multiply the requests to
        // engines in other failure domains.
        if now.since(self.draw.1) >= NOTICE_INTERVAL {
            self.draw = (rand::rng().random(), now);
        }
        let choice = exchange.choose(&regions, self.draw.0, self.request.objective_left(now));
        match &choice {
            ServerChoice::Full(_) => return Ok(None),
            // A request that only checks must not overtake more urgent ones.
            ServerChoice::Server(_) if !is_next => return Ok(None),
            ServerChoice::Server(_) => {
                let waited_ms = now.since(self.since).as_millis() as u64;
                exchange.log(
                    "dequeued",
                    json!({ "waited_ms": waited_ms, "rank": self.request.rank.value() }),
                );
            }
            // The others of the lane would find no server either.
            ServerChoice::Unavailable => exchange.state.waiting.recheck_lane(&self.request.lane),
        }
        exchange.accept(choice, &regions).map(Some)
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let entry = &self.exchange.state;
        let mut state = entry.waiting.lock();
        state.queue.remove(entry.now(), self.ticket);
        state.signals.remove(&self.ticket);
        drop(state);
        entry.waiting.count.fetch_sub(1, Ordering::Relaxed);
        let (service, rank) = (&self.request.lane.service, self.request.rank);
        entry.metrics.add_waiting(service, rank, -1);
        entry.metrics.count_queue_outcome(service, rank, self.outcome.as_str());
        if self.outcome == QueueOutcome::Left {
            let waited_ms = entry.now().since(self.since).as_millis() as u64;
            self.exchange.log("queue_left", json!({ "waited_ms": waited_ms }));
        }
        // The next request may find a server as well.
        entry.waiting.wake();
    }
}

/// Server for the next attempt, or the cause why there is none. A new request of a service that
/// distinguishes urgencies waits for a server if it can be expected to be served in time.
pub(super) async fn next_server(exchange: &mut Exchange) -> Result<ChosenServer, &'static str> {
    match queued_request(exchange) {
        Some(request) => first_server(exchange, request).await,
        None => exchange.next_server(),
    }
}

async fn first_server(
    exchange: &Exchange,
    request: QueuedRequest,
) -> Result<ChosenServer, &'static str> {
    exchange.check_attempt()?;
    let (entry, now) = (&exchange.state, exchange.state.now());
    let lane = request.lane.clone();
    let choice = exchange.choose(&lane.regions, rand::rng().random(), None);
    let share = exchange.shed_share(&lane.regions, &choice);
    let must_wait = match (&choice, share) {
        // Even a request that is drawn for load shedding may wait: the queue predicts whether it would be
        // in time.
        (ServerChoice::Full(full), _) => {
            log_full(exchange, full);
            entry.waiting.lock().return_times.record_overload(now, &lane.service);
            true
        }
        (_, Some(share)) => {
            exchange.log(LOAD_SHED, json!({ "share": share }));
            entry.waiting.lock().return_times.record_overload(now, &lane.service);
            return Err(LOAD_SHED);
        }
        (ServerChoice::Server(_), None) => entry.waiting.lock().queue.would_overtake(now, &request),
        (ServerChoice::Unavailable, None) => false,
    };
    if must_wait {
        return wait(exchange, request).await;
    }
    let server = exchange.accept(choice, &lane.regions)?;
    entry.waiting.lock().queue.record_sent(now, &lane, request.tokens);
    Ok(server)
}

async fn wait(exchange: &Exchange, request: QueuedRequest) -> Result<ChosenServer, &'static str> {
    let (rank, service) = (request.rank, request.lane.service.clone());
    let (mut waiter, place) = Waiter::enter(exchange, request).map_err(|bound| {
        let outcome = QueueOutcome::Bound(bound).as_str();
        exchange.state.metrics.count_queue_outcome(&service, rank, outcome);
        bound.cause()
    })?;
    let predicted = place.and_then(|place| place.predicted_wait);
    let fields = json!({
        "rank": rank.value(), "position": place.map(|place| place.ahead + 1),
        "predicted_wait_ms": predicted.map(|wait| wait.as_millis() as u64),
    });
    exchange.log("queued", fields);
    loop {
        waiter.signalled().await;
        if let Some(bound) = waiter.signal.refused.get().copied() {
            waiter.outcome = QueueOutcome::Bound(bound);
            return Err(bound.cause());
        }
        match waiter.try_server() {
            Ok(None) => {}
            Ok(Some(server)) => {
                waiter.outcome = QueueOutcome::Sent;
                let (entry, request) = (&exchange.state, &waiter.request);
                let mut state = entry.waiting.lock();
                state.queue.record_sent(entry.now(), &request.lane, request.tokens);
                return Ok(server);
            }
            Err(cause) => {
                waiter.outcome = QueueOutcome::Refused;
                return Err(cause);
            }
        }
    }
}

/// The request as the queue sees it; `None` if it may not wait, because its service does not distinguish
/// urgencies or because it has been sent before. An attempt that sent nothing does not count.
fn queued_request(exchange: &Exchange) -> Option<QueuedRequest> {
    let (request, now) = (&exchange.request, exchange.state.now());
    let is_unsent = exchange.sends == 0 && exchange.reserved.is_none();
    let rank = request.urgency.filter(|_| is_unsent)?;
    let (figures, work) = request.engine.as_ref().zip(request.engine_work())?;
    let caller = request
        .facts
        .deadline
        .map(|time| exchange.state.waiting.lock().deadlines.record(now, &request.route.name, time));
    Some(QueuedRequest {
        lane: QueueLane { service: request.service.clone(), regions: exchange.allowed_regions() },
        rank,
        organisation: request.tenant.as_deref().map(Arc::from),
        tokens: PromptTokens(work.prompt),
        arrived: now - request.arrived.elapsed(),
        objective: work.objective,
        first_token: time_to_first_token(figures, EngineLoad::default(), work),
        deadline: now + request.time_left(&exchange.state),
        caller: caller.unwrap_or(CallerKind::New),
    })
}

/// Records that no server has room for a request, and has the slowest caller of the service give way.
pub(super) fn log_full(exchange: &Exchange, full: &ExclusionCounts) {
    if exchange.sends == 0 {
        exchange.state.callers.give_way(CallerNeed::Server(&exchange.request.service));
    }
    exchange.state.metrics.count_excluded("rate_limit", full.rate_limited);
    exchange.state.metrics.count_excluded("retry_after", full.backing_off);
    exchange.state.metrics.count_excluded("cold", full.cold);
    let fields = json!({
        "limited": full.limited, "late": full.late, "left_to_near": full.reserved_for_local,
        "rate_limited": full.rate_limited, "backing_off": full.backing_off, "cold": full.cold,
        "least_predicted_ms": full.earliest_predicted.map(|time| time.as_millis() as u64),
    });
    exchange.log(SERVERS_FULL, fields);
}

/// The response to a request that has not run and is not tried any more.
pub(super) fn refusal(exchange: &Exchange, cause: &'static str) -> ErrorResponse {
    match cause {
        handler::NO_ROUTE => ErrorResponse::denied(StatusCode::NOT_FOUND, cause),
        handler::UNKNOWN_KEY => ErrorResponse::denied(StatusCode::UNAUTHORIZED, cause),
        _ => ErrorResponse::refused(cause, retry_after(exchange, cause)),
    }
}

/// `Retry-After` for a request that has not run.
fn retry_after(exchange: &Exchange, cause: &str) -> Duration {
    let (entry, request) = (&exchange.state, &exchange.request);
    let now = entry.now();
    let asked = entry.servers().retry_after(now, &request.service).unwrap_or_default();
    if cause == STOPPING {
        return STOPPING_RETRY_AFTER.max(asked);
    }
    if request.urgency.is_none() || !is_lack_of_room(cause) {
        let jitter = rand::rng().random_range(0..FIXED_RETRY_JITTER_MS);
        return Duration::from_millis(FIXED_RETRY_AFTER_MS + jitter).max(asked);
    }
    let bounds = ReturnBounds { remaining: request.time_left(entry), asked };
    let draw = rand::rng().random();
    entry.waiting.lock().return_times.time(now, &request.service, bounds, draw)
}

fn is_lack_of_room(cause: &str) -> bool {
    let bounds = [QueueBound::Length, QueueBound::Late, QueueBound::Deadline];
    [LOAD_SHED, SERVERS_FULL].contains(&cause) || bounds.iter().any(|one| one.cause() == cause)
}
