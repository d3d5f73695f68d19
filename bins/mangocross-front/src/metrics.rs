//! Metrics of the process.

use std::collections::BTreeMap;
use std::time::Duration;

use mangocross_serving::CrashCause;
use mangocross_serving::MemberPhase;
use mangocross_serving::StreamClass;
use mangocross_telemetry::Metrics;
use mangocross_types::Rank;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;

use crate::state::AppState;
use crate::state::ClusterView;
use crate::zone_traffic::ZoneTraffic;

/// Upper bounds of the histogram buckets, in seconds.
const BUCKET_BOUNDS_SECONDS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0];
/// Time between totals in the log.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Counters, histograms and gauges.
#[derive(Debug)]
pub(crate) struct FrontMetrics {
    metrics: Metrics,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    resumes: Counter<u64>,
    quarantined: Counter<u64>,
    passed_on: Counter<u64>,
    not_admitted: Counter<u64>,
    connections: Counter<u64>,
    pub(crate) zone_traffic: ZoneTraffic,
    closed_connections: Counter<u64>,
    store_eras: Counter<u64>,
    probes: Counter<u64>,
    orders: Counter<u64>,
    first_byte: Histogram<f64>,
    event_gaps: Histogram<f64>,
    store_call_seconds: Histogram<f64>,
    gauges: Gauges,
}

/// Gauges, recorded from the current state.
#[derive(Debug)]
struct Gauges {
    configuration_age: Gauge<f64>,
    configuration_version: Gauge<f64>,
    configuration_unreadable: Gauge<f64>,
    configuration_unreadable_parts: Gauge<f64>,
    backend_servers: Gauge<f64>,
    held_servers: Gauge<f64>,
    groups: Gauge<f64>,
    entry_vms: Gauge<f64>,
    evacuated_zones: Gauge<f64>,
    follows_store: Gauge<f64>,
    cut_off: Gauge<f64>,
    quarantined_parts: Gauge<f64>,
    quarantined_requests: Gauge<f64>,
    requests_in_progress: Gauge<f64>,
    requests_waiting: Gauge<f64>,
    leaving_share: Gauge<f64>,
    retries_left: Gauge<f64>,
    capacity_short: Gauge<f64>,
    admission_ratio: Gauge<f64>,
    held_bytes: Gauge<f64>,
}

impl FrontMetrics {
    pub(crate) fn open() -> Self {
        let metrics = Metrics::start(LOG_INTERVAL);
        Self {
            requests: metrics.counter("front_requests", "requests of callers by status and code"),
            attempts: metrics.counter("front_attempts", "requests sent to backend servers"),
            resumes: metrics.counter("front_resumes", "streams that another group went on with"),
            quarantined: metrics.counter(
                "front_quarantined",
                "requests not sent since they or a part of their prompt crash servers",
            ),
            passed_on: metrics.counter("front_passed_on", "requests passed on to other entry VMs"),
            not_admitted: metrics.counter(
                "front_not_admitted",
                "streams refused at once since other streams need the capacity",
            ),
            connections: metrics.counter(
                "front_connections",
                "connections to backend servers that were opened or used again",
            ),
            closed_connections: metrics.counter(
                "front_closed_connections",
                "connections closed by this VM by port and exceeded limit",
            ),
            store_eras: metrics
                .counter("front_store_eras", "returns of the store to an older copy of itself"),
            probes: metrics.counter("front_probes", "questions for a server's state"),
            orders: metrics.counter("front_orders", "orders to servers"),
            first_byte: metrics.seconds_histogram(
                "front_first_byte_seconds",
                "time to an answer",
                &BUCKET_BOUNDS_SECONDS,
            ),
            event_gaps: metrics.seconds_histogram(
                "front_event_gap_seconds",
                "pauses between events",
                &BUCKET_BOUNDS_SECONDS,
            ),
            store_call_seconds: metrics.seconds_histogram(
                "front_store_call_seconds",
                "calls of the store; a watch waits for changes",
                &BUCKET_BOUNDS_SECONDS,
            ),
            zone_traffic: ZoneTraffic::open(&metrics),
            gauges: Gauges::open(&metrics),
            metrics,
        }
    }

    pub(crate) fn record_request(&self, status: u16, code: u16) {
        let labels =
            [KeyValue::new("status", i64::from(status)), KeyValue::new("code", i64::from(code))];
        self.requests.add(1, &labels);
    }

    pub(crate) fn count_attempt(&self) {
        self.attempts.add(1, &[]);
    }

    pub(crate) fn count_resume(&self) {
        self.resumes.add(1, &[]);
    }

    pub(crate) fn count_quarantined(&self) {
        self.quarantined.add(1, &[]);
    }

    pub(crate) fn count_passed_on(&self) {
        self.passed_on.add(1, &[]);
    }

    pub(crate) fn count_not_admitted(&self, class: StreamClass, reason: &'static str) {
        let labels = [
            KeyValue::new("priority", i64::from(class.priority)),
            KeyValue::new("timing", class.timing.name()),
            KeyValue::new("reason", reason),
        ];
        self.not_admitted.add(1, &labels);
    }

    /// Counts a connection to a server, opened or used again.
    pub(crate) fn count_connection(&self, is_reused: bool) {
        let kind = if is_reused { "reused" } else { "new" };
        self.connections.add(1, &[KeyValue::new("kind", kind)]);
    }

    pub(crate) fn count_closed_connection(&self, port: &'static str, reason: &'static str) {
        let labels = [KeyValue::new("port", port), KeyValue::new("reason", reason)];
        self.closed_connections.add(1, &labels);
    }

    pub(crate) fn count_new_era(&self) {
        self.store_eras.add(1, &[]);
    }

    pub(crate) fn count_probe(&self) {
        self.probes.add(1, &[]);
    }

    pub(crate) fn count_order(&self) {
        self.orders.add(1, &[]);
    }

    pub(crate) fn record_first_byte(&self, after: Duration) {
        self.first_byte.record(after.as_secs_f64(), &[]);
    }

    pub(crate) fn record_event_gap(&self, gap: Duration) {
        self.event_gaps.record(gap.as_secs_f64(), &[]);
    }

    /// Returns the histogram of the durations of store calls.
    pub(crate) fn store_call_seconds(&self) -> Histogram<f64> {
        self.store_call_seconds.clone()
    }

    /// Records the current values of the gauges.
    pub(crate) fn record_gauges(&self, state: &AppState) {
        self.gauges.record(state);
    }

    /// Updates the gauges and returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self, state: &AppState) -> String {
        self.record_gauges(state);
        self.metrics.text()
    }
}

impl Gauges {
    fn open(metrics: &Metrics) -> Self {
        Self {
            configuration_age: metrics.gauge(
                "front_configuration_age_seconds",
                "age of the proof that the configuration is the newest; absent before the first",
            ),
            configuration_version: metrics
                .gauge("front_configuration_version", "version of the configuration in force"),
            configuration_unreadable: metrics.gauge(
                "front_configuration_unreadable",
                "1 if the newest configuration cannot be read and requests are refused, else 0",
            ),
            configuration_unreadable_parts: metrics.gauge(
                "front_configuration_unreadable_parts",
                "parts of the configuration in force that cannot be read",
            ),
            backend_servers: metrics.gauge("front_backend_servers", "backend servers listed"),
            held_servers: metrics.gauge(
                "front_held_servers",
                "listed servers that get no requests from this VM, or few, by what their answers said",
            ),
            groups: metrics.gauge("front_groups", "groups by the state that their heads tell"),
            entry_vms: metrics.gauge("front_entry_vms", "entry VMs listed, this one included"),
            evacuated_zones: metrics.gauge(
                "front_evacuated_zone",
                "1 if the servers of the zone get no requests since it is evacuated, else 0",
            ),
            follows_store: metrics.gauge(
                "front_follows_store",
                "1 if this VM follows the store itself and may relay its changes, else 0",
            ),
            cut_off: metrics.gauge("front_cut_off", "1 if this VM reaches no server, else 0"),
            quarantined_parts: metrics
                .gauge("front_quarantined_parts", "parts of prompts that crash servers"),
            quarantined_requests: metrics
                .gauge("front_quarantined_requests", "requests that crash servers"),
            requests_in_progress: metrics
                .gauge("front_requests_in_progress", "requests of callers in progress"),
            requests_waiting: metrics.gauge(
                "front_requests_waiting",
                "requests sent from this VM that wait for their first byte",
            ),
            leaving_share: metrics.gauge(
                "front_leaving_share",
                "share of the zone's requests that is sent to another zone, by service, model and zone",
            ),
            retries_left: metrics
                .gauge("front_retries_left", "repeats that this VM may still make, by service"),
            capacity_short: metrics.gauge(
                "front_capacity_short",
                "1 if the streams for a model exceed the capacity of its groups, else 0",
            ),
            admission_ratio: metrics
                .gauge("front_admission_ratio", "share of a class's streams that is admitted"),
            held_bytes: metrics.gauge(
                "front_held_bytes",
                "bytes charged to callers and entry VMs, of the byte budget",
            ),
        }
    }

    fn record(&self, state: &AppState) {
        let now = state.now();
        for (service, left) in state.retries_left() {
            self.retries_left.record(left, &[KeyValue::new("service", service.to_string())]);
        }
        self.held_bytes.record(state.budget.used() as f64, &[]);
        let view = state.view.borrow();
        for (key, zone, share) in view.zones.shares() {
            let model = key.model.as_ref().map(ToString::to_string).unwrap_or_default();
            let labels = [
                KeyValue::new("service", key.service.to_string()),
                KeyValue::new("model", model),
                KeyValue::new("zone", zone.to_string()),
            ];
            self.leaving_share.record(share, &labels);
        }
        if let Some(age) = view.freshness.age(now) {
            self.configuration_age.record(age.as_secs_f64(), &[]);
        }
        if let Some(configuration) = &view.configuration {
            self.configuration_version.record(configuration.version as f64, &[]);
            let unreadable_parts = configuration.unreadable.reasons.len();
            self.configuration_unreadable_parts.record(unreadable_parts as f64, &[]);
        }
        let is_unreadable = view.freshness.lacks_newest();
        self.configuration_unreadable.record(f64::from(u8::from(is_unreadable)), &[]);
        self.backend_servers.record(view.servers.len() as f64, &[]);
        for (reason, count) in view.held_servers(now) {
            self.held_servers.record(count as f64, &[KeyValue::new("reason", reason)]);
        }
        for (phase, count) in view.groups_by_phase() {
            self.groups.record(count as f64, &[KeyValue::new("state", phase)]);
        }
        for (zone, is_evacuated) in view.zones() {
            let labels = [KeyValue::new("zone", zone.to_string())];
            self.evacuated_zones.record(f64::from(u8::from(is_evacuated)), &labels);
        }
        self.entry_vms.record(view.entry_vms.len() as f64, &[]);
        let follows_store = state.relay.is_following.get();
        self.follows_store.record(f64::from(u8::from(follows_store)), &[]);
        self.cut_off.record(f64::from(u8::from(view.reach.is_cut_off())), &[]);
        self.requests_in_progress.record(state.requests_in_progress.get() as f64, &[]);
        let (requests, parts): (Vec<_>, Vec<_>) =
            view.blame.quarantined().partition(CrashCause::is_request);
        self.quarantined_parts.record(parts.len() as f64, &[]);
        self.quarantined_requests.record(requests.len() as f64, &[]);
        for (key, it) in view.competition.models() {
            let model = KeyValue::new("model", key.model.to_string());
            let labels = [model, KeyValue::new("service", key.service.to_string())];
            self.capacity_short.record(f64::from(u8::from(it.is_short(now))), &labels);
            for (class, ratio) in it.class_ratios(now) {
                let [model, service] = labels.clone();
                let priority = KeyValue::new("priority", i64::from(class.priority));
                let timing = KeyValue::new("timing", class.timing.name());
                self.admission_ratio.record(ratio, &[model, service, priority, timing]);
            }
        }
        let waiting: u32 = view.loads.local().values().map(|it| it.waiting).sum();
        self.requests_waiting.record(f64::from(waiting), &[]);
    }
}

impl ClusterView {
    /// Returns the number of groups in each state, as reported by their heads.
    fn groups_by_phase(&self) -> BTreeMap<&'static str, usize> {
        let phases = [
            MemberPhase::Joining,
            MemberPhase::Ready,
            MemberPhase::Open,
            MemberPhase::Closing,
            MemberPhase::Broken,
        ];
        let mut counts: BTreeMap<_, _> = phases.map(|it| (it.name(), 0)).into();
        let memberships = self.servers.values().filter_map(|it| it.engine.membership.as_ref());
        for head in memberships.filter(|it| it.rank == Rank(0)) {
            *counts.entry(head.phase.name()).or_default() += 1;
        }
        counts
    }
}
