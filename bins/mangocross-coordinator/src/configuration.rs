//! Keeps the configuration up to date with the store.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use mangocross_coordination::read_backoff;
use mangocross_coordination::reads_store;
use mangocross_types::Configuration;

use crate::state::CoordinatorState;

/// Reads within the time that a vouch counts.
const READS_PER_VOUCH: u32 = 6;
/// Part of the time that a vouch counts after which others are not waited for.
const RELY_DIVISOR: u32 = 2;

/// Reads the configuration again and again, if it falls to this coordinator.
pub(crate) fn run(state: &Arc<CoordinatorState>) {
    let interval = Duration::from_millis(state.settings.freshness_lease_ms) / READS_PER_VOUCH;
    let mut failures = 0;
    loop {
        if falls_to(state) {
            match read(state) {
                Ok(()) => failures = 0,
                Err(message) => {
                    failures += 1;
                    log::warn!("configuration could not be read from the store: {message}");
                }
            }
        }
        thread::sleep(read_backoff(interval, failures, fastrand::u32(..=1_000)));
    }
}

fn falls_to(state: &CoordinatorState) -> bool {
    let configuration = state.configuration();
    let store_age = state.node.freshness_lease(state.clock.now()).store_age;
    let limit = Duration::from_millis(state.settings.freshness_lease_ms) / RELY_DIVISOR;
    let live = state.live_coordinators();
    reads_store(&configuration.entry_vms, &state.settings.vm, &live, store_age, limit)
}

/// Asks the store for a newer configuration and puts it in force.
///
/// A watch without waiting compares revisions only. One that waits may miss a
/// change, so its silence would prove nothing.
pub(crate) fn read(state: &CoordinatorState) -> Result<(), String> {
    let asked_at = state.clock.now();
    let in_force = state.node.in_force();
    let newer = state.store.watch(Configuration::KEY, in_force, Duration::ZERO);
    let Some(entry) = newer.map_err(|it| it.to_string())? else {
        state.node.record_store_revision(in_force, asked_at);
        return Ok(());
    };
    // Known even if it cannot be put in force, so that nothing older is vouched for.
    state.node.record_store_revision(entry.revision, asked_at);
    state.node.take(entry.revision, &entry.value)
}
