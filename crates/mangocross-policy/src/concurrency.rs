//! Limits own requests in flight at a group so that its first tokens are on time.

use std::time::Duration;

/// Requests in flight that are always allowed.
const LIMIT_MIN: f64 = 1.0;
/// Maximum number of requests in flight at one group from one gateway.
const LIMIT_MAX: f64 = 512.0;
/// Share by which a late first token lowers the limit.
const DECREASE: f64 = 0.03;
/// First tokens on time that offset a late one, so that 95 in 100 are on time.
const ON_TIME_PER_LATE: f64 = 19.0;
/// Minimum increase per first token on time once at least `limit` of them have come since the last
/// late one.
const FAST_INCREASE: f64 = 0.5;

/// A limit of own requests in flight that adapts to first-token times.
///
/// It settles where 95 in 100 first tokens are on time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConcurrencyLimit {
    limit: f64,
    target: Duration,
    /// First tokens on time since the last late one.
    since_late: u32,
}

impl ConcurrencyLimit {
    /// Returns a limit that starts at `start` and keeps first tokens within `target`.
    pub fn new(start: u32, target: Duration) -> Self {
        let limit = f64::from(start).clamp(LIMIT_MIN, LIMIT_MAX);
        Self { limit, target, since_late: 0 }
    }

    /// Returns the limit, rounded down to whole requests.
    pub fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Applies a first-token time, with the requests in flight when the request was sent.
    ///
    /// The limit rises only while at least a third of it is used.
    pub fn observe(&mut self, first_token: Duration, in_flight: u32) {
        if first_token > self.target {
            self.since_late = 0;
            self.limit = (self.limit * (1.0 - DECREASE)).max(LIMIT_MIN);
            return;
        }
        self.since_late = self.since_late.saturating_add(1);
        if f64::from(in_flight) * 3.0 >= self.limit {
            self.limit = (self.limit + self.increment()).min(LIMIT_MAX);
        }
    }

    fn increment(&self) -> f64 {
        let slow = self.limit * DECREASE / ON_TIME_PER_LATE;
        let none_late = f64::from(self.since_late) >= self.limit;
        if none_late { slow.max(FAST_INCREASE) } else { slow }
    }
}
