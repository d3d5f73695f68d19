//! How often the VM of a backend server is probed.

use std::time::Duration;
use std::time::Instant;

use mangocross_types::EngineState;

/// The interval between the probes of one VM.
///
/// A VM that is loading or may be lost is probed more often for a limited time, because a group
/// that waits for it is down until the next probe. The limit keeps VMs that do not return from
/// increasing the probe traffic permanently.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use std::time::Instant;
///
/// use mangocross_coordination::ProbeInterval;
/// use mangocross_types::EngineState;
///
/// let base = Duration::from_secs(1);
/// let mut interval = ProbeInterval::new(base);
/// let now = Instant::now();
/// assert_eq!(interval.after_answer(EngineState::Ready, now), base);
/// assert!(interval.after_failure(now) < base);
/// ```
#[derive(Debug, Clone)]
pub struct ProbeInterval {
    base: Duration,
    unstable_since: Option<Instant>,
}

/// Divisor of the base interval while a VM is unstable: loading, or failing its probes.
const UNSTABLE_DIVISOR: u32 = 4;
/// Longest time for which a VM counts as unstable.
const UNSTABLE_MAX: Duration = Duration::from_secs(10);

impl ProbeInterval {
    /// Returns the interval of a VM that has not been probed; `base` applies while it is stable.
    pub fn new(base: Duration) -> Self {
        Self { base, unstable_since: None }
    }

    /// Returns the time to the next probe after an answer.
    pub fn after_answer(&mut self, state: EngineState, now: Instant) -> Duration {
        match state {
            EngineState::Loading => self.unstable_interval(now),
            EngineState::Idle
            | EngineState::Preloading
            | EngineState::Ready
            | EngineState::Leaving => {
                self.unstable_since = None;
                self.base
            }
        }
    }

    /// Returns the time to the next probe after one that failed.
    pub fn after_failure(&mut self, now: Instant) -> Duration {
        self.unstable_interval(now)
    }

    fn unstable_interval(&mut self, now: Instant) -> Duration {
        let since = *self.unstable_since.get_or_insert(now);
        match now.saturating_duration_since(since) < UNSTABLE_MAX {
            true => self.base / UNSTABLE_DIVISOR,
            false => self.base,
        }
    }
}
