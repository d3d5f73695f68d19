//! Buffer of the newest events of a group's cache, from which they are forwarded.

use std::collections::VecDeque;
use std::time::Instant;

use crate::CacheEvent;
use crate::CacheSequence;

/// Maximum number of events kept for later readers.
const EVENTS_MAX: usize = 64;

/// An event of a group's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PublishedEvent {
    /// Position in the cache's sequence of events.
    pub sequence: CacheSequence,
    /// Change of the cache: a prefix stored or evicted, or all cleared.
    pub event: CacheEvent,
    /// Latest time at which it can have been published.
    pub published_at: Instant,
}

/// The newest events of a group's cache, in order and all of one epoch.
#[derive(Debug, Clone, Default)]
pub struct CacheFeed {
    events: VecDeque<PublishedEvent>,
}

impl CacheFeed {
    /// Appends an event; one already present is ignored, one of another epoch replaces all others.
    pub fn push(&mut self, event: PublishedEvent) {
        if let Some(newest) = self.newest() {
            let same_epoch = newest.epoch == event.sequence.epoch;
            if same_epoch && newest.number >= event.sequence.number {
                return;
            }
            if !same_epoch {
                self.events.clear();
            }
        }
        if self.events.len() == EVENTS_MAX {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// Returns the position of the newest event.
    pub fn newest(&self) -> Option<CacheSequence> {
        self.events.back().map(|it| it.sequence)
    }

    /// Returns the events after `position`, or all events if it is of another epoch.
    pub fn after(&self, position: Option<CacheSequence>) -> impl Iterator<Item = PublishedEvent> {
        let is_after = move |it: &PublishedEvent| {
            position.is_none_or(|position| {
                it.sequence.epoch != position.epoch || it.sequence.number > position.number
            })
        };
        self.events.iter().copied().filter(is_after)
    }
}
