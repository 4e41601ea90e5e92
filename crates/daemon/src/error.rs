//! Errors that end a daemon.

use std::{fmt, process::ExitCode};

use error_stack::Report;

/// Exit status for input that has to be changed before it can be used.
const EXIT_BAD_INPUT: u8 = 2;

/// Why a daemon could not start or go on.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// Settings cannot be used; the text names the file and the field.
    #[error("{0}")]
    Settings(String),
    /// An address cannot be bound.
    #[error("cannot listen on {0}; free the address or change it in the settings")]
    Bind(std::net::SocketAddr),
    /// Logs or traces cannot be set up.
    #[error("cannot set up {0}")]
    Telemetry(&'static str),
}

/// An error report on its way to the user, as one line.
#[derive(Debug)]
pub struct Failure(Report<DaemonError>);

impl Failure {
    /// The status the process ends with.
    pub fn exit_code(&self) -> ExitCode {
        match self.0.current_context() {
            DaemonError::Settings(_) => ExitCode::from(EXIT_BAD_INPUT),
            _ => ExitCode::FAILURE,
        }
    }
}

impl From<Report<DaemonError>> for Failure {
    fn from(report: Report<DaemonError>) -> Self {
        Self(report)
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The alternate form of a report is the chain of contexts on one line.
        write!(f, "{:#}", self.0)
    }
}
