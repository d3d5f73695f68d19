//! First-token times of groups, as observed by this process.

use std::collections::BTreeMap;
use std::time::Duration;

use mangocross_types::GroupId;

/// Weight of a new observation in the exponential moving average.
const NEW_OBSERVATION_WEIGHT: f64 = 0.2;

/// Smoothed first-token times by group.
#[derive(Debug, Clone, Default)]
pub struct FirstTokenTimes {
    by_group: BTreeMap<GroupId, f64>,
}

impl FirstTokenTimes {
    /// Records the time from sending a request to its first token, or to the
    /// moment that the request was abandoned.
    pub fn observe(&mut self, group: &GroupId, time: Duration) {
        let time_s = time.as_secs_f64();
        let smoothed = self.by_group.entry(group.clone()).or_insert(time_s);
        *smoothed += NEW_OBSERVATION_WEIGHT * (time_s - *smoothed);
    }

    /// Returns the smoothed time of a group; `None` if none was observed.
    pub fn get(&self, group: &GroupId) -> Option<Duration> {
        self.by_group.get(group).map(|it| Duration::from_secs_f64(*it))
    }

    /// Removes the observations of a group, for example when it is re-formed.
    pub fn remove(&mut self, group: &GroupId) {
        self.by_group.remove(group);
    }
}
