//! Circuit breaker for claims while the store fails.

use std::time::Duration;
use std::time::Instant;

/// Shortest time between tries while the store fails.
const TRY_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Longest time between tries while the store fails, not counting the try itself.
const TRY_INTERVAL_MAX: Duration = Duration::from_millis(300);
/// Time after which another try is admitted if the last one has not ended.
const TRY_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Circuit breaker: admits one claim at a time while the store fails, so that the others are
/// refused at once instead of timing out.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    next_try: Option<Instant>,
}

impl StoreHealth {
    /// Admits a claim, if one may be tried now.
    ///
    /// While the store fails, no other is admitted until this one ends or times out.
    pub(crate) fn try_admit(&mut self, now: Instant) -> bool {
        match self.next_try {
            None => true,
            Some(due) if now < due => false,
            Some(_) => {
                self.next_try = Some(now + TRY_TIMEOUT);
                true
            }
        }
    }

    pub(crate) fn succeeded(&mut self) {
        self.next_try = None;
    }

    pub(crate) fn failed(&mut self, now: Instant) {
        let jitter =
            fastrand::u64(TRY_INTERVAL_MIN.as_millis() as u64..TRY_INTERVAL_MAX.as_millis() as u64);
        self.next_try = Some(now + Duration::from_millis(jitter));
    }
}
