//! Reads the settings file and reloads it on SIGHUP or when it changes.

use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use mangocross_platform::EntryVmSettings;
use mangocross_platform::misspelled_keys;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::state::AppState;

/// Time between checks of the settings file, which may change without a signal.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Settings and warnings about their file.
pub(crate) struct LoadedSettings {
    pub(crate) vm: EntryVmSettings,
    pub(crate) warnings: Vec<String>,
}

/// Reads a settings file; keys that are probably misspelled become warnings.
pub(crate) fn read(file: &Path) -> Result<LoadedSettings, String> {
    let name = file.display();
    let text = std::fs::read_to_string(file)
        .map_err(|it| format!("[7101] {name} cannot be read: {it}"))?;
    let warnings: Vec<String> =
        misspelled_keys(&text).into_iter().map(|it| format!("{name}: {it}")).collect();
    let vm = EntryVmSettings::decode(&text).map_err(|it| {
        let lines = [format!("[7102] {name}: {it}")].into_iter().chain(warnings.clone());
        lines.collect::<Vec<String>>().join("\n")
    })?;
    Ok(LoadedSettings { vm, warnings })
}

/// Starts the task that reloads the settings on SIGHUP or within seconds after the file changes.
pub(crate) fn spawn(state: &Rc<AppState>, file: PathBuf) {
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        let mut hangup = match signal(SignalKind::hangup()) {
            Ok(it) => it,
            Err(error) => {
                log::error!(error:% = error; "SIGHUP cannot be received");
                return;
            }
        };
        let mut ticker = tokio::time::interval(FILE_CHECK_INTERVAL);
        loop {
            let is_signal = tokio::select! {
                _ = hangup.recv() => true,
                _ = ticker.tick() => false,
            };
            match read(&file).map(|it| it.vm) {
                Ok(vm) if vm.bounds != state.bounds() => {
                    log::info!(settings:? = vm, is_signal; "settings reloaded");
                    state.set_bounds(vm.bounds);
                    warn_restart_needed(&state, &vm);
                }
                Ok(vm) if is_signal && startup_settings_differ(&state, &vm) => {
                    warn_restart_needed(&state, &vm)
                }
                Ok(_) if is_signal => log::info!("settings reloaded without a change"),
                Ok(_) => {}
                Err(error) => log::warn!(error:% = error; "changed settings rejected"),
            }
        }
    });
}

/// Returns whether settings differ that are applied only at startup.
fn startup_settings_differ(state: &AppState, vm: &EntryVmSettings) -> bool {
    EntryVmSettings {
        bounds: state.vm.bounds,
        is_first_start: state.vm.is_first_start,
        ..vm.clone()
    } != state.vm
}

fn warn_restart_needed(state: &AppState, vm: &EntryVmSettings) {
    if startup_settings_differ(state, vm) {
        log::warn!(
            settings:? = vm, in_force:? = state.vm;
            "changed addresses, limits and store address take effect at the next start"
        );
    }
}
