//! Which coordinators a gateway polls, and how often coordinators poll each other.
//!
//! In a small fleet a gateway polls every coordinator. In a larger one the number of its polls must
//! not grow with the fleet, so it polls
//!
//! - a few *relays*, from which it gets the configuration, the VMs that are leaving and the usage
//!   at other gateways: first the coordinator on its own VM, then one in each of the other
//!   availability zones, chosen by rendezvous hashing. The first one that responds receives the
//!   gateway's own reports;
//! - the owners of the groups chosen for it, which it learns from the relays.
//!
//! A relay that stops responding is still polled, and the next one is polled in addition.
//!
//! Coordinators poll all other coordinators; in a large fleet, each of them only in some rounds.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use mangocross_types::AvailabilityZone;
use mangocross_types::CustomerId;
use mangocross_types::DesiredState;
use mangocross_types::EntryVmSpec;
use mangocross_types::GroupId;
use mangocross_types::GroupSpec;
use mangocross_types::ModelId;
use mangocross_types::RequestKind;
use mangocross_types::VmId;

use crate::ownership::weight;
use crate::util::short_hash;

/// Maximum number of entry VMs for which every process polls every coordinator.
const SMALL_FLEET_MAX: usize = 9;
/// Maximum number of coordinators that a coordinator polls in every round; with more, it skips
/// rounds.
const PEERS_PER_ROUND_MAX: usize = 32;
/// Largest poll stride, in rounds.
const PEER_POLL_STRIDE_MAX: usize = 3;
/// Minimum number of times that a coordinator polls another within the duration of a freshness
/// lease.
const POLLS_PER_LEASE_MIN: u32 = 3;
/// Number of responsive relays among those that a gateway polls.
const RESPONSIVE_RELAYS: usize = 3;
/// Groups chosen for a gateway among those that serve the same requests.
const GROUPS_PER_CLASS: usize = 12;
/// Minimum number of gateways for which each group is chosen, if there are that many.
const GATEWAYS_PER_GROUP: usize = 4;

/// Returns whether a fleet is small enough that every process polls every coordinator.
pub fn is_small_fleet(entry_vms: &[EntryVmSpec]) -> bool {
    entry_vms.len() <= SMALL_FLEET_MAX
}

/// Returns the stride of polls between two coordinators: 1 for every round, 2 for every second, 3
/// for every third.
///
/// Rounds are `interval` apart. A freshness lease, valid for `lease_duration`, spans at least three
/// polls, however large the fleet.
pub fn peer_poll_stride(
    entry_vms: &[EntryVmSpec],
    interval: Duration,
    lease_duration: Duration,
) -> usize {
    let wanted = entry_vms.len().div_ceil(PEERS_PER_ROUND_MAX).clamp(1, PEER_POLL_STRIDE_MAX);
    let is_short_enough = |rounds: &usize| {
        let polls = u32::try_from(*rounds).unwrap_or(u32::MAX).saturating_mul(POLLS_PER_LEASE_MIN);
        interval.saturating_mul(polls) <= lease_duration
    };
    (1..=wanted).rev().find(is_short_enough).unwrap_or(1)
}

/// Tracks when each coordinator was first polled and when the newest poll that it answered was
/// sent.
#[derive(Debug, Clone)]
pub struct ResponseTracker {
    response_timeout: Duration,
    polled_since: HashMap<SocketAddr, Instant>,
    answered_poll_sent_at: HashMap<SocketAddr, Instant>,
}

impl ResponseTracker {
    /// Returns an empty tracker.
    ///
    /// A coordinator is unresponsive after `response_timeout` without a response.
    pub fn new(response_timeout: Duration) -> Self {
        Self {
            response_timeout,
            polled_since: HashMap::new(),
            answered_poll_sent_at: HashMap::new(),
        }
    }

    /// Sets the coordinators that are polled from `now` on; others are removed.
    pub fn set_targets(&mut self, targets: &[SocketAddr], now: Instant) {
        self.polled_since.retain(|it, _| targets.contains(it));
        self.answered_poll_sent_at.retain(|it, _| targets.contains(it));
        for target in targets {
            self.polled_since.entry(*target).or_insert(now);
        }
    }

    /// Records a response to a poll that was sent at `sent_at`.
    pub fn record_response(&mut self, from: SocketAddr, sent_at: Instant) {
        let answered_poll_sent_at = self.answered_poll_sent_at.entry(from).or_insert(sent_at);
        *answered_poll_sent_at = (*answered_poll_sent_at).max(sent_at);
    }

    /// Returns whether a coordinator has responded to a recent poll.
    pub fn is_responsive(&self, coordinator: SocketAddr, now: Instant) -> bool {
        let is_new = |it: &Instant| now.saturating_duration_since(*it) < self.response_timeout;
        self.answered_poll_sent_at.get(&coordinator).is_some_and(is_new)
    }

    /// Returns whether a coordinator has been polled for a while and does not respond.
    pub fn is_unresponsive(&self, coordinator: SocketAddr, now: Instant) -> bool {
        let is_old = |it: &Instant| now.saturating_duration_since(*it) >= self.response_timeout;
        self.polled_since.get(&coordinator).is_some_and(is_old)
            && !self.is_responsive(coordinator, now)
    }
}

/// The coordinators ranked as relays for a gateway, in order of preference.
///
/// Relays provide everything except health leases, which come from the owners of the groups.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayRanking {
    ranked: Vec<SocketAddr>,
}

impl RelayRanking {
    /// Ranks the coordinators of `entry_vms` for the gateway on entry VM `own`.
    pub fn new(entry_vms: &[EntryVmSpec], own: &VmId) -> Self {
        let mut by_weight: Vec<&EntryVmSpec> = entry_vms.iter().collect();
        by_weight.sort_by_cached_key(|it| (it.vm != *own, u64::MAX - weight(own.as_str(), &it.vm)));
        let mut zones: HashSet<&AvailabilityZone> = HashSet::new();
        let (first_in_zone, others): (Vec<&EntryVmSpec>, Vec<&EntryVmSpec>) =
            by_weight.into_iter().partition(|it| zones.insert(&it.availability_zone));
        let ranked = first_in_zone.into_iter().chain(others).map(|it| it.coordinator);
        Self { ranked: ranked.collect() }
    }

    /// Returns the relays to poll: the highest ranked ones, until enough of them are responsive.
    pub fn targets(&self, is_unresponsive: impl Fn(SocketAddr) -> bool) -> Vec<SocketAddr> {
        let mut targets = Vec::new();
        let mut responsive = 0;
        for relay in &self.ranked {
            if responsive == RESPONSIVE_RELAYS {
                break;
            }
            targets.push(*relay);
            responsive += usize::from(!is_unresponsive(*relay));
        }
        targets
    }

    /// Returns the relay to which the gateway reports: the first that is responsive.
    pub fn report_target(
        &self,
        is_unresponsive: impl Fn(SocketAddr) -> bool,
    ) -> Option<SocketAddr> {
        self.ranked.iter().copied().find(|it| !is_unresponsive(*it))
    }
}

/// Returns the groups whose owners the gateway on entry VM `gateway` polls.
///
/// Among the groups that serve the same model, customers and kinds, those with the highest weight
/// for the gateway are chosen, so that it has several to route to. Each group is also chosen for
/// the gateways with the highest weight for it, so that every group receives requests. Groups that
/// should not receive requests are left out.
pub fn groups_for_gateway<'a>(
    groups: &'a [GroupSpec],
    entry_vms: &[EntryVmSpec],
    gateway: &VmId,
) -> Vec<&'a GroupId> {
    let own = HashedName::of(gateway.as_str());
    let others: Vec<HashedName> = entry_vms
        .iter()
        .filter(|it| it.vm != *gateway)
        .map(|it| HashedName::of(it.vm.as_str()))
        .collect();
    let mut by_class: HashMap<RequestClass<'_>, Vec<(u64, &GroupId)>> = HashMap::new();
    let mut chosen: Vec<&GroupId> = Vec::new();
    for group in groups.iter().filter(|it| it.desired == DesiredState::Serving) {
        let key = HashedName::of(group.id.as_str());
        let own_weight = key.weight(own);
        let heavier = others.iter().filter(|it| key.weight(**it) > own_weight);
        if heavier.take(GATEWAYS_PER_GROUP).count() < GATEWAYS_PER_GROUP {
            chosen.push(&group.id);
        }
        let class = (&group.model, &group.customers[..], &group.kinds[..]);
        by_class.entry(class).or_default().push((own_weight, &group.id));
    }
    for mut of_class in by_class.into_values() {
        of_class.sort_unstable_by(|a, b| b.cmp(a));
        chosen.extend(of_class.into_iter().take(GROUPS_PER_CLASS).map(|(_, group)| group));
    }
    chosen.sort_unstable();
    chosen.dedup();
    chosen
}

/// The requests that a group serves: its model, and the customers and kinds it is restricted to.
type RequestClass<'a> = (&'a ModelId, &'a [CustomerId], &'a [RequestKind]);

/// A hashed name; the weight of a pair of them is cheap to compute.
#[derive(Debug, Clone, Copy)]
struct HashedName(u64);

impl HashedName {
    fn of(name: &str) -> Self {
        Self(short_hash(name))
    }

    /// Returns the weight of a pair, mixed by the finalizer of splitmix64.
    fn weight(self, other: Self) -> u64 {
        let mut mixed = self.0 ^ other.0.rotate_left(32);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
