//! Retry delays with jitter, so that callers do not retry at the same time.

use std::time::Duration;

/// Bounds of the delay given to a refused caller, before jitter.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);
pub(crate) const RETRY_AFTER_MAX: Duration = Duration::from_secs(20);

/// Returns the delay before a retry: random, up to `base` doubled with each
/// attempt, and at most `max`.
pub fn full_jitter(base: Duration, max: Duration, attempt: u32, seed: u64) -> Duration {
    let doubled = base.saturating_mul(1_u32.checked_shl(attempt).unwrap_or(u32::MAX));
    let bound = doubled.min(max);
    bound.mul_f64(fastrand::Rng::with_seed(seed).f64())
}

/// Spreads the delay after which a refused caller should retry over half to one
/// and a half times its value.
pub fn spread_retry_after(wait: Duration, seed: u64) -> Duration {
    let spread = 0.5 + fastrand::Rng::with_seed(seed).f64();
    wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX).mul_f64(spread)
}
