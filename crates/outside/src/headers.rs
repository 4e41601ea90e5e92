//! What the heads of requests and answers say, apart from HTTP's own headers.

use std::{fmt, time::Duration};

use headlatch_types::{
    quantity::RequestRate,
    traffic::{ServerId, WeightVersion},
};
use http::{HeaderMap, HeaderName, StatusCode};

/// What a request's head says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Its id, exactly as it came.
    pub id: Option<String>,
    /// Time for which the caller waits.
    pub deadline: Option<Duration>,
    /// The key that the caller shows.
    pub key: Option<String>,
    /// Tokens of the prompt.
    pub prompt_tokens: Option<u64>,
    /// Most tokens of the answer.
    pub answer_tokens: Option<u64>,
    /// The last event of a stream that the caller has.
    pub last_event: Option<u64>,
    /// The model that it names.
    pub model: Option<String>,
}

/// What a request to a server says besides what the caller sent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ForwardMetadata {
    /// Time that is left.
    pub deadline: Option<Duration>,
    /// The server that it is meant for.
    pub server: Option<ServerId>,
    /// Name of the caller's tenant.
    pub tenant: Option<String>,
    /// The last event that has been passed on.
    pub last_event: Option<u64>,
    /// The version of weights that must answer.
    pub version: Option<WeightVersion>,
    /// Rank among the requests at the server; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// A header value, parsed once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ParsedHeader<T> {
    /// The header is missing.
    #[default]
    Absent,
    /// Its value.
    Valid(T),
    /// It is there, but its value cannot be parsed.
    Malformed,
}

/// What an answer's head says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// The id of the request that it answers.
    pub id: Option<String>,
    /// The server states that it did not run the request.
    pub not_run: bool,
    /// Another server has the address, or it holds other weights.
    pub misdirected: bool,
    /// The answer is signed by a server.
    pub signed: bool,
    /// Rate limit of the server, for all entries together.
    pub rate_limit: ParsedHeader<RequestRate>,
    /// The server is draining.
    pub draining: ParsedHeader<bool>,
    /// Time for which the server, which refused the request, wants no other from this entry.
    pub retry_after: ParsedHeader<Duration>,
}

/// The headers in which one platform says these things.
pub trait HeaderFormat: Send + Sync + fmt::Debug {
    /// Reads a request's head.
    fn read_request(&self, headers: &HeaderMap) -> RequestMetadata;
    /// Takes out of a request's head what servers must not see, and adds what they must.
    fn write_request(&self, headers: &mut HeaderMap, facts: &ForwardMetadata);
    /// Reads an answer's head.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;
    /// Names of headers in an answer that neither HTTP nor this form defines.
    fn unknown_response_headers(&self, _headers: &HeaderMap) -> Vec<HeaderName> {
        Vec::new()
    }
    /// Marks an answer of our own as belonging to a request.
    fn write_answer(&self, headers: &mut HeaderMap, request: &str);
}
