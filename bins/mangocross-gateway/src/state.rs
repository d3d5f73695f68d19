//! What the gateway's threads share.

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

use crate::admitting::Admitting;
use crate::failures::FailureLog;
use crate::metrics::GatewayMetrics;
use crate::retry_after::spread;
use crate::routing::Routing;

/// When to come back after a refusal because the configuration may be old.
const FRESHNESS_RETRY: Duration = Duration::from_secs(2);

/// How long a report that a VM is leaving counts; longer than the platform's list lags.
const LEAVING_KEPT: Duration = Duration::from_secs(600);
/// Time after which a backend server that no coordinator lists any more is forgotten.
const SERVER_KEPT: Duration = Duration::from_secs(30);
/// Time for a call to the store on a claim's way; a caller waits for it.
const CLAIM_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// What the gateway's threads share.
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
    /// Whether a planned stop has begun; requests are still served while the balancer notices.
    pub(crate) stopping: AtomicBool,
    /// Whether new requests are refused, as the balancer has had time to notice the stop.
    pub(crate) refusing: AtomicBool,
    pub(crate) failures: FailureLog,
    pub(crate) node: Arc<NodeConfiguration>,
    pub(crate) proofs: Arc<Mutex<HealthLeaseTable>>,
    pub(crate) leaving: Mutex<LeavingTable>,
    pub(crate) service_servers: Mutex<ServiceTable>,
    pub(crate) admitting: Admitting,
    pub(crate) routing: Routing,
    pub(crate) retry_budget: Mutex<RetryBudget>,
}

impl GatewayState {
    pub(crate) fn open(settings: GatewaySettings, clock: Arc<dyn Clock>) -> Result<Self, String> {
        let key = settings.peer_secret.parse()?;
        let vouch = Duration::from_millis(settings.freshness_lease_ms);
        let node = NodeConfiguration::open(settings.vm.clone(), key, vouch, clock.now());
        let first_token_target = Duration::from_millis(settings.first_token_ms) / 2;
        let routing = Routing::new(settings.group_in_flight_start, first_token_target);
        let store = Arc::new(HttpStore::open(settings.store).timeout(CLAIM_CALL_TIMEOUT));
        let claims = ClaimLog::spawn(store, Arc::clone(&clock), ClaimLimits::default());
        let metrics = GatewayMetrics::open(Duration::from_millis(settings.metrics_log_ms));
        let vm = settings.vm.as_str();
        let tracing = Tracing::start("mangocross-gateway", vm, settings.trace_share);
        Ok(Self {
            claims: claims.map_err(|it| format!("no thread for claims: {it}"))?,
            settings,
            clock,
            process_id: fastrand::u64(..),
            engines: EngineClient::open(),
            services: ServiceClient::open(),
            metrics,
            tracing,
            stopping: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            failures: FailureLog::default(),
            node: Arc::new(node),
            proofs: Arc::default(),
            leaving: Mutex::new(LeavingTable::new(LEAVING_KEPT)),
            service_servers: Mutex::new(ServiceTable::new(SERVER_KEPT)),
            admitting: Admitting::default(),
            routing,
            retry_budget: Mutex::new(RetryBudget::default()),
        })
    }

    pub(crate) fn configuration(&self) -> Arc<Configuration> {
        self.node.current()
    }

    /// Returns why no request may be served now, if so.
    pub(crate) fn refusal(&self) -> Option<Refusal> {
        let own = &self.settings.vm;
        let text = match self.node.permit(self.clock.now()) {
            Permit::Serve { .. } => return None,
            Permit::Behind { newest } => format!("configuration {newest} is not in force here yet"),
            Permit::Unlisted => format!("the configuration in force does not name entry VM {own}"),
            Permit::NoQuorum { valid_leases, needed } => format!(
                "neither the store nor enough entry VMs ({valid_leases} of {needed}) vouch for the configuration"
            ),
        };
        let refusal = Refusal::not_run(ResultCode::NotFresh, text);
        Some(refusal.retry_after(spread(FRESHNESS_RETRY)))
    }

    /// Returns those backend servers of a service that are not leaving.
    pub(crate) fn staying_servers(
        &self,
        service: &ServiceId,
        specified: &[SocketAddr],
    ) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let configuration = self.configuration();
        let leaving = lock(&self.leaving);
        let is_leaving =
            |vm: &VmId| leaving.is_leaving(vm, now) || configuration.leaving_vms.contains(vm);
        lock(&self.service_servers).available(service, specified, is_leaving, now)
    }

    /// Remembers what a caller was told, for operators who ask why.
    pub(crate) fn record_failure(&self, request: &RequestId, refusal: &Refusal) {
        self.failures.record(request, refusal, self.clock.wall());
    }
}

/// Locks a mutex; each value is whole after every statement that changes it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
