//! Groups are formed, repaired and replaced while servers, networks and the store fail.

#[allow(dead_code)]
mod engines;
mod figures;

use std::time::Duration;

use mangocross_serving::MemberPhase;
use mangocross_types::VmId;

use crate::engines::Connectivity;
use crate::engines::Engine;
use crate::engines::STALL_TIMEOUT;
use crate::engines::Simulation;
use crate::engines::vm;
use crate::figures::engine_spec;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns two fabric domains of eleven engines with all groups formed, after the first request.
fn formed() -> Simulation {
    let mut simulation = Simulation::new(2, 11);
    simulation.run(ms(8_000));
    assert_eq!((simulation.serving("large").len(), simulation.serving("small").len()), (2, 2));
    simulation.planner.set_weight_loads_unlimited(false);
    simulation.fetches_at_full_duration = true;
    simulation.weight_loads.clear();
    simulation
}

/// Returns the member with a rank in the group of a head.
fn member(simulation: &Simulation, head: &VmId, rank: usize) -> VmId {
    simulation.engines[head].members[rank].clone()
}

fn set_connectivity(simulation: &mut Simulation, id: &VmId, connectivity: Connectivity) {
    simulation.engines.get_mut(id).expect("an engine").connectivity = connectivity;
}

/// Servers appear one by one. Small groups formed from the first ones would leave too few VMs for
/// the large model.
#[test]
fn first_groups_wait_until_the_domain_is_complete() {
    let mut simulation = Simulation::new(1, 3);
    for number in 3..11 {
        simulation.run(ms(200));
        simulation.add(0, number);
    }
    simulation.run(ms(8_000));
    assert_eq!((simulation.serving("large").len(), simulation.serving("small").len()), (1, 1));
}

#[test]
fn spares_have_the_weights_of_the_domains_models() {
    let simulation = formed();
    let loaded: Vec<String> = simulation
        .spares()
        .iter()
        .flat_map(|it| &it.server.engine.loaded)
        .map(ToString::to_string)
        .collect();
    assert_eq!(loaded.len(), 4);
    assert_eq!(loaded.iter().filter(|it| *it == "large").count(), 2);
}

/// With two models on each VM, any VM can replace any lost one without the weight store.
#[test]
fn all_vms_hold_a_second_model_before_the_first_request() {
    let simulation = formed();
    for engine in simulation.engines.values() {
        let status = &engine.server.engine;
        assert_eq!((status.loaded.len(), status.staged.len()), (1, 1), "{}", engine.server.vm);
        assert_ne!(status.loaded, status.staged, "{}", engine.server.vm);
    }
}

#[test]
fn lost_member_is_replaced_by_a_staged_spare() {
    let mut simulation = formed();
    let head = simulation.serving("large")[0].clone();
    let lost = member(&simulation, &head, 3);
    set_connectivity(&mut simulation, &lost, Connectivity::Silent);
    simulation.planner.mark_suspect(&head, simulation.now);
    simulation.run(ms(2_500));
    assert_eq!(simulation.serving("large").len(), 2);
    assert!(simulation.weight_loads.len() <= 1, "only the next spare's weights are loaded");
}

/// Loading weights that are only staged on the VM would take 0.8 s more.
#[test]
fn spare_joins_at_once_in_the_place_of_a_lost_member() {
    let mut simulation = formed();
    assert!(simulation.spares().iter().all(|it| !it.server.engine.loaded.is_empty()));
    for model in ["large", "small"] {
        let head = simulation.serving(model)[0].clone();
        let lost = member(&simulation, &head, 2);
        set_connectivity(&mut simulation, &lost, Connectivity::NoProcess);
        simulation.planner.mark_suspect(&head, simulation.now);
        simulation.run(ms(750));
        assert_eq!(simulation.serving(model).len(), 2, "{model}");
    }
    assert!(simulation.weight_loads.is_empty(), "weights were already loaded");
}

/// A new planner finds each VM with only its loaded model staged.
#[test]
fn background_fetches_leave_capacity_of_the_weight_store() {
    let mut simulation = formed();
    for engine in simulation.engines.values_mut() {
        engine.server.engine.staged.clone_from(&engine.server.engine.loaded);
    }
    simulation.new_planner();
    let mut most = 0;
    for _ in 0..200 {
        simulation.run(ms(50));
        most = most.max(simulation.engines.values().filter(|it| it.staging.is_some()).count());
    }
    assert_eq!(most, engine_spec().loads_at_once / 4);
    let second = |it: &&Engine| it.server.engine.staged != it.server.engine.loaded;
    let spares = simulation.spares();
    assert!(spares.iter().all(second), "spares have priority");
}

/// Repeated losses use up the spares of a domain, and new VMs are not prepared yet.
#[test]
fn small_group_is_dissolved_for_a_large_one_without_spares() {
    let mut simulation = formed();
    for _ in 0..3 {
        let head = simulation.serving("large")[0].clone();
        let lost = member(&simulation, &head, 4);
        set_connectivity(&mut simulation, &lost, Connectivity::NoProcess);
        simulation.planner.mark_suspect(&head, simulation.now);
        simulation.run(ms(1_500));
        assert_eq!(simulation.serving("large").len(), 2);
    }
    assert_eq!(simulation.serving("small").len(), 1);
    let spares =
        simulation.spares().into_iter().filter(|it| it.connectivity == Connectivity::Answers);
    assert_eq!(spares.count(), 4, "its other members are spares");
}

/// Twelve VMs serve the large model and only three the small one, so the small group stays.
#[test]
fn group_of_a_scarce_model_is_not_dissolved() {
    let mut simulation = formed();
    let small = simulation.serving("small");
    let domain_of =
        |simulation: &Simulation, vm: &VmId| simulation.engines[vm].server.engine.domain.clone();
    let unreachable = domain_of(&simulation, &small[1]);
    let spares: Vec<VmId> = simulation.spares().iter().map(|it| it.server.vm.clone()).collect();
    let mut lost = simulation.engines[&small[1]].members.clone();
    lost.extend(spares);
    for it in &lost {
        set_connectivity(&mut simulation, it, Connectivity::NoProcess);
    }
    simulation.run(ms(3_000));
    let mut large = simulation.serving("large");
    large.retain(|it| domain_of(&simulation, it) != unreachable);
    let lost_member = member(&simulation, &large[0], 2);
    set_connectivity(&mut simulation, &lost_member, Connectivity::NoProcess);
    simulation.planner.mark_suspect(&large[0], simulation.now);
    simulation.run(ms(1_500));
    assert!(simulation.serving("small").contains(&small[0]), "it keeps serving");
}

/// Two groups of a domain lose a member each, and the only spare has no weights.
#[test]
fn group_that_waits_for_the_weight_store_completes_another_one() {
    let mut simulation = Simulation::new(1, 14);
    simulation.run(ms(8_000));
    simulation.planner.set_weight_loads_unlimited(false);
    simulation.fetches_at_full_duration = true;
    let small = simulation.serving("small");
    assert_eq!((small.len(), simulation.serving("large").len()), (2, 1));
    let spares: Vec<VmId> = simulation.spares().iter().map(|it| it.server.vm.clone()).collect();
    for it in &spares {
        set_connectivity(&mut simulation, it, Connectivity::NoProcess);
    }
    simulation.run(ms(3_000));
    simulation.add(0, 20);
    for head in &small {
        let lost = member(&simulation, head, 1);
        set_connectivity(&mut simulation, &lost, Connectivity::NoProcess);
        simulation.planner.mark_suspect(head, simulation.now);
        simulation.run(ms(1_000));
    }
    assert_eq!(simulation.serving("small").len(), 1, "one of them is complete without a load");
}

/// A member is slow, and the spares have no weights. A replacement would take the group out of
/// service for the time of a weight load.
#[test]
fn slow_member_stays_until_a_spare_is_prepared() {
    let mut simulation = formed();
    let head = simulation.serving("large")[0].clone();
    let slow = member(&simulation, &head, 1);
    let before = simulation.plans.clone();
    simulation.engines.get_mut(&slow).expect("an engine").slowdown = 5.0;
    let spares: Vec<VmId> = simulation.spares().iter().map(|it| it.server.vm.clone()).collect();
    for _ in 0..16 {
        for it in &spares {
            let spare = simulation.engines.get_mut(it).expect("an engine");
            spare.staging = None;
            spare.joining = None;
            spare.ready_at = None;
            spare.server.engine.membership = None;
            spare.server.engine.staged.clear();
            spare.server.engine.loaded.clear();
        }
        simulation.run(ms(500));
    }
    assert_eq!(simulation.plans, before);
}

#[test]
fn large_group_is_not_dissolved_for_a_small_one() {
    let mut simulation = formed();
    for _ in 0..2 {
        let small = simulation.serving("small")[0].clone();
        let domain = simulation.engines[&small].server.engine.domain.clone();
        let vms: Vec<VmId> = simulation
            .engines
            .values()
            .filter(|it| it.server.engine.domain == domain)
            .map(|it| it.server.vm.clone())
            .collect();
        let spares: Vec<VmId> = simulation
            .spares()
            .iter()
            .map(|it| it.server.vm.clone())
            .filter(|it| vms.contains(it))
            .collect();
        for it in spares {
            set_connectivity(&mut simulation, &it, Connectivity::NoProcess);
        }
        simulation.run(ms(500));
        set_connectivity(&mut simulation, &small, Connectivity::NoProcess);
        simulation.run(ms(3_000));
        if simulation.serving("small").is_empty() {
            break;
        }
    }
    assert_eq!(
        simulation.serving("large").len(),
        2,
        "a large group is never dissolved for a small one"
    );
}

/// A delayed order to load a spare must be refused once the spare has joined a planned group.
#[test]
fn spare_loads_under_an_incarnation_that_planned_groups_outrank() {
    let simulation = formed();
    for spare in simulation.spares() {
        let spare_group = spare.server.engine.membership.as_ref().expect("a group of its own");
        let domain = spare.server.engine.domain.as_ref().expect("a domain");
        assert!(spare_group.incarnation.0 < simulation.plans[domain].0.next_incarnation);
        assert_eq!(spare.members, std::slice::from_ref(&spare.server.vm));
        assert_ne!(spare_group.phase, MemberPhase::Open);
    }
}

/// The head is unreachable. Its members re-form the group under another head, without waiting until
/// the old head is broken.
#[test]
fn lost_head_is_replaced_in_place() {
    let mut simulation = formed();
    let head = simulation.serving("large")[0].clone();
    set_connectivity(&mut simulation, &head, Connectivity::Silent);
    simulation.planner.mark_suspect(&head, simulation.now);
    simulation.run(ms(2_500));
    assert_eq!(simulation.serving("large").len(), 2);
}

/// The head of an earlier incarnation is unreachable and may still be open.
#[test]
fn members_join_no_other_group_while_a_former_head_may_be_open() {
    let mut simulation = formed();
    let head = simulation.serving("small")[0].clone();
    let domain = simulation.engines[&head].server.engine.domain.clone();
    set_connectivity(&mut simulation, &head, Connectivity::Silent);
    simulation.planner.mark_suspect(&head, simulation.now);
    simulation.run(ms(1_500));
    // Two more are lost, so that the group is dissolved.
    let members: Vec<VmId> = simulation
        .engines
        .values()
        .filter(|it| it.server.engine.domain == domain && it.connectivity == Connectivity::Answers)
        .filter(|it| it.members.len() == 3)
        .map(|it| it.server.vm.clone())
        .collect();
    for it in &members[..2] {
        set_connectivity(&mut simulation, it, Connectivity::Silent);
    }
    let survivor = &members[2];
    let group = |simulation: &Simulation| {
        simulation.engines[survivor].server.engine.membership.as_ref().map(|it| it.group.clone())
    };
    let before = group(&simulation);
    simulation.run(STALL_TIMEOUT - ms(1_500));
    assert!(group(&simulation).is_none() || group(&simulation) == before);
}

/// Connections break and many responses are lost, but the group itself works.
#[test]
fn early_probes_alone_replace_no_group() {
    let mut simulation = formed();
    let plans = simulation.plans.clone();
    for _ in 0..40 {
        for head in simulation.serving("large") {
            simulation.planner.probe_group_soon(&head);
        }
        simulation.run(ms(50));
    }
    assert_eq!(simulation.plans, plans);
}

/// The planner's own network link is saturated, so most servers seem silent.
#[test]
fn isolated_planner_changes_nothing() {
    let mut simulation = formed();
    let plans = simulation.plans.clone();
    let cut: Vec<VmId> = simulation.engines.keys().cloned().collect();
    for it in &cut {
        set_connectivity(&mut simulation, it, Connectivity::Silent);
    }
    simulation.run(ms(4_000));
    assert_eq!(simulation.plans, plans);
    for it in &cut {
        set_connectivity(&mut simulation, it, Connectivity::Answers);
    }
    simulation.run(ms(2_000));
    assert_eq!(simulation.plans, plans);
}

/// Probes of a busy VM time out while the group's streams progress.
#[test]
fn group_with_progressing_streams_is_kept() {
    let mut simulation = formed();
    let plans = simulation.plans.clone();
    let head = simulation.serving("large")[0].clone();
    let slow = member(&simulation, &head, 2);
    set_connectivity(&mut simulation, &slow, Connectivity::Silent);
    simulation.planner.set_progressing_heads([head].into());
    simulation.run(ms(4_000));
    assert_eq!(simulation.plans, plans);
}

#[test]
fn restarted_member_does_not_count_as_joined() {
    let mut simulation = formed();
    let head = simulation.serving("small")[0].clone();
    let lost = member(&simulation, &head, 1);
    simulation.restart(&lost);
    simulation.run(ms(3_000));
    assert_eq!(simulation.serving("small").len(), 2);
    let group = simulation.engines[&head].server.engine.membership.clone().expect("a member");
    assert!(group.incarnation.0 > 2, "the group was re-formed");
}

/// Responses to orders are lost, so the planner does not know whether they were carried out.
#[test]
fn lost_answers_to_orders_delay_and_do_not_duplicate() {
    let mut simulation = Simulation::new(1, 11);
    simulation.loses_responses_of.extend(simulation.engines.keys().cloned());
    simulation.run(ms(12_000));
    assert_eq!((simulation.serving("large").len(), simulation.serving("small").len()), (1, 1));
}

/// A member announces that it will leave: the group finishes its requests before it is re-formed.
#[test]
fn leaving_member_is_replaced_after_the_group_was_closed() {
    let mut simulation = formed();
    let head = simulation.serving("large")[0].clone();
    let leaving = member(&simulation, &head, 4);
    simulation.engines.get_mut(&leaving).expect("an engine").server.is_leaving = true;
    simulation.run(ms(4_000));
    assert_eq!(simulation.serving("large").len(), 2);
    let serving = simulation.serving("large");
    assert!(serving.iter().all(|it| !simulation.engines[it].members.contains(&leaving)));
}

/// A server that left and starts again under its id is a member like any other.
#[test]
fn server_that_left_is_used_again_after_its_restart() {
    let mut simulation = formed();
    let head = simulation.serving("large")[0].clone();
    let leaving = member(&simulation, &head, 4);
    simulation.engines.get_mut(&leaving).expect("an engine").server.is_leaving = true;
    simulation.run(ms(4_000));
    simulation.engines.get_mut(&leaving).expect("an engine").server.is_leaving = false;
    simulation.restart(&leaving);
    assert!(simulation.engines[&leaving].server.engine.membership.is_none());
    simulation.run(ms(30_000));
    assert!(simulation.engines[&leaving].server.engine.membership.is_some());
}

/// A slow member slows its whole group and is replaced by a spare.
#[test]
fn slow_member_is_replaced_where_there_is_a_spare() {
    let mut simulation = formed();
    let head = simulation.serving("large")[0].clone();
    let slow = member(&simulation, &head, 5);
    simulation.engines.get_mut(&slow).expect("an engine").slowdown = 5.0;
    simulation.run(ms(9_000));
    let serving = simulation.serving("large");
    assert_eq!(serving.len(), 2);
    assert!(serving.iter().all(|it| !simulation.engines[it].members.contains(&slow)));
}

/// After the first request, weight loads over all domains stay within the platform's rate.
#[test]
fn weight_loads_keep_the_rate() {
    let mut simulation = Simulation::new(6, 11);
    simulation.planner.set_weight_loads_unlimited(false);
    simulation.run(ms(10_000));
    let (per_s, window) = (engine_spec().loads_per_s, Duration::from_secs(5));
    let bound = per_s * window.as_secs_f64() * 1.1 + 3.0;
    for (at, first) in simulation.weight_loads.iter().enumerate() {
        let within = simulation.weight_loads[at..]
            .iter()
            .take_while(|it| it.since(*first) <= window)
            .count();
        assert!(within as f64 <= bound, "{within} loads within 5 s");
    }
    assert!(simulation.weight_loads.len() > 30);
}

/// All entry VMs lose power; the next planner keeps the existing groups.
#[test]
fn next_planner_keeps_the_groups() {
    let mut simulation = formed();
    let plans = simulation.plans.clone();
    simulation.new_planner();
    simulation.run(ms(5_000));
    assert_eq!(simulation.plans, plans);
    assert_eq!((simulation.serving("large").len(), simulation.serving("small").len()), (2, 2));
}

/// No orders are sent while the store refuses writes.
#[test]
fn nothing_is_ordered_without_a_written_plan() {
    let mut simulation = formed();
    let head = simulation.serving("large")[0].clone();
    let lost = member(&simulation, &head, 1);
    let orders: u64 = simulation.engines.values().map(|it| it.orders_accepted).sum();
    simulation.set_store_down(true);
    set_connectivity(&mut simulation, &lost, Connectivity::NoProcess);
    simulation.run(ms(3_000));
    assert_eq!(simulation.engines.values().map(|it| it.orders_accepted).sum::<u64>(), orders);
    simulation.set_store_down(false);
    simulation.run(ms(3_000));
    assert_eq!(simulation.serving("large").len(), 2);
}

/// A whole fabric domain becomes unreachable and returns with restarted servers.
#[test]
fn unreachable_domain_is_formed_again_when_it_returns() {
    let mut simulation = Simulation::new(4, 11);
    simulation.run(ms(8_000));
    let unreachable: Vec<VmId> = (0..11).map(|it| vm(&format!("e-0-{it}"))).collect();
    for it in &unreachable {
        set_connectivity(&mut simulation, it, Connectivity::Silent);
    }
    simulation.run(ms(4_000));
    for it in &unreachable {
        simulation.engines.get_mut(it).expect("an engine").is_listed = false;
    }
    simulation.run(ms(4_000));
    for it in &unreachable {
        simulation.restart(it);
        simulation.engines.get_mut(it).expect("an engine").is_listed = true;
    }
    simulation.run(ms(12_000));
    assert_eq!((simulation.serving("large").len(), simulation.serving("small").len()), (4, 4));
}

/// Heads that are in no plan are ordered to leave their groups.
#[test]
fn orphaned_head_is_ordered_to_leave() {
    let mut simulation = formed();
    let head = simulation.serving("small")[0].clone();
    let domain = simulation.engines[&head].server.engine.domain.clone().expect("a domain");
    let (plan, revision) = simulation.plans.get_mut(&domain).expect("a plan");
    plan.groups.retain(|it| it.head().is_some_and(|it| it.vm != head));
    revision.revision.0 += 100;
    simulation.new_planner();
    simulation.run(ms(500));
    let phase = simulation.engines[&head].server.engine.membership.as_ref().map(|it| it.phase);
    assert_ne!(phase, Some(MemberPhase::Open));
}

/// A server loses only its connection to the store: its entry expires while it keeps working.
#[test]
fn members_without_store_access_stay_where_there_are_no_spares() {
    let mut simulation = Simulation::new(1, 9);
    simulation.run(ms(8_000));
    let head = simulation.serving("large")[0].clone();
    simulation.engines.get_mut(&head).expect("an engine").is_listed = false;
    simulation.run(ms(3_000));
    let serving = simulation.serving("large");
    assert_eq!(serving.len(), 1);
    assert_ne!(serving[0], head, "requests go to listed heads only");
    assert!(simulation.engines[&serving[0]].members.contains(&head));
}

/// Streams that were sent before the group was re-formed are still stalled.
#[test]
fn forming_group_is_not_replaced_because_of_old_streams() {
    let mut simulation = formed();
    let head = simulation.serving("large")[0].clone();
    let lost = member(&simulation, &head, 3);
    set_connectivity(&mut simulation, &lost, Connectivity::Silent);
    for _ in 0..40 {
        simulation.planner.mark_suspect(&head, simulation.now);
        simulation.run(ms(50));
    }
    simulation.run(ms(1_000));
    let group = simulation.engines[&head].server.engine.membership.clone().expect("a member");
    assert_eq!(simulation.serving("large").len(), 2);
    assert_eq!(group.incarnation.0, 3, "it was re-formed once");
}

/// The store refuses the planner's writes. The rate of retries is bounded, regardless of how often
/// the planner decides.
#[test]
fn refused_writes_are_not_repeated_at_once() {
    let mut simulation = formed();
    let head = simulation.serving("large")[0].clone();
    let lost = member(&simulation, &head, 1);
    set_connectivity(&mut simulation, &lost, Connectivity::NoProcess);
    simulation.set_store_down(true);
    simulation.writes = 0;
    simulation.run(ms(3_000));
    assert!((2..=10).contains(&simulation.writes), "{} writes in three seconds", simulation.writes);
}

/// With thousands of servers, the planner probes each one less often instead of raising the rate.
#[test]
fn probe_rate_is_bounded() {
    let mut simulation = Simulation::new(60, 22);
    simulation.run(ms(8_000));
    simulation.probes = 0;
    simulation.run(ms(12_000));
    assert!(simulation.probes <= 12 * 450, "{} probes in 12 s", simulation.probes);
    assert!(simulation.probes >= simulation.engines.len(), "each server is probed");
}

/// Responses that fail to reach only the planner's VM do not show that a group is lost: its members
/// are listed and serve.
#[test]
fn group_unreachable_only_for_the_planner_keeps_its_members() {
    let mut simulation = Simulation::new(4, 11);
    simulation.run(ms(8_000));
    simulation.planner.set_weight_loads_unlimited(false);
    simulation.fetches_at_full_duration = true;
    let head = simulation.serving("large").remove(0);
    let members = simulation.engines[&head].members.clone();
    members.iter().for_each(|it| set_connectivity(&mut simulation, it, Connectivity::Silent));
    simulation.run(ms(9_000));
    let is_planned = |vm: &VmId| simulation.plans.values().any(|(plan, _)| plan.contains(vm));
    assert!(members.iter().all(is_planned), "members are free while their head is open");
}
