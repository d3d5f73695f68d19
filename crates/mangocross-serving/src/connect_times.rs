//! Time limit for connections, from the times that earlier ones took.

use std::time::Duration;

/// Weight of a new time in the mean, as in TCP's estimate of the round-trip time.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of a new deviation in the mean deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Number of mean deviations above the mean that a connection may take.
const DEVIATIONS: f64 = 4.0;
/// Connections that are needed for an estimate.
const SAMPLES_MIN: u32 = 8;
/// Shortest limit; leaves time for a server that is slow to accept.
const LIMIT_MIN: Duration = Duration::from_millis(60);
/// Longest limit, and the one without an estimate.
const LIMIT_MAX: Duration = Duration::from_millis(300);

/// Estimates how long a connection to a server that lives may take.
///
/// A server that has gone dark leaves connections unanswered. A request that waits for the
/// longest limit misses its target latency, while another server could have it within a
/// few round trips.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConnectTimes {
    samples: u32,
    mean_s: f64,
    deviation_s: f64,
}

impl ConnectTimes {
    /// Records the time that a connection took.
    pub fn record(&mut self, time: Duration) {
        let time_s = time.as_secs_f64();
        if self.samples == 0 {
            self.mean_s = time_s;
            self.deviation_s = time_s / 2.0;
        } else {
            let difference_s = time_s - self.mean_s;
            self.mean_s += MEAN_WEIGHT * difference_s;
            self.deviation_s += DEVIATION_WEIGHT * (difference_s.abs() - self.deviation_s);
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the limit for a connection after `failures` failed ones of the same request.
    ///
    /// Only the first has the short limit: if several fail, the network may be slow.
    pub fn limit(&self, failures: u32) -> Duration {
        if self.samples < SAMPLES_MIN || failures > 0 {
            return LIMIT_MAX;
        }
        let limit = Duration::from_secs_f64(self.mean_s + DEVIATIONS * self.deviation_s);
        limit.clamp(LIMIT_MIN, LIMIT_MAX)
    }
}
