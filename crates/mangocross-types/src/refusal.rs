//! What a caller is told when its request is refused or fails.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ResultCode;
use crate::RunOutcome;

/// A refusal or failure, as a caller sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Numbered result code.
    pub code: ResultCode,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// One sentence that says what happened and what to do.
    pub message: String,
    /// When to come back; `None` when coming back does not help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns a refusal of a request that did not run.
    pub fn not_run(code: ResultCode, message: impl Into<String>) -> Self {
        Self { code, outcome: RunOutcome::NotRun, message: message.into(), retry_after: None }
    }

    /// Returns a failure of a request whose effect is not known.
    pub fn unknown(code: ResultCode, message: impl Into<String>) -> Self {
        Self { code, outcome: RunOutcome::Unknown, message: message.into(), retry_after: None }
    }

    /// Sets when to come back.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
