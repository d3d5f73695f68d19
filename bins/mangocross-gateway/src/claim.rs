//! Claims on idempotency keys, and their refusals to callers.

use std::time::Duration;

use mangocross_claims::ClaimError;
use mangocross_claims::ClaimLog;
use mangocross_coordination::ClaimAttempt;
use mangocross_coordination::ClaimDecision;
use mangocross_coordination::ClaimDigest;
use mangocross_coordination::ClaimKey;
use mangocross_coordination::ClaimState;
use mangocross_coordination::RecordedResponse;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::RunOutcome;
use peer_service::ServiceAnswer;
use peer_service::ServiceCall;

use crate::metrics::GatewayMetrics;

/// Minimum retry delay when the store, this entry VM or another attempt prevents the claim.
const RETRY_BASE: Duration = Duration::from_millis(1_000);

/// Result of a claim that did not fail.
#[derive(Debug)]
pub(crate) enum Claimed {
    /// This attempt holds the claim and may send the call once.
    Granted(ClaimAttempt),
    /// The request ran before; this is its recorded answer.
    Replay(ServiceAnswer),
}

/// Claims the idempotency key of a call before any byte of it is sent, and counts the outcome.
pub(crate) fn claim(
    claims: &ClaimLog,
    metrics: &GatewayMetrics,
    key: &str,
    call: &ServiceCall,
    deadline: Duration,
) -> Result<Claimed, Refusal> {
    let key: ClaimKey =
        key.parse().map_err(|it| Refusal::not_run(ResultCode::KeyInvalid, format!("{it}")))?;
    let grant = claims.new_attempt(key, call.attempt_id.clone(), deadline);
    let result = claims.begin(&grant, &call.customer, digest(call));
    metrics.record_claim(outcome_name(&result));
    match result {
        Ok(ClaimDecision::Granted) => Ok(Claimed::Granted(grant)),
        Ok(ClaimDecision::Ran(answer)) => replay(&answer).map(Claimed::Replay),
        Ok(decision) => Err(decision_refusal(&decision)),
        Err(error) => Err(error_refusal(error)),
    }
}

/// Returns the metric label of a claim's outcome.
fn outcome_name(result: &Result<ClaimDecision, ClaimError>) -> &'static str {
    match result {
        Ok(ClaimDecision::Granted) => "granted",
        Ok(ClaimDecision::Ran(_)) => "ran_before",
        Ok(ClaimDecision::InProgress) => "in_progress",
        Ok(ClaimDecision::OutcomeUnknown) => "outcome_unknown",
        Ok(ClaimDecision::CustomerMismatch) => "customer_mismatch",
        Ok(ClaimDecision::RequestMismatch) => "request_mismatch",
        Ok(ClaimDecision::Expired) => "expired",
        Ok(ClaimDecision::TooFarAhead) => "too_far_ahead",
        Ok(ClaimDecision::Full) => "full",
        Ok(ClaimDecision::Overdue) => "overdue",
        Err(ClaimError::StoreUnavailable) => "store_unavailable",
        Err(ClaimError::AnswerLost) => "answer_lost",
        Err(ClaimError::TimedOut) => "timed_out",
        Err(ClaimError::Contended) => "contended",
        Err(ClaimError::Overloaded) => "overloaded",
    }
}

/// Returns the claim state that records an answer.
pub(crate) fn done_state(answer: &ServiceAnswer) -> ClaimState {
    let content_type = answer.content_type.as_deref();
    ClaimState::Done(RecordedResponse::new(answer.status, content_type, &answer.body))
}

/// Returns a random time between `base` and twice `base`.
pub(crate) fn jittered(base: Duration) -> Duration {
    base + base.mul_f64(fastrand::f64())
}

fn digest(call: &ServiceCall) -> ClaimDigest {
    let content_type = call.content_type.as_deref().unwrap_or_default();
    let method = format!("{:?}", call.method);
    ClaimDigest::of(&[method.as_bytes(), call.path.as_bytes(), content_type.as_bytes(), &call.body])
}

fn replay(answer: &RecordedResponse) -> Result<ServiceAnswer, Refusal> {
    let Some(body) = answer.body.bytes() else {
        let text = format!(
            "the request ran before and was answered with status {}; its body was too large to be kept",
            answer.status
        );
        let mut refusal = Refusal::not_run(ResultCode::AnswerNotKept, text);
        refusal.outcome = RunOutcome::Ran;
        return Err(refusal);
    };
    Ok(ServiceAnswer {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: body.to_vec(),
    })
}

fn decision_refusal(decision: &ClaimDecision) -> Refusal {
    match decision {
        ClaimDecision::CustomerMismatch => {
            let text = "this idempotency key is in use by another customer; use a new one";
            Refusal::not_run(ResultCode::KeyCustomerMismatch, text)
        }
        ClaimDecision::RequestMismatch => {
            let text = "this idempotency key was used with another request; use a new one";
            Refusal::not_run(ResultCode::KeyBodyMismatch, text)
        }
        ClaimDecision::InProgress => {
            let text = "an attempt with this key has not ended; come back with the same key";
            Refusal::unknown(ResultCode::ClaimInProgress, text).retry_after(jittered(RETRY_BASE))
        }
        ClaimDecision::OutcomeUnknown => {
            let text =
                "an attempt with this key may have run and its answer is lost; ask the service";
            Refusal::unknown(ResultCode::OutcomeUnknown, text)
        }
        ClaimDecision::Expired => {
            let text =
                "claims on keys of this age are no longer kept; ask the service whether it ran";
            Refusal::unknown(ResultCode::KeyExpired, text)
        }
        ClaimDecision::TooFarAhead => {
            let text = "the idempotency key was made in the future; correct the clock that made it";
            Refusal::not_run(ResultCode::KeyInvalid, text)
        }
        ClaimDecision::Full => {
            let text = "too many keys were made in these seconds; use a new key";
            Refusal::not_run(ResultCode::Overloaded, text).retry_after(jittered(RETRY_BASE))
        }
        // `claim` handles `Granted` and `Ran`.
        ClaimDecision::Overdue | ClaimDecision::Granted | ClaimDecision::Ran(_) => {
            deadline_refusal()
        }
    }
}

/// Returns the refusal for an attempt whose deadline passed before it could send.
pub(crate) fn deadline_refusal() -> Refusal {
    let text = "the deadline passed before the request could be sent; come back with the same key";
    Refusal::not_run(ResultCode::DeadlineExceeded, text).retry_after(jittered(RETRY_BASE))
}

fn error_refusal(error: ClaimError) -> Refusal {
    let (code, text) = match error {
        ClaimError::StoreUnavailable => {
            (ResultCode::StoreUnavailable, "the claim on the key could not be stored")
        }
        ClaimError::AnswerLost => {
            (ResultCode::StoreAnswerLost, "the claim on the key could not be confirmed")
        }
        ClaimError::TimedOut => {
            (ResultCode::StoreUnavailable, "the claim on the key was not stored in time")
        }
        ClaimError::Contended | ClaimError::Overloaded => {
            (ResultCode::Overloaded, "too many claims are made at once")
        }
    };
    let text = format!("{text}, so nothing was sent; come back with the same key");
    Refusal::not_run(code, text).retry_after(jittered(RETRY_BASE))
}
