//! An attempt that claims an idempotency key and may send the request within a time limit.

use std::time::Duration;
use std::time::Instant;

use mangocross_types::AttemptId;
use mangocross_types::CustomerId;

use crate::Claim;
use crate::ClaimDigest;
use crate::ClaimKey;
use crate::ClaimLayout;
use crate::ClaimRequest;
use crate::ClaimState;

/// Time after the time limit for which the holder can record its outcome before another attempt may
/// freeze the claim.
const FREEZE_MARGIN_S: u64 = 30;
/// How far ahead of this entry VM's clock the time of a key may be, in seconds.
const AHEAD_MAX_S: u64 = 300;

/// An attempt that requests a claim and may send the request once the claim is stored.
///
/// Its time limits are computed before the first write, so they start before any other attempt can
/// see the claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimAttempt {
    /// Idempotency key of the request.
    pub key: ClaimKey,
    /// Id of the attempt, which holds the claim once it is granted.
    pub holder: AttemptId,
    send_before: Instant,
    send_before_s: u64,
    too_far_ahead: bool,
}

impl ClaimAttempt {
    /// Returns an attempt that may send the request within `time_limit` from now.
    pub fn new(
        key: ClaimKey,
        holder: AttemptId,
        time_limit: Duration,
        now: Instant,
        now_s: u64,
    ) -> Self {
        Self {
            too_far_ahead: key.issued_s() > now_s + AHEAD_MAX_S,
            key,
            holder,
            send_before: now + time_limit,
            send_before_s: now_s + time_limit.as_secs() + 1,
        }
    }

    /// Returns the request for the claim.
    pub fn claim_request(
        &self,
        layout: &ClaimLayout,
        customer: CustomerId,
        request_digest: ClaimDigest,
    ) -> ClaimRequest {
        ClaimRequest {
            window: layout.window(&self.key),
            key: self.key.digest().clone(),
            too_far_ahead: self.too_far_ahead,
            claim: Claim {
                customer,
                request: request_digest,
                holder: self.holder.clone(),
                freeze_after_s: self.send_before_s + FREEZE_MARGIN_S,
                state: ClaimState::Held,
            },
        }
    }

    /// Returns whether the request may still be sent; call it right before sending.
    ///
    /// Both clocks are checked, since either may stop while a VM is paused.
    pub fn may_send(&self, now: Instant, now_s: u64) -> bool {
        now < self.send_before && now_s <= self.send_before_s
    }

    /// Returns the time left to send the request and receive the response.
    pub fn time_left(&self, now: Instant) -> Duration {
        self.send_before.saturating_duration_since(now)
    }
}
