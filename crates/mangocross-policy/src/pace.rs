//! Checks whether a backend server's tokens arrive in time.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Number of token gaps in the moving average.
const MEAN_GAPS: usize = 8;

/// Time limits for the tokens of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PaceLimits {
    /// Longest wait for the first token before it counts as late.
    pub first_token: Duration,
    /// Longest wait for a later token before it counts as late.
    pub token_gap: Duration,
    /// Mean of the newest gaps above which the answer is late.
    pub mean_gap: Duration,
    /// Multiple of a wait limit after which the backend server counts as silent.
    pub patience: u32,
}

/// How an answer progresses, and what to do about it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaceStatus {
    /// Tokens arrive within the limits: keep waiting.
    OnTime,
    /// The first token is overdue, or the mean gap is too long: switch to another group if there
    /// is one and the retry budget permits; keep waiting otherwise.
    Late,
    /// Tokens came and then stopped: switch to another group, or open a new connection to the same
    /// one, as the connection itself may be dead; keep waiting if the retry budget does not permit.
    Stalled,
    /// No token came for `patience` times the limit: abort the attempt.
    Silent,
}

/// Times of one attempt's tokens, checked against [`PaceLimits`].
#[derive(Debug, Clone)]
pub struct TokenTimes {
    limits: PaceLimits,
    /// Start of the attempt until the first token comes, then the times of the newest tokens.
    timestamps: VecDeque<Instant>,
    has_token: bool,
}

impl TokenTimes {
    /// Starts to record the token times of an attempt that begins at `now`.
    pub fn new(limits: PaceLimits, now: Instant) -> Self {
        Self { limits, timestamps: VecDeque::from([now]), has_token: false }
    }

    /// Records that a token arrived at `now`.
    pub fn record_token(&mut self, now: Instant) {
        if !self.has_token {
            self.timestamps.clear();
            self.has_token = true;
        }
        if self.timestamps.len() > MEAN_GAPS {
            self.timestamps.pop_front();
        }
        self.timestamps.push_back(now);
    }

    /// Returns whether the first token is overdue for a group without a valid health lease: the
    /// wait is then limited as for a later token.
    pub fn is_overdue_without_lease(&self, now: Instant) -> bool {
        !self.has_token && self.waited(now) >= self.limits.token_gap
    }

    /// Returns how the answer progresses.
    pub fn status(&self, now: Instant) -> PaceStatus {
        let waited = self.waited(now);
        let limit = self.gap_limit();
        if waited >= limit * self.limits.patience {
            return PaceStatus::Silent;
        }
        match (waited >= limit, self.has_token) {
            (true, true) => PaceStatus::Stalled,
            (true, false) => PaceStatus::Late,
            (false, _) if self.is_slow() => PaceStatus::Late,
            (false, _) => PaceStatus::OnTime,
        }
    }

    fn waited(&self, now: Instant) -> Duration {
        self.timestamps.back().map_or(Duration::ZERO, |it| now.duration_since(*it))
    }

    fn gap_limit(&self) -> Duration {
        if self.has_token { self.limits.token_gap } else { self.limits.first_token }
    }

    fn is_slow(&self) -> bool {
        let (Some(first), Some(last)) = (self.timestamps.front(), self.timestamps.back()) else {
            return false;
        };
        let gaps = self.timestamps.len() - 1;
        gaps == MEAN_GAPS && last.duration_since(*first) > self.limits.mean_gap * gaps as u32
    }
}
