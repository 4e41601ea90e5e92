//! Whether a request may have run.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// What is known about a request's effect at its endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunVerdict {
    /// It ran and its complete response is known.
    Ran,
    /// It did not run, and may be sent to another endpoint.
    NotRun,
    /// Unknown; a request that is not repeatable must not be sent again.
    #[default]
    MayHaveRun,
}

impl RunVerdict {
    /// Combines the verdict of the last attempt with that of `earlier` attempts: if the last did not run, an
    /// earlier one still may have.
    pub const fn after(self, earlier: Option<Self>) -> Self {
        match (self, earlier) {
            (Self::NotRun, Some(Self::MayHaveRun | Self::Ran)) => Self::MayHaveRun,
            (last, _) => last,
        }
    }

    /// The value used in headers, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

impl fmt::Display for RunVerdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Text that is not a verdict.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("\"{0}\" is not a verdict; the verdicts are ran, not-run and may-have-run")]
pub struct VerdictError(String);

impl FromStr for RunVerdict {
    type Err = VerdictError;
    fn from_str(text: &str) -> Result<Self, VerdictError> {
        [Self::Ran, Self::NotRun, Self::MayHaveRun]
            .into_iter()
            .find(|verdict| verdict.as_str() == text)
            .ok_or_else(|| VerdictError(text.to_owned()))
    }
}

/// Whether a call may be sent a second time by anyone but its caller.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeatability {
    /// Running it twice does harm.
    #[default]
    Once,
    /// Running it twice does no harm.
    Repeatable,
}

/// Permission to retry a request; only [`RetryPermit::after`] creates one.
#[derive(Debug, PartialEq, Eq)]
pub struct RetryPermit(());

impl RetryPermit {
    /// A permit if `verdict` allows a further attempt of a call that is `repeatability`.
    pub fn after(verdict: RunVerdict, repeatability: Repeatability) -> Option<Self> {
        let safe = match verdict {
            RunVerdict::NotRun => true,
            RunVerdict::MayHaveRun => repeatability == Repeatability::Repeatable,
            RunVerdict::Ran => false,
        };
        safe.then_some(Self(()))
    }
}
