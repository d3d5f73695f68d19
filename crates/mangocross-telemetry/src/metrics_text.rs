//! Text format of metrics: `name{label="value"} number`, one value per line.

use std::fmt::Display;
use std::fmt::Write;

use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::data::AggregatedMetrics;
use opentelemetry_sdk::metrics::data::Histogram;
use opentelemetry_sdk::metrics::data::Metric;
use opentelemetry_sdk::metrics::data::MetricData;
use opentelemetry_sdk::metrics::data::ResourceMetrics;

/// Suffix of the names of counters.
const TOTAL_SUFFIX: &str = "_total";

/// Renders all metrics as text.
pub(crate) fn render(metrics: &ResourceMetrics) -> String {
    let mut text = String::new();
    for metric in metrics.scope_metrics().flat_map(|it| it.metrics()) {
        render_metric(&mut text, metric);
    }
    text
}

fn render_metric(text: &mut String, metric: &Metric) {
    let mut name = metric.name().replace('.', "_");
    if is_counter(metric.data()) && !name.ends_with(TOTAL_SUFFIX) {
        name.push_str(TOTAL_SUFFIX);
    }
    let _ = writeln!(text, "# HELP {name} {}", metric.description());
    match metric.data() {
        AggregatedMetrics::F64(data) => render_data(text, &name, data),
        AggregatedMetrics::U64(data) => render_data(text, &name, data),
        AggregatedMetrics::I64(data) => render_data(text, &name, data),
    }
}

fn is_counter(data: &AggregatedMetrics) -> bool {
    match data {
        AggregatedMetrics::F64(MetricData::Sum(sum)) => sum.is_monotonic(),
        AggregatedMetrics::U64(MetricData::Sum(sum)) => sum.is_monotonic(),
        AggregatedMetrics::I64(MetricData::Sum(sum)) => sum.is_monotonic(),
        _ => false,
    }
}

fn render_data<T: Display + Copy>(text: &mut String, name: &str, data: &MetricData<T>) {
    match data {
        MetricData::Gauge(gauge) => {
            let _ = writeln!(text, "# TYPE {name} gauge");
            for point in gauge.data_points() {
                write_value(text, name, &labels(point.attributes()), point.value());
            }
        }
        MetricData::Sum(sum) => {
            let kind = if sum.is_monotonic() { "counter" } else { "gauge" };
            let _ = writeln!(text, "# TYPE {name} {kind}");
            for point in sum.data_points() {
                write_value(text, name, &labels(point.attributes()), point.value());
            }
        }
        MetricData::Histogram(histogram) => render_histogram(text, name, histogram),
        MetricData::ExponentialHistogram(_) => {}
    }
}

fn render_histogram<T: Display + Copy>(text: &mut String, name: &str, histogram: &Histogram<T>) {
    let _ = writeln!(text, "# TYPE {name} histogram");
    for point in histogram.data_points() {
        let labels = labels(point.attributes());
        let bounds = point.bounds().map(|it| it.to_string()).chain(["+Inf".to_owned()]);
        let mut total = 0;
        for (bound, count) in bounds.zip(point.bucket_counts()) {
            total += count;
            let mut with_bound = labels.clone();
            with_bound.push(format!("le=\"{bound}\""));
            write_value(text, &format!("{name}_bucket"), &with_bound, total);
        }
        write_value(text, &format!("{name}_sum"), &labels, point.sum());
        write_value(text, &format!("{name}_count"), &labels, point.count());
    }
}

fn write_value(text: &mut String, name: &str, labels: &[String], value: impl Display) {
    let _ = match labels {
        [] => writeln!(text, "{name} {value}"),
        labels => writeln!(text, "{name}{{{}}} {value}", labels.join(",")),
    };
}

fn labels<'a>(attributes: impl Iterator<Item = &'a KeyValue>) -> Vec<String> {
    let mut labels: Vec<String> = attributes.map(label).collect();
    labels.sort();
    labels
}

fn label(attribute: &KeyValue) -> String {
    let text = attribute.value.as_str();
    let escaped = text.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n");
    format!("{}=\"{escaped}\"", attribute.key.as_str().replace('.', "_"))
}
