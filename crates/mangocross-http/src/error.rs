//! Errors of HTTP calls.

use std::io;

use mangocross_types::RunOutcome;
use snafu::Snafu;

/// Kind of failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallErrorKind {
    /// The connection could not be opened.
    Connect,
    /// A time limit passed.
    Timeout,
    /// The connection was closed or reset.
    Broken,
    /// The response is larger than allowed.
    TooLarge,
    /// The request or the response violates the protocol or the expected format.
    Malformed,
}

/// A failed call, with what is known about whether the server ran it.
#[derive(Debug, Clone, Snafu)]
#[snafu(display("{kind:?}: {message} (request {outcome})"))]
pub struct CallError {
    /// Kind of failure.
    pub kind: CallErrorKind,
    /// [`RunOutcome::NotRun`] only if no byte was handed to the connection.
    pub outcome: RunOutcome,
    /// Error message of the transport.
    pub message: String,
}

impl CallError {
    pub(crate) fn after_send(kind: CallErrorKind, message: String) -> Self {
        Self { kind, outcome: RunOutcome::Unknown, message }
    }

    /// Creates the error for a failed read of a response body.
    pub fn from_read(error: &io::Error) -> Self {
        let kind = match error.kind() {
            io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => CallErrorKind::Timeout,
            _ if error.to_string().contains("timeout") => CallErrorKind::Timeout,
            _ => CallErrorKind::Broken,
        };
        Self::after_send(kind, error.to_string())
    }

    pub(crate) fn from_call(error: &ureq::Error, any_byte_sent: bool) -> Self {
        let outcome = if any_byte_sent { RunOutcome::Unknown } else { RunOutcome::NotRun };
        let kind = match error {
            ureq::Error::Timeout(ureq::Timeout::Connect) => CallErrorKind::Connect,
            ureq::Error::Timeout(_) => CallErrorKind::Timeout,
            _ if !any_byte_sent => CallErrorKind::Connect,
            ureq::Error::Protocol(_) | ureq::Error::Http(_) => CallErrorKind::Malformed,
            _ => CallErrorKind::Broken,
        };
        Self { kind, outcome, message: error.to_string() }
    }
}
