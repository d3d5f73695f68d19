//! The store has lost plans of groups that serve.

#[allow(dead_code)]
mod engines;
#[allow(dead_code)]
mod figures;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use fastrand::Rng;
use mangocross_serving::MemberPhase;
use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::StoreEra;
use mangocross_types::VmId;

use crate::engines::Connectivity;
use crate::engines::Simulation;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn formed() -> Simulation {
    let mut simulation = Simulation::new(1, 11);
    simulation.run(ms(8_000));
    assert_eq!((simulation.serving("large").len(), simulation.serving("small").len()), (1, 1));
    simulation
}

/// Replaces the planner with one that plans in the next era, from older plans.
fn lose_plans(simulation: &mut Simulation, era: u64, plans: engines::Plans) {
    simulation.plans = plans;
    simulation.new_planner();
    simulation.planner.set_era(StoreEra(era));
}

/// Returns the members of each incarnation of a group that was ever joined.
type Formations = BTreeMap<(GroupId, Incarnation), BTreeSet<Vec<VmId>>>;

fn record_formations(simulation: &Simulation, formations: &mut Formations) {
    for engine in simulation.engines.values() {
        if let Some(it) = &engine.server.engine.membership {
            let key = (it.group.clone(), it.incarnation);
            formations.entry(key).or_default().insert(engine.members.clone());
        }
    }
}

/// Runs for a while; an incarnation must never be given out for two lists of members.
fn run(simulation: &mut Simulation, steps: usize, formations: &mut Formations) {
    for _ in 0..steps {
        simulation.run(ms(50));
        record_formations(simulation, formations);
    }
    let reused: Vec<_> = formations.iter().filter(|(_, lists)| lists.len() > 1).collect();
    assert!(reused.is_empty(), "{reused:?}");
}

fn heads(simulation: &Simulation) -> Vec<VmId> {
    [simulation.serving("large"), simulation.serving("small")].concat()
}

/// Heads that no plan has are told to leave; these serve, and the store has lost their plan.
#[test]
fn groups_of_a_lost_plan_serve_on() {
    let mut simulation = formed();
    let before = heads(&simulation);
    lose_plans(&mut simulation, 1, BTreeMap::new());
    for _ in 0..100 {
        simulation.run(ms(50));
        assert_eq!(heads(&simulation), before);
    }
    let planned: usize = simulation.plans.values().map(|(plan, _)| plan.groups.len()).sum();
    assert_eq!(planned, 2);
}

/// The older plan has the group with a member that it lost since.
#[test]
fn group_that_was_formed_again_since_the_copy_serves_on() {
    let mut simulation = formed();
    let copy = simulation.plans.clone();
    let head = simulation.serving("large")[0].clone();
    let lost = simulation.engines[&head].members[2].clone();
    simulation.engines.get_mut(&lost).expect("an engine").connectivity = Connectivity::NoProcess;
    simulation.run(ms(4_000));
    let before = heads(&simulation);
    assert_eq!(before.len(), 2);
    simulation.engines.get_mut(&lost).expect("an engine").connectivity = Connectivity::Answers;
    simulation.restart(&lost);
    lose_plans(&mut simulation, 1, copy);
    for _ in 0..100 {
        simulation.run(ms(50));
        assert_eq!(heads(&simulation), before);
    }
}

/// The lost plan had given out an incarnation that no server reports yet; an order to join it may
/// still arrive, with other members than those of the next plan.
#[test]
fn incarnation_of_a_lost_plan_is_not_given_out_again() {
    let mut simulation = formed();
    let copy = simulation.plans.clone();
    let next = |simulation: &Simulation| -> u64 {
        simulation.plans.values().map(|(plan, _)| plan.next_incarnation).max().expect("a plan")
    };
    let former = next(&simulation);
    let members = simulation.engines[&simulation.serving("large")[0]].members.clone();
    simulation.restart(&members[2]);
    while next(&simulation) == former {
        simulation.run(ms(50));
    }
    let lost = next(&simulation);
    lose_plans(&mut simulation, 1, copy);
    simulation.restart(&members[3]);
    while next(&simulation) == former {
        simulation.run(ms(50));
    }
    let (plan, _) = simulation.plans.values().next().expect("a plan");
    let incarnation = plan.groups.iter().map(|it| it.incarnation.0).max().expect("a group");
    assert!(incarnation >= lost, "{incarnation} is given out again, {lost} is the next one");
}

/// Members are lost and the store returns to plans of any age, also twice within a second.
#[test]
fn no_incarnation_is_given_out_twice_and_no_vm_is_in_two_groups() {
    for seed in 0..40 {
        let mut random = Rng::with_seed(seed);
        let mut simulation = formed();
        let mut formations = Formations::new();
        let mut copies = vec![simulation.plans.clone()];
        for era in 1..6 {
            let engines: Vec<VmId> = simulation.engines.keys().cloned().collect();
            let lost = engines[random.usize(0..engines.len())].clone();
            simulation.restart(&lost);
            run(&mut simulation, random.usize(0..60), &mut formations);
            copies.push(simulation.plans.clone());
            run(&mut simulation, random.usize(0..60), &mut formations);
            let copy = copies[random.usize(0..copies.len())].clone();
            lose_plans(&mut simulation, era, copy);
            run(&mut simulation, random.usize(0..30), &mut formations);
        }
        run(&mut simulation, 400, &mut formations);
        let are_open = |it: &VmId| {
            let membership = simulation.engines[it].server.engine.membership.as_ref();
            membership.is_some_and(|it| it.phase == MemberPhase::Open)
        };
        let heads = heads(&simulation);
        assert!(heads.len() >= 2 && heads.iter().all(are_open), "seed {seed}: {heads:?}");
    }
}
