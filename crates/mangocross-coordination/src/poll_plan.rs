//! Which coordinators a gateway polls, and how often coordinators poll each other.
//!
//! In a small fleet a gateway polls every coordinator. In a larger one its polls
//! must not grow with the fleet, so it polls
//!
//! - a few *relays*, which tell it of the configuration, of leaving VMs and of
//!   use at other gateways: the coordinator on its own VM first, then one in
//!   each of the other availability zones by rendezvous hashing; the first that
//!   answers is told what the gateway itself has to report;
//! - the owners of the groups chosen for it, of which the relays tell.
//!
//! A relay that falls silent is polled on, and the next one besides.
//!
//! Coordinators poll all others, in a large fleet each of them in some rounds only.

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

/// Entry VMs up to which everybody polls everybody.
const SMALL_FLEET_MAX: usize = 9;
/// Coordinators that a coordinator polls in a round, before it polls each in some rounds only.
const PEERS_PER_ROUND_MAX: usize = 32;
/// Most rounds between polls of the same coordinator.
const PEER_ROUNDS_MAX: usize = 3;
/// Polls of a coordinator within the time that a vouch counts.
const POLLS_PER_LEASE: u32 = 3;
/// Relays that answer and are polled.
const RELAYS: usize = 3;
/// Groups that serve the same requests that are chosen for a gateway.
const GROUPS_PER_CLASS: usize = 12;
/// Gateways for which each group is chosen at the least.
const GATEWAYS_PER_GROUP: usize = 4;

/// Returns whether a fleet is so small that everybody polls everybody.
pub fn is_small_fleet(entry_vms: &[EntryVmSpec]) -> bool {
    entry_vms.len() <= SMALL_FLEET_MAX
}

/// Returns in which part of its rounds, `interval` apart, a coordinator polls each other one: in
/// every one, every second or every third.
///
/// A vouch counts for `vouch`; however large the fleet, it outlives three polls.
pub fn peer_poll_stride(
    entry_vms: &[EntryVmSpec],
    interval: Duration,
    lease_duration: Duration,
) -> usize {
    let wanted = entry_vms.len().div_ceil(PEERS_PER_ROUND_MAX).clamp(1, PEER_ROUNDS_MAX);
    let is_short_enough = |rounds: &usize| {
        let polls = u32::try_from(*rounds).unwrap_or(u32::MAX).saturating_mul(POLLS_PER_LEASE);
        interval.saturating_mul(polls) <= lease_duration
    };
    (1..=wanted).rev().find(is_short_enough).unwrap_or(1)
}

/// When each coordinator was first polled, and when it last answered.
#[derive(Debug, Clone)]
pub struct ResponseTracker {
    silence_limit: Duration,
    polled_since: HashMap<SocketAddr, Instant>,
    responded_at: HashMap<SocketAddr, Instant>,
}

impl ResponseTracker {
    /// Returns an empty table; a coordinator counts as silent after `silence_limit` without an answer.
    pub fn new(silence_limit: Duration) -> Self {
        Self { silence_limit, polled_since: HashMap::new(), responded_at: HashMap::new() }
    }

    /// Records who is polled now; others are forgotten.
    pub fn set_targets(&mut self, targets: &[SocketAddr], now: Instant) {
        self.polled_since.retain(|it, _| targets.contains(it));
        self.responded_at.retain(|it, _| targets.contains(it));
        for target in targets {
            self.polled_since.entry(*target).or_insert(now);
        }
    }

    /// Records an answer to a poll that was sent at `asked_at`.
    pub fn record_response(&mut self, from: SocketAddr, asked_at: Instant) {
        let responded_at = self.responded_at.entry(from).or_insert(asked_at);
        *responded_at = (*responded_at).max(asked_at);
    }

    /// Returns whether a coordinator has answered a poll of late.
    pub fn is_answering(&self, coordinator: SocketAddr, now: Instant) -> bool {
        let is_new = |it: &Instant| now.saturating_duration_since(*it) < self.silence_limit;
        self.responded_at.get(&coordinator).is_some_and(is_new)
    }

    /// Returns whether a coordinator has been polled for a while and answers no longer.
    pub fn is_silent(&self, coordinator: SocketAddr, now: Instant) -> bool {
        let is_old = |it: &Instant| now.saturating_duration_since(*it) >= self.silence_limit;
        self.polled_since.get(&coordinator).is_some_and(is_old)
            && !self.is_answering(coordinator, now)
    }
}

/// The coordinators that tell a gateway of everything but proofs, the preferred one first.
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

    /// Returns the relays to poll: the first ones, until enough of them are not silent.
    pub fn targets(&self, is_silent: impl Fn(SocketAddr) -> bool) -> Vec<SocketAddr> {
        let mut targets = Vec::new();
        let mut answering = 0;
        for relay in &self.ranked {
            if answering == RELAYS {
                break;
            }
            targets.push(*relay);
            answering += usize::from(!is_silent(*relay));
        }
        targets
    }

    /// Returns the relay that the gateway reports to: the first that is not silent.
    pub fn report_target(&self, is_silent: impl Fn(SocketAddr) -> bool) -> Option<SocketAddr> {
        self.ranked.iter().copied().find(|it| !is_silent(*it))
    }
}

/// Returns the groups whose owners the gateway on entry VM `gateway` polls.
///
/// Of the groups that serve the same model, customers and kinds, a gateway takes those that weigh
/// most for it, so that it has several to choose from, and a group takes the gateways that weigh
/// most for it, so that each group is served by some. Groups that are to take no requests are
/// left out.
pub fn chosen_groups<'a>(
    groups: &'a [GroupSpec],
    entry_vms: &[EntryVmSpec],
    gateway: &VmId,
) -> Vec<&'a GroupId> {
    let own = Key::of(gateway.as_str());
    let others: Vec<Key> =
        entry_vms.iter().filter(|it| it.vm != *gateway).map(|it| Key::of(it.vm.as_str())).collect();
    let mut by_class: HashMap<RequestClass<'_>, Vec<(u64, &GroupId)>> = HashMap::new();
    let mut chosen: Vec<&GroupId> = Vec::new();
    for group in groups.iter().filter(|it| it.desired == DesiredState::Serving) {
        let key = Key::of(group.id.as_str());
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

/// What a group serves: its model, and the customers and kinds that it is limited to.
type RequestClass<'a> = (&'a ModelId, &'a [CustomerId], &'a [RequestKind]);

/// A hashed name, of which pairs can be weighed quickly.
#[derive(Debug, Clone, Copy)]
struct Key(u64);

impl Key {
    fn of(name: &str) -> Self {
        Self(short_hash(name))
    }

    /// Returns the weight of a pair, by the finalizer of splitmix64.
    fn weight(self, other: Self) -> u64 {
        let mut mixed = self.0 ^ other.0.rotate_left(32);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
