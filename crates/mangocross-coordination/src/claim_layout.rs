//! Mapping of idempotency keys to the store keys of claim shards.

use crate::ClaimKey;

/// Distributes claims over shards in the store.
///
/// Time is divided into windows by the second in which a key was created. The windows share a ring
/// of slots, and each slot has several shards. All entry VMs must use the same layout, so it is not
/// configurable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimLayout {
    /// Length of a window in seconds.
    pub window_s: u64,
    /// Slots of the ring; a window's claims are kept until its slot is reused.
    pub slots: u64,
    /// Shards per slot.
    pub shards: u64,
}

impl ClaimLayout {
    /// The layout in use: claims are kept for four hours.
    pub const CURRENT: Self = Self { window_s: 10, slots: 1_440, shards: 32 };

    /// Returns the window in which a key was created.
    pub fn window(&self, key: &ClaimKey) -> u64 {
        key.issued_s() / self.window_s
    }

    /// Returns the store key of the shard that holds a key's claim.
    pub fn store_key(&self, key: &ClaimKey) -> String {
        let slot = self.window(key) % self.slots;
        let shard = key.digest().bucket(self.shards);
        format!("claims/{slot:04}-{shard:02}")
    }

    /// Returns for how long claims are kept, in seconds.
    pub fn retention_s(&self) -> u64 {
        self.window_s * self.slots
    }
}
