//! Calls passed through to plain services.

use std::net::SocketAddr;
use std::time::Duration;

use mangocross_http::HttpTimeouts;
use mangocross_http::ServerRequest;
use mangocross_types::AttemptId;
use mangocross_types::KindTarget;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::RunOutcome;
use peer_caller::respond_refusal;
use peer_service::ServiceAnswer;
use peer_service::ServiceCall;

use crate::claim;
use crate::claim::ClaimState;
use crate::claim::Claimed;
use crate::handler::Incoming;
use crate::handler::body_refusal;
use crate::state::GatewayState;

/// Start of the paths of plain services.
pub(crate) const PATH_PREFIX: &str = "/v1/services/";

/// Serves a call to a plain service.
pub(crate) fn handle(state: &GatewayState, mut request: ServerRequest, incoming: &Incoming) {
    match serve(state, &mut request, incoming) {
        Ok(answer) => respond(request, incoming, answer),
        Err(refusal) => {
            state.record_failure(&incoming.id, &refusal);
            respond_refusal(request, &refusal, Some(&incoming.id));
        }
    }
}

fn serve(
    state: &GatewayState,
    request: &mut ServerRequest,
    incoming: &Incoming,
) -> Result<ServiceAnswer, Refusal> {
    let address = choose_server(request.path(), incoming)?;
    let call = read_call(request, incoming)?;
    let deadline = incoming.headers.deadline;
    let deadline = deadline.unwrap_or(Duration::from_millis(incoming.kind.deadline_ms));
    let timeouts = HttpTimeouts::default().idle(deadline).total(deadline);
    if incoming.kind.idempotent {
        return send(state, address, &call, timeouts);
    }
    let Some(key) = incoming.headers.idempotency_key.as_deref() else {
        let text = format!("request kind {} needs an idempotency key", incoming.kind.id);
        return Err(Refusal::not_run(ResultCode::KeyMissing, text));
    };
    let store = state.store.as_ref();
    let claimed =
        claim::claim(store, &incoming.headers.customer, key, &call.body, &call.attempt_id)?;
    match claimed {
        Claimed::Replay { status, content_type, body } => {
            Ok(ServiceAnswer { status, content_type, body: body.into_bytes() })
        }
        Claimed::Mine { key, claim, revision } => {
            let outcome = send(state, address, &call, timeouts);
            claim::record(store, &key, &claim, revision, ended(&outcome));
            outcome
        }
    }
}

fn ended(outcome: &Result<ServiceAnswer, Refusal>) -> ClaimState {
    match outcome {
        Ok(answer) => ClaimState::Done {
            status: answer.status,
            content_type: answer.content_type.clone(),
            body: String::from_utf8_lossy(&answer.body).into_owned(),
        },
        Err(_) => ClaimState::Unknown,
    }
}

fn send(
    state: &GatewayState,
    address: SocketAddr,
    call: &ServiceCall,
    timeouts: HttpTimeouts,
) -> Result<ServiceAnswer, Refusal> {
    state.services.call(address, call, timeouts).map_err(|it| Refusal {
        code: it.code,
        outcome: it.outcome,
        message: it.message,
        retry_after: None,
    })
}

fn choose_server(path: &str, incoming: &Incoming) -> Result<SocketAddr, Refusal> {
    let name = path.trim_start_matches(PATH_PREFIX).split('/').next().unwrap_or_default();
    let KindTarget::Service(service) = &incoming.kind.target else {
        let text = format!("request kind {} does not go to a service", incoming.kind.id);
        return Err(Refusal::not_run(ResultCode::UnknownRoute, text));
    };
    if service.as_str() != name {
        let text = format!("request kind {} goes to service {service}", incoming.kind.id);
        return Err(Refusal::not_run(ResultCode::UnknownRoute, text));
    }
    let servers = incoming.configuration.service(service).map(|it| it.backend_servers.as_slice());
    let servers = servers.unwrap_or_default();
    if servers.is_empty() {
        let text = format!("service {service} has no backend server");
        return Err(Refusal::not_run(ResultCode::BackendUnreachable, text));
    }
    Ok(servers[fastrand::usize(..servers.len())])
}

fn read_call(request: &mut ServerRequest, incoming: &Incoming) -> Result<ServiceCall, Refusal> {
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
    })
}

fn respond(request: ServerRequest, incoming: &Incoming, answer: ServiceAnswer) {
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
