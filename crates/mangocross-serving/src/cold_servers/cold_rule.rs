//! How many requests a cold server may get.

use std::time::Duration;

/// Time within which the planned requests are sent: one second, over which arrivals are counted, and
/// the longest difference between the delays of two requests that fits into it.
pub(super) const PLANNED_SPAN: Duration = Duration::from_millis(1250);
/// Fraction of the slack that is planned with. The rest is for requests that arrive bunched.
const PLANNED_SLACK: f64 = 0.25;
/// Maximum fraction of the allowed requests that is planned. The rest is for entry VMs that are
/// missing from the lists of others, up to three in ten of them.
const PLANNED_FRACTION_MAX: f64 = 0.6;
/// Divisor of the unplanned requests that gives the rate, in requests per second, of all entry VMs
/// outside a server's quotas together. Their turns come at random times; with this divisor, more of
/// them than are unplanned within a span are less likely than one in a thousand.
const RARE_TURNS_DIVISOR: f64 = 32.0;

/// Limit on the requests that arrive at a cold server of a service, from all entry VMs together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdRule {
    /// Time for which a server is cold after the start of its process.
    pub start: Duration,
    /// Requests per second that a cold server takes.
    pub per_s: f64,
    /// Factor on `per_s` up to which more requests are tolerated.
    pub overshoot: f64,
    /// Requests that are tolerated in addition.
    pub slack: f64,
}

impl ColdRule {
    /// Returns the maximum number of requests that may arrive in any span of one second.
    pub fn allowed(&self) -> u32 {
        (self.per_s * self.overshoot + self.slack).max(0.0) as u32
    }

    /// Returns the number of requests that the quotas of all entry VMs allow in a planned span.
    pub(super) fn planned(&self) -> u32 {
        let allowed = self.allowed();
        let wanted = self.per_s * PLANNED_SPAN.as_secs_f64() + self.slack * PLANNED_SLACK;
        let planned = wanted.min(f64::from(allowed) * PLANNED_FRACTION_MAX).max(0.0) as u32;
        planned.max(allowed.min(1))
    }

    /// Returns the time between two turns of an entry VM that has no quota at a server, one of
    /// `count` such VMs; `None` if there is no turn.
    pub(super) fn rare_interval(&self, count: usize) -> Option<Duration> {
        let unplanned = self.allowed().saturating_sub(self.planned());
        let per_s = f64::from(unplanned) / RARE_TURNS_DIVISOR;
        Duration::try_from_secs_f64(count.max(1) as f64 / per_s).ok()
    }
}
