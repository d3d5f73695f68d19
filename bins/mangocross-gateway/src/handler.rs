//! Takes each request to where it is served.

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

use crate::admitting::Admitted;
use crate::admitting::Capacity;
use crate::choosing;
use crate::generate;
use crate::retry_after::spread;
use crate::service;
use crate::state::GatewayState;

/// When to come back to another entry VM after a refusal because this one stops.
const STOPPING_RETRY: Duration = Duration::from_millis(100);

/// One request in this many is taken whatever first tokens took lately.
const PROBE_EACH: u32 = 16;

/// A caller's request after its headers were checked.
pub(crate) struct Incoming {
    pub(crate) id: RequestId,
    pub(crate) headers: CallerHeaders,
    pub(crate) kind: KindSpec,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) span: Span,
}

impl Incoming {
    /// Records what the caller was told; `code` is `None` for an answer.
    pub(crate) fn ended(
        &self,
        state: &GatewayState,
        outcome: RunOutcome,
        code: Option<ResultCode>,
    ) {
        state.metrics.ended(Some(self), outcome, code);
        self.span.set("outcome", outcome.as_str());
        if let Some(code) = code {
            self.span.set_error(code.to_string());
        }
    }
}

/// Handles one request from its headers to its last byte.
pub(crate) fn handle(state: &GatewayState, request: ServerRequest) {
    match (request.method(), request.path()) {
        (Some(HttpMethod::Get), "/health/live") => request.respond(200, &[], b"live\n".to_vec()),
        (Some(HttpMethod::Get), "/health/ready") => respond_ready(state, request),
        (Some(HttpMethod::Get), "/metrics") => {
            let headers = [("content-type", "text/plain; version=0.0.4")];
            request.respond(200, &headers, state.metrics.text().into_bytes());
        }
        (Some(HttpMethod::Post), "/v1/chat/completions") => {
            with_incoming(state, request, generate::handle);
        }
        (Some(_), path) if path.starts_with(service::PATH_PREFIX) => {
            with_incoming(state, request, service::handle);
        }
        _ => {
            let text = "this path is not served; see the documentation of calls";
            respond_refusal(request, &Refusal::not_run(ResultCode::UnknownRoute, text), None);
        }
    }
}

/// Returns whether a path is for the platform and operators, and served even without room.
pub(crate) fn is_operational(path: &str) -> bool {
    path.starts_with("/health/") || path == "/metrics"
}

fn with_incoming(
    state: &GatewayState,
    request: ServerRequest,
    handler: impl FnOnce(&GatewayState, ServerRequest, &Incoming),
) {
    let id = new_request_id();
    match admit(state, &request, &id) {
        Ok(incoming) => {
            let step = state.tracing.child_span("admission", &incoming.span);
            let admitted = take(state, &incoming);
            drop(step);
            match admitted {
                Ok(_admitted) => handler(state, request, &incoming),
                Err(refusal) => {
                    incoming.ended(state, refusal.outcome, Some(refusal.code));
                    refuse(state, request, &refusal, &id);
                }
            }
        }
        Err(refusal) => {
            state.metrics.ended(None, refusal.outcome, Some(refusal.code));
            refuse(state, request, &refusal, &id);
        }
    }
}

fn refuse(state: &GatewayState, request: ServerRequest, refusal: &Refusal, id: &RequestId) {
    log::info!(request = id.as_str(), code = refusal.code.number(); "refused: {}", refusal.message);
    state.record_failure(id, refusal);
    respond_refusal(request, refusal, Some(id));
}

/// Takes a request if the limits permit.
fn take<'a>(state: &'a GatewayState, incoming: &Incoming) -> Result<Admitted<'a>, Refusal> {
    let Incoming { headers, kind, configuration, .. } = incoming;
    let deadline = headers.deadline.unwrap_or(Duration::from_millis(kind.deadline_ms));
    let request = AdmissionRequest {
        customer: headers.customer.clone(),
        kind: kind.id.clone(),
        priority: headers.priority,
        deadline,
        cost: 1,
    };
    let capacity = capacity(state, incoming);
    state.admitting.admit(&request, configuration, capacity, state.clock.now())
}

/// Returns what the groups for a request take now.
///
/// Without a group the request is taken and refused for want of one. One request in a few is taken
/// as if first tokens came at once, so that groups that were slow are seen to recover.
fn capacity(state: &GatewayState, incoming: &Incoming) -> Capacity {
    let unlimited = u32::try_from(state.settings.in_flight_max).unwrap_or(u32::MAX);
    let unknown = Capacity { in_flight: unlimited, first_token: Duration::ZERO };
    let KindTarget::Model(model) = &incoming.kind.target else { return unknown };
    let Incoming { headers, kind, configuration, .. } = incoming;
    let groups = choosing::serving(state, configuration, &headers.customer, kind, model);
    if groups.is_empty() {
        return unknown;
    }
    let first_token = match fastrand::u32(..PROBE_EACH) {
        0 => Duration::ZERO,
        _ => state.routing.expected_first_token(&groups),
    };
    Capacity { in_flight: state.routing.capacity(&groups), first_token }
}

fn admit(
    state: &GatewayState,
    request: &ServerRequest,
    id: &RequestId,
) -> Result<Incoming, Refusal> {
    let headers = CallerHeaders::read(request)?;
    if state.refusing.load(Ordering::SeqCst) {
        let text = "this entry VM is stopping; send the request again";
        let refusal = Refusal::not_run(ResultCode::Stopping, text);
        return Err(refusal.retry_after(spread(STOPPING_RETRY)));
    }
    if let Some(refusal) = state.refusal() {
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
    Ok(Incoming { id: id.clone(), headers, kind, configuration, span })
}

fn respond_ready(state: &GatewayState, request: ServerRequest) {
    if state.stopping.load(Ordering::SeqCst) {
        return request.respond(503, &[], b"stopping\n".to_vec());
    }
    match state.refusal() {
        Some(refusal) => request.respond(503, &[], format!("{}\n", refusal.message).into_bytes()),
        None => request.respond(200, &[], b"ready\n".to_vec()),
    }
}

/// Returns the refusal for a body that could not be read.
pub(crate) fn body_refusal(error: &BodyError) -> Refusal {
    let code = match error {
        BodyError::TooLarge { .. } => ResultCode::BodyTooLarge,
        BodyError::TooSlow { .. } => ResultCode::SlowSender,
        BodyError::Broken { .. } => ResultCode::MalformedRequest,
    };
    Refusal::not_run(code, error.to_string())
}

fn new_request_id() -> RequestId {
    format!("r-{:032x}", fastrand::u128(..)).parse().expect("hexadecimal digits are a valid id")
}
