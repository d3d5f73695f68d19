//! Why a call to the store failed.

use mangocross_types::ResultCode;
use snafu::Snafu;

/// Kind of failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreErrorKind {
    /// The store did nothing: it could not be reached, or said so itself.
    Unavailable,
    /// A write may have taken effect; read back before going on.
    AnswerLost,
    /// The store's answer is not what its protocol says.
    Malformed,
}

impl StoreErrorKind {
    /// Returns the name of the kind in metrics.
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
    /// Kind of failure.
    pub kind: StoreErrorKind,
    /// The key.
    pub key: String,
    /// What the transport or the store said.
    pub message: String,
}
