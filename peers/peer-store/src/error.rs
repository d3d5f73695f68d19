//! Errors of calls to the store.

use mangocross_types::ResultCode;
use snafu::Snafu;

/// How a call to the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreErrorKind {
    /// The store did nothing: it could not be reached, or refused the call.
    Unavailable,
    /// The answer was lost; a write may have taken effect, so read the value back before
    /// proceeding.
    AnswerLost,
    /// The stored value is malformed.
    Malformed,
}

impl StoreErrorKind {
    /// Returns the metric label of the kind.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unavailable => "unavailable",
            Self::AnswerLost => "answer_lost",
            Self::Malformed => "malformed",
        }
    }

    /// Returns the result code that callers and operators see.
    pub fn result_code(self) -> ResultCode {
        match self {
            Self::Unavailable | Self::Malformed => ResultCode::StoreUnavailable,
            Self::AnswerLost => ResultCode::StoreAnswerLost,
        }
    }
}

/// A failed call to the store.
#[derive(Debug, Clone, Snafu)]
#[snafu(display("store {kind:?} at key `{key}`: {message}"))]
pub struct StoreError {
    /// How the call failed.
    pub kind: StoreErrorKind,
    /// Key, or prefix of a listing, that was called for.
    pub key: String,
    /// Message of the transport or the store.
    pub message: String,
}
