//! Groups serve only while they are complete, and are repaired.

use std::thread;
use std::time::Duration;

use mangocross_tests::CallerRequest;
use mangocross_tests::ClusterBuilder;
use mangocross_tests::groups::START;
use mangocross_tests::groups::assignment;
use mangocross_tests::groups::draft;
use mangocross_tests::groups::frozen;
use mangocross_tests::groups::generations;
use mangocross_tests::groups::owner_of;
use mangocross_tests::groups::sole_group;
use mangocross_tests::groups::start_stream;
use mangocross_types::Configuration;
use mangocross_types::DomainAssignment;
use mangocross_types::EngineState;
use mangocross_types::FenceMode;
use mangocross_types::FencingNumber;
use mangocross_types::GroupPhase;
use mangocross_types::Placements;
use mangocross_types::RunOutcome;
use mangocross_types::VmId;
use mangocross_types::VmRole;
use peer_store::HttpStore;
use peer_store::read_json;
use peer_store::swap_json;
use standins::EngineFaults;
use standins::EngineOptions;
use standins::PlatformFaults;
use standins::StoreFaults;

fn builder(nodes: u16, domains: &[u16]) -> ClusterBuilder {
    ClusterBuilder::new(nodes, domains)
        .coordinator_setting("lost_ms", 1_500)
        .coordinator_setting("order_deadline_ms", 1_000)
}

#[test]
fn group_without_spare_accepts_nothing_while_a_member_is_frozen() {
    let cluster = builder(2, &[2]).start();
    cluster.start_group(START, 0, &draft());
    let first = sole_group(&cluster, "domain-1").members[0].to_string();
    let other = sole_group(&cluster, "domain-1").members[1].to_string();
    cluster.engine(&other).faults().set(frozen());
    cluster.wait_until("both nodes refuse", || {
        (0..2).all(|it| cluster.send_request(it, &draft()).outcome() == Some(RunOutcome::NotRun))
    });
    let ran = cluster.engine(&first).faults().count("generations");
    for node in [0, 1, 0, 1] {
        assert_eq!(cluster.send_request(node, &draft()).outcome(), Some(RunOutcome::NotRun));
    }
    assert_eq!(cluster.engine(&first).faults().count("generations"), ran);
    cluster.engine(&other).faults().set(EngineFaults::default());
    cluster
        .wait_until("the group serves again", || cluster.send_request(0, &draft()).is_complete());
}

#[test]
fn replaced_member_leaves_the_group_when_it_returns() {
    let cluster = builder(2, &[3]).start();
    cluster.start_group(START, 0, &draft());
    let before = sole_group(&cluster, "domain-1");
    let replaced = before.members[1].to_string();
    cluster.engine(&replaced).faults().set(frozen());
    cluster.wait_until("the group is re-formed", || {
        sole_group(&cluster, "domain-1").incarnation > before.incarnation
            && cluster.send_request(0, &draft()).is_complete()
    });
    assert!(!sole_group(&cluster, "domain-1").members.iter().any(|it| it.as_str() == replaced));
    assert!(cluster.engine(&replaced).report().group.is_some());
    cluster.engine(&replaced).faults().set(EngineFaults::default());
    cluster.wait_until("the replaced member is idle", || {
        cluster.engine(&replaced).report().state == EngineState::Idle
    });
    assert!(cluster.send_request(0, &draft()).is_complete());
}

#[test]
fn member_that_restarts_empty_is_loaded_again_in_the_same_incarnation() {
    let cluster = builder(1, &[2]).start();
    cluster.start_group(START, 0, &draft());
    let before = sole_group(&cluster, "domain-1");
    let restarted = cluster.engine(before.members[1].as_str());
    restarted.restart_empty();
    cluster.wait_until("the member is loaded again", || restarted.report().group.is_some());
    cluster.wait_until("the group serves", || cluster.send_request(0, &draft()).is_complete());
    assert_eq!(sole_group(&cluster, "domain-1").incarnation, before.incarnation);
}

#[test]
fn resumed_owner_does_not_override_decisions_of_its_successor() {
    let cluster = builder(3, &[2]).start();
    cluster.start_group(START, 0, &draft());
    let owner = owner_of(&cluster, "domain-1");
    let number = assignment(&cluster, "domain-1").fencing_number;
    cluster.coordinators[usize::from(owner)].freeze();
    let other = (owner + 1) % 3;
    cluster.wait_until("another coordinator takes over", || {
        assignment(&cluster, "domain-1").fencing_number > number
    });
    cluster.wait_until("the group has a health lease again", || {
        cluster.send_request(other, &draft()).is_complete()
    });
    // The revision is not in force on every node while one is frozen; the command stays accepted.
    let _ = cluster.operate(other, "stop group letters-1");
    cluster.wait_until("the group is unloaded", || {
        assignment(&cluster, "domain-1").groups.is_empty()
            && cluster.engines.values().all(|it| it.report().group.is_none())
    });
    cluster.coordinators[usize::from(owner)].thaw();
    thread::sleep(Duration::from_secs(4));
    assert!(assignment(&cluster, "domain-1").groups.is_empty());
    assert!(cluster.engines.values().all(|it| it.report().group.is_none()));
}

#[test]
fn group_keeps_serving_when_its_owner_dies_in_a_store_outage() {
    let cluster_builder = builder(3, &[3]);
    let mut cluster = cluster_builder.start();
    cluster.start_group(START, 0, &draft());
    thread::sleep(Duration::from_millis(2_500));
    cluster.store.faults().set(StoreFaults { down: true, ..StoreFaults::default() });
    let owner = owner_during_outage(&cluster);
    cluster.coordinators[usize::from(owner)].kill();
    let other = (owner + 1) % 3;
    cluster.wait_until("another coordinator grants the health lease", || {
        cluster.send_request(other, &draft()).is_complete()
    });
    thread::sleep(Duration::from_secs(3));
    assert!(cluster.send_request(other, &draft()).is_complete());
    cluster.store.faults().set(StoreFaults::default());
    cluster.wait_until("another coordinator owns the domain", || {
        owner_of(&cluster, "domain-1") != owner
    });
}

/// Asks a coordinator, as the store's stand-in refuses the test's own calls too in an outage.
fn owner_during_outage(cluster: &mangocross_tests::Cluster) -> u16 {
    let answer = cluster.operate(0, "why group letters-1").expect("an answer without the store");
    let text = format!("{answer:?}");
    let name = text.split("owned by entry-").nth(1).expect("an owner");
    name.chars().take_while(char::is_ascii_digit).collect::<String>().parse::<u16>().unwrap() - 1
}

#[test]
fn group_of_an_unreachable_domain_is_formed_in_another_one() {
    let cluster = builder(2, &[2, 2]).start();
    cluster.start_group(START, 0, &draft());
    let unreachable = match assignment(&cluster, "domain-1").groups.is_empty() {
        true => "vm-2-",
        false => "vm-1-",
    };
    for (_, engine) in cluster.engines.iter().filter(|(vm, _)| vm.as_str().starts_with(unreachable))
    {
        engine.faults().set(frozen());
    }
    cluster.wait_until("the group serves in the other domain", || {
        cluster.send_request(0, &draft()).is_complete()
    });
}

#[test]
fn late_order_to_an_engine_that_ignores_fencing_leaves_no_orphaned_member() {
    let cluster = builder(2, &[3]).start();
    let late = cluster.engine("vm-1-1");
    let delayed =
        EngineFaults { order_delay_ms: 4_000, ignore_deadline: true, ..EngineFaults::default() };
    late.faults().set(delayed);
    cluster.operate(0, START).expect("the group is accepted");
    // A preload may be sent before, and loads no group.
    cluster.wait_until("the order is in flight", || late.faults().count("load_orders") > 0);
    cluster.operate(0, "stop group letters-1").expect("the stop is accepted");
    cluster.wait_until("the late order is carried out", || late.report().group.is_some());
    late.faults().set(EngineFaults::default());
    cluster.wait_until("the engine is unloaded", || late.report().state == EngineState::Idle);
    cluster.start_group("resume group letters-1", 0, &draft());
}

#[test]
fn member_that_restarts_in_a_store_outage_is_loaded_again() {
    let cluster = builder(2, &[2]).start();
    cluster.start_group(START, 0, &draft());
    let member = sole_group(&cluster, "domain-1").members[1].to_string();
    cluster.store.faults().set(StoreFaults { down: true, ..StoreFaults::default() });
    cluster.engine(&member).restart_empty();
    cluster.wait_until("the member is loaded", || cluster.engine(&member).report().group.is_some());
    cluster.wait_until("the group serves", || cluster.send_request(1, &draft()).is_complete());
}

#[test]
fn loads_respect_the_weight_stores_limit() {
    let cluster = builder(1, &[4]).weight_store().start();
    let faults = PlatformFaults { loads_max: 1, load_ms: 300, ..PlatformFaults::default() };
    cluster.platform.faults().set(faults);
    cluster.start_group(START, 0, &draft());
    cluster.start_group("start group letters-2 model letters version v1 members 2", 0, &draft());
    cluster.wait_until("all are loaded", || {
        cluster.engines.values().all(|it| it.report().state == EngineState::Ready)
    });
    assert_eq!(cluster.platform.faults().count("loads"), 4);
    assert_eq!(cluster.platform.faults().count("loads_that_waited"), 0);
}

#[test]
fn spare_fetches_weights_before_it_is_needed_and_serves_in_no_group() {
    let cluster = builder(1, &[3]).weight_store().start();
    cluster.start_group(START, 0, &draft());
    let members = sole_group(&cluster, "domain-1").members;
    let spare = cluster.engines.iter().find(|(vm, _)| !members.contains(vm));
    let (spare_vm, spare) = spare.expect("one VM is in no group");
    cluster.wait_until("the spare holds the weights", || {
        let report = spare.report();
        report.state == EngineState::Idle && !report.cached_versions.is_empty()
    });
    assert_eq!((spare.report().group, spare.report().model_version), (None, None));
    assert_eq!(sole_group(&cluster, "domain-1").members, members);
    cluster.engine(members[1].as_str()).faults().set(frozen());
    cluster.wait_until("the group is re-formed", || {
        sole_group(&cluster, "domain-1").members.contains(spare_vm)
            && cluster.send_request(0, &draft()).is_complete()
    });
    assert_eq!(cluster.platform.faults().count("loads"), 3);
}

#[test]
fn group_loads_cancel_a_preload_that_holds_a_weight_store_slot() {
    let cluster = builder(1, &[3, 2]).weight_store().start();
    let weights = |loads_max, load_ms| {
        let faults = PlatformFaults { loads_max, load_ms, ..PlatformFaults::default() };
        cluster.platform.faults().set(faults);
    };
    for vm in ["vm-2-1", "vm-2-2"] {
        cluster.operate(0, &format!("drain vm {vm}")).expect("the drain is accepted");
    }
    // A single slot at the weight store is never used for a preload.
    weights(1, 100);
    cluster.start_group(&format!("{START} in domain-1"), 0, &draft());
    weights(2, 600_000);
    let members = sole_group(&cluster, "domain-1").members;
    let spare = cluster
        .engines
        .iter()
        .find(|(vm, _)| vm.as_str().starts_with("vm-1") && !members.contains(vm));
    let (_, spare) = spare.expect("one VM is in no group");
    // An engine reports a preload before it has asked the weight store for a slot.
    cluster.wait_until("the spare's preload has a slot", || {
        spare.report().state == EngineState::Preloading
            && cluster.platform.faults().count("loads") == 3
    });
    weights(2, 100);
    for vm in ["vm-2-1", "vm-2-2"] {
        cluster.operate(0, &format!("resume vm {vm}")).expect("the resume is accepted");
    }
    let second = "start group drills-1 model drills version v2 members 2 in domain-2";
    let scenario = CallerRequest::chat("town", "scenario", "drills", 4, true);
    cluster.start_group(second, 0, &scenario);
    assert_eq!(spare.faults().count("cancelled_preloads"), 1);
    assert_eq!(spare.report().state, EngineState::Idle);
    assert!(spare.report().cached_versions.is_empty());
    assert_eq!(cluster.platform.faults().count("loads_given_up"), 1);
    assert_eq!(cluster.platform.faults().count("loads_that_waited"), 0);
}

/// The large group fits in no other domain, and the small group holds its domain's only spare VM.
#[test]
fn small_group_is_moved_for_the_repair_of_a_large_one() {
    let cluster = builder(1, &[4, 1]).start();
    let groups_of = |domain: &str| {
        let groups = assignment(&cluster, domain).groups;
        groups.iter().map(|it| (it.group.to_string(), it.phase)).collect::<Vec<_>>()
    };
    cluster.operate(0, "drain vm vm-2-1").expect("the drain is accepted");
    let large = "start group letters-1 model letters version v1 members 3";
    cluster.start_group(large, 0, &draft());
    let small = "start group drills-1 model drills version v2 members 1";
    let scenario = CallerRequest::chat("town", "scenario", "drills", 4, true);
    cluster.start_group(small, 0, &scenario);
    assert_eq!(groups_of("domain-1").len(), 2);
    cluster.operate(0, "resume vm vm-2-1").expect("the resume is accepted");
    let before = assignment(&cluster, "domain-1").groups;
    let before = before.iter().find(|it| it.members.len() == 3).expect("the large group");
    cluster.engine(before.members[1].as_str()).faults().set(frozen());
    cluster.wait_until("the small group serves in the other domain", || {
        groups_of("domain-2") == [("drills-1".to_owned(), GroupPhase::Serving)]
    });
    assert!(cluster.send_request(0, &scenario).is_complete(), "it keeps serving while it moves");
    cluster.wait_until("the large group is repaired", || {
        groups_of("domain-1") == [("letters-1".to_owned(), GroupPhase::Serving)]
            && cluster.send_request(0, &draft()).is_complete()
    });
    assert!(cluster.send_request(0, &scenario).is_complete());
}

#[test]
fn why_names_what_blocks_a_group() {
    let cluster = builder(1, &[2]).start();
    cluster.start_group(START, 0, &draft());
    let member = sole_group(&cluster, "domain-1").members[1].to_string();
    let answer_contains = |line: &str, text: &str| {
        let answer = cluster.operate(0, line).expect("an answer");
        serde_json::to_string(&answer).expect("JSON").contains(text)
    };
    cluster.operate(0, &format!("drain vm {member}")).expect("the drain is accepted");
    cluster.wait_until("the group's reasons are shown", || {
        answer_contains("why group letters-1", &format!("member {member} is leaving"))
            && answer_contains("why group letters-1", "too few idle VMs")
    });
    assert!(answer_contains(&format!("why vm {member}"), "as operators requested"));
    cluster.operate(0, &format!("resume vm {member}")).expect("the resume is accepted");
    cluster.wait_until("the group serves", || cluster.send_request(0, &draft()).is_complete());
}

#[test]
fn straggler_is_replaced_by_a_spare() {
    let cluster = builder(1, &[3]).coordinator_setting("stall_ms", 1_000).start();
    cluster.start_group(START, 0, &draft());
    let before = sole_group(&cluster, "domain-1");
    let slow = before.members[0].clone();
    let faults = EngineFaults { straggler: true, ..EngineFaults::default() };
    cluster.engine(slow.as_str()).faults().set(faults);
    let stream = start_stream(&cluster, 0, 100);
    cluster.wait_until("the straggler is replaced", || {
        let sole_group = sole_group(&cluster, "domain-1");
        sole_group.incarnation > before.incarnation && !sole_group.members.contains(&slow)
    });
    cluster.wait_until("the group serves", || cluster.send_request(0, &draft()).is_complete());
    drop(stream);
}

#[test]
fn owner_and_planner_decide_nothing_under_an_outdated_configuration() {
    let cluster = builder(1, &[6, 6]).start();
    cluster.start_group(START, 0, &draft());
    let unreachable = if assignment(&cluster, "domain-1").groups.is_empty() { 2 } else { 1 };
    let other = format!("domain-{}", 3 - unreachable);
    let second = "start group letters-2 model letters version v1 members 2 in";
    cluster.operate(0, &format!("{second} {other}")).expect("the group is accepted");
    cluster.wait_until("the second group serves", || {
        let groups = assignment(&cluster, &other).groups;
        groups.iter().any(|it| it.phase == GroupPhase::Serving)
    });
    let store = HttpStore::open(cluster.store.address());
    let (good, revision) = read_json::<serde_json::Value>(&store, Configuration::KEY).unwrap();
    let unreadable = serde_json::json!({"groups": "none that can be read"});
    let newer = swap_json(&store, Configuration::KEY, revision, &unreadable).unwrap();
    let refused = || cluster.send_request(0, &draft()).outcome() == Some(RunOutcome::NotRun);
    cluster.wait_until("the newer configuration is noticed", refused);
    let decisions = || {
        let (placements, _) = read_json::<Placements>(&store, Placements::KEY).unwrap();
        (assignment(&cluster, &other), placements)
    };
    let before = decisions();
    let lost = sole_group(&cluster, &other).members[1].to_string();
    let is_lost =
        |vm: &VmId| vm.as_str() == lost || vm.as_str().starts_with(&format!("vm-{unreachable}"));
    for (_, engine) in cluster.engines.iter().filter(|(vm, _)| is_lost(vm)) {
        engine.faults().set(frozen());
    }
    let ran = generations(&cluster);
    thread::sleep(Duration::from_secs(6));
    assert_eq!(decisions(), before);
    assert_eq!(generations(&cluster), ran);
    swap_json(&store, Configuration::KEY, newer.unwrap(), &good).unwrap();
    cluster.wait_until("the owner and the planner decide", || {
        let (of_owner, of_planner) = decisions();
        of_owner.groups != before.0.groups && of_planner != before.1
    });
}

#[test]
fn vm_relisted_in_another_domain_stays_in_its_group_and_joins_no_other() {
    let honours_fence = |vm| EngineOptions { honours_fence: true, ..EngineOptions::new(vm) };
    let cluster = builder(2, &[2, 1]).engine_options(honours_fence).start();
    let fence_mode = FenceMode::Honoured;
    cluster.replace_configuration(Configuration { fence_mode, ..cluster.configuration() });
    cluster.start_group(START, 0, &draft());
    let before = assignment(&cluster, "domain-1").groups;
    let mut list = cluster.listed_vms();
    for entry in list.iter_mut().filter(|it| it.vm.as_str() == "vm-1-2") {
        entry.role = VmRole::Engine { fabric_domain: "domain-2".parse().unwrap(), accelerators: 1 };
    }
    cluster.platform.set_vms(list);
    let second = "start group letters-2 model letters version v1 members 2 in domain-2";
    cluster.operate(0, second).expect("the group is accepted");
    for _ in 0..60 {
        thread::sleep(Duration::from_millis(150));
        assert!(cluster.send_request(0, &draft()).is_complete());
        assert_eq!(assignment(&cluster, "domain-1").groups, before);
        assert_eq!(assignment(&cluster, "domain-2").groups, []);
    }
    // The domain that had the VM releases it with its group, and with a higher fencing number.
    let store = HttpStore::open(cluster.store.address());
    let key = DomainAssignment::key(&"domain-1".parse().unwrap());
    let (raised, revision) = read_json::<DomainAssignment>(&store, &key).unwrap();
    let raised = DomainAssignment { fencing_number: FencingNumber(50), ..raised.unwrap() };
    assert!(swap_json(&store, &key, revision, &raised).unwrap().is_some());
    let _ = cluster.operate(0, "stop group letters-1");
    cluster
        .wait_until("the other group serves", || cluster.send_request(0, &draft()).is_complete());
    assert_eq!(sole_group(&cluster, "domain-2").group.as_str(), "letters-2");
}
