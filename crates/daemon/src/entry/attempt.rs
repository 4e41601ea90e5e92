//! A single attempt to run a request at one endpoint.

use std::net::SocketAddr;

use bytes::Bytes;
use headlatch_types::RunVerdict;
use headlatch_wire::{Head, LoadReport, RefusalCause, ServeFrame, ServeRequest, serve_frame::Part};
use tonic::{Status, Streaming};

use crate::node::{channels::ChannelCache, codec};

/// Outcome of starting an attempt.
#[derive(Debug)]
pub enum AttemptStart {
    /// The endpoint has sent a response head.
    Response(Box<ResponseStream>),
    /// The agent refused; the request did not run.
    Refused(RefusalCause, Option<LoadReport>),
    /// The attempt failed before a response head.
    Failed(AttemptFailure),
}

/// A failed attempt.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct AttemptFailure {
    /// Whether the request ran, may have run, or did not run.
    pub verdict: RunVerdict,
    /// Description of the failure.
    pub message: String,
}

impl AttemptFailure {
    fn may_have_run(message: impl Into<String>) -> Self {
        Self { verdict: RunVerdict::MayHaveRun, message: message.into() }
    }
}

/// A response whose head has been received.
#[derive(Debug)]
pub struct ResponseStream {
    /// The response head.
    pub head: Head,
    /// Load of the endpoint, if reported.
    pub load: Option<LoadReport>,
    reader: FrameReader,
}

/// A part of a response.
#[derive(Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// Body bytes.
    Data(Bytes),
    /// End of a complete response.
    End,
}

impl ResponseStream {
    /// Reads the next part; a truncated response or a gap in the sequence is a failure.
    pub async fn next(&mut self) -> Result<ResponsePart, AttemptFailure> {
        self.reader.next_part().await
    }
}

/// Sends a request to the agent at `address`.
pub async fn begin(
    channels: &ChannelCache,
    address: SocketAddr,
    request: ServeRequest,
) -> AttemptStart {
    let request_id = request.request_id.clone();
    let result = channels.endpoint(address).serve(request).await;
    let stream = match result {
        Ok(response) => response.into_inner(),
        Err(status) => return AttemptStart::Failed(read_status(&status)),
    };
    let mut reader = FrameReader { stream, request_id, sequence: 0, body_bytes: 0 };
    match reader.next_frame().await {
        Ok(ServeFrame { part: Some(Part::Refused(refused)), load, .. }) => {
            AttemptStart::Refused(refused.cause(), load)
        }
        Ok(ServeFrame { part: Some(Part::Head(head)), load, .. }) => {
            AttemptStart::Response(Box::new(ResponseStream { head, load, reader }))
        }
        Ok(ServeFrame { part: Some(Part::End(end)), .. }) => {
            let verdict = codec::decode_verdict(end.verdict());
            AttemptStart::Failed(AttemptFailure { verdict, message: end.error })
        }
        Ok(_) => AttemptStart::Failed(AttemptFailure::may_have_run(
            "the response does not start with a head",
        )),
        Err(failure) => AttemptStart::Failed(failure),
    }
}

/// Reads frames and validates their request id and sequence number.
#[derive(Debug)]
struct FrameReader {
    stream: Streaming<ServeFrame>,
    request_id: String,
    sequence: u64,
    body_bytes: u64,
}

impl FrameReader {
    async fn next_frame(&mut self) -> Result<ServeFrame, AttemptFailure> {
        let frame = match self.stream.message().await {
            Ok(Some(frame)) => frame,
            Ok(None) => {
                return Err(AttemptFailure::may_have_run(
                    "the response stream ended without an end frame",
                ));
            }
            Err(status) => return Err(AttemptFailure::may_have_run(status.message())),
        };
        if frame.request_id != self.request_id {
            return Err(AttemptFailure::may_have_run(
                "the response frame carries another request id",
            ));
        }
        if frame.sequence != self.sequence {
            return Err(AttemptFailure::may_have_run(
                "the response has a gap in its frame sequence",
            ));
        }
        self.sequence += 1;
        Ok(frame)
    }

    async fn next_part(&mut self) -> Result<ResponsePart, AttemptFailure> {
        match self.next_frame().await?.part {
            Some(Part::Data(data)) => {
                self.body_bytes += data.body.len() as u64;
                Ok(ResponsePart::Data(data.body))
            }
            Some(Part::End(end)) if end.verdict() == headlatch_wire::Verdict::Ran => {
                if end.body_bytes == self.body_bytes {
                    Ok(ResponsePart::End)
                } else {
                    Err(AttemptFailure::may_have_run("the response body is shorter than announced"))
                }
            }
            Some(Part::End(end)) => {
                // The head was received, so the endpoint did start the request.
                Err(AttemptFailure::may_have_run(end.error))
            }
            _ => Err(AttemptFailure::may_have_run("unexpected frame in the response")),
        }
    }
}

/// Classifies a call that failed before any frame: only a connection failure proves that the
/// request did not run.
fn read_status(status: &Status) -> AttemptFailure {
    let verdict =
        if is_connect_error(status) { RunVerdict::NotRun } else { RunVerdict::MayHaveRun };
    AttemptFailure { verdict, message: status.message().to_owned() }
}

fn is_connect_error(status: &Status) -> bool {
    let first: Option<&(dyn std::error::Error + 'static)> = std::error::Error::source(status);
    std::iter::successors(first, |error| error.source())
        .any(|error| error.is::<tonic::ConnectError>())
}
