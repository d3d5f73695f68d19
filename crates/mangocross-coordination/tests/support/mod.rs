//! A simulation of entry VMs that poll each other, on logical time.

mod checks;
mod messages;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use fastrand::Rng;
use mangocross_coordination::AcceptanceTracker;
use mangocross_coordination::CoordinatorEndpoint;
use mangocross_coordination::Freshness;
use mangocross_coordination::FreshnessBounds;
use mangocross_coordination::FreshnessReply;
use mangocross_coordination::Permit;
use mangocross_coordination::check_membership;
use mangocross_types::EntryVmSpec;
use mangocross_types::Revision;
use mangocross_types::VmId;

/// Length of a step.
pub(crate) const STEP: Duration = Duration::from_millis(300);
/// Duration of a freshness lease.
pub(crate) const FRESHNESS_LEASE: Duration = Duration::from_millis(3_000);

/// The two processes of one entry VM.
struct Node {
    vm: VmId,
    coordinator: Process,
    gateway: Process,
    tracker: AcceptanceTracker,
    /// Revisions that this coordinator wrote and that are not accepted yet.
    written: Vec<Written>,
    /// What gateways reported to this coordinator.
    reports: BTreeMap<VmId, Report>,
    reads_store: bool,
    reaches_peers: bool,
}

/// What a gateway had in force at some time after `observed_after`.
#[derive(Clone)]
struct Report {
    process: u64,
    in_force: Revision,
    observed_after: Instant,
}

struct Written {
    revision: Revision,
    base: Option<Vec<EntryVmSpec>>,
}

struct Process {
    id: u64,
    freshness: Freshness,
    frozen: bool,
    /// Stamp of each coordinator's last reply: its process and when it was sent.
    stamps: HashMap<VmId, (u64, Instant)>,
}

#[derive(Clone)]
enum Message {
    Poll {
        role: Role,
        process: u64,
        in_force: Revision,
        echo: Option<(u64, Instant)>,
        sent_at: Instant,
    },
    Reply {
        role: Role,
        process: u64,
        from_process: u64,
        freshness_reply: FreshnessReply,
        in_force: Revision,
        /// Gateways that reported to the coordinator, and the age of each report.
        reports: Vec<(VmId, Report, Duration)>,
        /// When the poll was sent.
        sent_at: Instant,
        replied_at: Instant,
    },
}

#[derive(Clone, Copy, PartialEq)]
enum Role {
    Coordinator,
    Gateway,
}

#[derive(Clone)]
struct Envelope {
    due: u32,
    from: usize,
    to: usize,
    message: Message,
}

/// The simulation: all entry VMs, the store and the messages in transit.
pub(crate) struct World {
    rng: Rng,
    now: Instant,
    step: u32,
    nodes: Vec<Node>,
    in_transit: Vec<Envelope>,
    /// Every configuration ever stored.
    documents: BTreeMap<Revision, Vec<EntryVmSpec>>,
    store_up: bool,
    accepted: Revision,
    last_process: u64,
    changes_membership: bool,
    /// Whether gateways poll few coordinators, as in a large fleet.
    is_sparse: bool,
    pub(crate) served: u32,
    pub(crate) accepted_count: u32,
}

impl World {
    pub(crate) fn new(seed: u64, vms: u16, changes_membership: bool) -> Self {
        let now = Instant::now() + Duration::from_secs(3_600);
        let mut world = Self {
            rng: Rng::with_seed(seed),
            now,
            step: 0,
            nodes: Vec::new(),
            in_transit: Vec::new(),
            documents: BTreeMap::new(),
            store_up: true,
            accepted: Revision(0),
            last_process: 0,
            changes_membership,
            is_sparse: false,
            served: 0,
            accepted_count: 0,
        };
        for number in 0..vms {
            let node = world.new_node(number);
            world.nodes.push(node);
        }
        let members = world.nodes.iter().map(spec).collect();
        world.documents.insert(Revision(1), members);
        world
    }

    /// Returns a simulation in which each gateway polls the coordinators of its own entry VM and of
    /// one other, and coordinators relay what gateways report.
    pub(crate) fn sparse(seed: u64, vms: u16, changes_membership: bool) -> Self {
        Self { is_sparse: true, ..Self::new(seed, vms, changes_membership) }
    }

    /// Runs one step with faults.
    pub(crate) fn step_with_faults(&mut self) -> Result<(), String> {
        self.inject_fault();
        if self.rng.u8(..) < 40 {
            self.write();
        }
        self.step()
    }

    pub(crate) fn step(&mut self) -> Result<(), String> {
        self.step += 1;
        self.now += STEP;
        self.deliver();
        for node in 0..self.nodes.len() {
            self.read_store(node);
            self.poll(node, Role::Coordinator);
            self.poll(node, Role::Gateway);
        }
        self.check_acceptance();
        self.check_serving_revision()
    }

    /// Ends every fault but the store's.
    pub(crate) fn heal(&mut self) {
        for node in &mut self.nodes {
            node.coordinator.frozen = false;
            node.gateway.frozen = false;
            node.reaches_peers = true;
            node.reads_store = true;
        }
    }

    pub(crate) fn set_store(&mut self, up: bool) {
        self.store_up = up;
    }

    pub(crate) fn disconnect(&mut self, node: usize, store: bool, peers: bool) {
        self.nodes[node].reads_store = !store;
        self.nodes[node].reaches_peers = !peers;
    }

    pub(crate) fn restart(&mut self, node: usize) {
        self.restart_coordinator(node);
        self.restart_gateway(node);
    }

    pub(crate) fn serves(&self, node: usize) -> bool {
        matches!(self.permit(node), Permit::Serve { .. })
    }

    pub(crate) fn newest_accepted(&self) -> bool {
        self.accepted == self.newest()
    }

    /// Writes a configuration through a random coordinator that reaches the store.
    pub(crate) fn write(&mut self) {
        let reaching = (0..self.nodes.len()).filter(|it| self.reaches_store(*it));
        let reaching: Vec<usize> = reaching.collect();
        let Some(&writer) = self.rng.choice(&reaching) else { return };
        let base = self.newest();
        let before = self.documents[&base].clone();
        let base_accepted = self.is_accepted(writer, base, None);
        let after = self.next_members(&before);
        if check_membership(&before, &after, base_accepted).is_err() {
            return;
        }
        let revision = Revision(base.0 + 1);
        self.documents.insert(revision, after);
        let base = base_accepted.then_some(before);
        self.nodes[writer].written.push(Written { revision, base });
    }

    fn next_members(&mut self, before: &[EntryVmSpec]) -> Vec<EntryVmSpec> {
        let mut after = before.to_vec();
        if self.changes_membership && self.rng.bool() {
            let chosen = spec(&self.nodes[self.rng.usize(..self.nodes.len())]);
            match after.iter().position(|it| *it == chosen) {
                Some(index) if after.len() > 1 => drop(after.remove(index)),
                Some(_) => {}
                None => after.push(chosen),
            }
        }
        after
    }

    fn inject_fault(&mut self) {
        let node = self.rng.usize(..self.nodes.len());
        match self.rng.u8(..100) {
            0..3 => self.store_up = !self.store_up,
            3..8 => self.nodes[node].reads_store ^= true,
            8..13 => self.nodes[node].reaches_peers ^= true,
            13..18 => self.nodes[node].coordinator.frozen ^= true,
            18..23 => self.nodes[node].gateway.frozen ^= true,
            23..27 => self.restart_coordinator(node),
            27..31 => self.restart_gateway(node),
            31..33 => self.restart(node),
            33 => (0..self.nodes.len()).for_each(|it| self.restart(it)),
            34..38 => self.heal(),
            _ => {}
        }
    }

    fn permit(&self, node: usize) -> Permit {
        let node = &self.nodes[node];
        let empty = Vec::new();
        let members = self.documents.get(&node.gateway.freshness.in_force()).unwrap_or(&empty);
        node.gateway.freshness.permit(members, &node.vm, self.now)
    }

    /// Returns the entry VMs of the configuration in force at a coordinator.
    fn members_at(&self, node: usize) -> Vec<EntryVmSpec> {
        let in_force = self.nodes[node].coordinator.freshness.in_force();
        self.documents.get(&in_force).cloned().unwrap_or_default()
    }

    fn reaches_store(&self, node: usize) -> bool {
        let node = &self.nodes[node];
        self.store_up && node.reads_store && !node.coordinator.frozen
    }

    fn newest(&self) -> Revision {
        self.documents.keys().next_back().copied().unwrap_or_default()
    }

    fn new_process(&mut self) -> Process {
        self.last_process += 1;
        let bounds = FreshnessBounds { lease_duration: FRESHNESS_LEASE };
        Process {
            id: self.last_process,
            freshness: Freshness::new(bounds, self.now),
            frozen: false,
            stamps: HashMap::new(),
        }
    }

    fn new_node(&mut self, number: u16) -> Node {
        Node {
            vm: format!("entry-{number}").parse().unwrap(),
            coordinator: self.new_process(),
            gateway: self.new_process(),
            tracker: AcceptanceTracker::new(FRESHNESS_LEASE),
            written: Vec::new(),
            reports: BTreeMap::new(),
            reads_store: true,
            reaches_peers: true,
        }
    }

    fn restart_coordinator(&mut self, node: usize) {
        self.nodes[node].coordinator = self.new_process();
        self.nodes[node].tracker = AcceptanceTracker::new(FRESHNESS_LEASE);
        self.nodes[node].written.clear();
        self.nodes[node].reports.clear();
    }

    fn restart_gateway(&mut self, node: usize) {
        self.nodes[node].gateway = self.new_process();
    }
}

fn reports(node: &Node, now: Instant) -> Vec<(VmId, Report, Duration)> {
    let reports = node.reports.iter();
    reports.map(|(vm, it)| (vm.clone(), it.clone(), now - it.observed_after)).collect()
}

fn spec(node: &Node) -> EntryVmSpec {
    EntryVmSpec {
        vm: node.vm.clone(),
        availability_zone: "zone-1".parse().unwrap(),
        coordinator: address(&node.vm),
    }
}

fn endpoint(node: &Node) -> CoordinatorEndpoint {
    CoordinatorEndpoint { vm: node.vm.clone(), address: address(&node.vm) }
}

fn address(vm: &VmId) -> SocketAddr {
    let number: u16 = vm.as_str().trim_start_matches("entry-").parse().unwrap();
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number))
}
