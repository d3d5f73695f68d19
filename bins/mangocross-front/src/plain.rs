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

use crate::dispatch::Call;
use crate::front::UNREACHABLE_PAUSE;
use crate::outcome::RequestRecord;
use crate::pool;
use crate::pool::ConnectError;
use crate::stream_body::AnswerBody;

/// Longest answer that is kept until it is whole.
const ANSWER_BYTES_MAX: usize = 8 << 20;
/// Servers that a request is sent to at most, those that turn it away included.
pub(crate) const SENDS_MAX: u32 = 4;
/// Servers that may be unreachable before a request is refused.
const CONNECT_FAILURES_MAX: u32 = 3;
/// Part of the aim after which a request that may be repeated is sent to another server.
const REPEAT_AFTER_AIM_PART: f64 = 1.2;
/// Time after which a refused caller may come back.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// How one attempt ended.
enum Attempt {
    Answered(Response<AnswerBody>),
    NotRun(&'static str),
    Failed(&'static str, ResultCode, Option<Response<AnswerBody>>),
}

/// Serves a request from a plain service.
pub(crate) async fn serve(mut call: Call) -> (Response<AnswerBody>, Option<RequestRecord>) {
    let is_repeatable = call.route.repeat.is_repeatable();
    let mut tried: Vec<VmId> = Vec::new();
    let mut sent = 0;
    // Attempts that may have run; a server that turns a request away is none.
    let mut runs = 0;
    let mut connect_failures = 0;
    let response = loop {
        let Some(server) = choose(&call, &tried) else {
            break refused_or_unknown(&call, runs, "no server of the service answers");
        };
        if call.time_left().is_zero() {
            break timed_out(&call, runs > 0);
        }
        if sent > 0 && !call.front.try_repeat(&call.service) {
            break refused_or_unknown(&call, runs, "retry budget used up");
        }
        let connection = if is_repeatable {
            call.front.pool.get(server.address).await
        } else {
            pool::connect(server.address).await
        };
        let connection = match connection {
            Ok(it) => it,
            Err(error) => {
                failed_to_connect(&call, &server.vm, error);
                tried.push(server.vm);
                connect_failures += 1;
                if connect_failures > CONNECT_FAILURES_MAX {
                    break refused_or_unknown(&call, runs, "servers cannot be reached");
                }
                continue;
            }
        };
        sent += 1;
        tried.push(server.vm.clone());
        call.record.sent_to.push(server.vm.clone());
        call.record.step("request sent", &server.vm, "plain service");
        let may_repeat = is_repeatable && runs + 1 < call.route.attempts_max;
        let limit = if may_repeat {
            call.route.aim.mul_f64(REPEAT_AFTER_AIM_PART).min(call.time_left())
        } else {
            call.time_left()
        };
        let attempt = tokio::time::timeout(limit, exchange(&call, &server, connection)).await;
        let now = call.front.now();
        let has_failed = !matches!(attempt, Ok(Attempt::Answered(_) | Attempt::NotRun(_)));
        call.front.beliefs.borrow_mut().failures.record(&server.vm, has_failed, now);
        match attempt {
            Ok(Attempt::Answered(response)) => {
                call.record.completed();
                break response;
            }
            Ok(Attempt::NotRun(reason)) => {
                call.record.step("not run", &server.vm, reason);
                if sent >= SENDS_MAX {
                    break refused_or_unknown(&call, runs, reason);
                }
            }
            Ok(Attempt::Failed(reason, code, response)) => {
                call.record.step("attempt failed", &server.vm, reason);
                runs += 1;
                if !may_repeat {
                    call.record.broke(code, reason);
                    break response.unwrap_or_else(|| unknown(&call, code, reason));
                }
            }
            Err(_) => {
                call.record.step("attempt timed out", &server.vm, "no answer in time");
                runs += 1;
                if !may_repeat {
                    break timed_out(&call, true);
                }
            }
        }
    };
    (response, Some(call.record))
}

/// Chooses among the servers that were not tried yet.
fn choose(call: &Call, tried: &[VmId]) -> Option<BackendServer> {
    let now = call.front.now();
    let beliefs = call.front.beliefs.borrow();
    let servers = beliefs
        .servers
        .values()
        .filter(|it| it.service == call.service && !it.is_leaving && !tried.contains(&it.vm));
    let loads: Vec<ServerLoad> = servers
        .filter(|it| !beliefs.is_avoided(&it.vm, now))
        .map(|it| ServerLoad {
            vm: it.vm.clone(),
            in_flight: beliefs.loads.load(&it.vm, now).in_flight,
            is_near: it.zone == call.front.vm.zone,
        })
        .collect();
    let chosen = beliefs.failures.choose(&loads, now)?;
    beliefs.servers.get(&chosen.vm).cloned()
}

async fn exchange(
    call: &Call,
    server: &BackendServer,
    mut connection: pool::Connection,
) -> Attempt {
    call.front.metrics.attempt();
    let _sent = call.front.sent(&server.vm, false);
    let request = call.forward(&server.vm, None, None);
    let response = match connection.send(request).await {
        Ok(it) => it,
        Err(_) => return Attempt::Failed("connection broke", ResultCode::BackendBroken, None),
    };
    let status = response.status();
    let attempt_id = call.head.attempt_id.as_deref().unwrap_or_default();
    let head = AnswerHead::read(status, response.headers(), attempt_id);
    if !head.matches_attempt {
        return Attempt::Failed("answer to another request", ResultCode::BackendMismatch, None);
    }
    if head.is_not_run {
        return Attempt::NotRun("server is full or has gone");
    }
    let headers = AnswerHead::forwarded(response.headers());
    let body = match Limited::new(response.into_body(), ANSWER_BYTES_MAX).collect().await {
        Ok(it) => it.to_bytes(),
        Err(_) => return Attempt::Failed("answer broke off", ResultCode::BackendBroken, None),
    };
    if !head.closes {
        call.front.pool.put(connection, head.idle_timeout).await;
    }
    let answer = whole(call, status, headers, body);
    if status.is_server_error() {
        return Attempt::Failed("server failed", ResultCode::BackendBroken, Some(answer));
    }
    Attempt::Answered(answer)
}

fn whole(
    call: &Call,
    status: StatusCode,
    headers: http::HeaderMap,
    body: Bytes,
) -> Response<AnswerBody> {
    call.record.began(status);
    let mut response = Response::new(AnswerBody::whole(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Records that a server could not be connected to.
pub(crate) fn failed_to_connect(call: &Call, vm: &VmId, error: ConnectError) {
    let now = call.front.now();
    call.front.beliefs.borrow_mut().failures.record(vm, true, now);
    call.front.avoid(vm, UNREACHABLE_PAUSE);
    let detail = match error {
        ConnectError::Refused => "connection refused",
        ConnectError::Unreachable => "no answer to the connection",
    };
    call.record.step("server not reached", vm, detail);
}

fn refused(call: &Call, reason: &'static str) -> Response<AnswerBody> {
    let refusal = Refusal::not_run(ResultCode::BackendRefused, reason);
    let after = RETRY_AFTER.mul_f64(1.0 + fastrand::f64());
    call.record.refuse(&refusal.retry_after(after), reason)
}

fn unknown(call: &Call, code: ResultCode, reason: &'static str) -> Response<AnswerBody> {
    call.record.refuse(&Refusal::unknown(code, reason), reason)
}

/// Refuses if nothing can have run.
fn refused_or_unknown(call: &Call, runs: u32, reason: &'static str) -> Response<AnswerBody> {
    if runs == 0 { refused(call, reason) } else { unknown(call, ResultCode::BackendBroken, reason) }
}

/// Ends a request whose time is over.
pub(crate) fn timed_out(call: &Call, may_have_run: bool) -> Response<AnswerBody> {
    let reason = "time is over";
    if may_have_run {
        unknown(call, ResultCode::BackendSilent, reason)
    } else {
        let refusal = Refusal::not_run(ResultCode::Overloaded, reason).retry_after(RETRY_AFTER);
        call.record.refuse(&refusal, reason)
    }
}
