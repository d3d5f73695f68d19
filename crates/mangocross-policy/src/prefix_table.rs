//! Tracks which groups are likely to hold a prompt prefix in their cache.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fmt;
use std::time::Instant;

use mangocross_types::GroupId;

/// Hash of a prompt prefix.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixHash(pub u64);

impl fmt::Display for PrefixHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// An event that a group's cache published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheEvent {
    /// A prefix was added to the cache.
    Stored(PrefixHash),
    /// A prefix was removed from the cache.
    Evicted(PrefixHash),
    /// All prefixes were removed, for example at a restart.
    Cleared,
}

/// Position of an event among those that one run of a cache published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheSequence {
    /// Random number that the cache chose when it was last started.
    pub epoch: u64,
    /// Number of the event, one more than that of the previous event.
    pub number: u64,
}

/// Whether a group holds a prefix, as far as known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PrefixResidency {
    /// Nothing indicates that the group holds it.
    Unknown,
    /// This process sent a request with the prefix there, or the cache reported it and later events
    /// are missing.
    Assumed,
    /// The group's cache reported it, and no event since is missing.
    Confirmed,
}

/// Prefixes that groups are likely to hold.
///
/// Updated by own requests immediately and by cache events, which arrive late and
/// with gaps, so an entry is an estimate. The least recently used entry of a group
/// is evicted when there are more than the maximum. The table does not decide
/// whether a group may serve.
#[derive(Debug, Clone)]
pub struct PrefixTable {
    prefixes_per_group_max: usize,
    by_group: BTreeMap<GroupId, GroupPrefixes>,
    uses: u64,
    gaps: u64,
}

#[derive(Debug, Clone, Default)]
struct GroupPrefixes {
    /// Position of the newest event applied.
    newest: Option<CacheSequence>,
    entries: HashMap<PrefixHash, PrefixEntry>,
}

#[derive(Debug, Clone, Copy)]
struct PrefixEntry {
    /// Increases with each use; the entry with the smallest value is the least recently used.
    last_use: u64,
    /// When an own request with the prefix was sent to the group.
    sent_at: Option<Instant>,
    confirmed: bool,
}

impl PrefixTable {
    /// Returns an empty table that keeps at most `prefixes_per_group_max` entries for each group.
    pub fn new(prefixes_per_group_max: usize) -> Self {
        Self { prefixes_per_group_max, by_group: BTreeMap::new(), uses: 0, gaps: 0 }
    }

    /// Records that an own request with a prefix was sent to a group.
    pub fn record_sent(&mut self, group: &GroupId, prefix: PrefixHash, now: Instant) {
        self.touch(group, prefix, |entry| entry.sent_at = Some(now));
    }

    /// Applies an event that a group's cache published no later than `published_at`.
    ///
    /// After a gap, confirmed entries become assumed ones. An event of another epoch
    /// removes all entries, and an event that was applied before is ignored. An entry
    /// that an own request used since the event stays as an assumed one.
    pub fn apply_event(
        &mut self,
        group: &GroupId,
        sequence: CacheSequence,
        event: CacheEvent,
        published_at: Instant,
    ) {
        if !self.accept(group, sequence, published_at) {
            return;
        }
        match event {
            CacheEvent::Stored(prefix) => self.touch(group, prefix, |entry| entry.confirmed = true),
            CacheEvent::Evicted(prefix) => self.evict(group, prefix, published_at),
            CacheEvent::Cleared => {
                self.by_group.entry(group.clone()).or_default().clear(published_at)
            }
        }
    }

    /// Removes all entries of a group, for example when it is re-formed.
    pub fn remove(&mut self, group: &GroupId) {
        self.by_group.remove(group);
    }

    /// Returns whether a group is likely to hold a prefix.
    pub fn holds(&self, group: &GroupId, prefix: PrefixHash) -> bool {
        self.residency(group, prefix) > PrefixResidency::Unknown
    }

    /// Returns whether a group holds a prefix, as far as known.
    pub fn residency(&self, group: &GroupId, prefix: PrefixHash) -> PrefixResidency {
        match self.by_group.get(group).and_then(|it| it.entries.get(&prefix)) {
            None => PrefixResidency::Unknown,
            Some(entry) if entry.confirmed => PrefixResidency::Confirmed,
            Some(_) => PrefixResidency::Assumed,
        }
    }

    /// Returns the number of confirmed entries over all groups.
    pub fn confirmed_count(&self) -> usize {
        let entries = self.by_group.values().flat_map(|it| it.entries.values());
        entries.filter(|it| it.confirmed).count()
    }

    /// Returns the number of gaps in the sequences of events.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Returns whether an event is new; if events before it are missing, confirmed entries become
    /// assumed ones.
    fn accept(&mut self, group: &GroupId, sequence: CacheSequence, published_at: Instant) -> bool {
        let cached = self.by_group.entry(group.clone()).or_default();
        let Some(newest) = cached.newest.replace(sequence) else { return true };
        if newest.epoch != sequence.epoch {
            cached.clear(published_at);
        } else if newest.number >= sequence.number {
            cached.newest = Some(newest);
            return false;
        } else if newest.number + 1 != sequence.number {
            cached.entries.values_mut().for_each(|it| it.confirmed = false);
            self.gaps += 1;
        }
        true
    }

    fn entries_of(&mut self, group: &GroupId) -> &mut HashMap<PrefixHash, PrefixEntry> {
        &mut self.by_group.entry(group.clone()).or_default().entries
    }

    fn touch(
        &mut self,
        group: &GroupId,
        prefix: PrefixHash,
        update: impl FnOnce(&mut PrefixEntry),
    ) {
        self.uses += 1;
        let (last_use, max) = (self.uses, self.prefixes_per_group_max);
        let entries = self.entries_of(group);
        let entry = entries.entry(prefix).or_insert(PrefixEntry {
            last_use,
            sent_at: None,
            confirmed: false,
        });
        entry.last_use = last_use;
        update(entry);
        if entries.len() > max {
            let oldest =
                entries.iter().min_by_key(|(_, it)| it.last_use).map(|(prefix, _)| *prefix);
            oldest.and_then(|it| entries.remove(&it));
        }
    }

    fn evict(&mut self, group: &GroupId, prefix: PrefixHash, published_at: Instant) {
        let entries = self.entries_of(group);
        match entries.get_mut(&prefix) {
            Some(it) if it.was_sent_since(published_at) => it.confirmed = false,
            Some(_) => drop(entries.remove(&prefix)),
            None => {}
        }
    }
}

impl GroupPrefixes {
    /// Removes all entries but those that own requests used since `published_at`.
    fn clear(&mut self, published_at: Instant) {
        self.entries.retain(|_, it| it.was_sent_since(published_at));
        self.entries.values_mut().for_each(|it| it.confirmed = false);
    }
}

impl PrefixEntry {
    fn was_sent_since(&self, published_at: Instant) -> bool {
        self.sent_at.is_some_and(|at| at > published_at)
    }
}
