//! The coordinator: owns fabric domains, probes their engines, issues health
//! leases of groups, keeps the configuration fresh and answers operators.

use std::process::ExitCode;

use mangocross_node::run_daemon;

mod acceptance;
mod cache_events;
mod changes;
mod configuration;
mod coordinator;
mod domain_view;
mod domains;
mod failures;
mod gateways;
mod handover;
mod health_leases;
mod known_revision;
mod liveness;
mod metrics;
mod observed_store;
mod operators;
mod orders;
mod owners;
mod peers;
mod placement;
mod platform;
mod preloads;
mod probes;
mod queries;
mod registration;
mod state;
mod times;
mod vm_list;
mod why;

/// One-line summary for the program's help.
const SUMMARY: &str = "Owns fabric domains, proves groups complete and answers operators";

fn main() -> ExitCode {
    run_daemon("mangocross-coordinator", SUMMARY, coordinator::run)
}
