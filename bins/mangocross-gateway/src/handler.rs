//! Routes each request to its handler.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mangocross_http::BodyError;
use mangocross_http::HttpMethod;
use mangocross_http::ServerRequest;
use mangocross_policy::AdmissionRequest;
use mangocross_telemetry::Span;
use mangocross_types::Configuration;
use mangocross_types::KindSpec;
use mangocross_types::KindTarget;
use mangocross_types::Refusal;
use mangocross_types::RequestId;
use mangocross_types::ResultCode;
use mangocross_types::RunOutcome;
use peer_caller::CallerHeaders;
use peer_caller::respond_refusal;

use crate::admission::AdmissionGuard;
use crate::admission::Capacity;
use crate::generate;
use crate::group_selection;
use crate::retry_after::jittered;
use crate::service;
use crate::state::GatewayState;

/// Minimum delay before a retry at another entry VM after a refusal because this one is stopping.
const STOPPING_RETRY: Duration = Duration::from_millis(100);

/// One request in this many is admitted regardless of recent first-token times.
const REQUESTS_PER_RECOVERY_TRIAL: u32 = 16;

/// A caller's request whose headers have been validated.
pub(crate) struct ValidatedRequest {
    pub(crate) id: RequestId,
    pub(crate) headers: CallerHeaders,
    pub(crate) kind: KindSpec,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) span: Span,
}

impl ValidatedRequest {
    /// Records the request's outcome; `code` is `None` for an answer.
    pub(crate) fn record_end(
        &self,
        state: &GatewayState,
        outcome: RunOutcome,
        code: Option<ResultCode>,
    ) {
        state.metrics.record_end(Some(self), outcome, code);
        self.span.set("outcome", outcome.as_str());
        if let Some(code) = code {
            self.span.set_error(code.to_string());
        }
    }
}

/// Routes a request by method and path; returns once it is answered.
pub(crate) fn route(state: &GatewayState, request: ServerRequest) {
    match (request.method(), request.path()) {
        (Some(HttpMethod::Get), "/health/live") => request.respond(200, &[], b"live\n".to_vec()),
        (Some(HttpMethod::Get), "/health/ready") => respond_ready(state, request),
        (Some(HttpMethod::Get), "/metrics") => {
            let headers = [("content-type", "text/plain; version=0.0.4")];
            request.respond(200, &headers, state.metrics.text().into_bytes());
        }
        (Some(HttpMethod::Post), "/v1/chat/completions") => {
            validate_and_admit(state, request, generate::serve_chat);
        }
        (Some(_), path) if path.starts_with(service::PATH_PREFIX) => {
            validate_and_admit(state, request, service::serve_service_call);
        }
        _ => {
            let text = "this path is not served; see the documentation of calls";
            respond_refusal(request, &Refusal::not_run(ResultCode::UnknownRoute, text), None);
        }
    }
}

/// Returns whether a path serves the platform and operators; exempt from the in-flight limit.
pub(crate) fn is_operational(path: &str) -> bool {
    path.starts_with("/health/") || path == "/metrics"
}

/// Validates and admits a request and passes it to its handler, or answers it with a refusal.
fn validate_and_admit(
    state: &GatewayState,
    request: ServerRequest,
    handler: impl FnOnce(&GatewayState, ServerRequest, &ValidatedRequest),
) {
    let id = new_request_id();
    match validate(state, &request, &id) {
        Ok(incoming) => {
            let step = state.tracing.child_span("admission", &incoming.span);
            let admitted = admit(state, &incoming);
            drop(step);
            match admitted {
                Ok(_admitted) => handler(state, request, &incoming),
                Err(refusal) => {
                    incoming.record_end(state, refusal.outcome, Some(refusal.code));
                    refuse(state, request, &refusal, &id);
                }
            }
        }
        Err(refusal) => {
            state.metrics.record_end(None, refusal.outcome, Some(refusal.code));
            refuse(state, request, &refusal, &id);
        }
    }
}

fn refuse(state: &GatewayState, request: ServerRequest, refusal: &Refusal, id: &RequestId) {
    log::info!(request = id.as_str(), code = refusal.code.number(); "refused: {}", refusal.message);
    state.record_failure(id, refusal);
    respond_refusal(request, refusal, Some(id));
}

/// Admits a request if the limits permit it.
fn admit<'a>(
    state: &'a GatewayState,
    incoming: &ValidatedRequest,
) -> Result<AdmissionGuard<'a>, Refusal> {
    let ValidatedRequest { headers, kind, configuration, .. } = incoming;
    let deadline = headers.deadline.unwrap_or(Duration::from_millis(kind.deadline_ms));
    let request = AdmissionRequest {
        customer: headers.customer.clone(),
        kind: kind.id.clone(),
        priority: headers.priority,
        time_left: deadline,
        cost: 1,
    };
    let capacity = capacity(state, incoming);
    state.admission.admit(&request, configuration, capacity, state.clock.now())
}

/// Returns the current capacity of the groups that can serve a request.
///
/// If there is no group, the request is admitted and refused later for that reason. One request in
/// [`REQUESTS_PER_RECOVERY_TRIAL`] is admitted as if the first token were immediate, so that the
/// recovery of slow groups is detected.
fn capacity(state: &GatewayState, incoming: &ValidatedRequest) -> Capacity {
    let unlimited = u32::try_from(state.settings.in_flight_max).unwrap_or(u32::MAX);
    let unknown = Capacity { in_flight: unlimited, first_token: Duration::ZERO };
    let KindTarget::Model(model) = &incoming.kind.target else { return unknown };
    let ValidatedRequest { headers, kind, configuration, .. } = incoming;
    let groups = group_selection::serving(state, configuration, &headers.customer, kind, model);
    if groups.is_empty() {
        return unknown;
    }
    let first_token = match fastrand::u32(..REQUESTS_PER_RECOVERY_TRIAL) {
        0 => Duration::ZERO,
        _ => state.routing.expected_first_token(&groups),
    };
    Capacity { in_flight: state.routing.capacity(&groups), first_token }
}

fn validate(
    state: &GatewayState,
    request: &ServerRequest,
    id: &RequestId,
) -> Result<ValidatedRequest, Refusal> {
    let headers = CallerHeaders::read(request)?;
    if state.refusing.load(Ordering::SeqCst) {
        let text = "this entry VM is stopping; send the request again";
        let refusal = Refusal::not_run(ResultCode::Stopping, text);
        return Err(refusal.retry_after(jittered(STOPPING_RETRY)));
    }
    if let Some(refusal) = state.freshness_refusal() {
        return Err(refusal);
    }
    let configuration = state.configuration();
    if configuration.customer(&headers.customer).is_none() {
        let text = format!("customer {} is not configured", headers.customer);
        return Err(Refusal::not_run(ResultCode::UnknownCustomer, text));
    }
    let kind = configuration.kind(&headers.kind).cloned().ok_or_else(|| {
        let text = format!("request kind {} is not configured", headers.kind);
        Refusal::not_run(ResultCode::UnknownKind, text)
    })?;
    let span = state.tracing.request_span("caller_request", headers.traceparent.as_deref());
    span.set("request_id", id.to_string());
    span.set("customer", headers.customer.to_string());
    span.set("kind", kind.id.to_string());
    Ok(ValidatedRequest { id: id.clone(), headers, kind, configuration, span })
}

fn respond_ready(state: &GatewayState, request: ServerRequest) {
    if state.stopping.load(Ordering::SeqCst) {
        return request.respond(503, &[], b"stopping\n".to_vec());
    }
    match state.freshness_refusal() {
        Some(refusal) => request.respond(503, &[], format!("{}\n", refusal.message).into_bytes()),
        None => request.respond(200, &[], b"ready\n".to_vec()),
    }
}

/// Returns the refusal for a body that could not be read.
pub(crate) fn body_refusal(error: &BodyError) -> Refusal {
    let code = match error {
        BodyError::TooLarge { .. } => ResultCode::BodyTooLarge,
        BodyError::TooSlow { .. } => ResultCode::SlowSender,
        BodyError::NoMemory => ResultCode::Overloaded,
        BodyError::Broken { .. } => ResultCode::MalformedRequest,
    };
    Refusal::not_run(code, error.to_string())
}

fn new_request_id() -> RequestId {
    format!("r-{:032x}", fastrand::u128(..)).parse().expect("hexadecimal digits are a valid id")
}
