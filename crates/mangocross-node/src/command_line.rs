//! The command line of the daemons.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use bpaf::Parser;
use mangocross_settings::Settings;

#[derive(Debug, Clone, Bpaf)]
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

/// Reads the command line and the settings, starts logging and runs a daemon.
///
/// `name` is the program's name and `summary` the one-line summary in its help.
pub fn run_daemon<S: Settings>(
    name: &'static str,
    summary: &'static str,
    run: impl FnOnce(S) -> Result<(), String>,
) -> ExitCode {
    let options = arguments().to_options().descr(summary).version(env!("CARGO_PKG_VERSION"));
    match start(name, &options.run(), run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn start<S: Settings>(
    name: &'static str,
    arguments: &Arguments,
    run: impl FnOnce(S) -> Result<(), String>,
) -> Result<(), String> {
    let settings: S =
        mangocross_settings::load(&arguments.settings).map_err(|it| it.to_string())?;
    if arguments.check {
        println!("{}: valid", arguments.settings.display());
        return Ok(());
    }
    let vm = settings.vm().as_str();
    mangocross_telemetry::init_logs(&arguments.log_level, name, vm).map_err(|it| it.to_string())?;
    run(settings)
}
