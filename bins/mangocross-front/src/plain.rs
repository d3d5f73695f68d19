//! Requests to plain services.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use mangocross_platform::AnswerHead;
use mangocross_serving::BackendServer;
use mangocross_serving::ServerLoad;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::VmId;

use crate::answer_body::AnswerBody;
use crate::dispatch::Call;
use crate::outcome::RequestRecord;
use crate::pool;
use crate::pool::ConnectError;
use crate::state::UNREACHABLE_PAUSE;

/// Maximum size of an answer, which is buffered until it is complete.
const ANSWER_BYTES_MAX: usize = 8 << 20;
/// Maximum number of servers that a request is sent to, including those that refuse it.
pub(crate) const SENDS_MAX: u32 = 4;
/// Maximum number of failed connection attempts before a request is refused.
const CONNECT_FAILURES_MAX: u32 = 3;
/// Multiple of the target latency after which a repeatable request is sent to another server.
const REPEAT_TARGET_RATIO: f64 = 1.2;
/// Reason of a refusal while all servers want no requests.
pub(crate) const PAUSED_REASON: &str = "the servers want no requests for now";
/// Minimum Retry-After of a refused request.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(200);

enum AttemptResult {
    /// The server answered.
    Answered(Response<AnswerBody>),
    /// The server did not run the request.
    NotRun(&'static str),
    /// The request may have run; the response is the server's error, if it sent one.
    Failed(&'static str, ResultCode, Option<Response<AnswerBody>>),
}

/// Serves a request from a plain service.
pub(crate) async fn serve(mut call: Call) -> (Response<AnswerBody>, Option<RequestRecord>) {
    let is_retryable = call.route.retry_policy.is_retryable();
    let mut tried: Vec<VmId> = Vec::new();
    let mut sent = 0;
    // Attempts that may have run; refused ones don't count.
    let mut runs = 0;
    let mut connect_failures = 0;
    let response = loop {
        let Some(server) = choose_server(&call, &tried) else {
            break refuse_or_report_unknown(&call, runs, "no server of the service answers");
        };
        if call.time_left().is_zero() {
            break timeout_response(&call, runs > 0);
        }
        if sent > 0 && !call.state.try_spend_retry(&call.service) {
            break refuse_or_report_unknown(&call, runs, "retry budget used up");
        }
        let connection = if is_retryable {
            call.state.pool.get(server.address, connect_failures).await
        } else {
            call.state.pool.open(server.address, connect_failures).await
        };
        let connection = match connection {
            Ok(it) => it,
            Err(error) => {
                record_connect_failure(&call, &server.vm, error);
                tried.push(server.vm);
                connect_failures += 1;
                if connect_failures > CONNECT_FAILURES_MAX {
                    break refuse_or_report_unknown(&call, runs, "servers cannot be reached");
                }
                continue;
            }
        };
        sent += 1;
        tried.push(server.vm.clone());
        call.record.sent_to.push(server.vm.clone());
        call.record.log_step("request sent", &server.vm, "plain service");
        let may_repeat = is_retryable && runs + 1 < call.route.attempts_max;
        let limit = if may_repeat {
            call.route.target_latency.mul_f64(REPEAT_TARGET_RATIO).min(call.time_left())
        } else {
            call.time_left()
        };
        let attempt = tokio::time::timeout(limit, exchange(&call, &server, connection)).await;
        let now = call.state.now();
        let has_failed =
            !matches!(attempt, Ok(AttemptResult::Answered(_) | AttemptResult::NotRun(_)));
        call.state.view.borrow_mut().failures.record(&server.vm, has_failed, now);
        match attempt {
            Ok(AttemptResult::Answered(response)) => {
                call.record.answer_completed();
                break response;
            }
            Ok(AttemptResult::NotRun(reason)) => {
                call.record.log_step("not run", &server.vm, reason);
                if sent >= SENDS_MAX {
                    break refuse_or_report_unknown(&call, runs, reason);
                }
            }
            Ok(AttemptResult::Failed(reason, code, response)) => {
                call.record.log_step("attempt failed", &server.vm, reason);
                runs += 1;
                if !may_repeat {
                    call.record.answer_failed(code, reason);
                    break response
                        .unwrap_or_else(|| unknown_outcome_response(&call, code, reason));
                }
            }
            Err(_) => {
                call.record.log_step("attempt timed out", &server.vm, "no answer in time");
                runs += 1;
                if !may_repeat {
                    break timeout_response(&call, true);
                }
            }
        }
    };
    (response, Some(call.record))
}

/// Chooses among the servers that have not been tried yet.
fn choose_server(call: &Call, tried: &[VmId]) -> Option<BackendServer> {
    let now = call.state.now();
    let view = call.state.view.borrow();
    let servers = view
        .servers
        .values()
        .filter(|it| it.service == call.service && !it.is_leaving && !tried.contains(&it.vm));
    let loads: Vec<ServerLoad> = servers
        .filter(|it| view.is_usable(it, now))
        .map(|it| ServerLoad {
            vm: it.vm.clone(),
            in_flight: view.loads.load(&it.vm, now).in_flight,
            is_same_zone: it.zone == call.state.vm.zone,
        })
        .collect();
    let chosen = view.failures.choose(&loads, now)?;
    view.servers.get(&chosen.vm).cloned()
}

async fn exchange(
    call: &Call,
    server: &BackendServer,
    mut connection: pool::Connection,
) -> AttemptResult {
    call.state.metrics.count_attempt();
    let _in_flight = call.state.track_in_flight(&server.vm, false);
    let request = call.backend_request(&server.vm, None, None);
    let process = call.state.server_process(&server.vm);
    let response = match connection.send(request).await {
        Ok(it) => it,
        Err(_) => {
            return AttemptResult::Failed("connection broke", ResultCode::BackendBroken, None);
        }
    };
    call.state.record_notice(process.as_ref(), &response);
    let status = response.status();
    let attempt_id = call.caller_head.attempt_id.as_deref().unwrap_or_default();
    let answer_head = AnswerHead::read(status, response.headers(), attempt_id);
    if !answer_head.matches_attempt {
        return AttemptResult::Failed(
            "answer to another request",
            ResultCode::BackendMismatch,
            None,
        );
    }
    if answer_head.is_not_run {
        return AttemptResult::NotRun("server is full or has gone");
    }
    let headers = AnswerHead::forwarded_headers(response.headers());
    let body = match Limited::new(response.into_body(), ANSWER_BYTES_MAX).collect().await {
        Ok(it) => it.to_bytes(),
        Err(_) => {
            return AttemptResult::Failed("answer broke off", ResultCode::BackendBroken, None);
        }
    };
    if !answer_head.closes {
        call.state.recycle(connection, answer_head.idle_timeout);
    }
    let answer = complete_response(call, status, headers, body);
    if status.is_server_error() {
        return AttemptResult::Failed("server failed", ResultCode::BackendBroken, Some(answer));
    }
    AttemptResult::Answered(answer)
}

fn complete_response(
    call: &Call,
    status: StatusCode,
    headers: http::HeaderMap,
    body: Bytes,
) -> Response<AnswerBody> {
    call.record.answer_started(status);
    let mut response = Response::new(AnswerBody::whole(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Records a failed connection to a server, which then gets no requests for a while.
pub(crate) fn record_connect_failure(call: &Call, vm: &VmId, error: ConnectError) {
    let now = call.state.now();
    call.state.view.borrow_mut().failures.record(vm, true, now);
    call.state.avoid(vm, UNREACHABLE_PAUSE);
    let detail = match error {
        ConnectError::Refused => "connection refused",
        ConnectError::Unreachable => "connect failed or timed out",
    };
    call.record.log_step("server not reached", vm, detail);
}

fn refuse(call: &Call, reason: &'static str) -> Response<AnswerBody> {
    let after = call.state.return_after(&call.service, None);
    let reason = if after.is_some() { PAUSED_REASON } else { reason };
    let after = after.unwrap_or_else(|| REFUSED_RETRY_AFTER.mul_f64(1.0 + fastrand::f64()));
    let refusal = Refusal::not_run(ResultCode::BackendRefused, reason);
    call.record.refuse(&refusal.retry_after(after), reason)
}

fn unknown_outcome_response(
    call: &Call,
    code: ResultCode,
    reason: &'static str,
) -> Response<AnswerBody> {
    call.record.refuse(&Refusal::unknown(code, reason), reason)
}

/// Refuses the request if no attempt can have run; otherwise reports an unknown outcome.
fn refuse_or_report_unknown(call: &Call, runs: u32, reason: &'static str) -> Response<AnswerBody> {
    if runs == 0 {
        refuse(call, reason)
    } else {
        unknown_outcome_response(call, ResultCode::BackendBroken, reason)
    }
}

/// Returns the answer to a request whose deadline has passed.
pub(crate) fn timeout_response(call: &Call, may_have_run: bool) -> Response<AnswerBody> {
    let reason = "time is over";
    if may_have_run {
        unknown_outcome_response(call, ResultCode::BackendSilent, reason)
    } else {
        let refusal =
            Refusal::not_run(ResultCode::Overloaded, reason).retry_after(REFUSED_RETRY_AFTER);
        call.record.refuse(&refusal, reason)
    }
}
