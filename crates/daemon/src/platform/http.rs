//! HTTP client for the platform's object store.

use std::time::Duration;

use bytes::Bytes;
use headlatch_http::HttpCaller;
use headlatch_types::{
    InputError, RunVerdict, quantity::ByteSize, reading::from_json, settings::ServiceUrl,
};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::value::RawValue;

use super::{
    ListedMember, ListedRows, ObjectStore, ObjectValue, StoreError, StoreFuture, WriteCondition,
    WriteOutcome,
};

/// Timeout for a call, in addition to the wait of a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum response size: a list of objects of up to 1 MiB each.
const MAX_RESPONSE: ByteSize = ByteSize::from_mib(64);

/// The object store at one base URL.
#[derive(Debug)]
pub struct HttpStore {
    url: ServiceUrl,
    caller: HttpCaller,
}

#[derive(Debug, Deserialize)]
struct ListedObject {
    key: String,
    version: u64,
    value: String,
}

impl HttpStore {
    /// Creates a client for the object store at `url`.
    pub fn new(url: ServiceUrl) -> Self {
        Self { url, caller: HttpCaller::pooled() }
    }

    async fn get(
        &self,
        path: &str,
        time: Duration,
    ) -> Result<(StatusCode, HeaderMap, Bytes), StoreError> {
        let path = self.path(path);
        let target = (Method::GET, &*path);
        let limits = (MAX_RESPONSE, time);
        let call =
            self.caller.call(self.url.address(), target, HeaderMap::new(), Bytes::new(), limits);
        call.await.map_err(|error| StoreError(error.message))
    }

    /// The absolute request path for `path` below the base URL.
    fn path(&self, path: &str) -> String {
        let url = self.url.join(path);
        let rest = url.trim_start_matches("http://");
        rest.find('/').map_or_else(String::new, |at| rest[at..].to_owned())
    }

    async fn get_object(
        &self,
        path: &str,
        time: Duration,
    ) -> Result<Option<ObjectValue>, StoreError> {
        let (status, headers, body) = self.get(path, time).await?;
        match status {
            StatusCode::OK => Ok(Some(ObjectValue {
                version: version(&headers)
                    .ok_or_else(|| StoreError("response has no valid ETag".to_owned()))?,
                text: String::from_utf8(body.to_vec())
                    .map_err(|_| StoreError("object value is not valid UTF-8".to_owned()))?,
            })),
            StatusCode::NOT_FOUND | StatusCode::NOT_MODIFIED => Ok(None),
            other => Err(StoreError(format!("{path} returned status {other}"))),
        }
    }

    async fn put(
        &self,
        key: &str,
        condition: WriteCondition,
        text: String,
    ) -> Result<WriteOutcome, StoreError> {
        let mut headers = HeaderMap::new();
        match condition {
            WriteCondition::Absent => {
                headers.insert(header::IF_NONE_MATCH, HeaderValue::from_static("*"));
            }
            WriteCondition::Version(version) => {
                let tag = HeaderValue::from_str(&format!("\"{version}\""));
                headers.insert(
                    header::IF_MATCH,
                    tag.expect("quoted digits form a valid header value"),
                );
            }
            WriteCondition::Always => {}
        }
        let path = self.path(&format!("v1/objects/{key}"));
        let target = (Method::PUT, &*path);
        let limits = (MAX_RESPONSE, CALL_TIMEOUT);
        let call = self.caller.call(self.url.address(), target, headers, Bytes::from(text), limits);
        match call.await {
            Ok((StatusCode::OK, headers, _)) => {
                Ok(version(&headers).map_or(WriteOutcome::Unknown, WriteOutcome::Written))
            }
            Ok((StatusCode::PRECONDITION_FAILED, ..)) => Ok(WriteOutcome::Conflict),
            Ok((status, ..)) if status.is_client_error() => {
                Err(StoreError(format!("write of {key} was rejected with status {status}")))
            }
            // A server error can occur after the write took effect.
            Ok(_) => Ok(WriteOutcome::Unknown),
            Err(error) if error.verdict == RunVerdict::NotRun => Err(StoreError(error.message)),
            Err(_) => Ok(WriteOutcome::Unknown),
        }
    }
}

fn version(headers: &HeaderMap) -> Option<u64> {
    headers.get(header::ETAG)?.to_str().ok()?.trim_matches('"').parse().ok()
}

/// Reads the rows of a list one by one, since a row may be another writer's.
fn read_rows<T: DeserializeOwned>(
    status: StatusCode,
    body: &[u8],
) -> Result<ListedRows<T>, StoreError> {
    if status != StatusCode::OK {
        return Err(StoreError(format!("list returned status {status}")));
    }
    let texts: Vec<Box<RawValue>> = serde_json::from_str(&String::from_utf8_lossy(body))
        .map_err(|error| StoreError(error.to_string()))?;
    let mut listed = ListedRows { rows: Vec::new(), unreadable: Vec::new() };
    for (index, text) in texts.iter().enumerate() {
        match from_json(text.get()) {
            Ok(row) => listed.rows.push(row),
            Err(error) => {
                let path = format!("[{index}].{}", error.path);
                listed.unreadable.push(InputError::new(path, error.message));
            }
        }
    }
    Ok(listed)
}

impl ObjectStore for HttpStore {
    fn read<'a>(
        &'a self,
        key: &'a str,
    ) -> StoreFuture<'a, Result<Option<ObjectValue>, StoreError>> {
        Box::pin(async move { self.get_object(&format!("v1/objects/{key}"), CALL_TIMEOUT).await })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        after: u64,
        wait: Duration,
    ) -> StoreFuture<'a, Result<Option<ObjectValue>, StoreError>> {
        let path = format!("v1/objects/{key}?after={after}&wait_ms={}", wait.as_millis());
        Box::pin(async move { self.get_object(&path, wait + CALL_TIMEOUT).await })
    }

    fn write<'a>(
        &'a self,
        key: &'a str,
        condition: WriteCondition,
        text: String,
    ) -> StoreFuture<'a, Result<WriteOutcome, StoreError>> {
        Box::pin(self.put(key, condition, text))
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
    ) -> StoreFuture<'a, Result<ListedRows<(String, ObjectValue)>, StoreError>> {
        let path = format!("v1/objects?prefix={prefix}");
        Box::pin(async move {
            let (status, _, body) = self.get(&path, CALL_TIMEOUT).await?;
            let ListedRows { rows, unreadable } = read_rows::<ListedObject>(status, &body)?;
            let value = |row: ListedObject| {
                (row.key, ObjectValue { version: row.version, text: row.value })
            };
            Ok(ListedRows { rows: rows.into_iter().map(value).collect(), unreadable })
        })
    }

    fn members(&self) -> StoreFuture<'_, Result<ListedRows<ListedMember>, StoreError>> {
        Box::pin(async move {
            let (status, _, body) = self.get("v1/members", CALL_TIMEOUT).await?;
            read_rows(status, &body)
        })
    }
}
