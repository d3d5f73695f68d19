//! Traces: a span for each hop, written as JSON lines.

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

use crate::span_lines::SpanLines;

/// Header that carries the trace from hop to hop.
const TRACEPARENT: &str = "traceparent";

/// Starts the spans of a process.
#[derive(Debug)]
pub struct Tracing {
    provider: SdkTracerProvider,
    tracer: SdkTracer,
}

/// Makes a span the thread's current one until dropped.
#[must_use]
pub struct EnteredSpan {
    _guard: ContextGuard,
}

/// One hop of a request; it ends when dropped.
#[derive(Debug)]
pub struct Span {
    context: Context,
}

impl Tracing {
    /// Starts tracing a share of the requests that bring no decision of their own, from 0 to 1.
    ///
    /// Spans wait in a queue of bounded length and are written by a thread of their own; when the
    /// queue is full, spans are dropped.
    pub fn open(process: &'static str, vm: &str, share: f64) -> Self {
        let sampler = Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(share)));
        let provider = SdkTracerProvider::builder()
            .with_sampler(sampler)
            .with_batch_exporter(SpanLines::new(process, vm))
            .build();
        let tracer = provider.tracer("mangocross");
        Self { provider, tracer }
    }

    /// Starts the span of a request that came with the given `traceparent`, if any.
    pub fn request_span(&self, name: &'static str, traceparent: Option<&str>) -> Span {
        let header = traceparent.map(|it| (TRACEPARENT.to_owned(), it.to_owned()));
        let headers: HashMap<String, String> = header.into_iter().collect();
        let parent = TraceContextPropagator::new().extract_with_context(&Context::new(), &headers);
        self.start(name, &parent)
    }

    /// Starts the span of a step within another one.
    pub fn child_span(&self, name: &'static str, parent: &Span) -> Span {
        self.start(name, &parent.context)
    }

    /// Starts the span of a step that began at `started`, within the thread's current span.
    ///
    /// Without a current span it begins a trace of its own.
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

    /// Writes the spans that wait, at the end of the process.
    pub fn close(&self) {
        if let Err(error) = self.provider.shutdown() {
            log::warn!("some spans were not written: {error}");
        }
    }

    fn start(&self, name: &'static str, parent: &Context) -> Span {
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

    /// Marks the hop as failed.
    pub fn fail(&self, message: String) {
        self.context.span().set_status(Status::error(message));
    }

    /// Returns the `traceparent` for the next hop.
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
