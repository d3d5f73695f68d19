//! Spreads the times at which refused callers come back.

use std::time::Duration;

/// Returns a random time between `base` and twice `base`.
pub(crate) fn spread(base: Duration) -> Duration {
    base + base.mul_f64(fastrand::f64())
}
