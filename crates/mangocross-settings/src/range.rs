//! Valid ranges of settings.

use std::ops::RangeInclusive;

/// Shortest secret, in characters.
const SECRET_CHARS_MIN: usize = 16;
/// Valid times between polls, in milliseconds.
pub(crate) const POLL_INTERVAL_MS: RangeInclusive<u64> = 1..=5_000;
/// Valid durations of a freshness lease, in milliseconds. The longest leaves 4 s of the 19 s within
/// which a change must be in force.
pub(crate) const FRESHNESS_LEASE_MS: RangeInclusive<u64> = 100..=15_000;
/// Valid times between probes, in milliseconds.
pub(crate) const PROBE_INTERVAL_MS: RangeInclusive<u64> = 10..=10_000;
/// Valid values of other times, in milliseconds: up to an hour.
pub(crate) const TIME_MS: RangeInclusive<u64> = 1..=3_600_000;
/// Poll intervals that a freshness lease must cover, so that it outlasts lost polls.
const POLLS_PER_LEASE: u64 = 3;

/// Checks that a setting is within its range.
pub(crate) fn check_range(
    name: &str,
    value: u64,
    range: RangeInclusive<u64>,
) -> Result<(), String> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(format!("`{name}` is {value}; use {} to {}", range.start(), range.end()))
}

/// Checks that a setting is a fraction from 0 to 1.
pub(crate) fn check_share(name: &str, value: f64) -> Result<(), String> {
    if (0.0..=1.0).contains(&value) {
        return Ok(());
    }
    Err(format!("`{name}` must be from 0 to 1"))
}

/// Checks the duration of a freshness lease and the poll interval that renews it.
pub(crate) fn check_freshness_lease(lease_ms: u64, poll_interval_ms: u64) -> Result<(), String> {
    check_range("poll_interval_ms", poll_interval_ms, POLL_INTERVAL_MS)?;
    check_range("vouch_ms", lease_ms, FRESHNESS_LEASE_MS)?;
    if lease_ms < POLLS_PER_LEASE * poll_interval_ms {
        return Err("`vouch_ms` is less than three poll intervals; raise it".into());
    }
    Ok(())
}

/// Checks the minimum length of a secret.
pub(crate) fn check_secret(name: &str, secret: &str) -> Result<(), String> {
    if secret.chars().count() < SECRET_CHARS_MIN {
        return Err(format!("`{name}` is too short; use {SECRET_CHARS_MIN} characters or more"));
    }
    Ok(())
}
