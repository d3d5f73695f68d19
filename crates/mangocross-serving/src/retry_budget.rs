//! This entry VM's share of the retries allowed for a service.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;

/// Share of the allowance that each entry VM uses; the rest absorbs differences between its own
/// sliding window and the window over which the retries of all entry VMs together are counted.
const ALLOWANCE_SHARE: f64 = 0.8;

/// Bounds on the retries sent to a service by all entry VMs together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed, over all entry VMs.
    pub slack: f64,
    /// Length of the sliding window in which requests and retries are counted.
    pub window: Duration,
}

/// Counts requests and retries to one service in a sliding window.
///
/// Each entry VM applies the ratio to its own requests and uses an equal share of
/// the slack, so the sum over all entry VMs stays within the bounds.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Moment>,
    retries: VecDeque<Moment>,
}

impl RetryBudget {
    /// Records a request from a caller.
    pub fn record_request(&mut self, now: Moment, bounds: &RetryBounds) {
        self.requests.push_back(now);
        expire(&mut self.requests, now, bounds.window);
    }

    /// Returns the number of requests from callers in the window.
    pub fn requests(&mut self, now: Moment, bounds: &RetryBounds) -> usize {
        expire(&mut self.requests, now, bounds.window);
        self.requests.len()
    }

    /// Consumes one retry if the budget allows it; returns whether the retry may be sent.
    pub fn try_retry(&mut self, now: Moment, bounds: &RetryBounds, entry_vms: usize) -> bool {
        let is_allowed = self.remaining(now, bounds, entry_vms) >= 1.0;
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }

    /// Returns the retries left for this VM, possibly fractional. The result is negative if the
    /// requests that allowed earlier retries have left the window.
    pub fn remaining(&mut self, now: Moment, bounds: &RetryBounds, entry_vms: usize) -> f64 {
        expire(&mut self.requests, now, bounds.window);
        expire(&mut self.retries, now, bounds.window);
        let slack_share = bounds.slack / entry_vms.max(1) as f64;
        let allowed = ALLOWANCE_SHARE * (bounds.ratio * self.requests.len() as f64 + slack_share);
        allowed - self.retries.len() as f64
    }
}

fn expire(times: &mut VecDeque<Moment>, now: Moment, window: Duration) {
    while times.front().is_some_and(|it| now.since(*it) > window) {
        times.pop_front();
    }
}
