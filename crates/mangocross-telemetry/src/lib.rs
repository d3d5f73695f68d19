//! Logging, metrics and tracing.

mod bounded_writer;
mod logs;
mod metrics;
mod metrics_text;
mod sample;
mod span_lines;
mod tracing;

pub use bounded_writer::BoundedWriter;
pub use logs::LogInitError;
pub use logs::init_bounded_logs;
pub use logs::init_logs;
pub use metrics::Metrics;
pub use sample::Sample;
pub use tracing::EnteredSpan;
pub use tracing::Span;
pub use tracing::Tracing;
