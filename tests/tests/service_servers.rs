//! Plain services use the backend servers from the platform's list, and a server that is leaving
//! receives no new work.

use mangocross_operator::OperatorRequest;
use mangocross_tests::CallerRequest;
use mangocross_tests::Cluster;
use mangocross_tests::ClusterBuilder;
use mangocross_types::Configuration;
use mangocross_types::RunOutcome;
use mangocross_types::VmListEntry;
use mangocross_types::VmRole;
use mangocross_types::VmState;
use peer_store::HttpStore;
use peer_store::read_json;
use standins::ServiceStandin;

/// Calls through the gateway; if a server receives none of them, it counts as unused. Each call
/// goes to one of two servers, so a used server is missed with a probability of at most 2^-CALLS.
const CALLS: u32 = 40;
const PORT_SECOND: u16 = 7600;

fn entry(vm: &str, server: &ServiceStandin, state: VmState) -> VmListEntry {
    VmListEntry {
        vm: vm.parse().unwrap(),
        address: server.address(),
        availability_zone: "zone-1".parse().unwrap(),
        state,
        role: VmRole::Service { service: "registry".parse().unwrap() },
    }
}

/// Changes the configuration in force.
fn configure(cluster: &Cluster, number: u32, change: impl Fn(&mut Configuration)) {
    let store = HttpStore::open(cluster.store.address());
    let (configuration, _) = read_json::<Configuration>(&store, Configuration::KEY).unwrap();
    let mut configuration = configuration.expect("a configuration is in force");
    change(&mut configuration);
    let request = OperatorRequest {
        command_id: format!("c-test-{number}").parse().unwrap(),
        text: "replace config".to_owned(),
        configuration: Some(configuration),
        based_on: None,
        dry_run: false,
    };
    cluster.operate_with(0, &request).expect("the configuration is accepted");
}

/// Sends calls and returns how many of them each server received.
fn shares(cluster: &Cluster, second: &ServiceStandin) -> (u64, u64) {
    let counted = || (cluster.service.faults().count("calls"), second.faults().count("calls"));
    let before = counted();
    let status = CallerRequest::service("town", "status", "registry/status", "place of 17");
    for _ in 0..CALLS {
        assert_eq!(cluster.send_request(0, &status).outcome(), Some(RunOutcome::Ran));
    }
    let after = counted();
    (after.0 - before.0, after.1 - before.1)
}

#[test]
fn leaving_server_receives_no_new_work_even_when_the_list_flaps_back() {
    let cluster = ClusterBuilder::new(1, &[]).start();
    let second = ServiceStandin::bind(cluster.address(PORT_SECOND)).unwrap();
    let list = |state| {
        let first = entry("service-1", &cluster.service, VmState::Live);
        cluster.platform.set_vms(vec![first, entry("service-2", &second, state)]);
    };
    list(VmState::Live);
    configure(&cluster, 1, |it| it.services[0].backend_servers.clear());
    let status = CallerRequest::service("town", "status", "registry/status", "place of 17");
    cluster.wait_until("the listed servers are known", || {
        cluster.send_request(0, &status).outcome() == Some(RunOutcome::Ran)
    });
    let (to_first, to_second) = shares(&cluster, &second);
    assert!(to_first > 0 && to_second > 0, "{to_first} {to_second}");
    list(VmState::Leaving);
    cluster.wait_until("the second server receives no calls", || shares(&cluster, &second).1 == 0);
    list(VmState::Live);
    // The list is read every second; wait for several reads.
    std::thread::sleep(std::time::Duration::from_secs(3));
    assert_eq!(shares(&cluster, &second), (CALLS.into(), 0));
}

#[test]
fn server_marked_leaving_by_operators_receives_no_new_work() {
    let cluster = ClusterBuilder::new(1, &[]).start();
    let second = ServiceStandin::bind(cluster.address(PORT_SECOND)).unwrap();
    let first = entry("service-1", &cluster.service, VmState::Live);
    cluster.platform.set_vms(vec![first, entry("service-2", &second, VmState::Live)]);
    let address = second.address();
    configure(&cluster, 1, |it| it.services[0].backend_servers.push(address));
    cluster.wait_until("both serve", || shares(&cluster, &second).1 > 0);
    configure(&cluster, 2, |it| it.leaving_vms.push("service-2".parse().unwrap()));
    cluster.wait_until("the second server receives no calls", || shares(&cluster, &second).1 == 0);
    assert_eq!(shares(&cluster, &second), (CALLS.into(), 0));
}
