//! Decides as of which moment a periodic check judges the silence of servers.

use std::time::Duration;

use crate::Moment;

/// Lateness up to which a check is on time.
const LATENESS_MAX: Duration = Duration::from_millis(10);
/// Time since the last check from which a check judges nothing.
const PAUSE_MIN: Duration = Duration::from_millis(200);

/// The moments of periodic checks.
///
/// A late check shows that this process did not run: what servers sent since the check before may
/// not have been read, so their silence is judged as of that one.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use mangocross_serving::Moment;
/// use mangocross_serving::SilenceChecks;
///
/// let at = |ms| Moment::after_boot(Duration::from_millis(ms));
/// let mut checks = SilenceChecks::new(Duration::from_millis(50), at(1000));
/// assert_eq!(checks.next(at(1050)), Some(at(1050)));
/// assert_eq!(checks.next(at(1200)), Some(at(1050)));
/// ```
#[derive(Debug)]
pub struct SilenceChecks {
    interval: Duration,
    checked_at: Moment,
}

impl SilenceChecks {
    /// Creates checks of which the first one is due after an interval.
    pub fn new(interval: Duration, now: Moment) -> Self {
        Self { interval, checked_at: now }
    }

    /// Records a check; returns the moment as of which it judges, or `None` after a long pause.
    pub fn next(&mut self, now: Moment) -> Option<Moment> {
        let before = std::mem::replace(&mut self.checked_at, now);
        match now.since(before) {
            it if it >= PAUSE_MIN => None,
            it if it > self.interval + LATENESS_MAX => Some(before),
            _ => Some(now),
        }
    }
}
