//! First-token times of groups, as this process observed them.

use std::collections::BTreeMap;
use std::time::Duration;

use mangocross_types::GroupId;

/// Weight of a new observation.
const WEIGHT_OF_NEW: f64 = 0.2;

/// Smoothed first-token times by group.
#[derive(Debug, Clone, Default)]
pub struct FirstTokenTimes {
    by_group: BTreeMap<GroupId, f64>,
}

impl FirstTokenTimes {
    /// Takes in the time from sending a request to its first token, or to the
    /// moment that the request was given up on.
    pub fn observe(&mut self, group: &GroupId, time: Duration) {
        let time_s = time.as_secs_f64();
        let smoothed = self.by_group.entry(group.clone()).or_insert(time_s);
        *smoothed += WEIGHT_OF_NEW * (time_s - *smoothed);
    }

    /// Returns the smoothed time of a group.
    pub fn get(&self, group: &GroupId) -> Option<Duration> {
        self.by_group.get(group).map(|it| Duration::from_secs_f64(*it))
    }

    /// Drops what was observed of a group, as when it is formed anew.
    pub fn remove(&mut self, group: &GroupId) {
        self.by_group.remove(group);
    }
}
