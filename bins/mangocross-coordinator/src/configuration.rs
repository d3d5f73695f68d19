//! Keeps the configuration up to date with the store.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use mangocross_operator::check_configuration;
use mangocross_types::Configuration;
use mangocross_types::Revision;

use crate::state::CoordinatorState;

/// Time between reads of the configuration.
const READ_INTERVAL: Duration = Duration::from_millis(1_000);

/// Reads the configuration again and again.
pub(crate) fn run(state: &Arc<CoordinatorState>) {
    loop {
        if let Err(message) = read(state) {
            log::warn!("configuration could not be read from the store: {message}");
        }
        thread::sleep(READ_INTERVAL);
    }
}

/// Reads the configuration once and puts it in force if it is newer.
pub(crate) fn read(state: &CoordinatorState) -> Result<(), String> {
    let asked_at = state.clock.now();
    let entry = state.store.get(Configuration::KEY).map_err(|it| it.to_string())?;
    let Some(entry) = entry else {
        state.freshness().store_said(Revision(0), asked_at);
        return Ok(());
    };
    take(state, entry.revision, &entry.value)?;
    state.freshness().store_said(entry.revision, asked_at);
    Ok(())
}

/// Checks a configuration and puts it in force if it is newer.
pub(crate) fn take(state: &CoordinatorState, revision: Revision, text: &str) -> Result<(), String> {
    if revision <= state.freshness().in_force() {
        return Ok(());
    }
    let configuration: Configuration = serde_json::from_str(text).map_err(|it| it.to_string())?;
    check_configuration(&configuration).map_err(|it| it.to_string())?;
    state.apply(revision, configuration, text);
    Ok(())
}
