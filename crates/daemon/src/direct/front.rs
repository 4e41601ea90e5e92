//! Listeners of an entry, for callers and for the admin endpoint.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use headlatch_http::{
    StopSignal,
    stall::{PeerLimit, PeerLimits, StallGuard},
};
use headlatch_types::{quantity::ByteSize, request::QuarantineKey, traffic::ClientLimits};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use serde_json::json;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use super::{
    answer::hold_until_written,
    callers::{CallerConnections, RequestGuard},
    handler,
    state::EntryState,
};
use crate::error::DaemonError;

/// Delay after a failed `accept`, so that running out of file descriptors does not cause a busy
/// loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Send buffer of a caller's connection. The kernel may otherwise take megabytes of an answer that nobody reads, and
/// reports progress of a slow reader only in steps of a third of them.
const SEND_BUFFER_BYTES: u32 = 64 << 10;

/// Connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Largest request head on listeners that are not for callers, in bytes.
const ADMIN_HEAD_BUFFER: usize = 16 << 10;

/// Minimum buffer size that hyper accepts.
const MIN_HEAD_BUFFER: usize = 8 << 10;

/// Added to the idle timeout of kept-alive connections, so that a request sent just before the
/// timeout does not cross the close.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// Added to the time limit of request heads, for delays on the way.
const HEAD_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

pub(super) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Without TCP_NODELAY small frames wait for acknowledgements. A failure to set it
                // only adds latency.
                let _ = stream.set_nodelay(true);
                return stream;
            }
            Err(error) => {
                log::warn!("failed to accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves callers until `signal` fires; then each connection closes once its responses are sent.
pub async fn serve(state: Arc<EntryState>, listener: TcpListener, mut signal: StopSignal) {
    let shutdown = GracefulShutdown::new();
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            () = signal.stopped() => break,
        };
        let limits = state.routes().map(|routes| routes.plan().limits).unwrap_or_default();
        let head = ByteSize::from_bytes(limits.head_bytes as u64);
        let places = state.process_limits.caller_connections(head);
        let guard = tokio::select! {
            guard = state.callers.admit(places) => guard,
            () = signal.stopped() => break,
        };
        let (handled, caller) = (state.clone(), guard.caller.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let (state, caller) = (handled.clone(), caller.clone());
            async move { Ok::<_, Infallible>(handler::handle(state, caller, request).await) }
        });
        let stream =
            StallGuard::new(stream, peer_limits(&state, &limits), guard.caller.progress.clone());
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(limits.idle_ms) + IDLE_TIMEOUT_MARGIN)
            .max_buf_size(limits.head_bytes.max(MIN_HEAD_BUFFER))
            .keep_alive(true)
            .serve_connection(TokioIo::new(stream), service);
        let (watched, id, callers) = (shutdown.watch(connection), guard.id, state.callers.clone());
        let task = tokio::spawn(async move {
            let _guard = guard;
            // Other errors are caused by callers that disconnect.
            if let Some(limit) = watched.await.err().as_ref().and_then(PeerLimit::of) {
                callers.record_closed(limit.into());
            }
        });
        state.callers.set_task(id, task.abort_handle());
    }
    drop(listener);
    shutdown.shutdown().await;
}

fn peer_limits(state: &EntryState, limits: &ClientLimits) -> PeerLimits {
    let direct = &state.settings.direct;
    PeerLimits {
        stall: direct.stall,
        min_read_rate: direct.min_read_rate,
        head_time: Duration::from_millis(limits.head_ms) + HEAD_TIMEOUT_MARGIN,
    }
}

/// Time limit of a request head, and of a connection without a request, on listeners that are not for callers.
const ADMIN_HEAD_TIME: Duration = Duration::from_secs(10);

/// Serves readiness, metrics and the quarantine.
pub async fn serve_admin(state: Arc<EntryState>, listener: TcpListener) {
    let served = state.clone();
    serve_answers(&state, listener, move |method, path| answer_admin(&served, method, path)).await;
}

/// Serves responses that `answer` computes from the method and path; never returns.
pub(super) async fn serve_answers(
    state: &EntryState,
    listener: TcpListener,
    answer: impl Fn(&Method, &str) -> Response<Full<Bytes>> + Send + Sync + 'static,
) {
    let answer = Arc::new(answer);
    let direct = &state.settings.direct;
    let callers = CallerConnections::new(direct.yield_rate, state.metrics.clone());
    let limits = PeerLimits {
        stall: direct.stall,
        min_read_rate: direct.min_read_rate,
        head_time: ADMIN_HEAD_TIME,
    };
    loop {
        let stream = accept(&listener).await;
        let guard = callers.admit(state.process_limits.admin_connections).await;
        let (respond, caller) = (answer.clone(), guard.caller.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let hold = Arc::new(RequestGuard::new(caller.clone()));
            let response = respond(request.method(), request.uri().path());
            let infallible =
                |body: Full<Bytes>| body.map_err(|never| match never {}).boxed_unsync();
            let response = response.map(|body| hold_until_written(infallible(body), hold));
            async move { Ok::<_, Infallible>(response) }
        });
        let stream = StallGuard::new(stream, limits, guard.caller.progress.clone());
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(ADMIN_HEAD_TIME + IDLE_TIMEOUT_MARGIN)
            .max_buf_size(ADMIN_HEAD_BUFFER)
            .serve_connection(TokioIo::new(stream), service);
        let (id, ended) = (guard.id, callers.clone());
        let task = tokio::spawn(async move {
            let _guard = guard;
            // Other errors are caused by clients that disconnect.
            if let Some(limit) = connection.await.err().as_ref().and_then(PeerLimit::of) {
                ended.record_closed(limit.into());
            }
        });
        callers.set_task(id, task.abort_handle());
    }
}

/// Path of the list of quarantines, and prefix of the path of each of them.
const QUARANTINE_PATH: &str = "/quarantine";

fn answer_admin(state: &EntryState, method: &Method, path: &str) -> Response<Full<Bytes>> {
    let (status, text) = match path {
        QUARANTINE_PATH => (StatusCode::OK, show_quarantine(state)),
        path if method == Method::DELETE && path.starts_with(QUARANTINE_PATH) => {
            lift_quarantine(state, path)
        }
        "/metrics" => {
            state.update_age_metrics();
            (StatusCode::OK, state.metrics.text())
        }
        "/healthz" => (StatusCode::OK, "ok\n".to_owned()),
        _ if state.is_ready() => (StatusCode::OK, "ready\n".to_owned()),
        _ => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

/// The quarantined requests and prompt parts as a JSON array.
fn show_quarantine(state: &EntryState) -> String {
    let refused = state.quarantine.refused(state.now());
    let requests = refused.requests.iter().map(|one| {
        json!({
            "content": one.digest.to_string(), "left_s": one.left.as_secs(), "ends": one.ends,
        })
    });
    let parts = refused.parts.iter().map(|one| {
        json!({ "part": one.part.to_string(), "left_s": one.left.as_secs(), "ends": one.ends })
    });
    format!("{}\n", serde_json::Value::from_iter(requests.chain(parts)))
}

/// Lifts the quarantine whose key ends `path`.
fn lift_quarantine(state: &EntryState, path: &str) -> (StatusCode, String) {
    let name = path.trim_start_matches(QUARANTINE_PATH).trim_start_matches('/');
    let Ok(key) = name.parse::<QuarantineKey>() else {
        let text = format!(
            "{QUARANTINE_PATH}/{name}: expected a digest of 16 hexadecimal digits, or part- and a key of 16\n"
        );
        return (StatusCode::BAD_REQUEST, text);
    };
    match state.quarantine.lift(state.now(), key) {
        true => (StatusCode::OK, format!("{key} is served again\n")),
        false => (StatusCode::NOT_FOUND, format!("{key} is not refused\n")),
    }
}

/// Binds a listener.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, Report<DaemonError>> {
    TcpListener::bind(address).await.change_context(DaemonError::Bind(address))
}

/// Binds a listener for callers, whose connections have small send buffers.
pub async fn bind_callers(address: SocketAddr) -> Result<TcpListener, Report<DaemonError>> {
    listen_with_send_buffer(address).change_context(DaemonError::Bind(address))
}

fn listen_with_send_buffer(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the size. Where it can't be set, only the kernel's memory is affected.
    let _ = socket.set_send_buffer_size(SEND_BUFFER_BYTES);
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}
