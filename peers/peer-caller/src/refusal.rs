//! Wire form of refusals.

use std::time::Duration;

use mangocross_http::HeaderError;
use mangocross_http::ServerRequest;
use mangocross_types::Refusal;
use mangocross_types::RequestId;
use mangocross_types::ResultCode;
use mangocross_types::RunOutcome;
use serde::Deserialize;
use serde::Serialize;

/// Wire form of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Result code, which states the reason.
    pub code: ResultCode,
    /// Name of the result code.
    pub name: String,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// What happened and what to do.
    pub message: String,
    /// Retry delay in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Id of the request, if it has one.
    pub request_id: Option<RequestId>,
}

impl RefusalBody {
    /// Returns the wire form of a refusal.
    pub fn new(refusal: &Refusal, request_id: Option<&RequestId>) -> Self {
        let milliseconds = |it: Duration| u64::try_from(it.as_millis()).unwrap_or(u64::MAX);
        Self {
            code: refusal.code,
            name: refusal.code.name().to_owned(),
            outcome: refusal.outcome,
            message: refusal.message.clone(),
            retry_after_ms: refusal.retry_after.map(milliseconds),
            request_id: request_id.cloned(),
        }
    }

    /// Returns the wire form as JSON text.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// Returns the refusal for a request whose header could not be read.
pub fn header_refusal(error: &HeaderError) -> Refusal {
    let code = match error {
        HeaderError::TooLarge { .. } => ResultCode::HeaderTooLarge,
        HeaderError::TooSlow { .. } => ResultCode::SlowSender,
        HeaderError::Malformed => ResultCode::MalformedRequest,
    };
    Refusal::not_run(code, error.to_string())
}

/// Answers a request with a refusal.
pub fn respond_refusal(request: ServerRequest, refusal: &Refusal, request_id: Option<&RequestId>) {
    let body = RefusalBody::new(refusal, request_id).to_json();
    let code = refusal.code.number().to_string();
    let id = request_id.map(ToString::to_string).unwrap_or_default();
    let seconds = refusal.retry_after.map(whole_seconds).unwrap_or_default();
    let mut headers = vec![
        ("content-type", "application/json"),
        ("x-run-outcome", refusal.outcome.as_str()),
        ("x-result-code", code.as_str()),
    ];
    if !id.is_empty() {
        headers.push(("x-request-id", id.as_str()));
    }
    if !seconds.is_empty() {
        headers.push(("retry-after", seconds.as_str()));
    }
    request.respond(refusal.code.http_status(), &headers, body.into_bytes());
}

/// Returns a duration in whole seconds, rounded up.
fn whole_seconds(delay: Duration) -> String {
    delay.as_millis().div_ceil(1_000).to_string()
}
