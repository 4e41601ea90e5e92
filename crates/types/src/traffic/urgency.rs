//! How urgent a request is, by the priorities of its organisation and its route.

use std::{fmt, str::FromStr};

use super::{Route, Tenant};

/// Priority of an organisation that has none, and of callers without an organisation.
const DEFAULT_PRIORITY: u8 = 5;

/// Urgency of a request; 0 is the most urgent. The organisation's priority takes precedence over the route's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestUrgency {
    /// Priority of the caller's organisation.
    pub organisation: u8,
    /// Priority of the route.
    pub route: u8,
}

/// A text that is not an urgency.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "\"{0}\" is not an urgency; give the organisation's and the route's priority (0 to 255), such as 1.0"
)]
pub struct UrgencyError(String);

/// Longest part of a rejected text that its error repeats, in characters.
const MAX_ERROR_CHARS: usize = 16;

impl RequestUrgency {
    /// The urgency of requests of an organisation on a route. Callers without an organisation, and
    /// organisations without a priority, count as priority 5.
    pub fn new(organisation: Option<&Tenant>, route: &Route) -> Self {
        let organisation = organisation.and_then(|organisation| organisation.priority);
        Self { organisation: organisation.unwrap_or(DEFAULT_PRIORITY), route: route.priority }
    }
}

impl fmt::Display for RequestUrgency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.organisation, self.route)
    }
}

impl FromStr for RequestUrgency {
    type Err = UrgencyError;

    fn from_str(text: &str) -> Result<Self, UrgencyError> {
        let parts = text.split_once('.').and_then(|(organisation, route)| {
            Some(Self {
                organisation: parse_priority(organisation)?,
                route: parse_priority(route)?,
            })
        });
        parts.ok_or_else(|| UrgencyError(text.chars().take(MAX_ERROR_CHARS).collect()))
    }
}

/// Parses a priority; signs are rejected.
fn parse_priority(text: &str) -> Option<u8> {
    let digits = text.bytes().all(|byte| byte.is_ascii_digit());
    text.parse().ok().filter(|_| digits)
}
