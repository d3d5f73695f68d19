//! Randomizes retry delays, so that refused callers do not return at the same time.

use std::time::Duration;

/// Returns a random time between `base` and twice `base`.
pub(crate) fn jittered(base: Duration) -> Duration {
    base + base.mul_f64(fastrand::f64())
}
