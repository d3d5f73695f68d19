//! Clock interface and implementations.

use std::fmt;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

/// Source of time.
///
/// Safety never depends on [`Clock::wall`]; expiry uses [`Clock::now`], which is
/// monotonic and advances while a process is stopped.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, for display, ages of idempotency keys and order deadlines.
    fn wall(&self) -> SystemTime;
}

/// The machine's clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that only [`ManualClock::advance`] moves, for tests and embedders.
#[derive(Debug)]
pub struct ManualClock {
    base: Instant,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Returns a clock with zero elapsed time.
    pub fn new() -> Self {
        Self { base: Instant::now(), elapsed: Mutex::new(Duration::ZERO) }
    }

    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        let mut elapsed = self.elapsed.lock().unwrap_or_else(PoisonError::into_inner);
        *elapsed += by;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.base + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.elapsed()
    }
}
