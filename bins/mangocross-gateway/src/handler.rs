//! Takes each request to where it is served.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use mangocross_http::BodyError;
use mangocross_http::HttpMethod;
use mangocross_http::ServerRequest;
use mangocross_types::Configuration;
use mangocross_types::KindSpec;
use mangocross_types::Refusal;
use mangocross_types::RequestId;
use mangocross_types::ResultCode;
use peer_caller::CallerHeaders;
use peer_caller::respond_refusal;

use crate::generate;
use crate::service;
use crate::state::GatewayState;

/// When to come back to another entry VM after a refusal because this one stops.
const STOPPING_RETRY: Duration = Duration::from_millis(100);

/// A caller's request after its headers were checked.
pub(crate) struct Incoming {
    pub(crate) id: RequestId,
    pub(crate) headers: CallerHeaders,
    pub(crate) kind: KindSpec,
    pub(crate) configuration: Arc<Configuration>,
}

/// Handles one request from its headers to its last byte.
pub(crate) fn handle(state: &GatewayState, request: ServerRequest) {
    match (request.method(), request.path()) {
        (Some(HttpMethod::Get), "/health/live") => request.respond(200, &[], b"live\n".to_vec()),
        (Some(HttpMethod::Get), "/health/ready") => respond_ready(state, request),
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

fn with_incoming(
    state: &GatewayState,
    request: ServerRequest,
    handler: impl FnOnce(&GatewayState, ServerRequest, &Incoming),
) {
    let id = new_request_id();
    match admit(state, &request, &id) {
        Ok(incoming) => {
            let _counted = state.enter_customer(&incoming.headers.customer);
            handler(state, request, &incoming);
        }
        Err(refusal) => {
            log::info!(request = id.as_str(), code = refusal.code.number(); "refused: {}", refusal.message);
            state.record_failure(&id, &refusal);
            respond_refusal(request, &refusal, Some(&id));
        }
    }
}

fn admit(
    state: &GatewayState,
    request: &ServerRequest,
    id: &RequestId,
) -> Result<Incoming, Refusal> {
    let headers = CallerHeaders::read(request)?;
    if state.stopping.load(Ordering::SeqCst) {
        let text = "this entry VM is stopping; send the request again";
        return Err(Refusal::not_run(ResultCode::Stopping, text).retry_after(STOPPING_RETRY));
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
    Ok(Incoming { id: id.clone(), headers, kind, configuration })
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
