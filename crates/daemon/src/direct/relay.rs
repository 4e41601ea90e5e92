//! Forwards a stream event by event and, where allowed, continues it on another server.
//!
//! A response that has begun is cut off only if no server can continue it: its server closed the
//! connection, or the deadline has passed. A server that sends nothing for a while may just be
//! slow, so another server is asked in parallel, and the first one to send data continues the
//! stream.

use std::{pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use headlatch_core::{
    direct::{
        event_split::{EventSplitter, StreamEvent},
        server_table::{ChosenServer, ServerOutcome},
        stream_timing::StreamTiming,
        suspect_parts::SURVIVAL_TIME,
        time_limit::LimitedTime,
    },
    time::Moment,
};
use headlatch_http::ActiveConnection;
use http::{Response, StatusCode, header};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use serde_json::json;
use tokio::time::Instant;

use super::{
    answer::{AnswerBody, BodyError, strip_hop_by_hop_headers},
    answer_reader::AnswerReader,
    attempt::{AttemptFailure, InFlight, ServerAnswer},
    body_memory::{MEMORY_FULL, MemoryShare},
    exchange::Exchange,
    server_end::ServerLiveness,
    state::EntryState,
};

/// Pause after which another server is asked in parallel, as a multiple of the route's pause
/// objective.
const PAUSE_TOLERANCE_FACTOR: u32 = 2;

/// Lower bound of that pause.
const MIN_PAUSE_TOLERANCE: Duration = Duration::from_millis(800);

/// Part of an answer's window that an incomplete event may fill without memory of its own.
const EVENT_IN_WINDOW: usize = 32 << 10;

/// Why a stream was cut: one of its events exceeds `direct.max_event`.
const EVENT_TOO_LARGE: &str = "event_too_large";

/// Why a stream from a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    /// The stream is complete.
    Whole,
    /// The server closed the connection after a complete event, in an answer that has no other end.
    Closed,
    /// The server closed the connection.
    Broken,
    /// The server sent nothing for too long and another server continued the stream.
    Silent,
    /// The deadline passed.
    Deadline,
    /// An event was too large to be held until its end.
    Event,
}

/// A server that a stream is read from.
struct StreamSource {
    reader: AnswerReader,
    connection: ActiveConnection,
    in_flight: InFlight,
    splitter: EventSplitter,
    /// Memory for an event that does not fit into the window of the answer.
    event_memory: Option<MemoryShare>,
    /// Time limit sent to the server.
    time_limit: LimitedTime,
    /// When the server's response began.
    started: Moment,
    /// When the server sent its first complete event.
    writing_since: Option<Moment>,
    /// It has been recorded that the server survived the request.
    survival_recorded: bool,
    /// The stream ends with the connection.
    close_delimited: bool,
}

impl StreamSource {
    fn new(answer: ServerAnswer, state: &Arc<EntryState>) -> Self {
        let body = answer.response.into_body();
        Self {
            close_delimited: answer.close_delimited,
            reader: AnswerReader::new(state.clone(), body, answer.silence),
            connection: answer.connection,
            in_flight: answer.in_flight,
            splitter: EventSplitter::default(),
            event_memory: None,
            time_limit: answer.time_limit,
            started: state.now(),
            writing_since: None,
            survival_recorded: false,
        }
    }

    /// Reads the next bytes of the stream, or how it ended.
    async fn next(&mut self) -> Result<Bytes, StreamEnd> {
        match self.reader.next().await {
            Some(Ok(data)) => Ok(data),
            None if self.splitter.rest().is_empty() => Err(match self.close_delimited {
                true => StreamEnd::Closed,
                false => StreamEnd::Whole,
            }),
            None | Some(Err(_)) => Err(StreamEnd::Broken),
        }
    }
}

struct Relay {
    exchange: Exchange,
    last_event: Option<u64>,
    events: u64,
    timing: StreamTiming,
    status: StatusCode,
    /// The wait for a silent server without a hedge has been logged.
    waiting_logged: bool,
}

/// The next step of a stream.
enum NextData {
    /// Data from the current server.
    Data(Bytes),
    /// Another server sent this data before the silent one sent any.
    Replaced(Box<StreamSource>, Bytes),
    /// The current server sends nothing more.
    End(StreamEnd),
}

/// Response to the caller for a stream that a server has begun.
pub fn stream(exchange: Exchange, mut answer: ServerAnswer) -> Response<AnswerBody> {
    let status = answer.response.status();
    let mut headers = std::mem::take(answer.response.headers_mut());
    strip_hop_by_hop_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    let mut source = StreamSource::new(answer, &exchange.state);
    let mut relay = Relay {
        last_event: exchange.request.facts.last_event,
        status,
        exchange,
        events: 0,
        timing: StreamTiming::default(),
        waiting_logged: false,
    };
    relay.exchange.answer_begun = true;
    let frames = async_stream::try_stream! {
        loop {
            let data = match relay.next(&mut source).await {
                NextData::Data(data) => data,
                NextData::Replaced(other, data) => {
                    relay.abandon(source, StreamEnd::Silent);
                    source = *other;
                    data
                }
                NextData::End(end) => {
                    let end = relay.settle_end(&source, end).await;
                    if end == StreamEnd::Whole {
                        source.in_flight.end(ServerOutcome::Answered);
                        relay.finish(&source);
                        relay.exchange.state.connections.release(source.connection);
                        return;
                    }
                    let log_fields = relay.log_fields(&source, end);
                    relay.abandon(source, end);
                    let continued = relay.continue_elsewhere(end).await;
                    if let Err(cause) = continued {
                        relay.exchange.record_cut(cause, log_fields);
                    }
                    source = continued.map_err(BodyError::from)?;
                    continue;
                }
            };
            for event in relay.new_events(&mut source, &data) {
                yield Frame::data(Bytes::from(event.bytes));
            }
            if let Err(cause) = relay.check_pending_event(&mut source) {
                let log_fields = relay.log_fields(&source, StreamEnd::Event);
                relay.abandon(source, StreamEnd::Event);
                relay.exchange.record_cut(cause, log_fields);
                Err(BodyError::from(cause))?;
                return;
            }
        }
    };
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

impl Relay {
    /// Reads the next data, hedging on another server during long pauses.
    async fn next(&mut self, source: &mut StreamSource) -> NextData {
        let deadline = self.exchange.request.deadline;
        let pause = Duration::from_millis(self.exchange.request.route.pause_objective_ms);
        let pause = (pause * PAUSE_TOLERANCE_FACTOR).max(MIN_PAUSE_TOLERANCE);
        loop {
            let patience = Instant::now() + pause;
            match tokio::time::timeout_at(patience.min(deadline), source.next()).await {
                Ok(Ok(data)) => return NextData::Data(data),
                Ok(Err(end)) => return NextData::End(end),
                Err(_) if Instant::now() >= deadline => return NextData::End(StreamEnd::Deadline),
                Err(_) => {}
            }
            if let Some(next) = self.hedge(source).await {
                return next;
            }
        }
    }

    /// Finds out what a closed connection means. Only a server that lives on has ended its stream by
    /// closing it.
    async fn settle_end(&self, source: &StreamSource, end: StreamEnd) -> StreamEnd {
        match end {
            StreamEnd::Closed => {
                let (server, writing_since) = (source.in_flight.server(), source.writing_since);
                let silence = source.reader.silence();
                match self.exchange.settle_close(server, writing_since, silence).await {
                    ServerLiveness::Alive => StreamEnd::Whole,
                    ServerLiveness::Ended
                    | ServerLiveness::Replaced
                    | ServerLiveness::Unidentified
                    | ServerLiveness::Unknown => StreamEnd::Broken,
                }
            }
            StreamEnd::Broken => {
                let _ = break_liveness(&self.exchange, source).await;
                end
            }
            StreamEnd::Whole | StreamEnd::Silent | StreamEnd::Deadline | StreamEnd::Event => end,
        }
    }

    /// Asks another server in parallel while the current one is silent; `None` if neither has
    /// anything to forward.
    ///
    /// The silent server is kept meanwhile: dropping it first would lose the rest of its answer
    /// whenever the other server refuses, is silent too, or can't be reached.
    async fn hedge(&mut self, source: &mut StreamSource) -> Option<NextData> {
        if !self.exchange.request.repeatable || self.exchange.is_suspected() {
            return None;
        }
        let server = match self.exchange.next_server() {
            Ok(server) => server,
            Err(cause) => {
                self.log_waiting(cause);
                return None;
            }
        };
        if self.exchange.is_final_attempt() {
            source.in_flight.mark_final_attempt();
        }
        let (last, status) = (self.last_event, self.status);
        let (outcome, broken) = {
            let exchange = &mut self.exchange;
            let mut hedging = pin!(start_on(exchange, server, last, status));
            tokio::select! {
                biased;
                data = source.next() => match data {
                    Ok(data) => return Some(NextData::Data(data)),
                    Err(end @ (StreamEnd::Whole | StreamEnd::Closed)) => {
                        return Some(NextData::End(end));
                    }
                    Err(end) => match hedging.await {
                        Ok(started) => (Ok(started), true),
                        Err(_) => return Some(NextData::End(end)),
                    },
                },
                outcome = &mut hedging => (outcome, false),
            }
        };
        if broken {
            let _ = break_liveness(&self.exchange, source).await;
        }
        let (other, data) = outcome.ok()?;
        Some(NextData::Replaced(Box::new(other), data))
    }

    fn log_waiting(&mut self, cause: &'static str) {
        if !self.waiting_logged {
            self.waiting_logged = true;
            let fields = json!({ "cause": cause, "events": self.events });
            self.exchange.log("stream_waits", fields);
        }
    }

    /// Closes the connection to a server whose stream is no longer needed.
    fn abandon(&self, source: StreamSource, end: StreamEnd) {
        source.in_flight.end(ServerOutcome::Lost);
        self.exchange.log("stream_stopped", self.log_fields(&source, end));
    }

    /// Complete events in `data` that have not been forwarded yet.
    fn new_events(&mut self, source: &mut StreamSource, data: &[u8]) -> Vec<StreamEvent> {
        let mut events = source.splitter.push(data);
        if !events.is_empty() {
            self.record_survival(source);
        }
        let last = self.last_event;
        events.retain(|event| match (event.id, last) {
            (Some(id), Some(last)) => id > last,
            _ => true,
        });
        self.events += events.len() as u64;
        if !events.is_empty() {
            self.timing.note_event(self.exchange.state.now());
        }
        if let Some(id) = events.iter().filter_map(|event| event.id).max() {
            self.last_event = Some(id);
        }
        events
    }

    /// Reserves memory for an event that is not complete; the cause if it is too large.
    fn check_pending_event(&self, source: &mut StreamSource) -> Result<(), &'static str> {
        let (state, pending) = (&self.exchange.state, source.splitter.rest().len());
        if pending <= EVENT_IN_WINDOW {
            source.event_memory = None;
            return Ok(());
        }
        if pending as u64 > state.settings.direct.max_event.bytes() {
            return Err(EVENT_TOO_LARGE);
        }
        // The buffer of the event may be twice as large as what it holds.
        let reserved = source.event_memory.as_ref().map_or(0, MemoryShare::bytes);
        let needed = 2 * pending;
        if needed > reserved {
            let more = state.answer_memory.try_reserve_spare(needed - reserved);
            MemoryShare::merge(&mut source.event_memory, more.ok_or(MEMORY_FULL)?);
        }
        Ok(())
    }

    /// Records that the server survived the request once it has written on it for long enough.
    fn record_survival(&self, source: &mut StreamSource) {
        let now = self.exchange.state.now();
        let since = *source.writing_since.get_or_insert(now);
        if !source.survival_recorded && now.since(since) >= SURVIVAL_TIME {
            source.survival_recorded = true;
            let (quarantine, request) = (&self.exchange.state.quarantine, &self.exchange.request);
            quarantine.record_survival(now, &request.identity, since);
        }
    }

    /// Progress of the stream, for logs.
    fn log_fields(&self, source: &StreamSource, end: StreamEnd) -> serde_json::Value {
        let now = self.exchange.state.now();
        let millis = |time: Duration| time.as_millis() as u64;
        json!({
            "end": format!("{end:?}"), "events": self.events,
            "server": source.in_flight.server().id,
            "since_event_ms": self.timing.last().map(|last| millis(now.since(last))),
            "given_ms": millis(source.time_limit.time), "given_by": source.time_limit.limit,
            "served_ms": millis(now.since(source.started)),
        })
    }

    /// Continues the stream on another server; the cause if there is none.
    async fn continue_elsewhere(&mut self, end: StreamEnd) -> Result<StreamSource, &'static str> {
        if !self.exchange.request.repeatable || end == StreamEnd::Deadline {
            return Err("stream_stopped");
        }
        self.exchange.await_verdict().await;
        loop {
            let server = self.exchange.next_server()?;
            let sent = self.exchange.send(server, self.last_event).await;
            if sent.as_ref().is_err_and(AttemptFailure::is_connection_break) {
                self.exchange.await_verdict().await;
            }
            if let Ok(source) =
                accept_continuation(&mut self.exchange, sent, self.last_event, self.status)
            {
                return Ok(source);
            }
        }
    }

    fn finish(&self, source: &StreamSource) {
        let exchange = &self.exchange;
        let whole = exchange.state.now().since(exchange.arrived);
        let first = self.timing.first().map(|first| first.since(exchange.arrived));
        let fields = json!({
            "server": source.in_flight.server().id, "status": self.status.as_u16(),
            "events": self.events, "first_event_ms": first.map(|first| first.as_millis() as u64),
            "longest_pause_ms": self.timing.longest_pause().as_millis() as u64,
            "objective_ms": exchange.request.route.objective_ms,
            "predicted_ms": exchange.predicted.map(|time| time.as_millis() as u64),
        });
        exchange.finish("stream_ended", first.unwrap_or(whole), fields);
        let begun = source.writing_since.unwrap_or(source.started);
        let quarantine = &exchange.state.quarantine;
        quarantine.record_survival(exchange.state.now(), &exchange.request.identity, begun);
    }
}

/// Finds out whether the server of a closed connection has ended, and records it.
async fn break_liveness(exchange: &Exchange, source: &StreamSource) -> ServerLiveness {
    let (server, silence) = (source.in_flight.server(), source.reader.silence());
    exchange.handle_connection_break(server, source.writing_since, silence).await
}

/// Resumes the stream on `server` after event `last` and waits for the first data. If the attempt
/// fails, the server reserved meanwhile is tried.
async fn start_on(
    exchange: &mut Exchange,
    mut server: ChosenServer,
    last: Option<u64>,
    status: StatusCode,
) -> Result<(StreamSource, Bytes), StreamEnd> {
    let mut source = loop {
        let sent = exchange.send(server, last).await;
        match accept_continuation(exchange, sent, last, status) {
            Ok(source) => break source,
            Err(end) => server = exchange.reserved.take().ok_or(end)?,
        }
    };
    let first = tokio::time::timeout_at(exchange.request.deadline, source.next()).await;
    match first {
        Ok(Ok(data)) => Ok((source, data)),
        ended => {
            source.in_flight.end(ServerOutcome::Lost);
            if matches!(ended, Ok(Err(StreamEnd::Broken | StreamEnd::Closed))) {
                let _ = break_liveness(exchange, &source).await;
            }
            Err(StreamEnd::Broken)
        }
    }
}

/// Checks that the server resumes the stream with the same status as before.
fn accept_continuation(
    exchange: &mut Exchange,
    sent: Result<ServerAnswer, AttemptFailure>,
    last: Option<u64>,
    status: StatusCode,
) -> Result<StreamSource, StreamEnd> {
    match sent {
        Ok(answer) if answer.response.status() == status => {
            let fields = json!({ "server": answer.in_flight.server().id, "after": last });
            exchange.log("stream_continued", fields);
            Ok(StreamSource::new(answer, &exchange.state))
        }
        Ok(answer) => {
            answer.in_flight.end(ServerOutcome::Failed);
            let status = answer.response.status().as_u16();
            exchange.log("server_failed", json!({ "status": status }));
            Err(StreamEnd::Broken)
        }
        Err(failure) => {
            // Only repeatable streams get here, so that every failure permits another attempt.
            let _ = exchange.record_failure(&failure);
            Err(StreamEnd::Broken)
        }
    }
}
