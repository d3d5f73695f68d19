//! How many own requests a group takes before its first tokens come late.

use std::time::Duration;

/// Requests in flight that are always allowed.
const LIMIT_MIN: f64 = 1.0;
/// Most requests in flight at one group from one gateway.
const LIMIT_MAX: f64 = 512.0;
/// Share that is kept when a first token comes late.
const KEPT_WHEN_LATE: f64 = 0.9;

/// A limit of own requests in flight at one group, found by additive increase
/// and multiplicative decrease on the first-token time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConcurrencyLimit {
    limit: f64,
    target: Duration,
    since_decrease: u32,
}

impl ConcurrencyLimit {
    /// Returns a limit to start from, which keeps first tokens within `target`.
    pub fn new(start: u32, target: Duration) -> Self {
        let limit = f64::from(start).clamp(LIMIT_MIN, LIMIT_MAX);
        Self { limit, target, since_decrease: 0 }
    }

    /// Returns the limit.
    pub fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Takes in a first-token time, with the requests in flight when it was sent.
    ///
    /// The limit rises only when it was used, and falls once for each round of
    /// requests.
    pub fn observe(&mut self, first_token: Duration, in_flight: u32) {
        self.since_decrease = self.since_decrease.saturating_add(1);
        if first_token > self.target {
            if f64::from(self.since_decrease) >= self.limit {
                self.limit = (self.limit * KEPT_WHEN_LATE).max(LIMIT_MIN);
                self.since_decrease = 0;
            }
        } else if f64::from(in_flight) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(LIMIT_MAX);
        }
    }
}
