//! Errors of calls to engines.

use mangocross_http::CallError;
use mangocross_http::CallErrorKind;
use mangocross_types::ResultCode;
use mangocross_types::RunOutcome;
use snafu::Snafu;

/// How a call to an engine failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineErrorKind {
    /// The engine could not be reached.
    Unreachable,
    /// The engine answered with an error status; the outcome states whether the request may have
    /// run.
    Refused,
    /// The engine did not respond in time.
    Silent,
    /// The answer was cut off before its end marker.
    Broken,
    /// The answer belongs to another attempt, its tokens are out of order, or it is too large or
    /// malformed.
    Mismatch,
}

impl EngineErrorKind {
    /// Returns the metric label of the kind.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Refused => "refused",
            Self::Silent => "silent",
            Self::Broken => "broken",
            Self::Mismatch => "mismatch",
        }
    }

    /// Returns the result code that callers get for this failure.
    pub fn result_code(self) -> ResultCode {
        match self {
            Self::Unreachable => ResultCode::BackendUnreachable,
            Self::Refused => ResultCode::BackendRefused,
            Self::Silent => ResultCode::BackendSilent,
            Self::Broken => ResultCode::BackendBroken,
            Self::Mismatch => ResultCode::BackendMismatch,
        }
    }
}

/// A failed call to an engine.
#[derive(Debug, Clone, Snafu)]
#[snafu(display("engine {kind:?}: {message} (request {outcome})"))]
pub struct EngineError {
    /// How the call failed.
    pub kind: EngineErrorKind,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// Cause of the failure, for refusals and logs.
    pub message: String,
}

impl EngineError {
    pub(crate) fn new(kind: EngineErrorKind, outcome: RunOutcome, message: String) -> Self {
        Self { kind, outcome, message }
    }

    pub(crate) fn from_call(error: &CallError) -> Self {
        let kind = match error.kind {
            CallErrorKind::Connect => EngineErrorKind::Unreachable,
            CallErrorKind::Timeout => EngineErrorKind::Silent,
            CallErrorKind::Broken => EngineErrorKind::Broken,
            CallErrorKind::TooLarge | CallErrorKind::Malformed => EngineErrorKind::Mismatch,
        };
        Self::new(kind, error.outcome, error.message.clone())
    }
}
