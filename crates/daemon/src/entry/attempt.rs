//! One attempt to have a request run at one endpoint.

use std::net::SocketAddr;

use bytes::Bytes;
use headlatch_types::RunVerdict;
use headlatch_wire::{Head, LoadReport, RefusalCause, ServeFrame, ServeRequest, serve_frame::Part};
use tonic::{Status, Streaming};

use crate::node::{channels::ChannelCache, codec};

/// How an attempt began.
#[derive(Debug)]
pub enum AttemptStart {
    /// The endpoint answers.
    Response(Box<ResponseStream>),
    /// The agent refused: the request did not run.
    Refused(RefusalCause, Option<LoadReport>),
    /// It failed.
    Failed(AttemptFailure),
}

/// An attempt that broke off.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct AttemptFailure {
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// What happened.
    pub message: String,
}

impl AttemptFailure {
    fn may_have_run(message: impl Into<String>) -> Self {
        Self { verdict: RunVerdict::MayHaveRun, message: message.into() }
    }
}

/// An answer whose head has come.
#[derive(Debug)]
pub struct ResponseStream {
    /// The head.
    pub head: Head,
    /// How busy the endpoint is.
    pub load: Option<LoadReport>,
    reader: FrameReader,
}

/// The next part of an answer.
#[derive(Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// Bytes of the body.
    Data(Bytes),
    /// The whole answer has come.
    End,
}

impl ResponseStream {
    /// The next part; an answer that breaks off or has gaps is a failure.
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
        Ok(_) => AttemptStart::Failed(AttemptFailure::may_have_run("the answer has no head")),
        Err(failure) => AttemptStart::Failed(failure),
    }
}

/// Reads frames and checks that they belong to the request and follow each other.
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
            Ok(None) => return Err(AttemptFailure::may_have_run("the answer has no end")),
            Err(status) => return Err(AttemptFailure::may_have_run(status.message())),
        };
        if frame.request_id != self.request_id {
            return Err(AttemptFailure::may_have_run("the answer belongs to another request"));
        }
        if frame.sequence != self.sequence {
            return Err(AttemptFailure::may_have_run("the answer has a gap"));
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
                    Err(AttemptFailure::may_have_run("the answer is shorter than it should be"))
                }
            }
            Some(Part::End(end)) => {
                // Its head has come, so that the endpoint did begin.
                Err(AttemptFailure::may_have_run(end.error))
            }
            _ => Err(AttemptFailure::may_have_run("the answer is out of order")),
        }
    }
}

/// A call that failed before any frame: only a failure to connect is certain not to have run.
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
