//! Model of one group's engine: slots, a priority queue, and a small prefix cache.

use std::collections::VecDeque;

use mangocross_policy::CacheEvent;
use mangocross_policy::CacheSequence;
use mangocross_policy::PrefixHash;

/// Requests that a group runs concurrently.
pub(crate) const SLOTS: usize = 8;
/// Time between tokens, in milliseconds.
pub(crate) const TOKEN_GAP_MS: u64 = 42;
/// Time to the first token when the prefix is cached.
const PREFILL_CACHED_MS: u64 = 120;
/// Time to the first token when the prefix is not cached.
const PREFILL_MS: u64 = 480;
/// Capacity of the cache, in prefixes.
pub(crate) const CACHED_PREFIXES: usize = 8;

/// An attempt to run a request.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    pub(crate) id: u64,
    pub(crate) request: usize,
    pub(crate) priority: u16,
    pub(crate) prefix: PrefixHash,
    pub(crate) tokens: u64,
    pub(crate) deadline_ms: u64,
}

/// An attempt that has started, and its completion times.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StartedAttempt {
    pub(crate) attempt: u64,
    pub(crate) first_token_ms: u64,
    pub(crate) end_ms: u64,
}

/// A group's engine.
#[derive(Debug, Clone, Default)]
pub(crate) struct Engine {
    pub(crate) running: Vec<Attempt>,
    queue: Vec<Attempt>,
    cache: VecDeque<PrefixHash>,
    /// Requests started.
    pub(crate) starts: u32,
    /// Requests started whose prefix was cached.
    pub(crate) hits: u32,
    /// Incremented at each reset of the cache.
    epoch: u64,
    /// Events published in this epoch.
    event_count: u64,
    published: Vec<PublishedEvent>,
}

/// A cache event with the time at which it occurred.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PublishedEvent {
    pub(crate) at_ms: u64,
    pub(crate) sequence: CacheSequence,
    pub(crate) event: CacheEvent,
}

impl Engine {
    pub(crate) fn load(&self) -> u32 {
        (self.running.len() + self.queue.len()) as u32
    }

    pub(crate) fn submit(&mut self, attempt: Attempt) {
        self.queue.push(attempt);
    }

    /// Starts the next attempt if a slot is free; attempts past their deadline go to `expired`.
    pub(crate) fn start_next(
        &mut self,
        now_ms: u64,
        slowdown: f64,
        expired: &mut Vec<Attempt>,
    ) -> Option<StartedAttempt> {
        while self.running.len() < SLOTS && !self.queue.is_empty() {
            let order = |it: &(usize, &Attempt)| (it.1.priority, std::cmp::Reverse(it.1.id));
            let next =
                self.queue.iter().enumerate().max_by_key(order).map(|(position, _)| position)?;
            let attempt = self.queue.remove(next);
            if attempt.deadline_ms < now_ms {
                expired.push(attempt);
                continue;
            }
            return Some(self.start(attempt, now_ms, slowdown));
        }
        None
    }

    fn start(&mut self, attempt: Attempt, now_ms: u64, slowdown: f64) -> StartedAttempt {
        let cached = self.touch(attempt.prefix, now_ms);
        self.starts += 1;
        self.hits += u32::from(cached);
        let prefill_ms = if cached { PREFILL_CACHED_MS } else { PREFILL_MS };
        let scaled = |ms: u64| (ms as f64 * slowdown) as u64;
        let first_token_ms = now_ms + scaled(prefill_ms);
        let end_ms = first_token_ms + scaled(attempt.tokens * TOKEN_GAP_MS);
        let started = StartedAttempt { attempt: attempt.id, first_token_ms, end_ms };
        self.running.push(attempt);
        started
    }

    /// Inserts a prefix into the cache or refreshes it; returns whether it was cached.
    fn touch(&mut self, prefix: PrefixHash, now_ms: u64) -> bool {
        let position = self.cache.iter().position(|it| *it == prefix);
        position.and_then(|it| self.cache.remove(it));
        self.cache.push_back(prefix);
        if position.is_none() {
            self.publish(CacheEvent::Stored(prefix), now_ms);
        }
        if self.cache.len() > CACHED_PREFIXES
            && let Some(dropped) = self.cache.pop_front()
        {
            self.publish(CacheEvent::Evicted(dropped), now_ms);
        }
        position.is_some()
    }

    fn publish(&mut self, event: CacheEvent, at_ms: u64) {
        self.event_count += 1;
        let sequence = CacheSequence { epoch: self.epoch, number: self.event_count };
        self.published.push(PublishedEvent { at_ms, sequence, event });
    }

    /// Removes and returns the events that occurred before a time, oldest first.
    pub(crate) fn drain_published(&mut self, before_ms: u64) -> Vec<PublishedEvent> {
        let kept = self.published.iter().position(|it| it.at_ms >= before_ms);
        let rest = self.published.split_off(kept.unwrap_or(self.published.len()));
        std::mem::replace(&mut self.published, rest)
    }

    /// Removes an attempt that has ended.
    pub(crate) fn end(&mut self, attempt: u64) -> Option<Attempt> {
        let position = self.running.iter().position(|it| it.id == attempt)?;
        Some(self.running.swap_remove(position))
    }

    /// Clears the cache and returns all attempts as lost, as when a member fails.
    pub(crate) fn fail(&mut self, now_ms: u64) -> Vec<Attempt> {
        self.cache.clear();
        self.epoch += 1;
        self.event_count = 0;
        self.publish(CacheEvent::Cleared, now_ms);
        let mut lost = std::mem::take(&mut self.running);
        lost.append(&mut self.queue);
        lost.sort_by_key(|it| it.id);
        lost
    }
}
