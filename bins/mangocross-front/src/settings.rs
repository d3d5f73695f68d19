//! Reads the settings file, again on SIGHUP and when it changes.

use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use mangocross_platform::EntryVm;
use mangocross_platform::misspelled_keys;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::front::Front;

/// Time between looks at the settings file, which may change without a signal.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);

/// Settings and what looks wrong with their file.
pub(crate) struct ReadSettings {
    pub(crate) vm: EntryVm,
    pub(crate) warnings: Vec<String>,
}

/// Reads and checks a settings file.
pub(crate) fn read(file: &Path) -> Result<ReadSettings, String> {
    let name = file.display();
    let text = std::fs::read_to_string(file)
        .map_err(|it| format!("[7101] {name} cannot be read: {it}"))?;
    let warnings: Vec<String> =
        misspelled_keys(&text).into_iter().map(|it| format!("{name}: {it}")).collect();
    let vm = EntryVm::decode(&text).map_err(|it| {
        let lines = [format!("[7102] {name}: {it}")].into_iter().chain(warnings.clone());
        lines.collect::<Vec<String>>().join("\n")
    })?;
    Ok(ReadSettings { vm, warnings })
}

/// Takes changed settings on SIGHUP, and within seconds without it.
pub(crate) fn spawn(front: &Rc<Front>, file: PathBuf) {
    let front = Rc::clone(front);
    tokio::task::spawn_local(async move {
        let mut hangup = match signal(SignalKind::hangup()) {
            Ok(it) => it,
            Err(error) => {
                log::error!(error:% = error; "SIGHUP cannot be received");
                return;
            }
        };
        let mut look = tokio::time::interval(LOOK_INTERVAL);
        loop {
            let is_signal = tokio::select! {
                _ = hangup.recv() => true,
                _ = look.tick() => false,
            };
            match read(&file).map(|it| it.vm) {
                Ok(vm) if vm.bounds != front.promises() => {
                    log::info!(settings:? = vm, is_signal; "settings reloaded");
                    front.set_promises(vm.bounds);
                    warn_of_others(&front, &vm);
                }
                Ok(vm) if is_signal && differs_elsewhere(&front, &vm) => {
                    warn_of_others(&front, &vm)
                }
                Ok(_) if is_signal => log::info!("settings reloaded without a change"),
                Ok(_) => {}
                Err(error) => log::warn!(error:% = error; "changed settings are not used"),
            }
        }
    });
}

/// Returns whether settings have changed that are read at the start only.
fn differs_elsewhere(front: &Front, vm: &EntryVm) -> bool {
    EntryVm { bounds: front.vm.bounds, is_first_start: front.vm.is_first_start, ..vm.clone() }
        != front.vm
}

fn warn_of_others(front: &Front, vm: &EntryVm) {
    if differs_elsewhere(front, vm) {
        log::warn!(
            settings:? = vm, in_force:? = front.vm;
            "settings read: addresses, limits and the store's address take effect at the next start"
        );
    }
}
