//! Forwards calls to plain services.

use std::time::Duration;

use mangocross_http::ServerRequest;
use mangocross_types::AttemptId;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::RunOutcome;
use peer_caller::respond_refusal;
use peer_service::ServiceAnswer;
use peer_service::ServiceCall;

use crate::backend_servers;
use crate::handler::ValidatedRequest;
use crate::handler::body_refusal;
use crate::idempotent;
use crate::once;
use crate::state::GatewayState;

/// Longest deadline that a caller can request.
const DEADLINE_MAX: Duration = Duration::from_secs(3_600);

/// Path prefix of calls to plain services; the service's name follows.
pub(crate) const PATH_PREFIX: &str = "/v1/services/";

/// Serves a call to a plain service.
pub(crate) fn serve_service_call(
    state: &GatewayState,
    mut request: ServerRequest,
    incoming: &ValidatedRequest,
) {
    match serve(state, &mut request, incoming) {
        Ok(answer) => {
            incoming.record_end(state, RunOutcome::Ran, None);
            respond(request, incoming, answer);
        }
        Err(refusal) => {
            incoming.record_end(state, refusal.outcome, Some(refusal.code));
            state.record_failure(&incoming.id, &refusal);
            respond_refusal(request, &refusal, Some(&incoming.id));
        }
    }
}

fn serve(
    state: &GatewayState,
    request: &mut ServerRequest,
    incoming: &ValidatedRequest,
) -> Result<ServiceAnswer, Refusal> {
    let name = request.path().trim_start_matches(PATH_PREFIX).split('/').next();
    let servers = backend_servers::shuffled_servers(state, name.unwrap_or_default(), incoming)?;
    let step = state.tracing.child_span("service_call", &incoming.span);
    let mut call = read_call(request, incoming)?;
    call.traceparent = step.traceparent();
    let deadline = incoming.headers.deadline;
    let deadline = deadline.unwrap_or(Duration::from_millis(incoming.kind.deadline_ms));
    let now = state.clock.now();
    let ends_at = state.stop_time.limit(now + deadline.min(DEADLINE_MAX));
    let deadline = ends_at.saturating_duration_since(now);
    if incoming.kind.idempotent {
        return idempotent::serve(state, &servers, &call, deadline);
    }
    let Some(key) = incoming.headers.idempotency_key.as_deref() else {
        let text = format!("request kind {} needs an idempotency key", incoming.kind.id);
        return Err(Refusal::not_run(ResultCode::KeyMissing, text));
    };
    once::serve(state, &servers, key, &call, deadline, &step)
}

fn read_call(
    request: &mut ServerRequest,
    incoming: &ValidatedRequest,
) -> Result<ServiceCall, Refusal> {
    let body = request.read_body().map_err(|it| body_refusal(&it))?;
    let rest = request.path().trim_start_matches(PATH_PREFIX);
    let path = rest.split_once('/').map(|(_, path)| path).unwrap_or_default();
    let query = match request.query() {
        "" => String::new(),
        query => format!("?{query}"),
    };
    let method = request.method().ok_or_else(|| {
        Refusal::not_run(ResultCode::MalformedRequest, "this method is not served")
    })?;
    Ok(ServiceCall {
        method,
        path: format!("/{path}{query}"),
        content_type: request.header("content-type").map(str::to_owned),
        body,
        request_id: incoming.id.clone(),
        attempt_id: new_attempt_id(),
        customer: incoming.headers.customer.clone(),
        idempotency_key: incoming.headers.idempotency_key.clone(),
        traceparent: None,
    })
}

fn respond(request: ServerRequest, incoming: &ValidatedRequest, answer: ServiceAnswer) {
    let content_type = answer.content_type.as_deref().unwrap_or("application/octet-stream");
    let headers = [
        ("content-type", content_type),
        ("x-request-id", incoming.id.as_str()),
        ("x-run-outcome", RunOutcome::Ran.as_str()),
    ];
    request.respond(answer.status, &headers, answer.body);
}

fn new_attempt_id() -> AttemptId {
    format!("a-{:032x}", fastrand::u128(..)).parse().expect("hexadecimal digits are a valid id")
}
