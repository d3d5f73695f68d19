//! Non-idempotent calls: executed at most once, by the holder of a claim.

use std::net::SocketAddr;
use std::time::Duration;

use mangocross_coordination::ClaimAttempt;
use mangocross_coordination::ClaimState;
use mangocross_http::HttpTimeouts;
use mangocross_telemetry::Span;
use mangocross_types::Refusal;
use mangocross_types::RunOutcome;
use peer_service::ServiceAnswer;
use peer_service::ServiceCall;
use peer_service::ServiceError;

use crate::claim;
use crate::claim::Claimed;
use crate::claim::jittered;
use crate::state::GatewayState;

/// Maximum number of backend servers tried; another one is tried only if the call certainly did not
/// run.
const SERVERS_MAX: usize = 3;
/// Minimum retry delay for the caller when no backend server accepted the call.
const RETRY_BASE: Duration = Duration::from_millis(1_000);

/// Serves a non-idempotent call.
pub(crate) fn serve(
    state: &GatewayState,
    servers: &[SocketAddr],
    key: &str,
    call: &ServiceCall,
    deadline: Duration,
    span: &Span,
) -> Result<ServiceAnswer, Refusal> {
    let step = state.tracing.child_span("claim", span);
    let claimed = claim::claim(&state.claims, &state.metrics, key, call, deadline);
    drop(step);
    match claimed? {
        Claimed::Replay(answer) => Ok(answer),
        Claimed::Granted(grant) => run(state, servers, call, grant),
    }
}

fn run(
    state: &GatewayState,
    servers: &[SocketAddr],
    call: &ServiceCall,
    grant: ClaimAttempt,
) -> Result<ServiceAnswer, Refusal> {
    match send(state, servers, call, &grant) {
        Ok(answer) => {
            if !state.claims.finish(&grant, claim::done_state(&answer)) {
                log::warn!(request = call.request_id.as_str(); "the outcome is not recorded yet");
            }
            Ok(answer)
        }
        Err(refusal) if refusal.outcome == RunOutcome::NotRun => {
            state.claims.release(grant);
            Err(refusal)
        }
        Err(refusal) => {
            state.claims.finish_later(&grant, ClaimState::Unknown);
            Err(refusal)
        }
    }
}

fn send(
    state: &GatewayState,
    servers: &[SocketAddr],
    call: &ServiceCall,
    grant: &ClaimAttempt,
) -> Result<ServiceAnswer, Refusal> {
    let mut refusal = claim::deadline_refusal();
    for server in servers.iter().take(SERVERS_MAX) {
        if !state.claims.may_send(grant) {
            break;
        }
        let time_left = grant.time_left(state.clock.now());
        let timeouts = HttpTimeouts::default().idle(time_left).total(time_left);
        match state.services.call(*server, call, timeouts, state.until_last_answers()) {
            Ok(answer) => return Ok(answer),
            Err(error) if error.outcome == RunOutcome::NotRun => refusal = not_run_refusal(error),
            Err(error) => return Err(Refusal::unknown(error.code, error.message)),
        }
    }
    Err(refusal)
}

fn not_run_refusal(error: ServiceError) -> Refusal {
    Refusal::not_run(error.code, error.message).retry_after(jittered(RETRY_BASE))
}
