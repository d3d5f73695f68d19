//! When refused callers are to come back.

use std::time::Duration;

/// Minimum time until a refused caller comes back.
const RETURN_MIN: Duration = Duration::from_millis(400);
/// Minimum length of the span over which refused callers come back.
const SPREAD_MIN: Duration = Duration::from_millis(600);

/// Refused callers and the capacity for them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExpectedReturns {
    /// Streams that are refused each second.
    pub refused_per_s: f64,
    /// Streams each second for which capacity becomes free.
    pub free_per_s: f64,
}

impl ExpectedReturns {
    /// Returns the time after which a refused caller is to come back, of which `limit` is the longest
    /// and `draw`, a random number below 1, chooses one.
    ///
    /// Those that are refused within the limit need so many times it as their rate exceeds what becomes
    /// free; they are spread around that time, or over the last half of the limit if that is shorter.
    pub fn return_after(&self, limit: Duration, draw: f64) -> Duration {
        let needed = limit.mul_f64((self.refused_per_s / self.free_per_s.max(0.1)).min(1.0));
        let earliest = (needed / 2).max(RETURN_MIN);
        let latest = (needed * 3 / 2).max(earliest + SPREAD_MIN).min(limit);
        let earliest =
            earliest.min(latest.saturating_sub(SPREAD_MIN)).max(limit.min(RETURN_MIN) / 2);
        earliest + latest.saturating_sub(earliest).mul_f64(draw)
    }
}
