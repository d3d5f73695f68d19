//! Metrics, exported as text and to the log.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use opentelemetry::metrics::AsyncInstrument;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::metrics::PeriodicReader;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use opentelemetry_sdk::metrics::Temporality;
use opentelemetry_sdk::metrics::data::ResourceMetrics;
use opentelemetry_sdk::metrics::exporter::PushMetricExporter;

use crate::Sample;
use crate::metrics_text::render;

/// How much earlier than the interval a periodic collection may run and still be logged.
const LOG_INTERVAL_TOLERANCE: Duration = Duration::from_millis(50);

/// The metrics of a process.
///
/// They are collected at an interval, and whenever [`Metrics::text`] is called.
#[derive(Debug)]
pub struct Metrics {
    provider: SdkMeterProvider,
    text: Arc<Mutex<String>>,
}

impl Metrics {
    /// Starts collecting; the totals are logged once per interval.
    pub fn start(interval: Duration) -> Self {
        let text = Arc::new(Mutex::new(String::new()));
        let logged_at = Mutex::new(Instant::now());
        let exporter = TextExporter { text: Arc::clone(&text), interval, logged_at };
        let reader = PeriodicReader::builder(exporter).with_interval(interval).build();
        let provider = SdkMeterProvider::builder().with_reader(reader).build();
        Self { provider, text }
    }

    fn meter(&self) -> Meter {
        self.provider.meter("mangocross")
    }

    /// Creates a counter.
    pub fn counter(&self, name: &'static str, description: &'static str) -> Counter<u64> {
        self.meter().u64_counter(name).with_description(description).build()
    }

    /// Creates a histogram of durations, with the upper bounds of its buckets in seconds.
    pub fn seconds_histogram(
        &self,
        name: &'static str,
        description: &'static str,
        bounds_s: &[f64],
    ) -> Histogram<f64> {
        let meter = self.meter();
        let histogram = meter.f64_histogram(name).with_description(description);
        histogram.with_boundaries(bounds_s.to_vec()).build()
    }

    /// Creates a gauge that holds the last recorded value.
    pub fn gauge(&self, name: &'static str, description: &'static str) -> Gauge<f64> {
        self.meter().f64_gauge(name).with_description(description).build()
    }

    /// Registers a gauge whose values are read at each collection.
    pub fn observable_gauge(
        &self,
        name: &'static str,
        description: &'static str,
        read: impl Fn() -> Vec<Sample> + Send + Sync + 'static,
    ) {
        let meter = self.meter();
        let gauge = meter.u64_observable_gauge(name).with_description(description);
        gauge.with_callback(move |it| observe(it, read())).build();
    }

    /// Registers a monotonic counter whose values are read at each collection.
    pub fn observable_counter(
        &self,
        name: &'static str,
        description: &'static str,
        read: impl Fn() -> Vec<Sample> + Send + Sync + 'static,
    ) {
        let meter = self.meter();
        let counter = meter.u64_observable_counter(name).with_description(description);
        counter.with_callback(move |it| observe(it, read())).build();
    }

    /// Collects all metrics and returns them as text, one value per line.
    pub fn text(&self) -> String {
        if let Err(error) = self.provider.force_flush() {
            log::warn!("failed to collect metrics: {error}");
        }
        self.text.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

fn observe(instrument: &dyn AsyncInstrument<u64>, samples: Vec<Sample>) {
    for it in samples {
        instrument.observe(it.value, &it.labels);
    }
}

/// Stores the result of the latest collection as text.
#[derive(Debug)]
struct TextExporter {
    text: Arc<Mutex<String>>,
    interval: Duration,
    logged_at: Mutex<Instant>,
}

impl TextExporter {
    /// Logs the totals once per interval, however often they are collected.
    fn log(&self, text: &str) {
        let now = Instant::now();
        let mut logged_at = self.logged_at.lock().unwrap_or_else(PoisonError::into_inner);
        if now.duration_since(*logged_at) + LOG_INTERVAL_TOLERANCE >= self.interval {
            *logged_at = now;
            // Log readers truncate long lines; the buckets are available at the metrics address.
            let is_logged = |it: &&str| !it.starts_with('#') && !it.contains("_bucket{");
            let values: Vec<&str> = text.lines().filter(is_logged).collect();
            log::info!(target: "metrics", "{}", values.join("; "));
        }
    }
}

impl PushMetricExporter for TextExporter {
    async fn export(&self, metrics: &ResourceMetrics) -> OTelSdkResult {
        let text = render(metrics);
        self.log(&text);
        *self.text.lock().unwrap_or_else(PoisonError::into_inner) = text;
        Ok(())
    }

    fn force_flush(&self) -> OTelSdkResult {
        Ok(())
    }

    fn shutdown_with_timeout(&self, _timeout: Duration) -> OTelSdkResult {
        Ok(())
    }

    fn temporality(&self) -> Temporality {
        Temporality::Cumulative
    }
}
