//! Polls between coordinators, and the answers to polls of coordinators and gateways.

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

use crate::domains::preferred_domains;
use crate::gateways::apply_gateway_report;
use crate::gateways::record_gateway_poll;
use crate::gateways::reports;
use crate::gateways::usage_at_other_gateways;
use crate::health_leases::health_leases;
use crate::health_leases::summaries;
use crate::liveness::PeerStatus;
use crate::owners::owner_addresses;
use crate::state::CoordinatorState;
use crate::state::lock;

/// Polls the other coordinators and records their replies.
pub(crate) struct CoordinatorPeers {
    state: Arc<CoordinatorState>,
    round: AtomicUsize,
}

impl CoordinatorPeers {
    pub(crate) fn new(state: Arc<CoordinatorState>) -> Self {
        Self { state, round: AtomicUsize::new(0) }
    }

    /// Returns the other coordinators that read the store for this one.
    ///
    /// They are polled in every round, so that their confirmations of the newest revision are
    /// recent here.
    fn store_readers(&self) -> Vec<SocketAddr> {
        let configuration = self.state.configuration();
        let (entry_vms, own) = (&configuration.entry_vms, &self.state.settings.vm);
        let live = self.state.live_coordinators();
        let readers = zone_readers(Configuration::KEY, entry_vms, own, &live);
        let others = entry_vms.iter().filter(|it| it.vm != *own && readers.contains(&&it.vm));
        others.map(|it| it.coordinator).collect()
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
            revision: self.state.node.in_force_revision(),
            serving: true,
            scope: PollScope::All,
            reports: false,
            usage: Vec::new(),
            failures: Vec::new(),
            echo: None,
        }
    }

    fn on_reply(&self, from: SocketAddr, sent_at: Instant, reply: PollReply) {
        self.state.node.record_peer_lease(from, &reply, sent_at);
        self.state.node.establish();
        let observation = RevisionObservation {
            process_id: reply.stamp.process_id,
            revision: reply.newest_known,
            sent_at,
            received_at: self.state.clock.now(),
        };
        let endpoint = CoordinatorEndpoint { vm: reply.vm.clone(), address: from };
        lock(&self.state.acceptance).record_coordinator(endpoint, reply.established, &observation);
        self.state.node.fetch_if_newer(from, &reply);
        self.state.known_placements_revision.record(reply.placements_revision);
        self.state.known_assignments_revision.record(reply.assignments_revision);
        let mut leaving = lock(&self.state.leaving);
        for it in &reply.leaving {
            leaving.record_peer(&it.vm, Duration::from_millis(it.age_ms.into()), sent_at);
        }
        drop(leaving);
        if let Some(report) = reply.vm_list {
            self.state.vm_list.record_peer(from, report, sent_at);
        }
        for report in reply.gateways {
            apply_gateway_report(&self.state, report, sent_at);
        }
        let status = PeerStatus {
            address: from,
            sent_at,
            newest_known: reply.newest_known,
            established: reply.established,
            domains: reply.domains,
            stopping: reply.stopping,
        };
        let mut peers = lock(&self.state.peers);
        // A reply that arrives after a newer one is outdated.
        if peers.get(&reply.vm).is_none_or(|it| it.sent_at <= sent_at) {
            peers.insert(reply.vm, status);
        }
    }
}

/// Answers a poll from this coordinator's own state.
pub(crate) fn answer(state: &CoordinatorState, poll: &Poll) -> PollReply {
    let now = state.clock.now();
    if poll.role == ProcessRole::Gateway {
        record_gateway_poll(state, poll, now);
    }
    let (revision, lease) = {
        let in_force = state.node.in_force_revision();
        (in_force, state.node.freshness_lease(now))
    };
    let for_gateway = poll.role == ProcessRole::Gateway;
    let (includes_usage_and_servers, includes_owners) = match poll.scope {
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
        newest_known: lease.newest_known,
        established: lease.established,
        stopping: state.is_stopping(),
        freshness_lease_ms: milliseconds(lease.duration_max),
        store_age_ms: lease.store_age.map(milliseconds_up),
        majority_age_ms: lease.majority.map(|it| milliseconds_up(it.age)),
        placements_revision: state.known_placements_revision.newest(),
        assignments_revision: state.known_assignments_revision.newest(),
        health_leases: if for_gateway { health_leases(state, now) } else { Vec::new() },
        domains: if for_gateway { Vec::new() } else { summaries(state) },
        leaving: leaving(state, now),
        usage: includes_usage_and_servers.then(|| usage_at_other_gateways(state, &poll.vm, now)),
        service_servers: service_servers(state, includes_usage_and_servers),
        owners: if includes_owners { owner_addresses(state, &poll.vm) } else { Vec::new() },
        vm_list: if for_gateway || is_small { None } else { state.vm_list.report(now) },
        gateways: if for_gateway || is_small { Vec::new() } else { reports(state, now) },
        caches: if for_gateway { cache_events(state, poll, now) } else { Vec::new() },
    }
}

/// Returns the cache events of the groups in the preferred domains that were not yet sent to a
/// gateway.
fn cache_events(state: &CoordinatorState, poll: &Poll, now: Instant) -> Vec<GroupCacheEvents> {
    let preferred = preferred_domains(state);
    let assignments = lock(&state.assignments);
    let held = preferred.iter().filter_map(|it| assignments.get(it));
    let groups = held.flat_map(|it| &it.assignment.groups);
    let heads = groups.filter_map(|it| Some((it.group.clone(), it.members.first()?.clone())));
    let heads: Vec<(GroupId, VmId)> = heads.collect();
    drop(assignments);
    lock(&state.cache_relay).events_for(&poll.vm, poll.process_id, &heads, now)
}

/// Returns the backend servers of plain services; only gateways send to them.
fn service_servers(
    state: &CoordinatorState,
    includes_usage_and_servers: bool,
) -> Vec<ServiceServer> {
    if includes_usage_and_servers { lock(&state.service_servers).clone() } else { Vec::new() }
}

fn uptime_ms(state: &CoordinatorState, now: Instant) -> u64 {
    u64::try_from(now.duration_since(state.started_at).as_millis()).unwrap_or(u64::MAX)
}

/// Returns the VMs that the platform or the VMs themselves report as leaving.
fn leaving(state: &CoordinatorState, now: Instant) -> Vec<LeavingVm> {
    let mut table = lock(&state.leaving);
    table.remove_expired(now);
    let leaving = table.leaving(now);
    leaving.map(|(vm, age)| LeavingVm { vm: vm.clone(), age_ms: milliseconds_up(age) }).collect()
}

pub(crate) fn milliseconds(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Rounds up, so that an age relayed between peers is never understated.
pub(crate) fn milliseconds_up(age: Duration) -> u32 {
    u32::try_from(age.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
