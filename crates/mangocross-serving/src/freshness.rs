//! How long the configuration at hand may be relied on.

use std::time::Duration;

use crate::Moment;

/// Part of the revocation bound that is kept as a margin.
const REVOCATION_MARGIN: Duration = Duration::from_millis(250);

/// The latest proof that the configuration at hand is the newest.
///
/// A linearizable read or a watch proves it as of the moment it was asked for,
/// never as of the moment its answer came.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConfigurationFreshness {
    requested_at: Option<Moment>,
}

impl ConfigurationFreshness {
    /// Records an answer of the store to a question asked at a moment.
    pub fn confirm(&mut self, requested_at: Moment) {
        self.requested_at = self.requested_at.max(Some(requested_at));
    }

    /// Returns the age of the proof, if there is one.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.requested_at.map(|it| now.since(it))
    }

    /// Returns whether a key may be trusted in a request that was received at a moment.
    pub fn is_fresh_at(&self, received_at: Moment, revoke_within: Duration) -> bool {
        self.age(received_at).is_some_and(|it| it + REVOCATION_MARGIN < revoke_within)
    }
}
