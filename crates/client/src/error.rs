//! Errors that the command line ends with.

use std::{fmt, process::ExitCode};

use error_stack::Report;

/// Exit status for input that has to be changed before it can be used.
const EXIT_BAD_INPUT: u8 = 2;

/// Exit status for an apply that lost a race.
const EXIT_CONFLICT: u8 = 3;

/// Why a command did not do what was asked.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ClientError {
    /// A file cannot be used; the text names the file and the field.
    #[error("{0}")]
    Input(String),
    /// Another file came first.
    #[error("{0}")]
    Conflict(String),
    /// The platform does not answer.
    #[error("{0}")]
    Platform(String),
    /// Something on this machine failed.
    #[error("{0}")]
    Local(String),
}

/// An error report on its way to the user, as one line.
#[derive(Debug)]
pub struct Failure(Report<ClientError>);

impl Failure {
    /// The status the process ends with.
    pub fn exit_code(&self) -> ExitCode {
        match self.0.current_context() {
            ClientError::Input(_) => ExitCode::from(EXIT_BAD_INPUT),
            ClientError::Conflict(_) => ExitCode::from(EXIT_CONFLICT),
            ClientError::Platform(_) | ClientError::Local(_) => ExitCode::FAILURE,
        }
    }
}

impl From<Report<ClientError>> for Failure {
    fn from(report: Report<ClientError>) -> Self {
        Self(report)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:#}", self.0)
    }
}
