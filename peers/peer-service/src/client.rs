//! Client of plain services.

use std::net::SocketAddr;

use mangocross_http::CallError;
use mangocross_http::CallErrorKind;
use mangocross_http::HttpCall;
use mangocross_http::HttpClient;
use mangocross_http::HttpMethod;
use mangocross_http::HttpTimeouts;
use mangocross_types::AttemptId;
use mangocross_types::CustomerId;
use mangocross_types::RequestId;
use mangocross_types::ResultCode;
use mangocross_types::RunOutcome;
use snafu::Snafu;

/// Maximum size of an answer's body, in bytes.
const ANSWER_BYTES_MAX: usize = 1024 * 1024;

/// HTTP status of a refusal before running.
const REFUSED_STATUS: u16 = 503;

/// A caller's call to a plain service, to be forwarded to a backend server.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// HTTP method of the caller's request.
    pub method: HttpMethod,
    /// Path and query at the service, with a leading slash.
    pub path: String,
    /// Content type of the body, if any.
    pub content_type: Option<String>,
    /// Body of the caller's request.
    pub body: Vec<u8>,
    /// Id of the caller's request.
    pub request_id: RequestId,
    /// Id of this attempt; the service echoes it.
    pub attempt_id: AttemptId,
    /// Customer that the call is made for.
    pub customer: CustomerId,
    /// The caller's idempotency key, if any.
    pub idempotency_key: Option<String>,
    /// Trace context for the service, if any.
    pub traceparent: Option<String>,
}

/// A complete answer of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status that the service answered with.
    pub status: u16,
    /// Content type, if any.
    pub content_type: Option<String>,
    /// Body as received from the service.
    pub body: Vec<u8>,
}

/// A failed call to a service.
#[derive(Debug, Clone, Snafu)]
#[snafu(display("{message} (request {outcome})"))]
pub struct ServiceError {
    /// Result code for the caller.
    pub code: ResultCode,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// Cause of the failure, for refusals and logs.
    pub message: String,
}

/// Client of plain services.
#[derive(Debug, Clone)]
pub struct ServiceClient {
    client: HttpClient,
}

impl ServiceClient {
    /// Returns a client, which opens a connection for each call.
    pub fn open() -> Self {
        Self { client: HttpClient::open() }
    }

    /// Sends a call to a backend server, without retries.
    ///
    /// Until the answer begins, the call is aborted as soon as `keep_waiting` returns false.
    ///
    /// # Errors
    ///
    /// Fails if the server cannot be reached, refuses before running, breaks the connection,
    /// times out or answers another attempt.
    pub fn call(
        &self,
        address: SocketAddr,
        call: &ServiceCall,
        timeouts: HttpTimeouts,
        keep_waiting: impl Fn() -> bool + Send + Sync + 'static,
    ) -> Result<ServiceAnswer, ServiceError> {
        let answer = self
            .client
            .call(http_call(address, call, timeouts).wait_while(keep_waiting))
            .map_err(|it| service_error(&it))?;
        let status = answer.status();
        if answer.header("x-attempt-id") != Some(call.attempt_id.as_str()) {
            let message = "the service answered another attempt".to_owned();
            let (code, outcome) = (ResultCode::BackendMismatch, RunOutcome::Unknown);
            return Err(ServiceError { code, outcome, message });
        }
        let is_not_run = answer.header("x-run-outcome") == Some(RunOutcome::NotRun.as_str());
        if status == REFUSED_STATUS && is_not_run {
            let message = format!("the service refused with status {status}");
            let (code, outcome) = (ResultCode::BackendRefused, RunOutcome::NotRun);
            return Err(ServiceError { code, outcome, message });
        }
        let content_type = answer.header("content-type").map(str::to_owned);
        let body = answer.read_all(ANSWER_BYTES_MAX).map_err(|it| service_error(&it))?;
        Ok(ServiceAnswer { status, content_type, body })
    }
}

fn http_call(address: SocketAddr, call: &ServiceCall, timeouts: HttpTimeouts) -> HttpCall {
    let mut http = HttpCall::new(call.method, address, &call.path)
        .timeouts(timeouts)
        .header("x-request-id", call.request_id.as_str())
        .header("x-attempt-id", call.attempt_id.as_str())
        .header("x-customer", call.customer.as_str())
        .body(call.body.clone());
    if let Some(content_type) = &call.content_type {
        http = http.header("content-type", content_type);
    }
    if let Some(key) = &call.idempotency_key {
        http = http.header("idempotency-key", key);
    }
    if let Some(traceparent) = &call.traceparent {
        http = http.header("traceparent", traceparent);
    }
    http
}

fn service_error(error: &CallError) -> ServiceError {
    let code = match error.kind {
        CallErrorKind::Connect => ResultCode::BackendUnreachable,
        CallErrorKind::Timeout => ResultCode::BackendSilent,
        CallErrorKind::Broken | CallErrorKind::TooLarge => ResultCode::BackendBroken,
        CallErrorKind::Malformed => ResultCode::BackendMismatch,
    };
    ServiceError { code, outcome: error.outcome, message: error.message.clone() }
}
