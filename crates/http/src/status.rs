//! Which statuses end a call.

use http::StatusCode;

/// A status that no response to a request has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("status {} is not one of a final response", .0.as_u16())]
pub struct StatusError(StatusCode);

/// Checks that a response is final and has a status that HTTP defines. A peer that switches protocols has not been
/// asked to.
pub fn check_status(status: StatusCode) -> Result<(), StatusError> {
    match status.as_u16() {
        200..=599 => Ok(()),
        _ => Err(StatusError(status)),
    }
}
