//! The error of the predicted times to the first event.

use std::time::Duration;

use crate::Moment;

/// Time in which the error halves if nothing is observed.
const HALF_LIFE: Duration = Duration::from_millis(400);
/// Number of observations that weigh as much as the former value.
const FORMER_WEIGHT: f64 = 8.0;
/// Error that counts as none: predictions go by counts that are some tenths of a second old.
const TOLERATED: f64 = 0.25;
/// Share by which an error of a whole target latency lowers the capacity.
const REDUCTION_MAX: f64 = 0.4;

/// The smoothed time by which first events come later than predicted, as a share of the target
/// latency.
///
/// It is known about as late as a queue forms, so it corrects the rate at which admitted streams
/// arrive rather than the prediction for one of them.
#[derive(Debug, Clone, Default)]
pub struct FirstEventError {
    share: f64,
    at: Moment,
}

impl FirstEventError {
    /// Records the mean of some observations, each at most the target latency.
    pub fn record(&mut self, mean_share: f64, observations: u32, now: Moment) {
        let former = self.share(now);
        let weight = f64::from(observations) / (f64::from(observations) + FORMER_WEIGHT);
        self.share = (former + (mean_share - former) * weight).clamp(0.0, 1.0);
        self.at = now;
    }

    /// Returns the error.
    pub fn share(&self, now: Moment) -> f64 {
        let half_lives = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.share * 0.5_f64.powf(half_lives)
    }

    /// Returns the share by which the capacity is lowered.
    pub fn capacity_reduction(&self, now: Moment) -> f64 {
        REDUCTION_MAX * (self.share(now) - TOLERATED).max(0.0) / (1.0 - TOLERATED)
    }
}
