//! The planner and servers that are neither listed nor respond, because of a partition or for good.

#[allow(dead_code)]
mod engines;
#[allow(dead_code)]
mod figures;

use std::time::Duration;

use mangocross_types::VmId;

use crate::engines::Connectivity;
use crate::engines::STALL_TIMEOUT;
use crate::engines::Simulation;

/// Duration of the partitions: the entries expire, and the planner gives the groups up.
const PARTITION: Duration = Duration::from_secs(14);
/// Time without any sign of a group's servers after which its plan ends.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(70);

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a domain with a large group, two small ones and two spares, and the servers of the first group
/// of a model, the head first.
fn formed(model: &str) -> (Simulation, Vec<VmId>) {
    let mut simulation = Simulation::new(1, 14);
    simulation.run(ms(8_000));
    assert_eq!((simulation.serving("large").len(), simulation.serving("small").len()), (1, 2));
    let group = simulation.members_of(&simulation.serving(model)[0]);
    (simulation, group)
}

/// Cuts servers off the store and from the planner.
fn isolate(simulation: &mut Simulation, vms: &[VmId]) {
    simulation.cut_from_store(vms);
    simulation.connect(vms, Connectivity::Silent);
}

fn reconnect(simulation: &mut Simulation, vms: &[VmId]) {
    simulation.connect(vms, Connectivity::Answers);
    simulation.reconnect_to_store(vms);
}

/// Asserts that no server joined another group early and that all groups serve.
fn assert_sound(simulation: &Simulation) {
    assert!(simulation.early_joins.is_empty(), "{:?}", simulation.early_joins);
    let serving = (simulation.serving("large").len(), simulation.serving("small").len());
    assert_eq!(serving, (1, 2));
}

/// Guards against a whole group that is taken for broken because none of its members is listed or
/// responds: they would join another group while its head is open.
#[test]
fn members_of_a_group_behind_a_silent_partition_join_no_other_group() {
    let (mut simulation, group) = formed("large");
    isolate(&mut simulation, &group);
    simulation.run(PARTITION);
    reconnect(&mut simulation, &group[1..]);
    simulation.run(ms(3_000));
    reconnect(&mut simulation, &group[..1]);
    simulation.run(ms(20_000));
    assert_sound(&simulation);
}

/// Guards against the same by a planner that started while the entries were missing and has never
/// seen the group.
#[test]
fn next_planner_frees_no_member_that_it_has_not_seen() {
    let (mut simulation, group) = formed("large");
    isolate(&mut simulation, &group);
    simulation.run(ms(5_000));
    simulation.new_planner();
    simulation.run(PARTITION);
    reconnect(&mut simulation, &group[1..]);
    simulation.run(ms(3_000));
    reconnect(&mut simulation, &group[..1]);
    simulation.run(ms(20_000));
    assert_sound(&simulation);
}

/// Guards against a head that is taken for broken because the member that was thought to be out has
/// only been silent.
#[test]
fn silence_of_a_member_before_the_partition_ends_is_no_absence() {
    let (mut simulation, group) = formed("large");
    isolate(&mut simulation, &group);
    simulation.run(ms(5_500));
    simulation.connect(&group[1..], Connectivity::Answers);
    simulation.run(ms(500));
    simulation.connect(&group[1..], Connectivity::Silent);
    simulation.run(ms(6_500));
    reconnect(&mut simulation, &group[1..]);
    simulation.run(ms(20_000));
    assert!(simulation.early_joins.is_empty(), "{:?}", simulation.early_joins);
}

/// Guards against plans that name servers for ever that are gone for good.
#[test]
fn plan_of_a_group_that_is_gone_for_good_ends() {
    for changes_planner in [false, true] {
        let (mut simulation, group) = formed("small");
        simulation.crash(&group);
        simulation.run(ms(5_000));
        if changes_planner {
            simulation.new_planner();
        }
        simulation.run(FORGOTTEN_AFTER);
        assert!(!simulation.plans.values().any(|(it, _)| group.iter().any(|vm| it.contains(vm))));
        simulation.start_again(&group);
        simulation.run(ms(5_000));
        assert_sound(&simulation);
    }
}

/// Guards against spares that wait for the servers of a group that is gone for good.
#[test]
fn spares_form_a_group_while_another_one_is_gone() {
    let (mut simulation, group) = formed("small");
    simulation.crash(&group);
    simulation.run(ms(5_000));
    for number in 20..23 {
        simulation.add(0, number);
    }
    simulation.run(ms(8_000));
    assert_sound(&simulation);
}

/// Guards against members that are held for ever because their head is gone: they are ordered to leave
/// and free after the stall.
#[test]
fn members_of_a_head_that_is_gone_are_free_after_the_stall() {
    let (mut simulation, group) = formed("small");
    simulation.crash(&group[..1]);
    simulation.planner.probe_group_soon(&group[0]);
    simulation.run(STALL_TIMEOUT + ms(2_000));
    assert_sound(&simulation);
}

/// Guards against a server that waits for the former group of its id although its process has started
/// again.
#[test]
fn server_that_started_again_is_free_at_once() {
    let (mut simulation, group) = formed("small");
    isolate(&mut simulation, &group);
    simulation.run(PARTITION);
    simulation.start_again(&group);
    simulation.run(ms(1_500));
    let planned = simulation.plans.values().flat_map(|(it, _)| &it.groups);
    assert_eq!(planned.filter(|it| !it.is_dissolving).count(), 3, "the former group is replaced");
    simulation.run(ms(6_000));
    assert_sound(&simulation);
}

/// Guards against servers whose group the plan no longer has, and which count as free for that reason
/// when they are back: their head may be open or stand still.
#[test]
fn servers_of_a_forgotten_group_are_free_once_its_head_has_stopped() {
    for changes_planner in [false, true] {
        let (mut simulation, group) = formed("large");
        isolate(&mut simulation, &group);
        simulation.run(FORGOTTEN_AFTER);
        assert!(!simulation.plans.values().any(|(it, _)| group.iter().any(|vm| it.contains(vm))));
        if changes_planner {
            simulation.new_planner();
        }
        reconnect(&mut simulation, &group[1..]);
        simulation.run(STALL_TIMEOUT);
        reconnect(&mut simulation, &group[..1]);
        simulation.run(ms(8_000));
        assert_sound(&simulation);
    }
}

/// Guards against spares that the next planner holds because they still report a group whose head has
/// stopped.
#[test]
fn spares_of_a_dissolved_group_are_free_to_the_next_planner() {
    let (mut simulation, group) = formed("large");
    let all: Vec<VmId> = simulation.engines.keys().cloned().collect();
    let left: Vec<VmId> = vec![group[0].clone(), group[5].clone()];
    let crashed: Vec<VmId> = all.into_iter().filter(|it| !left.contains(it)).collect();
    simulation.crash(&crashed);
    simulation.run(ms(12_000));
    for vm in left {
        let membership = simulation.engines[&vm].server.engine.membership.as_ref();
        assert!(membership.is_none_or(|it| it.rank.0 == 0), "{membership:?}");
    }
}

/// Guards against a plan from entries that are older than the state of their servers, which report
/// another group when they are asked.
#[test]
fn servers_with_old_entries_join_no_other_group() {
    let (mut simulation, group) = formed("large");
    let now = simulation.now;
    simulation.update(&group, |it| {
        let mut entry = it.server.clone();
        entry.engine.membership = None;
        it.last_entry = Some((entry, now));
    });
    simulation.plans.clear();
    simulation.new_planner();
    simulation.run(ms(2_000));
    reconnect(&mut simulation, &group);
    simulation.run(ms(20_000));
    assert!(simulation.early_joins.is_empty(), "{:?}", simulation.early_joins);
}
