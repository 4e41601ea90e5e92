//! Responses to callers, each with the request id and a verdict.

use std::time::Duration;

use bytes::Bytes;
use headlatch_core::admission::RefusalReason;
use headlatch_types::{RunVerdict, id::RequestId};
use headlatch_wire::Head;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use volo_http::{body::Body, response::Response};

use super::{
    dispatch::{DispatchFailure, NOT_SERVING_RETRY_AFTER},
    openai::ApiError,
};
use crate::agent::serve::decode_headers;

/// Header with the request id.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Header with the verdict.
///
/// The head of a stream is sent before the outcome is known, so the header says `may-have-run`; a
/// comment line at the end of the stream carries the final verdict.
pub const VERDICT: HeaderName = HeaderName::from_static("x-headlatch-verdict");

/// `Retry-After` value for requests refused because of load.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Adds the request id and verdict headers.
pub fn stamp(response: &mut Response, id: &RequestId, verdict: RunVerdict) {
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        headers.insert(REQUEST_ID, value);
    }
    headers.insert(VERDICT, HeaderValue::from_static(verdict.as_str()));
}

/// Builds a JSON response.
pub fn json(status: StatusCode, value: &serde_json::Value) -> Response {
    let mut response = Response::new(Body::from(value.to_string()));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Builds an error response with an optional `Retry-After` header.
pub fn error(error: &ApiError, retry: Option<Duration>) -> Response {
    let mut response = json(error.status, &error.body());
    if let Some(retry) = retry {
        let seconds = retry.as_secs().max(1);
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

/// Builds the response to the caller from an endpoint's response head and a body.
pub fn from_head(head: &Head, body: Body) -> Response {
    let mut response = Response::new(body);
    let status = u16::try_from(head.status).ok().and_then(|code| StatusCode::from_u16(code).ok());
    *response.status_mut() = status.unwrap_or(StatusCode::BAD_GATEWAY);
    let headers: HeaderMap = decode_headers(&head.headers);
    response.headers_mut().extend(headers);
    response
}

/// The error for a request refused at admission.
pub fn refusal(reason: RefusalReason) -> (ApiError, Option<Duration>) {
    let message = match reason {
        RefusalReason::QueueFull => "The request queue is full. Try again later.",
        RefusalReason::QueueTimeout => "No endpoint became free in time. Try again later.",
    };
    let error = ApiError {
        status: StatusCode::TOO_MANY_REQUESTS,
        kind: "rate_limit_error",
        param: None,
        code: Some("overloaded"),
        message: message.to_owned(),
    };
    (error, Some(OVERLOAD_RETRY_AFTER))
}

/// The error for a request that could not be answered by an endpoint.
pub fn failure(failure: &DispatchFailure) -> (ApiError, Option<Duration>) {
    let server = |status: StatusCode, code: &'static str, message: String| ApiError {
        status,
        kind: "server_error",
        param: None,
        code: Some(code),
        message,
    };
    match failure {
        DispatchFailure::NotServing => {
            let message = "No endpoint serves this at the moment. Try again later.".to_owned();
            let error = server(StatusCode::SERVICE_UNAVAILABLE, "not_serving", message);
            (error, Some(NOT_SERVING_RETRY_AFTER))
        }
        DispatchFailure::Busy => refusal(RefusalReason::QueueFull),
        DispatchFailure::KeyInProgress => {
            let message = "A request with this key is in progress. Retry to get its result.";
            let error = server(StatusCode::CONFLICT, "key_in_progress", message.to_owned());
            (error, Some(OVERLOAD_RETRY_AFTER))
        }
        DispatchFailure::KeySpent => {
            let message = "A request with this key has run, or may have run; this one did not.";
            (server(StatusCode::CONFLICT, "key_spent", message.to_owned()), None)
        }
        DispatchFailure::Failed(failure) if failure.verdict == RunVerdict::NotRun => {
            let message = format!("The request did not run: {}. Try again later.", failure.message);
            let error = server(StatusCode::SERVICE_UNAVAILABLE, "not_run", message);
            (error, Some(OVERLOAD_RETRY_AFTER))
        }
        DispatchFailure::Failed(failure) => {
            let message = format!("The response was lost; the request may have run: {failure}.");
            (server(StatusCode::BAD_GATEWAY, "answer_lost", message), None)
        }
    }
}

/// The final event of a stream that cannot be completed.
pub fn error_event(message: &str) -> Bytes {
    let error = ApiError {
        status: StatusCode::BAD_GATEWAY,
        kind: "server_error",
        param: None,
        code: Some("stream_broken"),
        message: format!("The response ended before it was complete: {message}."),
    };
    Bytes::from(format!("data: {}\n\n", error.body()))
}

/// The SSE comment with the final verdict of a stream.
pub fn verdict_comment(verdict: RunVerdict) -> Bytes {
    Bytes::from(format!(": verdict {verdict}\n\n"))
}
