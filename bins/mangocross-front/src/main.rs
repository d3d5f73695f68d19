//! Serves callers on an entry VM and keeps model groups complete.

mod answer_body;
mod clock;
mod command_line;
mod connection;
mod control;
mod dispatch;
mod ingress;
mod leases;
mod log_rate;
mod metrics;
mod outcome;
mod peers;
mod plain;
mod planning;
mod pool;
mod ready;
mod settings;
mod state;
mod stopping;
mod store;
mod store_changes;
mod story;
mod stream;
mod watching;

use std::process::ExitCode;

fn main() -> ExitCode {
    command_line::run()
}
