//! Whether claims may be tried while the store fails.

use std::time::Duration;
use std::time::Instant;

/// Shortest time between tries while the store fails.
const PROBE_MIN: Duration = Duration::from_millis(100);
/// Longest time between tries while the store fails, beside the try itself.
const PROBE_MAX: Duration = Duration::from_millis(300);
/// Longest time for a try.
const TRY_MAX: Duration = Duration::from_millis(2_000);

/// Lets one claim at a time through while the store fails, so that the others
/// are refused at once instead of waiting in vain.
#[derive(Debug, Default)]
pub(crate) struct StoreHealth {
    next_try: Option<Instant>,
}

impl StoreHealth {
    /// Returns whether a claim may be tried now.
    pub(crate) fn admits(&mut self, now: Instant) -> bool {
        match self.next_try {
            None => true,
            Some(due) if now < due => false,
            Some(_) => {
                self.next_try = Some(now + TRY_MAX);
                true
            }
        }
    }

    pub(crate) fn succeeded(&mut self) {
        self.next_try = None;
    }

    pub(crate) fn failed(&mut self, now: Instant) {
        let spread = fastrand::u64(PROBE_MIN.as_millis() as u64..PROBE_MAX.as_millis() as u64);
        self.next_try = Some(now + Duration::from_millis(spread));
    }
}
