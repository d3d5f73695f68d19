//! Embeds the coordination crates without the daemons.
//!
//! A real program probes engines, writes assignments and receives health leases; here a few lines
//! replace its I/O, and the clock is advanced manually.

use std::net::SocketAddr;
use std::time::Duration;

use mangocross::coordination::Completeness;
use mangocross::coordination::HealthLeaseTable;
use mangocross::coordination::ProbeTable;
use mangocross::coordination::form_group;
use mangocross::coordination::preferred_owner;
use mangocross::coordination::take_over;
use mangocross::types::BackendReport;
use mangocross::types::Clock;
use mangocross::types::DesiredState;
use mangocross::types::DomainAssignment;
use mangocross::types::EngineRole;
use mangocross::types::EngineState;
use mangocross::types::FencingNumber;
use mangocross::types::GroupAssignment;
use mangocross::types::GroupSize;
use mangocross::types::GroupSpec;
use mangocross::types::HealthLease;
use mangocross::types::ManualClock;
use mangocross::types::Rank;
use mangocross::types::VmId;

/// How long an answer to a probe is valid.
const PROBE_TTL: Duration = Duration::from_secs(2);
/// How long a member with work may go without progress.
const STALL_LIMIT: Duration = Duration::from_secs(3);
/// Process id of the owner, a random number chosen at process start.
const OWNER_PROCESS: u64 = 1;

fn main() {
    let clock = ManualClock::new();
    let coordinators: Vec<VmId> = ["entry-1", "entry-2"].iter().map(|it| vm_id(it)).collect();
    let owner = preferred_owner("domain-1", &coordinators).expect("a coordinator is live");
    println!("domain-1 should be owned by {owner}");

    // The assignment belongs in the store, written by compare-and-swap; here it is only a value.
    let empty = DomainAssignment::empty("domain-1".parse().expect("a valid id"));
    let owned = take_over(&empty, owner, OWNER_PROCESS);
    let members = vec![vm_id("vm-1"), vm_id("vm-2")];
    let formed = form_group(&owned, &group_spec(), members).expect("two free VMs are enough");
    let group = &formed.groups[0];
    println!("group {} is formed with incarnation {}", group.group, group.incarnation);

    // An answer is valid from the time at which its probe was sent.
    let mut probes = ProbeTable::default();
    probes.record_answer(&group.members[0], clock.now(), clock.now(), report(group, 0));
    print_completeness(&probes, group, &clock);
    probes.record_answer(&group.members[1], clock.now(), clock.now(), report(group, 1));
    print_completeness(&probes, group, &clock);

    // A gateway holds a health lease until it expires.
    let mut health_leases = HealthLeaseTable::default();
    health_leases.record(&health_lease(&formed, group), clock.now());
    println!("groups with a valid health lease: {}", health_leases.valid(clock.now()).count());
    clock.advance(PROBE_TTL);
    println!(
        "groups with a valid health lease {} s later: {}",
        PROBE_TTL.as_secs(),
        health_leases.valid(clock.now()).count()
    );
    print_completeness(&probes, group, &clock);
}

fn vm_id(text: &str) -> VmId {
    text.parse().expect("a valid id")
}

fn group_spec() -> GroupSpec {
    GroupSpec {
        id: "letters-1".parse().expect("a valid id"),
        model: "letters".parse().expect("a valid id"),
        model_version: "v1".parse().expect("a valid id"),
        size: GroupSize(2),
        desired: DesiredState::Serving,
        domain: None,
        customers: Vec::new(),
        kinds: Vec::new(),
    }
}

fn report(group: &GroupAssignment, rank: u16) -> BackendReport {
    BackendReport {
        vm: group.members[usize::from(rank)].clone(),
        state: EngineState::Ready,
        group: Some(group.group.clone()),
        incarnation: group.incarnation,
        rank: Rank(rank),
        role: EngineRole::Serving,
        model_version: Some(group.model_version.clone()),
        cached_versions: Vec::new(),
        running: 0,
        queued: 0,
        load_age_ms: 0,
        steps: 0,
        fencing_number: FencingNumber(1),
    }
}

fn health_lease(assignment: &DomainAssignment, group: &GroupAssignment) -> HealthLease {
    HealthLease {
        group: group.group.clone(),
        domain: assignment.domain.clone(),
        incarnation: group.incarnation,
        fencing_number: assignment.fencing_number,
        model: group.model.clone(),
        model_version: group.model_version.clone(),
        address: SocketAddr::from(([127, 0, 0, 1], 8_000)),
        remaining_ms: u32::try_from(PROBE_TTL.as_millis()).unwrap_or(u32::MAX),
        accepts_new: true,
        load: 0,
        load_age_ms: 0,
    }
}

fn print_completeness(probes: &ProbeTable, group: &GroupAssignment, clock: &ManualClock) {
    match probes.completeness(group, clock.now(), PROBE_TTL, STALL_LIMIT) {
        Completeness::Complete { .. } => println!("{} is complete", group.group),
        Completeness::Incomplete(missing) => {
            for member in missing {
                println!("{} is incomplete: {} {}", group.group, member.vm, member.reason);
            }
        }
    }
}
