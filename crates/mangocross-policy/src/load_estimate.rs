//! Estimates the load of a group from lagging reports and own requests since.

use std::collections::VecDeque;
use std::time::Instant;

/// Maximum number of own events kept; older ones are assumed to be in the report.
const EVENTS_MAX: usize = 1024;

/// Estimates the load of one group.
#[derive(Debug, Clone, Default)]
pub struct LoadEstimate {
    own_in_flight: u32,
    reported: Option<(u32, Instant)>,
    events: VecDeque<(Instant, i32)>,
}

impl LoadEstimate {
    /// Records a request sent to the group.
    pub fn record_sent(&mut self, now: Instant) {
        self.own_in_flight += 1;
        self.push(now, 1);
    }

    /// Records the end of a request sent to the group.
    pub fn record_end(&mut self, now: Instant) {
        self.own_in_flight = self.own_in_flight.saturating_sub(1);
        self.push(now, -1);
    }

    /// Applies a report of the load as of `measured_at`; older reports are ignored.
    pub fn apply_report(&mut self, load: u32, measured_at: Instant) {
        if self.reported.is_some_and(|(_, at)| at >= measured_at) {
            return;
        }
        self.reported = Some((load, measured_at));
        while self.events.front().is_some_and(|(at, _)| *at <= measured_at) {
            self.events.pop_front();
        }
    }

    /// Returns this process's requests in flight at the group.
    pub fn own_in_flight(&self) -> u32 {
        self.own_in_flight
    }

    /// Returns the last reported load, adjusted by own requests since then.
    pub fn load(&self) -> u32 {
        let Some((reported, _)) = self.reported else { return self.own_in_flight };
        let since: i64 = self.events.iter().map(|(_, change)| i64::from(*change)).sum();
        let load = i64::from(reported) + since;
        u32::try_from(load.max(i64::from(self.own_in_flight))).unwrap_or(u32::MAX)
    }

    fn push(&mut self, now: Instant, change: i32) {
        if self.events.len() == EVENTS_MAX {
            self.events.pop_front();
        }
        self.events.push_back((now, change));
    }
}
