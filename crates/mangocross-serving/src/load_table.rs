//! Requests in progress at each backend server, over all entry VMs.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mangocross_types::VmId;

use crate::Moment;

/// Age at which another entry VM's counts no longer hold.
const COUNTS_AGE_MAX: Duration = Duration::from_secs(3);

/// Counts of another entry VM.
#[derive(Debug)]
struct PeerCounts {
    heard_at: Moment,
    in_flight: HashMap<VmId, u32>,
}

/// Own requests in progress, and the latest counts of the other entry VMs.
///
/// Engines report their load some hundred milliseconds late; own counts are
/// exact, and those of the other entry VMs are as old as their last message.
#[derive(Debug, Default)]
pub struct LoadTable {
    own: HashMap<VmId, u32>,
    peers: HashMap<Arc<str>, PeerCounts>,
    totals: Option<Totals>,
    /// Own counts as the entry VM that adds them up knows them.
    reported: HashMap<VmId, u32>,
}

/// Counts of all entry VMs, added up by one of them.
#[derive(Debug)]
struct Totals {
    heard_at: Moment,
    in_flight: HashMap<VmId, u32>,
}

impl LoadTable {
    /// Records a request that was sent to a server.
    pub fn started(&mut self, vm: &VmId) {
        *self.own.entry(vm.clone()).or_default() += 1;
    }

    /// Records the end of a request.
    pub fn ended(&mut self, vm: &VmId) {
        if let Some(count) = self.own.get_mut(vm) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.own.remove(vm);
            }
        }
    }

    /// Returns the own counts.
    pub fn own(&self) -> &HashMap<VmId, u32> {
        &self.own
    }

    /// Takes the counts that another entry VM sent.
    pub fn heard(&mut self, peer: Arc<str>, in_flight: HashMap<VmId, u32>, now: Moment) {
        self.peers.insert(peer, PeerCounts { heard_at: now, in_flight });
    }

    /// Takes the counts of all entry VMs together, this one's last report included.
    pub fn heard_totals(&mut self, in_flight: HashMap<VmId, u32>, now: Moment) {
        self.totals = Some(Totals { heard_at: now, in_flight });
    }

    /// Records that the own counts were sent to the entry VM that adds them up.
    pub fn reported(&mut self) {
        self.reported.clone_from(&self.own);
    }

    /// Returns the counts of all entry VMs together, as far as they were heard.
    pub fn totals(&self, now: Moment) -> HashMap<VmId, u32> {
        let mut totals = self.own.clone();
        let recent = self.peers.values().filter(|it| now.since(it.heard_at) < COUNTS_AGE_MAX);
        for (vm, count) in recent.flat_map(|it| &it.in_flight) {
            *totals.entry(vm.clone()).or_default() += count;
        }
        totals
    }

    /// Forgets entry VMs that have been silent.
    pub fn expire(&mut self, now: Moment) {
        self.totals.take_if(|it| now.since(it.heard_at) >= COUNTS_AGE_MAX);
        self.peers.retain(|_, it| now.since(it.heard_at) < COUNTS_AGE_MAX);
    }

    /// Returns how many other entry VMs were heard lately.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Returns the requests in progress at a server, as far as is known.
    pub fn in_flight(&self, vm: &VmId, now: Moment) -> u32 {
        if let Some(totals) = &self.totals
            && now.since(totals.heard_at) < COUNTS_AGE_MAX
        {
            let all = totals.in_flight.get(vm).copied().unwrap_or_default();
            let reported = self.reported.get(vm).copied().unwrap_or_default();
            let own = self.own.get(vm).copied().unwrap_or_default();
            return all.saturating_sub(reported) + own;
        }
        let recent = self.peers.values().filter(|it| now.since(it.heard_at) < COUNTS_AGE_MAX);
        let of_peers: u32 = recent.filter_map(|it| it.in_flight.get(vm)).sum();
        self.own.get(vm).copied().unwrap_or_default() + of_peers
    }
}
