//! Prefix cache of a stand-in engine and the events that it publishes.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use peer_engine::CacheEvents;
use peer_engine::CachePosition;
use peer_engine::NumberedEvent;
use peer_engine::PrefixEvent;
use peer_engine::PromptPrefix;

/// Events kept for later requests; older events appear as a gap.
const EVENTS_MAX: usize = 256;

/// A cache that evicts the least recently used prefix.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    prefixes_max: usize,
    cached: VecDeque<PromptPrefix>,
    epoch: u64,
    last_number: u64,
    published: VecDeque<PublishedEvent>,
}

#[derive(Debug, Clone, Copy)]
struct PublishedEvent {
    at: Instant,
    number: u64,
    event: PrefixEvent,
}

impl PrefixCache {
    pub(crate) fn new(prefixes_max: usize) -> Self {
        let mut cache = Self {
            prefixes_max,
            cached: VecDeque::new(),
            epoch: 0,
            last_number: 0,
            published: VecDeque::new(),
        };
        cache.clear();
        cache
    }

    /// Removes all prefixes and starts a new epoch.
    pub(crate) fn clear(&mut self) {
        self.cached.clear();
        self.published.clear();
        self.epoch = fastrand::u64(..);
        self.last_number = 0;
        self.publish(PrefixEvent::Cleared);
    }

    /// Records the use of a prefix, and adds it if it is not in the cache.
    pub(crate) fn touch(&mut self, prefix: PromptPrefix) {
        match self.cached.iter().position(|it| *it == prefix) {
            Some(position) => drop(self.cached.remove(position)),
            None => self.publish(PrefixEvent::Stored(prefix)),
        }
        self.cached.push_back(prefix);
        if self.cached.len() > self.prefixes_max
            && let Some(evicted) = self.cached.pop_front()
        {
            self.publish(PrefixEvent::Evicted(evicted));
        }
    }

    /// Returns the events after a position that are at least `lag` old, except every
    /// `lose_each`-th one; zero keeps all.
    pub(crate) fn events_after(
        &self,
        after: Option<CachePosition>,
        lag: Duration,
        lose_each: u64,
    ) -> CacheEvents {
        let after = after.filter(|it| it.epoch == self.epoch).map_or(0, |it| it.number);
        let is_lost = |it: &&PublishedEvent| lose_each > 0 && it.number.is_multiple_of(lose_each);
        let visible =
            self.published.iter().filter(|it| it.number > after && it.at.elapsed() >= lag);
        let events = visible.filter(|it| !is_lost(it)).map(|it| NumberedEvent {
            number: it.number,
            age_ms: u32::try_from(it.at.elapsed().as_millis()).unwrap_or(u32::MAX),
            event: it.event,
        });
        CacheEvents { epoch: self.epoch, events: events.collect() }
    }

    fn publish(&mut self, event: PrefixEvent) {
        self.last_number += 1;
        if self.published.len() == EVENTS_MAX {
            self.published.pop_front();
        }
        self.published.push_back(PublishedEvent {
            at: Instant::now(),
            number: self.last_number,
            event,
        });
    }
}
