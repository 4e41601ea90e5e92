//! Metadata in the headers of requests and responses, apart from HTTP's own headers.

use std::{fmt, time::Duration};

use headlatch_types::{
    quantity::RequestRate,
    request::SharedParts,
    traffic::{ServerId, WeightVersion},
};
use http::{HeaderMap, HeaderName, StatusCode};

/// Metadata from the headers of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Request id, unchanged.
    pub id: Option<String>,
    /// Time until the caller's deadline.
    pub deadline: Option<Duration>,
    /// API key of the caller.
    pub key: Option<String>,
    /// Number of prompt tokens.
    pub prompt_tokens: Option<u64>,
    /// Largest number of completion tokens.
    pub answer_tokens: Option<u64>,
    /// Last event of a stream that the caller received.
    pub last_event: Option<u64>,
    /// Model that the request names.
    pub model: Option<String>,
    /// Parts of the prompt that other requests may have as well.
    pub shared_parts: SharedParts,
}

/// Metadata that is added to a request before it is forwarded to a server.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ForwardMetadata {
    /// Remaining time until the deadline.
    pub deadline: Option<Duration>,
    /// Server that the request is addressed to.
    pub server: Option<ServerId>,
    /// Name of the caller's tenant.
    pub tenant: Option<String>,
    /// Last event that was forwarded to the caller.
    pub last_event: Option<u64>,
    /// Version of the weights that must be used.
    pub version: Option<WeightVersion>,
    /// Priority at the server; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// A header value, parsed once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ParsedHeader<T> {
    /// The header is missing.
    #[default]
    Absent,
    /// The parsed value.
    Valid(T),
    /// The header is present, but its value cannot be parsed.
    Malformed,
}

/// Metadata from the headers of a response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Id of the request.
    pub id: Option<String>,
    /// The server states that it did not run the request.
    pub not_run: bool,
    /// The address belongs to a different server, or the server holds different weights.
    pub misdirected: bool,
    /// The response carries the stamp of a server.
    pub signed: bool,
    /// Server that answered, where a health check names it.
    pub instance: Option<ServerId>,
    /// Rate limit of the server, for all entries together.
    pub rate_limit: ParsedHeader<RequestRate>,
    /// The server is draining.
    pub draining: ParsedHeader<bool>,
    /// Time for which the server stays cold.
    pub cold: ParsedHeader<Duration>,
    /// Time for which a server that refused the request asks this entry to send no further requests.
    pub retry_after: ParsedHeader<Duration>,
}

/// Header format of a platform.
pub trait HeaderFormat: Send + Sync + fmt::Debug {
    /// Reads the metadata of a request.
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata;
    /// Removes headers that servers must not receive from a request, and sets those that they need.
    fn write_request(&self, headers: &mut HeaderMap, facts: &ForwardMetadata);
    /// Reads the metadata of a response.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;
    /// Names of response headers that neither HTTP nor this format defines.
    fn unknown_response_headers(&self, _headers: &HeaderMap) -> Vec<HeaderName> {
        Vec::new()
    }
    /// Sets the request id on a request or response that headlatch itself generates.
    fn write_id(&self, headers: &mut HeaderMap, request: &str);
}
