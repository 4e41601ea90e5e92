//! The attempts of one request: which servers it is sent to, and when it is given up.

use std::{pin::pin, sync::Arc, time::Duration};

use headlatch_core::{
    direct::{
        server_table::{
            ChosenServer, EngineQuery, ExclusionCounts, ServerChoice, ServerOutcome, ServerQuery,
        },
        shedding::{NewRequest, ShedRank},
        suspects::{ProgressAtEnd, QUARANTINE_TIME},
    },
    time::Moment,
};
use headlatch_http::ConnectionChoice;
use headlatch_types::{
    RunVerdict,
    traffic::{AllowedRegions, ServerId},
    verdict::{Repeatability, RetryPermit},
};
use http::{Response, StatusCode};
use rand::Rng;
use serde_json::json;
use tokio::time::Instant;

use super::{
    answer::{AnswerBody, GivenUp},
    attempt::{self, AttemptFailure, ServerAnswer, is_failure},
    handler::RequestPlan,
    relay, server_end,
    state::EntryState,
};
use crate::{decisions, metrics::RequestStep, timer::unix_time};

mod collect;

/// Cause of a refusal of what servers ended under.
const QUARANTINED: &str = "quarantined";

/// Cause of a refusal by lot while engines are full.
const LOAD_SHED: &str = "load_shed";

/// Cause of a refusal where no server of the regions that may run a request can.
const NOT_ALLOWED: &str = "no_server_in_allowed_regions";

/// Servers that one request reaches at most, those that refused it among them.
const MOST_ARRIVALS: u32 = 4;

/// Least time to come back when every server is full, in milliseconds.
const FULL_REST_MS: u64 = 700;

/// Spread of the time to come back, so that callers do not come together.
const FULL_SPREAD_MS: u64 = 1000;

/// Time for which a repeatable request waits for an answer before another server is tried, as a
/// multiple of its objective.
const PATIENCE: u32 = 3;

/// Least time left in which another server is tried: a round trip and a first event.
const LEAST_LEFT: Duration = Duration::from_millis(20);

/// Least patience.
const LEAST_PATIENCE: Duration = Duration::from_millis(1200);

/// The attempts of one request so far.
#[derive(Debug)]
pub struct Exchange {
    /// This entry.
    pub state: Arc<EntryState>,
    /// The request.
    pub request: RequestPlan,
    tried: Vec<ServerId>,
    /// The server of the next sending, chosen while the last one was silent.
    pub reserved: Option<ChosenServer>,
    /// Sendings that reached a server.
    arrivals: u32,
    /// Those of them that may have run.
    runs: u32,
    verdict: Option<RunVerdict>,
    /// A server said nothing in time.
    met_silence: bool,
    /// The caller has the head of the answer.
    pub begun: bool,
    /// When the request came, by this entry's clock.
    pub arrived: Moment,
    /// First token of the first sending, as it was predicted; none for plain services.
    pub predicted: Option<Duration>,
}

/// Passes a request on and returns its answer.
pub async fn run(
    state: &Arc<EntryState>,
    request: RequestPlan,
) -> Result<Response<AnswerBody>, GivenUp> {
    state.retries().record_request(state.now(), &request.service);
    let mut exchange = Exchange {
        state: state.clone(),
        request,
        tried: Vec::new(),
        reserved: None,
        arrivals: 0,
        runs: 0,
        verdict: None,
        met_silence: false,
        begun: false,
        arrived: state.now(),
        predicted: None,
    };
    exchange.count(RequestStep::Came);
    loop {
        let server = exchange.next_server().map_err(|cause| exchange.give_up(cause))?;
        let answer = match exchange.send(server, None).await {
            Ok(answer) => answer,
            Err(failure) => {
                exchange.note_failure(&failure).map_err(|cause| exchange.give_up(cause))?;
                continue;
            }
        };
        let status = answer.response.status();
        // What a server has answered is passed on unless another one is had in its place.
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
        if exchange.request.is_stream() && status.is_success() {
            return Ok(relay::stream(exchange, answer));
        }
        match exchange.collect(answer).await {
            Ok(response) => return Ok(response),
            Err(failure) => {
                exchange.note_failure(&failure).map_err(|cause| exchange.give_up(cause))?;
            }
        }
    }
}

impl Exchange {
    /// Counts how far this request has come.
    fn count(&self, step: RequestStep) {
        let request = &self.request;
        self.state.metrics.count_step(&request.route.name, request.size, step);
    }

    /// Writes down a decision about this request.
    pub fn log(&self, event: &str, fields: serde_json::Value) {
        let held_ms = self.request.arrived.elapsed().as_millis() as u64;
        let fields = json!({
            "request": self.request.id, "route": self.request.route.name,
            "service": self.request.service, "plan": self.request.plan, "held_ms": held_ms,
            "attempt": self.arrivals, "content": self.request.digests.whole.to_string(),
            "body_bytes": self.request.body.bytes.len(), "prompt_tokens": self.request.facts.prompt_tokens,
            "answer_tokens": self.request.facts.answer_tokens,
            "more": fields,
        });
        decisions::note("routing", event, fields);
    }

    /// The regions whose servers may run this request: those of its route in the plan in force, which may
    /// be newer than the one that let it in.
    fn allowed_regions(&self) -> AllowedRegions {
        let route = &self.request.route;
        let routes = self.state.routes();
        let newer = routes.filter(|routes| routes.plan().version.0 != self.request.plan);
        let newer =
            newer.and_then(|routes| Some(routes.route_named(&route.name)?.allowed_regions.clone()));
        newer.unwrap_or_else(|| route.allowed_regions.clone())
    }

    fn choose(&self, regions: &AllowedRegions) -> ServerChoice {
        let engine = self.request.engine.as_ref().zip(self.request.work());
        let query = ServerQuery {
            service: &self.request.service,
            engine: engine.map(|(figures, work)| EngineQuery {
                figures,
                work,
                continues: self.begun,
            }),
            regions,
            min_version: attempt::least_version(&self.state, &self.request),
            tried: &self.tried,
            random: rand::rng().random(),
        };
        self.state.servers().choose(self.state.now(), &query)
    }

    /// The part of the new requests that is refused, if this one belongs to it. What has been sent once
    /// has been let in.
    fn shed_share(&self, regions: &AllowedRegions, choice: &ServerChoice) -> Option<f64> {
        let (figures, work) = self.request.engine.as_ref().zip(self.request.work())?;
        if !self.tried.is_empty() {
            return None;
        }
        let request = NewRequest {
            service: &self.request.service,
            regions,
            figures,
            objective: work.objective,
            rank: ShedRank::new(self.request.digests.without_query, unix_time()),
        };
        self.state.shedder().refuses(self.state.now(), &request, choice.engine_headroom())
    }

    /// Whether the request may be sent to one more server.
    fn has_attempts(&self) -> bool {
        self.has_attempts_after(0)
    }

    /// Whether that holds after `further` sendings more.
    fn has_attempts_after(&self, further: u32) -> bool {
        let (runs, arrivals) = (self.runs + further, self.arrivals + further);
        runs < self.request.route.max_attempts && arrivals < MOST_ARRIVALS
    }

    /// Whether the next sending to a server is the last one allowed.
    pub fn is_last_sending(&self) -> bool {
        !self.has_attempts_after(1)
    }

    /// The server for the next sending; the cause, if there is to be none.
    pub fn next_server(&mut self) -> Result<ChosenServer, &'static str> {
        match self.reserved.take() {
            Some(server) => Ok(server),
            None => self.pick_server(),
        }
    }

    fn pick_server(&self) -> Result<ChosenServer, &'static str> {
        // The same content may have ended servers at other entries, or under an earlier id: attempts of
        // this request say nothing of that.
        let (now, digests) = (self.state.now(), &self.request.digests);
        if self.state.quarantine.note_coming(now, digests).is_some() {
            return Err(QUARANTINED);
        }
        let least = if self.arrivals > 0 { LEAST_LEFT } else { Duration::ZERO };
        if self.request.left(&self.state) <= least {
            return Err("deadline");
        }
        if !self.has_attempts() {
            return Err("attempts_used");
        }
        let regions = self.allowed_regions();
        let choice = self.choose(&regions);
        if let Some(share) = self.shed_share(&regions, &choice) {
            self.log("load_shed", json!({ "share": share }));
            return Err(LOAD_SHED);
        }
        let server = match choice {
            ServerChoice::Server(server) => server,
            ServerChoice::Full(full) => {
                self.state.metrics.count_excluded("rate_limit", full.rate_limited);
                self.state.metrics.count_excluded("retry_after", full.backing_off);
                self.log("servers_full", describe_full(&full));
                return Err("servers_full");
            }
            ServerChoice::Unavailable if regions == AllowedRegions::Anywhere => {
                return Err("no_server");
            }
            ServerChoice::Unavailable => {
                self.log(NOT_ALLOWED, json!({ "allowed_regions": regions.to_string() }));
                return Err(NOT_ALLOWED);
            }
        };
        if self.arrivals > 0 {
            let entries = self.state.entries();
            let now = self.state.now();
            if !self.state.retries().try_take(now, &self.request.service, entries) {
                return Err("retry_budget");
            }
        }
        let given = attempt::time_given(&self.state, &self.request, &server);
        let fields = json!({
            "given_ms": given.time.as_millis() as u64, "given_by": given.limit,
            "server": server.id, "own": server.own.in_flight, "others": server.others.in_flight,
            "waiting_tokens": server.own.waiting_tokens + server.others.waiting_tokens,
            "predicted_ms": server.predicted.map(|time| time.as_millis() as u64),
            "limit": server.limit, "rate_limit": server.rate_limit, "version": server.version, "least": attempt::least_version(&self.state, &self.request),
            "allowed_regions": regions.to_string(),
        });
        if self.tried.is_empty() {
            self.count(RequestStep::Admitted);
        }
        self.log("server_chosen", fields);
        Ok(server)
    }

    /// Sends the request to `server`.
    pub async fn send(
        &mut self,
        server: ChosenServer,
        last_event: Option<u64>,
    ) -> Result<ServerAnswer, AttemptFailure> {
        self.tried.push(server.id.clone());
        self.predicted = self.predicted.or(server.predicted);
        self.arrivals += 1;
        self.runs += 1;
        let (sent, reserved) = self.send_patiently(server.clone(), last_event).await;
        self.reserved = reserved;
        if let Ok(answer) = &sent
            && !(self.request.repeatable && self.has_attempts())
        {
            answer.in_flight.note_last();
        }
        if let Err(failure) = &sent {
            self.met_silence |= failure.cause == attempt::NO_ANSWER;
            self.arrivals -= u32::from(!failure.arrived);
            self.runs -= u32::from(failure.verdict == RunVerdict::NotRun);
            if failure.is_break() {
                self.note_break(&server, ProgressAtEnd::Silent).await;
            }
        }
        sent
    }

    /// Finds out what it means that a server broke off while it had this request, of which it had
    /// brought what `run` says.
    pub async fn note_break(&self, server: &ChosenServer, run: ProgressAtEnd) {
        if !server_end::has_ended(&self.state, server).await {
            return;
        }
        let digests = &self.request.digests;
        let planned = self.state.servers().is_planned_shutdown(&server.id);
        let fields = json!({
            "server": server.id, "life": server.life.to_string(), "run": format!("{run:?}"),
            "planned": planned, "without_query": digests.without_query.to_string(),
        });
        self.log("server_ended", fields);
        if !planned {
            self.state.quarantine.note_end(self.state.now(), digests, server.life, run);
        }
    }

    /// Sends to `server` and waits; where it is silent, until another one is had in its place: without
    /// that it is the only one who may still answer.
    async fn send_patiently(
        &self,
        server: ChosenServer,
        last_event: Option<u64>,
    ) -> (Result<ServerAnswer, AttemptFailure>, Option<ChosenServer>) {
        let (request, address, begun) = (&self.request, server.address, Instant::now());
        let choice = self.connection_choice();
        let sending = attempt::send(&self.state, request, server, last_event, choice);
        let mut sending = pin!(sending);
        if !request.repeatable {
            return (sending.await, None);
        }
        let patience = (request.route.objective() * PATIENCE).max(LEAST_PATIENCE);
        let mut until = begun + patience;
        let (state, digests) = (&self.state, &request.digests);
        let mut refused = pin!(state.quarantine.until_refused(|| state.now(), digests));
        loop {
            let sent = tokio::select! {
                sent = tokio::time::timeout_at(until, &mut sending) => sent,
                // A server that has not begun it yet is spared.
                () = &mut refused => return (Err(AttemptFailure::stopped(QUARANTINED)), None),
            };
            if let Ok(sent) = sent {
                return (sent, None);
            }
            if let Ok(next) = self.pick_server() {
                self.state.connections.forget_unheard(address, begun);
                return (Err(AttemptFailure::no_answer()), Some(next));
            }
            until += patience;
        }
    }

    /// Which connection the next sending may use. A late answer to an earlier request could take the
    /// place of one that cannot be asked again; and where connections have gone silent for good, those
    /// to other servers may have as well, so that a second one would cost the caller the rest of the
    /// objective.
    fn connection_choice(&self) -> ConnectionChoice {
        match self.request.repeatable && !self.met_silence {
            true => ConnectionChoice::Kept,
            false => ConnectionChoice::Fresh,
        }
    }

    /// Takes in a failed sending; the cause, if it may not be sent again.
    pub fn note_failure(&mut self, failure: &AttemptFailure) -> Result<(), &'static str> {
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

    /// The final answer of a request that is not passed on any more.
    pub fn give_up(&self, cause: &'static str) -> GivenUp {
        let verdict = self.verdict.unwrap_or(RunVerdict::NotRun);
        let given_up = match verdict {
            RunVerdict::NotRun if cause == QUARANTINED => GivenUp::refused(cause, QUARANTINE_TIME),
            RunVerdict::NotRun => GivenUp::refused(cause, self.time_to_come_back()),
            _ if cause == "deadline" => GivenUp::unsure(StatusCode::GATEWAY_TIMEOUT, cause),
            _ => GivenUp::unsure(StatusCode::BAD_GATEWAY, cause),
        };
        let rest = given_up.retry_after.map(|rest| rest.as_millis() as u64);
        let fields = json!({
            "cause": cause, "verdict": verdict.as_str(), "status": given_up.status.as_u16(),
            "retry_after_ms": rest, "entries": self.state.entries(),
        });
        self.count(match verdict {
            RunVerdict::NotRun => RequestStep::Refused,
            _ => RequestStep::Failed,
        });
        self.log("given_up", fields);
        given_up
    }

    /// Time after which the caller of a request that has not run may come back.
    fn time_to_come_back(&self) -> Duration {
        let rest = self.state.servers().retry_after(self.state.now(), &self.request.service);
        full_rest().max(rest.unwrap_or_default())
    }

    /// Writes down that a begun answer ends before it is whole: the caller's connection closes.
    pub fn cut(&self, cause: &'static str, fields: serde_json::Value) {
        self.state.metrics.count_request(RunVerdict::MayHaveRun);
        self.count(RequestStep::Cut);
        let fields = json!({ "cause": cause, "limit": self.request.limit, "stream": fields });
        self.log("stream_cut", fields);
    }

    /// Writes down the end of the request, whose answer began `first` after it came.
    pub fn finish(&self, event: &str, first: Duration, fields: serde_json::Value) {
        self.state.metrics.count_request(RunVerdict::Ran);
        self.state.quarantine.note_whole(self.state.now(), &self.request.digests);
        let objective = self.request.route.objective();
        self.count(match objective.is_zero() || first <= objective {
            true => RequestStep::InTime,
            false => RequestStep::Late,
        });
        self.state.metrics.observe_first_byte(&self.request.route.name, first.as_secs_f64());
        self.log(event, fields);
    }
}

/// What kept the request from every server, for logs.
fn describe_full(full: &ExclusionCounts) -> serde_json::Value {
    json!({
        "limited": full.limited, "late": full.late, "left_to_near": full.reserved_for_local,
        "rate_limited": full.rate_limited, "backing_off": full.backing_off,
        "least_predicted_ms": full.earliest_predicted.map(|time| time.as_millis() as u64),
    })
}

fn full_rest() -> Duration {
    let spread = rand::rng().random_range(0..FULL_SPREAD_MS);
    Duration::from_millis(FULL_REST_MS + spread)
}
