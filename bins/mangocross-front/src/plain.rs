//! Requests to plain services.

use std::future::Future;
use std::pin::Pin;
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
use tokio::time::Instant;

use crate::answer_body::AnswerBody;
use crate::dispatch::Call;
use crate::first_answer::FirstAnswer;
use crate::first_answer::first_answer;
use crate::outcome::RequestRecord;
use crate::pool;
use crate::pool::ConnectError;
use crate::silence::wait_for_silence;
use crate::state::UNREACHABLE_PAUSE;

/// Maximum size of an answer, which is buffered until it is complete.
const ANSWER_BYTES_MAX: usize = 8 << 20;
/// Number of refusals of a stream after which it is refused, or held back for a moment; maximum number
/// of servers that a plain request is sent to.
pub(crate) const REFUSALS_MAX: u32 = 4;
/// Maximum number of failed connection attempts before a request is refused.
const CONNECT_FAILURES_MAX: u32 = 3;
/// Multiple of the target latency after which a repeatable request is sent to another server.
const REPEAT_TARGET_RATIO: f64 = 1.2;
/// Reason of a refusal while all servers want no requests.
pub(crate) const PAUSED_REASON: &str = "the servers want no requests for now";
/// Minimum Retry-After of a refused request.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Reason of requests that end with their deadline.
pub(crate) const TIME_OVER: &str = "time is over";

enum AttemptResult {
    /// The server answered.
    Answered(Response<AnswerBody>),
    /// The server did not run the request.
    NotRun(&'static str),
    /// The request may have run; the response is the server's error, if it sent one.
    Failed(&'static str, ResultCode, Option<Response<AnswerBody>>),
}

/// A server and the result of an attempt at it.
type ServerResult = (VmId, AttemptResult);

/// An attempt that has no result yet; dropping it closes its connection.
type PendingAttempt<'a> = Pin<Box<dyn Future<Output = ServerResult> + 'a>>;

/// Serves a request from a plain service.
pub(crate) async fn serve(call: Call) -> (Response<AnswerBody>, Option<RequestRecord>) {
    let response = PlainExchange::new(&call).run().await;
    (response, Some(call.record))
}

/// The attempts of one request.
struct PlainExchange<'a> {
    call: &'a Call,
    tried: Vec<VmId>,
    sent: u32,
    /// Attempts that may have run; refused ones don't count.
    runs: u32,
    connect_failures: u32,
    /// An attempt whose server is silent.
    silent: Option<PendingAttempt<'a>>,
}

impl<'a> PlainExchange<'a> {
    fn new(call: &'a Call) -> Self {
        Self { call, tried: Vec::new(), sent: 0, runs: 0, connect_failures: 0, silent: None }
    }

    async fn run(mut self) -> Response<AnswerBody> {
        loop {
            match self.send_beside_silent().await {
                FirstAnswer::Latest(Ok(attempt)) => {
                    if let Some(response) = self.wait(attempt).await {
                        return response;
                    }
                }
                FirstAnswer::Latest(Err(reason)) => return self.end_not_sent(reason).await,
                FirstAnswer::Earlier(response) => return response,
            }
        }
    }

    /// Sends the request to the next server; returns the silent attempt's answer if it comes before.
    async fn send_beside_silent(
        &mut self,
    ) -> FirstAnswer<Result<PendingAttempt<'a>, &'static str>, Response<AnswerBody>> {
        let call = self.call;
        let mut silent = self.silent.take();
        let mut failed = None;
        let sent = {
            let sending = self.send_next();
            tokio::pin!(sending);
            loop {
                match first_answer(&mut sending, &mut silent).await {
                    FirstAnswer::Latest(it) => break it,
                    FirstAnswer::Earlier((vm, AttemptResult::Answered(response))) => {
                        call.state.record_outcome(&vm, false);
                        call.record.answer_completed();
                        return FirstAnswer::Earlier(response);
                    }
                    FirstAnswer::Earlier(it) => failed = Some(it),
                }
            }
        };
        self.silent = silent;
        if let Some((vm, result)) = failed {
            self.end_silent(&vm, result);
        }
        FirstAnswer::Latest(sent)
    }

    /// Sends the request to the best server that has not been tried.
    ///
    /// # Errors
    ///
    /// Returns the reason if there is none.
    async fn send_next(&mut self) -> Result<PendingAttempt<'a>, &'static str> {
        let call = self.call;
        loop {
            let server =
                choose_server(call, &self.tried).ok_or("no server of the service answers")?;
            if call.time_left().is_zero() {
                return Err(TIME_OVER);
            }
            if self.sent > 0 && !call.state.try_spend_retry(&call.service) {
                return Err("retry budget used up");
            }
            self.tried.push(server.vm.clone());
            let connecting = async {
                match call.route.retry_policy.is_retryable() {
                    true => call.state.pool.get(server.address, self.connect_failures).await,
                    false => call.state.pool.open(server.address, self.connect_failures).await,
                }
            };
            let connected = tokio::time::timeout_at(call.ends_at, connecting).await;
            if call.time_left().is_zero() {
                return Err(TIME_OVER);
            }
            let connection = connected.map_err(|_| TIME_OVER)?;
            let connection = match connection {
                Ok(it) => it,
                Err(error) => {
                    record_connect_failure(call, &server.vm, error);
                    self.connect_failures += 1;
                    if self.connect_failures > CONNECT_FAILURES_MAX {
                        return Err("servers cannot be reached");
                    }
                    continue;
                }
            };
            self.sent += 1;
            call.record.add_sent_to(&server.vm);
            call.record.log_step("request sent", &server.vm, "plain service");
            return Ok(Box::pin(async move {
                let result = exchange(call, &server, connection).await;
                (server.vm, result)
            }));
        }
    }

    /// Waits for the latest attempt and a silent one; returns `None` if another is to be sent.
    async fn wait(&mut self, mut latest: PendingAttempt<'a>) -> Option<Response<AnswerBody>> {
        let call = self.call;
        let is_retryable = call.route.retry_policy.is_retryable();
        let may_run_after = |runs: u32| is_retryable && runs < call.route.attempts_max;
        let repeat_at = Instant::now() + call.route.target_latency.mul_f64(REPEAT_TARGET_RATIO);
        loop {
            let may_send_beside = may_run_after(self.runs + 1) && self.silent.is_none();
            let first = tokio::select! {
                biased;
                it = first_answer(&mut latest, &mut self.silent) => Some(it),
                () = wait_for_silence(repeat_at), if may_send_beside => None,
                () = tokio::time::sleep_until(call.ends_at) => None,
            };
            let Some(first) = first else {
                if call.time_left().is_zero() {
                    return Some(timeout_response(call, true));
                }
                if let Some(vm) = self.tried.last() {
                    call.record.log_step("server silent", vm, "another server is asked");
                    call.state.record_outcome(vm, true);
                }
                self.runs += 1;
                self.silent = Some(latest);
                return None;
            };
            let (vm, result, is_latest) = match first {
                FirstAnswer::Latest((vm, result)) => (vm, result, true),
                FirstAnswer::Earlier((vm, result)) => (vm, result, false),
            };
            let has_failed = matches!(result, AttemptResult::Failed(..));
            call.state.record_outcome(&vm, has_failed);
            match result {
                AttemptResult::Answered(response) => {
                    call.record.answer_completed();
                    return Some(response);
                }
                AttemptResult::NotRun(reason) => {
                    call.record.log_step("not run", &vm, reason);
                    if !is_latest {
                        self.runs = self.runs.saturating_sub(1);
                    } else if self.sent >= REFUSALS_MAX {
                        return Some(self.end_not_sent(reason).await);
                    } else {
                        return None;
                    }
                }
                AttemptResult::Failed(reason, code, response) => {
                    call.record.log_step("attempt failed", &vm, reason);
                    if is_latest {
                        self.runs += 1;
                        if may_run_after(self.runs) {
                            return None;
                        }
                        return Some(self.end_failed(reason, code, response).await);
                    }
                }
            }
        }
    }

    /// Waits for the silent attempt; returns its answer, or `None` if there is none.
    async fn wait_for_silent(&mut self) -> Option<Response<AnswerBody>> {
        let call = self.call;
        let silent = self.silent.take()?;
        let Ok((vm, result)) = tokio::time::timeout_at(call.ends_at, silent).await else {
            return Some(timeout_response(call, true));
        };
        self.end_silent(&vm, result)
    }

    /// Records the end of the silent attempt, which has been counted as one that may have run;
    /// returns its answer, if it has one.
    fn end_silent(&mut self, vm: &VmId, result: AttemptResult) -> Option<Response<AnswerBody>> {
        let call = self.call;
        match result {
            AttemptResult::Answered(response) => {
                call.state.record_outcome(vm, false);
                call.record.answer_completed();
                Some(response)
            }
            AttemptResult::NotRun(reason) => {
                self.runs = self.runs.saturating_sub(1);
                call.record.log_step("not run", vm, reason);
                None
            }
            AttemptResult::Failed(reason, ..) => {
                call.record.log_step("attempt failed", vm, reason);
                None
            }
        }
    }

    /// Ends the exchange if no other attempt can be sent.
    async fn end_not_sent(&mut self, reason: &'static str) -> Response<AnswerBody> {
        if let Some(response) = self.wait_for_silent().await {
            return response;
        }
        if self.call.time_left().is_zero() {
            return timeout_response(self.call, self.runs > 0);
        }
        if self.runs == 0 {
            refuse(self.call, reason)
        } else {
            unknown_outcome_response(self.call, ResultCode::BackendBroken, reason)
        }
    }

    /// Ends the exchange after the last attempt failed, with the server's error if it sent one.
    async fn end_failed(
        &mut self,
        reason: &'static str,
        code: ResultCode,
        response: Option<Response<AnswerBody>>,
    ) -> Response<AnswerBody> {
        if let Some(response) = self.wait_for_silent().await {
            return response;
        }
        self.call.record.answer_failed(code, reason);
        response.unwrap_or_else(|| unknown_outcome_response(self.call, code, reason))
    }
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
    let answer_head =
        AnswerHead::read(status, response.headers(), attempt_id, connection.connection_use());
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
    call.state.record_outcome(vm, true);
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

/// Returns the answer to a request whose deadline has passed.
pub(crate) fn timeout_response(call: &Call, may_have_run: bool) -> Response<AnswerBody> {
    let reason = TIME_OVER;
    if may_have_run {
        unknown_outcome_response(call, ResultCode::BackendSilent, reason)
    } else {
        let refusal =
            Refusal::not_run(ResultCode::Overloaded, reason).retry_after(REFUSED_RETRY_AFTER);
        call.record.refuse(&refusal, reason)
    }
}
