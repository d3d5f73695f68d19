//! Which group is likely to hold a prompt prefix in its cache.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;

use mangocross_types::GroupId;

/// Hash of a prompt prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixHash(pub u64);

impl fmt::Display for PrefixHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Prefixes that groups are likely to hold.
///
/// Fed by own requests at once and by cache events, which come late and with
/// gaps; so an entry is a guess, and the least recently used one of a group is
/// dropped when there are more than its cache holds.
#[derive(Debug, Clone)]
pub struct PrefixTable {
    prefixes_for_each_group: usize,
    by_group: BTreeMap<GroupId, HashMap<PrefixHash, u64>>,
    used: u64,
}

impl PrefixTable {
    /// Returns an empty table for caches that hold so many prefixes.
    pub fn new(prefixes_for_each_group: usize) -> Self {
        Self { prefixes_for_each_group, by_group: BTreeMap::new(), used: 0 }
    }

    /// Records that a group holds a prefix: a request went there, or it said so.
    pub fn stored(&mut self, group: &GroupId, prefix: PrefixHash) {
        self.used += 1;
        let held = self.by_group.entry(group.clone()).or_default();
        held.insert(prefix, self.used);
        if held.len() > self.prefixes_for_each_group {
            let oldest = held.iter().min_by_key(|(_, used)| **used).map(|(prefix, _)| *prefix);
            oldest.and_then(|it| held.remove(&it));
        }
    }

    /// Records that a group dropped a prefix.
    pub fn evicted(&mut self, group: &GroupId, prefix: PrefixHash) {
        if let Some(held) = self.by_group.get_mut(group) {
            held.remove(&prefix);
        }
    }

    /// Drops what is known of a group, as when it is formed anew.
    pub fn forget(&mut self, group: &GroupId) {
        self.by_group.remove(group);
    }

    /// Returns whether a group is likely to hold a prefix.
    pub fn holds(&self, group: &GroupId, prefix: PrefixHash) -> bool {
        self.by_group.get(group).is_some_and(|it| it.contains_key(&prefix))
    }
}
