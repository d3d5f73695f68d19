//! Which coordinators read the store, their backoff, and relayed copies of the platform's list.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::ListHash;
use mangocross_coordination::ListStep;
use mangocross_coordination::ListTracker;
use mangocross_coordination::read_backoff;
use mangocross_coordination::reads_store;
use mangocross_types::EntryVmSpec;
use mangocross_types::VmId;

const LIMIT: Duration = Duration::from_secs(3);
const FRESH: Option<Duration> = Some(Duration::from_secs(1));

fn fleet(vms: u16, zones: u16) -> Vec<EntryVmSpec> {
    let entry_vm = |number: u16| EntryVmSpec {
        vm: format!("entry-{number}").parse().unwrap(),
        availability_zone: format!("zone-{}", number % zones).parse().unwrap(),
        coordinator: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7_100)),
    };
    (0..vms).map(entry_vm).collect()
}

fn readers(entry_vms: &[EntryVmSpec], live: &[VmId], age: Option<Duration>) -> Vec<VmId> {
    let reads = |it: &&EntryVmSpec| reads_store(entry_vms, &it.vm, live, age, LIMIT);
    entry_vms.iter().filter(reads).map(|it| it.vm.clone()).collect()
}

fn all(entry_vms: &[EntryVmSpec]) -> Vec<VmId> {
    entry_vms.iter().map(|it| it.vm.clone()).collect()
}

#[test]
fn two_coordinators_per_zone_read_the_store() {
    let entry_vms = fleet(350, 10);
    let readers = readers(&entry_vms, &all(&entry_vms), FRESH);
    assert_eq!(readers.len(), 20);
    for zone in 0..10 {
        let name = format!("zone-{zone}");
        let in_zone = entry_vms.iter().filter(|it| it.availability_zone.as_str() == name);
        assert_eq!(in_zone.filter(|it| readers.contains(&it.vm)).count(), 2);
    }
}

#[test]
fn readers_that_are_gone_are_replaced() {
    let entry_vms = fleet(30, 3);
    let before = readers(&entry_vms, &all(&entry_vms), FRESH);
    let live: Vec<VmId> = all(&entry_vms).into_iter().filter(|it| !before.contains(it)).collect();
    let now = readers(&entry_vms, &live, FRESH);
    assert_eq!(now.iter().filter(|it| live.contains(it)).count(), 6);
}

#[test]
fn every_coordinator_reads_once_the_last_known_read_is_too_old() {
    let entry_vms = fleet(30, 3);
    for age in [None, Some(LIMIT)] {
        assert_eq!(readers(&entry_vms, &all(&entry_vms), age).len(), 30);
    }
    let unlisted: VmId = "entry-99".parse().unwrap();
    assert!(reads_store(&entry_vms, &unlisted, &all(&entry_vms), FRESH, LIMIT));
}

#[test]
fn read_backoff_grows_to_a_limit_with_jitter() {
    let base = Duration::from_secs(1);
    assert_eq!(read_backoff(base, 0, 500), base);
    assert_eq!(read_backoff(base, 1, 500), base * 2);
    assert_eq!(read_backoff(base, 30, 500), base * 4);
    assert_eq!(read_backoff(base, 2, 0), base * 2);
    assert_eq!(read_backoff(base, 2, 1_000), base * 6);
}

const LIST_LIMIT: Duration = Duration::from_secs(6);
const LIST_A: ListHash = ListHash(1);
const LIST_B: ListHash = ListHash(2);

#[test]
fn changed_list_is_fetched_from_a_peer_that_holds_it_and_an_unchanged_one_is_kept() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let (reader, other) = (fleet(2, 1)[0].coordinator, fleet(2, 1)[1].coordinator);
    let mut tracker = ListTracker::default();
    assert_eq!(tracker.next_step(false, LIST_LIMIT, at(0)), ListStep::Read);
    tracker.record_held(LIST_A, at(0));
    assert_eq!(tracker.next_step(true, LIST_LIMIT, at(1)), ListStep::Read);
    tracker.record_peer(reader, LIST_A, Duration::from_secs(1), at(6));
    assert_eq!(tracker.next_step(false, LIST_LIMIT, at(10)), ListStep::Keep);
    // A list confirmed before the one held is not fetched, even if its report arrives later.
    tracker.record_peer(other, LIST_B, Duration::from_secs(4), at(8));
    assert_eq!(tracker.next_step(false, LIST_LIMIT, at(10)), ListStep::Keep);
    tracker.record_peer(reader, LIST_B, Duration::from_secs(1), at(9));
    assert_eq!(tracker.next_step(false, LIST_LIMIT, at(10)), ListStep::Fetch(reader));
    tracker.record_held(LIST_B, at(9));
    tracker.record_peer(other, LIST_A, Duration::from_secs(1), at(9));
    assert_eq!(tracker.next_step(false, LIST_LIMIT, at(10)), ListStep::Keep);
}

#[test]
fn list_that_no_reader_refreshes_is_read_again_although_peers_relay_it() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let address = fleet(1, 1)[0].coordinator;
    let (mut one, mut two) = (ListTracker::default(), ListTracker::default());
    one.record_held(LIST_A, at(0));
    two.record_held(LIST_A, at(0));
    for second in 1..=6 {
        let (list, age) = one.held(at(second)).unwrap();
        two.record_peer(address, list, age, at(second));
        let (list, age) = two.held(at(second)).unwrap();
        one.record_peer(address, list, age, at(second));
    }
    assert_eq!(one.next_step(false, LIST_LIMIT, at(5)), ListStep::Keep);
    assert_eq!(one.next_step(false, LIST_LIMIT, at(6)), ListStep::Read);
}
