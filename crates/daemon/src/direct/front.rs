//! The listeners of an entry: callers, readiness, metrics.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use headlatch_core::direct::request_digest::RequestDigest;
use headlatch_http::{StopSignal, stall::StallGuard};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};

use super::{handler, state::EntryState};

/// Pause after a failed `accept`, so that a lack of descriptors does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Least buffer that hyper takes for a head.
const MIN_HEAD_BUFFER: usize = 8 << 10;

/// Added to the time that a kept connection may rest, so that a caller's last request within that
/// time does not cross the close.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

pub(super) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Without it small frames wait for acknowledgements; a failure only costs time.
                let _ = stream.set_nodelay(true);
                return stream;
            }
            Err(error) => {
                log::warn!("front: accept failed, {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves callers until `signal`; then connections end as soon as their answers are out.
pub async fn serve(state: Arc<EntryState>, listener: TcpListener, mut signal: StopSignal) {
    let shutdown = GracefulShutdown::new();
    let stall = state.settings.direct.stall;
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            () = signal.stopped() => break,
        };
        let limits = state.routes().map(|routes| routes.plan().limits).unwrap_or_default();
        let handled = state.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let state = handled.clone();
            async move { Ok::<_, Infallible>(handler::handle(state, request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(limits.idle_ms) + IDLE_TIMEOUT_MARGIN)
            .max_buf_size(limits.head_bytes.max(MIN_HEAD_BUFFER))
            .keep_alive(true)
            .serve_connection(TokioIo::new(StallGuard::new(stream, stall)), service);
        let watched = shutdown.watch(connection);
        tokio::spawn(async move {
            // A caller that goes away is no error of ours.
            let _ = watched.await;
        });
    }
    drop(listener);
    shutdown.shutdown().await;
}

/// Answers questions for readiness and metrics.
pub async fn serve_admin(state: Arc<EntryState>, listener: TcpListener) {
    serve_answers(listener, move |method, path| answer_admin(&state, method, path)).await;
}

/// Answers questions, each by what `answer` gives for its method and path, for ever.
pub(super) async fn serve_answers(
    listener: TcpListener,
    answer: impl Fn(&Method, &str) -> Response<Full<Bytes>> + Send + Sync + 'static,
) {
    let answer = Arc::new(answer);
    loop {
        let stream = accept(&listener).await;
        let asked = answer.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let answer = asked(request.method(), request.uri().path());
            async move { Ok::<_, Infallible>(answer) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            // Whoever asks may go away.
            let _ = connection.await;
        });
    }
}

/// Path of the requests that are refused, and before the digest of one.
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

/// The requests that are refused, as a JSON list.
fn show_quarantine(state: &EntryState) -> String {
    let refused = state.quarantine.refused(state.now());
    let shown = refused.iter().map(|one| {
        json!({
            "content": one.digest.to_string(), "left_s": one.left.as_secs(), "ends": one.ends,
        })
    });
    format!("{}\n", serde_json::Value::from_iter(shown))
}

/// Has the request whose digest ends `path` served again.
fn lift_quarantine(state: &EntryState, path: &str) -> (StatusCode, String) {
    let name = path.trim_start_matches(QUARANTINE_PATH).trim_start_matches('/');
    let Ok(digest) = name.parse::<RequestDigest>() else {
        let text = format!("{QUARANTINE_PATH}/{name}: a digest has 16 hexadecimal digits\n");
        return (StatusCode::BAD_REQUEST, text);
    };
    match state.quarantine.lift(state.now(), digest) {
        true => (StatusCode::OK, format!("{digest} is served again\n")),
        false => (StatusCode::NOT_FOUND, format!("{digest} is not refused\n")),
    }
}

/// Binds an address.
pub async fn bind(
    address: SocketAddr,
) -> Result<TcpListener, error_stack::Report<crate::error::DaemonError>> {
    use error_stack::ResultExt;
    TcpListener::bind(address).await.change_context(crate::error::DaemonError::Bind(address))
}
