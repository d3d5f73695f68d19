//! Sample messages and documents of a given size.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Instant;

use mangocross_coordination::ProbeTable;
use mangocross_types::BackendReport;
use mangocross_types::Configuration;
use mangocross_types::EngineRole;
use mangocross_types::EngineState;
use mangocross_types::EntryVmSpec;
use mangocross_types::FencingNumber;
use mangocross_types::GroupAssignment;
use mangocross_types::GroupPhase;
use mangocross_types::HealthLease;
use mangocross_types::Incarnation;
use mangocross_types::Rank;
use mangocross_types::Revision;
use mangocross_types::VmListEntry;
use mangocross_types::VmRole;
use mangocross_types::VmState;
use peer_engine::CacheEvents;
use peer_engine::NumberedEvent;
use peer_engine::PrefixEvent;
use peer_engine::PromptPrefix;
use peer_entry::CacheChange;
use peer_entry::CustomerUsage;
use peer_entry::GatewayReport;
use peer_entry::GroupCacheEvents;
use peer_entry::LeavingVm;
use peer_entry::Poll;
use peer_entry::PollReply;
use peer_entry::PollScope;
use peer_entry::ProcessRole;
use peer_entry::RelayedCacheEvent;
use peer_entry::ReplyStamp;
use peer_entry::VmListVersion;
use serde_json::Value;
use serde_json::json;

/// Returns the identifier `PREFIX-NUMBER`.
///
/// # Panics
///
/// Panics if the prefix has a character that is not allowed.
pub fn id<T: FromStr>(prefix: &str, number: usize) -> T
where
    T::Err: Debug,
{
    format!("{prefix}-{number:05}").parse().expect("the ID is valid")
}

/// Returns a gateway's poll that reports usage of a number of customers.
pub fn poll(customers: usize) -> Poll {
    let usage =
        |it| CustomerUsage { customer: id("customer", it), in_flight: 70, demand_per_second: 28 };
    Poll {
        nonce: u64::MAX,
        vm: id("entry", 1),
        role: ProcessRole::Gateway,
        process_id: u64::MAX,
        revision: Revision(24_000),
        serving: true,
        scope: PollScope::All,
        reports: true,
        usage: (0..customers).map(usage).collect(),
        failures: Vec::new(),
        echo: Some(stamp()),
    }
}

/// Returns the specification of an entry VM.
pub fn entry_vm(number: usize) -> EntryVmSpec {
    EntryVmSpec {
        vm: id("entry", number),
        availability_zone: id("zone", 1),
        coordinator: SocketAddr::from(([10, 0, 0, 1], 7_100)),
    }
}

/// Returns a coordinator's reply with a number of health leases and leaving VMs.
pub fn reply(groups: usize, leaving: usize) -> PollReply {
    PollReply {
        nonce: u64::MAX,
        vm: id("entry", 1),
        stamp: stamp(),
        revision: Revision(24_000),
        newest_known: Revision(24_000),
        established: true,
        stopping: false,
        freshness_lease_ms: 6_000,
        store_age_ms: Some(1_000),
        placements_revision: Revision(24_000),
        assignments_revision: Revision(24_000),
        health_leases: (0..groups).map(health_lease).collect(),
        domains: Vec::new(),
        service_servers: Vec::new(),
        leaving: (0..leaving).map(leaving_vm).collect(),
        usage: None,
        majority_age_ms: Some(1_000),
        owners: Vec::new(),
        vm_list: None,
        gateways: Vec::new(),
        caches: Vec::new(),
    }
}

/// Returns a coordinator's reply to another one in a large fleet, with usage of
/// a number of customers from the gateway that reports to it.
pub fn peer_reply(customers: usize) -> PollReply {
    let report = GatewayReport {
        vm: id("entry", 1),
        process_id: u64::MAX,
        revision: Revision(24_000),
        age_ms: 1_000,
        usage: poll(customers).usage,
    };
    let vm_list = Some(VmListVersion { hash: u64::MAX, age_ms: 1_000 });
    PollReply { vm_list, gateways: vec![report], ..reply(0, 0) }
}

/// Returns a coordinator's reply with a number of cache events of one group.
pub fn reply_with_cache_events(events: usize) -> PollReply {
    let event = |it: usize| RelayedCacheEvent {
        number: 1_000_000 + it as u64,
        age_ms: 1_000,
        change: CacheChange::Stored(0xdead_beef),
    };
    let events = (0..events).map(event).collect();
    let cache = GroupCacheEvents { group: id("group", 1), epoch: u64::MAX, events };
    PollReply { caches: vec![cache], ..reply(0, 0) }
}

/// Returns an engine's answer to a probe with a number of cache events.
pub fn cache_events(events: usize) -> CacheEvents {
    let event = |it: usize| NumberedEvent {
        number: 1_000_000 + it as u64,
        age_ms: 1_000,
        event: PrefixEvent::Evicted(PromptPrefix(0xdead_beef)),
    };
    CacheEvents { epoch: u64::MAX, events: (0..events).map(event).collect() }
}

fn stamp() -> ReplyStamp {
    ReplyStamp { process_id: u64::MAX, uptime_ms: 86_400_000 }
}

fn leaving_vm(number: usize) -> LeavingVm {
    LeavingVm { vm: id("vm", number), age_ms: 1_000 }
}

fn health_lease(number: usize) -> HealthLease {
    HealthLease {
        group: id("group", number),
        domain: id("domain", 1),
        incarnation: Incarnation(1_000),
        fencing_number: FencingNumber(1_000),
        model: id("model", 1),
        model_version: id("version", 1),
        address: SocketAddr::from(([10, 0, 0, 1], 8_000)),
        remaining_ms: 2_000,
        accepts_new: true,
        load: 100,
        load_age_ms: 1_000,
    }
}

/// Returns a configuration with a number of groups, customers and entry VMs.
///
/// # Panics
///
/// Panics if the sample does not deserialize as a configuration.
pub fn configuration(groups: usize, customers: usize, entry_vms: usize) -> Configuration {
    let group = |it| {
        json!({"id": format!("group-{it:05}"), "model": "model-00001",
            "model_version": "version-00001", "size": 16, "desired": "serving"})
    };
    let customer = |it| {
        json!({"id": format!("customer-{it:05}"), "requests_per_second": 1000,
            "in_flight_max": 1000, "priority": 3})
    };
    let entry_vm = |it| {
        json!({"vm": format!("entry-{it:05}"), "availability_zone": "zone-01",
            "coordinator": "10.100.100.100:7100"})
    };
    let value = json!({
        "groups": (0..groups).map(group).collect::<Vec<Value>>(),
        "customers": (0..customers).map(customer).collect::<Vec<Value>>(),
        "entry_vms": (0..entry_vms).map(entry_vm).collect::<Vec<Value>>(),
    });
    serde_json::from_value(value).expect("the sample is a valid configuration")
}

/// Returns a platform's VM list with a number of VMs.
pub fn vm_list(count: usize) -> Vec<VmListEntry> {
    let entry = |it: usize| VmListEntry {
        vm: id("vm", it),
        address: SocketAddr::from(([10, 100, 100, 100], 8_000)),
        availability_zone: id("zone", it % 10),
        state: VmState::Live,
        role: VmRole::Engine { fabric_domain: id("domain", it / 64), accelerators: 1 },
    };
    (0..count).map(entry).collect()
}

/// Returns the assignment of a group with a number of members.
pub fn group(number: usize, members: usize) -> GroupAssignment {
    GroupAssignment {
        group: id("group", number),
        incarnation: Incarnation(1),
        model: id("model", 1),
        model_version: id("version", 1),
        members: (0..members).map(|it| id("vm", number * members + it)).collect(),
        phase: GroupPhase::Serving,
    }
}

/// Returns probe results that show all members of a group as ready.
pub fn probe_table(group: &GroupAssignment, now: Instant) -> ProbeTable {
    let mut probes = ProbeTable::default();
    for (rank, vm) in (0..).map(Rank).zip(&group.members) {
        probes.record_answer(vm, now, now, report_of(group, rank));
    }
    probes
}

/// Returns the report of a group member.
///
/// # Panics
///
/// Panics if the group has no such rank.
pub fn report_of(group: &GroupAssignment, rank: Rank) -> BackendReport {
    BackendReport {
        vm: group.members[usize::from(rank.0)].clone(),
        state: EngineState::Ready,
        group: Some(group.group.clone()),
        incarnation: group.incarnation,
        rank,
        role: EngineRole::Serving,
        model_version: Some(group.model_version.clone()),
        cached_versions: vec![group.model_version.clone()],
        running: 20,
        queued: 3,
        load_age_ms: 500,
        steps: 1_000_000,
        fencing_number: FencingNumber(7),
    }
}
