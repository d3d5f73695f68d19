//! Counters and histograms of the process.

use std::time::Duration;

use mangocross_telemetry::Metrics;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;

use crate::front::Front;

/// Upper bounds of the buckets of times, in seconds.
const SECONDS: [f64; 12] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0];
/// Time between totals in the log.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What the process counts.
#[derive(Debug)]
pub(crate) struct FrontMetrics {
    metrics: Metrics,
    requests: Counter<u64>,
    attempts: Counter<u64>,
    resumes: Counter<u64>,
    probes: Counter<u64>,
    orders: Counter<u64>,
    first_byte: Histogram<f64>,
    gaps: Histogram<f64>,
    watches: Histogram<f64>,
}

impl FrontMetrics {
    pub(crate) fn open() -> Self {
        let metrics = Metrics::open(LOG_INTERVAL);
        Self {
            requests: metrics.counter("front_requests", "requests of callers by status and code"),
            attempts: metrics.counter("front_attempts", "requests sent to backend servers"),
            resumes: metrics.counter("front_resumes", "streams that another group went on with"),
            probes: metrics.counter("front_probes", "questions for a server's state"),
            orders: metrics.counter("front_orders", "orders to servers"),
            first_byte: metrics.seconds("front_first_byte_seconds", "time to an answer", &SECONDS),
            gaps: metrics.seconds("front_event_gap_seconds", "pauses between events", &SECONDS),
            watches: metrics.seconds("front_store_watch_seconds", "watches of the store", &SECONDS),
            metrics,
        }
    }

    pub(crate) fn ended(&self, status: u16, code: u16) {
        let labels =
            [KeyValue::new("status", i64::from(status)), KeyValue::new("code", i64::from(code))];
        self.requests.add(1, &labels);
    }

    pub(crate) fn attempt(&self) {
        self.attempts.add(1, &[]);
    }

    pub(crate) fn resume(&self) {
        self.resumes.add(1, &[]);
    }

    pub(crate) fn probe(&self) {
        self.probes.add(1, &[]);
    }

    pub(crate) fn order(&self) {
        self.orders.add(1, &[]);
    }

    pub(crate) fn first_byte(&self, after: Duration) {
        self.first_byte.record(after.as_secs_f64(), &[]);
    }

    pub(crate) fn gap(&self, gap: Duration) {
        self.gaps.record(gap.as_secs_f64(), &[]);
    }

    pub(crate) fn store_watch(&self, took: Duration) {
        self.watches.record(took.as_secs_f64(), &[]);
    }

    /// Returns all values as text, one a line.
    pub(crate) fn text(&self, front: &Front) -> String {
        let now = front.now();
        let beliefs = front.beliefs.borrow();
        let age_ms = beliefs.freshness.age(now).map_or(-1, |it| it.as_millis() as i64);
        let version = beliefs.configuration.as_ref().map_or(0, |it| it.version);
        format!(
            "{}front_configuration_age_milliseconds {age_ms}\nfront_configuration_version {version}\n\
             front_backend_servers {}\nfront_entry_vms {}\nfront_requests_in_progress {}\n",
            self.metrics.text(),
            beliefs.servers.len(),
            beliefs.peers.len(),
            front.requests_in_progress.get(),
        )
    }
}
