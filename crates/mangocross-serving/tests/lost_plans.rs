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

/// Returns two small groups, of which the second has a spare that joined it after the copy, and the
/// plans of the copy.
fn repaired_since_the_copy() -> (Simulation, engines::Plans, [VmId; 2]) {
    let mut simulation = Simulation::new(1, 14);
    simulation.run(ms(8_000));
    let heads = simulation.serving("small");
    let spares: Vec<VmId> = simulation.spares().iter().map(|it| it.server.vm.clone()).collect();
    assert_eq!((heads.len(), spares.len()), (2, 2));
    end(&mut simulation, &spares[0]);
    simulation.engines.get_mut(&spares[0]).expect("an engine").is_listed = false;
    simulation.run(ms(1_000));
    let copy = simulation.plans.clone();
    crash(&mut simulation, &heads[1], 2);
    simulation.run(ms(3_000));
    expire_entries(&mut simulation);
    let serving = simulation.serving("small");
    assert_eq!((serving.len(), simulation.plans == copy), (2, false));
    (simulation, copy, [serving[0].clone(), serving[1].clone()])
}

/// Crashes a member of a head's group for good.
fn crash(simulation: &mut Simulation, head: &VmId, rank: usize) {
    let lost = simulation.engines[head].members[rank].clone();
    end(simulation, &lost);
}

fn end(simulation: &mut Simulation, vm: &VmId) {
    let engine = simulation.engines.get_mut(vm).expect("an engine");
    engine.connectivity = Connectivity::NoProcess;
}

/// Removes the entries of servers that have ended.
fn expire_entries(simulation: &mut Simulation) {
    for engine in simulation.engines.values_mut() {
        engine.is_listed &= engine.connectivity != Connectivity::NoProcess;
    }
}

/// Guards against a member of a group without a plan that counts as free because another member was
/// lost beside the return of the store: it would join another group while its head stands still.
#[test]
fn members_of_an_incomplete_group_without_a_plan_are_not_free() {
    let (mut simulation, copy, heads) = repaired_since_the_copy();
    crash(&mut simulation, &heads[0], 2);
    crash(&mut simulation, &heads[1], 1);
    // Its entry is that of the copy.
    let lost = simulation.engines[&heads[1]].members[1].clone();
    let entry = &mut simulation.engines.get_mut(&lost).expect("an engine").server.engine;
    entry.membership.as_mut().expect("a member").incarnation.0 -= 1;
    lose_plans(&mut simulation, 1, copy);
    simulation.run(ms(3_600));
    expire_entries(&mut simulation);
    simulation.run(ms(12_000));
    assert!(simulation.early_joins.is_empty(), "{:?}", simulation.early_joins);
    assert_eq!(simulation.serving("small").len(), 1, "the members serve again");
}

/// Guards against the same where the platform doesn't list the head, which lives on: its entry is
/// not written again yet, and the planner has no address of it.
#[test]
fn members_of_an_unknown_head_are_not_free() {
    let (mut simulation, copy, heads) = repaired_since_the_copy();
    crash(&mut simulation, &heads[0], 2);
    let head = simulation.engines.get_mut(&heads[1]).expect("an engine");
    head.is_listed = false;
    head.connectivity = Connectivity::Silent;
    lose_plans(&mut simulation, 1, copy);
    simulation.run(ms(3_600));
    expire_entries(&mut simulation);
    simulation.run(ms(12_000));
    assert!(simulation.early_joins.is_empty(), "{:?}", simulation.early_joins);
    assert_eq!(simulation.serving("small").len(), 1, "the members serve again");
}

/// Guards against a sound group that is dissolved because a member's entry is written again later
/// than those of the others.
#[test]
fn group_without_a_plan_serves_on_while_an_entry_is_missing() {
    let (mut simulation, copy, heads) = repaired_since_the_copy();
    let late = simulation.engines[&heads[1]].members[2].clone();
    let before = simulation.engines[&heads[1]].server.engine.membership.clone();
    simulation.engines.get_mut(&late).expect("an engine").is_listed = false;
    lose_plans(&mut simulation, 1, copy);
    simulation.run(ms(700));
    simulation.engines.get_mut(&late).expect("an engine").is_listed = true;
    simulation.run(ms(5_000));
    assert_eq!(simulation.engines[&heads[1]].server.engine.membership, before);
    assert!(simulation.serving("small").contains(&heads[1]));
    assert!(simulation.early_joins.is_empty(), "{:?}", simulation.early_joins);
}

/// Servers crash before and after returns of the store to plans of any age; some come back.
#[test]
fn no_member_joins_another_group_early_after_a_return_to_a_copy() {
    for seed in 0..40 {
        let mut random = Rng::with_seed(seed);
        let mut simulation = Simulation::new(1, 14);
        simulation.run(ms(8_000));
        let mut copies = vec![simulation.plans.clone()];
        for era in 1..5 {
            let entries = simulation.engines.clone();
            for _ in 0..3 {
                for head in heads(&simulation) {
                    if random.u8(0..3) == 0 {
                        let rank = random.usize(0..simulation.engines[&head].members.len());
                        crash(&mut simulation, &head, rank);
                    }
                }
                copies.push(simulation.plans.clone());
                simulation.run(ms(random.u64(0..60) * 50));
            }
            // Servers that have ended don't write their entries again.
            for (vm, engine) in &mut simulation.engines {
                if engine.connectivity == Connectivity::NoProcess {
                    engine.server = entries[vm].server.clone();
                }
            }
            lose_plans(&mut simulation, era, copies[random.usize(0..copies.len())].clone());
            simulation.run(ms(3_600));
            expire_entries(&mut simulation);
            simulation.run(ms(random.u64(0..200) * 50));
            let lost: Vec<VmId> = simulation
                .engines
                .iter()
                .filter(|(_, it)| it.connectivity == Connectivity::NoProcess)
                .map(|(vm, _)| vm.clone())
                .collect();
            for vm in &lost {
                simulation.restart(vm);
                simulation.engines.get_mut(vm).expect("an engine").is_listed = true;
            }
            simulation.run(ms(4_000));
        }
        simulation.run(ms(20_000));
        assert!(simulation.early_joins.is_empty(), "seed {seed}: {:?}", simulation.early_joins);
        assert!(heads(&simulation).len() >= 3, "seed {seed}: groups serve again");
    }
}

/// Guards against a serving group that is told to leave by a planner that started after it was
/// adopted without its last member, when that member's entry is written again.
#[test]
fn next_planner_completes_a_group_that_was_adopted_without_a_member() {
    let (mut simulation, copy, heads) = repaired_since_the_copy();
    let late = simulation.engines[&heads[1]].members[2].clone();
    let before = simulation.engines[&heads[1]].server.engine.membership.clone();
    simulation.engines.get_mut(&late).expect("an engine").is_listed = false;
    lose_plans(&mut simulation, 1, copy);
    simulation.run(ms(300));
    simulation.new_planner();
    simulation.planner.set_era(StoreEra(1));
    simulation.run(ms(300));
    simulation.engines.get_mut(&late).expect("an engine").is_listed = true;
    simulation.run(ms(5_000));
    assert_eq!(simulation.engines[&heads[1]].server.engine.membership, before);
    assert!(simulation.serving("small").contains(&heads[1]));
    let planned = simulation.plans.values().any(|(it, _)| it.contains(&late));
    assert!(planned, "the member is planned");
}

/// Guards against a group with more members than its model needs: a server that has started again under
/// another id answers at the address of its former entry, so two ids report the same membership.
#[test]
fn former_id_of_a_member_does_not_enlarge_its_group() {
    let mut simulation = formed();
    let head = simulation.serving("small")[0].clone();
    let members = simulation.engines[&head].members.clone();
    let former: VmId = "former".parse().expect("a valid id");
    let mut same_process = simulation.engines[&members[1]].clone();
    same_process.server.vm = former.clone();
    simulation.engines.insert(former.clone(), same_process);
    for _ in 0..60 {
        simulation.run(ms(50));
        let planned = simulation.plans.values().flat_map(|(it, _)| &it.groups);
        let largest = planned.filter(|it| it.model.as_str() == "small").map(|it| it.members.len());
        assert_eq!(largest.max(), Some(members.len()));
    }
    assert!(simulation.serving("small").contains(&head), "the group serves on");
}
