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

    /// Forgets entry VMs that have been silent.
    pub fn expire(&mut self, now: Moment) {
        self.peers.retain(|_, it| now.since(it.heard_at) < COUNTS_AGE_MAX);
    }

    /// Returns how many other entry VMs were heard lately.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Returns the requests in progress at a server, as far as is known.
    pub fn in_flight(&self, vm: &VmId, now: Moment) -> u32 {
        let recent = self.peers.values().filter(|it| now.since(it.heard_at) < COUNTS_AGE_MAX);
        let of_peers: u32 = recent.filter_map(|it| it.in_flight.get(vm)).sum();
        self.own.get(vm).copied().unwrap_or_default() + of_peers
    }
}
