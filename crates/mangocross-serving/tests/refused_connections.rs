//! The planner and servers whose connections are refused: by their machine, because no process runs,
//! or by something in between.

#[allow(dead_code)]
mod engines;
#[allow(dead_code)]
mod figures;

use std::time::Duration;

use fastrand::Rng;
use mangocross_types::VmId;

use crate::engines::Connectivity;
use crate::engines::STALL_TIMEOUT;
use crate::engines::Simulation;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a domain with a large group, two small ones and no spares.
fn formed() -> Simulation {
    let mut simulation = Simulation::new(1, 14);
    simulation.run(ms(8_000));
    let spares: Vec<VmId> = simulation.spares().iter().map(|it| it.server.vm.clone()).collect();
    set(&mut simulation, &spares, Connectivity::NoProcess);
    for it in &spares {
        simulation.engines.get_mut(it).expect("an engine").is_listed = false;
    }
    simulation.run(ms(1_000));
    assert_eq!((simulation.serving("large").len(), simulation.serving("small").len()), (1, 2));
    simulation
}

fn set(simulation: &mut Simulation, vms: &[VmId], connectivity: Connectivity) {
    for vm in vms {
        simulation.engines.get_mut(vm).expect("an engine").connectivity = connectivity;
    }
}

/// Guards against a live head that is taken for ended because connections to it are refused: its
/// members would join another group while it is open.
#[test]
fn members_of_a_live_head_behind_refusals_join_no_other_group() {
    let mut simulation = formed();
    let heads = simulation.serving("small");
    set(&mut simulation, &heads, Connectivity::Refuses);
    simulation.run(ms(12_000));
    assert!(simulation.early_joins.is_empty(), "{:?}", simulation.early_joins);
    assert_eq!(simulation.serving("small").len(), 1, "the members serve again");
}

/// Guards against a silent head that is taken for broken because connections to its members are
/// refused: they may still be connected to it.
#[test]
fn members_behind_refusals_do_not_break_a_silent_head() {
    let mut simulation = formed();
    let heads = simulation.serving("small");
    let members: Vec<VmId> =
        heads.iter().flat_map(|it| simulation.engines[it].members[1..].to_vec()).collect();
    set(&mut simulation, &heads, Connectivity::Silent);
    set(&mut simulation, &members, Connectivity::Refuses);
    simulation.run(STALL_TIMEOUT + ms(2_000));
    set(&mut simulation, &members, Connectivity::Answers);
    simulation.run(ms(3_000));
    assert!(simulation.early_joins.is_empty(), "{:?}", simulation.early_joins);
}

/// Guards against a live head that is taken for ended because connections to it are refused and its
/// entry has expired: its members would join another group while it is open.
#[test]
fn members_of_an_unlisted_head_behind_refusals_join_no_other_group() {
    let mut simulation = formed();
    let heads = simulation.serving("small");
    simulation.cut_from_store(&heads);
    simulation.run(ms(1_500));
    simulation.connect(&heads, Connectivity::Refuses);
    simulation.run(ms(5_500));
    simulation.connect(&heads, Connectivity::Answers);
    simulation.run(ms(3_000));
    simulation.reconnect_to_store(&heads);
    simulation.run(ms(12_000));
    assert!(simulation.early_joins.is_empty(), "{:?}", simulation.early_joins);
    assert_eq!(simulation.serving("small").len(), 1, "the members serve again");
}

/// Guards against the same where all servers of a rack refuse connections, and answer again before
/// their entries are back.
#[test]
fn members_of_an_unlisted_rack_behind_refusals_join_no_other_group() {
    let mut simulation = formed();
    let rack: Vec<VmId> = simulation.engines.keys().cloned().collect();
    simulation.cut_from_store(&rack);
    simulation.run(ms(1_500));
    simulation.connect(&rack, Connectivity::Refuses);
    simulation.run(ms(5_500));
    simulation.connect(&rack, Connectivity::Answers);
    simulation.run(ms(3_000));
    simulation.reconnect_to_store(&rack);
    simulation.run(ms(12_000));
    assert!(simulation.early_joins.is_empty(), "{:?}", simulation.early_joins);
    let serving = (simulation.serving("large").len(), simulation.serving("small").len());
    assert_eq!(serving, (1, 2));
}

/// Guards against members that are held for ever because nothing is heard of their head again, which
/// has crashed: the orders to leave that they accept would have broken it.
#[test]
fn members_of_a_crashed_head_serve_again_after_the_stall() {
    let mut simulation = formed();
    let heads = simulation.serving("small");
    simulation.crash(&heads);
    heads.iter().for_each(|it| simulation.planner.probe_group_soon(it));
    simulation.run(STALL_TIMEOUT + ms(1_500));
    assert_eq!(simulation.serving("small").len(), 1);
    assert!(simulation.early_joins.is_empty(), "{:?}", simulation.early_joins);
}

/// Guards against members that wait for the break of a group whose head is already running again.
#[test]
fn members_of_a_restarted_head_serve_again_at_once() {
    let mut simulation = formed();
    let heads = simulation.serving("small");
    set(&mut simulation, &heads, Connectivity::NoProcess);
    simulation.run(ms(1_000));
    heads.iter().for_each(|it| simulation.restart(it));
    simulation.run(ms(1_500));
    assert_eq!(simulation.serving("small").len(), 1);
}

/// Connections to random servers are refused for some seconds, one server after the other, as in a
/// network that resets them; others crash meanwhile.
#[test]
fn no_member_joins_another_group_early_while_connections_are_refused() {
    for seed in 0..20 {
        let mut random = Rng::with_seed(seed);
        let mut simulation = Simulation::new(2, 12);
        simulation.run(ms(8_000));
        let all: Vec<VmId> = simulation.engines.keys().cloned().collect();
        let mut refused: Vec<(VmId, usize)> = Vec::new();
        for step in 0..60 {
            let vm = all[random.usize(0..all.len())].clone();
            if simulation.engines[&vm].connectivity == Connectivity::Answers {
                match random.u8(0..4) {
                    0 => simulation.restart(&vm),
                    _ => set(&mut simulation, std::slice::from_ref(&vm), Connectivity::Refuses),
                }
                refused.push((vm, step + random.usize(4..16)));
            }
            for (vm, _) in refused.extract_if(.., |(_, until)| *until <= step) {
                set(&mut simulation, &[vm], Connectivity::Answers);
            }
            simulation.run(ms(500));
        }
        assert!(simulation.early_joins.is_empty(), "seed {seed}: {:?}", simulation.early_joins);
    }
}
