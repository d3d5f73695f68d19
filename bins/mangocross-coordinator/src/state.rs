//! State that the coordinator's threads share.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::thread::Thread;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::AcceptanceTracker;
use mangocross_coordination::AssignmentCopy;
use mangocross_coordination::EngineVm;
use mangocross_coordination::GatewayTable;
use mangocross_coordination::LeavingTable;
use mangocross_coordination::ListHash;
use mangocross_coordination::Permit;
use mangocross_coordination::ProbeTable;
use mangocross_coordination::VmHolders;
use mangocross_node::NodeConfiguration;
use mangocross_operator::OperatorAccess;
use mangocross_settings::CoordinatorSettings;
use mangocross_telemetry::Tracing;
use mangocross_types::Clock;
use mangocross_types::Configuration;
use mangocross_types::FabricDomain;
use mangocross_types::Placements;
use mangocross_types::RequestId;
use mangocross_types::Revision;
use mangocross_types::VmId;
use peer_engine::EngineClient;
use peer_entry::ConfigurationDocument;
use peer_entry::CustomerUsage;
use peer_entry::FetchSource;
use peer_entry::ListChange;
use peer_entry::PeerKey;
use peer_entry::RequestFailure;
use peer_entry::ServiceServer;
use peer_platform::PlatformClient;
use peer_store::HttpStore;
use peer_store::Store;

use crate::cache_events::CacheRelay;
use crate::failures::RecentFailures;
use crate::known_revision::KnownRevision;
use crate::liveness::PeerStatus;
use crate::metrics::CoordinatorMetrics;
use crate::observed_store::ObservedStore;
use crate::owners::ChosenGroupCache;
use crate::owners::OwnerCache;
use crate::vm_list::VmListHolder;

/// How long a gateway's status counts as current.
const GATEWAY_STATUS_VALIDITY: Duration = Duration::from_secs(6);

/// State that the coordinator's threads share.
pub(crate) struct CoordinatorState {
    pub(crate) settings: CoordinatorSettings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) operators: OperatorAccess,
    /// Random number that identifies this run of the process.
    pub(crate) process_id: u64,
    pub(crate) started_at: Instant,
    pub(crate) stopping: AtomicBool,
    pub(crate) metrics: Arc<CoordinatorMetrics>,
    pub(crate) tracing: Arc<Tracing>,
    pub(crate) failures: Mutex<RecentFailures>,
    pub(crate) acceptance: Mutex<AcceptanceTracker>,
    /// Number of commands that wait until their change is accepted.
    pub(crate) waiting_commands: AtomicUsize,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) platform: PlatformClient,
    pub(crate) engines: EngineClient,
    pub(crate) node: Arc<NodeConfiguration>,
    /// Last replies of the other coordinators, by VM.
    pub(crate) peers: Mutex<HashMap<VmId, PeerStatus>>,
    pub(crate) gateways: Mutex<GatewayTable<Vec<CustomerUsage>>>,
    pub(crate) owners: OwnerCache,
    pub(crate) chosen_groups: ChosenGroupCache,
    pub(crate) engines_by_domain: Mutex<BTreeMap<FabricDomain, Vec<EngineVm>>>,
    pub(crate) service_servers: Mutex<Vec<ServiceServer>>,
    pub(crate) vm_list: VmListHolder,
    pub(crate) leaving: Mutex<LeavingTable>,
    pub(crate) probes: Mutex<ProbeTable>,
    pub(crate) cache_relay: Mutex<CacheRelay>,
    /// Threads that probe engines, by the engine's VM.
    pub(crate) probers: Mutex<HashMap<VmId, Thread>>,
    pub(crate) assignments: Mutex<BTreeMap<FabricDomain, AssignmentCopy>>,
    pub(crate) vm_holders: Mutex<Arc<VmHolders>>,
    pub(crate) placements: Mutex<(Placements, Revision)>,
    pub(crate) known_placements_revision: KnownRevision,
    pub(crate) known_assignments_revision: KnownRevision,
}

impl CoordinatorState {
    pub(crate) fn open(settings: CoordinatorSettings, key: PeerKey, clock: Arc<dyn Clock>) -> Self {
        let started_at = clock.now();
        let leaving_kept = Duration::from_millis(settings.leaving_kept_ms);
        let lease_duration = Duration::from_millis(settings.freshness_lease_ms);
        let keys = settings.operator_keys.iter().map(|it| (it.operator.clone(), it.key.clone()));
        let node =
            NodeConfiguration::open(settings.vm.clone(), key.clone(), lease_duration, started_at);
        let metrics_interval = Duration::from_millis(settings.metrics_log_ms);
        let metrics = Arc::new(CoordinatorMetrics::open(metrics_interval));
        let vm = settings.vm.as_str();
        let tracing = Tracing::start("mangocross-coordinator", vm, settings.trace_share);
        let tracing = Arc::new(tracing);
        let store = HttpStore::open(settings.store);
        let (observing, spans) = (Arc::clone(&metrics), Arc::clone(&tracing));
        let store = ObservedStore::new(store, Arc::clone(&clock), observing, spans);
        Self {
            store: Arc::new(store),
            metrics,
            tracing,
            platform: PlatformClient::open(settings.platform),
            engines: EngineClient::open(),
            operators: OperatorAccess::new(keys),
            settings,
            clock,
            process_id: fastrand::u64(..),
            started_at,
            stopping: AtomicBool::new(false),
            failures: Mutex::new(RecentFailures::default()),
            acceptance: Mutex::new(AcceptanceTracker::new(lease_duration)),
            waiting_commands: AtomicUsize::new(0),
            node: Arc::new(node),
            peers: Mutex::new(HashMap::new()),
            gateways: Mutex::new(GatewayTable::new(GATEWAY_STATUS_VALIDITY)),
            owners: OwnerCache::default(),
            chosen_groups: ChosenGroupCache::default(),
            engines_by_domain: Mutex::new(BTreeMap::new()),
            service_servers: Mutex::new(Vec::new()),
            vm_list: VmListHolder::open(key),
            leaving: Mutex::new(LeavingTable::new(leaving_kept)),
            probes: Mutex::new(ProbeTable::default()),
            cache_relay: Mutex::new(CacheRelay::default()),
            probers: Mutex::new(HashMap::new()),
            assignments: Mutex::new(BTreeMap::new()),
            vm_holders: Mutex::default(),
            placements: Mutex::new((Placements::default(), Revision(0))),
            known_placements_revision: KnownRevision::default(),
            known_assignments_revision: KnownRevision::default(),
        }
    }

    pub(crate) fn configuration(&self) -> Arc<Configuration> {
        self.node.current()
    }

    /// Returns whether this process is the owner in the assignment held.
    pub(crate) fn owns(&self, domain: &FabricDomain) -> bool {
        let assignments = lock(&self.assignments);
        let held = assignments.get(domain);
        held.is_some_and(|it| it.is_owned_by(&self.settings.vm, self.process_id))
    }

    /// Returns the addresses of the coordinators to poll or fetch from.
    pub(crate) fn coordinator_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = self.settings.coordinators.clone();
        let configuration = self.configuration();
        addresses.extend(configuration.entry_vms.iter().map(|it| it.coordinator));
        addresses.retain(|it| *it != self.settings.advertised());
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Returns whether the configuration in force is fresh enough to act on.
    ///
    /// Under an older one, a group started since then would count as unwanted.
    pub(crate) fn has_fresh_configuration(&self) -> bool {
        let permit = self.node.permit(self.clock.now());
        matches!(permit, Permit::Serve { .. } | Permit::Unlisted)
    }

    /// Returns whether a VM must receive no new work.
    pub(crate) fn is_leaving(&self, vm: &VmId) -> bool {
        let now = self.clock.now();
        lock(&self.leaving).is_leaving(vm, now) || self.configuration().leaving_vms.contains(vm)
    }
}

impl FetchSource for CoordinatorState {
    fn configuration(&self) -> Option<ConfigurationDocument> {
        Some(self.node.document()).filter(|it| it.revision > Revision(0))
    }

    fn earlier_text(&self, revision: Revision) -> Option<Arc<str>> {
        self.node.earlier_text(revision)
    }

    fn failure(&self, request: &RequestId) -> Option<RequestFailure> {
        lock(&self.failures).find(request)
    }

    fn list_change(&self, since: u64) -> Option<ListChange> {
        self.vm_list.change(ListHash(since), self.clock.now())
    }
}

/// Locks a mutex and ignores poisoning: each value is consistent after every statement that
/// changes it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
