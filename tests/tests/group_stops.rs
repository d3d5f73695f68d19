//! Planned stops, moves and leaving VMs interrupt no request.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use mangocross_tests::Caller;
use mangocross_tests::ClusterBuilder;
use mangocross_tests::RelayMode;
use mangocross_tests::groups::START;
use mangocross_tests::groups::assignment;
use mangocross_tests::groups::draft;
use mangocross_tests::groups::generations;
use mangocross_tests::groups::owner_of;
use mangocross_tests::groups::slow_engine;
use mangocross_tests::groups::sole_group;
use mangocross_tests::groups::start_stream;
use mangocross_types::EngineState;
use mangocross_types::GroupPhase;
use mangocross_types::RunOutcome;
use mangocross_types::VmState;
use standins::EngineFaults;

fn builder(nodes: u16, domains: &[u16]) -> ClusterBuilder {
    ClusterBuilder::new(nodes, domains)
        .coordinator_setting("lost_ms", 1_500)
        .coordinator_setting("order_deadline_ms", 1_000)
}

#[test]
fn group_stop_interrupts_no_stream_with_lagging_load_and_a_killed_owner() {
    let mut cluster = builder(3, &[2]).engine_options(slow_engine).start();
    cluster.start_group(START, 0, &draft());
    for engine in cluster.engines.values() {
        engine.faults().set(EngineFaults { load_lag_ms: 1_500, ..EngineFaults::default() });
    }
    let owner = owner_of(&cluster, "domain-1");
    let other = (owner + 1) % 3;
    // The stream lasts longer than a command waits to be in force.
    let stream = start_stream(&cluster, other, 600);
    let _ = cluster.operate(other, "stop group letters-1");
    cluster.wait_until("the group drains", || {
        sole_group(&cluster, "domain-1").phase == GroupPhase::Draining
    });
    cluster.coordinators[usize::from(owner)].kill();
    let answer = stream.join().expect("the stream was read");
    assert!(answer.is_complete(), "{}", answer.body);
    assert_eq!(answer.token_indexes().len(), 600);
    cluster.wait_until("the engines are idle", || {
        cluster.engines.values().all(|it| it.report().state == EngineState::Idle)
    });
}

#[test]
fn move_serves_in_the_target_domain_first_and_interrupts_no_stream() {
    let cluster = builder(2, &[2, 2]).engine_options(slow_engine).start();
    cluster.start_group(&format!("{START} in domain-1"), 0, &draft());
    let stream = start_stream(&cluster, 0, 150);
    cluster.operate(1, "move group letters-1 to domain-2").expect("the move is accepted");
    cluster.wait_until("the group has left domain-1", || {
        let answer = cluster.send_request(0, &draft());
        assert!(answer.is_complete(), "a request failed during the move: {}", answer.body);
        assignment(&cluster, "domain-1").groups.is_empty()
    });
    assert!(stream.join().expect("the stream was read").is_complete());
    assert_eq!(sole_group(&cluster, "domain-2").phase, GroupPhase::Serving);
    assert!(cluster.send_request(1, &draft()).is_complete());
}

#[test]
fn leaving_member_is_drained_and_a_flapping_list_does_not_restore_it() {
    let cluster = builder(2, &[3]).engine_options(slow_engine).start();
    cluster.start_group(START, 0, &draft());
    let before = sole_group(&cluster, "domain-1");
    let leaving = before.members[1].clone();
    let stream = start_stream(&cluster, 0, 400);
    let ran = generations(&cluster);
    let mut list = cluster.listed_vms();
    list.iter_mut().filter(|it| it.vm == leaving).for_each(|it| it.state = VmState::Leaving);
    cluster.platform.set_vms(list);
    cluster.wait_until("the group drains", || {
        sole_group(&cluster, "domain-1").phase == GroupPhase::Draining
    });
    cluster.platform.set_vms(cluster.listed_vms());
    assert!(stream.join().expect("the stream was read").is_complete());
    assert_eq!(generations(&cluster), ran, "the answer was interrupted and resumed");
    cluster.wait_until("the group is re-formed", || {
        sole_group(&cluster, "domain-1").incarnation > before.incarnation
            && cluster.send_request(0, &draft()).is_complete()
    });
    assert!(!sole_group(&cluster, "domain-1").members.contains(&leaving));
    thread::sleep(Duration::from_secs(2));
    assert!(!sole_group(&cluster, "domain-1").members.contains(&leaving));
}

#[test]
fn rolling_restart_of_coordinators_keeps_the_group_serving() {
    let mut cluster = builder(3, &[2]).start();
    cluster.start_group(START, 0, &draft());
    let incarnation = sole_group(&cluster, "domain-1").incarnation;
    for node in 0..3 {
        cluster.coordinators[node].terminate();
        cluster.coordinators[node].wait();
        cluster.coordinators[node].restart();
        cluster.wait_until("the group serves", || cluster.send_request(0, &draft()).is_complete());
        thread::sleep(Duration::from_millis(1_500));
    }
    cluster.wait_until("the group serves", || cluster.send_request(0, &draft()).is_complete());
    assert_eq!(sole_group(&cluster, "domain-1").incarnation, incarnation);
}

#[test]
fn leaving_vm_gets_no_new_work_through_a_node_that_is_cut_from_the_store() {
    let cluster = builder(3, &[2]).start();
    cluster.start_group(START, 0, &draft());
    let first = sole_group(&cluster, "domain-1").members[0].clone();
    let cut = (owner_of(&cluster, "domain-1") + 1) % 3;
    cluster.store_relays[usize::from(cut)].set(RelayMode::Cut);
    assert!(cluster.send_request(cut, &draft()).is_complete());
    let faults = EngineFaults { leaving: true, ..EngineFaults::default() };
    cluster.engine(first.as_str()).faults().set(faults);
    cluster.wait_until("every node refuses", || {
        (0..3).all(|it| cluster.send_request(it, &draft()).outcome() == Some(RunOutcome::NotRun))
    });
    let ran = cluster.engine(first.as_str()).faults().count("generations");
    // The VM's own report that it is leaving stays in force when it is no longer repeated.
    cluster.engine(first.as_str()).faults().set(EngineFaults::default());
    for round in 0..8 {
        thread::sleep(Duration::from_millis(250));
        assert_eq!(cluster.send_request(round % 3, &draft()).outcome(), Some(RunOutcome::NotRun));
    }
    assert_eq!(cluster.engine(first.as_str()).faults().count("generations"), ran);
}

#[test]
fn planned_stop_of_an_owner_leaves_its_groups_in_service() {
    let mut cluster = ClusterBuilder::new(2, &[2]).start();
    cluster.start_group(START, 0, &draft());
    cluster.wait_until("both gateways serve", || {
        (0..2).all(|node| cluster.send_request(node, &draft()).is_complete())
    });
    let owner = owner_of(&cluster, "domain-1");
    let gateways = [cluster.gateway(0), cluster.gateway(1)];
    let ended = AtomicBool::new(false);
    let refused = thread::scope(|scope| {
        let sending = scope.spawn(|| {
            let caller = Caller::open(Duration::from_secs(30));
            let send = |it| caller.send(it, &draft()).expect("the gateway answers");
            let mut refused = Vec::new();
            while !ended.load(Ordering::Relaxed) {
                refused.extend(gateways.map(send).into_iter().filter(|it| !it.is_complete()));
            }
            refused
        });
        cluster.coordinators[usize::from(owner)].terminate();
        assert!(cluster.coordinators[usize::from(owner)].wait(), "the planned stop failed");
        cluster.wait_until("the other coordinator owns the domain", || {
            owner_of(&cluster, "domain-1") == 1 - owner
        });
        cluster.wait_until("both gateways serve without it", || {
            (0..2).all(|node| cluster.send_request(node, &draft()).is_complete())
        });
        ended.store(true, Ordering::Relaxed);
        sending.join().expect("the caller ends")
    });
    assert!(refused.is_empty(), "{} requests were refused: {:?}", refused.len(), refused.first());
}
