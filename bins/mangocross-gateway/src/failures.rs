//! Queue of recently failed requests to be reported to the coordinator.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use mangocross_types::Refusal;
use mangocross_types::RequestId;
use peer_entry::RequestFailure;

use crate::state::lock;

/// Maximum number of failures kept until they are sent; the oldest are dropped first.
const UNSENT_MAX: usize = 256;
/// Maximum number of failures in one poll, so that it fits a usual network packet.
const PER_POLL_MAX: usize = 4;
/// Length to which messages are truncated, in characters.
const MESSAGE_CHARS_MAX: usize = 160;

/// Queue of recently failed requests to be reported to the coordinator.
#[derive(Debug, Default)]
pub(crate) struct FailureQueue {
    unsent: Mutex<VecDeque<RequestFailure>>,
}

impl FailureQueue {
    /// Queues a refused or failed request for the next poll.
    pub(crate) fn record(&self, request: &RequestId, refusal: &Refusal, wall: SystemTime) {
        let since = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
        let failure = RequestFailure {
            request: request.clone(),
            code: refusal.code,
            outcome: refusal.outcome,
            message: refusal.message.chars().take(MESSAGE_CHARS_MAX).collect(),
            failed_at_unix_ms: u64::try_from(since.as_millis()).unwrap_or(u64::MAX),
        };
        let mut unsent = lock(&self.unsent);
        if unsent.len() >= UNSENT_MAX {
            unsent.pop_front();
        }
        unsent.push_back(failure);
    }

    /// Removes and returns the newest failures, at most [`PER_POLL_MAX`].
    pub(crate) fn drain_newest(&self) -> Vec<RequestFailure> {
        let mut unsent = lock(&self.unsent);
        let first = unsent.len().saturating_sub(PER_POLL_MAX);
        unsent.drain(first..).collect()
    }
}
