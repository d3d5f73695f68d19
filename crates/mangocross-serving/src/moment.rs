//! Points in time relative to the boot of the VM.

use std::ops::Add;
use std::time::Duration;

/// A point in time, measured from the VM's boot.
///
/// Unlike [`std::time::Instant`], it advances while the VM is suspended, so a
/// confirmation from before a suspension counts as old afterwards.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(Duration);

impl Moment {
    /// Creates the moment that lies a duration after boot.
    pub fn after_boot(since: Duration) -> Self {
        Self(since)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the moment that lies `by` before this one, but not before boot.
    #[must_use]
    pub fn before(self, by: Duration) -> Self {
        Self(self.0.saturating_sub(by))
    }

    /// Returns the moment that lies `by` before this one, unless that is before boot.
    pub fn checked_before(self, by: Duration) -> Option<Self> {
        self.0.checked_sub(by).map(Self)
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, by: Duration) -> Self {
        Self(self.0 + by)
    }
}

/// Source of [`Moment`]s.
pub trait BootClock {
    /// Returns the time since boot.
    fn now(&self) -> Moment;
}
