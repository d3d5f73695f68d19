//! Waiting times that keep clients from returning together.

use std::time::Duration;

/// Shortest and longest time that a refused client is told to wait.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(250);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);

/// Returns the wait before a retry: anything up to `base` doubled with each
/// attempt, and at most `max`.
pub fn full_jitter(base: Duration, max: Duration, attempt: u32, seed: u64) -> Duration {
    let doubled = base.saturating_mul(1_u32.checked_shl(attempt).unwrap_or(u32::MAX));
    let bound = doubled.min(max);
    bound.mul_f64(fastrand::Rng::with_seed(seed).f64())
}

/// Returns when a refused client should come back.
///
/// `waiting` clients before it leave at `drained_per_second`; the answer is
/// spread over half to one and a half of the time which that takes.
pub fn spread_retry_after(waiting: u32, drained_per_second: f64, seed: u64) -> Duration {
    let drain_s = (f64::from(waiting) + 1.0) / drained_per_second.max(0.01);
    let spread = 0.5 + fastrand::Rng::with_seed(seed).f64();
    let bounded_s =
        drain_s.clamp(2.0 * RETRY_AFTER_MIN.as_secs_f64(), RETRY_AFTER_MAX.as_secs_f64() / 1.5);
    Duration::from_secs_f64(bounded_s * spread)
}
