//! Parsing of JSON input with errors that name the offending field.

use std::{collections::BTreeSet, fmt};

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

/// The first `max_bytes` of `text` or less, up to the end of a character.
pub fn prefix(text: &str, max_bytes: usize) -> &str {
    let mut end = max_bytes.min(text.len());
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

/// Path of a field in JSON input, without the positions of list elements: `routes[].kind`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FieldPath(String);

impl FieldPath {
    /// Converts a path whose list elements are given by position, as in `routes.0.kind`.
    fn from_positions(path: &str) -> Self {
        let is_position = |part: &str| part.bytes().all(|byte| byte.is_ascii_digit());
        let mut fields = String::new();
        // Optional fields appear as a question mark.
        for part in path.split('.').filter(|part| *part != "?") {
            match is_position(part) {
                true => fields.push_str("[]"),
                false if fields.is_empty() => fields.push_str(part),
                false => fields.extend([".", part]),
            }
        }
        Self(fields)
    }

    /// A path in the form `routes[].kind`.
    pub fn new(path: impl Into<String>) -> Self {
        Self(path.into())
    }

    /// The path as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for FieldPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Fields of JSON input that were not used although the input as a whole was accepted.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FieldIssues {
    /// Fields that headlatch does not know.
    pub unknown: BTreeSet<FieldPath>,
    /// Fields whose value is invalid.
    pub invalid: BTreeSet<FieldPath>,
}

/// Reads `text` as JSON of type `T`, and returns the paths of the fields that `T` does not have, without those in
/// `unused`. An error carries the path of the field.
pub fn from_json_with_unknown<T: DeserializeOwned>(
    text: &str,
    unused: &[&str],
) -> Result<(T, BTreeSet<FieldPath>), InputError> {
    let mut unknown = BTreeSet::new();
    let mut record = |path: serde_ignored::Path<'_>| {
        let path = FieldPath::from_positions(&path.to_string());
        if !unused.contains(&path.as_str()) {
            unknown.insert(path);
        }
    };
    let mut source = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(serde_ignored::Deserializer::new(
        &mut source,
        &mut record,
    ))
    .map_err(|error| InputError::new(error.path().to_string(), error.inner().to_string()))?;
    source.end().map_err(|error| InputError::new("", error.to_string()))?;
    Ok((value, unknown))
}

/// Parses the text at `path` into a checked type.
pub(crate) fn parse_at<T>(path: impl Into<String>, text: &str) -> Result<T, InputError>
where
    T: std::str::FromStr,
    T::Err: fmt::Display,
{
    text.parse().map_err(|error: T::Err| InputError::new(path, error.to_string()))
}
