//! Evacuated zones: an acknowledged evacuation lasts until its key is removed.

use std::collections::BTreeSet;
use std::time::Duration;

use mangocross_serving::EvacuationMark;
use mangocross_serving::Evacuations;
use mangocross_serving::Moment;
use mangocross_types::AvailabilityZone;
use mangocross_types::Revision;
use mangocross_types::StoreEra;
use mangocross_types::StoreRevision;

fn zone(name: &str) -> AvailabilityZone {
    name.parse().expect("a valid name")
}

fn revision(era: u64, revision: u64) -> StoreRevision {
    StoreRevision { era: StoreEra(era), revision: Revision(revision) }
}

fn mark(name: &str, at: (u64, u64), is_evacuated: bool) -> EvacuationMark {
    EvacuationMark { zone: zone(name), revision: revision(at.0, at.1), is_evacuated }
}

fn now() -> Moment {
    Moment::after_boot(Duration::from_secs(100))
}

fn listed(names: &[&str]) -> BTreeSet<AvailabilityZone> {
    names.iter().map(|it| zone(it)).collect()
}

fn evacuated(it: &Evacuations) -> Vec<String> {
    it.evacuated().map(|(zone, ..)| zone.to_string()).collect()
}

#[test]
fn two_evacuations_are_in_force_until_each_is_removed() {
    let mut it = Evacuations::default();
    assert!(it.record(&mark("zone-a", (1, 5), true), now()));
    assert!(it.record(&mark("zone-b", (1, 6), true), now()));
    assert_eq!(evacuated(&it), ["zone-a", "zone-b"]);
    assert!(!it.record(&mark("zone-a", (1, 7), true), now()), "written again");
    assert!(!it.record(&mark("zone-a", (1, 6), false), now()), "an older removal arrives late");
    assert!(it.record(&mark("zone-a", (1, 8), false), now()));
    assert_eq!(evacuated(&it), ["zone-b"]);
    assert!(!it.record(&mark("zone-a", (1, 7), true), now()), "an older write arrives late");
}

#[test]
fn key_that_is_missing_among_all_keys_was_removed() {
    let mut it = Evacuations::default();
    it.record(&mark("zone-a", (1, 5), true), now());
    it.record(&mark("zone-b", (1, 9), true), now());
    let removed = it.record_complete(&listed(&[]), revision(1, 8), now());
    assert_eq!(removed, [zone("zone-a")], "zone-b was written after the keys were read");
    assert_eq!(evacuated(&it), ["zone-b"]);
}

/// The store comes back from a copy that is older than the evacuation.
#[test]
fn evacuation_outlives_the_loss_of_its_key() {
    let mut it = Evacuations::default();
    it.record(&mark("zone-a", (1, 50), true), now());
    assert!(it.record_complete(&listed(&[]), revision(2, 40), now()).is_empty());
    assert_eq!(evacuated(&it), ["zone-a"]);
    assert!(!it.record(&mark("zone-a", (2, 41), true), now()), "written again");
    assert!(it.record_complete(&listed(&["zone-a"]), revision(2, 42), now()).is_empty());
    assert!(it.record(&mark("zone-a", (2, 45), false), now()));
    assert!(evacuated(&it).is_empty());
}

/// An entry VM that was away while the key was removed in the new era.
#[test]
fn evacuation_that_was_seen_in_an_era_ends_with_the_keys_of_that_era() {
    let mut it = Evacuations::default();
    it.record(&mark("zone-a", (1, 50), true), now());
    it.record(&mark("zone-a", (2, 41), true), now());
    assert_eq!(it.record_complete(&listed(&[]), revision(2, 48), now()), [zone("zone-a")]);
}

/// Entry VMs whose relay lags, or that started after the store lost the key.
#[test]
fn entry_vms_tell_each_other() {
    let mut lagging = Evacuations::default();
    lagging.record_complete(&listed(&[]), revision(1, 40), now());
    assert!(lagging.record_report(&mark("zone-a", (1, 50), true), now()));
    assert!(lagging.record_report(&mark("zone-a", (1, 52), false), now()));
    assert!(!lagging.record_report(&mark("zone-a", (1, 50), true), now()), "an old message");

    let mut started = Evacuations::default();
    started.record_complete(&listed(&[]), revision(2, 40), now());
    assert!(started.record_report(&mark("zone-a", (1, 50), true), now()), "lost by the store");
    assert!(started.record_report(&mark("zone-b", (2, 45), true), now()));
    assert_eq!(evacuated(&started), ["zone-a", "zone-b"]);
    assert!(!started.record_report(&mark("zone-c", (2, 30), true), now()), "removed by then");
    assert!(!started.is_evacuated(&zone("zone-c")));
    // Another entry VM saw zone-a written in this era; all keys were read after its removal.
    assert!(started.record_report(&mark("zone-a", (2, 35), true), now()));
    assert_eq!(evacuated(&started), ["zone-b"]);
    assert_eq!(started.marks().len(), 2);
}
