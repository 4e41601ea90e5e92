//! Passes a stream on event by event, and continues it on another server where that is allowed.

use std::time::Duration;

use bytes::Bytes;
use headlatch_core::{
    direct::{
        event_split::{EventSplitter, StreamEvent},
        server_table::ServerOutcome,
        stream_timing::StreamTiming,
        time_limit::LimitedTime,
    },
    time::Moment,
};
use http::{Response, StatusCode, header};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use serde_json::json;
use tokio::time::Instant;

use super::{
    answer::{AnswerBody, BodyFailure, strip_connection},
    attempt::ServerAnswer,
    exchange::Exchange,
};

/// Pause after which a stream is continued elsewhere, as a multiple of the pause that is wanted.
const PAUSE_PATIENCE: u32 = 2;

/// Least such pause.
const LEAST_PAUSE: Duration = Duration::from_millis(800);

/// Why no more of a stream came from one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StreamEnd {
    /// It ended as it should.
    Whole,
    /// It broke off.
    Broken,
    /// Nothing came for long.
    Silent,
    /// The deadline has passed.
    Deadline,
}

/// A stream in progress.
struct Relay {
    exchange: Exchange,
    splitter: EventSplitter,
    last_event: Option<u64>,
    events: u64,
    timing: StreamTiming,
    status: StatusCode,
    /// Time that the server was given.
    given: LimitedTime,
    /// When the server's answer began.
    taken: Moment,
}

/// What comes next from a server.
enum Next {
    Data(Bytes),
    End(StreamEnd),
}

/// The caller's answer to a stream that a server has begun.
pub fn stream(exchange: Exchange, answer: ServerAnswer) -> Response<AnswerBody> {
    let (mut parts, body) = answer.response.into_parts();
    strip_connection(&mut parts.headers);
    parts.headers.remove(header::CONTENT_LENGTH);
    let mut relay = Relay {
        last_event: exchange.request.facts.last_event,
        status: parts.status,
        given: answer.given,
        taken: exchange.state.now(),
        exchange,
        splitter: EventSplitter::default(),
        events: 0,
        timing: StreamTiming::default(),
    };
    relay.exchange.begun = true;
    let (mut connection, mut in_flight) = (answer.connection, answer.in_flight);
    let mut body = body;
    let frames = async_stream::try_stream! {
        loop {
            let end = loop {
                match relay.next(&mut body).await {
                    Next::Data(data) => {
                        for event in relay.take(&data) {
                            yield Frame::data(Bytes::from(event.bytes));
                        }
                    }
                    Next::End(end) => break end,
                }
            };
            if end == StreamEnd::Whole {
                in_flight.end(ServerOutcome::Answered);
                relay.exchange.state.connections.put_back(connection);
                relay.finish();
                return;
            }
            in_flight.end(ServerOutcome::Lost);
            drop(connection);
            relay.exchange.log("stream_stopped", relay.describe(end));
            let continued = relay.continue_elsewhere(end).await;
            if let Err(cause) = continued {
                relay.exchange.cut(cause, relay.describe(end));
            }
            let answer = continued.map_err(BodyFailure::from)?;
            relay.given = answer.given;
            relay.taken = relay.exchange.state.now();
            body = answer.response.into_body();
            connection = answer.connection;
            in_flight = answer.in_flight;
        }
    };
    Response::from_parts(parts, StreamBody::new(frames).boxed_unsync())
}

impl Relay {
    /// What comes next from the server.
    async fn next(&mut self, body: &mut hyper::body::Incoming) -> Next {
        let request = &self.exchange.request;
        let pause = Duration::from_millis(request.route.pause_objective_ms) * PAUSE_PATIENCE;
        let pause = pause.max(LEAST_PAUSE);
        let mut patience = Instant::now() + pause;
        loop {
            let until = patience.min(request.deadline);
            let frame = match tokio::time::timeout_at(until, body.frame()).await {
                Err(_) if Instant::now() >= request.deadline => {
                    return Next::End(StreamEnd::Deadline);
                }
                Err(_) if request.repeatable && self.exchange.may_go_on() => {
                    return Next::End(StreamEnd::Silent);
                }
                Err(_) => {
                    // Nobody could do better.
                    patience += pause;
                    continue;
                }
                Ok(frame) => frame,
            };
            match frame {
                None if self.splitter.rest().is_empty() => return Next::End(StreamEnd::Whole),
                None | Some(Err(_)) => return Next::End(StreamEnd::Broken),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Next::Data(data);
                    }
                }
            }
        }
    }

    /// The whole events that have come and were not passed on yet.
    fn take(&mut self, data: &[u8]) -> Vec<StreamEvent> {
        let mut events = self.splitter.push(data);
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

    /// How far the stream has come, for logs.
    fn describe(&self, end: StreamEnd) -> serde_json::Value {
        let now = self.exchange.state.now();
        let millis = |time: Duration| time.as_millis() as u64;
        json!({
            "end": format!("{end:?}"), "events": self.events,
            "server": self.exchange.last_server(),
            "since_event_ms": self.timing.last().map(|last| millis(now.since(last))),
            "given_ms": millis(self.given.time), "given_by": self.given.limit,
            "served_ms": millis(now.since(self.taken)),
        })
    }

    async fn continue_elsewhere(&mut self, end: StreamEnd) -> Result<ServerAnswer, &'static str> {
        self.splitter.clear();
        if !self.exchange.request.repeatable || end == StreamEnd::Deadline {
            return Err("stream_stopped");
        }
        loop {
            let server = self.exchange.next_server()?;
            let sent = self.exchange.send(server, self.last_event).await;
            match sent {
                Ok(answer) if answer.response.status() == self.status => {
                    let fields = json!({
                        "server": answer.in_flight.server().id, "after": self.last_event,
                    });
                    self.exchange.log("stream_continued", fields);
                    return Ok(answer);
                }
                Ok(answer) => {
                    answer.in_flight.end(ServerOutcome::Failed);
                    let status = answer.response.status().as_u16();
                    self.exchange.log("server_failed", json!({ "status": status }));
                }
                Err(failure) => {
                    self.exchange.note_failure(&failure)?;
                }
            }
        }
    }

    fn finish(&self) {
        let exchange = &self.exchange;
        let first = self.timing.first().map(|first| first.since(exchange.arrived).as_millis());
        let fields = json!({
            "server": exchange.last_server(), "status": self.status.as_u16(),
            "events": self.events, "first_event_ms": first.map(|first| first as u64),
            "longest_pause_ms": self.timing.longest_pause().as_millis() as u64,
            "objective_ms": exchange.request.route.objective_ms,
            "predicted_ms": exchange.predicted.map(|time| time.as_millis() as u64),
        });
        exchange.finish("stream_ended", fields);
    }
}
