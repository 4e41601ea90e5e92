//! An HTTP client that reports whether a failed call may have run.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use headlatch_types::{RunVerdict, quantity::ByteSize};
use http::{HeaderMap, Method, StatusCode};
use volo_http::{
    body::Body,
    client::Client,
    error::{ClientError, client::ErrorKind},
    request::Request,
    response::Response,
};

use crate::{
    server::{BodyError, read_body},
    status::check_status,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Whether a call that failed may have run.
///
/// volo-http 0.5.7 reports a failed connect as a request error. It differs from a failure after sending only in
/// its source, which is an I/O error instead of a hyper error.
fn verdict_of(error: &ClientError) -> RunVerdict {
    let source = std::error::Error::source(error);
    let connecting = source.is_some_and(|source| source.is::<std::io::Error>());
    match error.kind() {
        ErrorKind::Connect | ErrorKind::Builder | ErrorKind::Context => RunVerdict::NotRun,
        ErrorKind::Request if connecting => RunVerdict::NotRun,
        _ => RunVerdict::MayHaveRun,
    }
}

/// A call that failed without a response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct CallError {
    /// Whether it may have run.
    pub verdict: RunVerdict,
    /// What happened.
    pub message: String,
}

/// Calls HTTP services by IP address.
#[derive(Clone)]
pub struct HttpCaller {
    client: Client,
}

impl std::fmt::Debug for HttpCaller {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("HttpCaller")
    }
}

impl HttpCaller {
    /// A client that reuses connections.
    pub fn pooled() -> Self {
        Self::build(true)
    }

    /// A client that opens a new connection for every call.
    ///
    /// The peer may close a reused connection while a call is being sent on it, and then it is unknown
    /// whether the call ran. A new connection fails before anything is sent.
    pub fn fresh() -> Self {
        Self::build(false)
    }

    fn build(pooled: bool) -> Self {
        let mut builder = Client::builder();
        builder.set_connect_timeout(CONNECT_TIMEOUT);
        if !pooled {
            builder.set_max_idle_per_host(0);
        }
        let client = builder.build().expect("a client without settings of its own builds");
        Self { client }
    }

    /// Sends a request to `address` and returns the response with its body still to be read.
    pub async fn send(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Response, CallError> {
        let not_built = |message: String| CallError { verdict: RunVerdict::NotRun, message };
        let uri = format!("http://{address}{path}");
        let mut request = Request::builder()
            .method(method.clone())
            .uri(&uri)
            .body(Body::from(body))
            .map_err(|error| not_built(format!("{method} {uri}: {error}")))?;
        request.headers_mut().extend(headers);
        let (parts, body) = request.into_parts();
        let mut builder = self.client.request(parts.method, parts.uri);
        builder.headers_mut().extend(parts.headers);
        let response = builder.body(body).send().await.map_err(|error| {
            let verdict = verdict_of(&error);
            CallError { verdict, message: format!("{method} {uri}: {error}") }
        })?;
        check_status(response.status()).map_err(|error| CallError {
            verdict: RunVerdict::MayHaveRun,
            message: format!("{method} {uri}: {error}"),
        })?;
        Ok(response)
    }

    /// Sends a request and reads the whole response, of up to `max_bytes` bytes. `time` limits the wait for the
    /// head and then again the reading of the body.
    pub async fn call(
        &self,
        address: SocketAddr,
        (method, path): (Method, &str),
        headers: HeaderMap,
        body: Bytes,
        (max_bytes, time): (ByteSize, Duration),
    ) -> Result<(StatusCode, HeaderMap, Bytes), CallError> {
        let late = |verdict| CallError { verdict, message: format!("{path}: no answer in time") };
        let sent = self.send(address, method, path, headers, body);
        let response =
            tokio::time::timeout(time, sent).await.map_err(|_| late(RunVerdict::MayHaveRun))??;
        let (parts, body) = response.into_parts();
        let body = read_body(body, max_bytes, time).await.map_err(|error: BodyError| {
            CallError { verdict: RunVerdict::MayHaveRun, message: format!("{path}: {error}") }
        })?;
        Ok((parts.status, parts.headers, body))
    }
}
