//! State shared by the gateway's threads.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use mangocross_claims::ClaimLimits;
use mangocross_claims::ClaimLog;
use mangocross_coordination::HealthLeaseTable;
use mangocross_coordination::LeavingTable;
use mangocross_coordination::Permit;
use mangocross_coordination::ServiceTable;
use mangocross_node::NodeConfiguration;
use mangocross_policy::RetryBudget;
use mangocross_settings::GatewaySettings;
use mangocross_telemetry::Tracing;
use mangocross_types::Clock;
use mangocross_types::Configuration;
use mangocross_types::Refusal;
use mangocross_types::RequestId;
use mangocross_types::ResultCode;
use mangocross_types::ServiceId;
use mangocross_types::VmId;
use peer_engine::EngineClient;
use peer_service::ServiceClient;
use peer_store::HttpStore;

use crate::admission::AdmissionControl;
use crate::failures::FailureQueue;
use crate::metrics::GatewayMetrics;
use crate::retry_after::jittered;
use crate::routing::Routing;
use crate::stop_time::StopTime;

/// Minimum retry delay after a refusal because the configuration may be stale.
const FRESHNESS_RETRY: Duration = Duration::from_secs(2);

/// How long a report that a VM is leaving stays valid; longer than the lag of the platform's list
/// of VMs.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);
/// Time after which a backend server that no coordinator lists any more is removed.
const SERVER_RETENTION: Duration = Duration::from_secs(30);
/// Time limit of a store call for a claim; short, since a caller waits for it.
const CLAIM_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// State shared by the gateway's threads.
#[derive(Debug)]
pub(crate) struct GatewayState {
    pub(crate) settings: GatewaySettings,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) process_id: u64,
    pub(crate) claims: ClaimLog,
    pub(crate) engines: EngineClient,
    pub(crate) services: ServiceClient,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) tracing: Tracing,
    /// Whether a planned stop has begun; requests are served until the load balancer reacts.
    pub(crate) stopping: AtomicBool,
    /// Whether new requests are refused, once the load balancer has had time to react to the stop.
    pub(crate) refusing: AtomicBool,
    /// By when requests in flight are answered during a planned stop.
    pub(crate) stop_time: StopTime,
    pub(crate) failures: FailureQueue,
    pub(crate) node_configuration: Arc<NodeConfiguration>,
    pub(crate) health_leases: Arc<Mutex<HealthLeaseTable>>,
    pub(crate) leaving: Mutex<LeavingTable>,
    pub(crate) service_servers: Mutex<ServiceTable>,
    pub(crate) admission: AdmissionControl,
    pub(crate) routing: Routing,
    pub(crate) retry_budget: Mutex<RetryBudget>,
}

impl GatewayState {
    pub(crate) fn open(settings: GatewaySettings, clock: Arc<dyn Clock>) -> Result<Self, String> {
        let key = settings.peer_secret.parse()?;
        let freshness_lease = Duration::from_millis(settings.freshness_lease_ms);
        let node_configuration =
            NodeConfiguration::open(settings.vm.clone(), key, freshness_lease, clock.now());
        // `first_token_ms` is twice the objective of the time to the first token.
        let first_token_target = Duration::from_millis(settings.first_token_ms) / 2;
        let routing = Routing::new(settings.group_in_flight_start, first_token_target);
        let store = Arc::new(HttpStore::open(settings.store).timeout(CLAIM_CALL_TIMEOUT));
        let claims = ClaimLog::spawn(store, Arc::clone(&clock), ClaimLimits::default());
        let metrics = GatewayMetrics::open(Duration::from_millis(settings.metrics_log_ms));
        let vm = settings.vm.as_str();
        let tracing = Tracing::start("mangocross-gateway", vm, settings.trace_share);
        Ok(Self {
            claims: claims.map_err(|it| format!("failed to start the claim thread: {it}"))?,
            settings,
            clock,
            process_id: fastrand::u64(..),
            engines: EngineClient::open(),
            services: ServiceClient::open(),
            metrics,
            tracing,
            stopping: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            stop_time: StopTime::default(),
            failures: FailureQueue::default(),
            node_configuration: Arc::new(node_configuration),
            health_leases: Arc::default(),
            leaving: Mutex::new(LeavingTable::new(LEAVING_RETENTION)),
            service_servers: Mutex::new(ServiceTable::new(SERVER_RETENTION)),
            admission: AdmissionControl::default(),
            routing,
            retry_budget: Mutex::new(RetryBudget::default()),
        })
    }

    /// Returns a predicate that is true until the last answers of a planned stop are to be sent.
    pub(crate) fn until_last_answers(&self) -> impl Fn() -> bool + Send + Sync + use<> {
        let (stop_time, clock) = (self.stop_time.clone(), Arc::clone(&self.clock));
        move || !stop_time.is_over(clock.now())
    }

    pub(crate) fn configuration(&self) -> Arc<Configuration> {
        self.node_configuration.current()
    }

    /// Returns the refusal for all requests if the configuration does not permit serving now.
    pub(crate) fn freshness_refusal(&self) -> Option<Refusal> {
        let own = &self.settings.vm;
        let text = match self.node_configuration.permit(self.clock.now()) {
            Permit::Serve { .. } => return None,
            Permit::Behind { newest } => format!("configuration {newest} is not in force here yet"),
            Permit::Unlisted => format!("the configuration in force does not name entry VM {own}"),
            Permit::NoQuorum { valid_leases, needed } => format!(
                "neither the store nor enough entry VMs ({valid_leases} of {needed}) vouch for the configuration"
            ),
        };
        let refusal = Refusal::not_run(ResultCode::NotFresh, text);
        Some(refusal.retry_after(jittered(FRESHNESS_RETRY)))
    }

    /// Returns the backend servers of a service whose VMs are not leaving.
    pub(crate) fn available_servers(
        &self,
        service: &ServiceId,
        configured: &[SocketAddr],
    ) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let configuration = self.configuration();
        let leaving = lock(&self.leaving);
        let is_leaving =
            |vm: &VmId| leaving.is_leaving(vm, now) || configuration.leaving_vms.contains(vm);
        lock(&self.service_servers).available(service, configured, is_leaving, now)
    }

    /// Records a refusal, so that operators can look up why a request failed.
    pub(crate) fn record_failure(&self, request: &RequestId, refusal: &Refusal) {
        self.failures.record(request, refusal, self.clock.wall());
    }
}

/// Locks a mutex and ignores poisoning, since every statement leaves the value consistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
