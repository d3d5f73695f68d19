//! How long callers have been waiting since their first attempt.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// The longest deadline that callers sent on each route.
///
/// A caller that was refused comes back with what is left of its deadline, so
/// the difference is the time since its first attempt.
#[derive(Debug, Default)]
pub struct FirstAttempts {
    longest: HashMap<Arc<str>, Duration>,
}

impl FirstAttempts {
    /// Records a request's deadline and returns how long its caller has been waiting.
    pub fn elapsed(&mut self, route: &Arc<str>, deadline: Duration) -> Duration {
        let longest = self.longest.entry(Arc::clone(route)).or_insert(deadline);
        *longest = deadline.max(*longest);
        *longest - deadline
    }

    /// Forgets routes that the configuration no longer holds.
    pub fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.longest.retain(|route, _| is_kept(route));
    }
}
