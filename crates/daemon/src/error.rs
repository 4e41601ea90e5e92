//! Errors that terminate a daemon.

use std::{fmt, process::ExitCode};

use error_stack::Report;

/// Exit status for invalid settings.
const EXIT_BAD_INPUT: u8 = 2;

/// Why a daemon could not start or continue.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// Invalid settings; the message names the file and the field.
    #[error("{0}")]
    Settings(String),
    /// An address could not be bound.
    #[error("cannot listen on {0}; free the address or change it in the settings")]
    Bind(std::net::SocketAddr),
    /// Logging, tracing, signals or the runtime could not be initialized.
    #[error("cannot set up {0}")]
    Telemetry(&'static str),
}

/// An error report that is displayed as one line.
#[derive(Debug)]
pub struct Failure(Report<DaemonError>);

impl Failure {
    /// The exit status of the process.
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
        // The alternate format prints the chain of contexts on one line.
        write!(f, "{:#}", self.0)
    }
}
