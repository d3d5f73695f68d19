//! History of a group's service and slowdown.

/// Service of one group over time.
#[derive(Debug, Clone, Default)]
pub struct Timeline {
    changes: Vec<(u64, f64)>,
}

impl Timeline {
    /// Records the group's slowdown from `at_ms` on; zero while it does not serve.
    pub(crate) fn record(&mut self, at_ms: u64, slowdown: f64) {
        if self.changes.last().is_none_or(|(_, last)| *last != slowdown) {
            self.changes.push((at_ms, slowdown));
        }
    }

    /// Returns the slowdown at a time, or `None` while the group does not serve.
    pub fn slowdown(&self, at_ms: u64) -> Option<f64> {
        let next = self.changes.partition_point(|(from, _)| *from <= at_ms);
        let slowdown = self.changes.get(next.checked_sub(1)?)?.1;
        (slowdown > 0.0).then_some(slowdown)
    }

    /// Returns whether the group served without interruption from one time to another.
    pub fn serves_throughout(&self, from_ms: u64, to_ms: u64) -> bool {
        let is_outage =
            |(at, slowdown): &(u64, f64)| *at > from_ms && *at <= to_ms && *slowdown <= 0.0;
        self.slowdown(from_ms).is_some() && !self.changes.iter().any(is_outage)
    }

    /// Returns when the group next stops serving.
    pub fn next_outage(&self, from_ms: u64) -> Option<u64> {
        let mut later = self.changes.iter().filter(|(at, _)| *at > from_ms);
        later.find(|(_, slowdown)| *slowdown <= 0.0).map(|(at, _)| *at)
    }
}
