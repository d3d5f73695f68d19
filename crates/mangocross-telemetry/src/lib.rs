//! Logs, metrics and traces of the processes.

mod logs;
mod metrics;
mod metrics_text;
mod sample;
mod span_lines;
mod tracing;

pub use logs::LogLevelError;
pub use logs::init_logs;
pub use metrics::Metrics;
pub use sample::Sample;
pub use tracing::EnteredSpan;
pub use tracing::Span;
pub use tracing::Tracing;
