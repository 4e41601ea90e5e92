//! Attempts of one request: selects servers, retries, and decides when to stop trying.

use std::{pin::pin, sync::Arc, time::Duration};

use headlatch_core::{
    direct::{
        admission::shedding::{NewRequest, ShedRank},
        answer_silence::SilenceMeter,
        server_table::{ChosenServer, ServerChoice, ServerOutcome, ServerQuery},
        suspects::QUARANTINE_TIME,
    },
    time::Moment,
};
use headlatch_http::ConnectionChoice;
use headlatch_types::{
    RunVerdict,
    request::QuarantineKey,
    traffic::{AllowedRegions, ServerId},
    verdict::{Repeatability, RetryPermit},
};
use http::{Response, StatusCode};
use rand::Rng;
use serde_json::json;
use tokio::time::Instant;

use super::{
    answer::{AnswerBody, ErrorResponse},
    attempt::{self, AttemptFailure, ServerAnswer, is_failure},
    body_memory::MemoryShare,
    handler::AdmittedRequest,
    relay,
    state::{EntryState, shutdown::STOPPING},
    waiting,
};
use crate::{decisions, metrics::RequestStep, timer::unix_time};

mod collect;
mod forward;
mod server_ends;
mod window;

use collect::Collected;
use window::hold_window;

/// Refusal cause: servers have crashed while running the same content, or a prompt with the same part.
pub(super) const QUARANTINED: &str = "quarantined";

/// Refusal cause: the request was drawn for load shedding while engines are full.
pub(super) const LOAD_SHED: &str = "load_shed";

/// Refusal cause: no server in the regions allowed for the request can run it.
const NO_SERVER_IN_ALLOWED_REGIONS: &str = "no_server_in_allowed_regions";

/// Maximum number of servers that one request reaches, including those that refuse it.
const MAX_SENDS: u32 = 4;

/// Time that a repeatable request waits for a response before another server is tried, as a
/// multiple of the route's latency objective.
const RESPONSE_TIMEOUT_FACTOR: u32 = 3;

/// Minimum time left for a retry on another server: one round trip and the first event.
const MIN_TIME_FOR_RETRY: Duration = Duration::from_millis(20);

/// Lower bound of the response timeout.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Progress of one request through its attempts.
#[derive(Debug)]
pub struct Exchange {
    /// State of the entry.
    pub state: Arc<EntryState>,
    /// The admitted request.
    pub request: AdmittedRequest,
    /// Servers that the request was sent to.
    pub(super) tried: Vec<ServerId>,
    /// Server for the next attempt, selected while the previous one had not responded.
    pub reserved: Option<ChosenServer>,
    /// Attempts that reached a server.
    pub(super) sends: u32,
    /// Attempts that reached a server and may have run.
    possible_runs: u32,
    verdict: Option<RunVerdict>,
    /// A server did not respond in time.
    had_timeout: bool,
    /// The caller has received the response head.
    pub answer_begun: bool,
    /// Memory for the way of the answer; `None` before the first attempt.
    pub(super) window: Option<Arc<MemoryShare>>,
    /// When the request arrived, by this entry's clock.
    pub arrived: Moment,
    /// Predicted time to the first token of the first attempt; `None` for services without engines.
    pub predicted: Option<Duration>,
}

/// Forwards a request to a server and returns the response.
pub async fn run(
    state: &Arc<EntryState>,
    request: AdmittedRequest,
) -> Result<Response<AnswerBody>, ErrorResponse> {
    state.retries().record_request(state.now(), &request.service);
    let mut exchange = Exchange {
        state: state.clone(),
        request,
        tried: Vec::new(),
        reserved: None,
        sends: 0,
        possible_runs: 0,
        verdict: None,
        had_timeout: false,
        answer_begun: false,
        window: None,
        arrived: state.now(),
        predicted: None,
    };
    exchange.count_step(RequestStep::Received);
    loop {
        let next = state.stop.before_end(waiting::next_server(&mut exchange)).await;
        let server = next.flatten().map_err(|cause| exchange.give_up(cause))?;
        exchange.reserve_window().await.map_err(|cause| exchange.give_up(cause))?;
        let answer = match exchange.send(server, None).await {
            Ok(answer) => answer,
            Err(failure) => {
                exchange.record_failure(&failure).map_err(|cause| exchange.give_up(cause))?;
                if failure.is_connection_break() {
                    exchange.await_verdict().await;
                }
                continue;
            }
        };
        let status = answer.response.status();
        // A failed response is still forwarded if no other server can take the request.
        if is_failure(status)
            && exchange.request.repeatable
            && let Ok(next) = exchange.pick_server()
        {
            exchange.reserved = Some(next);
            answer.in_flight.end(ServerOutcome::Failed);
            let id = answer.in_flight.server().id.clone();
            exchange.log("server_failed", json!({ "server": id, "status": status.as_u16() }));
            exchange.verdict = Some(RunVerdict::MayHaveRun);
            continue;
        }
        let window = exchange.window.clone();
        if exchange.request.is_stream() && status.is_success() {
            return Ok(hold_window(relay::stream(exchange, answer), window));
        }
        let collected = state.stop.before_end(exchange.collect(answer)).await;
        match collected.unwrap_or_else(|cause| Err(AttemptFailure::stopped(cause))) {
            Ok(Collected::Whole(response)) => return Ok(hold_window(response, window)),
            Ok(Collected::Begun(begun)) => {
                return Ok(hold_window(forward::rest(exchange, *begun), window));
            }
            Err(failure) => {
                exchange.record_failure(&failure).map_err(|cause| exchange.give_up(cause))?;
                if failure.is_connection_break() {
                    exchange.await_verdict().await;
                }
            }
        }
    }
}

impl Exchange {
    /// Counts a step of this request in the metrics.
    fn count_step(&self, step: RequestStep) {
        let request = &self.request;
        self.state.metrics.count_step(&request.route.name, request.size, step);
        self.state.metrics.count_urgency(&request.service, request.urgency, step);
    }

    /// Writes a routing decision about this request to the decision log.
    pub fn log(&self, event: &str, fields: serde_json::Value) {
        let held_ms = self.request.arrived.elapsed().as_millis() as u64;
        let fields = json!({
            "request": self.request.id, "route": self.request.route.name,
            "service": self.request.service, "plan": self.request.plan, "held_ms": held_ms,
            "attempt": self.sends, "content": self.request.identity.digests.whole.to_string(),
            "body_bytes": self.request.body.bytes.len(), "prompt_tokens": self.request.facts.prompt_tokens,
            "answer_tokens": self.request.facts.answer_tokens,
            "urgency_rank": self.request.urgency,
            "more": fields,
        });
        decisions::info("routing", event, fields);
    }

    /// The regions in which this request may run, by the plan in force, which may be newer than the one that
    /// admitted it.
    pub(super) fn allowed_regions(&self) -> AllowedRegions {
        let request = &self.request;
        let (route, admitted) = (&request.route.name, &request.allowed_regions);
        let Some(routes) = self.state.routes() else { return admitted.clone() };
        routes.allowed_regions(route, request.tenant.as_deref(), admitted)
    }

    /// Selects among the servers with the random number `draw`; with `objective_left`, among those in time.
    pub(super) fn choose(
        &self,
        regions: &AllowedRegions,
        draw: u64,
        objective_left: Option<Duration>,
    ) -> ServerChoice {
        let query = ServerQuery {
            service: &self.request.service,
            engine: self.request.engine_query(self.answer_begun, objective_left),
            regions,
            min_version: attempt::min_version(&self.state, &self.request),
            tried: &self.tried,
            random: draw,
        };
        self.state.servers().choose(self.state.now(), &query)
    }

    /// The fraction of new requests that is shed, if this request is among them. A request that has
    /// been sent once is not shed.
    pub(super) fn shed_share(
        &self,
        regions: &AllowedRegions,
        choice: &ServerChoice,
    ) -> Option<f64> {
        let (figures, work) = self.request.engine.as_ref().zip(self.request.engine_work())?;
        if !self.tried.is_empty() {
            return None;
        }
        let request = NewRequest {
            service: &self.request.service,
            regions,
            figures,
            objective: work.objective,
            rank: ShedRank::new(self.request.identity.digests.without_query, unix_time()),
            urgency: self.request.urgency,
            prompt_tokens: work.prompt,
        };
        let headroom = choice.engine_headroom(request.urgency.is_some());
        self.state.shedder().refuses(self.state.now(), &request, headroom)
    }

    /// Whether one more attempt is allowed.
    fn has_attempts(&self) -> bool {
        self.has_attempts_after(0)
    }

    /// Whether one more attempt is allowed after `further` additional ones.
    fn has_attempts_after(&self, further: u32) -> bool {
        let (possible_runs, sends) = (self.possible_runs + further, self.sends + further);
        possible_runs < self.request.route.max_attempts && sends < MAX_SENDS
    }

    /// Whether the next attempt is the last one allowed.
    pub fn is_final_attempt(&self) -> bool {
        !self.has_attempts_after(1)
    }

    /// Server for the next attempt, or the cause why there is none.
    pub fn next_server(&mut self) -> Result<ChosenServer, &'static str> {
        match self.reserved.take() {
            Some(server) => Ok(server),
            None => self.pick_server(),
        }
    }

    /// Checks whether another attempt may be made now.
    pub(super) fn check_attempt(&self) -> Result<(), &'static str> {
        // The same content may have crashed servers at other entries or under an earlier request
        // id, which the attempts of this request do not show.
        let now = self.state.now();
        if self.state.quarantine.check_request(now, &self.request.identity).is_some() {
            return Err(QUARANTINED);
        }
        let least = if self.sends > 0 { MIN_TIME_FOR_RETRY } else { Duration::ZERO };
        if self.request.time_left(&self.state) <= least {
            return Err("deadline");
        }
        self.check_stop()?;
        if self.has_attempts() { Ok(()) } else { Err("attempts_used") }
    }

    /// Checks whether this entry goes on for as long as an attempt may take. A request that can't be repeated is
    /// not sent if its own time limit is later than the end of the entry.
    fn check_stop(&self) -> Result<(), &'static str> {
        let Some(left) = self.state.stop.time_left() else { return Ok(()) };
        let is_late = !self.request.repeatable && self.request.time_left(&self.state) > left;
        if left.is_zero() || is_late { Err(STOPPING) } else { Ok(()) }
    }

    fn pick_server(&self) -> Result<ChosenServer, &'static str> {
        self.check_attempt()?;
        let regions = self.allowed_regions();
        let choice = self.choose(&regions, rand::rng().random(), None);
        if let Some(share) = self.shed_share(&regions, &choice) {
            self.log(LOAD_SHED, json!({ "share": share }));
            return Err(LOAD_SHED);
        }
        self.accept(choice, &regions)
    }

    /// Takes the selected server for the next attempt, or the cause why there is none.
    pub(super) fn accept(
        &self,
        choice: ServerChoice,
        regions: &AllowedRegions,
    ) -> Result<ChosenServer, &'static str> {
        let server = match choice {
            ServerChoice::Server(server) => server,
            ServerChoice::Full(full) => {
                waiting::log_full(self, &full);
                return Err(waiting::SERVERS_FULL);
            }
            ServerChoice::Unavailable if *regions == AllowedRegions::Anywhere => {
                return Err("no_server");
            }
            ServerChoice::Unavailable => {
                self.log(
                    NO_SERVER_IN_ALLOWED_REGIONS,
                    json!({ "allowed_regions": regions.to_string() }),
                );
                return Err(NO_SERVER_IN_ALLOWED_REGIONS);
            }
        };
        if self.sends > 0 {
            let (now, entries) = (self.state.now(), self.state.entries());
            if !self.state.retries().try_take(now, &self.request.service, entries) {
                return Err("retry_budget");
            }
        }
        let time_limit = attempt::server_time_limit(&self.state, &self.request, &server);
        let fields = json!({
            "given_ms": time_limit.time.as_millis() as u64, "given_by": time_limit.limit,
            "server": server.id, "address": server.address, "own": server.own.in_flight, "others": server.others.in_flight,
            "waiting_tokens": server.own.waiting_tokens + server.others.waiting_tokens,
            "predicted_ms": server.predicted.map(|time| time.as_millis() as u64),
            "slow_by": server.slow_by.map(|pace| pace.factor()), "limit": server.limit,
            "rate_limit": server.rate_limit, "version": server.version,
            "cold_ms": server.cold.map(|cold| cold.remaining.as_millis() as u64),
            "cold_source": server.cold.map(|cold| cold.source.as_str()),
            "least": attempt::min_version(&self.state, &self.request),
            "allowed_regions": regions.to_string(),
        });
        if self.tried.is_empty() {
            self.count_step(RequestStep::Admitted);
        }
        self.log("server_chosen", fields);
        Ok(server)
    }

    /// Sends the request to `server` and counts the attempt.
    pub async fn send(
        &mut self,
        server: ChosenServer,
        last_event: Option<u64>,
    ) -> Result<ServerAnswer, AttemptFailure> {
        self.tried.push(server.id.clone());
        self.predicted = self.predicted.or(server.predicted);
        self.sends += 1;
        self.possible_runs += 1;
        let mut silence = SilenceMeter::new(self.state.now());
        let state = self.state.clone();
        let sending = self.send_with_timeout(server.clone(), last_event);
        let (sent, reserved) = state
            .stop
            .before_end(sending)
            .await
            .unwrap_or_else(|cause| (Err(AttemptFailure::stopped(cause)), None));
        self.reserved = reserved;
        if let Ok(answer) = &sent
            && !(self.request.repeatable && self.has_attempts())
        {
            answer.in_flight.mark_final_attempt();
        }
        if let Err(failure) = &sent {
            self.had_timeout |= failure.cause == attempt::NO_ANSWER;
            self.sends -= u32::from(!failure.reached_server);
            self.possible_runs -= u32::from(failure.verdict == RunVerdict::NotRun);
            if failure.is_connection_break() {
                silence.record(self.state.now());
                self.handle_connection_break(&server, None, &silence).await;
            }
        }
        sent
    }

    /// Sends to `server` and waits for its response. After the timeout the attempt is abandoned
    /// only once another server is available: until then this one may still respond.
    async fn send_with_timeout(
        &self,
        server: ChosenServer,
        last_event: Option<u64>,
    ) -> (Result<ServerAnswer, AttemptFailure>, Option<ChosenServer>) {
        let (request, address, sent_at) = (&self.request, server.address, Instant::now());
        let choice = self.connection_choice();
        let sending = attempt::send(&self.state, request, server, last_event, choice);
        let mut sending = pin!(sending);
        if !request.repeatable {
            return (sending.await, None);
        }
        let timeout =
            (request.route.objective() * RESPONSE_TIMEOUT_FACTOR).max(MIN_RESPONSE_TIMEOUT);
        let mut until = sent_at + timeout;
        let (state, identity) = (&self.state, &request.identity);
        let mut refused = pin!(state.quarantine.wait_until_refused(|| state.now(), identity));
        loop {
            let sent = tokio::select! {
                sent = tokio::time::timeout_at(until, &mut sending) => sent,
                // Cancelling spares a server that has not started the request yet.
                () = &mut refused => return (Err(AttemptFailure::stopped(QUARANTINED)), None),
            };
            if let Ok(sent) = sent {
                return (sent, None);
            }
            if !self.is_suspected()
                && let Ok(next) = self.pick_server()
            {
                self.state.connections.close_stale(address, sent_at);
                return (Err(AttemptFailure::no_answer()), Some(next));
            }
            until += timeout;
        }
    }

    /// Which connection the next attempt may use. A request that can't be repeated needs a fresh
    /// one, since a late response to an earlier request could be taken for its own. After a timeout
    /// other pooled connections may be dead as well, and a second dead one would use up the rest of
    /// the latency objective.
    fn connection_choice(&self) -> ConnectionChoice {
        match self.request.repeatable && !self.had_timeout {
            true => ConnectionChoice::Kept,
            false => ConnectionChoice::Fresh,
        }
    }

    /// Records a failed attempt; returns the cause if the request may not be retried.
    pub fn record_failure(&mut self, failure: &AttemptFailure) -> Result<(), &'static str> {
        let server = self.tried.last();
        let fields = json!({
            "server": server, "verdict": failure.verdict.as_str(), "cause": failure.cause,
            "detail": failure.detail,
        });
        self.log("attempt_failed", fields);
        self.verdict = Some(failure.verdict.after(self.verdict));
        let repeatability = match self.request.repeatable {
            true => Repeatability::Repeatable,
            false => Repeatability::Once,
        };
        match RetryPermit::after(failure.verdict, repeatability) {
            Some(_) => Ok(()),
            None => Err(failure.cause),
        }
    }

    /// The error response for a request that is not retried any more.
    pub fn give_up(&self, cause: &'static str) -> ErrorResponse {
        let verdict = self.verdict.unwrap_or(RunVerdict::NotRun);
        let given_up = match verdict {
            RunVerdict::NotRun if cause == QUARANTINED => {
                let left =
                    self.state.quarantine.check_request(self.state.now(), &self.request.identity);
                ErrorResponse::refused(cause, left.unwrap_or(QUARANTINE_TIME))
            }
            RunVerdict::NotRun => waiting::refusal(self, cause),
            _ if cause == "deadline" => {
                ErrorResponse::outcome_unknown(StatusCode::GATEWAY_TIMEOUT, cause)
            }
            _ => ErrorResponse::outcome_unknown(StatusCode::BAD_GATEWAY, cause),
        };
        let rest = given_up.retry_after.map(|rest| rest.as_millis() as u64);
        let now = self.state.now();
        let refused = self.state.quarantine.refused_keys(now, &self.request.identity);
        let refused: Vec<String> = refused.iter().map(QuarantineKey::to_string).collect();
        let fields = json!({
            "cause": cause, "verdict": verdict.as_str(), "status": given_up.status.as_u16(),
            "retry_after_ms": rest, "entries": self.state.entries(), "quarantines": refused,
        });
        self.count_step(match verdict {
            RunVerdict::NotRun => RequestStep::Refused,
            _ => RequestStep::Failed,
        });
        self.log("given_up", fields);
        given_up
    }

    /// Records that a response was cut off after it began; the caller's connection is closed.
    pub fn record_cut(&self, cause: &'static str, fields: serde_json::Value) {
        self.state.metrics.count_request(RunVerdict::MayHaveRun);
        self.count_step(RequestStep::Truncated);
        let fields = json!({ "cause": cause, "limit": self.request.limit, "stream": fields });
        self.log("stream_cut", fields);
    }

    /// Records the completion of the request, whose response began `first` after the request
    /// arrived.
    pub fn finish(&self, event: &str, first: Duration, fields: serde_json::Value) {
        self.state.metrics.count_request(RunVerdict::Ran);
        self.state.quarantine.record_whole_answer(self.state.now(), &self.request.identity);
        let objective = self.request.route.objective();
        self.count_step(match objective.is_zero() || first <= objective {
            true => RequestStep::InTime,
            false => RequestStep::Late,
        });
        self.state.metrics.observe_first_byte(&self.request.route.name, first.as_secs_f64());
        self.log(event, fields);
    }
}
