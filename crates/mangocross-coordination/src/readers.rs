//! Which coordinators read the configuration from the store, or the platform's list.
//!
//! A read costs the store a call, and the store's rates grow more slowly than
//! the fleet; the list is long. A few coordinators of each availability zone read; the others
//! rely on what these say of the store, and read themselves once that is old.

use std::time::Duration;

use mangocross_types::Configuration;
use mangocross_types::EntryVmSpec;
use mangocross_types::VmId;

use crate::preferred_owner;

/// Coordinators of an availability zone that read.
const READERS_PER_ZONE: usize = 2;
/// Longest wait after failed reads, as a multiple of the first.
const BACKOFF_FACTOR_MAX: u32 = 4;

/// Decides whether this coordinator reads the configuration from the store.
///
/// `store_age` is the age of the newest confirmation of the store that it has, by itself
/// or through others, and `limit` the age at which it no longer waits for others.
pub fn reads_store(
    entry_vms: &[EntryVmSpec],
    own: &VmId,
    live: &[VmId],
    store_age: Option<Duration>,
    limit: Duration,
) -> bool {
    store_age.is_none_or(|it| it >= limit) || is_reader(Configuration::KEY, entry_vms, own, live)
}

/// Returns whether this coordinator is one of those of its zone that read `key`; one that is not
/// listed reads.
pub fn is_reader(key: &str, entry_vms: &[EntryVmSpec], own: &VmId, live: &[VmId]) -> bool {
    let is_listed = entry_vms.iter().any(|it| it.vm == *own);
    !is_listed || zone_readers(key, entry_vms, own, live).contains(&own)
}

/// Returns the live coordinators in the zone of `own` that read `key`; none if it is not listed.
pub fn zone_readers<'a>(
    key: &str,
    entry_vms: &'a [EntryVmSpec],
    own: &VmId,
    live: &[VmId],
) -> Vec<&'a VmId> {
    let Some(own_line) = entry_vms.iter().find(|it| it.vm == *own) else { return Vec::new() };
    let zone = &own_line.availability_zone;
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

/// Returns the wait after a number of failed reads in a row.
///
/// `jitter_permille` spreads the readers from half the wait to one and a half of it, so that
/// they do not come back together.
pub fn read_backoff(base: Duration, failures: u32, jitter_permille: u32) -> Duration {
    let factor = 2_u32.saturating_pow(failures).min(BACKOFF_FACTOR_MAX);
    let wait = base * factor;
    wait / 2 + wait * jitter_permille.min(1_000) / 1_000
}
