//! This entry VM's share of the retries that a service may get.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;

/// Part of the allowance that is used; the rest absorbs differences between windows.
const USED_PART: f64 = 0.8;

/// Bounds on the repeats that a service gets from all entry VMs together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats that are allowed besides, over all entry VMs.
    pub slack: f64,
    /// Span over which both are counted.
    pub window: Duration,
}

/// Counts requests and repeats to one service in a sliding window.
///
/// Each entry VM spends the ratio on its own requests and an equal part of the
/// slack, so the sum over all entry VMs stays in the bounds.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Moment>,
    repeats: VecDeque<Moment>,
}

impl RetryBudget {
    /// Records a request of a caller.
    pub fn record_request(&mut self, now: Moment, bounds: &RetryBounds) {
        self.requests.push_back(now);
        expire(&mut self.requests, now, bounds.window);
    }

    /// Takes one repeat out of the budget; returns whether it may be made.
    pub fn try_repeat(&mut self, now: Moment, bounds: &RetryBounds, entry_vms: usize) -> bool {
        let may = self.remaining(now, bounds, entry_vms) >= 1.0;
        if may {
            self.repeats.push_back(now);
        }
        may
    }

    /// Returns how many repeats this VM may still make, as a fraction too; below zero if the
    /// requests that allowed them are out of the window.
    pub fn remaining(&mut self, now: Moment, bounds: &RetryBounds, entry_vms: usize) -> f64 {
        expire(&mut self.requests, now, bounds.window);
        expire(&mut self.repeats, now, bounds.window);
        let slack_share = bounds.slack / entry_vms.max(1) as f64;
        let allowed = USED_PART * (bounds.ratio * self.requests.len() as f64 + slack_share);
        allowed - self.repeats.len() as f64
    }
}

fn expire(times: &mut VecDeque<Moment>, now: Moment, window: Duration) {
    while times.front().is_some_and(|it| now.since(*it) > window) {
        times.pop_front();
    }
}
