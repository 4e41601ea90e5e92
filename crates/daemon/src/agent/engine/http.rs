//! Controls an engine over HTTP.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use headlatch_core::gate::EngineReport;
use headlatch_http::HttpCaller;
use headlatch_types::{
    fleet::SetKey,
    quantity::{ByteSize, FencingToken},
};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use serde::Deserialize;
use serde_json::json;

use super::{EngineControl, EngineError, EngineFuture, LoadOrder, OrderOutcome};

/// Timeout of a call; the engine answers a load order before the load is done.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of an answer's body.
const MAX_ANSWER: ByteSize = ByteSize::from_bytes(64 << 10);

/// Client of an engine's order and status API.
#[derive(Debug)]
pub struct HttpEngine {
    address: SocketAddr,
    caller: HttpCaller,
}

#[derive(Debug, Deserialize)]
struct StatusAnswer {
    token: u64,
    set: u64,
    loading: bool,
}

impl HttpEngine {
    /// A client of the engine at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, caller: HttpCaller::pooled() }
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), EngineError> {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let limits = (MAX_ANSWER, CALL_TIMEOUT);
        let call = self.caller.call(self.address, (method, path), headers, body, limits);
        let (status, _, body) = call.await.map_err(|error| EngineError(error.message))?;
        Ok((status, body))
    }
}

impl EngineControl for HttpEngine {
    fn report(&self) -> EngineFuture<'_, EngineReport> {
        Box::pin(async move {
            let (status, body) = self.call(Method::GET, "/status", Bytes::new()).await?;
            if status != StatusCode::OK {
                return Err(EngineError(format!("GET /status returned {status}")));
            }
            let answer: StatusAnswer =
                serde_json::from_slice(&body).map_err(|error| EngineError(error.to_string()))?;
            Ok(EngineReport {
                token: FencingToken::new(answer.token),
                loaded: (answer.set != 0).then_some(SetKey(answer.set)),
                loading: answer.loading,
            })
        })
    }

    fn load(&self, order: LoadOrder) -> EngineFuture<'_, OrderOutcome> {
        Box::pin(async move {
            let files: Vec<_> = order.files.iter().map(|url| json!({ "url": url })).collect();
            let body = json!({ "token": order.token, "set": order.set, "files": files });
            let body = Bytes::from(body.to_string());
            match self.call(Method::POST, "/orders/load", body).await? {
                (status, _) if status.is_success() => Ok(OrderOutcome::Accepted),
                (StatusCode::CONFLICT, _) => Ok(OrderOutcome::Fenced),
                (status, _) => Err(EngineError(format!("POST /orders/load returned {status}"))),
            }
        })
    }
}
