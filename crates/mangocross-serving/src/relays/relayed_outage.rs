//! What a relay tells of an outage of the store from which it has just returned.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Moment;

/// The rest of the period in which entries may reappear that expired while the relay was without
/// the store.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use mangocross_serving::Moment;
/// use mangocross_serving::RelayedOutage;
///
/// let at = |ms| Moment::after_boot(Duration::from_millis(ms));
/// let outage = RelayedOutage::new(at(500), at(700), at(2500));
/// assert_eq!(outage.reappear_until(at(10_000)), at(12_000));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedOutage {
    /// Time from the arrival of the question to the answer.
    held: Duration,
    /// Time from the answer to the end of the period.
    rest: Duration,
}

impl RelayedOutage {
    /// Creates what a relay tells in answer to a question; all moments are on the relay's clock.
    pub fn new(arrived_at: Moment, now: Moment, reappear_until: Moment) -> Self {
        Self { held: now.since(arrived_at), rest: reappear_until.since(now) }
    }

    /// Returns the end of the period for the VM that asked at `asked_at`.
    ///
    /// The question arrived later, so this is never later than the end at the relay.
    pub fn reappear_until(&self, asked_at: Moment) -> Moment {
        asked_at + self.held + self.rest
    }
}
