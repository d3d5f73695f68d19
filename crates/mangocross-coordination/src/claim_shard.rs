//! A shard of claims: one store value that holds the claims on many keys.

use std::collections::BTreeMap;

use mangocross_types::AttemptId;
use serde::Deserialize;
use serde::Serialize;

use crate::Claim;
use crate::ClaimDigest;
use crate::ClaimState;
use crate::RecordedResponse;

/// Largest shard to which another claim is added, in bytes.
const SHARD_BYTES_MAX_FOR_CLAIM: usize = 600_000;
/// Largest shard to which a response is added with its body, in bytes.
const SHARD_BYTES_MAX_FOR_BODY: usize = 900_000;
/// Bytes of the fixed parts of a claim, as JSON.
const CLAIM_BYTES_FIXED: usize = 240;
/// Maximum number of JSON bytes for one byte of text.
const ESCAPED_BYTES_MAX: usize = 6;

/// The claims on the keys of one window whose digests fall into one shard.
///
/// The window only increases. A key of an earlier window is refused whether or not it was ever
/// claimed here, so dropping old claims cannot let a request run twice.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimShard {
    window: u64,
    claims: BTreeMap<ClaimDigest, Claim>,
}

/// The result of an attempt's claim on a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ClaimDecision {
    /// This attempt holds the claim and may send, once.
    Granted,
    /// The request ran before, with this response.
    Ran(RecordedResponse),
    /// Another attempt holds the claim and has not ended.
    InProgress,
    /// Another attempt may have run the request; its response is not known.
    OutcomeUnknown,
    /// This attempt's own claim was frozen before it was granted; the attempt must not send the
    /// request and must release the claim.
    Overdue,
    /// Another customer claimed the key.
    CustomerMismatch,
    /// The key was claimed for another request.
    RequestMismatch,
    /// Claims on keys of this age are no longer kept.
    Expired,
    /// The time of the key is too far in the future.
    TooFarAhead,
    /// The shard has no space for another claim.
    Full,
}

/// A request for a claim on a key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimRequest {
    /// Window of [`crate::ClaimLayout`] in which the key was created.
    pub window: u64,
    /// Digest of the key.
    pub key: ClaimDigest,
    /// Whether the time of the key is too far ahead of the clock of the entry VM.
    pub too_far_ahead: bool,
    /// The claim to store, in state [`ClaimState::Held`].
    pub claim: Claim,
}

impl ClaimShard {
    /// Returns the claim on a key, if one is kept.
    pub fn claim(&self, key: &ClaimDigest) -> Option<&Claim> {
        self.claims.get(key)
    }

    /// Returns the number of claims kept.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Claims a key, or returns the state of the existing claim; an overdue claim is frozen.
    ///
    /// The call is idempotent for the same attempt.
    pub fn begin(&mut self, request: &ClaimRequest, now_s: u64) -> ClaimDecision {
        if request.window < self.window {
            return ClaimDecision::Expired;
        }
        if request.window == self.window
            && let Some(held) = self.claims.get_mut(&request.key)
        {
            return decide(held, &request.claim, now_s);
        }
        if request.too_far_ahead {
            return ClaimDecision::TooFarAhead;
        }
        if request.window == self.window && self.bytes_max() > SHARD_BYTES_MAX_FOR_CLAIM {
            return ClaimDecision::Full;
        }
        self.advance_window(request.window);
        self.claims.insert(request.key.clone(), request.claim.clone());
        ClaimDecision::Granted
    }

    /// Records how the holder's attempt ended; a recorded outcome is never changed.
    ///
    /// The holder of a frozen claim may still record its outcome.
    pub fn finish(&mut self, key: &ClaimDigest, holder: &AttemptId, state: &ClaimState) {
        let has_room = self.bytes_max() <= SHARD_BYTES_MAX_FOR_BODY;
        let Some(claim) = self.open_claim(key, holder) else { return };
        claim.state = match state {
            ClaimState::Done(answer) if !has_room => ClaimState::Done(answer.without_body()),
            _ => state.clone(),
        };
    }

    /// Drops the claim of an attempt that has not sent the request and never will.
    pub fn release(&mut self, key: &ClaimDigest, holder: &AttemptId) {
        if self.open_claim(key, holder).is_some() {
            self.claims.remove(key);
        }
    }

    /// Advances the window and drops the claims of earlier ones.
    fn advance_window(&mut self, window: u64) {
        if window > self.window {
            self.window = window;
            self.claims.clear();
        }
    }

    fn open_claim(&mut self, key: &ClaimDigest, holder: &AttemptId) -> Option<&mut Claim> {
        let claim = self.claims.get_mut(key)?;
        let open = matches!(claim.state, ClaimState::Held | ClaimState::Frozen);
        (open && claim.holder == *holder).then_some(claim)
    }

    /// Returns an upper bound on the size of the shard as JSON, in bytes.
    fn bytes_max(&self) -> usize {
        self.claims.values().map(claim_bytes_max).sum()
    }
}

fn decide(held: &mut Claim, requested: &Claim, now_s: u64) -> ClaimDecision {
    if held.customer != requested.customer {
        return ClaimDecision::CustomerMismatch;
    }
    if held.request != requested.request {
        return ClaimDecision::RequestMismatch;
    }
    let own = held.holder == requested.holder;
    match &held.state {
        ClaimState::Frozen if own => ClaimDecision::Overdue,
        ClaimState::Done(answer) => ClaimDecision::Ran(answer.clone()),
        ClaimState::Unknown | ClaimState::Frozen => ClaimDecision::OutcomeUnknown,
        ClaimState::Held if own => ClaimDecision::Granted,
        ClaimState::Held if now_s > held.freeze_after_s => {
            held.state = ClaimState::Frozen;
            ClaimDecision::OutcomeUnknown
        }
        ClaimState::Held => ClaimDecision::InProgress,
    }
}

fn claim_bytes_max(claim: &Claim) -> usize {
    let ids = claim.customer.as_str().len() + claim.holder.as_str().len();
    let ClaimState::Done(answer) = &claim.state else { return CLAIM_BYTES_FIXED + ids };
    let content_type = answer.content_type.as_ref().map_or(0, String::len);
    let body = answer.body.bytes().map_or(0, <[u8]>::len);
    CLAIM_BYTES_FIXED + ids + ESCAPED_BYTES_MAX * (content_type + body)
}
