//! Forwards the engines' cache events from probe answers to gateways.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use mangocross_policy::CacheEvent;
use mangocross_policy::CacheFeed;
use mangocross_policy::CacheSequence;
use mangocross_policy::PrefixHash;
use mangocross_policy::PublishedEvent;
use mangocross_types::GroupId;
use mangocross_types::VmId;
use peer_engine::CacheEvents;
use peer_engine::CachePosition;
use peer_engine::PrefixEvent;
use peer_engine::PromptPrefix;
use peer_entry::CacheChange;
use peer_entry::GroupCacheEvents;
use peer_entry::RelayedCacheEvent;

/// Events in one reply, so that it fits a usual network packet; the next reply carries the rest.
const EVENTS_PER_REPLY: usize = 32;

/// The newest cache events of the probed engines, and how far each gateway has received them.
///
/// Each event is sent to each gateway once. A lost event is a gap in the sequence; from then on,
/// the gateway only assumes that prefixes from earlier events are cached.
#[derive(Debug, Default)]
pub(crate) struct CacheRelay {
    feeds: HashMap<VmId, CacheFeed>,
    gateways: HashMap<VmId, GatewayProgress>,
}

/// The newest event sent to a gateway's process, by engine.
#[derive(Debug, Default)]
struct GatewayProgress {
    process_id: u64,
    newest: HashMap<VmId, CacheSequence>,
}

impl CacheRelay {
    /// Returns the position after which an engine's events are requested.
    pub(crate) fn position(&self, engine: &VmId) -> Option<CachePosition> {
        let newest = self.feeds.get(engine)?.newest()?;
        Some(CachePosition { epoch: newest.epoch, number: newest.number })
    }

    /// Records the cache events in an engine's answer to a probe sent at `sent_at`.
    pub(crate) fn record_probe(&mut self, engine: &VmId, cache: &CacheEvents, sent_at: Instant) {
        let feed = self.feeds.entry(engine.clone()).or_default();
        for it in &cache.events {
            let age = Duration::from_millis(it.age_ms.into());
            feed.push(PublishedEvent {
                sequence: CacheSequence { epoch: cache.epoch, number: it.number },
                event: cache_event(it.event),
                published_at: sent_at.checked_sub(age).unwrap_or(sent_at),
            });
        }
    }

    /// Removes an engine that is no longer probed.
    pub(crate) fn remove(&mut self, engine: &VmId) {
        self.feeds.remove(engine);
        for it in self.gateways.values_mut() {
            it.newest.remove(engine);
        }
    }

    /// Returns the events of the given groups' heads that were not yet sent to a gateway's process,
    /// up to the limit of a reply.
    pub(crate) fn events_for(
        &mut self,
        gateway: &VmId,
        process_id: u64,
        groups: &[(GroupId, VmId)],
        now: Instant,
    ) -> Vec<GroupCacheEvents> {
        let progress = self.gateways.entry(gateway.clone()).or_default();
        if progress.process_id != process_id {
            *progress = GatewayProgress { process_id, newest: HashMap::new() };
        }
        let mut remaining = EVENTS_PER_REPLY;
        let mut by_group = Vec::new();
        for (group, engine) in groups {
            let Some(feed) = self.feeds.get(engine) else { continue };
            let position = progress.newest.get(engine).copied();
            let events: Vec<PublishedEvent> = feed.after(position).take(remaining).collect();
            let Some(newest) = events.last().map(|it| it.sequence) else { continue };
            remaining -= events.len();
            progress.newest.insert(engine.clone(), newest);
            let passed = events.iter().map(|it| passed_event(it, now)).collect();
            by_group.push(GroupCacheEvents {
                group: group.clone(),
                epoch: newest.epoch,
                events: passed,
            });
        }
        by_group
    }
}

fn cache_event(event: PrefixEvent) -> CacheEvent {
    let hash = |it: PromptPrefix| PrefixHash(it.0.into());
    match event {
        PrefixEvent::Stored(prefix) => CacheEvent::Stored(hash(prefix)),
        PrefixEvent::Evicted(prefix) => CacheEvent::Evicted(hash(prefix)),
        PrefixEvent::Cleared => CacheEvent::Cleared,
    }
}

fn passed_event(it: &PublishedEvent, now: Instant) -> RelayedCacheEvent {
    let age = now.saturating_duration_since(it.published_at);
    RelayedCacheEvent {
        number: it.sequence.number,
        age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        change: match it.event {
            CacheEvent::Stored(prefix) => CacheChange::Stored(prefix.0),
            CacheEvent::Evicted(prefix) => CacheChange::Evicted(prefix.0),
            CacheEvent::Cleared => CacheChange::Cleared,
        },
    }
}
