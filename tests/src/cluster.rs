//! A complete system on this machine: embedded stand-ins and real processes.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mangocross_http::HttpCall;
use mangocross_http::HttpClient;
use mangocross_http::HttpMethod;
use mangocross_http::HttpTimeouts;
use mangocross_operator::OperatorAnswer;
use mangocross_operator::OperatorRequest;
use mangocross_types::Configuration;
use mangocross_types::VmId;
use mangocross_types::VmListEntry;
use mangocross_types::VmRole;
use mangocross_types::VmState;
use standins::EngineStandin;
use standins::PlatformStandin;
use standins::ServiceStandin;
use standins::StoreStandin;

use crate::Answer;
use crate::Caller;
use crate::CallerRequest;
use crate::LinkMode;
use crate::Process;
use crate::Relay;
use crate::UdpRelay;

/// Longest wait for a condition; far above any time limit of the system.
const WAIT_MAX: Duration = Duration::from_secs(60);
/// Time between two checks of a condition.
const WAIT_POLL: Duration = Duration::from_millis(50);
/// Time limit for an answer to an operator or caller.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(40);
/// Limit on the size of an answer that an operator reads, in bytes.
const ANSWER_BYTES_MAX: usize = 4 * 1024 * 1024;

pub(crate) const PORT_COORDINATOR: u16 = 7100;
pub(crate) const PORT_OPERATOR: u16 = 7200;
pub(crate) const PORT_GATEWAY: u16 = 7300;
pub(crate) const PORT_GATEWAY_POLLS: u16 = 7600;
pub(crate) const PORT_COORDINATOR_POLLS: u16 = 7700;

/// A process that polls coordinators, identified by its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerProcess {
    /// A node's gateway.
    Gateway(u16),
    /// A node's coordinator.
    Coordinator(u16),
}

/// A complete system on this machine.
///
/// Every cluster has its own loopback address, so that tests can run in parallel
/// and a restarted process finds its ports free.
pub struct Cluster {
    /// The store.
    pub store: StoreStandin,
    /// The platform.
    pub platform: PlatformStandin,
    /// The plain service `registry`.
    pub service: ServiceStandin,
    /// The relay through which the gateways reach the service.
    pub service_relay: Relay,
    /// The engines by VM; VMs are `vm-DOMAIN-NUMBER`, domains `domain-NUMBER`, from 1.
    pub engines: BTreeMap<VmId, EngineStandin>,
    /// One relay to the store for each node; the node's processes reach the store only through it.
    pub store_relays: Vec<Relay>,
    /// The gateways; node 0 is VM `entry-1`.
    pub gateways: Vec<Process>,
    /// The coordinators.
    pub coordinators: Vec<Process>,
    pub(crate) peer_relays: Vec<PeerRelay>,
    pub(crate) ip: Ipv4Addr,
    pub(crate) directory: PathBuf,
    pub(crate) operator_key: Option<String>,
}

/// The relays between a coordinator and its peers.
pub(crate) struct PeerRelay {
    pub(crate) polls: UdpRelay,
    pub(crate) _fetches: Relay,
}

impl Cluster {
    /// Returns the address of a node's gateway.
    pub fn gateway(&self, node: u16) -> SocketAddr {
        SocketAddr::from((self.ip, PORT_GATEWAY + node))
    }

    /// Returns the address at which a node's coordinator serves operators.
    pub fn operator(&self, node: u16) -> SocketAddr {
        SocketAddr::from((self.ip, PORT_OPERATOR + node))
    }

    /// Returns the address at which a node's coordinator serves its peers.
    pub fn coordinator(&self, node: u16) -> SocketAddr {
        SocketAddr::from((self.ip, PORT_COORDINATOR + node))
    }

    /// Sets the mode of the link between a polling process and a node's coordinator.
    ///
    /// # Panics
    ///
    /// Panics if the cluster has no [`ClusterBuilder::peer_relays`].
    pub fn link(&self, from: PeerProcess, to: u16, mode: LinkMode) {
        self.peer_relays[usize::from(to)].polls.set(self.poll_source(from), mode);
    }

    /// Sets the mode of the links between two nodes' coordinators, in both directions.
    ///
    /// # Panics
    ///
    /// Panics if the cluster has no [`ClusterBuilder::peer_relays`].
    pub fn link_coordinators(&self, one: u16, other: u16, mode: LinkMode) {
        self.link(PeerProcess::Coordinator(one), other, mode);
        self.link(PeerProcess::Coordinator(other), one, mode);
    }

    /// Redelivers the newest replies of a node's coordinator to a polling process, the oldest of
    /// them last; returns how many.
    ///
    /// # Panics
    ///
    /// Panics if the cluster has no [`ClusterBuilder::peer_relays`].
    pub fn replay_replies(&self, poller: PeerProcess, coordinator: u16, newest: usize) -> usize {
        self.peer_relays[usize::from(coordinator)].polls.replay(self.poll_source(poller), newest)
    }

    /// Returns the address from which a process polls.
    fn poll_source(&self, process: PeerProcess) -> SocketAddr {
        match process {
            PeerProcess::Gateway(node) => self.address(PORT_GATEWAY_POLLS + node),
            PeerProcess::Coordinator(node) => self.address(PORT_COORDINATOR_POLLS + node),
        }
    }

    /// Returns the address of a port on the cluster's loopback address.
    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }

    /// Returns an engine by its VM's name.
    ///
    /// # Panics
    ///
    /// Panics if there is no such VM.
    pub fn engine(&self, vm: &str) -> &EngineStandin {
        &self.engines[&vm.parse::<VmId>().expect("a valid id")]
    }

    /// Returns the platform's list with all engines live.
    pub fn listed_vms(&self) -> Vec<VmListEntry> {
        let entries = self.engines.iter().map(|(vm, engine)| {
            let domain = vm.as_str().split('-').nth(1).unwrap_or_default();
            let domain = format!("domain-{domain}").parse().expect("a valid id");
            VmListEntry {
                vm: vm.clone(),
                address: engine.address(),
                availability_zone: "zone-1".parse().expect("a valid id"),
                state: VmState::Live,
                role: VmRole::Engine { fabric_domain: domain, accelerators: 1 },
            }
        });
        entries.collect()
    }

    /// Sends an operator's command line to a node.
    ///
    /// # Errors
    ///
    /// Returns the refusal's body, or the transport error as text.
    pub fn operate(&self, node: u16, line: &str) -> Result<OperatorAnswer, String> {
        self.operate_with(node, &new_request(line))
    }

    /// Sends an operator's request to a node.
    ///
    /// # Errors
    ///
    /// Returns the refusal's body, or the transport error as text.
    pub fn operate_with(
        &self,
        node: u16,
        request: &OperatorRequest,
    ) -> Result<OperatorAnswer, String> {
        self.operate_as(self.operator_key.as_deref(), node, request)
    }

    /// Sends an operator's request with a key to a node.
    ///
    /// # Errors
    ///
    /// Returns the refusal's body, or the transport error as text.
    pub fn operate_as(
        &self,
        key: Option<&str>,
        node: u16,
        request: &OperatorRequest,
    ) -> Result<OperatorAnswer, String> {
        let timeouts = HttpTimeouts::default().idle(ANSWER_TIMEOUT).total(ANSWER_TIMEOUT);
        let call = HttpCall::new(HttpMethod::Post, self.operator(node), "/v1/operator");
        let mut call = call.json(request).timeouts(timeouts);
        if let Some(key) = key {
            call = call.header("authorization", &format!("Bearer {key}"));
        }
        let answer = HttpClient::open().call(call).map_err(|it| it.to_string())?;
        if answer.status() == 200 {
            return answer.read_json(ANSWER_BYTES_MAX).map_err(|it| it.to_string());
        }
        let body = answer.read_all(ANSWER_BYTES_MAX).map_err(|it| it.to_string())?;
        Err(String::from_utf8_lossy(&body).into_owned())
    }

    /// Sends a caller's request to a node and reads the complete answer.
    ///
    /// # Panics
    ///
    /// Panics if the gateway cannot be reached, drops the connection or stalls.
    pub fn send_request(&self, node: u16, request: &CallerRequest) -> Answer {
        let caller = Caller::open(ANSWER_TIMEOUT);
        caller.send(self.gateway(node), request).expect("the gateway answers")
    }

    /// Returns whether a node's gateway reports that it is ready.
    pub fn ready(&self, node: u16) -> bool {
        let call = HttpCall::new(HttpMethod::Get, self.gateway(node), "/health/ready");
        HttpClient::open().call(call).is_ok_and(|it| it.status() == 200)
    }

    /// Starts a group and waits until a node's gateway answers `probe` completely.
    ///
    /// # Panics
    ///
    /// Panics if the group does not serve.
    pub fn start_group(&self, line: &str, node: u16, probe: &CallerRequest) {
        self.operate(node, line).expect("the group is accepted");
        self.wait_until(line, || self.send_request(node, probe).is_complete());
    }

    /// Returns the configuration that the cluster was started with.
    ///
    /// # Panics
    ///
    /// Panics if it is not valid.
    pub fn configuration(&self) -> Configuration {
        self.configuration_of(u16::try_from(self.gateways.len()).expect("few gateways"))
    }

    /// Replaces the configuration.
    ///
    /// # Panics
    ///
    /// Panics if it is not accepted.
    pub fn replace_configuration(&self, configuration: Configuration) {
        let mut request = new_request("replace config");
        request.configuration = Some(configuration);
        self.operate_with(0, &request).expect("the configuration is accepted");
    }

    /// Waits until a condition holds.
    ///
    /// # Panics
    ///
    /// Panics if it does not hold in time.
    pub fn wait_until(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let deadline = Instant::now() + WAIT_MAX;
        while !holds() {
            assert!(Instant::now() < deadline, "timed out waiting until: {what}\n{}", self.logs());
            thread::sleep(WAIT_POLL);
        }
    }

    /// Returns the last lines of all logs, for a failed test.
    pub fn logs(&self) -> String {
        let processes = self.coordinators.iter().chain(&self.gateways);
        let logs = processes.map(|it| {
            let log = it.logged();
            let lines: Vec<&str> = log.lines().rev().take(15).collect();
            lines.into_iter().rev().collect::<Vec<_>>().join("\n")
        });
        logs.collect::<Vec<_>>().join("\n---\n")
    }

    fn configuration_of(&self, nodes: u16) -> Configuration {
        let entry_vms: Vec<serde_json::Value> = (0..nodes)
            .map(|it| {
                serde_json::json!({
                    "vm": format!("entry-{}", it + 1),
                    "availability_zone": format!("zone-{}", it % 3 + 1),
                    "coordinator": self.coordinator(it).to_string(),
                })
            })
            .collect();
        let configuration = serde_json::json!({
            "entry_vms": entry_vms,
            "customers": [
                {"id": "town", "requests_per_second": 1000, "in_flight_max": 1000},
                {"id": "bank", "requests_per_second": 1000, "in_flight_max": 1000},
            ],
            "kinds": [
                {"id": "draft", "target": {"model": "letters"}, "idempotent": true, "deadline_ms": 30000},
                {"id": "scenario", "target": {"model": "drills"}, "idempotent": true, "deadline_ms": 30000},
                {"id": "status", "target": {"service": "registry"}, "idempotent": true, "deadline_ms": 5000},
                {"id": "claim", "target": {"service": "registry"}, "idempotent": false, "deadline_ms": 5000},
            ],
            "services": [
                {"id": "registry", "backend_servers": [self.service_relay.address().to_string()]},
            ],
        });
        serde_json::from_value(configuration).expect("a valid configuration")
    }

    pub(crate) fn configure(&self, nodes: u16) {
        self.wait_until("the coordinators answer", || {
            (0..nodes).all(|it| self.operate(it, "show nodes").is_ok())
        });
        self.replace_configuration(self.configuration_of(nodes));
        self.wait_until("the gateways are ready", || (0..nodes).all(|it| self.ready(it)));
    }

    pub(crate) fn spawn(
        &self,
        program: &str,
        node: u16,
        settings: &serde_json::Map<String, serde_json::Value>,
    ) -> Process {
        let file = self.directory.join(format!("{program}-{node}.json"));
        let text = serde_json::to_string_pretty(settings).expect("settings have a JSON form");
        std::fs::write(&file, text).expect("the settings can be written");
        Process::spawn(program, &file, &file.with_extension("log"))
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if thread::panicking() {
            eprintln!("{}", self.logs());
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn new_request(line: &str) -> OperatorRequest {
    OperatorRequest {
        command_id: format!("c-{:032x}", fastrand::u128(..)).parse().expect("a valid id"),
        text: line.to_owned(),
        configuration: None,
        based_on: None,
        dry_run: false,
    }
}
