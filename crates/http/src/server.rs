//! An HTTP server for a `volo_http` router, with limits and graceful shutdown.
//!
//! `volo_http::server::Server` is not used because it handles signals itself, cannot be stopped by its caller
//! and drops busy connections after 30 s.

use std::{convert::Infallible, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use headlatch_types::quantity::{ByteRate, ByteSize};
use http::StatusCode;
use http_body_util::{BodyExt, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use motore::service::Service;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};
use volo::net::Address;
use volo_http::{
    body::Body, context::ServerContext, request::Request, response::Response, server::Router,
};

use crate::{
    progress::PeerProgress,
    stall::{PeerLimits, StallGuard},
    stop::{StopHandle, StopSignal},
};

/// Pause after a failed `accept`, so that the loop does not spin when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time at the end of a drain for the answers to requests that are still in progress.
const ANSWER_TIME: Duration = Duration::from_millis(200);

/// Limits of one listener.
#[derive(Debug, Clone)]
pub struct HttpLimits {
    /// Largest head of a request; values below 8 KiB, hyper's minimum, are raised to it.
    pub head: ByteSize,
    /// Timeout for receiving the head of a request.
    pub head_time: Duration,
    /// Largest number of open connections; further ones wait to be accepted.
    pub connections: usize,
    /// Drain time for requests in progress on shutdown.
    pub drain: Duration,
    /// Window over which a peer must read at the minimum rate while a response waits to be written.
    pub stall: Duration,
    /// Minimum rate of reading a response.
    pub min_read_rate: ByteRate,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            head: ByteSize::from_bytes(32 << 10),
            head_time: Duration::from_secs(10),
            connections: 4096,
            drain: Duration::from_secs(600),
            stall: Duration::from_secs(10),
            min_read_rate: ByteRate::from_bytes_per_second(2 << 10),
        }
    }
}

impl HttpLimits {
    /// Limits of a listener for health checks and metrics.
    pub fn admin() -> Self {
        Self { connections: 128, head_time: Duration::from_secs(5), ..Self::default() }
    }
}

/// A bound listener and its limits.
#[derive(Debug)]
pub struct HttpServer {
    listener: TcpListener,
    limits: HttpLimits,
}

impl HttpServer {
    /// Binds `address`; port 0 takes a free port.
    pub async fn bind(address: SocketAddr, limits: HttpLimits) -> std::io::Result<Self> {
        Ok(Self { listener: TcpListener::bind(address).await?, limits })
    }

    /// The address that was bound.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves `router` until `signal`, then until no request is in progress or the drain ends. Requests that are
    /// not answered shortly before that get a failure that does not tell whether they have run.
    pub async fn serve(self, router: Router, mut signal: StopSignal) {
        let router = Arc::new(router);
        let permits = Arc::new(Semaphore::new(self.limits.connections));
        let shutdown = GracefulShutdown::new();
        let (end, ending) = StopHandle::new();
        loop {
            let accepted = tokio::select! {
                accepted = accept(&self.listener, &permits) => accepted,
                () = signal.stopped() => break,
            };
            let Some((stream, peer, permit)) = accepted else { continue };
            let connection = connect(stream, peer, router.clone(), &self.limits, &ending);
            let watched = shutdown.watch(connection);
            tokio::spawn(async move {
                let _permit = permit;
                // A disconnecting caller is not an error of the server.
                let _ = watched.await;
            });
        }
        drop(self.listener);
        let mut closing = pin!(shutdown.shutdown());
        let answer_time = ANSWER_TIME.min(self.limits.drain);
        if timeout(self.limits.drain - answer_time, &mut closing).await.is_err() {
            end.stop();
            let _ = timeout(answer_time, closing).await;
        }
    }
}

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, SocketAddr, OwnedSemaphorePermit)> {
    let permit = permits.clone().acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, peer)) => {
            // Avoids the delay of small writes by Nagle's algorithm; a failure only costs latency.
            let _ = stream.set_nodelay(true);
            Some((stream, peer, permit))
        }
        Err(error) => {
            log::warn!("http: accept failed: {error}");
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            None
        }
    }
}

fn connect(
    stream: TcpStream,
    peer: SocketAddr,
    router: Arc<Router>,
    limits: &HttpLimits,
    ending: &StopSignal,
) -> impl hyper_util::server::graceful::GracefulConnection<Error = hyper::Error> + Send + use<> {
    // The time limit of a head is that of hyper, which applies to idle connections as well.
    let peer_limits = PeerLimits {
        stall: limits.stall,
        min_read_rate: limits.min_read_rate,
        head_time: limits.head_time,
    };
    let (progress, ending) = (Arc::new(PeerProgress::default()), ending.clone());
    let stream = StallGuard::new(stream, peer_limits, progress.clone());
    let service = service_fn(move |request: http::Request<Incoming>| {
        progress.begin_request();
        let (router, mut ending) = (router.clone(), ending.clone());
        async move {
            let answer = tokio::select! {
                biased;
                answer = answer(&router, peer, request) => answer,
                () = ending.stopped() => unfinished_answer(),
            };
            Ok::<Response, Infallible>(answer)
        }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_time)
        .max_buf_size(limits.head.bytes().max(8192) as usize)
        .keep_alive(true)
        .serve_connection(TokioIo::new(stream), service)
}

async fn answer(router: &Router, peer: SocketAddr, request: http::Request<Incoming>) -> Response {
    let request: Request = request.map(Body::from_incoming);
    let mut context = ServerContext::new(Address::from(peer));
    match router.call(&mut context, request).await {
        Ok(response) => response,
        Err(never) => match never {},
    }
}

/// Answer to a request that has not ended at the end of the drain time.
fn unfinished_answer() -> Response {
    let mut response = Response::new(Body::from("stopping\n"));
    *response.status_mut() = StatusCode::BAD_GATEWAY;
    response
}

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It exceeds the size limit, whether or not its length was announced.
    #[error("the body is longer than allowed")]
    TooLong,
    /// It was not received in time.
    #[error("the body was not received in time")]
    TooSlow,
    /// The sender closed the connection before the end.
    #[error("the connection closed before the end of the body")]
    Broken,
}

/// Reads a whole body of at most `max_bytes` bytes within `time`.
pub async fn read_body(
    body: Body,
    max_bytes: ByteSize,
    time: Duration,
) -> Result<Bytes, BodyError> {
    let limited = Limited::new(body, max_bytes.bytes() as usize);
    let collected = tokio::time::timeout(time, limited.collect());
    match collected.await {
        Err(_) => Err(BodyError::TooSlow),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(BodyError::TooLong),
        Ok(Err(_)) => Err(BodyError::Broken),
    }
}
