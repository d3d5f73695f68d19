//! Which coordinators are live, which of them plans placements, and how often this one polls and
//! reads.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::peer_poll_stride;
use mangocross_coordination::preferred_owner;
use mangocross_types::Placements;
use mangocross_types::Revision;
use mangocross_types::VmId;
use peer_entry::DomainSummary;

use crate::state::CoordinatorState;
use crate::state::lock;

/// Poll strides whose skipped rounds `live_age` adds to the probe TTL. After a lost poll, the next
/// one is sent two strides after the last that was answered.
const LIVE_AGE_STRIDES: u32 = 2;

/// The last reply of another coordinator; `live_coordinators` tells whether it still counts as
/// live.
#[derive(Debug, Clone)]
pub(crate) struct PeerStatus {
    pub(crate) address: SocketAddr,
    pub(crate) sent_at: Instant,
    pub(crate) newest_known: Revision,
    pub(crate) established: bool,
    pub(crate) domains: Vec<DomainSummary>,
    pub(crate) stopping: bool,
}

impl CoordinatorState {
    /// Begins a planned stop, after which this coordinator takes over no domain.
    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns this coordinator and those that answered a poll recently and are not stopping.
    pub(crate) fn live_coordinators(&self) -> Vec<VmId> {
        let now = self.clock.now();
        let age_max = self.live_age();
        let peers = lock(&self.peers);
        let is_live = |it: &PeerStatus| !it.stopping && now.duration_since(it.sent_at) < age_max;
        let live = peers.iter().filter(|(_, it)| is_live(it));
        let mut live: Vec<VmId> = live.map(|(vm, _)| vm.clone()).collect();
        live.push(self.settings.vm.clone());
        live.sort_unstable();
        live.dedup();
        live
    }

    /// Returns the number of rounds between polls of the same coordinator.
    ///
    /// While a command waits, every round polls all of them, to detect soon that the change is in
    /// force.
    pub(crate) fn peer_poll_stride(&self) -> usize {
        if self.waiting_commands.load(Ordering::SeqCst) > 0 { 1 } else { self.regular_stride() }
    }

    fn regular_stride(&self) -> usize {
        let interval = Duration::from_millis(self.settings.poll_interval_ms);
        let lease_duration = Duration::from_millis(self.settings.freshness_lease_ms);
        peer_poll_stride(&self.configuration().entry_vms, interval, lease_duration)
    }

    /// Returns how long a coordinator counts as live after a poll that it answered.
    pub(crate) fn live_age(&self) -> Duration {
        let interval = Duration::from_millis(self.settings.poll_interval_ms);
        let extra_rounds = u32::try_from(self.regular_stride() - 1).unwrap_or(u32::MAX);
        self.probe_ttl() + interval * LIVE_AGE_STRIDES * extra_rounds
    }

    /// Returns whether this coordinator plans the placements.
    pub(crate) fn is_placement_leader(&self) -> bool {
        let live = self.live_coordinators();
        !self.is_stopping() && preferred_owner(Placements::KEY, &live) == Some(&self.settings.vm)
    }

    /// Returns the time between reads of a value that every coordinator reads.
    ///
    /// It grows with the number of coordinators, so that the store sees a constant rate; the
    /// placement leader reads as often as a lone coordinator.
    pub(crate) fn read_interval(&self, base_interval: Duration, spacing: Duration) -> Duration {
        if self.is_placement_leader() {
            return base_interval;
        }
        let live = u32::try_from(self.live_coordinators().len()).unwrap_or(u32::MAX);
        base_interval.max(spacing * live)
    }
}
