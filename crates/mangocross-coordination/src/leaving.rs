//! Which VMs are leaving, so that an outdated platform list does not reinstate one.
//!
//! The table holds reports from the platform's list and from the VMs themselves with their age.
//! Relaying a report to a peer does not renew it, so two processes cannot keep each other's report
//! alive. Operators mark VMs as leaving in the configuration, whose revisions only increase, so
//! that needs no such table.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use mangocross_types::VmId;

/// The time of the newest report on each VM that is leaving.
#[derive(Debug, Clone)]
pub struct LeavingTable {
    retention: Duration,
    reported_at: HashMap<VmId, Instant>,
}

impl LeavingTable {
    /// Returns an empty table that keeps the report on a VM for `retention`.
    ///
    /// `retention` must be longer than the lag of the platform's list.
    pub fn new(retention: Duration) -> Self {
        Self { retention, reported_at: HashMap::new() }
    }

    /// Records that a VM was reported as leaving at `reported_at`; an older report is ignored.
    pub fn record(&mut self, vm: &VmId, reported_at: Instant) {
        let newest = self.reported_at.entry(vm.clone()).or_insert(reported_at);
        *newest = (*newest).max(reported_at);
    }

    /// Records a peer's report of age `age` from the reply to a poll that was sent at `sent_at`.
    ///
    /// The age counts from the time of the poll, so that network latency never makes it younger.
    pub fn record_peer(&mut self, vm: &VmId, age: Duration, sent_at: Instant) {
        if let Some(reported_at) = sent_at.checked_sub(age) {
            self.record(vm, reported_at);
        }
    }

    /// Returns whether a VM is leaving and must not receive new work.
    pub fn is_leaving(&self, vm: &VmId, now: Instant) -> bool {
        self.reported_at
            .get(vm)
            .is_some_and(|it| now.saturating_duration_since(*it) < self.retention)
    }

    /// Returns the VMs that are leaving, with the age of the report on each.
    pub fn leaving(&self, now: Instant) -> impl Iterator<Item = (&VmId, Duration)> {
        let aged =
            self.reported_at.iter().map(move |(vm, it)| (vm, now.saturating_duration_since(*it)));
        aged.filter(|(_, age)| *age < self.retention)
    }

    /// Removes expired reports.
    pub fn remove_expired(&mut self, now: Instant) {
        let retention = self.retention;
        self.reported_at.retain(|_, it| now.saturating_duration_since(*it) < retention);
    }
}
