//! Cache events of engines, on their way from probes to gateways.

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

/// Events in one reply, so that it fits a usual network packet; the others follow with the next.
const EVENTS_PER_REPLY: usize = 32;

/// The newest cache events of the probed engines, and which gateway was told which.
///
/// Each event is sent to each gateway once. One that is lost on the way is a gap
/// for the gateway, which then takes what it was told for guesses.
#[derive(Debug, Default)]
pub(crate) struct CacheRelay {
    feeds: HashMap<VmId, CacheFeed>,
    gateways: HashMap<VmId, ToldGateway>,
}

/// What a gateway's process was told, by engine.
#[derive(Debug, Default)]
struct ToldGateway {
    process_id: u64,
    newest: HashMap<VmId, CacheSequence>,
}

impl CacheRelay {
    /// Returns from where on an engine's events are asked for.
    pub(crate) fn position(&self, engine: &VmId) -> Option<CachePosition> {
        let newest = self.feeds.get(engine)?.newest()?;
        Some(CachePosition { epoch: newest.epoch, number: newest.number })
    }

    /// Takes in what an engine answered to a probe sent at `asked_at`.
    pub(crate) fn probed(&mut self, engine: &VmId, cache: &CacheEvents, asked_at: Instant) {
        let feed = self.feeds.entry(engine.clone()).or_default();
        for it in &cache.events {
            let age = Duration::from_millis(it.age_ms.into());
            feed.take(PublishedEvent {
                sequence: CacheSequence { epoch: cache.epoch, number: it.number },
                event: event(it.event),
                published_at: asked_at.checked_sub(age).unwrap_or(asked_at),
            });
        }
    }

    /// Forgets an engine that is probed no longer.
    pub(crate) fn forget(&mut self, engine: &VmId) {
        self.feeds.remove(engine);
        for it in self.gateways.values_mut() {
            it.newest.remove(engine);
        }
    }

    /// Returns what a gateway's process was not told yet of some groups and their first members.
    pub(crate) fn events_for(
        &mut self,
        gateway: &VmId,
        process_id: u64,
        groups: &[(GroupId, VmId)],
        now: Instant,
    ) -> Vec<GroupCacheEvents> {
        let told = self.gateways.entry(gateway.clone()).or_default();
        if told.process_id != process_id {
            *told = ToldGateway { process_id, newest: HashMap::new() };
        }
        let mut room = EVENTS_PER_REPLY;
        let mut by_group = Vec::new();
        for (group, engine) in groups {
            let Some(feed) = self.feeds.get(engine) else { continue };
            let place = told.newest.get(engine).copied();
            let events: Vec<PublishedEvent> = feed.after(place).take(room).collect();
            let Some(newest) = events.last().map(|it| it.sequence) else { continue };
            room -= events.len();
            told.newest.insert(engine.clone(), newest);
            let passed = events.iter().map(|it| passed(it, now)).collect();
            by_group.push(GroupCacheEvents {
                group: group.clone(),
                epoch: newest.epoch,
                events: passed,
            });
        }
        by_group
    }
}

fn event(event: PrefixEvent) -> CacheEvent {
    let hash = |it: PromptPrefix| PrefixHash(it.0.into());
    match event {
        PrefixEvent::Stored(prefix) => CacheEvent::Stored(hash(prefix)),
        PrefixEvent::Evicted(prefix) => CacheEvent::Evicted(hash(prefix)),
        PrefixEvent::Cleared => CacheEvent::Cleared,
    }
}

fn passed(it: &PublishedEvent, now: Instant) -> RelayedCacheEvent {
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
