//! What the coordinator's threads share.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::AcceptanceTracker;
use mangocross_coordination::EngineVm;
use mangocross_coordination::GatewayTable;
use mangocross_coordination::HeldAssignment;
use mangocross_coordination::LeavingTable;
use mangocross_coordination::ListHash;
use mangocross_coordination::Permit;
use mangocross_coordination::ProbeTable;
use mangocross_coordination::peer_rounds;
use mangocross_coordination::preferred_owner;
use mangocross_node::NodeConfiguration;
use mangocross_policy::RepairTimes;
use mangocross_settings::CoordinatorSettings;
use mangocross_types::Clock;
use mangocross_types::Configuration;
use mangocross_types::FabricDomain;
use mangocross_types::Placements;
use mangocross_types::PolicyWeights;
use mangocross_types::RequestId;
use mangocross_types::Revision;
use mangocross_types::VmId;
use peer_engine::EngineClient;
use peer_entry::ConfigurationDocument;
use peer_entry::CustomerUsage;
use peer_entry::DomainSummary;
use peer_entry::FetchSource;
use peer_entry::ListChange;
use peer_entry::PeerKey;
use peer_entry::RequestFailure;
use peer_entry::ServiceServer;
use peer_platform::PlatformClient;
use peer_store::HttpStore;
use peer_store::Store;

use crate::failures::KnownFailures;
use crate::held_list::HeldList;
use crate::known_revision::KnownRevision;
use crate::owners::ChosenGroups;
use crate::owners::OwnerTable;

/// Expected time to load weights that are on the VM already.
const WARM_LOAD: Duration = Duration::from_secs(1);

/// How long a gateway's use of customers' limits counts.
const GATEWAY_KEPT: Duration = Duration::from_secs(6);
/// Polls of a coordinator that may be lost before it no longer counts as live.
const LOST_POLLS: u32 = 2;

/// A coordinator that answers polls.
#[derive(Debug, Clone)]
pub(crate) struct LivePeer {
    pub(crate) address: SocketAddr,
    pub(crate) asked_at: Instant,
    pub(crate) newest_known: Revision,
    pub(crate) established: bool,
    pub(crate) domains: Vec<DomainSummary>,
}

/// What the coordinator's threads share.
pub(crate) struct CoordinatorState {
    pub(crate) settings: CoordinatorSettings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) process_id: u64,
    pub(crate) started_at: Instant,
    pub(crate) failures: Mutex<KnownFailures>,
    pub(crate) acceptance: Mutex<AcceptanceTracker>,
    /// Commands that wait until their change is accepted.
    pub(crate) waiting_commands: AtomicUsize,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) platform: PlatformClient,
    pub(crate) engines: EngineClient,
    pub(crate) node: Arc<NodeConfiguration>,
    /// Texts that were in force before, oldest first, for peers that hold one of them.
    pub(crate) peers: Mutex<HashMap<VmId, LivePeer>>,
    pub(crate) gateways: Mutex<GatewayTable<Vec<CustomerUsage>>>,
    pub(crate) owners: OwnerTable,
    pub(crate) chosen_groups: ChosenGroups,
    pub(crate) engines_by_domain: Mutex<BTreeMap<FabricDomain, Vec<EngineVm>>>,
    pub(crate) service_servers: Mutex<Vec<ServiceServer>>,
    pub(crate) vm_list: HeldList,
    pub(crate) leaving: Mutex<LeavingTable>,
    pub(crate) probes: Mutex<ProbeTable>,
    pub(crate) assignments: Mutex<BTreeMap<FabricDomain, HeldAssignment>>,
    pub(crate) placements: Mutex<(Placements, Revision)>,
    pub(crate) placements_known: KnownRevision,
    pub(crate) assignments_known: KnownRevision,
}

impl CoordinatorState {
    pub(crate) fn open(settings: CoordinatorSettings, key: PeerKey, clock: Arc<dyn Clock>) -> Self {
        let started_at = clock.now();
        let leaving_kept = Duration::from_millis(settings.leaving_kept_ms);
        let vouch = Duration::from_millis(settings.vouch_ms);
        let node = NodeConfiguration::open(settings.vm.clone(), key.clone(), vouch, started_at);
        Self {
            store: Arc::new(HttpStore::open(settings.store)),
            platform: PlatformClient::open(settings.platform),
            engines: EngineClient::open(),
            settings,
            clock,
            process_id: fastrand::u64(..),
            started_at,
            failures: Mutex::new(KnownFailures::default()),
            acceptance: Mutex::new(AcceptanceTracker::new(vouch)),
            waiting_commands: AtomicUsize::new(0),
            node: Arc::new(node),
            peers: Mutex::new(HashMap::new()),
            gateways: Mutex::new(GatewayTable::new(GATEWAY_KEPT)),
            owners: OwnerTable::default(),
            chosen_groups: ChosenGroups::default(),
            engines_by_domain: Mutex::new(BTreeMap::new()),
            service_servers: Mutex::new(Vec::new()),
            vm_list: HeldList::open(key),
            leaving: Mutex::new(LeavingTable::new(leaving_kept)),
            probes: Mutex::new(ProbeTable::default()),
            assignments: Mutex::new(BTreeMap::new()),
            placements: Mutex::new((Placements::default(), Revision(0))),
            placements_known: KnownRevision::default(),
            assignments_known: KnownRevision::default(),
        }
    }

    pub(crate) fn configuration(&self) -> Arc<Configuration> {
        self.node.current()
    }

    /// Returns the coordinators that answered a poll recently, this one included.
    pub(crate) fn live_coordinators(&self) -> Vec<VmId> {
        let now = self.clock.now();
        let age_max = self.live_age();
        let peers = lock(&self.peers);
        let live = peers.iter().filter(|(_, it)| now.duration_since(it.asked_at) < age_max);
        let mut live: Vec<VmId> = live.map(|(vm, _)| vm.clone()).collect();
        live.push(self.settings.vm.clone());
        live.sort_unstable();
        live.dedup();
        live
    }

    /// Returns the rounds between polls of the same coordinator.
    ///
    /// While a command waits all are polled in each, so that it is soon known to be in force.
    pub(crate) fn peer_rounds(&self) -> usize {
        if self.waiting_commands.load(Ordering::SeqCst) > 0 { 1 } else { self.usual_rounds() }
    }

    fn usual_rounds(&self) -> usize {
        let interval = Duration::from_millis(self.settings.poll_interval_ms);
        let vouch = Duration::from_millis(self.settings.vouch_ms);
        peer_rounds(&self.configuration().entry_vms, interval, vouch)
    }

    /// How long a coordinator's answer shows that it is live.
    pub(crate) fn live_age(&self) -> Duration {
        let interval = Duration::from_millis(self.settings.poll_interval_ms);
        let more_rounds = u32::try_from(self.usual_rounds() - 1).unwrap_or(u32::MAX);
        self.probe_ttl() + interval * LOST_POLLS * more_rounds
    }

    /// Returns whether this coordinator decides where groups belong.
    pub(crate) fn is_placement_leader(&self) -> bool {
        let live = self.live_coordinators();
        preferred_owner(Placements::KEY, &live) == Some(&self.settings.vm)
    }

    /// Returns the time between reads that all coordinators make.
    ///
    /// It grows with their number, so that the store sees a constant rate; the
    /// placement leader reads as often as alone.
    pub(crate) fn read_interval(&self, alone: Duration, for_each: Duration) -> Duration {
        if self.is_placement_leader() {
            return alone;
        }
        let live = u32::try_from(self.live_coordinators().len()).unwrap_or(u32::MAX);
        alone.max(for_each * live)
    }

    /// Returns the coordinators to poll or to fetch from.
    pub(crate) fn coordinator_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = self.settings.coordinators.clone();
        let configuration = self.configuration();
        addresses.extend(configuration.entry_vms.iter().map(|it| it.coordinator));
        addresses.retain(|it| *it != self.settings.listen);
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// How long an answer to a probe counts.
    pub(crate) fn probe_ttl(&self) -> Duration {
        Duration::from_millis(self.settings.proof_ms)
    }

    /// How long an engine may fail all probes before it is replaced.
    pub(crate) fn lost_after(&self) -> Duration {
        Duration::from_millis(self.settings.lost_ms)
    }

    /// Longest time that an order can be under way.
    pub(crate) fn order_lifetime(&self) -> Duration {
        Duration::from_millis(self.settings.order_deadline_ms)
    }

    /// Times that the choice between repair and waiting rests on.
    pub(crate) fn repair_times(&self, weights: &PolicyWeights) -> RepairTimes {
        RepairTimes {
            load: Duration::from_millis(self.settings.expected_load_ms),
            concurrent_loads: weights.concurrent_loads,
            loads_before: 0,
            warm_load: WARM_LOAD,
            restart: Duration::from_millis(self.settings.expected_restart_ms),
        }
    }

    /// Returns whether the configuration held may be acted on.
    ///
    /// Under an old one, a group that was started since would count as unwanted.
    pub(crate) fn has_newest_configuration(&self) -> bool {
        let permit = self.node.permit(self.clock.now());
        matches!(permit, Permit::Serve { .. } | Permit::Unlisted)
    }

    /// Returns whether a VM must receive no new work.
    pub(crate) fn is_leaving(&self, vm: &VmId) -> bool {
        let now = self.clock.now();
        lock(&self.leaving).is_leaving(vm, now) || self.configuration().leaving_vms.contains(vm)
    }

    /// How long a member with work may make no progress.
    pub(crate) fn stall_limit(&self) -> Duration {
        Duration::from_millis(self.settings.stall_ms)
    }
}

impl FetchSource for CoordinatorState {
    fn configuration(&self) -> Option<ConfigurationDocument> {
        Some(self.node.document()).filter(|it| it.revision > Revision(0))
    }

    fn earlier(&self, revision: Revision) -> Option<Arc<str>> {
        self.node.earlier(revision)
    }

    fn failure(&self, request: &RequestId) -> Option<RequestFailure> {
        lock(&self.failures).find(request)
    }

    fn list_change(&self, since: u64) -> Option<ListChange> {
        self.vm_list.change(ListHash(since), self.clock.now())
    }
}

/// Locks a mutex; each value is whole after every statement that changes it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
