//! Health check and metrics endpoints of a daemon.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use http::{HeaderValue, StatusCode, header};
use volo_http::{
    body::Body,
    response::Response,
    server::{Router, route::get},
};

use super::NodeContext;

/// Readiness of a daemon, as reported by `/readyz`.
#[derive(Debug, Clone, Default)]
pub struct ReadyFlag(Arc<AtomicBool>);

impl ReadyFlag {
    /// Sets the readiness.
    pub fn set(&self, ready: bool) {
        self.0.store(ready, Ordering::Relaxed);
    }

    /// Whether the daemon is ready.
    pub fn is_ready(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Adds `/healthz`, `/readyz` and `/metrics` to a router.
pub fn add_routes(router: Router, node: &Arc<NodeContext>, ready: &ReadyFlag) -> Router {
    let (metrics, ready) = (node.clone(), ready.clone());
    router
        .route("/healthz", get(|| async { text(StatusCode::OK, "ok\n".to_owned()) }))
        .route(
            "/readyz",
            get(move || async move {
                match ready.is_ready() {
                    true => text(StatusCode::OK, "ready\n".to_owned()),
                    false => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
                }
            }),
        )
        .route("/metrics", get(move || async move { text(StatusCode::OK, metrics.metrics.text()) }))
}

/// Builds a plain text response.
pub fn text(status: StatusCode, text: String) -> Response {
    let mut response = Response::new(Body::from(text));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
