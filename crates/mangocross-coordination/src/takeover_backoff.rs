//! When a coordinator may take over a fabric domain.
//!
//! Two coordinators that cannot reach each other may both consider themselves the preferred owner
//! of a domain. The store lets only one of them win at a time. The exponential backoff gives the
//! winner time to work before the other one takes over.

use std::time::Duration;
use std::time::Instant;

/// Largest multiple of the base wait.
const WAIT_FACTOR_MAX: u32 = 64;

/// The backoff of one coordinator before it takes over one fabric domain.
#[derive(Debug, Clone)]
pub struct TakeoverBackoff {
    base: Duration,
    losses: u32,
    not_before: Option<Instant>,
    /// When this coordinator was first seen to own the domain, or attempted a takeover.
    owned_or_attempted_since: Option<Instant>,
    preferred_since: Option<Instant>,
}

impl TakeoverBackoff {
    /// Returns a state without losses.
    pub fn new(base: Duration) -> Self {
        Self {
            base,
            losses: 0,
            not_before: None,
            owned_or_attempted_since: None,
            preferred_since: None,
        }
    }

    /// Records that this coordinator owns the domain at `now`.
    pub fn record_owned(&mut self, now: Instant) {
        let since = *self.owned_or_attempted_since.get_or_insert(now);
        self.preferred_since = None;
        if now.saturating_duration_since(since) >= self.base * WAIT_FACTOR_MAX {
            self.losses = 0;
        }
    }

    /// Records that another coordinator owns the domain at `now`.
    ///
    /// `jitter_permille` lengthens the wait to at most twice its length, so that two coordinators
    /// do not wait equally long.
    pub fn record_owned_by_other(&mut self, now: Instant, jitter_permille: u32) {
        if self.owned_or_attempted_since.take().is_none() {
            return;
        }
        let wait = self.base * 2_u32.saturating_pow(self.losses).min(WAIT_FACTOR_MAX);
        self.losses = self.losses.saturating_add(1);
        self.not_before = Some(now + wait + wait * jitter_permille.min(1_000) / 1_000);
    }

    /// Records that this coordinator should not own the domain.
    pub fn record_not_preferred(&mut self) {
        self.preferred_since = None;
        self.owned_or_attempted_since = None;
    }

    /// Records that a takeover failed because the store was unavailable, which is not a loss.
    pub fn record_store_failure(&mut self) {
        self.owned_or_attempted_since = None;
    }

    /// Records the start of a takeover if one is allowed now, and returns whether it is.
    ///
    /// If another coordinator then owns the domain, that counts as a loss.
    ///
    /// An owner that is not live is replaced at once. A live owner is replaced only after this
    /// coordinator has been the preferred owner for the base wait.
    pub fn begin_takeover(&mut self, owner_is_live: bool, now: Instant) -> bool {
        let preferred_since = *self.preferred_since.get_or_insert(now);
        let waited = !owner_is_live || now.saturating_duration_since(preferred_since) >= self.base;
        let is_allowed = waited && self.not_before.is_none_or(|it| now >= it);
        if is_allowed {
            // The attempt counts as owning the domain, so that a takeover won by another
            // coordinator is a loss.
            self.owned_or_attempted_since.get_or_insert(now);
        }
        is_allowed
    }
}
