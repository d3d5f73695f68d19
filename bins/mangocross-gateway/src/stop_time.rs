//! The end of a planned stop, by which every request that was taken is answered.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;
use std::time::Instant;

/// Time that the last answers before the exit take to be sent.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(300);

/// When the last answers of a planned stop are to be sent; unknown until the stop begins.
#[derive(Debug, Clone, Default)]
pub(crate) struct StopTime(Arc<OnceLock<Instant>>);

impl StopTime {
    /// Records that the process exits at a moment at the latest.
    pub(crate) fn set_exit(&self, exit_at: Instant) {
        // A second signal does not move the exit.
        let _ = self.0.set(exit_at.checked_sub(LAST_ANSWER_TIME).unwrap_or(exit_at));
    }

    /// Returns whether requests in flight are to be answered now, with what is known of them.
    pub(crate) fn is_over(&self, now: Instant) -> bool {
        self.0.get().is_some_and(|it| *it <= now)
    }

    /// Returns the earlier of a deadline and the time of the last answers.
    pub(crate) fn limit(&self, deadline: Instant) -> Instant {
        self.0.get().map_or(deadline, |it| deadline.min(*it))
    }
}
