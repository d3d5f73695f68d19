//! Which coordinators are live, and what that decides.

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

/// Polls of a coordinator that may be lost before it no longer counts as live.
const LOST_POLLS: u32 = 2;

/// A coordinator that answers polls.
#[derive(Debug, Clone)]
pub(crate) struct LivePeer {
    pub(crate) address: SocketAddr,
    pub(crate) asked_at: Instant,
    pub(crate) newest_known: Revision,
    pub(crate) established: bool,
    pub(crate) domains: Vec<DomainSummary>,
    pub(crate) stopping: bool,
}

impl CoordinatorState {
    /// Begins a planned stop: from now on this coordinator takes nothing over.
    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the coordinators that answered a poll recently and do not stop, and this one.
    pub(crate) fn live_coordinators(&self) -> Vec<VmId> {
        let now = self.clock.now();
        let age_max = self.live_age();
        let peers = lock(&self.peers);
        let is_live = |it: &LivePeer| !it.stopping && now.duration_since(it.asked_at) < age_max;
        let live = peers.iter().filter(|(_, it)| is_live(it));
        let mut live: Vec<VmId> = live.map(|(vm, _)| vm.clone()).collect();
        live.push(self.settings.vm.clone());
        live.sort_unstable();
        live.dedup();
        live
    }

    /// Returns the rounds between polls of the same coordinator.
    ///
    /// While a command waits all are polled in each, so that it is soon known to be in force.
    pub(crate) fn peer_poll_stride(&self) -> usize {
        if self.waiting_commands.load(Ordering::SeqCst) > 0 { 1 } else { self.usual_rounds() }
    }

    fn usual_rounds(&self) -> usize {
        let interval = Duration::from_millis(self.settings.poll_interval_ms);
        let vouch = Duration::from_millis(self.settings.freshness_lease_ms);
        peer_poll_stride(&self.configuration().entry_vms, interval, vouch)
    }

    /// How long a coordinator's answer shows that it is live.
    pub(crate) fn live_age(&self) -> Duration {
        let interval = Duration::from_millis(self.settings.poll_interval_ms);
        let more_rounds = u32::try_from(self.usual_rounds() - 1).unwrap_or(u32::MAX);
        self.probe_ttl() + interval * LOST_POLLS * more_rounds
    }

    /// Returns whether this coordinator decides where groups belong.
    pub(crate) fn is_placement_leader(&self) -> bool {
        let live = self.live_coordinators();
        !self.is_stopping() && preferred_owner(Placements::KEY, &live) == Some(&self.settings.vm)
    }

    /// Returns the time between reads that all coordinators make.
    ///
    /// It grows with their number, so that the store sees a constant rate; the
    /// placement leader reads as often as alone.
    pub(crate) fn read_interval(&self, alone: Duration, for_each: Duration) -> Duration {
        if self.is_placement_leader() {
            return alone;
        }
        let live = u32::try_from(self.live_coordinators().len()).unwrap_or(u32::MAX);
        alone.max(for_each * live)
    }
}
