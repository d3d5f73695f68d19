//! Schedules when refused callers retry.

use std::time::Duration;
use std::time::Instant;

use crate::backoff::RETRY_AFTER_MAX;

/// Minimum number of retries scheduled per second.
const PER_SECOND_MIN: f64 = 0.05;

/// Schedules the retries of refused callers one after the other.
///
/// Each retry has its own time, as long after the previous one as it takes to
/// serve a caller, so that callers that keep to it find free capacity. Retries that
/// would come after [`RETRY_AFTER_MAX`] are all scheduled at that time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct RetrySchedule {
    scheduled_until: Option<Instant>,
}

impl RetrySchedule {
    /// Returns whether a scheduled retry is still to come.
    pub(crate) fn has_pending(&self, now: Instant) -> bool {
        self.scheduled_until.is_some_and(|it| it > now)
    }

    /// Schedules the next retry, at `per_second`, and returns the delay until then.
    pub(crate) fn schedule_next(&mut self, per_second: f64, now: Instant) -> Duration {
        let spacing = Duration::from_secs_f64(1.0 / per_second.max(PER_SECOND_MIN));
        let start = self.scheduled_until.map_or(now, |it| it.max(now));
        let next = (start + spacing).min(now + RETRY_AFTER_MAX);
        self.scheduled_until = Some(next);
        next - now
    }
}
