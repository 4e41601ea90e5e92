//! Kept connections to servers, one request at a time on each.
//!
//! A library's pool may send a request on a connection that its server is closing, and then
//! nobody can tell whether it ran. Here a request that was not written at all comes back as such,
//! every connection is watched while it rests, and whatever is given up is closed at once, so that
//! the server stops working on it.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use headlatch_types::{ByteProgress, RunVerdict};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::AbortHandle, time::Instant};

/// Time for which a connection rests at most where its server says nothing.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);

/// Part of the rest that a server grants which is used, in percent.
const KEEP_ALIVE_PERCENT: u64 = 70;

/// Connections that rest for one address at most.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Largest body that is sent on a kept connection: a server may answer before it has read all of a
/// longer one.
const MAX_REUSABLE_BODY_BYTES: usize = 32 << 10;

/// A call that brought no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct ExchangeError {
    /// Whether the request may have run.
    pub verdict: RunVerdict,
    /// What happened.
    pub message: String,
    /// Whether no connection came up.
    pub connecting: bool,
    /// Whether the other side's machine answered that nobody listens there.
    pub refused: bool,
    /// Whether nothing came in time on a connection that was up.
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
    /// One that has rested, if there is one.
    #[default]
    Kept,
    /// A new one: a late answer to an earlier request cannot be on it.
    Fresh,
}

/// A connection in use; it is closed when this is dropped.
#[derive(Debug)]
pub struct ActiveConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    _driver: DriverGuard,
    idle_limit: Duration,
    reusable: bool,
}

/// Ends a connection's task, and with it the connection, when dropped.
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
    /// When it brought an answer last.
    since: Instant,
    until: Instant,
}

/// Connections to any number of addresses.
#[derive(Debug, Default)]
pub struct Connections {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl Connections {
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    /// A connection to `address` that is up within `time`, and whether it is new.
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
        let opened = tokio::time::timeout(time, open(address)).await;
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

    /// Lets a connection rest whose answer has been read to its end.
    pub fn release(&self, held: ActiveConnection) {
        if !held.reusable || held.sender.is_closed() {
            return;
        }
        let since = Instant::now();
        let until = since + held.idle_limit;
        let mut idle = self.lock();
        let connections = idle.entry(held.address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(IdleConnection { held, since, until });
        }
    }

    /// Closes what rests for `address` and has brought no answer since `begun`, when a call began
    /// that was met with silence on a kept connection.
    ///
    /// Open connections may go silent for good, all at once, while new ones work: each of those that
    /// rested would be found out by a call of its own, which is lost.
    pub fn close_stale(&self, address: SocketAddr, started: Instant) {
        if let Some(connections) = self.lock().get_mut(&address) {
            connections.retain(|one| one.since > started);
        }
    }

    /// Closes what rests for addresses that are not wanted any more, or has rested too long.
    pub fn retain(&self, wanted: impl Fn(&SocketAddr) -> bool) {
        let now = Instant::now();
        let mut idle = self.lock();
        idle.retain(|address, connections| {
            connections.retain(|one| one.until > now && !one.held.sender.is_closed());
            !connections.is_empty() && wanted(address)
        });
    }

    /// Sends a request and reads the whole answer, within `time` and up to `most` bytes.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: CallRequest,
        most: usize,
        time: Duration,
    ) -> Result<CallResponse, ExchangeError> {
        let late = || ExchangeError::silent("no answer in time");
        let (started, is_kept) = (Instant::now(), !request.closes);
        let called = tokio::time::timeout(time, self.call_untimed(address, request, most, time));
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
        most: usize,
        time: Duration,
    ) -> Result<CallResponse, ExchangeError> {
        let choice = match request.closes {
            true => ConnectionChoice::Fresh,
            false => ConnectionChoice::Kept,
        };
        let silence = request.silence.unwrap_or(time);
        let (mut held, _) = self.get(address, choice, silence).await?;
        let uri: Uri = request.path.parse().map_err(|error| {
            ExchangeError::not_sent(format!("{}: {error}", request.path), false)
        })?;
        let mut headers = request.headers;
        if let Ok(host) = address.to_string().parse() {
            headers.insert(header::HOST, host);
        }
        let sent = held.send(request.method, uri, headers, request.body);
        let answer = with_timeout(silence, sent).await??;
        let (parts, body) = answer.into_parts();
        let body = read_to_end(Limited::new(body, most), silence, &request.progress).await?;
        if !request.closes {
            self.release(held);
        }
        Ok(CallResponse { status: parts.status, headers: parts.headers, body })
    }
}

/// A request of headlatch's own to an outside system.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// The connection is closed after the answer.
    pub closes: bool,
    /// Time without a byte after which the answer is given up; none for the whole time of the call.
    pub silence: Option<Duration>,
    /// Is told what has come of the answer's body.
    pub progress: ByteProgress,
}

impl CallRequest {
    /// A GET of `path`.
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            closes: false,
            silence: None,
            progress: ByteProgress::default(),
        }
    }

    /// The same path by another method, with headers and a body.
    pub fn sending(self, method: Method, headers: HeaderMap, body: Bytes) -> Self {
        Self { method, headers, body, ..self }
    }

    /// The same over a connection of its own, which is closed after the answer.
    pub fn closing(self) -> Self {
        Self { closes: true, ..self }
    }

    /// The same, given up when nothing has come for `silence`.
    pub fn with_idle_timeout(self, silence: Duration) -> Self {
        Self { silence: Some(silence), ..self }
    }

    /// The same, with `progress` being told what has come of the answer.
    pub fn with_progress(self, progress: ByteProgress) -> Self {
        Self { progress, ..self }
    }
}

/// A whole answer.
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
    silence: Duration,
    step: impl Future<Output = T>,
) -> Result<T, ExchangeError> {
    let silent = |_| ExchangeError::silent(format!("silent for {} ms", silence.as_millis()));
    tokio::time::timeout(silence, step).await.map_err(silent)
}

/// Reads a body to its end; it may be long in coming, but not silent for `silence`.
async fn read_to_end(
    mut body: Limited<Incoming>,
    silence: Duration,
    progress: &ByteProgress,
) -> Result<Bytes, ExchangeError> {
    let mut whole = BytesMut::new();
    while let Some(frame) = with_timeout(silence, body.frame()).await? {
        let frame = frame.map_err(|error| ExchangeError::lost(error.to_string()))?;
        if let Ok(data) = frame.into_data() {
            progress.add(data.len());
            whole.extend_from_slice(&data);
        }
    }
    Ok(whole.freeze())
}

async fn open(address: SocketAddr) -> Result<ActiveConnection, ExchangeError> {
    let failure = |message: String| ExchangeError::not_sent(message, true);
    let stream = TcpStream::connect(address).await.map_err(|error| ExchangeError {
        refused: error.kind() == std::io::ErrorKind::ConnectionRefused,
        ..failure(format!("{address}: {error}"))
    })?;
    // Without it small writes wait for acknowledgements; a failure only costs time.
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| failure(error.to_string()))?;
    let task = tokio::spawn(async move {
        // What goes wrong is told to whoever waits for the answer.
        let _ = connection.await;
    });
    let driver = DriverGuard(task.abort_handle());
    Ok(ActiveConnection {
        address,
        sender,
        _driver: driver,
        idle_limit: MAX_IDLE_TIME,
        reusable: true,
    })
}

impl ActiveConnection {
    /// Sends a request and returns the answer's head with its body to come.
    pub async fn send(
        &mut self,
        method: Method,
        uri: Uri,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Response<Incoming>, ExchangeError> {
        if body.len() > MAX_REUSABLE_BODY_BYTES {
            self.reusable = false;
        }
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        *request.headers_mut() = headers;
        let sent = self.sender.try_send_request(request).await;
        let answer = sent.map_err(|mut error| match error.take_message() {
            Some(_) => ExchangeError::not_sent("the connection had closed", false),
            None => ExchangeError::lost(error.error().to_string()),
        })?;
        self.update_keep_alive(answer.headers());
        Ok(answer)
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
