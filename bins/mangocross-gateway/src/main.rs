//! The gateway: accepts callers' requests and forwards them to complete groups and plain services.

use std::process::ExitCode;

use mangocross_node::run_daemon;

mod admission;
mod attempt;
mod group_selection;
mod claim;
mod backend_servers;
mod failures;
mod delivery;
mod gateway;
mod generate;
mod handler;
mod idempotent;
mod metrics;
mod once;
mod peers;
mod poll_targets;
mod retry_after;
mod routing;
mod service;
mod state;
mod stop_time;

/// One-line summary in the program's `--help` text.
const SUMMARY: &str =
    "Takes callers' requests and passes them to complete groups and plain services";

fn main() -> ExitCode {
    run_daemon("mangocross-gateway", SUMMARY, gateway::run)
}
