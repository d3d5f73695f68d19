//! Estimates the time since a caller's first attempt from the deadlines of its requests.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// The longest deadline received on each route.
///
/// A caller that was refused retries with the rest of its deadline, so the
/// difference to the longest deadline is the time since its first attempt. This assumes
/// that all callers of a route use the same deadline; a shorter one counts as time elapsed.
#[derive(Debug, Default)]
pub struct LongestDeadlines {
    by_route: HashMap<Arc<str>, Duration>,
}

impl LongestDeadlines {
    /// Records a request's deadline and returns the estimated time since its caller's first
    /// attempt.
    pub fn record_and_estimate_elapsed(
        &mut self,
        route: &Arc<str>,
        deadline: Duration,
    ) -> Duration {
        let longest = self.by_route.entry(Arc::clone(route)).or_insert(deadline);
        *longest = deadline.max(*longest);
        *longest - deadline
    }

    /// Removes routes for which `is_kept` returns false.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.by_route.retain(|route, _| is_kept(route));
    }
}
