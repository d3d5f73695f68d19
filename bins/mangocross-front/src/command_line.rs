//! Command line and startup of the process.

use std::io;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use bpaf::Bpaf;
use mangocross_platform::EntryVmSettings;
use mangocross_platform::SETTINGS_FILE_DEFAULT;
use mangocross_platform::SETTINGS_FILE_VARIABLE;
use serde_json::json;
use tokio::task::LocalSet;

use crate::control;
use crate::ingress;
use crate::leases;
use crate::peers;
use crate::planning;
use crate::ready;
use crate::relay_server;
use crate::server_limits;
use crate::server_reach;
use crate::settings;
use crate::settings::LoadedSettings;
use crate::state::AppState;
use crate::stopping;
use crate::story;
use crate::story::Format;
use crate::watching;
use crate::zone_evacuation;

/// Serves callers on an entry VM and keeps model groups whole.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Settings file in the platform's format; the default is the one that
    /// MANGOCROSS_CONFIG names
    #[bpaf(argument("FILE"))]
    settings: Option<PathBuf>,
    /// Check the settings and exit
    check: bool,
    /// Read a log from standard input, print what it tells of a request, and exit
    #[bpaf(argument("REQUEST"))]
    story: Option<String>,
    /// Print the story or the result of the check as JSON, one object a line
    json: bool,
    /// Log level: error, warn, info, debug or trace
    #[bpaf(argument("LEVEL"), fallback("info".to_owned()), display_fallback)]
    log_level: String,
}

/// Runs the program until it is stopped.
pub(crate) fn run() -> ExitCode {
    let arguments = arguments().run();
    match start(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn start(arguments: &Arguments) -> Result<(), String> {
    if let Some(request) = &arguments.story {
        let format = if arguments.json { Format::Json } else { Format::Text };
        return run_story(request, format);
    }
    let file = arguments.settings.clone().unwrap_or_else(|| {
        let named = std::env::var_os(SETTINGS_FILE_VARIABLE);
        named.map_or_else(|| PathBuf::from(SETTINGS_FILE_DEFAULT), PathBuf::from)
    });
    let LoadedSettings { vm, warnings } = settings::read(&file)?;
    if arguments.check {
        let name = file.display().to_string();
        match arguments.json {
            true => {
                println!("{}", json!({"file": name, "valid": true, "warnings": warnings}));
            }
            false => {
                warnings.iter().for_each(|it| eprintln!("{it}"));
                println!("{name}: valid");
            }
        }
        return Ok(());
    }
    mangocross_telemetry::init_bounded_logs(&arguments.log_level, "front", &vm.name)
        .map_err(|it| it.to_string())?;
    log::info!(
        version = env!("CARGO_PKG_VERSION"), settings:? = vm;
        "started"
    );
    for warning in warnings {
        log::warn!(warning:% = warning; "settings file has unknown keys");
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|it| format!("[8101] the event loop cannot start: {it}"))?;
    LocalSet::new().block_on(&runtime, serve(vm, file))
}

fn run_story(request: &str, format: Format) -> Result<(), String> {
    let is_found =
        story::print_story(request, format, io::stdin().lock(), &mut io::stdout().lock())
            .map_err(|it| format!("[7104] the log cannot be read: {it}"))?;
    if is_found {
        Ok(())
    } else {
        Err(format!("[7103] no log lines found for request `{request}`"))
    }
}

async fn serve(vm: EntryVmSettings, file: PathBuf) -> Result<(), String> {
    let state = Rc::new(AppState::new(vm));
    let callers = ingress::bind(Rc::clone(&state)).await?;
    ready::bind(&state).await?;
    peers::bind(&state).await?;
    relay_server::bind(&state).await?;
    watching::spawn(&state);
    leases::spawn(&state);
    planning::spawn(&state);
    control::spawn(&state);
    server_limits::spawn(&state);
    zone_evacuation::spawn(&state);
    server_reach::spawn(&state);
    settings::spawn(&state, file);
    stopping::shut_down_on_sigterm(&state, callers).await;
    log::info!("stopped");
    // The log thread writes the last lines while the runtime shuts down.
    tokio::time::sleep(stopping::LOG_FLUSH_DELAY).await;
    Ok(())
}
