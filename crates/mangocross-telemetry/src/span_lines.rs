//! Export of spans as JSON lines to standard error, together with the logs.

use std::io;
use std::io::Write;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use opentelemetry::trace::Status;
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::error::OTelSdkResult;
use opentelemetry_sdk::trace::SpanData;
use opentelemetry_sdk::trace::SpanExporter;
use serde_json::Map;

/// Writes each span as one line of JSON, with its name under the key `"span"`.
#[derive(Debug)]
pub(crate) struct JsonSpanExporter {
    process: &'static str,
    vm: String,
}

impl JsonSpanExporter {
    pub(crate) fn new(process: &'static str, vm: &str) -> Self {
        Self { process, vm: vm.to_owned() }
    }

    fn line(&self, span: &SpanData) -> String {
        let attributes: Map<String, serde_json::Value> = span
            .attributes
            .iter()
            .map(|it| (it.key.to_string(), it.value.as_str().into()))
            .collect();
        let error = match &span.status {
            Status::Error { description } => Some(description.as_ref()),
            Status::Ok | Status::Unset => None,
        };
        let duration = span.end_time.duration_since(span.start_time).unwrap_or_default();
        let line = serde_json::json!({
            "span": span.name,
            "trace_id": span.span_context.trace_id().to_string(),
            "span_id": span.span_context.span_id().to_string(),
            "parent_span_id": span.parent_span_id.to_string(),
            "process": self.process,
            "vm": self.vm,
            "start_unix_us": unix_us(span.start_time),
            "duration_us": u64::try_from(duration.as_micros()).unwrap_or(u64::MAX),
            "attributes": attributes,
            "error": error,
        });
        line.to_string()
    }
}

impl SpanExporter for JsonSpanExporter {
    async fn export(&self, batch: Vec<SpanData>) -> OTelSdkResult {
        let mut lines = String::new();
        for span in &batch {
            lines.push_str(&self.line(span));
            lines.push('\n');
        }
        let written = io::stderr().lock().write_all(lines.as_bytes());
        written.map_err(|it| OTelSdkError::InternalFailure(it.to_string()))
    }
}

fn unix_us(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
