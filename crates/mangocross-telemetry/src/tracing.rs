//! Tracing: spans of requests and of a process's own activities, written as JSON lines.

use std::collections::HashMap;
use std::time::SystemTime;

use opentelemetry::Context;
use opentelemetry::ContextGuard;
use opentelemetry::KeyValue;
use opentelemetry::Value;
use opentelemetry::propagation::TextMapPropagator;
use opentelemetry::trace::Status;
use opentelemetry::trace::TraceContextExt;
use opentelemetry::trace::Tracer;
use opentelemetry::trace::TracerProvider;
use opentelemetry_sdk::propagation::TraceContextPropagator;
use opentelemetry_sdk::trace::Sampler;
use opentelemetry_sdk::trace::SdkTracer;
use opentelemetry_sdk::trace::SdkTracerProvider;

use crate::span_lines::JsonSpanExporter;

/// Header that propagates the trace context.
const TRACEPARENT: &str = "traceparent";

/// Creates the spans of a process.
#[derive(Debug)]
pub struct Tracing {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
}

/// Keeps a span the current one of its thread until dropped.
#[must_use]
pub struct EnteredSpan {
    _guard: ContextGuard,
}

/// A span of a request or of an activity of this process; it ends when dropped.
#[derive(Debug)]
pub struct Span {
    context: Context,
}

impl Tracing {
    /// Starts tracing; `share`, from 0 to 1, is the fraction of requests without a sampling
    /// decision of their own that is traced.
    ///
    /// A separate thread writes the spans from a bounded queue; spans are dropped while it is full.
    pub fn start(process: &'static str, vm: &str, share: f64) -> Self {
        let sampler = Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(share)));
        let provider = SdkTracerProvider::builder()
            .with_sampler(sampler)
            .with_batch_exporter(JsonSpanExporter::new(process, vm))
            .build();
        let tracer = provider.tracer("mangocross");
        Self { provider, tracer }
    }

    /// Starts the span of a request, as a child of its `traceparent` if there is one.
    pub fn request_span(&self, name: &'static str, traceparent: Option<&str>) -> Span {
        let header = traceparent.map(|it| (TRACEPARENT.to_owned(), it.to_owned()));
        let headers: HashMap<String, String> = header.into_iter().collect();
        let parent = TraceContextPropagator::new().extract_with_context(&Context::new(), &headers);
        self.start_span(name, &parent)
    }

    /// Starts a child span.
    pub fn child_span(&self, name: &'static str, parent: &Span) -> Span {
        self.start_span(name, &parent.context)
    }

    /// Starts a child of the thread's current span, with `started` as its start time.
    ///
    /// If the thread has no current span, a new trace is started.
    pub fn span_since(&self, name: &'static str, started: SystemTime) -> Span {
        let parent = Context::current();
        let builder = self.tracer.span_builder(name).with_start_time(started);
        let span = self.tracer.build_with_context(builder, &parent);
        Span { context: parent.with_span(span) }
    }

    /// Returns whether the thread has a current span.
    pub fn has_current_span(&self) -> bool {
        Context::current().has_active_span()
    }

    /// Writes the queued spans and stops tracing.
    pub fn close(&self) {
        if let Err(error) = self.provider.shutdown() {
            log::warn!("failed to write all spans: {error}");
        }
    }

    fn start_span(&self, name: &'static str, parent: &Context) -> Span {
        let span = self.tracer.start_with_context(name, parent);
        Span { context: parent.with_span(span) }
    }
}

impl Span {
    /// Adds an attribute.
    pub fn set(&self, key: &'static str, value: impl Into<Value>) {
        self.context.span().set_attribute(KeyValue::new(key, value));
    }

    /// Makes this the thread's current span.
    pub fn enter(&self) -> EnteredSpan {
        EnteredSpan { _guard: self.context.clone().attach() }
    }

    /// Sets the span's status to error with a message.
    pub fn set_error(&self, message: String) {
        self.context.span().set_status(Status::error(message));
    }

    /// Returns the `traceparent` header for the next hop.
    pub fn traceparent(&self) -> Option<String> {
        let mut headers = HashMap::new();
        TraceContextPropagator::new().inject_context(&self.context, &mut headers);
        headers.remove(TRACEPARENT)
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        self.context.span().end();
    }
}
