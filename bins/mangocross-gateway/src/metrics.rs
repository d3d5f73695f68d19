//! The gateway's metrics.

use std::sync::Arc;
use std::time::Duration;

use mangocross_claims::ClaimCounts;
use mangocross_http::ByteBudget;
use mangocross_policy::PrefixResidency;
use mangocross_telemetry::Metrics;
use mangocross_telemetry::Sample;
use mangocross_types::ResultCode;
use mangocross_types::RunOutcome;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use peer_entry::DropReason;
use peer_entry::Poller;

use crate::handler::ValidatedRequest;
use crate::state::GatewayState;
use crate::state::lock;

/// Histogram bounds of the time to the first token, in seconds; the objective is 1.6 s.
const FIRST_TOKEN_BOUNDS_S: [f64; 9] = [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];
/// Histogram bounds of the time between tokens, in seconds; the objective is 74 ms.
const TOKEN_GAP_BOUNDS_S: [f64; 9] = [0.005, 0.01, 0.02, 0.037, 0.074, 0.148, 0.296, 0.74, 1.48];

#[derive(Debug)]
pub(crate) struct GatewayMetrics {
    metrics: Metrics,
    requests: Counter<u64>,
    retries: Counter<u64>,
    claims: Counter<u64>,
    attempts: Counter<u64>,
    first_token: Histogram<f64>,
    token_gap: Histogram<f64>,
}

impl GatewayMetrics {
    /// Creates the instruments; totals are logged at each interval.
    pub(crate) fn open(interval: Duration) -> Self {
        let metrics = Metrics::start(interval);
        Self {
            requests: metrics.counter("requests", "Requests ended, by what the caller was told"),
            retries: metrics.counter("retries", "Attempts after the first one of a request"),
            claims: metrics.counter("claims", "Claims asked for, by what the attempt was told"),
            attempts: metrics
                .counter("attempts", "Attempts at groups, by what was known of the prefix there"),
            first_token: metrics.seconds_histogram(
                "first_token_seconds",
                "Time from an attempt's start to its first token",
                &FIRST_TOKEN_BOUNDS_S,
            ),
            token_gap: metrics.seconds_histogram(
                "token_gap_seconds",
                "Time between tokens",
                &TOKEN_GAP_BOUNDS_S,
            ),
            metrics,
        }
    }

    /// Returns all metrics in the text exposition format.
    pub(crate) fn text(&self) -> String {
        self.metrics.text()
    }

    /// Counts the end of a request; `code` is `None` for an answer.
    pub(crate) fn record_end(
        &self,
        incoming: Option<&ValidatedRequest>,
        outcome: RunOutcome,
        code: Option<ResultCode>,
    ) {
        let customer = incoming.map_or("", |it| it.headers.customer.as_str());
        let kind = incoming.map_or("", |it| it.kind.id.as_str());
        let code = code.map_or(0, ResultCode::number);
        let attributes = [
            KeyValue::new("customer", customer.to_owned()),
            KeyValue::new("kind", kind.to_owned()),
            KeyValue::new("outcome", outcome.as_str()),
            KeyValue::new("code", i64::from(code)),
        ];
        self.requests.add(1, &attributes);
    }

    /// Counts an attempt after the first one.
    pub(crate) fn record_retry(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts an attempt at a group.
    pub(crate) fn record_attempt(&self, prefix: PrefixResidency) {
        let prefix = match prefix {
            PrefixResidency::Unknown => "unknown",
            PrefixResidency::Assumed => "guessed",
            PrefixResidency::Confirmed => "told",
        };
        self.attempts.add(1, &[KeyValue::new("prefix", prefix)]);
    }

    /// Counts an attempted claim under its outcome.
    pub(crate) fn record_claim(&self, outcome: &'static str) {
        self.claims.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the time from the start of an attempt to its first token.
    pub(crate) fn record_first_token(&self, time: Duration) {
        self.first_token.record(time.as_secs_f64(), &[]);
    }

    /// Records the time between two tokens.
    pub(crate) fn record_token_gap(&self, time: Duration) {
        self.token_gap.record(time.as_secs_f64(), &[]);
    }
}

/// Registers the metrics that are read from the state at each collection.
pub(crate) fn register(state: &Arc<GatewayState>, poller: &Arc<Poller>) {
    let metrics = &state.metrics.metrics;
    let gauge = |name: &'static str, text: &'static str, read: fn(&GatewayState) -> u64| {
        let state = Arc::downgrade(state);
        let read = move || state.upgrade().map(|it| Sample::new(read(&it))).into_iter().collect();
        metrics.observable_gauge(name, text, read);
    };
    gauge("requests_in_flight", "Requests taken and not ended", |it| {
        let usage = it.admission.usage(&it.configuration(), it.clock.now());
        usage.iter().map(|it| u64::from(it.in_flight)).sum()
    });
    gauge("proofs_held", "Groups proven complete here", |it| {
        lock(&it.health_leases).valid(it.clock.now()).count() as u64
    });
    gauge("configuration_revision", "Revision in force here", |it| {
        it.node_configuration.in_force_revision().0
    });
    gauge("configuration_revision_known", "Newest revision heard of", |it| {
        it.node_configuration.newest_known().0
    });
    gauge("ready", "Whether requests are served here", |it| {
        u64::from(it.freshness_refusal().is_none())
    });
    gauge("prefixes_told", "Prefixes that caches of groups say they hold", |it| {
        it.routing.cache_events().cached_prefixes
    });
    gauge("claim_operations_open", "Claims, records and releases that wait for the store", |it| {
        it.claims.counts().open
    });
    let claiming = Arc::downgrade(state);
    metrics.observable_counter(
        "claim_store_calls",
        "Calls of the store for claims, by kind and outcome",
        {
            move || {
                claiming
                    .upgrade()
                    .map(|it| claim_store_calls(&it.claims.counts()))
                    .unwrap_or_default()
            }
        },
    );
    let total = |name: &'static str, text: &'static str, read: fn(&GatewayState) -> u64| {
        let state = Arc::downgrade(state);
        let read = move || state.upgrade().map(|it| Sample::new(read(&it))).into_iter().collect();
        metrics.observable_counter(name, text, read);
    };
    total("cache_events", "Cache events of groups that were taken in", |it| {
        it.routing.cache_events().applied
    });
    total("cache_event_gaps", "Times that cache events of a group were missing", |it| {
        it.routing.cache_events().gaps
    });
    total("claim_operations_deferred", "Records and releases put off, each try counted", |it| {
        it.claims.counts().deferred
    });
    let poller = Arc::downgrade(poller);
    let text = "Frames of other entry VMs that were dropped, by reason";
    metrics.observable_counter("frames_dropped", text, move || {
        poller.upgrade().map(|it| dropped_frames(&it)).unwrap_or_default()
    });
}

/// Registers the metrics of the budget of bytes that are buffered for callers.
pub(crate) fn register_budget(state: &GatewayState, budget: &ByteBudget) {
    let metrics = &state.metrics.metrics;
    let held = budget.clone();
    metrics.observable_gauge("held_bytes", "Bytes charged to callers", move || {
        vec![Sample::new(held.used() as u64)]
    });
    let budget = budget.clone();
    metrics.observable_counter(
        "closed_connections",
        "Connections closed by this process, by exceeded limit",
        move || vec![Sample::new(budget.closed()).label("reason", "memory")],
    );
}

fn claim_store_calls(counts: &ClaimCounts) -> Vec<Sample> {
    let written = counts.swaps.saturating_sub(counts.conflicts);
    vec![
        Sample::new(counts.reads).label("kind", "read").label("outcome", "ok"),
        Sample::new(written).label("kind", "write").label("outcome", "ok"),
        Sample::new(counts.conflicts).label("kind", "write").label("outcome", "conflict"),
        Sample::new(counts.failures).label("kind", "any").label("outcome", "failed"),
    ]
}

fn dropped_frames(poller: &Poller) -> Vec<Sample> {
    let count = |it: DropReason| Sample::new(poller.dropped_for(it)).label("reason", it.as_str());
    DropReason::ALL.map(count).into()
}
