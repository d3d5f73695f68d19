//! A retry budget, which keeps an outage from doubling the load.

/// Retries allowed as a share of successes.
///
/// Each success earns a fraction of a retry, up to a maximum; each retry costs
/// one. While nothing succeeds, retries stop once the budget is used up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
    tokens_max: f64,
    earned_by_success: f64,
}

impl RetryBudget {
    /// Returns a full budget that earns `share` of a retry with each success.
    pub fn new(share: f64, retries_max: u32) -> Self {
        let tokens_max = f64::from(retries_max);
        Self { tokens: tokens_max, tokens_max, earned_by_success: share }
    }

    /// Records a request that succeeded.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + self.earned_by_success).min(self.tokens_max);
    }

    /// Consumes one retry if the budget allows it; returns whether it may be made.
    pub fn try_retry(&mut self) -> bool {
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}

impl Default for RetryBudget {
    /// One retry per ten successes, and a burst of at most ten.
    fn default() -> Self {
        Self::new(0.1, 10)
    }
}
