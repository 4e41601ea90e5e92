//! Request and response types of the OpenAI-compatible completions API.

use bytes::Bytes;
use headlatch_types::{digest::key_of, fleet::ModelPlan};
use http::StatusCode;
use serde::Deserialize;
use serde_json::{Value, json};

/// Length of the prompt prefix that is hashed for cache affinity, in bytes.
const AFFINITY_PREFIX_BYTES: usize = 512;

/// The kind of completion call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CompletionKind {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

impl CompletionKind {
    /// The request path, the same at the entry and at the engines.
    pub fn path(self) -> &'static str {
        match self {
            Self::Text => "/v1/completions",
            Self::Chat => "/v1/chat/completions",
        }
    }
}

/// The fields of a completion call that an entry reads; the engine interprets the rest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletionCall {
    /// The requested model or adapter.
    pub model: String,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Hash of the prompt prefix and the model name.
    pub affinity: u64,
}

/// An error in the format that OpenAI client libraries parse.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApiError {
    /// HTTP status.
    pub status: StatusCode,
    /// Error type.
    pub kind: &'static str,
    /// The invalid parameter.
    pub param: Option<&'static str>,
    /// Machine-readable code.
    pub code: Option<&'static str>,
    /// Human-readable message.
    pub message: String,
}

impl ApiError {
    /// An invalid request.
    pub fn invalid(param: Option<&'static str>, message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            kind: "invalid_request_error",
            param,
            code: None,
            message: message.into(),
        }
    }

    /// A request for an unknown model.
    pub fn model_not_found(name: &str) -> Self {
        Self {
            status: StatusCode::NOT_FOUND,
            kind: "invalid_request_error",
            param: Some("model"),
            code: Some("model_not_found"),
            message: format!(
                "The model `{name}` does not exist. See /v1/models for those that do."
            ),
        }
    }

    /// The error as JSON.
    pub fn body(&self) -> Value {
        json!({
            "error": {
                "message": self.message,
                "type": self.kind,
                "param": self.param,
                "code": self.code,
            }
        })
    }
}

#[derive(Debug, Deserialize)]
struct RawCompletion {
    model: Option<Value>,
    stream: Option<Value>,
    prompt: Option<Value>,
    messages: Option<Value>,
}

/// Parses a completion call.
pub fn read_call(kind: CompletionKind, body: &Bytes) -> Result<CompletionCall, ApiError> {
    let raw: RawCompletion = serde_json::from_slice(body).map_err(|error| {
        ApiError::invalid(None, format!("The body is not a valid completion call: {error}."))
    })?;
    let Some(Value::String(model)) = raw.model else {
        return Err(ApiError::invalid(Some("model"), "You must give a model, as a string."));
    };
    let stream = match raw.stream {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => stream,
        Some(_) => {
            return Err(ApiError::invalid(Some("stream"), "`stream` must be true or false."));
        }
    };
    let prompt = match kind {
        CompletionKind::Text => {
            raw.prompt.ok_or_else(|| ApiError::invalid(Some("prompt"), "You must give a prompt."))
        }
        CompletionKind::Chat => raw.messages.filter(Value::is_array).ok_or_else(|| {
            ApiError::invalid(Some("messages"), "You must give messages, as a list.")
        }),
    }?;
    let text = prompt.to_string();
    let prefix = &text.as_bytes()[..text.len().min(AFFINITY_PREFIX_BYTES)];
    Ok(CompletionCall { affinity: key_of(prefix) ^ key_of(model.as_bytes()), model, stream })
}

/// The response body of `/v1/models`.
pub fn model_list(models: &[&ModelPlan]) -> Value {
    let names = models.iter().flat_map(|model| model.caller_names());
    let rows: Vec<Value> = names
        .map(|name| json!({ "id": name, "object": "model", "created": 0, "owned_by": "headlatch" }))
        .collect();
    json!({ "object": "list", "data": rows })
}
