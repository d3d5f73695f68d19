//! Engines that want no requests for a while, and what the planner makes of that.

#[allow(dead_code)]
mod engines;
#[allow(dead_code)]
mod figures;

use std::time::Duration;

use mangocross_types::VmId;

use crate::engines::Connectivity;
use crate::engines::Simulation;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a fabric domain of eleven engines with all groups formed.
fn formed() -> Simulation {
    let mut simulation = Simulation::new(1, 11);
    simulation.run(ms(8_000));
    assert_eq!((simulation.serving("large").len(), simulation.serving("small").len()), (1, 1));
    simulation
}

fn set_connectivity(simulation: &mut Simulation, id: &VmId, connectivity: Connectivity) {
    simulation.engines.get_mut(id).expect("an engine").connectivity = connectivity;
}

/// Guards against groups that are replaced because a member turns the planner's questions away.
#[test]
fn member_that_turns_questions_away_keeps_its_group() {
    let mut simulation = formed();
    let head = simulation.serving("large")[0].clone();
    let members = simulation.engines[&head].members.clone();
    let plans = simulation.plans.clone();
    for id in [&members[0], &members[3]] {
        set_connectivity(&mut simulation, id, Connectivity::TurnsAway);
        simulation.paused.insert(id.clone());
    }
    for _ in 0..20 {
        simulation.planner.probe_group_soon(&head);
        simulation.run(ms(200));
        assert_eq!(simulation.planner.closed_heads(), Vec::<VmId>::new());
    }
    assert_eq!(simulation.plans, plans);
}

/// Guards against questions that do not wait although the server wants nothing for now.
#[test]
fn usual_questions_wait_while_a_server_wants_nothing() {
    let mut simulation = formed();
    let all: Vec<VmId> = simulation.engines.keys().cloned().collect();
    simulation.run(ms(3_000));
    let before = simulation.probes;
    simulation.paused.extend(all.iter().cloned());
    simulation.run(ms(6_000));
    assert_eq!(simulation.probes, before);
    simulation.paused.clear();
    simulation.run(ms(3_000));
    assert!(simulation.probes >= before + all.len(), "they are asked again afterwards");
}

/// Guards against a lost member that is not noticed because it had asked for a pause.
#[test]
fn member_that_is_lost_in_its_pause_is_replaced() {
    let mut simulation = formed();
    let head = simulation.serving("large")[0].clone();
    let lost = simulation.engines[&head].members[3].clone();
    set_connectivity(&mut simulation, &lost, Connectivity::TurnsAway);
    simulation.paused.insert(lost.clone());
    simulation.planner.mark_suspect(&head, simulation.now);
    simulation.run(ms(500));
    set_connectivity(&mut simulation, &lost, Connectivity::NoProcess);
    simulation.planner.mark_suspect(&head, simulation.now);
    simulation.run(ms(3_000));
    assert_eq!(simulation.serving("large").len(), 1);
    assert!(
        simulation
            .plans
            .values()
            .all(|(plan, _)| { plan.groups.iter().all(|it| it.vms().all(|it| *it != lost)) })
    );
}
