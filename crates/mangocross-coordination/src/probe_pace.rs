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
pub struct ProbePace {
    usual: Duration,
    unsettled_since: Option<Instant>,
}

/// Share of the usual time between probes while a VM is unsettled.
const UNSETTLED_DIVISOR: u32 = 4;
/// Longest time for which a VM counts as unsettled.
const UNSETTLED_MAX: Duration = Duration::from_secs(10);

impl ProbePace {
    /// Returns the pace of a VM that is not known yet.
    pub fn new(usual: Duration) -> Self {
        Self { usual, unsettled_since: None }
    }

    /// Returns the time to the next probe after an answer.
    pub fn answered(&mut self, state: EngineState, now: Instant) -> Duration {
        match state {
            EngineState::Loading => self.unsettled(now),
            EngineState::Idle
            | EngineState::Preloading
            | EngineState::Ready
            | EngineState::Leaving => {
                self.unsettled_since = None;
                self.usual
            }
        }
    }

    /// Returns the time to the next probe after one that failed.
    pub fn failed(&mut self, now: Instant) -> Duration {
        self.unsettled(now)
    }

    fn unsettled(&mut self, now: Instant) -> Duration {
        let since = *self.unsettled_since.get_or_insert(now);
        match now.saturating_duration_since(since) < UNSETTLED_MAX {
            true => self.usual / UNSETTLED_DIVISOR,
            false => self.usual,
        }
    }
}
