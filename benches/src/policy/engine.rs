//! One group's engine: slots, a queue by priority, and a small prefix cache.

use std::collections::VecDeque;

use mangocross_policy::PrefixHash;

/// Requests that a group runs at once.
pub(crate) const SLOTS: usize = 8;
/// Time between tokens.
pub(crate) const TOKEN_GAP_MS: u64 = 42;
/// Time to the first token when the prefix is cached, and when it is not.
const PREFILL_CACHED_MS: u64 = 120;
const PREFILL_MS: u64 = 480;
/// Prefixes that the cache holds.
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

/// An attempt that has begun.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Started {
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
}

impl Engine {
    pub(crate) fn load(&self) -> u32 {
        (self.running.len() + self.queue.len()) as u32
    }

    pub(crate) fn submit(&mut self, attempt: Attempt) {
        self.queue.push(attempt);
    }

    /// Starts the next attempt if a slot is free; late ones are handed back.
    pub(crate) fn start_next(
        &mut self,
        now_ms: u64,
        slowdown: f64,
        late: &mut Vec<Attempt>,
    ) -> Option<Started> {
        while self.running.len() < SLOTS && !self.queue.is_empty() {
            let order = |it: &(usize, &Attempt)| (it.1.priority, std::cmp::Reverse(it.1.id));
            let next = self.queue.iter().enumerate().max_by_key(order).map(|(place, _)| place)?;
            let attempt = self.queue.remove(next);
            if attempt.deadline_ms < now_ms {
                late.push(attempt);
                continue;
            }
            return Some(self.start(attempt, now_ms, slowdown));
        }
        None
    }

    fn start(&mut self, attempt: Attempt, now_ms: u64, slowdown: f64) -> Started {
        let prefill_ms = if self.touch(attempt.prefix) { PREFILL_CACHED_MS } else { PREFILL_MS };
        let scaled = |ms: u64| (ms as f64 * slowdown) as u64;
        let first_token_ms = now_ms + scaled(prefill_ms);
        let end_ms = first_token_ms + scaled(attempt.tokens * TOKEN_GAP_MS);
        let started = Started { attempt: attempt.id, first_token_ms, end_ms };
        self.running.push(attempt);
        started
    }

    /// Brings a prefix into the cache; returns whether it was there.
    fn touch(&mut self, prefix: PrefixHash) -> bool {
        let place = self.cache.iter().position(|it| *it == prefix);
        place.and_then(|it| self.cache.remove(it));
        self.cache.push_back(prefix);
        if self.cache.len() > CACHED_PREFIXES {
            self.cache.pop_front();
        }
        place.is_some()
    }

    /// Removes an attempt that has ended.
    pub(crate) fn end(&mut self, attempt: u64) -> Option<Attempt> {
        let place = self.running.iter().position(|it| it.id == attempt)?;
        Some(self.running.swap_remove(place))
    }

    /// Loses everything, as when a member goes missing.
    pub(crate) fn break_down(&mut self) -> Vec<Attempt> {
        self.cache.clear();
        let mut lost = std::mem::take(&mut self.running);
        lost.append(&mut self.queue);
        lost.sort_by_key(|it| it.id);
        lost
    }
}
