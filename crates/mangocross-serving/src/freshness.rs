//! How long the configuration at hand may be relied on.

use std::time::Duration;

use crate::Moment;

/// Part of the revocation bound that is kept as a margin.
const MARGIN: Duration = Duration::from_millis(250);

/// The latest proof that the configuration at hand is the newest.
///
/// A linearizable read or a watch proves it as of the moment it was asked for,
/// never as of the moment its answer came.
#[derive(Debug, Clone, Copy, Default)]
pub struct FreshnessProof {
    asked_at: Option<Moment>,
}

impl FreshnessProof {
    /// Records an answer of the store to a question asked at a moment.
    pub fn confirm(&mut self, asked_at: Moment) {
        self.asked_at = self.asked_at.max(Some(asked_at));
    }

    /// Returns the age of the proof, if there is one.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.asked_at.map(|it| now.since(it))
    }

    /// Returns whether a key may be trusted in a request that was received at a moment.
    pub fn covers(&self, received_at: Moment, revoke_within: Duration) -> bool {
        self.age(received_at).is_some_and(|it| it + MARGIN < revoke_within)
    }
}
