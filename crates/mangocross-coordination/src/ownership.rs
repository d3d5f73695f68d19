//! Preferred owners of keys, by rendezvous hashing over the live coordinators.
//!
//! The preference only avoids duplicate work. If two coordinators disagree on which ones are live,
//! both try, and the store's compare-and-swap decides.

use mangocross_types::VmId;

/// Returns the live coordinator that should own `key`.
pub fn preferred_owner<'a>(
    key: &str,
    live: impl IntoIterator<Item = &'a VmId>,
) -> Option<&'a VmId> {
    live.into_iter().max_by_key(|vm| weight(key, vm))
}

pub(crate) fn weight(key: &str, vm: &VmId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(vm.as_str().as_bytes());
    let mut weight = [0; 8];
    hasher.finalize_xof().fill(&mut weight);
    u64::from_be_bytes(weight)
}
