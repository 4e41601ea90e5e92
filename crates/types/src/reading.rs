//! Parsing of JSON input with errors that name the offending field.

use std::fmt;

use serde::de::DeserializeOwned;

/// An error in an input file: the field and what to change.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct InputError {
    /// Path of the offending field, such as `models[2].replicas`; empty for the whole file.
    pub path: String,
    /// What is wrong and what to change, as a sentence without a full stop.
    pub message: String,
}

impl InputError {
    /// An error at `path`.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Self {
        Self { path: path.into(), message: message.into() }
    }
}

impl fmt::Display for InputError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() || self.path == "." {
            return f.write_str(&self.message);
        }
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Reads `text` as JSON of type `T`; an error carries the path of the field.
pub fn from_json<T: DeserializeOwned>(text: &str) -> Result<T, InputError> {
    let mut source = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut source)
        .map_err(|error| InputError::new(error.path().to_string(), error.inner().to_string()))?;
    source.end().map_err(|error| InputError::new("", error.to_string()))?;
    Ok(value)
}

/// Parses the text at `path` into a checked type.
pub(crate) fn parse_at<T>(path: impl Into<String>, text: &str) -> Result<T, InputError>
where
    T: std::str::FromStr,
    T::Err: fmt::Display,
{
    text.parse().map_err(|error: T::Err| InputError::new(path, error.to_string()))
}
