//! Logs, metrics and traces of the processes.

mod logs;

pub use logs::LogLevelError;
pub use logs::init_logs;
