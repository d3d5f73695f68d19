//! A budget of retries, so that an outage does not double the load.

/// Retries allowed as a share of successes.
///
/// Each success earns a part of a retry, up to a bound; each retry costs one.
/// While nothing succeeds, retries stop once the budget is used up.
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
    pub fn succeeded(&mut self) {
        self.tokens = (self.tokens + self.earned_by_success).min(self.tokens_max);
    }

    /// Takes one retry out of the budget; returns whether it may be made.
    pub fn try_retry(&mut self) -> bool {
        let may = self.tokens >= 1.0;
        if may {
            self.tokens -= 1.0;
        }
        may
    }
}

impl Default for RetryBudget {
    /// One retry for ten successes, and ten at once.
    fn default() -> Self {
        Self::new(0.1, 10)
    }
}
