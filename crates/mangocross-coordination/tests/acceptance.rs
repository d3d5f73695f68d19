//! When a revision counts as accepted, and who vouches.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::AcceptanceCandidate;
use mangocross_coordination::AcceptanceTracker;
use mangocross_coordination::CoordinatorEndpoint;
use mangocross_coordination::Freshness;
use mangocross_coordination::FreshnessBounds;
use mangocross_coordination::FreshnessLease;
use mangocross_coordination::MajorityConfirmation;
use mangocross_coordination::Permit;
use mangocross_coordination::RevisionObservation;
use mangocross_types::EntryVmSpec;
use mangocross_types::Revision;

const VOUCH: Duration = Duration::from_millis(1_000);
const BOUNDS: FreshnessBounds = FreshnessBounds { lease_duration: VOUCH };

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

fn sighting(
    process_id: u64,
    revision: u64,
    asked_at: Instant,
    received_at: Instant,
) -> RevisionObservation {
    RevisionObservation { process_id, revision: Revision(revision), asked_at, received_at }
}

fn freshness_lease(newest_known: u64) -> FreshnessLease {
    FreshnessLease {
        newest_known: Revision(newest_known),
        established: true,
        store_age: None,
        majority: None,
        bound: VOUCH,
    }
}

fn accepted(tracker: &mut AcceptanceTracker, now: Instant) -> bool {
    let entry_vms = entry_vms();
    let candidate = AcceptanceCandidate {
        revision: Revision(2),
        entry_vms: &entry_vms,
        accepted_base: Some(&entry_vms),
    };
    tracker.check(&candidate, now).is_accepted()
}

fn say(tracker: &mut AcceptanceTracker, number: u16, it: RevisionObservation) {
    tracker.record_coordinator(CoordinatorEndpoint::from(&entry_vm(number)), true, &it);
}

#[test]
fn majority_that_held_a_revision_one_after_the_other_does_not_count() {
    let start = Instant::now();
    let mut tracker = AcceptanceTracker::new(VOUCH);
    say(&mut tracker, 1, sighting(1, 2, start, at(start, 10)));
    // Entry VM 1 may have restarted and forgotten before entry VM 2 learned of the revision.
    say(&mut tracker, 2, sighting(2, 2, at(start, 100), at(start, 110)));
    assert!(!accepted(&mut tracker, at(start, 9_000)));
    say(&mut tracker, 1, sighting(1, 2, at(start, 120), at(start, 130)));
    say(&mut tracker, 2, sighting(2, 2, at(start, 120), at(start, 130)));
    assert!(accepted(&mut tracker, at(start, 9_000)));
}

#[test]
fn another_process_on_the_same_entry_vm_starts_anew() {
    let start = Instant::now();
    let mut tracker = AcceptanceTracker::new(VOUCH);
    say(&mut tracker, 1, sighting(1, 2, start, at(start, 10)));
    say(&mut tracker, 1, sighting(9, 1, at(start, 190), at(start, 200)));
    say(&mut tracker, 2, sighting(2, 2, at(start, 90), at(start, 100)));
    say(&mut tracker, 2, sighting(2, 2, at(start, 190), at(start, 200)));
    assert!(!accepted(&mut tracker, at(start, 9_000)));
}

#[test]
fn coordinator_that_is_not_established_does_not_count() {
    let start = Instant::now();
    let mut tracker = AcceptanceTracker::new(VOUCH);
    for number in [1, 2] {
        let voucher = CoordinatorEndpoint::from(&entry_vm(number));
        let it = sighting(number.into(), 2, at(start, 20), at(start, 10));
        tracker.record_coordinator(voucher, false, &it);
    }
    assert!(!accepted(&mut tracker, at(start, 9_000)));
}

#[test]
fn accepted_at_once_when_in_force_at_every_gateway() {
    let start = Instant::now();
    let mut tracker = AcceptanceTracker::new(VOUCH);
    for number in 1..=3 {
        let it = sighting(number.into(), 2, at(start, 20), at(start, 10));
        say(&mut tracker, number, it);
        assert!(!accepted(&mut tracker, at(start, 30)));
        tracker.record_gateway(entry_vm(number).vm, &it);
    }
    assert!(accepted(&mut tracker, at(start, 30)));
}

#[test]
fn poll_that_was_long_under_way_does_not_show_a_gateway_in_force() {
    let start = Instant::now();
    let mut tracker = AcceptanceTracker::new(VOUCH);
    for number in 1..=3 {
        say(&mut tracker, number, sighting(number.into(), 2, at(start, 90), at(start, 50)));
        // Sent at 20 by a gateway that may have restarted since.
        let late = sighting(number.into(), 2, at(start, 20), at(start, 80));
        tracker.record_gateway(entry_vm(number).vm, &late);
    }
    assert!(!accepted(&mut tracker, at(start, 100)));
}

#[test]
fn voucher_that_only_heard_of_a_newer_revision_names_it() {
    let start = Instant::now();
    let mut coordinator = Freshness::new(BOUNDS, start);
    coordinator.record_applied(Revision(1));
    coordinator.record_store_revision(Revision(1), start);
    let store = FreshnessLease { store_age: Some(Duration::ZERO), ..freshness_lease(2) };
    coordinator.record_peer(&CoordinatorEndpoint::from(&entry_vm(2)), store, start);
    // It holds revision 1 still, with the store's fresh word for revision 2.
    let mut gateway = Freshness::new(BOUNDS, start);
    gateway.record_applied(Revision(1));
    gateway.record_peer(
        &CoordinatorEndpoint::from(&entry_vm(1)),
        coordinator.freshness_lease(&[], start),
        start,
    );
    let permit = gateway.permit(&entry_vms(), &entry_vm(1).vm, start);
    assert_eq!(permit, Permit::Behind { newest: Revision(2) });
}

#[test]
fn process_left_at_an_old_address_does_not_vouch() {
    let start = Instant::now();
    let mut gateway = Freshness::new(BOUNDS, start);
    gateway.record_applied(Revision(1));
    let old = CoordinatorEndpoint {
        address: entry_vm(7).coordinator,
        ..CoordinatorEndpoint::from(&entry_vm(2))
    };
    gateway.record_peer(&CoordinatorEndpoint::from(&entry_vm(1)), freshness_lease(1), start);
    gateway.record_peer(&old, freshness_lease(1), start);
    let permit = gateway.permit(&entry_vms(), &entry_vm(1).vm, start);
    assert_eq!(permit, Permit::NoQuorum { valid_leases: 1, needed: 2 });
}

#[test]
fn entry_vm_that_is_not_named_serves_nothing() {
    let start = Instant::now();
    let mut gateway = Freshness::new(BOUNDS, start);
    gateway.record_applied(Revision(1));
    gateway.record_store_revision(Revision(1), start);
    assert_eq!(gateway.permit(&entry_vms(), &entry_vm(9).vm, start), Permit::Unlisted);
    let until = start + VOUCH;
    assert_eq!(gateway.permit(&entry_vms(), &entry_vm(1).vm, start), Permit::Serve { until });
}

#[test]
fn vouch_counts_no_longer_than_its_voucher_waits_for_it() {
    let start = Instant::now();
    let mut gateway = Freshness::new(FreshnessBounds { lease_duration: 10 * VOUCH }, start);
    gateway.record_applied(Revision(1));
    for number in [1, 2] {
        let said = FreshnessLease { store_age: Some(Duration::ZERO), ..freshness_lease(1) };
        gateway.record_peer(&CoordinatorEndpoint::from(&entry_vm(number)), said, start);
    }
    let own = entry_vm(1).vm;
    let until = start + VOUCH;
    assert_eq!(gateway.permit(&entry_vms(), &own, start), Permit::Serve { until });
    let permit = gateway.permit(&entry_vms(), &own, until);
    assert_eq!(permit, Permit::NoQuorum { valid_leases: 0, needed: 2 });
}

#[test]
fn word_from_before_a_process_started_does_not_let_it_serve() {
    let start = Instant::now();
    let started_at = start + VOUCH;
    let asked_at = started_at + VOUCH / 2;
    let (before, after) = (VOUCH * 3 / 4, VOUCH / 4);
    let majority = |revision, age| Some(MajorityConfirmation { revision: Revision(revision), age });
    let words = [
        (FreshnessLease { store_age: Some(before), ..freshness_lease(1) }, false),
        (FreshnessLease { store_age: Some(after), ..freshness_lease(1) }, true),
        (FreshnessLease { majority: majority(1, before), ..freshness_lease(1) }, false),
        (FreshnessLease { majority: majority(1, after), ..freshness_lease(1) }, true),
        // The entry VMs of another revision may be others.
        (FreshnessLease { majority: majority(2, after), ..freshness_lease(1) }, false),
    ];
    for (word, serves) in words {
        let mut gateway = Freshness::new(BOUNDS, started_at);
        gateway.record_applied(Revision(1));
        gateway.record_peer(&CoordinatorEndpoint::from(&entry_vm(1)), word, asked_at);
        let permit = gateway.permit(&entry_vms(), &entry_vm(1).vm, asked_at);
        assert_eq!(matches!(permit, Permit::Serve { .. }), serves, "{word:?}: {permit:?}");
        let ended = gateway.permit(&entry_vms(), &entry_vm(1).vm, asked_at + VOUCH - after);
        assert!(!matches!(ended, Permit::Serve { .. }), "{word:?} counts too long");
    }
}
