//! One value of the store with the claims on many keys.

use std::collections::BTreeMap;

use mangocross_types::AttemptId;
use serde::Deserialize;
use serde::Serialize;

use crate::Claim;
use crate::ClaimDigest;
use crate::ClaimState;
use crate::RecordedAnswer;

/// Largest shard that takes another claim, in bytes.
const CLAIM_BYTES_MAX: usize = 600_000;
/// Largest shard that takes another answer with its body, in bytes.
const ANSWER_BYTES_MAX: usize = 900_000;
/// Bytes of a claim beside its variable parts, when written as JSON.
const CLAIM_BYTES_FIXED: usize = 240;
/// Most bytes that JSON takes for one byte of text.
const ESCAPED_BYTES_MAX: usize = 6;

/// The claims on keys of one window and one part of the digests.
///
/// The window only rises. A key of an earlier window is refused, whether or not
/// a claim on it was ever made here, so dropping old claims opens no way to a
/// second run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimShard {
    window: u64,
    claims: BTreeMap<ClaimDigest, Claim>,
}

/// What a key's claim allows an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ClaimDecision {
    /// This attempt holds the claim and may send, once.
    Granted,
    /// The request ran before, with this answer.
    Ran(RecordedAnswer),
    /// Another attempt holds the claim and has not ended.
    InProgress,
    /// Another attempt may have run the request; its answer is not known.
    OutcomeUnknown,
    /// This attempt's own claim was frozen before it was granted; the attempt must not send
    /// and has to release it.
    Overdue,
    /// Another customer claimed the key.
    CustomerMismatch,
    /// The key was claimed for another request.
    RequestMismatch,
    /// Claims on keys of this age are no longer kept.
    Expired,
    /// The key was made too far in the future.
    TooFarAhead,
    /// The shard takes no more claims.
    Full,
}

/// A claim to be made.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimRequest {
    /// Window of the key.
    pub window: u64,
    /// Digest of the key.
    pub key: ClaimDigest,
    /// Whether the key was made too far in the future, by the clock of the entry VM.
    pub too_far_ahead: bool,
    /// The claim, held.
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

    /// Claims a key, or says who has it; a claim whose holder is overdue is frozen.
    ///
    /// Repeating the call for the same attempt changes nothing.
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
        if request.window == self.window && self.bytes_max() > CLAIM_BYTES_MAX {
            return ClaimDecision::Full;
        }
        self.advance_window(request.window);
        self.claims.insert(request.key.clone(), request.claim.clone());
        ClaimDecision::Granted
    }

    /// Records how the holder's attempt ended; a record once made stays.
    ///
    /// The holder of a frozen claim may still record its outcome.
    pub fn finish(&mut self, key: &ClaimDigest, holder: &AttemptId, state: &ClaimState) {
        let has_room = self.bytes_max() <= ANSWER_BYTES_MAX;
        let Some(claim) = self.open_claim(key, holder) else { return };
        claim.state = match state {
            ClaimState::Done(answer) if !has_room => ClaimState::Done(answer.without_body()),
            _ => state.clone(),
        };
    }

    /// Drops the claim of an attempt that sent nothing and never will.
    pub fn release(&mut self, key: &ClaimDigest, holder: &AttemptId) {
        if self.open_claim(key, holder).is_some() {
            self.claims.remove(key);
        }
    }

    /// Raises the window; claims of earlier ones are dropped.
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

    /// Returns a bound on the size of the shard's JSON form, in bytes.
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
