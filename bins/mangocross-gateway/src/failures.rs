//! Requests that failed lately, on their way to the coordinator.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use mangocross_types::Refusal;
use mangocross_types::RequestId;
use peer_entry::RequestFailure;

use crate::state::lock;

/// Failures kept until they are sent; older ones are dropped first.
const UNSENT_MAX: usize = 256;
/// Failures in one poll, so that it fits a usual network packet.
const PER_POLL_MAX: usize = 4;
/// Longest message, in characters.
const MESSAGE_CHARS_MAX: usize = 160;

/// Requests that failed lately, on their way to the coordinator.
#[derive(Debug, Default)]
pub(crate) struct FailureLog {
    unsent: Mutex<VecDeque<RequestFailure>>,
}

impl FailureLog {
    /// Remembers a failure.
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

    /// Takes the newest failures that were not taken yet.
    pub(crate) fn drain_newest(&self) -> Vec<RequestFailure> {
        let mut unsent = lock(&self.unsent);
        let first = unsent.len().saturating_sub(PER_POLL_MAX);
        unsent.drain(first..).collect()
    }
}
