//! Which coordinators a gateway of a larger fleet polls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::RelayRanking;
use mangocross_coordination::ResponseTracker;
use mangocross_coordination::groups_for_gateway;
use mangocross_coordination::peer_poll_stride;
use mangocross_types::DesiredState;
use mangocross_types::EntryVmSpec;
use mangocross_types::GroupId;
use mangocross_types::GroupSize;
use mangocross_types::GroupSpec;

const ENTRY_VMS: u16 = 350;
const GROUPS: u16 = 438;

fn entry_vms(count: u16, zones: u16) -> Vec<EntryVmSpec> {
    let entry_vm = |it: u16| EntryVmSpec {
        vm: format!("entry-{it}").parse().unwrap(),
        availability_zone: format!("zone-{}", it % zones).parse().unwrap(),
        coordinator: SocketAddr::from(([127, 0, 0, 1], 7_000 + it)),
    };
    (0..count).map(entry_vm).collect()
}

fn groups(count: u16, model: &str) -> Vec<GroupSpec> {
    let group = |it: u16| GroupSpec {
        id: format!("{model}-{it}").parse().unwrap(),
        model: model.parse().unwrap(),
        model_version: "v1".parse().unwrap(),
        size: GroupSize(16),
        desired: DesiredState::Serving,
        domain: None,
        customers: Vec::new(),
        kinds: Vec::new(),
    };
    (0..count).map(group).collect()
}

#[test]
fn every_group_has_gateways_and_every_gateway_groups_of_each_model() {
    let fleet = entry_vms(ENTRY_VMS, 10);
    let all: Vec<GroupSpec> =
        groups(GROUPS, "letters").into_iter().chain(groups(3, "drills")).collect();
    let mut gateways: HashMap<&GroupId, u32> = HashMap::new();
    for entry_vm in &fleet {
        let chosen = groups_for_gateway(&all, &fleet, &entry_vm.vm);
        let of = |model: &str| chosen.iter().filter(|it| it.as_str().starts_with(model)).count();
        assert!((12..=40).contains(&of("letters")), "{}: {}", entry_vm.vm, of("letters"));
        assert_eq!(of("drills"), 3, "{} lacks groups of the small model", entry_vm.vm);
        chosen.into_iter().for_each(|it| *gateways.entry(it).or_default() += 1);
    }
    for group in &all {
        let count = gateways.get(&group.id).copied().unwrap_or_default();
        assert!(count >= 4, "{} is chosen by {count} gateways", group.id);
    }
}

#[test]
fn restricted_groups_are_chosen_by_every_gateway_and_stopped_ones_take_no_slot() {
    let fleet = entry_vms(ENTRY_VMS, 10);
    let mut all = groups(GROUPS, "letters");
    all[7].customers = vec!["town".parse().unwrap()];
    all[9].kinds = vec!["draft".parse().unwrap()];
    for stopped in &mut all[20..] {
        stopped.desired = DesiredState::Stopped;
    }
    for entry_vm in &fleet {
        let chosen = groups_for_gateway(&all, &fleet, &entry_vm.vm);
        assert!(chosen.contains(&&all[7].id) && chosen.contains(&&all[9].id));
        let serving = chosen.iter().filter(|it| all[..20].iter().any(|group| group.id == ***it));
        assert!(serving.count() >= 12 && chosen.len() <= 20, "{}: {chosen:?}", entry_vm.vm);
    }
}

#[test]
fn fleet_change_affects_few_chosen_groups() {
    let (fleet, all) = (entry_vms(ENTRY_VMS, 10), groups(GROUPS, "letters"));
    let gateway = &fleet[0].vm;
    let before = groups_for_gateway(&all, &fleet, gateway);
    let after = groups_for_gateway(&all, &fleet[..340], gateway);
    let kept = before.iter().filter(|it| after.contains(it)).count();
    assert_eq!(kept, before.len(), "a gateway that stays lost groups when others left");
    let fewer = groups_for_gateway(&all[1..], &fleet, gateway);
    assert!(before.iter().filter(|it| !fewer.contains(it)).count() <= 1);
}

#[test]
fn relays_are_the_own_coordinator_and_one_in_each_other_zone() {
    let fleet = entry_vms(30, 3);
    for entry_vm in &fleet {
        let relays = RelayRanking::new(&fleet, &entry_vm.vm).targets(|_| false);
        assert_eq!(relays[0], entry_vm.coordinator);
        let mut zones: Vec<u16> = relays.iter().map(|it| (it.port() - 7_000) % 3).collect();
        zones.sort_unstable();
        assert_eq!(zones, [0, 1, 2]);
    }
}

#[test]
fn silent_relay_is_still_polled_and_a_substitute_is_added() {
    let fleet = entry_vms(30, 3);
    let own = &fleet[4];
    let ranking = RelayRanking::new(&fleet, &own.vm);
    let start = Instant::now();
    let mut times = ResponseTracker::new(Duration::from_secs(2));
    let mut polled = ranking.targets(|_| false);
    times.set_targets(&polled, start);
    // A process that was paused has received no answer; it polls a few more relays, not all.
    let later = start + Duration::from_secs(600);
    polled = ranking.targets(|it| times.is_unresponsive(it, later));
    assert_eq!(polled.len(), 6);
    times.set_targets(&polled, later);
    for relay in &polled[1..] {
        times.record_response(*relay, later);
    }
    let silent = |it| times.is_unresponsive(it, later + Duration::from_millis(500));
    assert_eq!(ranking.targets(silent).len(), 4);
    assert_eq!(ranking.targets(silent)[0], own.coordinator);
    assert_eq!(ranking.report_target(silent), Some(polled[1]));
    times.record_response(own.coordinator, later);
    let silent = |it| times.is_unresponsive(it, later + Duration::from_millis(500));
    assert_eq!(ranking.targets(silent).len(), 3);
    assert_eq!(ranking.report_target(silent), Some(own.coordinator));
}

#[test]
fn peer_poll_interval_grows_with_the_fleet_and_a_freshness_lease_outlasts_three_polls() {
    let (interval, lease) = (Duration::from_millis(750), Duration::from_millis(6_000));
    let rounds = |vms, lease| peer_poll_stride(&entry_vms(vms, 3), interval, lease);
    assert_eq!([0, 7, 32].map(|it| rounds(it, lease)), [1, 1, 1]);
    assert_eq!([33, 350].map(|it| rounds(it, lease)), [2, 2]);
    assert_eq!([33, 64, 65, 350].map(|it| rounds(it, 2 * lease)), [2, 2, 3, 3]);
    assert_eq!(rounds(350, lease / 2), 1);
}
