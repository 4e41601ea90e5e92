//! Connection pool for calls to servers, with one request at a time per connection.
//!
//! A general-purpose pool may send a request on a connection that the server is closing, and then it is unknown
//! whether the request ran. This pool reports requests that were not written, watches idle connections for
//! closure, and closes the connection of an aborted request at once, so that the server stops working on
//! it.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use headlatch_types::{ByteProgress, RunVerdict, quantity::ByteSize};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::AbortHandle, time::Instant};

use crate::{
    receive_meter::{MeteredStream, ReceiveMeter, ResponseBody},
    status::check_status,
    target::CallTarget,
};

/// Longest time for which an idle connection is reused, also if the server allows more.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);

/// Part of the server's keep-alive timeout for which an idle connection is reused, in percent.
const KEEP_ALIVE_PERCENT: u64 = 70;

/// Largest number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Largest read buffer of a connection unless set otherwise. Chunks of weights and lists of servers are read with
/// fewer calls than with a small one.
const DEFAULT_READ_BUFFER: ByteSize = ByteSize::from_bytes(408 << 10);

/// Largest request body after which a connection may be reused: a server may respond before it has read all
/// of a longer one.
const MAX_REUSABLE_BODY_BYTES: usize = 32 << 10;

/// A call that failed without a complete response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct ExchangeError {
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// What happened.
    pub message: String,
    /// Whether no connection was established.
    pub connecting: bool,
    /// Whether the connection was refused, so the peer's box is up but nothing listens on the port.
    pub refused: bool,
    /// Whether an established connection timed out.
    pub silent: bool,
}

impl ExchangeError {
    fn not_sent(message: impl Into<String>, connecting: bool) -> Self {
        let verdict = RunVerdict::NotRun;
        Self { verdict, message: message.into(), connecting, refused: false, silent: false }
    }

    fn lost(message: impl Into<String>) -> Self {
        let verdict = RunVerdict::MayHaveRun;
        Self { verdict, message: message.into(), connecting: false, refused: false, silent: false }
    }

    fn silent(message: impl Into<String>) -> Self {
        Self { silent: true, ..Self::lost(message) }
    }
}

/// Which connection a request may use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ConnectionChoice {
    /// An idle connection, if there is one.
    #[default]
    Kept,
    /// A new connection, which cannot carry a late response to an earlier request.
    Fresh,
}

/// A connection in use; it is closed when this is dropped.
#[derive(Debug)]
pub struct ActiveConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    meter: Arc<ReceiveMeter>,
    _driver: DriverGuard,
    idle_limit: Duration,
    reusable: bool,
}

/// Aborts the task that drives a connection, and so closes the connection, when dropped.
#[derive(Debug)]
struct DriverGuard(AbortHandle);

impl Drop for DriverGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    held: ActiveConnection,
    /// When its last response was complete.
    since: Instant,
    until: Instant,
}

/// Bounds on what the connections of a pool hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolLimits {
    /// Largest read buffer of a connection, and so the largest response head.
    pub read_buffer: ByteSize,
    /// Largest number of idle connections to all addresses together.
    pub idle: usize,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self { read_buffer: DEFAULT_READ_BUFFER, idle: usize::MAX }
    }
}

/// A pool of connections to any number of addresses.
#[derive(Debug, Default)]
pub struct Connections {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    limits: PoolLimits,
}

impl Connections {
    /// A pool with `limits`.
    pub fn new(limits: PoolLimits) -> Self {
        Self { idle: Mutex::default(), limits }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    /// Returns a connection to `address`, established within `time`, and whether it is new.
    pub async fn get(
        &self,
        address: SocketAddr,
        choice: ConnectionChoice,
        time: Duration,
    ) -> Result<(ActiveConnection, bool), ExchangeError> {
        if choice == ConnectionChoice::Kept
            && let Some(held) = self.take_idle(address)
        {
            return Ok((held, false));
        }
        let opened = tokio::time::timeout(time, open(address, self.limits.read_buffer)).await;
        let opened =
            opened.map_err(|_| ExchangeError::not_sent("no connection came up in time", true))?;
        Ok((opened?, true))
    }

    fn take_idle(&self, address: SocketAddr) -> Option<ActiveConnection> {
        let now = Instant::now();
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(connection) = connections.pop() {
            if connection.until > now && connection.held.sender.is_ready() {
                return Some(connection.held);
            }
        }
        idle.remove(&address);
        None
    }

    /// Returns a connection to the pool after its response has been read completely.
    pub fn release(&self, held: ActiveConnection) {
        if !held.reusable || held.sender.is_closed() {
            return;
        }
        let since = Instant::now();
        let until = since + held.idle_limit;
        let mut idle = self.lock();
        if idle.values().map(Vec::len).sum::<usize>() >= self.limits.idle {
            return;
        }
        let connections = idle.entry(held.address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(IdleConnection { held, since, until });
        }
    }

    /// Closes idle connections to `address` without a response since `started`, when a call started that
    /// timed out on a reused connection.
    ///
    /// All open connections may be dropped at once without being closed, while new ones work. Without this,
    /// each of the idle ones would cost a lost call to detect.
    pub fn close_stale(&self, address: SocketAddr, started: Instant) {
        if let Some(connections) = self.lock().get_mut(&address) {
            connections.retain(|one| one.since > started);
        }
    }

    /// Closes idle connections that have expired or whose address is not `wanted`.
    pub fn retain(&self, wanted: impl Fn(&SocketAddr) -> bool) {
        let now = Instant::now();
        let mut idle = self.lock();
        idle.retain(|address, connections| {
            connections.retain(|one| one.until > now && !one.held.sender.is_closed());
            !connections.is_empty() && wanted(address)
        });
    }

    /// Sends a request and reads the whole response, within `time` and up to `max_bytes` bytes.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: CallRequest,
        max_bytes: usize,
        time: Duration,
    ) -> Result<CallResponse, ExchangeError> {
        let late = || ExchangeError::silent("no answer in time");
        let (started, is_kept) = (Instant::now(), !request.closes);
        let called =
            tokio::time::timeout(time, self.call_untimed(address, request, max_bytes, time));
        let answer = called.await.unwrap_or_else(|_| Err(late()));
        if is_kept && answer.as_ref().is_err_and(|error| error.silent) {
            self.close_stale(address, started);
        }
        answer
    }

    async fn call_untimed(
        &self,
        address: SocketAddr,
        request: CallRequest,
        max_bytes: usize,
        time: Duration,
    ) -> Result<CallResponse, ExchangeError> {
        let choice = match request.closes {
            true => ConnectionChoice::Fresh,
            false => ConnectionChoice::Kept,
        };
        let idle_timeout = request.idle_timeout.unwrap_or(time);
        let (mut held, _) = self.get(address, choice, idle_timeout).await?;
        let uri: Uri = request.target.as_str().parse().map_err(|error| {
            ExchangeError::not_sent(format!("{}: {error}", request.target), false)
        })?;
        let mut headers = request.headers;
        if let Ok(host) = address.to_string().parse() {
            headers.insert(header::HOST, host);
        }
        let sent = held.send(request.method, uri, headers, request.body);
        let answer = with_timeout(idle_timeout, sent).await??;
        let (parts, body) = answer.into_parts();
        let body =
            read_to_end(Limited::new(body, max_bytes), idle_timeout, &request.progress).await?;
        if !request.closes {
            self.release(held);
        }
        Ok(CallResponse { status: parts.status, headers: parts.headers, body })
    }
}

/// A request that headlatch itself sends to an external system.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: CallTarget,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether a new connection is used and closed after the response.
    pub closes: bool,
    /// Time without received data after which the call is aborted; the time limit of the call if none.
    pub idle_timeout: Option<Duration>,
    /// Counts the bytes received of the response body.
    pub progress: ByteProgress,
}

impl CallRequest {
    /// A GET of `target`.
    pub fn get(target: impl Into<CallTarget>) -> Self {
        Self {
            method: Method::GET,
            target: target.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            closes: false,
            idle_timeout: None,
            progress: ByteProgress::default(),
        }
    }

    /// Sets the method, headers and body.
    pub fn sending(self, method: Method, headers: HeaderMap, body: Bytes) -> Self {
        Self { method, headers, body, ..self }
    }

    /// Uses a new connection, which is closed after the response.
    pub fn closing(self) -> Self {
        Self { closes: true, ..self }
    }

    /// Aborts the call when no data is received for `idle_timeout`.
    pub fn with_idle_timeout(self, idle_timeout: Duration) -> Self {
        Self { idle_timeout: Some(idle_timeout), ..self }
    }

    /// Counts the bytes received of the response body in `progress`.
    pub fn with_progress(self, progress: ByteProgress) -> Self {
        Self { progress, ..self }
    }
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct CallResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

async fn with_timeout<T>(
    idle_timeout: Duration,
    step: impl Future<Output = T>,
) -> Result<T, ExchangeError> {
    let silent = |_| ExchangeError::silent(format!("silent for {} ms", idle_timeout.as_millis()));
    tokio::time::timeout(idle_timeout, step).await.map_err(silent)
}

/// Reads a body to its end; fails if no data is received for `idle_timeout`, however long the whole takes.
async fn read_to_end(
    mut body: Limited<ResponseBody>,
    idle_timeout: Duration,
    progress: &ByteProgress,
) -> Result<Bytes, ExchangeError> {
    let mut whole = BytesMut::new();
    while let Some(frame) = with_timeout(idle_timeout, body.frame()).await? {
        let frame = frame.map_err(|error| ExchangeError::lost(with_causes(&*error)))?;
        if let Ok(data) = frame.into_data() {
            progress.add(data.len());
            whole.extend_from_slice(&data);
        }
    }
    Ok(whole.freeze())
}

/// An error and what it was caused by.
fn with_causes(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(error.source(), |cause| cause.source());
    causes.fold(error.to_string(), |text, cause| format!("{text}: {cause}"))
}

async fn open(
    address: SocketAddr,
    read_buffer: ByteSize,
) -> Result<ActiveConnection, ExchangeError> {
    let failure = |message: String| ExchangeError::not_sent(message, true);
    let stream = TcpStream::connect(address).await.map_err(|error| ExchangeError {
        refused: error.kind() == std::io::ErrorKind::ConnectionRefused,
        ..failure(format!("{address}: {error}"))
    })?;
    // Avoids the delay of small writes by Nagle's algorithm; a failure only costs latency.
    let _ = stream.set_nodelay(true);
    let meter = Arc::new(ReceiveMeter::new(read_buffer));
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(read_buffer.bytes() as usize)
        .handshake(TokioIo::new(MeteredStream::new(stream, meter.clone())))
        .await
        .map_err(|error| failure(error.to_string()))?;
    let task = tokio::spawn(async move {
        // Errors are reported to the task that waits for the response.
        let _ = connection.await;
    });
    let driver = DriverGuard(task.abort_handle());
    Ok(ActiveConnection {
        address,
        sender,
        meter,
        _driver: driver,
        idle_limit: MAX_IDLE_TIME,
        reusable: true,
    })
}

impl ActiveConnection {
    /// Whether the server has closed the connection, as far as this process has noticed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and returns the response with its body still to be read.
    pub async fn send(
        &mut self,
        method: Method,
        uri: Uri,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Response<ResponseBody>, ExchangeError> {
        if body.len() > MAX_REUSABLE_BODY_BYTES {
            self.reusable = false;
        }
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        *request.headers_mut() = headers;
        self.meter.begin_part();
        let sent = self.sender.try_send_request(request).await;
        let answer = sent.map_err(|mut error| match error.take_message() {
            Some(_) => ExchangeError::not_sent(
                "the connection was closed before the request was sent",
                false,
            ),
            None => ExchangeError::lost(with_causes(error.error())),
        })?;
        check_status(answer.status()).map_err(|error| ExchangeError::lost(error.to_string()))?;
        self.meter.begin_part();
        self.update_keep_alive(answer.headers());
        Ok(answer.map(|body| ResponseBody::new(body, self.meter.clone())))
    }

    fn update_keep_alive(&mut self, headers: &HeaderMap) {
        let closes = headers
            .get(header::CONNECTION)
            .and_then(|value| value.to_str().ok())
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
        if closes {
            self.reusable = false;
        }
        let granted = headers
            .get("keep-alive")
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.split("timeout=").nth(1))
            .and_then(|rest| rest.split(|c: char| !c.is_ascii_digit()).next())
            .and_then(|seconds| seconds.parse::<u64>().ok());
        if let Some(seconds) = granted {
            self.idle_limit =
                Duration::from_millis(seconds * 10 * KEEP_ALIVE_PERCENT).min(MAX_IDLE_TIME);
        }
    }
}
