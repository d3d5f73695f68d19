//! Time since the VM booted.

use std::ops::Add;
use std::time::Duration;

/// A point in time, counted from the VM's boot.
///
/// Unlike [`std::time::Instant`], it goes on while the VM is suspended, so a
/// proof that was taken before a suspension is seen to be old after it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(Duration);

impl Moment {
    /// Returns the moment at a time after boot.
    pub fn after_boot(since: Duration) -> Self {
        Self(since)
    }

    /// Returns the time that has passed since an earlier moment; zero if it is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the moment that lies a time before this one.
    #[must_use]
    pub fn before(self, by: Duration) -> Self {
        Self(self.0.saturating_sub(by))
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
    /// Returns the present moment.
    fn now(&self) -> Moment;
}
