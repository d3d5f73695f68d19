//! The gateway: takes callers' requests and passes them to complete groups and
//! plain services.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use mangocross_settings::GatewaySettings;

mod admitting;
mod attempt;
mod choosing;
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
mod retry_after;
mod routing;
mod service;
mod state;

/// Takes callers' requests and passes them to complete groups and plain services.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Settings file, JSON with comments
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
    /// Check the settings and exit
    check: bool,
    /// Log level: error, warn, info, debug or trace
    #[bpaf(argument("LEVEL"), fallback("info".to_owned()), display_fallback)]
    log_level: String,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let settings: GatewaySettings = match mangocross_settings::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => return fail(&error.to_string()),
    };
    if arguments.check {
        println!("{}: valid", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = mangocross_telemetry::init_logs(
        &arguments.log_level,
        "mangocross-gateway",
        settings.vm.as_str(),
    ) {
        return fail(&error.to_string());
    }
    match gateway::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(message: &str) -> ExitCode {
    eprintln!("{message}");
    ExitCode::FAILURE
}
