//! Rate limit for loading weights from the weight store.

use crate::Moment;

/// Share of the platform's weight load rate that is used.
const USED_RATE_SHARE: f64 = 0.85;
/// Maximum number of weight loads that may start at once after a pause.
const BURST: f64 = 4.0;
/// Weight loads reserved for groups that lack members.
const RESERVE: f64 = 2.0;

/// Token bucket for the start of weight loads, over all VMs.
#[derive(Debug, Default)]
pub(super) struct WeightLoadLimiter {
    tokens: f64,
    refilled_at: Option<Moment>,
    is_unlimited: bool,
}

impl WeightLoadLimiter {
    /// Sets whether weight loads are unlimited.
    pub(super) fn set_unlimited(&mut self, is_unlimited: bool) {
        self.is_unlimited = is_unlimited;
    }

    pub(super) fn is_unlimited(&self) -> bool {
        self.is_unlimited
    }

    pub(super) fn refill(&mut self, now: Moment, loads_per_s: f64) {
        let since = self.refilled_at.map_or(1.0, |it| now.since(it).as_secs_f64());
        self.refilled_at = Some(now);
        self.tokens = (self.tokens + since * loads_per_s * USED_RATE_SHARE).min(BURST);
    }

    /// Returns whether a low-priority weight load would leave the reserve intact.
    pub(super) fn has_reserve(&self) -> bool {
        self.is_unlimited || self.tokens >= RESERVE + 1.0
    }

    /// Consumes one weight load if the limit allows it; returns whether it may start.
    pub(super) fn try_acquire(&mut self) -> bool {
        if self.is_unlimited {
            return true;
        }
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}
