//! The error that a caller receives when its request is refused or fails.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ResultCode;
use crate::RunOutcome;

/// A refusal or failure, as a caller sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why the request was refused or failed.
    pub code: ResultCode,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// What happened and what to do, in one sentence.
    pub message: String,
    /// Delay before a retry; `None` if a retry does not help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns a refusal of a request that did not run.
    pub fn not_run(code: ResultCode, message: impl Into<String>) -> Self {
        Self { code, outcome: RunOutcome::NotRun, message: message.into(), retry_after: None }
    }

    /// Returns a failure of a request whose effect is unknown.
    pub fn unknown(code: ResultCode, message: impl Into<String>) -> Self {
        Self { code, outcome: RunOutcome::Unknown, message: message.into(), retry_after: None }
    }

    /// Sets the delay before a retry.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }
}
