//! Keeps the configuration in force up to date with the store.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use mangocross_coordination::read_backoff;
use mangocross_coordination::reads_store;
use mangocross_types::Configuration;

use crate::state::CoordinatorState;

/// Store reads within the duration of a freshness lease.
const READS_PER_LEASE: u32 = 6;
/// A coordinator reads the store itself, instead of waiting for others, once its last confirmation
/// is older than the lease duration divided by this.
const STORE_AGE_DIVISOR: u32 = 2;

/// Reads the configuration periodically while this coordinator is responsible for it.
pub(crate) fn run(state: &Arc<CoordinatorState>) {
    let interval = Duration::from_millis(state.settings.freshness_lease_ms) / READS_PER_LEASE;
    let mut failures = 0;
    loop {
        if is_store_reader(state) {
            match read_configuration(state) {
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

fn is_store_reader(state: &CoordinatorState) -> bool {
    let configuration = state.configuration();
    let store_age = state.node.freshness_lease(state.clock.now()).store_age;
    let limit = Duration::from_millis(state.settings.freshness_lease_ms) / STORE_AGE_DIVISOR;
    let live = state.live_coordinators();
    reads_store(&configuration.entry_vms, &state.settings.vm, &live, store_age, limit)
}

/// Reads a newer configuration from the store, if there is one, and puts it in force.
///
/// A watch with a zero timeout only compares revisions. A watch that waits may miss a
/// change, so its timeout would not prove that there is none.
pub(crate) fn read_configuration(state: &CoordinatorState) -> Result<(), String> {
    let sent_at = state.clock.now();
    let in_force = state.node.in_force_revision();
    let newer = state.store.watch(Configuration::KEY, in_force, Duration::ZERO);
    let Some(entry) = newer.map_err(|it| it.to_string())? else {
        state.node.record_store_revision(in_force, sent_at);
        return Ok(());
    };
    // Recorded even if it cannot be put in force, so that no freshness lease covers an older one.
    state.node.record_store_revision(entry.revision, sent_at);
    state.node.apply(entry.revision, &entry.value)
}
