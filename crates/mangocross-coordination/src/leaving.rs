//! Which VMs are leaving, so that a lagging list does not bring one back.
//!
//! The report of the platform's list and of the VM itself is kept here, by its
//! age. Passing the report on to a peer does not renew it, so two nodes cannot
//! keep each other's report alive. What operators say is in the configuration,
//! whose revisions only rise, and needs no such table.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use mangocross_types::VmId;

/// When each VM was last said to be leaving.
#[derive(Debug, Clone)]
pub struct LeavingTable {
    kept: Duration,
    said_at: HashMap<VmId, Instant>,
}

impl LeavingTable {
    /// Returns an empty table that keeps the report on a VM for `kept`.
    ///
    /// `kept` must be longer than the platform's list lags.
    pub fn new(kept: Duration) -> Self {
        Self { kept, said_at: HashMap::new() }
    }

    /// Records that a VM was said to be leaving at `said_at`; an older report changes nothing.
    pub fn said(&mut self, vm: &VmId, said_at: Instant) {
        let newest = self.said_at.entry(vm.clone()).or_insert(said_at);
        *newest = (*newest).max(said_at);
    }

    /// Records a peer's report of age `age` in the reply to a question asked at `asked_at`.
    ///
    /// The age counts from the moment of asking, so that transit never makes it younger.
    pub fn peer_said(&mut self, vm: &VmId, age: Duration, asked_at: Instant) {
        if let Some(said_at) = asked_at.checked_sub(age) {
            self.said(vm, said_at);
        }
    }

    /// Returns whether a VM must receive no new work.
    pub fn is_leaving(&self, vm: &VmId, now: Instant) -> bool {
        self.said_at.get(vm).is_some_and(|it| now.saturating_duration_since(*it) < self.kept)
    }

    /// Returns the VMs that are leaving, with the age of the report on each.
    pub fn leaving(&self, now: Instant) -> impl Iterator<Item = (&VmId, Duration)> {
        let aged =
            self.said_at.iter().map(move |(vm, it)| (vm, now.saturating_duration_since(*it)));
        aged.filter(|(_, age)| *age < self.kept)
    }

    /// Forgets reports that are too old to count.
    pub fn forget_old(&mut self, now: Instant) {
        let kept = self.kept;
        self.said_at.retain(|_, it| now.saturating_duration_since(*it) < kept);
    }
}
