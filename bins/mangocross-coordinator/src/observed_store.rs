//! A store wrapper that counts and traces calls.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use mangocross_telemetry::Tracing;
use mangocross_types::Clock;
use mangocross_types::Revision;
use peer_store::CasOutcome;
use peer_store::Entry;
use peer_store::Store;
use peer_store::StoreError;

use crate::metrics::CoordinatorMetrics;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Get,
    List,
    CompareAndSwap,
    Watch,
}

impl CallKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::List => "list",
            Self::CompareAndSwap => "compare_and_swap",
            Self::Watch => "watch",
        }
    }
}

/// A store wrapper that counts and traces calls.
///
/// A call gets a span if it is part of a traced step, writes, or fails. Periodic reads
/// are only counted.
pub(crate) struct ObservedStore<S> {
    inner: S,
    clock: Arc<dyn Clock>,
    metrics: Arc<CoordinatorMetrics>,
    tracing: Arc<Tracing>,
}

impl<S: Store> ObservedStore<S> {
    pub(crate) fn new(
        inner: S,
        clock: Arc<dyn Clock>,
        metrics: Arc<CoordinatorMetrics>,
        tracing: Arc<Tracing>,
    ) -> Self {
        Self { inner, clock, metrics, tracing }
    }

    fn observe<T>(
        &self,
        kind: CallKind,
        key: &str,
        outcome: impl Fn(&T) -> &'static str,
        call: impl FnOnce(&S) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let (started, sent_at) = (self.clock.wall(), self.clock.now());
        let result = call(&self.inner);
        let time = self.clock.now().duration_since(sent_at);
        let outcome = match &result {
            Ok(value) => outcome(value),
            Err(error) => error.kind.as_str(),
        };
        self.metrics.record_store_call(kind.as_str(), outcome, time);
        let is_write = kind == CallKind::CompareAndSwap;
        if is_write || result.is_err() || self.tracing.has_current_span() {
            let span = self.tracing.span_since("store_call", started);
            span.set("kind", kind.as_str());
            span.set("key", key.to_owned());
            span.set("outcome", outcome);
            if let Err(error) = &result {
                span.set_error(error.to_string());
            }
        }
        result
    }
}

impl<S: Store> Store for ObservedStore<S> {
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.observe(CallKind::Get, key, found, |it| it.get(key))
    }

    fn list(&self, prefix: &str) -> Result<Vec<Entry>, StoreError> {
        self.observe(CallKind::List, prefix, |_| "found", |it| it.list(prefix))
    }

    fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
    ) -> Result<CasOutcome, StoreError> {
        let outcome = |it: &CasOutcome| match it {
            CasOutcome::Swapped(_) => "written",
            CasOutcome::Conflict(_) => "conflict",
        };
        let call = |it: &S| it.compare_and_swap(key, expected, value);
        self.observe(CallKind::CompareAndSwap, key, outcome, call)
    }

    fn watch(
        &self,
        key: &str,
        after: Revision,
        timeout: Duration,
    ) -> Result<Option<Entry>, StoreError> {
        self.observe(CallKind::Watch, key, found, |it| it.watch(key, after, timeout))
    }
}

impl<S: fmt::Debug> fmt::Debug for ObservedStore<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("ObservedStore").field(&self.inner).finish()
    }
}

fn found(entry: &Option<Entry>) -> &'static str {
    if entry.is_some() { "found" } else { "nothing" }
}
