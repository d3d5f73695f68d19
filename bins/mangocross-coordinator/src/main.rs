//! The coordinator: owns fabric domains, probes their engines, proves groups
//! complete, keeps the configuration fresh and answers operators.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use mangocross_settings::CoordinatorSettings;

mod acceptance;
mod changes;
mod configuration;
mod coordinator;
mod domain_view;
mod domains;
mod failures;
mod known_revision;
mod operators;
mod orders;
mod peers;
mod placement;
mod platform;
mod probes;
mod queries;
mod registration;
mod state;
mod why;

/// Owns fabric domains, proves groups complete and answers operators.
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
    let settings: CoordinatorSettings = match mangocross_settings::load(&arguments.settings) {
        Ok(settings) => settings,
        Err(error) => return fail(&error.to_string()),
    };
    if arguments.check {
        println!("{}: valid", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = mangocross_telemetry::init_logs(
        &arguments.log_level,
        "mangocross-coordinator",
        settings.vm.as_str(),
    ) {
        return fail(&error.to_string());
    }
    match coordinator::run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(message: &str) -> ExitCode {
    eprintln!("{message}");
    ExitCode::FAILURE
}
