//! Embeds the coordination parts without the daemons.
//!
//! A program of its own probes engines, writes assignments and takes proofs;
//! here a few lines stand for its I/O, and the clock is moved by hand.

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

/// How long an answer to a probe counts.
const PROBE_TTL: Duration = Duration::from_secs(2);
/// How long a member with work may make no progress.
const STALL_LIMIT: Duration = Duration::from_secs(3);
/// Random number that a process chooses at its start.
const OWNER_PROCESS: u64 = 1;

fn main() {
    let clock = ManualClock::new();
    let coordinators: Vec<VmId> = ["entry-1", "entry-2"].iter().map(|it| id(it)).collect();
    let owner = preferred_owner("domain-1", &coordinators).expect("someone is live");
    println!("domain-1 should be owned by {owner}");

    // The assignment goes to the store by compare-and-swap; here it is only a value.
    let empty = DomainAssignment::empty("domain-1".parse().expect("a valid id"));
    let owned = take_over(&empty, owner, OWNER_PROCESS);
    let members = vec![id("vm-1"), id("vm-2")];
    let formed = form_group(&owned, &wanted(), members).expect("two free VMs are enough");
    let group = &formed.groups[0];
    println!("group {} is formed with incarnation {}", group.group, group.incarnation);

    // Probes count from the moment they were sent.
    let mut probes = ProbeTable::default();
    probes.record_answer(&group.members[0], clock.now(), clock.now(), report(group, 0));
    show(&probes, group, &clock);
    probes.record_answer(&group.members[1], clock.now(), clock.now(), report(group, 1));
    show(&probes, group, &clock);

    // A gateway holds the proof until it expires.
    let mut proofs = HealthLeaseTable::default();
    proofs.record(&proof(&formed, group), clock.now());
    println!("proven groups: {}", proofs.valid(clock.now()).count());
    clock.advance(PROBE_TTL);
    println!(
        "proven groups {} s later: {}",
        PROBE_TTL.as_secs(),
        proofs.valid(clock.now()).count()
    );
    show(&probes, group, &clock);
}

fn id(text: &str) -> VmId {
    text.parse().expect("a valid id")
}

fn wanted() -> GroupSpec {
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

fn proof(assignment: &DomainAssignment, group: &GroupAssignment) -> HealthLease {
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

fn show(probes: &ProbeTable, group: &GroupAssignment, clock: &ManualClock) {
    match probes.check(group, clock.now(), PROBE_TTL, STALL_LIMIT) {
        Completeness::Complete { .. } => println!("{} is complete", group.group),
        Completeness::Incomplete(missing) => {
            for member in missing {
                println!("{} misses {}: it {}", group.group, member.vm, member.reason);
            }
        }
    }
}
