//! What coordinators ask each other, and what they answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::CoordinatorEndpoint;
use mangocross_coordination::RevisionObservation;
use mangocross_coordination::is_small_fleet;
use mangocross_coordination::zone_readers;
use mangocross_types::Configuration;
use mangocross_types::GroupId;
use mangocross_types::VmId;
use peer_entry::GroupCacheEvents;
use peer_entry::LeavingVm;
use peer_entry::Poll;
use peer_entry::PollReply;
use peer_entry::PollScope;
use peer_entry::PollerHandler;
use peer_entry::ProcessRole;
use peer_entry::ReplyStamp;
use peer_entry::ServiceServer;

use crate::domains::owned_domains;
use crate::gateways::hear_gateway;
use crate::gateways::reports;
use crate::gateways::take_report;
use crate::gateways::usage_of_others;
use crate::liveness::LivePeer;
use crate::owners::owners_for;
use crate::proofs::proofs;
use crate::proofs::summaries;
use crate::state::CoordinatorState;
use crate::state::lock;

/// What this coordinator asks others and what it learns from them.
pub(crate) struct CoordinatorPeers {
    state: Arc<CoordinatorState>,
    round: AtomicUsize,
}

impl CoordinatorPeers {
    pub(crate) fn new(state: Arc<CoordinatorState>) -> Self {
        Self { state, round: AtomicUsize::new(0) }
    }

    /// Returns the coordinators that read the store for this one, whose confirmations must stay fresh.
    fn store_readers(&self) -> Vec<SocketAddr> {
        let configuration = self.state.configuration();
        let (entry_vms, own) = (&configuration.entry_vms, &self.state.settings.vm);
        let live = self.state.live_coordinators();
        let readers = zone_readers(Configuration::KEY, entry_vms, own, &live);
        let lines = entry_vms.iter().filter(|it| it.vm != *own && readers.contains(&&it.vm));
        lines.map(|it| it.coordinator).collect()
    }
}

impl PollerHandler for CoordinatorPeers {
    fn targets(&self) -> Vec<SocketAddr> {
        let mut addresses = self.state.coordinator_addresses();
        let rounds = self.state.peer_poll_stride();
        let round = self.round.fetch_add(1, Ordering::Relaxed);
        if rounds > 1 {
            let readers = self.store_readers();
            let mut index = round;
            addresses.retain(|it| {
                index = index.wrapping_add(1);
                index.is_multiple_of(rounds) || readers.contains(it)
            });
        }
        addresses
    }

    fn poll(&self, _to: SocketAddr) -> Poll {
        Poll {
            nonce: 0,
            vm: self.state.settings.vm.clone(),
            role: ProcessRole::Coordinator,
            process_id: self.state.process_id,
            revision: self.state.node.in_force(),
            serving: true,
            scope: PollScope::All,
            reports: false,
            usage: Vec::new(),
            failures: Vec::new(),
            echo: None,
        }
    }

    fn on_reply(&self, from: SocketAddr, asked_at: Instant, reply: PollReply) {
        self.state.node.record_peer(from, &reply, asked_at);
        self.state.node.establish();
        let sighting = RevisionObservation {
            process_id: reply.stamp.process_id,
            revision: reply.newest_known,
            asked_at,
            received_at: self.state.clock.now(),
        };
        let voucher = CoordinatorEndpoint { vm: reply.vm.clone(), address: from };
        lock(&self.state.acceptance).record_coordinator(voucher, reply.established, &sighting);
        self.state.node.follow(from, &reply);
        self.state.placements_known.heard(reply.placements_revision);
        self.state.assignments_known.heard(reply.assignments_revision);
        let mut leaving = lock(&self.state.leaving);
        for it in &reply.leaving {
            leaving.record_peer(&it.vm, Duration::from_millis(it.age_ms.into()), asked_at);
        }
        drop(leaving);
        if let Some(report) = reply.vm_list {
            self.state.vm_list.heard(from, report, asked_at);
        }
        for report in reply.gateways {
            take_report(&self.state, report, asked_at);
        }
        let peer = LivePeer {
            address: from,
            asked_at,
            newest_known: reply.newest_known,
            established: reply.established,
            domains: reply.domains,
            stopping: reply.stopping,
        };
        let mut peers = lock(&self.state.peers);
        // A reply that was overtaken says nothing new.
        if peers.get(&reply.vm).is_none_or(|it| it.asked_at <= asked_at) {
            peers.insert(reply.vm, peer);
        }
    }
}

/// Answers a poll with everything that this coordinator knows itself.
pub(crate) fn answer(state: &CoordinatorState, poll: &Poll) -> PollReply {
    let now = state.clock.now();
    if poll.role == ProcessRole::Gateway {
        hear_gateway(state, poll, now);
    }
    let (revision, vouch) = {
        let in_force = state.node.in_force();
        (in_force, state.node.freshness_lease(now))
    };
    let for_gateway = poll.role == ProcessRole::Gateway;
    let (is_everything, is_relay) = match poll.scope {
        _ if !for_gateway => (false, false),
        PollScope::All => (true, false),
        PollScope::Relay => (true, true),
        PollScope::HealthLeases => (false, false),
    };
    let is_small = is_small_fleet(&state.configuration().entry_vms);
    PollReply {
        nonce: poll.nonce,
        vm: state.settings.vm.clone(),
        stamp: ReplyStamp { process_id: state.process_id, uptime_ms: uptime_ms(state, now) },
        revision,
        newest_known: vouch.newest_known,
        established: vouch.established,
        stopping: state.is_stopping(),
        freshness_lease_ms: milliseconds(vouch.bound),
        store_age_ms: vouch.store_age.map(milliseconds_up),
        majority_age_ms: vouch.majority.map(|it| milliseconds_up(it.age)),
        placements_revision: state.placements_known.newest(),
        assignments_revision: state.assignments_known.newest(),
        health_leases: if for_gateway { proofs(state, now) } else { Vec::new() },
        domains: if for_gateway { Vec::new() } else { summaries(state) },
        leaving: leaving(state, now),
        usage: is_everything.then(|| usage_of_others(state, &poll.vm, now)),
        service_servers: service_servers(state, is_everything),
        owners: if is_relay { owners_for(state, &poll.vm) } else { Vec::new() },
        vm_list: if for_gateway || is_small { None } else { state.vm_list.report(now) },
        gateways: if for_gateway || is_small { Vec::new() } else { reports(state, now) },
        caches: if for_gateway { caches(state, poll, now) } else { Vec::new() },
    }
}

/// Returns the cache events of the owned groups that a gateway was not told yet.
fn caches(state: &CoordinatorState, poll: &Poll, now: Instant) -> Vec<GroupCacheEvents> {
    let owned = owned_domains(state);
    let assignments = lock(&state.assignments);
    let owned = owned.iter().filter_map(|it| assignments.get(it));
    let groups = owned.flat_map(|it| &it.assignment.groups);
    let first = groups.filter_map(|it| Some((it.group.clone(), it.members.first()?.clone())));
    let first: Vec<(GroupId, VmId)> = first.collect();
    drop(assignments);
    lock(&state.caches).events_for(&poll.vm, poll.process_id, &first, now)
}

/// Returns the backend servers of plain services; only gateways send to them.
fn service_servers(state: &CoordinatorState, is_everything: bool) -> Vec<ServiceServer> {
    if is_everything { lock(&state.service_servers).clone() } else { Vec::new() }
}

fn uptime_ms(state: &CoordinatorState, now: Instant) -> u64 {
    u64::try_from(now.duration_since(state.started_at).as_millis()).unwrap_or(u64::MAX)
}

/// Returns the VMs that the platform or the VMs themselves say are leaving.
fn leaving(state: &CoordinatorState, now: Instant) -> Vec<LeavingVm> {
    let mut table = lock(&state.leaving);
    table.remove_expired(now);
    let leaving = table.leaving(now);
    leaving.map(|(vm, age)| LeavingVm { vm: vm.clone(), age_ms: milliseconds_up(age) }).collect()
}

pub(crate) fn milliseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Rounds up, so that an age passed on from peer to peer never falls behind.
pub(crate) fn milliseconds_up(age: Duration) -> u32 {
    u32::try_from(age.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
