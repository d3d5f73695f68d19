//! The largest recent value of a limit that changes.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Moment;

/// Returns the largest of the values that were in force within a period.
///
/// Those who go by a limit learn of a smaller one with a delay.
#[derive(Debug)]
pub struct RecentMaximum {
    period: Duration,
    /// Values, each with the time until which it counts; the last one is in force.
    values: VecDeque<(Duration, Moment)>,
}

impl RecentMaximum {
    /// Creates a maximum without values.
    pub fn new(period: Duration) -> Self {
        Self { period, values: VecDeque::new() }
    }

    /// Records the value that is in force now, and returns the largest recent one.
    pub fn record(&mut self, value: Duration, now: Moment) -> Duration {
        let until = now + self.period;
        match self.values.back_mut() {
            Some((latest, counts_until)) if *latest == value => *counts_until = until,
            Some(_) | None => self.values.push_back((value, until)),
        }
        self.values.retain(|(_, until)| now < *until);
        self.values.iter().map(|(it, _)| *it).max().unwrap_or(value)
    }
}
