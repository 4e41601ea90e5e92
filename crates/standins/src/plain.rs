//! A plain service: notices that must not be posted twice.

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use headlatch_http::read_body;
use headlatch_types::quantity::ByteSize;
use http::{Method, StatusCode};
use volo_http::{request::Request, response::Response, server::Router};

use crate::platform::{json, plain};

/// A board of notices; `POST /notices` adds the body, `GET /notices` lists them.
#[derive(Debug, Default)]
pub struct NoticeBoard {
    notices: Mutex<Vec<String>>,
}

impl NoticeBoard {
    /// An empty board.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<String>> {
        self.notices.lock().unwrap_or_else(|broken| broken.into_inner())
    }

    /// The notices posted so far.
    pub fn notices(&self) -> Vec<String> {
        self.lock().clone()
    }

    /// The routes of the service.
    pub fn router(self: &Arc<Self>) -> Router {
        let board = self.clone();
        Router::new().fallback(move |request: Request| async move { board.answer(request).await })
    }

    async fn answer(&self, request: Request) -> Response {
        let (parts, body) = request.into_parts();
        let Ok(body) = read_body(body, ByteSize::from_mib(4), Duration::from_secs(30)).await else {
            return plain(StatusCode::BAD_REQUEST, "the body broke off");
        };
        match (parts.method, parts.uri.path()) {
            (Method::GET, "/healthz") => plain(StatusCode::OK, "ok"),
            (Method::GET, "/notices") => json(&self.notices()),
            (Method::POST, "/notices") => {
                let mut notices = self.lock();
                notices.push(String::from_utf8_lossy(&body).into_owned());
                let text = format!("notice {}", notices.len());
                plain(StatusCode::CREATED, &text)
            }
            _ => plain(StatusCode::NOT_FOUND, "no such page"),
        }
    }
}
