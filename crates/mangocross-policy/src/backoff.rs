//! Waiting times that keep clients from returning together.

use std::time::Duration;

/// Shortest and longest time that a refused client is told to wait, before it is spread.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(500);
pub(crate) const RETRY_AFTER_MAX: Duration = Duration::from_secs(20);

/// Returns the wait before a retry: anything up to `base` doubled with each
/// attempt, and at most `max`.
pub fn full_jitter(base: Duration, max: Duration, attempt: u32, seed: u64) -> Duration {
    let doubled = base.saturating_mul(1_u32.checked_shl(attempt).unwrap_or(u32::MAX));
    let bound = doubled.min(max);
    bound.mul_f64(fastrand::Rng::with_seed(seed).f64())
}

/// Spreads the time after which a refused client should come back over half to
/// one and a half of it.
pub fn spread_retry_after(wait: Duration, seed: u64) -> Duration {
    let spread = 0.5 + fastrand::Rng::with_seed(seed).f64();
    wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX).mul_f64(spread)
}
