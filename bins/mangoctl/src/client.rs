//! Sends a request to coordinators, one after the other.

use std::net::SocketAddr;
use std::time::Duration;

use mangocross_http::HttpCall;
use mangocross_http::HttpClient;
use mangocross_http::HttpMethod;
use mangocross_http::HttpTimeouts;
use mangocross_operator::OperatorRequest;
use mangocross_types::ResultCode;
use peer_caller::RefusalBody;

use crate::outcome::Outcome;

/// Maximum size of an answer, in bytes.
const ANSWER_BYTES_MAX: usize = 8 * 1024 * 1024;
/// Timeout for an answer; a change is answered once it is in force.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends a request to the coordinators in turn until one gives a definite answer.
///
/// A coordinator tried before may have executed the command; the command id prevents a second
/// effect.
pub(crate) fn send(
    coordinators: &[SocketAddr],
    key: Option<&str>,
    request: &OperatorRequest,
) -> Outcome {
    let mut last = None;
    for coordinator in coordinators {
        let outcome = send_to(*coordinator, key, request);
        if !outcome.should_try_next() {
            return outcome;
        }
        last = Some(outcome.merge_earlier(last));
    }
    last.unwrap_or_else(|| Outcome::Unreached(Vec::new()))
}

fn send_to(coordinator: SocketAddr, key: Option<&str>, request: &OperatorRequest) -> Outcome {
    match exchange(coordinator, key, request) {
        Ok(outcome) => outcome,
        Err(message) => Outcome::Unreached(vec![format!("{coordinator}: {message}")]),
    }
}

fn exchange(
    coordinator: SocketAddr,
    key: Option<&str>,
    request: &OperatorRequest,
) -> Result<Outcome, String> {
    let timeouts =
        HttpTimeouts::default().connect(CONNECT_TIMEOUT).idle(ANSWER_TIMEOUT).total(ANSWER_TIMEOUT);
    let mut call = HttpCall::new(HttpMethod::Post, coordinator, "/v1/operator");
    if let Some(key) = key {
        call = call.header("authorization", &format!("Bearer {key}"));
    }
    let answer = HttpClient::open()
        .call(call.json(request).timeouts(timeouts))
        .map_err(|it| it.to_string())?;
    let status = answer.status();
    if status == 200 {
        let answer = answer.read_json(ANSWER_BYTES_MAX).map_err(|it| it.to_string())?;
        return Ok(Outcome::Answered(answer));
    }
    let refusal: RefusalBody = answer
        .read_json(ANSWER_BYTES_MAX)
        .map_err(|it| format!("status {status} and no refusal: {it}"))?;
    Ok(Outcome::Refused(refusal))
}

/// Returns whether a refusal is specific to one coordinator, so that another may accept the
/// request.
pub(crate) fn is_coordinator_specific(code: ResultCode) -> bool {
    let codes = [
        ResultCode::OperatorUnknown,
        ResultCode::Overloaded,
        ResultCode::Stopping,
        ResultCode::StoreUnavailable,
        ResultCode::StoreAnswerLost,
    ];
    codes.contains(&code)
}
