//! The path of a service's health check.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// A path that is not one of a health check.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("\"{0}\" is not a path; write an absolute one without spaces, such as \"/health\"")]
pub struct HealthPathError(String);

/// Absolute path at which a server answers health checks.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct HealthPath(String);

impl HealthPath {
    /// The path as it stands in a request line.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for HealthPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for HealthPath {
    type Err = HealthPathError;

    fn from_str(text: &str) -> Result<Self, HealthPathError> {
        let is_plain = text.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'#');
        match text.starts_with('/') && is_plain {
            true => Ok(Self(text.to_owned())),
            false => Err(HealthPathError(text.to_owned())),
        }
    }
}

impl TryFrom<String> for HealthPath {
    type Error = HealthPathError;

    fn try_from(text: String) -> Result<Self, HealthPathError> {
        text.parse()
    }
}

impl From<HealthPath> for String {
    fn from(path: HealthPath) -> Self {
        path.0
    }
}
