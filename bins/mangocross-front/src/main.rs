//! Serves callers on an entry VM and keeps model groups complete.

mod clock;
mod command_line;
mod connection;
mod control;
mod dispatch;
mod state;
mod ingress;
mod leases;
mod log_rate;
mod metrics;
mod outcome;
mod peers;
mod planning;
mod plain;
mod pool;
mod ready;
mod settings;
mod stopping;
mod store;
mod store_changes;
mod story;
mod stream;
mod stream_body;
mod watching;

use std::process::ExitCode;

fn main() -> ExitCode {
    command_line::run()
}
