//! An accepted configuration is in force on every node and stays in force.

use std::thread;
use std::time::Duration;

use mangocross_operator::OperatorRequest;
use mangocross_tests::Answer;
use mangocross_tests::CallerRequest;
use mangocross_tests::Cluster;
use mangocross_tests::ClusterBuilder;
use mangocross_tests::Process;
use mangocross_tests::RelayMode;
use mangocross_types::Configuration;
use mangocross_types::EntryVmSpec;
use mangocross_types::ResultCode;
use mangocross_types::Revision;
use mangocross_types::RunOutcome;
use standins::StoreFaults;

/// Duration of a freshness lease in these tests, in milliseconds.
const FRESHNESS_LEASE_MS: u64 = 1_500;
/// Time between polls in these tests, in milliseconds.
const POLL_INTERVAL_MS: u64 = 300;
/// Time after which all earlier freshness leases have expired.
const LEASES_EXPIRED: Duration = Duration::from_millis(2 * FRESHNESS_LEASE_MS);

fn builder(nodes: u16) -> ClusterBuilder {
    ClusterBuilder::new(nodes, &[])
        .coordinator_setting("vouch_ms", FRESHNESS_LEASE_MS)
        .coordinator_setting("poll_interval_ms", POLL_INTERVAL_MS)
        .gateway_setting("vouch_ms", FRESHNESS_LEASE_MS)
        .gateway_setting("poll_interval_ms", POLL_INTERVAL_MS)
}

fn start(nodes: u16) -> Cluster {
    builder(nodes).start()
}

fn status(cluster: &Cluster, node: u16) -> Answer {
    cluster.send_request(node, &CallerRequest::service("town", "status", "registry/status", ""))
}

fn serves(cluster: &Cluster, node: u16) -> bool {
    status(cluster, node).outcome() == Some(RunOutcome::Ran)
}

fn code(answer: &Answer) -> Option<ResultCode> {
    answer.refusal().map(|it| it.code)
}

fn request(id: &str, text: &str) -> OperatorRequest {
    OperatorRequest {
        command_id: id.parse().expect("a valid id"),
        text: text.to_owned(),
        configuration: None,
        based_on: None,
        dry_run: false,
    }
}

fn revision(cluster: &Cluster, node: u16) -> Revision {
    cluster.operate(node, "show config").expect("the coordinator answers").revision
}

fn set_store(cluster: &Cluster, faults: StoreFaults) {
    cluster.store.faults().set(faults);
}

#[test]
fn conflicting_command_is_refused_and_names_the_accepted_one() {
    let cluster = start(2);
    let newest = revision(&cluster, 0);
    let first = OperatorRequest { based_on: Some(newest), ..request("c-first", "drain vm vm-1-1") };
    let second =
        OperatorRequest { based_on: Some(newest), ..request("c-second", "drain vm vm-1-2") };
    let won = cluster.operate_with(0, &first).expect("the first command is accepted");
    let lost = cluster.operate_with(1, &second).expect_err("the second command is refused");
    assert!(lost.contains("6002") && lost.contains("drain vm vm-1-1"), "{lost}");
    assert!(lost.contains("c-first") && lost.contains(&won.revision.to_string()), "{lost}");
}

#[test]
fn repeated_command_has_no_further_effect_after_a_lost_store_answer() {
    let cluster = start(3);
    let command = request("c-once", "drain vm vm-1-1");
    set_store(&cluster, StoreFaults { lose_write_answers: true, ..StoreFaults::default() });
    let written = cluster.operate_with(0, &command).expect("the command is read back and accepted");
    set_store(&cluster, StoreFaults::default());
    let repeated = cluster.operate_with(1, &command).expect("a repeat is accepted");
    assert_eq!(repeated.revision, written.revision);
    assert_eq!((repeated.code, written.code), (None, None));
    let other = cluster.operate_with(1, &request("c-once", "drain vm vm-1-2"));
    assert!(other.expect_err("another text is refused").contains("drain vm vm-1-1"));
}

#[test]
fn repeated_command_resolves_an_unknown_outcome() {
    let cluster = start(3);
    let command = request("c-unknown", "drain vm vm-1-1");
    let before = revision(&cluster, 0);
    set_store(&cluster, StoreFaults { lose_write_answers: true, ..StoreFaults::default() });
    let answer = thread::scope(|scope| {
        let answer = scope.spawn(|| cluster.operate_with(0, &command));
        cluster.wait_until("the write took effect", || revision(&cluster, 1) > before);
        cluster.store_relays[0].set(RelayMode::Cut);
        answer.join().expect("the operator's thread ends")
    });
    let answer = answer.expect_err("the coordinator cannot know");
    assert!(answer.contains("5002") && answer.contains("unknown"), "{answer}");
    set_store(&cluster, StoreFaults::default());
    let repeated = cluster.operate_with(1, &command).expect("the repeat is accepted");
    assert_eq!(repeated.code, None);
    assert_eq!(revision(&cluster, 1), repeated.revision);
}

#[test]
fn node_cut_from_the_store_serves_by_freshness_leases_of_its_peers() {
    let cluster = start(3);
    cluster.store_relays[0].set(RelayMode::Cut);
    thread::sleep(LEASES_EXPIRED);
    assert!(serves(&cluster, 0));
    // It also applies a change that it cannot read from the store.
    let answer = cluster.operate(1, "drain vm vm-1-1").expect("the change is accepted");
    assert_eq!(answer.code, None);
    cluster.wait_until("the node applies the change", || revision(&cluster, 0) == answer.revision);
}

#[test]
fn node_isolated_from_store_and_peers_stops_serving_and_recovers() {
    let cluster = start(3);
    cluster.store_relays[0].set(RelayMode::Cut);
    cluster.coordinators[1].freeze();
    cluster.coordinators[2].freeze();
    cluster
        .wait_until("the node stops", || code(&status(&cluster, 0)) == Some(ResultCode::NotFresh));
    assert_eq!(status(&cluster, 0).outcome(), Some(RunOutcome::NotRun));
    cluster.coordinators[1].thaw();
    cluster.coordinators[2].thaw();
    cluster.wait_until("the node serves again", || serves(&cluster, 0));
}

#[test]
fn full_store_outage_allows_service_and_restarts_but_no_commands() {
    let mut cluster = start(3);
    set_store(&cluster, StoreFaults { down: true, ..StoreFaults::default() });
    thread::sleep(LEASES_EXPIRED);
    assert!((0..3).all(|it| serves(&cluster, it)));
    let refused = cluster.operate(0, "drain vm vm-1-1").expect_err("no command is accepted");
    assert!(refused.contains("5001") && refused.contains("not_run"), "{refused}");
    cluster.coordinators[0].restart();
    cluster.gateways[0].restart();
    cluster.wait_until("the restarted node serves", || cluster.ready(0) && serves(&cluster, 0));
    set_store(&cluster, StoreFaults::default());
    cluster.operate(0, "drain vm vm-1-1").expect("commands are accepted again");
}

#[test]
fn resumed_gateway_refuses_requests_under_an_outdated_configuration() {
    let cluster = start(3);
    cluster.gateways[2].freeze();
    let answer = cluster.operate(0, "remove kind status").expect("the change is accepted");
    assert_eq!(answer.code, None);
    assert!(answer.message.contains("gateway of entry-3"), "{}", answer.message);
    // No coordinator can report the change to the gateway when it resumes.
    cluster.coordinators.iter().for_each(Process::freeze);
    cluster.gateways[2].thaw();
    for _ in 0..20 {
        let answer = status(&cluster, 2);
        assert_eq!(code(&answer), Some(ResultCode::NotFresh), "{answer:?}");
    }
    cluster.coordinators.iter().for_each(Process::thaw);
    cluster.wait_until("the change is in force there", || {
        code(&status(&cluster, 2)) == Some(ResultCode::UnknownKind)
    });
}

#[test]
fn all_nodes_restarted_at_once_serve_under_the_newest_configuration() {
    let mut cluster = start(3);
    let accepted = cluster.operate(0, "drain vm vm-1-1").expect("the change is accepted");
    for process in cluster.coordinators.iter_mut().chain(&mut cluster.gateways) {
        process.kill();
    }
    for process in cluster.coordinators.iter_mut().chain(&mut cluster.gateways) {
        process.restart();
    }
    cluster.wait_until("all nodes serve", || {
        (0..3).all(|it| cluster.ready(it) && serves(&cluster, it))
    });
    assert!((0..3).all(|it| revision(&cluster, it) == accepted.revision));
}

#[test]
fn change_without_a_majority_is_reported_as_not_yet_in_force() {
    let cluster =
        builder(3).coordinator_setting("in_force_wait_ms", 2 * FRESHNESS_LEASE_MS).start();
    cluster.coordinators[1].freeze();
    cluster.coordinators[2].freeze();
    let command = request("c-alone", "drain vm vm-1-1");
    let stored = cluster.operate_with(0, &command).expect("the change is stored");
    assert_eq!(stored.code, Some(ResultCode::NotYetInForce));
    for missing in ["coordinator of entry-2", "coordinator of entry-3"] {
        assert!(stored.message.contains(missing), "{}", stored.message);
    }
    cluster.coordinators[1].thaw();
    cluster.coordinators[2].thaw();
    cluster.wait_until("the repeat finds the change in force", || {
        cluster.operate_with(0, &command).is_ok_and(|it| it.code.is_none())
    });
}

#[test]
fn removed_entry_vm_stops_serving_and_rejoins_when_restarted() {
    let mut cluster = start(3);
    let removed = cluster.operate(0, "remove node entry-3").expect("the change is accepted");
    assert_eq!(removed.code, None);
    assert_eq!(code(&status(&cluster, 2)), Some(ResultCode::NotFresh));
    assert!(serves(&cluster, 0) && serves(&cluster, 1));
    // Two entry VMs are left: the next one may be removed, the last one may not.
    cluster.operate(0, "remove node entry-2").expect("the change is accepted");
    let refused = cluster.operate(0, "remove node entry-1").expect_err("one entry VM must be left");
    assert!(refused.contains("6003"), "{refused}");
    for node in [1, 2] {
        cluster.coordinators[node].restart();
    }
    cluster.wait_until("both rejoin and serve", || {
        (0..3).all(|it| cluster.ready(it) && serves(&cluster, it))
    });
    let answer = cluster.operate(0, "drain vm vm-1-1").expect("the change is accepted");
    assert_eq!(answer.code, None);
}

#[test]
fn replaced_configuration_keeps_the_entry_vms_unless_it_lists_them() {
    let cluster = start(3);
    let replace = |entry_vms: Option<Vec<EntryVmSpec>>| {
        let current = cluster.operate(0, "show config").expect("the coordinator answers");
        let mut configuration: Configuration =
            serde_json::from_str(&current.message).expect("a configuration");
        configuration.entry_vms = entry_vms.unwrap_or_default();
        let id = format!("c-{}", fastrand::u64(..));
        let line = OperatorRequest {
            configuration: Some(configuration),
            ..request(&id, "replace config")
        };
        cluster.operate_with(0, &line)
    };
    let named = |it: u16| EntryVmSpec {
        vm: format!("entry-{it}").parse().expect("a valid id"),
        availability_zone: "zone-1".parse().expect("a valid id"),
        coordinator: cluster.coordinator(it - 1),
    };
    assert_eq!(replace(None).expect("accepted").code, None);
    assert!((0..3).all(|it| serves(&cluster, it)));
    let refused = replace(Some(vec![named(1)])).expect_err("two would be removed at once");
    assert!(refused.contains("one at a time"), "{refused}");
    assert_eq!(replace(Some(vec![named(1), named(2)])).expect("accepted").code, None);
    assert_eq!(code(&status(&cluster, 2)), Some(ResultCode::NotFresh));
}

#[test]
fn repeated_id_with_another_document_is_refused() {
    let cluster = start(2);
    let current = cluster.operate(0, "show config").expect("the coordinator answers");
    let document: Configuration = serde_json::from_str(&current.message).expect("a configuration");
    let first = OperatorRequest {
        configuration: Some(document.clone()),
        ..request("c-whole", "replace config")
    };
    let accepted = cluster.operate_with(0, &first).expect("accepted");
    let repeated = cluster.operate_with(1, &first).expect("a repeat is accepted");
    assert_eq!(repeated.revision, accepted.revision);
    let other = Configuration { customers: Vec::new(), ..document };
    let second = OperatorRequest { configuration: Some(other), ..first };
    let refused = cluster.operate_with(0, &second).expect_err("another document is refused");
    assert!(refused.contains("use another id"), "{refused}");
}
