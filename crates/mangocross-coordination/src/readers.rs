//! Which coordinators read the configuration from the store, or the platform's list.
//!
//! Each read is a call to the store, and the store's rate limits grow more slowly than the fleet;
//! the list is long. Therefore only a few coordinators of each availability zone read. The others
//! rely on the state that these report, and read themselves once it is too old.

use std::time::Duration;

use mangocross_types::Configuration;
use mangocross_types::EntryVmSpec;
use mangocross_types::VmId;

use crate::preferred_owner;

/// Readers per availability zone.
const READERS_PER_ZONE: usize = 2;
/// Longest wait after failed reads, as a multiple of the first one.
const BACKOFF_FACTOR_MAX: u32 = 4;

/// Returns whether this coordinator reads the configuration from the store.
///
/// `store_age` is the age of the newest confirmation from the store that it has, by its own read
/// or relayed by others. `limit` is the age at which it no longer waits for others.
pub fn reads_store(
    entry_vms: &[EntryVmSpec],
    own: &VmId,
    live: &[VmId],
    store_age: Option<Duration>,
    limit: Duration,
) -> bool {
    store_age.is_none_or(|it| it >= limit) || is_reader(Configuration::KEY, entry_vms, own, live)
}

/// Returns whether this coordinator is one of the readers of `key` in its zone.
///
/// A coordinator that is not listed always reads.
pub fn is_reader(key: &str, entry_vms: &[EntryVmSpec], own: &VmId, live: &[VmId]) -> bool {
    let is_listed = entry_vms.iter().any(|it| it.vm == *own);
    !is_listed || zone_readers(key, entry_vms, own, live).contains(&own)
}

/// Returns the live coordinators in the zone of `own` that read `key`; none if `own` is not listed.
pub fn zone_readers<'a>(
    key: &str,
    entry_vms: &'a [EntryVmSpec],
    own: &VmId,
    live: &[VmId],
) -> Vec<&'a VmId> {
    let Some(own_spec) = entry_vms.iter().find(|it| it.vm == *own) else { return Vec::new() };
    let zone = &own_spec.availability_zone;
    let in_zone = entry_vms.iter().filter(|it| it.availability_zone == *zone).map(|it| &it.vm);
    let mut candidates: Vec<&VmId> = in_zone.filter(|it| *it == own || live.contains(it)).collect();
    let mut readers = Vec::new();
    for _ in 0..READERS_PER_ZONE {
        let Some(reader) = preferred_owner(key, candidates.iter().copied()) else { break };
        let reader = candidates.iter().position(|it| *it == reader).map(|it| candidates.remove(it));
        readers.extend(reader);
    }
    readers
}

/// Returns the wait after a number of consecutive failed reads.
///
/// `jitter_permille` spreads the readers between half the wait and one and a half times the wait,
/// so that they do not all retry at once.
pub fn read_backoff(base: Duration, failures: u32, jitter_permille: u32) -> Duration {
    let factor = 2_u32.saturating_pow(failures).min(BACKOFF_FACTOR_MAX);
    let wait = base * factor;
    wait / 2 + wait * jitter_permille.min(1_000) / 1_000
}
