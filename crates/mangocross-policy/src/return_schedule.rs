//! When refused clients come back.

use std::time::Duration;
use std::time::Instant;

use crate::backoff::RETRY_AFTER_MAX;

/// Fewest returns a second that are booked.
const PER_SECOND_MIN: f64 = 0.05;

/// Books the returns of refused clients one after the other.
///
/// Each return has its own time, as far behind the last one as it takes to
/// serve a client, so that clients who come as told find room.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ReturnSchedule {
    booked_until: Option<Instant>,
}

impl ReturnSchedule {
    /// Returns whether a client is still to return.
    pub(crate) fn is_booked(&self, now: Instant) -> bool {
        self.booked_until.is_some_and(|it| it > now)
    }

    /// Books the next return, with so many a second, and returns the time until then.
    pub(crate) fn book(&mut self, per_second: f64, now: Instant) -> Duration {
        let spacing = Duration::from_secs_f64(1.0 / per_second.max(PER_SECOND_MIN));
        let booked = self.booked_until.map_or(now, |it| it.max(now));
        let next = (booked + spacing).min(now + RETRY_AFTER_MAX);
        self.booked_until = Some(next);
        next - now
    }
}
