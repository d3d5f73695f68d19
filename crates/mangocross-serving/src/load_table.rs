//! Requests in progress at each backend server, summed over all entry VMs.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mangocross_types::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::Moment;

/// Age at which the counts of another entry VM expire.
const COUNTS_AGE_MAX: Duration = Duration::from_secs(3);

/// Requests at one backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in progress.
    pub in_flight: u32,
    /// Requests in progress whose first event has not arrived.
    pub waiting: u32,
}

impl Load {
    fn plus(self, other: Self) -> Self {
        Self { in_flight: self.in_flight + other.in_flight, waiting: self.waiting + other.waiting }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            in_flight: self.in_flight.saturating_sub(other.in_flight),
            waiting: self.waiting.saturating_sub(other.waiting),
        }
    }
}

/// Counts received from another entry VM.
#[derive(Debug)]
struct PeerCounts {
    received_at: Moment,
    loads: HashMap<VmId, Load>,
}

/// Requests of this entry VM in progress, and the latest counts of the other entry VMs.
///
/// Engines report their load with a delay of a few hundred milliseconds. Local counts
/// are exact, and those of the other entry VMs are as old as their last message.
#[derive(Debug, Default)]
pub struct LoadTable {
    local: HashMap<VmId, Load>,
    peers: HashMap<Arc<str>, PeerCounts>,
    totals: Option<Totals>,
    /// Local counts as last sent to the entry VM that computes the totals.
    reported: HashMap<VmId, Load>,
}

/// Counts summed over all entry VMs by one of them.
#[derive(Debug)]
struct Totals {
    received_at: Moment,
    loads: HashMap<VmId, Load>,
}

impl LoadTable {
    /// Records a request that was sent to a server.
    pub fn record_start(&mut self, vm: &VmId) {
        let load = self.local.entry(vm.clone()).or_default();
        *load = load.plus(Load { in_flight: 1, waiting: 1 });
    }

    /// Records the first event of a request, or its response.
    pub fn record_first_event(&mut self, vm: &VmId) {
        if let Some(load) = self.local.get_mut(vm) {
            *load = load.minus(Load { in_flight: 0, waiting: 1 });
        }
    }

    /// Records the end of a request; `has_begun` tells whether its first event arrived.
    pub fn record_end(&mut self, vm: &VmId, has_begun: bool) {
        if let Some(load) = self.local.get_mut(vm) {
            *load = load.minus(Load { in_flight: 1, waiting: u32::from(!has_begun) });
            if load.in_flight == 0 {
                self.local.remove(vm);
            }
        }
    }

    /// Returns the counts of this entry VM's own requests, by backend server.
    pub fn local(&self) -> &HashMap<VmId, Load> {
        &self.local
    }

    /// Replaces the counts of another entry VM.
    pub fn apply_peer_counts(&mut self, peer: Arc<str>, loads: HashMap<VmId, Load>, now: Moment) {
        self.peers.insert(peer, PeerCounts { received_at: now, loads });
    }

    /// Replaces the totals of all entry VMs, which include this VM's last report.
    pub fn apply_totals(&mut self, loads: HashMap<VmId, Load>, now: Moment) {
        self.totals = Some(Totals { received_at: now, loads });
    }

    /// Records that the local counts were sent to the entry VM that computes the totals.
    pub fn mark_reported(&mut self) {
        self.reported.clone_from(&self.local);
    }

    /// Returns the local counts plus the recent counts of all other entry VMs.
    pub fn compute_totals(&self, now: Moment) -> HashMap<VmId, Load> {
        let mut totals = self.local.clone();
        let recent = self.peers.values().filter(|it| now.since(it.received_at) < COUNTS_AGE_MAX);
        for (vm, count) in recent.flat_map(|it| &it.loads) {
            let total = totals.entry(vm.clone()).or_default();
            *total = total.plus(*count);
        }
        totals
    }

    /// Removes counts that have expired.
    pub fn expire(&mut self, now: Moment) {
        self.totals.take_if(|it| now.since(it.received_at) >= COUNTS_AGE_MAX);
        self.peers.retain(|_, it| now.since(it.received_at) < COUNTS_AGE_MAX);
    }

    /// Returns the number of other entry VMs with recent counts.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Returns the age of the totals, if they are recent.
    pub fn totals_age(&self, now: Moment) -> Option<Duration> {
        let age = self.totals.as_ref().map(|it| now.since(it.received_at));
        age.filter(|it| *it < COUNTS_AGE_MAX)
    }

    /// Returns the load of a server, from the totals if they are recent, else from the counts of
    /// the individual entry VMs.
    pub fn load(&self, vm: &VmId, now: Moment) -> Load {
        let of = |counts: &HashMap<VmId, Load>| counts.get(vm).copied().unwrap_or_default();
        if let Some(totals) = &self.totals
            && now.since(totals.received_at) < COUNTS_AGE_MAX
        {
            return of(&totals.loads).minus(of(&self.reported)).plus(of(&self.local));
        }
        let recent = self.peers.values().filter(|it| now.since(it.received_at) < COUNTS_AGE_MAX);
        recent.fold(of(&self.local), |sum, it| sum.plus(of(&it.loads)))
    }
}
