//! Limits on the concurrency, open operations and waits of a claim log.

use std::time::Duration;

/// Limits on the concurrency, open operations and waits of a claim log.
#[derive(Debug, Clone, Copy)]
pub struct ClaimLimits {
    /// Maximum number of concurrent commits.
    pub workers: usize,
    /// Maximum number of open operations; claims beyond it are refused.
    pub open_max: usize,
    /// Longest wait for a claim; after it the call fails and the claim is released in the
    /// background.
    pub claim_wait: Duration,
    /// Longest wait for an outcome to be recorded; recording continues in the background after it.
    pub record_wait: Duration,
}

impl Default for ClaimLimits {
    fn default() -> Self {
        Self {
            workers: 8,
            open_max: 8_192,
            claim_wait: Duration::from_millis(1_500),
            record_wait: Duration::from_millis(250),
        }
    }
}
