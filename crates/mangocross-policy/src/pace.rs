//! Whether a backend server's tokens come in time.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Gaps over which the mean is taken.
const MEAN_GAPS: usize = 8;

/// Limits of the pace of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PaceLimits {
    /// Wait for the first token after which it is late.
    pub first_token: Duration,
    /// Wait for a later token after which it is late.
    pub token_gap: Duration,
    /// Mean of the newest gaps above which the answer is late.
    pub mean_gap: Duration,
    /// Factor from late to silent.
    pub patience: u32,
}

/// What the pace of an answer asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PaceStatus {
    /// Wait on.
    OnTime,
    /// Go to another group if there is one and the retry budget permits; wait on otherwise.
    Late,
    /// Tokens came and then stopped: go to another group, or open a fresh connection to the same
    /// one, as the connection itself may have died; wait on if the retry budget does not permit.
    Stalled,
    /// Give the attempt up.
    Silent,
}

/// The pace of one attempt's tokens.
#[derive(Debug, Clone)]
pub struct Pace {
    limits: PaceLimits,
    /// When the attempt started, and when its newest tokens came.
    marks: VecDeque<Instant>,
    has_token: bool,
}

impl Pace {
    /// Returns the pace of an attempt that starts now.
    pub fn new(limits: PaceLimits, now: Instant) -> Self {
        Self { limits, marks: VecDeque::from([now]), has_token: false }
    }

    /// Records a token.
    pub fn token(&mut self, now: Instant) {
        if !self.has_token {
            self.marks.clear();
            self.has_token = true;
        }
        if self.marks.len() > MEAN_GAPS {
            self.marks.pop_front();
        }
        self.marks.push_back(now);
    }

    /// Returns whether the first token has been waited for longer than is sensible for a group
    /// that is no longer proven complete: as long as for a later token.
    pub fn is_overdue_without_lease(&self, now: Instant) -> bool {
        !self.has_token && self.waited(now) >= self.limits.token_gap
    }

    /// Returns what the pace asks for.
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
        self.marks.back().map_or(Duration::ZERO, |it| now.duration_since(*it))
    }

    fn gap_limit(&self) -> Duration {
        if self.has_token { self.limits.token_gap } else { self.limits.first_token }
    }

    fn is_slow(&self) -> bool {
        let (Some(first), Some(last)) = (self.marks.front(), self.marks.back()) else {
            return false;
        };
        let gaps = self.marks.len() - 1;
        gaps == MEAN_GAPS && last.duration_since(*first) > self.limits.mean_gap * gaps as u32
    }
}
