//! The gateway's metrics.

use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use mangocross_telemetry::Metrics;
use mangocross_types::ResultCode;
use mangocross_types::RunOutcome;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use peer_entry::Poller;

use crate::handler::Incoming;
use crate::state::GatewayState;
use crate::state::lock;

/// Bounds of the time to the first token, in seconds; the promise is 1.6 s.
const FIRST_TOKEN_BOUNDS_S: [f64; 9] = [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];
/// Bounds of the time between tokens, in seconds; the promise is 74 ms.
const TOKEN_GAP_BOUNDS_S: [f64; 9] = [0.005, 0.01, 0.02, 0.037, 0.074, 0.148, 0.296, 0.74, 1.48];

/// The gateway's metrics.
#[derive(Debug)]
pub(crate) struct GatewayMetrics {
    metrics: Metrics,
    requests: Counter<u64>,
    retries: Counter<u64>,
    first_token: Histogram<f64>,
    token_gap: Histogram<f64>,
}

impl GatewayMetrics {
    /// Creates the instruments; totals go to the log each interval.
    pub(crate) fn open(interval: Duration) -> Self {
        let metrics = Metrics::open(interval);
        let meter = metrics.meter();
        let seconds = |name: &'static str, text: &'static str, bounds: &[f64]| {
            let histogram = meter.f64_histogram(name).with_description(text);
            histogram.with_boundaries(bounds.to_vec()).build()
        };
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        Self {
            requests: counter("requests", "Requests ended, by what the caller was told"),
            retries: counter("retries", "Attempts after the first one of a request"),
            first_token: seconds(
                "first_token_seconds",
                "Time from an attempt's start to its first token",
                &FIRST_TOKEN_BOUNDS_S,
            ),
            token_gap: seconds("token_gap_seconds", "Time between tokens", &TOKEN_GAP_BOUNDS_S),
            metrics,
        }
    }

    /// Returns all metrics as text.
    pub(crate) fn text(&self) -> String {
        self.metrics.text()
    }

    /// Counts the end of a request; `code` is `None` for an answer.
    pub(crate) fn ended(
        &self,
        incoming: Option<&Incoming>,
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
    pub(crate) fn retried(&self) {
        self.retries.add(1, &[]);
    }

    /// Records the time to a first token.
    pub(crate) fn first_token(&self, time: Duration) {
        self.first_token.record(time.as_secs_f64(), &[]);
    }

    /// Records the time between two tokens.
    pub(crate) fn token_gap(&self, time: Duration) {
        self.token_gap.record(time.as_secs_f64(), &[]);
    }
}

/// Adds what is read from the state whenever metrics are collected.
pub(crate) fn observe(state: &Arc<GatewayState>, poller: &Arc<Poller>) {
    let meter = state.metrics.metrics.meter();
    let gauge = |name: &'static str, text: &'static str, read: fn(&GatewayState) -> u64| {
        let state = Arc::downgrade(state);
        let gauge = meter.u64_observable_gauge(name).with_description(text);
        let observe = move |it: &dyn opentelemetry::metrics::AsyncInstrument<u64>| {
            if let Some(state) = Weak::upgrade(&state) {
                it.observe(read(&state), &[]);
            }
        };
        gauge.with_callback(observe).build();
    };
    gauge("requests_in_flight", "Requests taken and not ended", |it| {
        let usage = it.admitting.usage(&it.configuration(), it.clock.now());
        usage.iter().map(|it| u64::from(it.in_flight)).sum()
    });
    gauge("proofs_held", "Groups proven complete here", |it| {
        lock(&it.proofs).proven(it.clock.now()).count() as u64
    });
    gauge("configuration_revision", "Revision in force here", |it| it.node.in_force().0);
    gauge("configuration_revision_known", "Newest revision heard of", |it| {
        it.node.newest_known().0
    });
    gauge("ready", "Whether requests are served here", |it| u64::from(it.refusal().is_none()));
    let poller = Arc::downgrade(poller);
    let dropped = meter.u64_observable_counter("frames_dropped");
    dropped
        .with_description("Frames of other entry VMs that were damaged, unknown or too old")
        .with_callback(move |it| {
            if let Some(poller) = poller.upgrade() {
                it.observe(poller.dropped_frames(), &[]);
            }
        })
        .build();
}
