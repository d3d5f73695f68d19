//! Load, limits and cached prefixes of the groups, as seen by this gateway.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::LeasedGroup;
use mangocross_policy::CacheEvent;
use mangocross_policy::CacheSequence;
use mangocross_policy::Candidate;
use mangocross_policy::ConcurrencyLimit;
use mangocross_policy::FirstTokenTimes;
use mangocross_policy::LoadEstimate;
use mangocross_policy::PrefixHash;
use mangocross_policy::PrefixResidency;
use mangocross_policy::PrefixTable;
use mangocross_types::GroupId;
use peer_engine::PromptPrefix;
use peer_entry::CacheChange;
use peer_entry::GroupCacheEvents;

use crate::state::lock;

/// Maximum number of prefixes tracked for each group's cache.
const PREFIXES_PER_GROUP: usize = 1_024;

/// Load, limits and cached prefixes of the groups, as seen by this gateway.
#[derive(Debug)]
pub(crate) struct Routing {
    groups: Mutex<Groups>,
    limit_start: u32,
    first_token_target: Duration,
}

#[derive(Debug)]
struct Groups {
    loads: HashMap<GroupId, LoadEstimate>,
    limits: HashMap<GroupId, ConcurrencyLimit>,
    first_tokens: FirstTokenTimes,
    prefixes: PrefixTable,
    cache_events: u64,
}

/// Counts of cache events since the start, and of prefixes cached now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CacheEventCounts {
    pub(crate) applied: u64,
    pub(crate) gaps: u64,
    /// Prefixes that are cached now according to the caches' own events.
    pub(crate) cached_prefixes: u64,
}

impl Routing {
    /// Returns the state of a gateway that has sent no request yet.
    pub(crate) fn new(limit_start: u32, first_token_target: Duration) -> Self {
        let groups = Groups {
            loads: HashMap::new(),
            limits: HashMap::new(),
            first_tokens: FirstTokenTimes::default(),
            prefixes: PrefixTable::new(PREFIXES_PER_GROUP),
            cache_events: 0,
        };
        Self { groups: Mutex::new(groups), limit_start, first_token_target }
    }

    /// Returns a group as a candidate for a request.
    pub(crate) fn candidate(&self, group: &LeasedGroup, prefix: PrefixHash) -> Candidate {
        let mut groups = lock(&self.groups);
        let limit = self.limit(&mut groups, &group.group).get();
        let load = groups.loads.entry(group.group.clone()).or_default();
        load.apply_report(group.load, group.load_polled_at);
        let own_in_flight = load.own_in_flight();
        Candidate::new(group.group.clone(), own_in_flight, load.load())
            .prefix_residency(groups.prefixes.residency(&group.group, prefix))
            .first_token(groups.first_tokens.get(&group.group))
            .at_limit(own_in_flight >= limit)
    }

    /// Applies the cache events of a reply to a poll that was sent at `sent_at`.
    pub(crate) fn apply_cache_events(&self, caches: &[GroupCacheEvents], sent_at: Instant) {
        let mut groups = lock(&self.groups);
        for cache in caches {
            for it in &cache.events {
                let sequence = CacheSequence { epoch: cache.epoch, number: it.number };
                let age = Duration::from_millis(it.age_ms.into());
                let published_at = sent_at.checked_sub(age).unwrap_or(sent_at);
                let event = cache_event(it.change);
                groups.prefixes.apply_event(&cache.group, sequence, event, published_at);
                groups.cache_events += 1;
            }
        }
    }

    /// Returns whether a group is known to have a prefix in its cache.
    pub(crate) fn prefix_residency(&self, group: &GroupId, prefix: PrefixHash) -> PrefixResidency {
        lock(&self.groups).prefixes.residency(group, prefix)
    }

    /// Returns the counts of cache events and cached prefixes.
    pub(crate) fn cache_events(&self) -> CacheEventCounts {
        let groups = lock(&self.groups);
        let prefixes = &groups.prefixes;
        CacheEventCounts {
            applied: groups.cache_events,
            gaps: prefixes.gaps(),
            cached_prefixes: prefixes.confirmed_count() as u64,
        }
    }

    /// Records the start of an attempt at a group; dropping the guard ends it.
    pub(crate) fn begin_attempt(
        &self,
        group: &GroupId,
        prefix: PrefixHash,
        now: Instant,
    ) -> AttemptGuard<'_> {
        let mut groups = lock(&self.groups);
        groups.loads.entry(group.clone()).or_default().record_sent(now);
        groups.prefixes.record_sent(group, prefix, now);
        AttemptGuard { routing: self, group: group.clone() }
    }

    /// Records the time to the first token, or the time waited before an attempt ended without one.
    pub(crate) fn record_first_token(&self, group: &GroupId, time: Duration) {
        let mut groups = lock(&self.groups);
        let in_flight = groups.loads.get(group).map_or(0, LoadEstimate::own_in_flight);
        groups.first_tokens.observe(group, time);
        self.limit(&mut groups, group).observe(time, in_flight);
    }

    /// Returns how many of this gateway's requests the groups together may have in flight.
    pub(crate) fn capacity(&self, candidates: &[LeasedGroup]) -> u32 {
        let mut groups = lock(&self.groups);
        candidates.iter().map(|it| self.limit(&mut groups, &it.group).get()).sum()
    }

    /// Returns the shortest expected time to the first token among the groups.
    pub(crate) fn expected_first_token(&self, candidates: &[LeasedGroup]) -> Duration {
        let groups = lock(&self.groups);
        let times = candidates.iter().map(|it| groups.first_tokens.get(&it.group));
        times.map(Option::unwrap_or_default).min().unwrap_or_default()
    }

    fn limit<'a>(&self, groups: &'a mut Groups, group: &GroupId) -> &'a mut ConcurrencyLimit {
        let new = ConcurrencyLimit::new(self.limit_start, self.first_token_target);
        groups.limits.entry(group.clone()).or_insert(new)
    }
}

/// Guard of an attempt; while it exists, the attempt counts as in flight at its group.
#[derive(Debug)]
pub(crate) struct AttemptGuard<'a> {
    routing: &'a Routing,
    group: GroupId,
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        let mut groups = lock(&self.routing.groups);
        if let Some(load) = groups.loads.get_mut(&self.group) {
            load.record_end(Instant::now());
        }
    }
}

/// Returns the hash by which engines identify a prompt's prefix.
pub(crate) fn prefix_hash(prompt: &str) -> PrefixHash {
    PrefixHash(PromptPrefix::of(prompt).0.into())
}

fn cache_event(change: CacheChange) -> CacheEvent {
    match change {
        CacheChange::Stored(prefix) => CacheEvent::Stored(PrefixHash(prefix)),
        CacheChange::Evicted(prefix) => CacheEvent::Evicted(PrefixHash(prefix)),
        CacheChange::Cleared => CacheEvent::Cleared,
    }
}
