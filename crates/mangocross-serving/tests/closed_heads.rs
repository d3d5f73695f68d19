//! The planner tells which listed heads no longer serve.

#[allow(dead_code)]
mod engines;
#[allow(dead_code)]
mod figures;

use std::time::Duration;

use mangocross_serving::MemberPhase;
use mangocross_types::VmId;

use crate::engines::Connectivity;
use crate::engines::Simulation;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn formed() -> Simulation {
    let mut simulation = Simulation::new(2, 11);
    simulation.run(ms(8_000));
    assert_eq!(simulation.serving("large").len(), 2);
    simulation
}

fn set_connectivity(simulation: &mut Simulation, id: &VmId, connectivity: Connectivity) {
    simulation.engines.get_mut(id).expect("an engine").connectivity = connectivity;
}

/// Runs until the planner has closed a head, or a second has passed.
fn run_until_closed(simulation: &mut Simulation, head: &VmId) -> bool {
    (0..20).any(|_| {
        simulation.run(ms(50));
        simulation.planner.closed_heads().contains(head)
    })
}

#[test]
fn heads_of_sound_groups_are_not_closed() {
    let mut simulation = formed();
    assert!(simulation.planner.closed_heads().is_empty());
    // A new planner knows nothing of the groups but their plans.
    simulation.new_planner();
    for _ in 0..20 {
        simulation.run(ms(50));
        assert!(simulation.planner.closed_heads().is_empty());
    }
}

/// The pattern of hundreds of entry VMs that each lose the time of a failed connection: a head goes
/// dark, its entry stays open for some heartbeats, and one entry VM has reported it.
#[test]
fn dark_head_is_closed_while_its_entry_is_still_open() {
    let mut simulation = formed();
    let head = simulation.serving("large")[0].clone();
    set_connectivity(&mut simulation, &head, Connectivity::Silent);
    simulation.planner.probe_group_soon(&head);
    assert!(run_until_closed(&mut simulation, &head));
    assert!(simulation.engines[&head].is_listed, "the entry is still there");
    let others = simulation.serving("large").into_iter().filter(|it| *it != head);
    let closed = simulation.planner.closed_heads();
    assert!(others.into_iter().all(|it| !closed.contains(&it)));
}

/// Guards against a planner that cannot reach most servers, decides nothing for that reason, and
/// still tells all entry VMs to send nothing to the heads that do not answer it.
#[test]
fn isolated_planner_closes_no_head_that_is_merely_silent() {
    let mut simulation = formed();
    let heads = simulation.serving("large");
    simulation.engines.values_mut().for_each(|it| it.connectivity = Connectivity::Silent);
    heads.iter().for_each(|it| simulation.planner.probe_group_soon(it));
    for _ in 0..100 {
        simulation.run(ms(50));
        assert!(simulation.planner.closed_heads().is_empty());
    }
    // A refused connection proves that no process runs, whatever else is silent.
    set_connectivity(&mut simulation, &heads[0], Connectivity::NoProcess);
    simulation.planner.probe_group_soon(&heads[0]);
    assert!(run_until_closed(&mut simulation, &heads[0]));
    assert!(!simulation.planner.closed_heads().contains(&heads[1]));
    // It closes silent heads again once most others answer.
    simulation.engines.values_mut().for_each(|it| it.connectivity = Connectivity::Answers);
    simulation.run(ms(5_000));
    set_connectivity(&mut simulation, &heads[1], Connectivity::Silent);
    simulation.planner.probe_group_soon(&heads[1]);
    assert!(run_until_closed(&mut simulation, &heads[1]));
}

/// A head that only misses the planner's questions while its streams go on stays open.
#[test]
fn silent_head_with_progress_is_not_closed() {
    let mut simulation = formed();
    let head = simulation.serving("large")[0].clone();
    set_connectivity(&mut simulation, &head, Connectivity::Silent);
    simulation.planner.set_progressing_heads([head.clone()].into());
    simulation.planner.probe_group_soon(&head);
    assert!(!run_until_closed(&mut simulation, &head));
}

/// A member is lost and the group re-formed under another head: the old head, which nobody can
/// reach, is closed as soon as the plan is written.
#[test]
fn replaced_head_is_closed() {
    let mut simulation = formed();
    let head = simulation.serving("large")[0].clone();
    set_connectivity(&mut simulation, &head, Connectivity::NoProcess);
    simulation.planner.mark_suspect(&head, simulation.now);
    assert!(run_until_closed(&mut simulation, &head));
    simulation.run(ms(2_500));
    let engine = &simulation.engines[&head].server.engine;
    let phase = engine.membership.as_ref().map(|it| it.phase);
    assert_eq!(phase, Some(MemberPhase::Open), "its entry still says so");
    assert!(simulation.planner.closed_heads().contains(&head));
}

/// The plan cannot be written while the store is away; the dark head is closed all the same.
#[test]
fn dark_head_is_closed_without_the_store() {
    let mut simulation = formed();
    let head = simulation.serving("large")[0].clone();
    simulation.set_store_down(true);
    set_connectivity(&mut simulation, &head, Connectivity::Silent);
    simulation.planner.probe_group_soon(&head);
    assert!(run_until_closed(&mut simulation, &head));
}

/// A member is lost and the group re-formed with its old head, which answers: until it has joined
/// the new incarnation, it stands still and is closed.
#[test]
fn head_of_a_replaced_incarnation_is_closed_until_it_serves_again() {
    let mut simulation = formed();
    let head = simulation.serving("large")[0].clone();
    let member = simulation.engines[&head].members[3].clone();
    set_connectivity(&mut simulation, &member, Connectivity::NoProcess);
    simulation.planner.mark_suspect(&head, simulation.now);
    assert!(run_until_closed(&mut simulation, &head));
    simulation.run(ms(2_500));
    assert_eq!(simulation.serving("large").len(), 2);
    assert!(simulation.planner.closed_heads().is_empty());
}
