//! Responses to callers.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use headlatch_types::RunVerdict;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};

/// Why a response body ended early.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of a response.
pub type AnswerBody = UnsyncBoxBody<Bytes, BodyError>;

/// Hop-by-hop headers.
const CONNECTION_HEADERS: [HeaderName; 6] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::PROXY_AUTHENTICATE,
];

/// A body that is completely in memory.
pub fn full_body(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Bytes of an answer, and what they keep.
struct HeldBytes<H> {
    bytes: Bytes,
    _hold: Arc<H>,
}

impl<H> AsRef<[u8]> for HeldBytes<H> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Keeps `hold` until the last byte of `body` has been written. A connection drops the body of an answer as soon as it
/// has taken the last frame, but the bytes of a frame only once they have been written.
pub fn hold_until_written<H: Send + Sync + 'static>(body: AnswerBody, hold: Arc<H>) -> AnswerBody {
    body.map_frame(move |frame| {
        frame.map_data(|bytes| Bytes::from_owner(HeldBytes { bytes, _hold: hold.clone() }))
    })
    .boxed_unsync()
}

/// Removes hop-by-hop headers, including those that `Connection` names.
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in CONNECTION_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// Statuses by which an entry tells callers that a request has not run and never will, so that they may send it
/// again whatever it does.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Whether callers take `status` for a promise that the request has not run.
pub fn promises_not_run(status: StatusCode) -> bool {
    NOT_RUN_STATUSES.contains(&status)
}

/// Response that the entry generates itself because a request was refused or failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ErrorResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Cause, for logs and metrics.
    pub cause: &'static str,
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// When the caller may retry.
    pub retry_after: Option<Duration>,
}

impl ErrorResponse {
    /// The request has certainly not run; the caller may retry it.
    pub fn refused(cause: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            cause,
            verdict: RunVerdict::NotRun,
            retry_after: Some(retry_after),
        }
    }

    /// The request is invalid or not permitted.
    pub fn denied(status: StatusCode, cause: &'static str) -> Self {
        Self { status, cause, verdict: RunVerdict::NotRun, retry_after: None }
    }

    /// It is unknown whether the request has run.
    pub fn outcome_unknown(status: StatusCode, cause: &'static str) -> Self {
        Self { status, cause, verdict: RunVerdict::MayHaveRun, retry_after: None }
    }

    /// Converts this to an HTTP response.
    pub fn response(&self) -> Response<AnswerBody> {
        let mut response = Response::new(full_body(Bytes::from(format!("{}\n", self.cause))));
        *response.status_mut() = self.status;
        if let Some(rest) = self.retry_after {
            let seconds = format!("{:.2}", rest.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
