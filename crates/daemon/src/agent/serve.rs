//! The endpoint service: forwards requests from entries to the endpoint and streams the answers
//! back.

use std::{pin::Pin, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::Stream;
use headlatch_http::{CallError, HttpCaller};
use headlatch_types::RunVerdict;
use headlatch_wire::{
    Data, End, Head, Header, LoadReport, RefusalCause, Refused, ServeFrame, ServeRequest,
    endpoint_server::Endpoint, serve_frame::Part,
};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use http_body_util::BodyExt;
use opentelemetry::trace::SpanKind;
use tonic::{Request, Response, Status};

use super::admission::{EndpointAdmission, RunPermit};
use crate::{
    node::{NodeContext, codec},
    trace::{HopSpan, TRACEPARENT},
};

/// Retry delay suggested to an entry when the endpoint is busy.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Last event of a streamed completion; a stream that ends without it is truncated.
const DONE_EVENT: &[u8] = b"data: [DONE]";

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
];

type FrameStream = Pin<Box<dyn Stream<Item = Result<ServeFrame, Status>> + Send>>;

/// Runs requests at the endpoint of this box.
pub struct EndpointService {
    node: Arc<NodeContext>,
    admission: Arc<EndpointAdmission>,
    pooled: HttpCaller,
    unpooled: HttpCaller,
}

impl EndpointService {
    /// A service for the endpoint of `admission`.
    pub fn new(node: Arc<NodeContext>, admission: Arc<EndpointAdmission>) -> Self {
        Self { node, admission, pooled: HttpCaller::pooled(), unpooled: HttpCaller::fresh() }
    }
}

#[tonic::async_trait]
impl Endpoint for EndpointService {
    type ServeStream = FrameStream;

    async fn serve(&self, request: Request<ServeRequest>) -> Result<Response<FrameStream>, Status> {
        let request = request.into_inner();
        let parent = Some(request.traceparent.as_str());
        let run = EndpointRequest {
            span: self.node.spans.begin("agent", SpanKind::Server, parent),
            node: self.node.clone(),
            admission: self.admission.clone(),
            caller: if request.repeatable { self.pooled.clone() } else { self.unpooled.clone() },
            frames: FrameBuilder { request_id: request.request_id.clone(), sequence: 0 },
            request,
        };
        Ok(Response::new(Box::pin(run.stream())))
    }
}

/// Builds the numbered frames of one answer.
struct FrameBuilder {
    request_id: String,
    sequence: u64,
}

impl FrameBuilder {
    fn frame(&mut self, part: Part, load: Option<LoadReport>) -> ServeFrame {
        let sequence = self.sequence;
        self.sequence += 1;
        ServeFrame { request_id: self.request_id.clone(), sequence, part: Some(part), load }
    }
}

/// One request to the endpoint.
struct EndpointRequest {
    span: HopSpan,
    node: Arc<NodeContext>,
    admission: Arc<EndpointAdmission>,
    caller: HttpCaller,
    frames: FrameBuilder,
    request: ServeRequest,
}

impl EndpointRequest {
    fn stream(mut self) -> impl Stream<Item = Result<ServeFrame, Status>> + Send {
        async_stream::stream! {
            let admission = self.admission.clone();
            let permit = match admission.admit(self.node.now(), &self.request) {
                Ok(permit) => permit,
                Err(cause) => {
                    yield Ok(self.refuse(cause));
                    return;
                }
            };
            let span = self.node.spans.child("endpoint", SpanKind::Client, &self.span);
            let deadline = Duration::from_millis(self.request.deadline_ms);
            let deadline = tokio::time::Instant::now() + deadline;
            let sent = tokio::time::timeout_at(deadline, self.send(&span)).await;
            let response = match sent {
                Ok(Ok(response)) => response,
                Ok(Err(error)) if error.verdict == RunVerdict::NotRun => {
                    log::warn!(
                        "serve: request {} did not reach the endpoint, {error}",
                        self.request.request_id
                    );
                    permit.release_key();
                    yield Ok(self.refuse(RefusalCause::Unreachable));
                    return;
                }
                Ok(Err(error)) => {
                    yield Ok(self.end(RunVerdict::MayHaveRun, 0, error.message));
                    return;
                }
                Err(_) => {
                    let message = "the deadline passed before the endpoint answered";
                    yield Ok(self.end(RunVerdict::MayHaveRun, 0, message.to_owned()));
                    return;
                }
            };
            let (parts, mut body) = response.into_parts();
            let streams = is_event_stream(&parts.headers);
            yield Ok(self.head(&permit, parts.status.as_u16(), &parts.headers));
            let mut tail = StreamTail::default();
            let mut sent_bytes = 0;
            loop {
                let piece = match tokio::time::timeout_at(deadline, body.frame()).await {
                    Ok(None) => break,
                    Ok(Some(Ok(frame))) => match frame.into_data() {
                        Ok(piece) => piece,
                        Err(_) => continue,
                    },
                    Ok(Some(Err(error))) => {
                        yield Ok(self.end(RunVerdict::MayHaveRun, sent_bytes, error.to_string()));
                        return;
                    }
                    Err(_) => {
                        let message = "the deadline passed before the answer was complete";
                        yield Ok(self.end(RunVerdict::MayHaveRun, sent_bytes, message.to_owned()));
                        return;
                    }
                };
                tail.push(&piece);
                sent_bytes += piece.len() as u64;
                yield Ok(self.frames.frame(Part::Data(Data { body: piece }), None));
            }
            let requires_done_event = streams && parts.status.is_success() && permit.set.is_some();
            if requires_done_event && !tail.is_ended() {
                let message = "the engine's stream ended without its [DONE] event";
                yield Ok(self.end(RunVerdict::MayHaveRun, sent_bytes, message.to_owned()));
                return;
            }
            drop(permit);
            yield Ok(self.end(RunVerdict::Ran, sent_bytes, String::new()));
        }
    }

    async fn send(&self, span: &HopSpan) -> Result<volo_http::response::Response, CallError> {
        let not_run = |message: String| CallError { verdict: RunVerdict::NotRun, message };
        let request = &self.request;
        let method = Method::from_bytes(request.method.as_bytes())
            .map_err(|error| not_run(error.to_string()))?;
        let mut headers = decode_headers(&request.headers);
        if let Ok(value) = HeaderValue::from_str(&span.traceparent()) {
            headers.insert(TRACEPARENT, value);
        }
        if let Ok(value) = HeaderValue::from_str(&request.priority.to_string()) {
            headers.insert("x-priority", value);
        }
        let address = self.admission.endpoint().address;
        self.caller.send(address, method, &request.path, headers, request.body.clone()).await
    }

    fn load(&self) -> Option<LoadReport> {
        let in_progress = self.admission.lock().in_progress;
        Some(LoadReport { in_progress, slots: self.admission.endpoint().slots, queued: 0 })
    }

    fn refuse(&mut self, cause: RefusalCause) -> ServeFrame {
        self.node.metrics.count_refusal(cause.as_str_name());
        let retry = if cause == RefusalCause::Busy { BUSY_RETRY_AFTER } else { Duration::ZERO };
        let retry_after_ms = retry.as_millis() as u64;
        let refused = Refused { cause: cause.into(), retry_after_ms };
        let load = self.load();
        self.frames.frame(Part::Refused(refused), load)
    }

    fn head(&mut self, permit: &RunPermit<'_>, status: u16, headers: &HeaderMap) -> ServeFrame {
        let head = Head {
            status: status.into(),
            headers: encode_headers(headers),
            set_key: permit.set.map_or(0, |set| set.0),
        };
        let load = self.load();
        self.frames.frame(Part::Head(head), load)
    }

    fn end(&mut self, verdict: RunVerdict, body_bytes: u64, error: String) -> ServeFrame {
        self.node.metrics.count_request(verdict);
        if !error.is_empty() {
            log::warn!("serve: request {} failed, {error}", self.request.request_id);
        }
        let verdict = codec::encode_verdict(verdict).into();
        let load = self.load();
        self.frames.frame(Part::End(End { verdict, body_bytes, error }), load)
    }
}

/// The last bytes of a stream, kept to check whether it ended with `DONE_EVENT`.
#[derive(Debug, Default)]
struct StreamTail(Vec<u8>);

impl StreamTail {
    fn push(&mut self, piece: &Bytes) {
        const KEPT: usize = 64;
        self.0.extend_from_slice(&piece[piece.len().saturating_sub(KEPT)..]);
        let surplus = self.0.len().saturating_sub(KEPT);
        self.0.drain(..surplus);
    }

    fn is_ended(&self) -> bool {
        let text = self.0.trim_ascii_end();
        text.ends_with(DONE_EVENT)
    }
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(http::header::CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// Encodes headers as messages, without hop-by-hop headers.
pub fn encode_headers(headers: &HeaderMap) -> Vec<Header> {
    let passed = headers.iter().filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()));
    passed
        .map(|(name, value)| Header {
            name: name.to_string(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Decodes headers from messages, without hop-by-hop headers, `Content-Length` and malformed
/// headers.
pub fn decode_headers(headers: &[Header]) -> HeaderMap {
    let decoded = headers.iter().filter_map(|header| {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(&header.value).ok()?;
        (!HOP_BY_HOP_HEADERS.contains(&name.as_str())).then_some((name, value))
    });
    let mut map = HeaderMap::new();
    for (name, value) in decoded.filter(|(name, _)| *name != http::header::CONTENT_LENGTH) {
        map.append(name, value);
    }
    map
}
