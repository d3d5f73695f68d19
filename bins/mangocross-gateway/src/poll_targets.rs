//! Which coordinators the gateway polls now, and what it asks them.

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

/// Polls without an answer after which a relay counts as silent.
const SILENT_POLLS: u32 = 4;
/// Rounds between polls of the same owner.
const OWNER_ROUNDS: usize = 2;
/// Time after which an owner that no relay names any more is not polled.
const OWNER_KEPT: Duration = Duration::from_secs(5);

/// Which coordinators the gateway polls now, and what it asks them.
#[derive(Debug)]
pub(crate) struct PollTargets {
    is_small_fleet: bool,
    /// The coordinators of a small fleet.
    everybody: Vec<SocketAddr>,
    answers: ResponseTracker,
    relays: Vec<SocketAddr>,
    reporter: Option<SocketAddr>,
    /// When a relay last named each owner.
    owners: BTreeMap<SocketAddr, Instant>,
    round: usize,
}

impl PollTargets {
    /// Returns the state of a gateway that polls every `interval` and has not polled yet.
    pub(crate) fn new(interval: Duration) -> Self {
        Self {
            is_small_fleet: true,
            everybody: Vec::new(),
            answers: ResponseTracker::new(interval * SILENT_POLLS),
            relays: Vec::new(),
            reporter: None,
            owners: BTreeMap::new(),
            round: 0,
        }
    }

    /// Returns the coordinators to poll in this round; `seeds` are those of the settings.
    pub(crate) fn next(
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
            self.everybody = seeds.iter().copied().chain(all).collect();
            self.everybody.clone()
        } else {
            if was_small_fleet {
                // Their proofs are needed until the relays have named the owners.
                self.owners.extend(self.everybody.drain(..).map(|it| (it, now)));
            }
            self.choose(entry_vms, own, seeds, now)
        };
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    fn choose(
        &mut self,
        entry_vms: &[EntryVmSpec],
        own: &VmId,
        seeds: &[SocketAddr],
        now: Instant,
    ) -> Vec<SocketAddr> {
        let ranking = RelayRanking::new(entry_vms, own);
        let is_unresponsive = |it: SocketAddr| self.answers.is_unresponsive(it, now);
        let relays = ranking.targets(is_unresponsive);
        self.reporter = ranking.report_target(is_unresponsive);
        self.answers.set_targets(&relays, now);
        self.owners.retain(|_, it| now.saturating_duration_since(*it) < OWNER_KEPT);
        let round = self.round;
        let is_due =
            |(index, _): &(usize, &SocketAddr)| (index + round).is_multiple_of(OWNER_ROUNDS);
        let owners = self.owners.keys().enumerate().filter(is_due).map(|(_, it)| *it);
        let mut targets: Vec<SocketAddr> = relays.iter().copied().chain(owners).collect();
        if !relays.iter().any(|it| self.answers.is_responsive(*it, now)) {
            // The configuration held may be so old that none of its entry VMs is left.
            targets.extend(seeds);
        }
        self.relays = relays;
        targets
    }

    /// Returns how much a coordinator is asked, and whether the gateway reports to it.
    pub(crate) fn asks(&self, coordinator: SocketAddr) -> (PollScope, bool) {
        if self.is_small_fleet {
            return (PollScope::All, true);
        }
        let is_relay = self.relays.contains(&coordinator);
        let scope = if is_relay { PollScope::Relay } else { PollScope::Proofs };
        (scope, self.reporter == Some(coordinator))
    }

    /// Records a reply to a poll that was sent at `sent_at`, and the owners that it names.
    pub(crate) fn answered(&mut self, from: SocketAddr, owners: &[SocketAddr], sent_at: Instant) {
        self.answers.record_response(from, sent_at);
        for owner in owners {
            let named_at = self.owners.entry(*owner).or_insert(sent_at);
            *named_at = (*named_at).max(sent_at);
        }
    }
}
