//! How often a backend server's VM is probed.

use std::time::Duration;
use std::time::Instant;

use mangocross_types::EngineState;

/// Times between the probes of one VM.
///
/// A VM that is about to change, or may be lost, is probed more often for a
/// while: a group that waits for it is down until the next probe. The while is
/// bounded, so that VMs that stay away do not raise the traffic for good.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use std::time::Instant;
///
/// use mangocross_coordination::ProbePace;
/// use mangocross_types::EngineState;
///
/// let usual = Duration::from_secs(1);
/// let mut pace = ProbePace::new(usual);
/// let now = Instant::now();
/// assert_eq!(pace.answered(EngineState::Ready, now), usual);
/// assert!(pace.failed(now) < usual);
/// ```
#[derive(Debug, Clone)]
pub struct ProbeInterval {
    base: Duration,
    unstable_since: Option<Instant>,
}

/// Share of the usual time between probes while a VM is unsettled.
const UNSTABLE_DIVISOR: u32 = 4;
/// Longest time for which a VM counts as unsettled.
const UNSTABLE_MAX: Duration = Duration::from_secs(10);

impl ProbeInterval {
    /// Returns the pace of a VM that is not known yet.
    pub fn new(base: Duration) -> Self {
        Self { base, unstable_since: None }
    }

    /// Returns the time to the next probe after an answer.
    pub fn after_answer(&mut self, state: EngineState, now: Instant) -> Duration {
        match state {
            EngineState::Loading => self.unstable(now),
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
        self.unstable(now)
    }

    fn unstable(&mut self, now: Instant) -> Duration {
        let since = *self.unstable_since.get_or_insert(now);
        match now.saturating_duration_since(since) < UNSTABLE_MAX {
            true => self.base / UNSTABLE_DIVISOR,
            false => self.base,
        }
    }
}
