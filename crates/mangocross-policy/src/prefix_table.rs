//! Which group is likely to hold a prompt prefix in its cache.

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

/// What a group's cache published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheEvent {
    /// A prefix came into the cache.
    Stored(PrefixHash),
    /// A prefix was dropped from the cache.
    Evicted(PrefixHash),
    /// Everything was dropped, as at a restart.
    Cleared,
}

/// Place of an event in what one run of a cache published.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheSequence {
    /// Random number that the cache chose when it was last started.
    pub epoch: u64,
    /// Number of the event; each is one more than the one before.
    pub number: u64,
}

/// What is known about a prefix at a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PrefixResidency {
    /// Nothing says that the group holds it.
    Unknown,
    /// An own request took it there, or events that might say otherwise are missing.
    Assumed,
    /// The group's cache said so, and no event since is missing.
    Confirmed,
}

/// Prefixes that groups are likely to hold.
///
/// Fed by own requests at once and by cache events, which come late and with
/// gaps; so an entry is a guess, and the least recently used one of a group is
/// dropped when there are more than its cache holds. Nothing here decides
/// whether a group may serve.
#[derive(Debug, Clone)]
pub struct PrefixTable {
    prefixes_for_each_group: usize,
    by_group: BTreeMap<GroupId, GroupPrefixes>,
    used: u64,
    gaps: u64,
}

#[derive(Debug, Clone, Default)]
struct GroupPrefixes {
    /// The newest event taken in.
    newest: Option<CacheSequence>,
    held: HashMap<PrefixHash, Held>,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    /// Rises with each use; the smallest one was used least recently.
    used: u64,
    /// When an own request took the prefix there.
    sent_at: Option<Instant>,
    told: bool,
}

impl PrefixTable {
    /// Returns an empty table for caches that hold so many prefixes.
    pub fn new(prefixes_for_each_group: usize) -> Self {
        Self { prefixes_for_each_group, by_group: BTreeMap::new(), used: 0, gaps: 0 }
    }

    /// Records that an own request took a prefix to a group.
    pub fn sent(&mut self, group: &GroupId, prefix: PrefixHash, now: Instant) {
        self.hold(group, prefix, |held| held.sent_at = Some(now));
    }

    /// Takes in an event that a group's cache published at `published_at`, at the latest.
    ///
    /// After a gap what was told becomes a guess. Events of another epoch drop all
    /// that was known, and an event taken in before is ignored. An own request
    /// since the event leaves a guess.
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
            CacheEvent::Stored(prefix) => self.hold(group, prefix, |held| held.told = true),
            CacheEvent::Evicted(prefix) => self.evict(group, prefix, published_at),
            CacheEvent::Cleared => {
                self.by_group.entry(group.clone()).or_default().clear(published_at)
            }
        }
    }

    /// Drops what is known of a group, as when it is formed anew.
    pub fn remove(&mut self, group: &GroupId) {
        self.by_group.remove(group);
    }

    /// Returns whether a group is likely to hold a prefix.
    pub fn holds(&self, group: &GroupId, prefix: PrefixHash) -> bool {
        self.residency(group, prefix) > PrefixResidency::Unknown
    }

    /// Returns what is known about a prefix at a group.
    pub fn residency(&self, group: &GroupId, prefix: PrefixHash) -> PrefixResidency {
        match self.by_group.get(group).and_then(|it| it.held.get(&prefix)) {
            None => PrefixResidency::Unknown,
            Some(held) if held.told => PrefixResidency::Confirmed,
            Some(_) => PrefixResidency::Assumed,
        }
    }

    /// Returns how many prefixes caches said that they hold, over all groups.
    pub fn confirmed_count(&self) -> usize {
        let held = self.by_group.values().flat_map(|it| it.held.values());
        held.filter(|it| it.told).count()
    }

    /// Returns how often events were missing.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Returns whether an event is new, and makes what was told a guess if some are missing.
    fn accept(&mut self, group: &GroupId, sequence: CacheSequence, published_at: Instant) -> bool {
        let of_group = self.by_group.entry(group.clone()).or_default();
        let Some(newest) = of_group.newest.replace(sequence) else { return true };
        if newest.epoch != sequence.epoch {
            of_group.clear(published_at);
        } else if newest.number >= sequence.number {
            of_group.newest = Some(newest);
            return false;
        } else if newest.number + 1 != sequence.number {
            of_group.held.values_mut().for_each(|it| it.told = false);
            self.gaps += 1;
        }
        true
    }

    fn held_of(&mut self, group: &GroupId) -> &mut HashMap<PrefixHash, Held> {
        &mut self.by_group.entry(group.clone()).or_default().held
    }

    fn hold(&mut self, group: &GroupId, prefix: PrefixHash, change: impl FnOnce(&mut Held)) {
        self.used += 1;
        let (used, max) = (self.used, self.prefixes_for_each_group);
        let held = self.held_of(group);
        let entry = held.entry(prefix).or_insert(Held { used, sent_at: None, told: false });
        entry.used = used;
        change(entry);
        if held.len() > max {
            let oldest = held.iter().min_by_key(|(_, it)| it.used).map(|(prefix, _)| *prefix);
            oldest.and_then(|it| held.remove(&it));
        }
    }

    fn evict(&mut self, group: &GroupId, prefix: PrefixHash, published_at: Instant) {
        let held = self.held_of(group);
        match held.get_mut(&prefix) {
            Some(it) if it.was_sent_since(published_at) => it.told = false,
            Some(_) => drop(held.remove(&prefix)),
            None => {}
        }
    }
}

impl GroupPrefixes {
    /// Drops all but what own requests took there since.
    fn clear(&mut self, published_at: Instant) {
        self.held.retain(|_, it| it.was_sent_since(published_at));
        self.held.values_mut().for_each(|it| it.told = false);
    }
}

impl Held {
    fn was_sent_since(&self, published_at: Instant) -> bool {
        self.sent_at.is_some_and(|at| at > published_at)
    }
}
