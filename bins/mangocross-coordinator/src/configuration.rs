//! Keeps the configuration up to date with the store.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use mangocross_operator::check_configuration;
use mangocross_types::Configuration;
use mangocross_types::Revision;

use crate::state::CoordinatorState;

/// Longest wait of one watch; the store's word is as old as its watch, so this is a part of the
/// time for which a vouch counts.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Longest pause after a failed watch; its length is drawn anew each time.
const RETRY_PAUSE_MAX_MS: u64 = 2_000;

/// Watches the configuration for ever.
pub(crate) fn run(state: &Arc<CoordinatorState>) {
    loop {
        if let Err(message) = watch(state) {
            log::warn!("configuration could not be read from the store: {message}");
            thread::sleep(Duration::from_millis(fastrand::u64(..RETRY_PAUSE_MAX_MS)));
        }
    }
}

/// Waits for a revision newer than the one in force and puts it in force.
///
/// A watch that ends without one shows that the store's revision is the one in force.
fn watch(state: &CoordinatorState) -> Result<(), String> {
    let asked_at = state.clock.now();
    let held = state.freshness().in_force();
    let newer = state.store.watch(Configuration::KEY, held, WATCH_TIMEOUT);
    match newer.map_err(|it| it.to_string())? {
        Some(entry) => {
            take(state, entry.revision, &entry.value)?;
            state.freshness().store_said(entry.revision, asked_at);
        }
        None => state.freshness().store_said(held, asked_at),
    }
    Ok(())
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
