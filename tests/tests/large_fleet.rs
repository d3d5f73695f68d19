//! A fleet in which each gateway polls only a few coordinators.

use std::thread;
use std::time::Duration;

use mangocross_coordination::is_reader;
use mangocross_tests::CallerRequest;
use mangocross_tests::Cluster;
use mangocross_tests::ClusterBuilder;
use mangocross_types::RunOutcome;
use mangocross_types::VmId;
use mangocross_types::VmListEntry;
use mangocross_types::VmRole;
use mangocross_types::VmState;
use standins::ServiceStandin;
use standins::StoreFaults;

/// One entry VM more than the largest fleet in which every process polls every coordinator.
const NODES: u16 = 10;
/// Number of entry VMs with which coordinators poll each other in rotation.
const NODES_IN_ROTATION: u16 = 33;
/// Duration of a freshness lease in tests where it expires, in milliseconds.
const LEASE_SHORT_MS: u64 = 3_000;
/// Duration of a freshness lease in tests that must not pass by its expiry, in milliseconds.
const LEASE_LONG_MS: u64 = 15_000;
/// Time between polls, in milliseconds.
const POLL_INTERVAL_MS: u64 = 300;
/// Key by which the readers of the platform's list are chosen.
const LIST_KEY: &str = "platform/vms";
/// Calls through each gateway; if a server receives none of them, it counts as unused. Each call
/// goes to one of two servers, so a used server is missed with a probability of at most 2^-CALLS.
const CALLS: u32 = 20;
const PORT_SECOND: u16 = 7600;
/// Time after which a starting gateway has switched from polling all coordinators to a few, and all
/// earlier freshness leases have expired.
const POLL_TARGETS_SETTLED: Duration = Duration::from_millis(6_000 + LEASE_SHORT_MS);

fn start(lease_ms: u64, domains: &[u16]) -> Cluster {
    start_nodes(NODES, lease_ms, domains)
}

fn start_nodes(nodes: u16, lease_ms: u64, domains: &[u16]) -> Cluster {
    ClusterBuilder::new(nodes, domains)
        .coordinator_setting("vouch_ms", lease_ms)
        .coordinator_setting("poll_interval_ms", POLL_INTERVAL_MS)
        .gateway_setting("vouch_ms", lease_ms)
        .gateway_setting("poll_interval_ms", POLL_INTERVAL_MS)
        .start()
}

fn serves(cluster: &Cluster, node: u16) -> bool {
    let status = CallerRequest::service("town", "status", "registry/status", "");
    cluster.send_request(node, &status).outcome() == Some(RunOutcome::Ran)
}

fn draft() -> CallerRequest {
    CallerRequest::chat("town", "draft", "letters", 1, true)
}

fn start_groups(cluster: &Cluster, groups: u16) {
    for number in 1..=groups {
        let line = format!("start group letters-{number} model letters version v1 members 2");
        cluster.operate(0, &line).expect("the group is accepted");
    }
    for node in 0..NODES {
        cluster.wait_until("every gateway reaches a group", || {
            cluster.send_request(node, &draft()).is_complete()
        });
    }
}

#[test]
fn command_is_in_force_at_once_when_each_gateway_polls_few_coordinators() {
    let cluster = start(LEASE_LONG_MS, &[2, 2, 2]);
    start_groups(&cluster, 3);
    let answer = cluster.operate(0, "drain vm vm-9-9").expect("the command is accepted");
    assert_eq!(answer.message, format!("revision {} is in force", answer.revision));
}

#[test]
fn gateway_with_a_dead_coordinator_keeps_serving_and_reports_to_another() {
    let mut cluster = start(LEASE_LONG_MS, &[2, 2, 2]);
    start_groups(&cluster, 3);
    cluster.coordinators[0].kill();
    cluster.wait_until("groups and commands no longer depend on the dead coordinator", || {
        let answer = cluster.operate(1, "drain vm vm-9-9").expect("the command is stored");
        let gateway_reported = !answer.message.contains("the gateway of entry-1");
        gateway_reported && cluster.send_request(0, &draft()).is_complete()
    });
}

#[test]
fn gateways_serve_and_restart_during_a_store_outage() {
    let mut cluster = start(LEASE_SHORT_MS, &[]);
    cluster.store.faults().set(StoreFaults { down: true, ..StoreFaults::default() });
    thread::sleep(POLL_TARGETS_SETTLED);
    for node in 0..NODES {
        cluster.wait_until("the majority that a polled coordinator reports is enough", || {
            serves(&cluster, node)
        });
    }
    cluster.gateways[3].restart();
    thread::sleep(POLL_TARGETS_SETTLED);
    cluster
        .wait_until("a gateway starts in the outage", || cluster.ready(3) && serves(&cluster, 3));
}

fn listed(vm: &str, server: &ServiceStandin, state: VmState) -> VmListEntry {
    VmListEntry {
        vm: vm.parse().expect("a valid id"),
        address: server.address(),
        availability_zone: "zone-1".parse().expect("a valid id"),
        state,
        role: VmRole::Service { service: "registry".parse().expect("a valid id") },
    }
}

/// Sends calls through each gateway and returns how many of them a server received.
fn received(cluster: &Cluster, server: &ServiceStandin) -> u64 {
    let before = server.faults().count("calls");
    for node in 0..NODES {
        for _ in 0..CALLS {
            assert!(serves(cluster, node), "the gateway of node {node} refused");
        }
    }
    server.faults().count("calls") - before
}

#[test]
fn leaving_server_receives_no_new_work_after_all_list_readers_died() {
    let mut cluster = start(LEASE_LONG_MS, &[]);
    let second = ServiceStandin::bind(cluster.address(PORT_SECOND)).expect("the service starts");
    let first = listed("service-1", &cluster.service, VmState::Live);
    let list = |state| vec![first.clone(), listed("service-2", &second, state)];
    cluster.platform.set_vms(list(VmState::Live));
    let mut configuration = cluster.configuration();
    configuration.services[0].backend_servers.clear();
    cluster.replace_configuration(configuration.clone());
    for node in 0..NODES {
        cluster.wait_until("the listed servers are known", || serves(&cluster, node));
    }
    assert!(received(&cluster, &second) > 0, "the second server is not used");
    cluster.wait_until("a coordinator that does not read the list applies its changes", || {
        cluster.coordinators.iter().any(|it| it.logged().contains("fetched the changes"))
    });
    let all: Vec<VmId> = configuration.entry_vms.iter().map(|it| it.vm.clone()).collect();
    let reads = |vm: &VmId| is_reader(LIST_KEY, &configuration.entry_vms, vm, &all);
    let readers: Vec<usize> = (0..all.len()).filter(|it| reads(&all[*it])).collect();
    assert_eq!(readers.len(), 6, "two of each of three zones read");
    for reader in readers {
        cluster.coordinators[reader].kill();
    }
    cluster.platform.set_vms(list(VmState::Leaving));
    cluster.wait_until("the second server receives no calls", || received(&cluster, &second) == 0);
}

#[test]
fn coordinators_polling_in_rotation_apply_changes_at_once_and_survive_a_store_outage() {
    let mut cluster = start_nodes(NODES_IN_ROTATION, LEASE_LONG_MS, &[2, 2]);
    start_groups(&cluster, 2);
    cluster.wait_until(
        "a command is in force everywhere without waiting for leases to expire",
        || {
            let answer = cluster.operate(0, "drain vm vm-9-9").expect("the command is stored");
            answer.message == format!("revision {} is in force", answer.revision)
        },
    );
    cluster.store.faults().set(StoreFaults { down: true, ..StoreFaults::default() });
    thread::sleep(2 * Duration::from_millis(LEASE_LONG_MS));
    cluster.coordinators[0].kill();
    for node in 0..NODES_IN_ROTATION {
        cluster.wait_until("every gateway keeps serving", || {
            serves(&cluster, node) && cluster.send_request(node, &draft()).is_complete()
        });
    }
}
