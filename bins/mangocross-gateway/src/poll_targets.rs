//! Selection of the coordinators to poll, and the scope of each poll.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::RelayRanking;
use mangocross_coordination::ResponseTracker;
use mangocross_coordination::is_small_fleet;
use mangocross_types::EntryVmSpec;
use mangocross_types::VmId;
use peer_entry::PollScope;

/// Poll intervals without a reply after which a relay is unresponsive.
const SILENT_POLLS: u32 = 4;
/// Rounds between polls of the same owner.
const OWNER_POLL_STRIDE: usize = 2;
/// Time after which an owner that no relay lists any more is no longer polled.
const OWNER_RETENTION: Duration = Duration::from_secs(5);

/// Selection of the coordinators to poll, and the scope of each poll.
#[derive(Debug)]
pub(crate) struct PollTargets {
    is_small_fleet: bool,
    /// The seeds and all configured coordinators; empty in a large fleet.
    all_coordinators: Vec<SocketAddr>,
    responses: ResponseTracker,
    relays: Vec<SocketAddr>,
    report_target: Option<SocketAddr>,
    /// When a relay last listed each owner.
    owners: BTreeMap<SocketAddr, Instant>,
    round: usize,
}

impl PollTargets {
    /// Returns the state of a gateway that polls every `interval` and has not polled yet.
    pub(crate) fn new(interval: Duration) -> Self {
        Self {
            is_small_fleet: true,
            all_coordinators: Vec::new(),
            responses: ResponseTracker::new(interval * SILENT_POLLS),
            relays: Vec::new(),
            report_target: None,
            owners: BTreeMap::new(),
            round: 0,
        }
    }

    /// Returns the coordinators to poll in this round; `seeds` are those of the settings.
    pub(crate) fn next_round(
        &mut self,
        entry_vms: &[EntryVmSpec],
        own: &VmId,
        seeds: &[SocketAddr],
        now: Instant,
    ) -> Vec<SocketAddr> {
        self.round = self.round.wrapping_add(1);
        let was_small_fleet = self.is_small_fleet;
        self.is_small_fleet = is_small_fleet(entry_vms);
        let mut targets = if self.is_small_fleet {
            let all = entry_vms.iter().map(|it| it.coordinator);
            self.all_coordinators = seeds.iter().copied().chain(all).collect();
            self.all_coordinators.clone()
        } else {
            if was_small_fleet {
                // Keep polling the previous coordinators for health leases until the relays have
                // listed the owners.
                self.owners.extend(self.all_coordinators.drain(..).map(|it| (it, now)));
            }
            self.choose_in_large_fleet(entry_vms, own, seeds, now)
        };
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Chooses the relays, the owners that are due, and the seeds if no relay responds.
    fn choose_in_large_fleet(
        &mut self,
        entry_vms: &[EntryVmSpec],
        own: &VmId,
        seeds: &[SocketAddr],
        now: Instant,
    ) -> Vec<SocketAddr> {
        let ranking = RelayRanking::new(entry_vms, own);
        let is_unresponsive = |it: SocketAddr| self.responses.is_unresponsive(it, now);
        let relays = ranking.targets(is_unresponsive);
        self.report_target = ranking.report_target(is_unresponsive);
        self.responses.set_targets(&relays, now);
        self.owners.retain(|_, it| now.saturating_duration_since(*it) < OWNER_RETENTION);
        let round = self.round;
        let is_due =
            |(index, _): &(usize, &SocketAddr)| (index + round).is_multiple_of(OWNER_POLL_STRIDE);
        let owners = self.owners.keys().enumerate().filter(is_due).map(|(_, it)| *it);
        let mut targets: Vec<SocketAddr> = relays.iter().copied().chain(owners).collect();
        if !relays.iter().any(|it| self.responses.is_responsive(*it, now)) {
            // The current configuration may be so old that none of its entry VMs exists any more.
            targets.extend(seeds);
        }
        self.relays = relays;
        targets
    }

    /// Returns the scope of a poll to a coordinator, and whether the gateway reports to it.
    pub(crate) fn poll_options(&self, coordinator: SocketAddr) -> (PollScope, bool) {
        if self.is_small_fleet {
            return (PollScope::All, true);
        }
        let is_relay = self.relays.contains(&coordinator);
        let scope = if is_relay { PollScope::Relay } else { PollScope::HealthLeases };
        (scope, self.report_target == Some(coordinator))
    }

    /// Records a reply to a poll that was sent at `sent_at`, and the owners that it lists.
    pub(crate) fn record_reply(
        &mut self,
        from: SocketAddr,
        owners: &[SocketAddr],
        sent_at: Instant,
    ) {
        self.responses.record_response(from, sent_at);
        for owner in owners {
            let listed_at = self.owners.entry(*owner).or_insert(sent_at);
            *listed_at = (*listed_at).max(sent_at);
        }
    }
}
