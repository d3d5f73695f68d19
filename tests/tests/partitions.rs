//! Partitioned entry VMs, competing owners, concurrent commands, and an owner killed during a
//! repair.

use std::collections::BTreeMap;
use std::thread;
use std::time::Duration;

use mangocross_coordination::validate_assignment;
use mangocross_tests::Cluster;
use mangocross_tests::ClusterBuilder;
use mangocross_tests::LinkMode;
use mangocross_tests::PeerProcess;
use mangocross_tests::groups::START;
use mangocross_tests::groups::assignment;
use mangocross_tests::groups::draft;
use mangocross_tests::groups::frozen;
use mangocross_tests::groups::generations;
use mangocross_tests::groups::owner_of;
use mangocross_tests::groups::slow_engine;
use mangocross_tests::groups::sole_group;
use mangocross_tests::groups::start_stream;
use mangocross_types::EngineState;
use mangocross_types::FencingNumber;
use mangocross_types::GroupPhase;
use mangocross_types::RunOutcome;
use mangocross_types::VmId;
use mangocross_types::VmState;
use standins::EngineFaults;

const START_SECOND: &str = "start group letters-2 model letters version v1 members 2";
/// Duration of a health lease in these tests.
const HEALTH_LEASE: Duration = Duration::from_millis(2_500);

fn builder(nodes: u16, domains: &[u16]) -> ClusterBuilder {
    let health_lease_ms = u64::try_from(HEALTH_LEASE.as_millis()).expect("a short time");
    ClusterBuilder::new(nodes, domains)
        .peer_relays()
        .coordinator_setting("proof_ms", health_lease_ms)
        .coordinator_setting("lost_ms", 1_500)
        .coordinator_setting("order_deadline_ms", 1_000)
}

fn refuses(cluster: &Cluster, node: u16) -> bool {
    cluster.send_request(node, &draft()).outcome() == Some(RunOutcome::NotRun)
}

/// Sets the mode of the links between all pairs of three coordinators.
fn link_all(cluster: &Cluster, mode: LinkMode) {
    for (one, other) in [(0, 1), (1, 2), (0, 2)] {
        cluster.link_coordinators(one, other, mode);
    }
}

/// Checks that no VM is in two groups, within a domain or across the domains.
fn assert_disjoint(cluster: &Cluster, domains: &[&str]) {
    let assignments = domains.iter().map(|it| assignment(cluster, it));
    let mut members: Vec<VmId> = Vec::new();
    for it in assignments {
        assert!(validate_assignment(&it).is_ok(), "{it:?}");
        members.extend(it.groups.into_iter().flat_map(|it| it.members));
    }
    let all = members.len();
    members.sort_unstable();
    members.dedup();
    assert_eq!(members.len(), all, "a VM is in two groups: {members:?}");
}

#[test]
fn gateway_cut_from_the_owner_stops_sending_when_its_health_lease_expires_and_resumes() {
    let cluster = builder(3, &[2]).start();
    cluster.start_group(START, 0, &draft());
    let owner = owner_of(&cluster, "domain-1");
    let (cut, other) = ((owner + 1) % 3, (owner + 2) % 3);
    cluster.wait_until("all gateways serve", || {
        (0..3).all(|it| cluster.send_request(it, &draft()).is_complete())
    });
    for mode in [LinkMode::Cut, LinkMode::CutReplies, LinkMode::DelayReplies(HEALTH_LEASE)] {
        cluster.link(PeerProcess::Gateway(cut), owner, mode);
        for round in 0..2 {
            // After this time, all health leases from polls before the change have expired. Delayed
            // replies arrive in the second round and bring none that is still valid.
            thread::sleep(HEALTH_LEASE);
            let ran = generations(&cluster);
            assert!((0..3).all(|_| refuses(&cluster, cut)), "{mode:?}, round {round}");
            assert_eq!(generations(&cluster), ran, "{mode:?}, round {round}");
        }
        assert!(cluster.send_request(other, &draft()).is_complete(), "{mode:?}");
        cluster.link(PeerProcess::Gateway(cut), owner, LinkMode::Pass);
        cluster.wait_until("the gateway sends again", || {
            cluster.send_request(cut, &draft()).is_complete()
        });
    }
}

#[test]
fn coordinators_cut_from_each_other_agree_on_one_assignment() {
    let cluster = builder(3, &[3]).start();
    cluster.start_group(START, 0, &draft());
    let before = assignment(&cluster, "domain-1");
    link_all(&cluster, LinkMode::Cut);
    let mut owners: BTreeMap<FencingNumber, u64> = BTreeMap::new();
    let mut observe = || {
        let seen = assignment(&cluster, "domain-1");
        let newest = owners.keys().next_back().copied().unwrap_or_default();
        assert!(seen.fencing_number >= newest, "{seen:?} after {newest}");
        let owner = *owners.entry(seen.fencing_number).or_insert(seen.owner_process);
        assert_eq!(owner, seen.owner_process, "two owners with one fencing number: {seen:?}");
        assert!(validate_assignment(&seen).is_ok(), "{seen:?}");
        seen
    };
    let number = before.fencing_number.0 + 3;
    cluster.wait_until("ownership changes three times", || observe().fencing_number.0 >= number);
    let replaced = before.groups[0].members[1].clone();
    cluster.engine(replaced.as_str()).faults().set(frozen());
    cluster.wait_until("the group is re-formed", || {
        let group = observe().groups.remove(0);
        !group.members.contains(&replaced)
            && (0..3).all(|it| cluster.send_request(it, &draft()).is_complete())
    });
    cluster.engine(replaced.as_str()).faults().set(EngineFaults::default());
    link_all(&cluster, LinkMode::Pass);
    cluster.wait_until("the owner is stable and the engines match its assignment", || {
        let before = assignment(&cluster, "domain-1");
        thread::sleep(HEALTH_LEASE);
        let group = sole_group(&cluster, "domain-1");
        let as_assigned = cluster
            .engines
            .iter()
            .all(|(vm, engine)| engine.report().group.is_some() == group.members.contains(vm));
        as_assigned && assignment(&cluster, "domain-1") == before
    });
    assert!((0..3).all(|it| cluster.send_request(it, &draft()).is_complete()));
}

#[test]
fn stale_repeated_and_reordered_frames_restore_no_group() {
    // Long leases: a withdrawn health lease that was restored would remain valid for long.
    let builder = builder(2, &[2]).coordinator_setting("proof_ms", 12_000);
    let builder = builder.coordinator_setting("vouch_ms", 15_000);
    let cluster = builder.gateway_setting("vouch_ms", 15_000).start();
    cluster.start_group(START, 0, &draft());
    let owner = owner_of(&cluster, "domain-1");
    let gateway = 1 - owner;
    let number = assignment(&cluster, "domain-1").fencing_number;
    let member = sole_group(&cluster, "domain-1").members[1].to_string();
    let delay = Duration::from_secs(1);
    for mode in [LinkMode::Pass, LinkMode::Repeat(delay), LinkMode::Reorder(delay)] {
        cluster.link(PeerProcess::Gateway(gateway), owner, mode);
        cluster.wait_until("the gateway serves", || {
            cluster.send_request(gateway, &draft()).is_complete()
        });
        cluster.engine(&member).faults().set(frozen());
        cluster.wait_until("the owner's gateway refuses", || refuses(&cluster, owner));
        // Datagrams with earlier health leases may still be in flight.
        thread::sleep(2 * delay);
        cluster.wait_until("the gateway refuses", || refuses(&cluster, gateway));
        let ran = generations(&cluster);
        for newest in 1..=20 {
            assert!(cluster.replay_replies(PeerProcess::Gateway(gateway), owner, newest) > 0);
            assert!(cluster.replay_replies(PeerProcess::Coordinator(gateway), owner, newest) > 0);
            assert!(refuses(&cluster, gateway), "{mode:?}");
            thread::sleep(Duration::from_millis(100));
        }
        assert_eq!(generations(&cluster), ran, "{mode:?}");
        cluster.engine(&member).faults().set(EngineFaults::default());
    }
    // Stale replies caused no takeover either: the fencing number is unchanged.
    assert_eq!(assignment(&cluster, "domain-1").fencing_number, number);
}

#[test]
fn start_that_races_a_move_puts_no_vm_into_two_groups() {
    let cluster = builder(3, &[2, 4]).start();
    cluster.start_group(&format!("{START} in domain-1"), 0, &draft());
    let accepted = |node: u16, line: &str| {
        // One of two concurrent commands may be refused; its operator repeats it.
        cluster.wait_until("the command is accepted", || cluster.operate(node, line).is_ok());
    };
    thread::scope(|scope| {
        scope.spawn(|| accepted(1, START_SECOND));
        accepted(0, "move group letters-1 to domain-2");
    });
    cluster.wait_until("both groups serve and one has moved", || {
        assert_disjoint(&cluster, &["domain-1", "domain-2"]);
        assert!(
            cluster.send_request(2, &draft()).is_complete(),
            "a request failed during the move"
        );
        let serving = |domain: &str, group: &str| {
            let groups = assignment(&cluster, domain).groups;
            let mut same = groups.iter().filter(|it| it.group.as_str() == group);
            same.any(|it| it.phase == GroupPhase::Serving)
        };
        let is_started = serving("domain-1", "letters-2") || serving("domain-2", "letters-2");
        let has_left = !serving("domain-1", "letters-1");
        is_started && has_left && serving("domain-2", "letters-1")
    });
}

#[test]
fn owner_killed_between_drain_and_unload_of_a_repair_interrupts_no_stream() {
    let mut cluster = builder(3, &[3]).engine_options(slow_engine).start();
    cluster.start_group(START, 0, &draft());
    let before = sole_group(&cluster, "domain-1");
    let leaving = before.members[1].clone();
    let owner = owner_of(&cluster, "domain-1");
    let other = (owner + 1) % 3;
    // Long enough for the next owner to take over and decide while the stream runs.
    let stream = start_stream(&cluster, other, 500);
    let ran = generations(&cluster);
    let mut list = cluster.listed_vms();
    list.iter_mut().filter(|it| it.vm == leaving).for_each(|it| it.state = VmState::Leaving);
    cluster.platform.set_vms(list);
    cluster.wait_until("the group drains", || {
        sole_group(&cluster, "domain-1").phase == GroupPhase::Draining
    });
    cluster.coordinators[usize::from(owner)].kill();
    let answer = stream.join().expect("the stream was read");
    assert!(answer.is_complete(), "{}", answer.body);
    assert_eq!(answer.token_indexes().len(), 500);
    assert_eq!(generations(&cluster), ran, "the answer was cut off and resumed");
    cluster.wait_until("another owner re-forms the group", || {
        let group = sole_group(&cluster, "domain-1");
        group.incarnation > before.incarnation
            && cluster.send_request(other, &draft()).is_complete()
    });
    assert!(!sole_group(&cluster, "domain-1").members.contains(&leaving));
    let engine = cluster.engine(leaving.as_str());
    cluster.wait_until("the leaving VM is idle", || engine.report().state == EngineState::Idle);
}
