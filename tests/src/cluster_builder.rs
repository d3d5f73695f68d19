//! Builds a cluster.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use mangocross_types::VmId;
use standins::EngineOptions;
use standins::EngineStandin;
use standins::PlatformStandin;
use standins::ServiceStandin;
use standins::StoreStandin;

use crate::Cluster;
use crate::Relay;
use crate::UdpRelay;
use crate::cluster::PORT_COORDINATOR;
use crate::cluster::PORT_COORDINATOR_POLLS;
use crate::cluster::PORT_GATEWAY;
use crate::cluster::PORT_GATEWAY_POLLS;
use crate::cluster::PORT_OPERATOR;
use crate::cluster::PeerRelay;

const PORT_STORE: u16 = 7001;
const PORT_PLATFORM: u16 = 7002;
const PORT_SERVICE: u16 = 7003;
const PORT_SERVICE_RELAY: u16 = 7004;
const PORT_STORE_RELAY: u16 = 7010;
const PORT_ENGINE: u16 = 7400;
const PORT_COORDINATOR_DIRECT: u16 = 7500;
/// Number of clusters started by this test process.
static CLUSTERS: AtomicU8 = AtomicU8::new(0);

/// Builds a [`Cluster`] of entry VMs and fabric domains.
#[derive(Debug, Clone)]
pub struct ClusterBuilder {
    nodes: u16,
    domains: Vec<u16>,
    gateway_settings: serde_json::Map<String, serde_json::Value>,
    coordinator_settings: serde_json::Map<String, serde_json::Value>,
    engine_options: fn(VmId) -> EngineOptions,
    weight_store: bool,
    operator_key: Option<String>,
    peer_relays: bool,
}

impl ClusterBuilder {
    /// Returns a builder of a cluster with `nodes` entry VMs and a fabric domain of each size
    /// given.
    pub fn new(nodes: u16, domains: &[u16]) -> Self {
        Self {
            nodes,
            domains: domains.to_vec(),
            gateway_settings: serde_json::Map::new(),
            coordinator_settings: serde_json::Map::new(),
            engine_options: EngineOptions::new,
            weight_store: false,
            operator_key: None,
            peer_relays: false,
        }
    }

    /// Sets a setting of all gateways.
    #[must_use]
    pub fn gateway_setting(mut self, key: &str, value: impl Into<serde_json::Value>) -> Self {
        self.gateway_settings.insert(key.to_owned(), value.into());
        self
    }

    /// Sets a setting of all coordinators.
    #[must_use]
    pub fn coordinator_setting(mut self, key: &str, value: impl Into<serde_json::Value>) -> Self {
        self.coordinator_settings.insert(key.to_owned(), value.into());
        self
    }

    /// Sets the operators' keys; the cluster's own commands use the first one.
    #[must_use]
    pub fn operator_keys(mut self, keys: &[(&str, &str)]) -> Self {
        self.operator_key = keys.first().map(|(_, key)| (*key).to_owned());
        let line =
            |(operator, key): &(&str, &str)| serde_json::json!({"operator": operator, "key": key});
        let lines: Vec<serde_json::Value> = keys.iter().map(line).collect();
        self.coordinator_setting("operator_keys", lines)
    }

    /// Sets the function that returns the options of each engine.
    #[must_use]
    pub fn engine_options(mut self, options: fn(VmId) -> EngineOptions) -> Self {
        self.engine_options = options;
        self
    }

    /// Makes the engines fetch weights from the platform's weight store.
    #[must_use]
    pub fn weight_store(mut self) -> Self {
        self.weight_store = true;
        self
    }

    /// Puts relays in front of each coordinator, so that [`Cluster::link`] can cut it from its peers.
    #[must_use]
    pub fn peer_relays(mut self) -> Self {
        self.peer_relays = true;
        self
    }

    /// Starts all processes and applies a configuration with two customers and four request kinds.
    ///
    /// Customers are `town` and `bank`. Kinds are `draft` (model `letters`, idempotent), `scenario`
    /// (model `drills`, idempotent), `status` (service `registry`, idempotent) and `claim`
    /// (service `registry`, not idempotent).
    ///
    /// # Panics
    ///
    /// Panics if anything cannot be started.
    pub fn start(self) -> Cluster {
        let number = CLUSTERS.fetch_add(1, Ordering::SeqCst);
        let pid = std::process::id();
        let ip = Ipv4Addr::new(127, 16 + (pid >> 8) as u8 % 200, pid as u8, 1 + number);
        let directory = std::env::temp_dir().join(format!("mangocross-{pid}-{number}"));
        std::fs::create_dir_all(&directory).expect("the test's folder can be created");
        let at = |port: u16| SocketAddr::from((ip, port));
        let store = StoreStandin::bind(at(PORT_STORE)).expect("the store starts");
        let platform = PlatformStandin::bind(at(PORT_PLATFORM)).expect("the platform starts");
        let service = ServiceStandin::bind(at(PORT_SERVICE)).expect("the service starts");
        let service_relay = Relay::bind(at(PORT_SERVICE_RELAY), service.address());
        let mut cluster = Cluster {
            service_relay,
            store_relays: Vec::new(),
            store,
            platform,
            service,
            engines: BTreeMap::new(),
            gateways: Vec::new(),
            coordinators: Vec::new(),
            peer_relays: Vec::new(),
            ip,
            directory,
            operator_key: self.operator_key.clone(),
        };
        self.start_engines(&mut cluster);
        for node in 0..self.nodes {
            self.start_node(&mut cluster, node);
        }
        cluster.configure(self.nodes);
        cluster
    }

    fn start_engines(&self, cluster: &mut Cluster) {
        let mut port = PORT_ENGINE;
        for (domain, size) in (1..).zip(&self.domains) {
            for number in 1..=*size {
                let vm: VmId = format!("vm-{domain}-{number}").parse().expect("a valid id");
                let address = SocketAddr::from((cluster.ip, port));
                let mut options = (self.engine_options)(vm.clone());
                if self.weight_store {
                    options.weight_store = Some(cluster.platform.address());
                }
                let engine = EngineStandin::bind(address, options).expect("the engine starts");
                cluster.engines.insert(vm, engine);
                port += 1;
            }
        }
        cluster.platform.set_vms(cluster.listed_vms());
    }

    fn start_node(&self, cluster: &mut Cluster, node: u16) {
        let at = |port: u16| SocketAddr::from((cluster.ip, port)).to_string();
        let relay_address = SocketAddr::from((cluster.ip, PORT_STORE_RELAY + node));
        let relay = Relay::bind(relay_address, cluster.store.address());
        let coordinators: Vec<String> =
            (0..self.nodes).map(|it| at(PORT_COORDINATOR + it)).collect();
        let common = serde_json::json!({
            "vm": format!("entry-{}", node + 1),
            "availability_zone": format!("zone-{}", node % 3 + 1),
            "poll_from": at(0),
            "coordinators": coordinators,
            "store": relay.address().to_string(),
            "peer_secret": "a secret of the test's own",
        });
        let mut coordinator = common.as_object().expect("an object").clone();
        coordinator.insert("listen".into(), at(PORT_COORDINATOR + node).into());
        coordinator.insert("operator_listen".into(), at(PORT_OPERATOR + node).into());
        coordinator.insert("platform".into(), cluster.platform.address().to_string().into());
        coordinator.extend(self.coordinator_settings.clone());
        let mut gateway = common.as_object().expect("an object").clone();
        gateway.insert("listen".into(), at(PORT_GATEWAY + node).into());
        gateway.extend(self.gateway_settings.clone());
        if self.peer_relays {
            let direct = SocketAddr::from((cluster.ip, PORT_COORDINATOR_DIRECT + node));
            coordinator.insert("listen".into(), direct.to_string().into());
            coordinator.insert("advertise".into(), at(PORT_COORDINATOR + node).into());
            coordinator.insert("poll_from".into(), at(PORT_COORDINATOR_POLLS + node).into());
            gateway.insert("poll_from".into(), at(PORT_GATEWAY_POLLS + node).into());
            let polls = UdpRelay::bind(cluster.coordinator(node), direct);
            let fetches = Relay::bind(cluster.coordinator(node), direct);
            cluster.peer_relays.push(PeerRelay { polls, _fetches: fetches });
        }
        let coordinator = cluster.spawn("mangocross-coordinator", node, &coordinator);
        let gateway = cluster.spawn("mangocross-gateway", node, &gateway);
        cluster.coordinators.push(coordinator);
        cluster.gateways.push(gateway);
        cluster.store_relays.push(relay);
    }
}
