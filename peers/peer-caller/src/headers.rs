//! Request headers of callers.

use std::str::FromStr;
use std::time::Duration;

use mangocross_http::ServerRequest;
use mangocross_types::CustomerId;
use mangocross_types::Priority;
use mangocross_types::Refusal;
use mangocross_types::RequestKind;
use mangocross_types::ResultCode;

/// Longest idempotency key, in bytes.
const KEY_BYTES_MAX: usize = 200;

/// Validated request headers of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerHeaders {
    /// Customer that sends the request, from `x-customer`.
    pub customer: CustomerId,
    /// Kind of the request, from `x-request-kind`.
    pub kind: RequestKind,
    /// Requested priority, if any.
    pub priority: Option<Priority>,
    /// Time that the caller waits for the complete answer, if given.
    pub deadline: Option<Duration>,
    /// Idempotency key, if any.
    pub idempotency_key: Option<String>,
    /// Trace context, if any.
    pub traceparent: Option<String>,
}

impl CallerHeaders {
    /// Parses and validates the headers of a request.
    ///
    /// # Errors
    ///
    /// Fails with a refusal that names the missing or malformed header.
    pub fn read(request: &ServerRequest) -> Result<Self, Refusal> {
        let deadline_ms: Option<u64> = optional(request, "x-deadline-ms")?;
        let idempotency_key = request.header("idempotency-key").map(str::to_owned);
        if idempotency_key.as_ref().is_some_and(|it| it.is_empty() || it.len() > KEY_BYTES_MAX) {
            let text = format!("header idempotency-key must have 1 to {KEY_BYTES_MAX} bytes");
            return Err(Refusal::not_run(ResultCode::KeyInvalid, text));
        }
        Ok(Self {
            customer: required(request, "x-customer")?,
            kind: required(request, "x-request-kind")?,
            priority: optional(request, "x-priority")?,
            deadline: deadline_ms.map(Duration::from_millis),
            idempotency_key,
            traceparent: request.header("traceparent").map(str::to_owned),
        })
    }
}

fn required<T: FromStr>(request: &ServerRequest, name: &str) -> Result<T, Refusal> {
    optional(request, name)?.ok_or_else(|| {
        Refusal::not_run(ResultCode::HeaderInvalid, format!("header {name} is missing; send it"))
    })
}

fn optional<T: FromStr>(request: &ServerRequest, name: &str) -> Result<Option<T>, Refusal> {
    let Some(text) = request.header(name) else { return Ok(None) };
    let invalid = |_| {
        let text = format!("header {name} has a value that is not valid");
        Refusal::not_run(ResultCode::HeaderInvalid, text)
    };
    text.trim().parse().map(Some).map_err(invalid)
}
