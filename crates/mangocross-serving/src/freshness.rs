//! Freshness of the configuration that is in use.

use std::time::Duration;

use crate::Moment;

/// Subtracted from the time within which a revoked API key must be refused.
const KEY_REVOCATION_MARGIN: Duration = Duration::from_millis(250);

/// Tracks when the configuration in use was last confirmed to be the newest.
///
/// A linearizable read or a watch confirms it as of the time of the request,
/// never as of the time of the response.
#[derive(Debug, Clone, Copy, Default)]
pub struct ConfigurationFreshness {
    requested_at: Option<Moment>,
}

impl ConfigurationFreshness {
    /// Records that the store confirmed the configuration in response to a request sent at
    /// `requested_at`.
    pub fn confirm(&mut self, requested_at: Moment) {
        self.requested_at = self.requested_at.max(Some(requested_at));
    }

    /// Records a confirmation that another entry VM passed on in answer to a question asked at
    /// `requested_at`.
    ///
    /// That VM measures both times on its own boot clock: `held` from the arrival of the question,
    /// and `age` from its own request to the store, until it answered. The question arrived after
    /// `requested_at`, so the moment counted here is never later than that request. This holds for
    /// an answer that is late or arrives twice as well.
    pub fn confirm_relayed(&mut self, requested_at: Moment, held: Duration, age: Duration) {
        if let Some(confirmed_at) = (requested_at + held).checked_before(age) {
            self.confirm(confirmed_at);
        }
    }

    /// Returns the time since the request of the latest confirmation, if there is one.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.requested_at.map(|it| now.since(it))
    }

    /// Returns whether the configuration was confirmed recently enough to accept API keys in a
    /// request received at `received_at`.
    pub fn is_fresh_at(&self, received_at: Moment, revoke_within: Duration) -> bool {
        self.age(received_at).is_some_and(|it| it + KEY_REVOCATION_MARGIN < revoke_within)
    }
}
