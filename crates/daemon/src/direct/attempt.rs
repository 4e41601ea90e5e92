//! A single attempt to run a request on one server.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use headlatch_core::direct::{
    admission::urgency::UrgencyRank,
    answer_silence::SilenceMeter,
    engine_model::completion_time,
    server_table::{ChosenServer, ServerOutcome},
    time_limit::{LimitedTime, TimeLimit},
};
use headlatch_http::{ActiveConnection, ConnectionChoice, ResponseBody};
use headlatch_outside::headers::{ForwardMetadata, ResponseMetadata};
use headlatch_types::{RunVerdict, traffic::WeightVersion};
use http::{HeaderMap, Response, StatusCode, header};
use http_body::Body;
use tokio::time::Instant;

use super::{
    answer::{promises_not_run, strip_hop_by_hop_headers},
    exchange::QUARANTINED,
    handler::AdmittedRequest,
    state::EntryState,
};

/// Timeout for opening a connection: a reachable server accepts within a few round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Failure cause: the server sent no response head before the deadline.
pub const NO_ANSWER: &str = "no_answer_in_time";

/// Failure cause: the server closed the connection before its response began.
const CONNECTION_CLOSED: &str = "broken_off";

/// Failure cause: the server closed the connection in the middle of its response.
pub const ANSWER_CUT: &str = "answer_cut";

/// Failure cause: the server answered with a status that callers take for a promise that the request has not run,
/// and did not confirm it.
const UNCONFIRMED_REFUSAL: &str = "unconfirmed_refusal";

/// Keeps a request in the in-flight count of a server until the request ends or this is dropped.
#[derive(Debug)]
pub struct InFlight {
    state: Arc<EntryState>,
    server: ChosenServer,
    /// Prompt length in tokens.
    tokens: u64,
    prompt_read: AtomicBool,
    /// The request can't be retried on another server any more.
    final_attempt: AtomicBool,
    ended: AtomicBool,
}

impl InFlight {
    /// Counts a request with a prompt of `tokens` as in flight at `server`; `None` if the server's
    /// rate limit is used up.
    pub fn begin(state: Arc<EntryState>, server: ChosenServer, tokens: u64) -> Option<Self> {
        let mut servers = state.servers();
        if !servers.try_acquire(state.now(), server.life) {
            return None;
        }
        servers.begin(&server.id, tokens);
        drop(servers);
        state.notify_load_changes();
        let [prompt_read, final_attempt, ended] = [(); 3].map(|()| AtomicBool::new(false));
        Some(Self { state, server, tokens, prompt_read, final_attempt, ended })
    }

    /// Records that the server has processed the prompt.
    pub fn note_read(&self) {
        if !self.prompt_read.swap(true, Ordering::Relaxed) {
            self.state.servers().finish_prefill(&self.server.id, self.tokens);
            self.state.notify_load_changes();
            self.state.waiting.wake();
        }
    }

    /// Records that the request has started and can't be retried on another server any more.
    pub fn mark_final_attempt(&self) {
        if !self.final_attempt.swap(true, Ordering::Relaxed) {
            self.state.servers().begin_pinned_stream(&self.server.id);
        }
    }

    /// Server that the request was sent to.
    pub fn server(&self) -> &ChosenServer {
        &self.server
    }

    /// Removes the request from the in-flight count and records its outcome.
    pub fn end(&self, outcome: ServerOutcome) {
        self.note_read();
        if !self.ended.swap(true, Ordering::Relaxed) {
            if self.final_attempt.load(Ordering::Relaxed) {
                self.state.servers().end_pinned_stream(&self.server.id);
            }
            self.state.servers().end_chosen(self.state.now(), &self.server, outcome);
            self.state.notify_load_changes();
            self.state.waiting.wake();
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.end(ServerOutcome::Abandoned);
    }
}

/// Response of a server.
#[derive(Debug)]
pub struct ServerAnswer {
    /// Response head, with the body still to be read.
    pub response: Response<ResponseBody>,
    /// Connection of the response, closed on drop.
    pub connection: ActiveConnection,
    /// In-flight count of the request.
    pub in_flight: InFlight,
    /// The body ends with the connection, as it does if the server crashes.
    pub close_delimited: bool,
    /// Silences of the server since the request was sent.
    pub silence: SilenceMeter,
    /// Time limit sent to the server, counted from when the request was sent.
    pub time_limit: LimitedTime,
}

/// Why an attempt produced no response that can be forwarded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptFailure {
    /// Whether the server may have run the request.
    pub verdict: RunVerdict,
    /// What the failure implies about the server.
    pub outcome: ServerOutcome,
    /// Cause, for logs.
    pub cause: &'static str,
    /// Details of the cause, for logs.
    pub detail: String,
    /// Whether the request reached the server.
    pub reached_server: bool,
}

impl AttemptFailure {
    /// The server did not respond before the timeout.
    pub fn no_answer() -> Self {
        Self::lost(NO_ANSWER, String::new())
    }

    /// The attempt was cancelled by this entry, which closed the connection.
    pub fn stopped(cause: &'static str) -> Self {
        Self { outcome: ServerOutcome::Abandoned, ..Self::lost(cause, String::new()) }
    }

    /// The request was not sent.
    fn not_sent(cause: &'static str) -> Self {
        let (verdict, outcome) = (RunVerdict::NotRun, ServerOutcome::Abandoned);
        Self { verdict, outcome, cause, detail: String::new(), reached_server: false }
    }

    /// Whether the server closed the connection while it was processing the request.
    pub fn is_connection_break(&self) -> bool {
        [CONNECTION_CLOSED, ANSWER_CUT].contains(&self.cause)
    }

    /// The server answered that it failed, which does not tell whether it ran the request.
    fn failed(cause: &'static str, detail: String) -> Self {
        Self { outcome: ServerOutcome::Failed, ..Self::lost(cause, detail) }
    }

    fn lost(cause: &'static str, detail: String) -> Self {
        let (verdict, outcome) = (RunVerdict::MayHaveRun, ServerOutcome::Lost);
        Self { verdict, outcome, cause, detail, reached_server: true }
    }
}

/// Headers of the request to the server.
fn outgoing_headers(
    state: &EntryState,
    request: &AdmittedRequest,
    facts: &ForwardMetadata,
    body: &Bytes,
) -> HeaderMap {
    let mut headers = request.headers.clone();
    strip_hop_by_hop_headers(&mut headers);
    headers.remove(header::EXPECT);
    headers.remove(header::CONTENT_LENGTH);
    if !body.is_empty() || request.declares_body {
        headers.insert(header::CONTENT_LENGTH, body.len().into());
    }
    state.headers.write_request(&mut headers, facts);
    headers
}

/// Sends a request to `server` and waits for the response head until the request's deadline.
pub async fn send(
    state: &Arc<EntryState>,
    request: &AdmittedRequest,
    server: ChosenServer,
    last_event: Option<u64>,
    choice: ConnectionChoice,
) -> Result<ServerAnswer, AttemptFailure> {
    let tokens = request.engine_work().map_or(0, |work| work.prompt);
    let in_flight = InFlight::begin(state.clone(), server, tokens)
        .ok_or_else(|| AttemptFailure::not_sent("rate_limited"))?;
    let sent = send_counted(state, request, &in_flight, last_event, choice).await;
    match sent {
        Ok(begun) => {
            in_flight.note_read();
            let BegunAnswer { response, connection, time_limit, silence } = begun;
            let close_delimited = is_close_delimited(&response);
            Ok(ServerAnswer {
                response,
                connection,
                in_flight,
                close_delimited,
                silence,
                time_limit,
            })
        }
        Err(failure) => {
            in_flight.end(failure.outcome);
            Err(failure)
        }
    }
}

/// The head of a server's answer, with its body still to be read.
struct BegunAnswer {
    response: Response<ResponseBody>,
    connection: ActiveConnection,
    time_limit: LimitedTime,
    silence: SilenceMeter,
}

async fn send_counted(
    state: &Arc<EntryState>,
    request: &AdmittedRequest,
    in_flight: &InFlight,
    last_event: Option<u64>,
    mut choice: ConnectionChoice,
) -> Result<BegunAnswer, AttemptFailure> {
    let server = in_flight.server();
    loop {
        let begun = Instant::now();
        let (mut connection, fresh) = connect(state, server, choice, request.deadline).await?;
        // The server's state may have changed while the connection was being opened.
        let checked = state.servers().check_eligibility(state.now(), server);
        if let Err(ineligible) = checked {
            state.connections.release(connection);
            return Err(AttemptFailure::not_sent(ineligible.as_str()));
        }
        // So may what is known of the request.
        if state.quarantine.refuses(state.now(), &request.identity) {
            state.connections.release(connection);
            return Err(AttemptFailure::not_sent(QUARANTINED));
        }
        let time_limit = server_time_limit(state, request, server);
        let facts = ForwardMetadata {
            deadline: Some(time_limit.time),
            server: Some(server.id.clone()),
            tenant: request.tenant.clone(),
            last_event,
            // A server never returns to older weights, and one that has already switched would
            // refuse the request.
            version: None,
            priority: request.urgency.map(UrgencyRank::value),
        };
        let headers = outgoing_headers(state, request, &facts, &request.body.bytes);
        let (method, uri) = (request.method.clone(), request.uri.clone());
        let sent_at = state.now();
        let sent = connection.send(method, uri, headers, request.body.bytes.clone());
        let sent = tokio::time::timeout_at(request.deadline, sent).await;
        let response = match sent {
            Err(_) => {
                if !fresh {
                    state.connections.close_stale(server.address, begun);
                }
                return Err(AttemptFailure::no_answer());
            }
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.verdict == RunVerdict::NotRun && !fresh => {
                // Nothing was written: the pooled connection had just been closed by the server.
                choice = ConnectionChoice::Fresh;
                continue;
            }
            Ok(Err(error)) => {
                let mut failure = AttemptFailure::lost(CONNECTION_CLOSED, error.message);
                failure.verdict = error.verdict;
                failure.reached_server = error.verdict != RunVerdict::NotRun;
                return Err(failure);
            }
        };
        state.record_unknown_headers(&server.id, response.headers());
        let facts = state.headers.read_answer(response.status(), response.headers());
        if facts.id.as_ref().is_none_or(|id| *id == request.id) && !facts.misdirected {
            state.apply_signals(server, sent_at, &facts);
        }
        let (response, connection) = check_answer(request, facts, response, connection)?;
        let mut silence = SilenceMeter::new(sent_at);
        silence.record(state.now());
        return Ok(BegunAnswer { response, connection, time_limit, silence });
    }
}

/// Minimum time limit of a server with older weights, in percent of the predicted time for the
/// whole answer. The margin covers engines that are slower and queues that are longer than
/// predicted.
const MIN_ANSWER_TIME_PERCENT: u32 = 150;

/// Time limit for a request that is sent to `server` now.
///
/// A server with older weights must not start late, and gets no longer than those weights may still
/// be used. But a server also stops at its time limit in the middle of a stream, when there may be
/// no other server to continue it, so the limit is never shorter than the predicted time for the
/// whole answer.
pub fn server_time_limit(
    state: &EntryState,
    request: &AdmittedRequest,
    server: &ChosenServer,
) -> LimitedTime {
    let left = LimitedTime::new(request.time_left(state), request.limit);
    let Some(figures) = &request.engine else { return left };
    let model = request.facts.model.as_deref();
    let Some(work_time) = state.work_time(model, server.version) else { return left };
    let first = server.predicted.unwrap_or_default();
    let decode = completion_time(figures, Duration::ZERO, request.facts.answer_tokens);
    let decode = server.slow_by.map_or(decode, |pace| decode.mul_f64(pace.factor()));
    let whole = first + decode;
    let time = work_time.max(whole * MIN_ANSWER_TIME_PERCENT / 100);
    left.shorter(Some(LimitedTime::new(time, TimeLimit::Weights)))
}

/// The oldest version of the weights that may serve the request if it is sent now.
pub fn min_version(state: &EntryState, request: &AdmittedRequest) -> Option<WeightVersion> {
    request.engine.as_ref()?;
    state.min_version(request.facts.model.as_deref())
}

async fn connect(
    state: &Arc<EntryState>,
    server: &ChosenServer,
    choice: ConnectionChoice,
    until: Instant,
) -> Result<(ActiveConnection, bool), AttemptFailure> {
    let time = until.saturating_duration_since(Instant::now()).min(CONNECT_TIMEOUT);
    let connected = state.connections.get(server.address, choice, time).await;
    connected.map_err(|error| AttemptFailure {
        verdict: RunVerdict::NotRun,
        outcome: ServerOutcome::Lost,
        cause: "not_connected",
        detail: error.message,
        reached_server: false,
    })
}

/// Separates a response to this request from refusals and from responses to other requests.
fn check_answer(
    request: &AdmittedRequest,
    facts: ResponseMetadata,
    response: Response<ResponseBody>,
    connection: ActiveConnection,
) -> Result<(Response<ResponseBody>, ActiveConnection), AttemptFailure> {
    if facts.id.as_ref().is_some_and(|id| *id != request.id) {
        let detail = format!("the response has request id {}", facts.id.unwrap_or_default());
        return Err(AttemptFailure::lost("answer_of_another", detail));
    }
    if facts.not_run {
        let outcome = match facts.misdirected {
            true => ServerOutcome::Misdirected,
            false => ServerOutcome::Refused,
        };
        let cause = if facts.misdirected { "misdirected" } else { "server_refused" };
        let (verdict, detail) = (RunVerdict::NotRun, response.status().to_string());
        return Err(AttemptFailure { verdict, outcome, cause, detail, reached_server: true });
    }
    if promises_not_run(response.status()) {
        return Err(AttemptFailure::failed(UNCONFIRMED_REFUSAL, response.status().to_string()));
    }
    if response.headers().contains_key(header::CONTENT_ENCODING) {
        return Err(AttemptFailure::lost("encoded_answer", String::new()));
    }
    let success = response.status().is_success();
    if success && (!facts.signed || facts.id.is_none()) {
        return Err(AttemptFailure::lost("unsigned_answer", response.status().to_string()));
    }
    Ok((response, connection))
}

/// Whether neither a length nor chunks tell where the body ends.
fn is_close_delimited(response: &Response<ResponseBody>) -> bool {
    response.body().size_hint().exact().is_none()
        && !response.headers().contains_key(header::TRANSFER_ENCODING)
}

/// Whether a status means that the server failed, so that a repeatable request may be retried on
/// another one.
pub fn is_failure(status: StatusCode) -> bool {
    status.is_server_error()
}
