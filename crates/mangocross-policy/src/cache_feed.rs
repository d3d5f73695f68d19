//! The newest events of a group's cache, to be passed on.

use std::collections::VecDeque;
use std::time::Instant;

use crate::CacheEvent;
use crate::CacheSequence;

/// Events kept for those who ask later.
const EVENTS_MAX: usize = 64;

/// An event of a group's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PublishedEvent {
    /// Place in what the cache published.
    pub sequence: CacheSequence,
    /// What happened.
    pub event: CacheEvent,
    /// When it was published, at the latest.
    pub published_at: Instant,
}

/// The newest events of a group's cache, in order, of one epoch.
#[derive(Debug, Clone, Default)]
pub struct CacheFeed {
    events: VecDeque<PublishedEvent>,
}

impl CacheFeed {
    /// Takes in an event; one that is already there is ignored, one of another epoch drops all.
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

    /// Returns the place of the newest event.
    pub fn newest(&self) -> Option<CacheSequence> {
        self.events.back().map(|it| it.sequence)
    }

    /// Returns the events after a place, or all of them if it is of another epoch.
    pub fn after(&self, place: Option<CacheSequence>) -> impl Iterator<Item = PublishedEvent> {
        let is_after = move |it: &PublishedEvent| {
            place.is_none_or(|place| {
                it.sequence.epoch != place.epoch || it.sequence.number > place.number
            })
        };
        self.events.iter().copied().filter(is_after)
    }
}
