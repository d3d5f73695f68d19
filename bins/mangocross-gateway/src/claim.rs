//! Durable claims: a request that may not be repeated is sent at most once.

use mangocross_types::AttemptId;
use mangocross_types::CustomerId;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::Revision;
use peer_store::Store;
use peer_store::StoreErrorKind;
use peer_store::read_json;
use peer_store::swap_json;
use serde::Deserialize;
use serde::Serialize;

/// A claim on an idempotency key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Claim {
    customer: CustomerId,
    body_digest: String,
    holder: AttemptId,
    state: ClaimState,
}

/// How far the claimed request has come.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ClaimState {
    /// The holder may send the request, or has.
    Held,
    /// The request ran, with this answer.
    Done { status: u16, content_type: Option<String>, body: String },
    /// The request may have run; its answer is not known.
    Unknown,
}

/// What a claim allows.
pub(crate) enum Claimed {
    /// This attempt holds the claim and may send, once.
    Mine { key: String, claim: Claim, revision: Revision },
    /// The request ran before, with this answer.
    Replay { status: u16, content_type: Option<String>, body: String },
}

/// Claims an idempotency key for an attempt, before any byte is sent.
pub(crate) fn claim(
    store: &dyn Store,
    customer: &CustomerId,
    idempotency_key: &str,
    body: &[u8],
    holder: &AttemptId,
) -> Result<Claimed, Refusal> {
    let key = format!("claims/{}", blake3::hash(idempotency_key.as_bytes()).to_hex());
    let claim = Claim {
        customer: customer.clone(),
        body_digest: blake3::hash(body).to_hex().to_string(),
        holder: holder.clone(),
        state: ClaimState::Held,
    };
    match swap_json(store, &key, Revision(0), &claim) {
        Ok(Some(revision)) => return Ok(Claimed::Mine { key, claim, revision }),
        Ok(None) => {}
        Err(error) => {
            let text = format!("the claim could not be stored: {error}");
            return Err(Refusal::not_run(error.kind.result_code(), text));
        }
    }
    let (held, _) = read_json::<Claim>(store, &key).map_err(|it| {
        Refusal::not_run(StoreErrorKind::Unavailable.result_code(), it.to_string())
    })?;
    held.map_or_else(|| Err(in_progress()), |it| of_another(it, &claim))
}

fn of_another(held: Claim, mine: &Claim) -> Result<Claimed, Refusal> {
    if held.customer != mine.customer {
        let text = "this idempotency key is in use by another customer; use a new one";
        return Err(Refusal::not_run(ResultCode::KeyCustomerMismatch, text));
    }
    if held.body_digest != mine.body_digest {
        let text = "this idempotency key was used with another body; use a new one";
        return Err(Refusal::not_run(ResultCode::KeyBodyMismatch, text));
    }
    match held.state {
        ClaimState::Done { status, content_type, body } => {
            Ok(Claimed::Replay { status, content_type, body })
        }
        ClaimState::Held => Err(in_progress()),
        ClaimState::Unknown => {
            let text =
                "the first attempt with this key ended without a known outcome; ask the service";
            Err(Refusal::unknown(ResultCode::OutcomeUnknown, text))
        }
    }
}

fn in_progress() -> Refusal {
    let text = "an attempt with this key has not ended; come back for its outcome";
    Refusal::unknown(ResultCode::ClaimInProgress, text)
        .retry_after(std::time::Duration::from_secs(2))
}

/// Records how the claimed request ended.
pub(crate) fn record(
    store: &dyn Store,
    key: &str,
    claim: &Claim,
    revision: Revision,
    state: ClaimState,
) {
    let ended = Claim { state, ..claim.clone() };
    if let Err(error) = swap_json(store, key, revision, &ended) {
        log::warn!("the outcome of {key} was not recorded: {error}");
    }
}
