//! Acceptance of configuration revisions, and the freshness leases that permit serving.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::AcceptanceCandidate;
use mangocross_coordination::AcceptanceTracker;
use mangocross_coordination::CoordinatorEndpoint;
use mangocross_coordination::Freshness;
use mangocross_coordination::FreshnessBounds;
use mangocross_coordination::FreshnessReply;
use mangocross_coordination::MajorityConfirmation;
use mangocross_coordination::Permit;
use mangocross_coordination::RevisionObservation;
use mangocross_types::EntryVmSpec;
use mangocross_types::Revision;

const FRESHNESS_LEASE: Duration = Duration::from_millis(1_000);
const BOUNDS: FreshnessBounds = FreshnessBounds { lease_duration: FRESHNESS_LEASE };

fn entry_vm(number: u16) -> EntryVmSpec {
    EntryVmSpec {
        vm: format!("entry-{number}").parse().unwrap(),
        availability_zone: "zone-1".parse().unwrap(),
        coordinator: SocketAddr::from(([127, 0, 0, 1], 7_000 + number)),
    }
}

fn entry_vms() -> Vec<EntryVmSpec> {
    (1..=3).map(entry_vm).collect()
}

fn at(start: Instant, milliseconds: u64) -> Instant {
    start + Duration::from_millis(milliseconds)
}

fn observation(
    process_id: u64,
    revision: u64,
    sent_at: Instant,
    received_at: Instant,
) -> RevisionObservation {
    RevisionObservation { process_id, revision: Revision(revision), sent_at, received_at }
}

fn reply(newest_known: u64) -> FreshnessReply {
    FreshnessReply {
        newest_known: Revision(newest_known),
        established: true,
        store_age: None,
        majority: None,
        duration_max: FRESHNESS_LEASE,
    }
}

fn accepted(tracker: &mut AcceptanceTracker, now: Instant) -> bool {
    let entry_vms = entry_vms();
    let candidate = AcceptanceCandidate {
        revision: Revision(2),
        entry_vms: &entry_vms,
        previous_entry_vms: Some(&entry_vms),
    };
    tracker.update_acceptance(&candidate, now).is_accepted()
}

fn observe(tracker: &mut AcceptanceTracker, number: u16, it: RevisionObservation) {
    tracker.record_coordinator(CoordinatorEndpoint::from(&entry_vm(number)), true, &it);
}

#[test]
fn revision_held_by_a_majority_at_different_times_is_not_accepted() {
    let start = Instant::now();
    let mut tracker = AcceptanceTracker::new(FRESHNESS_LEASE);
    observe(&mut tracker, 1, observation(1, 2, start, at(start, 10)));
    // Entry VM 1 may have restarted and lost the revision before entry VM 2 received it.
    observe(&mut tracker, 2, observation(2, 2, at(start, 100), at(start, 110)));
    assert!(!accepted(&mut tracker, at(start, 9_000)));
    observe(&mut tracker, 1, observation(1, 2, at(start, 120), at(start, 130)));
    observe(&mut tracker, 2, observation(2, 2, at(start, 120), at(start, 130)));
    assert!(accepted(&mut tracker, at(start, 9_000)));
}

#[test]
fn observation_of_an_earlier_process_on_the_entry_vm_does_not_count() {
    let start = Instant::now();
    let mut tracker = AcceptanceTracker::new(FRESHNESS_LEASE);
    observe(&mut tracker, 1, observation(1, 2, start, at(start, 10)));
    observe(&mut tracker, 1, observation(9, 1, at(start, 190), at(start, 200)));
    observe(&mut tracker, 2, observation(2, 2, at(start, 90), at(start, 100)));
    observe(&mut tracker, 2, observation(2, 2, at(start, 190), at(start, 200)));
    assert!(!accepted(&mut tracker, at(start, 9_000)));
}

#[test]
fn coordinator_that_is_not_established_does_not_count() {
    let start = Instant::now();
    let mut tracker = AcceptanceTracker::new(FRESHNESS_LEASE);
    for number in [1, 2] {
        let endpoint = CoordinatorEndpoint::from(&entry_vm(number));
        let it = observation(number.into(), 2, at(start, 20), at(start, 10));
        tracker.record_coordinator(endpoint, false, &it);
    }
    assert!(!accepted(&mut tracker, at(start, 9_000)));
}

#[test]
fn accepted_at_once_when_in_force_at_every_gateway() {
    let start = Instant::now();
    let mut tracker = AcceptanceTracker::new(FRESHNESS_LEASE);
    for number in 1..=3 {
        let it = observation(number.into(), 2, at(start, 20), at(start, 10));
        observe(&mut tracker, number, it);
        assert!(!accepted(&mut tracker, at(start, 30)));
        tracker.record_gateway(entry_vm(number).vm, &it);
    }
    assert!(accepted(&mut tracker, at(start, 30)));
}

#[test]
fn delayed_poll_does_not_show_a_revision_in_force_at_a_gateway() {
    let start = Instant::now();
    let mut tracker = AcceptanceTracker::new(FRESHNESS_LEASE);
    for number in 1..=3 {
        observe(&mut tracker, number, observation(number.into(), 2, at(start, 90), at(start, 50)));
        // Sent at 20 ms by a gateway that may have restarted since.
        let late = observation(number.into(), 2, at(start, 20), at(start, 80));
        tracker.record_gateway(entry_vm(number).vm, &late);
    }
    assert!(!accepted(&mut tracker, at(start, 100)));
}

#[test]
fn freshness_lease_names_a_newer_revision_that_its_issuer_has_not_applied() {
    let start = Instant::now();
    let mut coordinator = Freshness::new(BOUNDS, start);
    coordinator.record_applied(Revision(1));
    coordinator.record_store_revision(Revision(1), start);
    let store = FreshnessReply { store_age: Some(Duration::ZERO), ..reply(2) };
    coordinator.record_peer(&CoordinatorEndpoint::from(&entry_vm(2)), store, start);
    // The coordinator still has revision 1 in force, but a peer has just read revision 2 from the
    // store.
    let mut gateway = Freshness::new(BOUNDS, start);
    gateway.record_applied(Revision(1));
    gateway.record_peer(
        &CoordinatorEndpoint::from(&entry_vm(1)),
        coordinator.freshness_reply(&[], start),
        start,
    );
    let permit = gateway.permit(&entry_vms(), &entry_vm(1).vm, start);
    assert_eq!(permit, Permit::Behind { newest: Revision(2) });
}

#[test]
fn freshness_lease_from_a_process_at_a_former_address_does_not_count() {
    let start = Instant::now();
    let mut gateway = Freshness::new(BOUNDS, start);
    gateway.record_applied(Revision(1));
    let old = CoordinatorEndpoint {
        address: entry_vm(7).coordinator,
        ..CoordinatorEndpoint::from(&entry_vm(2))
    };
    gateway.record_peer(&CoordinatorEndpoint::from(&entry_vm(1)), reply(1), start);
    gateway.record_peer(&old, reply(1), start);
    let permit = gateway.permit(&entry_vms(), &entry_vm(1).vm, start);
    assert_eq!(permit, Permit::NoQuorum { valid_leases: 1, needed: 2 });
}

#[test]
fn unlisted_entry_vm_does_not_serve() {
    let start = Instant::now();
    let mut gateway = Freshness::new(BOUNDS, start);
    gateway.record_applied(Revision(1));
    gateway.record_store_revision(Revision(1), start);
    assert_eq!(gateway.permit(&entry_vms(), &entry_vm(9).vm, start), Permit::Unlisted);
    let until = start + FRESHNESS_LEASE;
    assert_eq!(gateway.permit(&entry_vms(), &entry_vm(1).vm, start), Permit::Serve { until });
}

#[test]
fn freshness_lease_lasts_no_longer_than_its_issuer_waits() {
    let start = Instant::now();
    let mut gateway =
        Freshness::new(FreshnessBounds { lease_duration: 10 * FRESHNESS_LEASE }, start);
    gateway.record_applied(Revision(1));
    for number in [1, 2] {
        let issued = FreshnessReply { store_age: Some(Duration::ZERO), ..reply(1) };
        gateway.record_peer(&CoordinatorEndpoint::from(&entry_vm(number)), issued, start);
    }
    let own = entry_vm(1).vm;
    let until = start + FRESHNESS_LEASE;
    assert_eq!(gateway.permit(&entry_vms(), &own, start), Permit::Serve { until });
    let permit = gateway.permit(&entry_vms(), &own, until);
    assert_eq!(permit, Permit::NoQuorum { valid_leases: 0, needed: 2 });
}

#[test]
fn freshness_lease_from_before_the_process_start_does_not_permit_serving() {
    let start = Instant::now();
    let started_at = start + FRESHNESS_LEASE;
    let sent_at = started_at + FRESHNESS_LEASE / 2;
    let (before, after) = (FRESHNESS_LEASE * 3 / 4, FRESHNESS_LEASE / 4);
    let majority = |revision, age| Some(MajorityConfirmation { revision: Revision(revision), age });
    let replies = [
        (FreshnessReply { store_age: Some(before), ..reply(1) }, false),
        (FreshnessReply { store_age: Some(after), ..reply(1) }, true),
        (FreshnessReply { majority: majority(1, before), ..reply(1) }, false),
        (FreshnessReply { majority: majority(1, after), ..reply(1) }, true),
        // Another revision may list other entry VMs.
        (FreshnessReply { majority: majority(2, after), ..reply(1) }, false),
    ];
    for (reply, serves) in replies {
        let mut gateway = Freshness::new(BOUNDS, started_at);
        gateway.record_applied(Revision(1));
        gateway.record_peer(&CoordinatorEndpoint::from(&entry_vm(1)), reply, sent_at);
        let permit = gateway.permit(&entry_vms(), &entry_vm(1).vm, sent_at);
        assert_eq!(matches!(permit, Permit::Serve { .. }), serves, "{reply:?}: {permit:?}");
        let ended =
            gateway.permit(&entry_vms(), &entry_vm(1).vm, sent_at + FRESHNESS_LEASE - after);
        assert!(!matches!(ended, Permit::Serve { .. }), "{reply:?} is valid for too long");
    }
}
