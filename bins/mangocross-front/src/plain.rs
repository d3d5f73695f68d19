//! Requests to plain services.

use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use http::Response;
use http::StatusCode;
use mangocross_http::BodyParts;
use mangocross_platform::AnswerHead;
use mangocross_serving::AnswerVerdict;
use mangocross_serving::AttemptFailure;
use mangocross_serving::AttemptId;
use mangocross_serving::BackendServer;
use mangocross_serving::Obstacle;
use mangocross_serving::SearchEnd;
use mangocross_serving::SearchLimits;
use mangocross_serving::SearchPolicy;
use mangocross_serving::SearchStep;
use mangocross_serving::SearchWindow;
use mangocross_serving::ServerLoad;
use mangocross_serving::ServerSearch;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::VmId;
use tokio::time::Instant;

use crate::answer_body::AnswerBody;
use crate::blame::AnswerStart;
use crate::blame::QUARANTINED_REASON;
use crate::body_reader::BodyError;
use crate::body_reader::NO_MEMORY_REASON;
use crate::body_reader::read_answer;
use crate::dispatch::Call;
use crate::first_answer::first_of;
use crate::outcome::RequestRecord;
use crate::peer_forwarding;
use crate::pool::ConnectError;
use crate::pool::Connection;
use crate::silence::wait_for_silence;
use crate::state::NOT_RUN_PAUSE;
use crate::state::UNREACHABLE_PAUSE;

/// Maximum size of an answer, which is buffered until it is complete.
const ANSWER_BYTES_MAX: usize = 8 << 20;
/// Number of refusals of a request after which it is refused, or held back for a moment.
pub(crate) const REFUSALS_MAX: u32 = 4;
/// Maximum number of failed connection attempts before a request is refused.
const CONNECT_FAILURES_MAX: u32 = 3;
/// Divisor of a request's target latency that gives its maximum wait for a server whose limit leaves
/// room.
pub(crate) const ADMISSION_WAIT_DIVISOR: u32 = 8;
/// Delay between the attempts to send a request again.
const ASK_AGAIN_DELAY: Duration = Duration::from_millis(50);
/// Delay between a request's attempts to find a server whose limit leaves room.
const ADMISSION_DELAY: Duration = Duration::from_millis(12);
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
    /// The server answered, but its answer does not fit into the memory.
    NoMemory,
    /// The request may have run; the response is the server's error, if it sent one.
    Failed(&'static str, ResultCode, Option<Response<AnswerBody>>),
}

/// An attempt that has no result yet; dropping it closes its connection.
type PendingAttempt<'a> = Pin<Box<dyn Future<Output = (AttemptId, VmId, AttemptResult)> + 'a>>;

/// Why the last attempt failed.
struct LastFailure {
    reason: &'static str,
    code: ResultCode,
    /// The server's error, if it sent one.
    response: Option<Response<AnswerBody>>,
}

/// What came first while a connection was opened.
enum Connected {
    /// The connection.
    To(Connection),
    /// The answer of an earlier attempt.
    Answered(Box<Response<AnswerBody>>),
    /// The connection failed.
    Failed(ConnectError),
    /// The deadline has passed.
    TimeOver,
}

/// Serves a request from a plain service.
pub(crate) async fn serve(call: Call) -> (Response<AnswerBody>, Option<RequestRecord>) {
    call.record_demand();
    match PlainExchange::new(&call).run().await {
        Some(response) => (response, Some(call.record)),
        None => peer_forwarding::serve(call).await,
    }
}

/// Carries out the search for a server that answers one request.
struct PlainExchange<'a> {
    call: &'a Call,
    search: ServerSearch,
    attempts: Vec<PendingAttempt<'a>>,
    /// The attempt that is not silent, and when it counts as silent.
    latest: Option<(AttemptId, VmId, Instant)>,
    last_failure: Option<LastFailure>,
}

impl<'a> PlainExchange<'a> {
    fn new(call: &'a Call) -> Self {
        let (policy, attempts_max) = match call.route.retry_policy.is_retryable() {
            true => (SearchPolicy::Repeatable, call.route.attempts_max.max(1)),
            false => (SearchPolicy::Once, 1),
        };
        let search = ServerSearch::new(SearchLimits {
            policy,
            attempts_max,
            refusals_max: REFUSALS_MAX,
            connect_failures_max: CONNECT_FAILURES_MAX,
            refusal_pause: NOT_RUN_PAUSE,
            admission_until: call.record.received_at
                + call.route.target_latency / ADMISSION_WAIT_DIVISOR,
            admission_delay: ADMISSION_DELAY,
            ask_again_delay: ASK_AGAIN_DELAY,
        });
        Self { call, search, attempts: Vec::new(), latest: None, last_failure: None }
    }

    /// Returns the answer, or `None` if another entry VM is to serve the request.
    async fn run(mut self) -> Option<Response<AnswerBody>> {
        loop {
            // The time now is read after the window, so that a deadline that has passed is not later.
            let window = self.window();
            let answer = match self.search.next(self.call.state.now(), &window) {
                SearchStep::Send => self.send().await,
                SearchStep::Wait(until) => self.wait(until.since(self.call.state.now())).await,
                SearchStep::End(SearchEnd::NotRun(_)) if self.call.needs_peer() => return None,
                SearchStep::End(end) => return Some(self.end(end)),
            };
            if answer.is_some() {
                return answer;
            }
        }
    }

    /// Returns the time that the search has.
    fn window(&self) -> SearchWindow {
        let deadline = self.call.state.now() + self.call.time_left();
        SearchWindow { deadline, send_until: deadline, may_move: self.call.may_move() }
    }

    /// Waits for the attempts in progress, and for the silence of the latest one.
    async fn wait(&mut self, time: Duration) -> Option<Response<AnswerBody>> {
        let asks_beside = self.search.may_ask_beside(&self.window()) && self.latest.is_some();
        let silent_at = self.latest.as_ref().map_or_else(Instant::now, |it| it.2);
        tokio::select! {
            biased;
            (id, vm, result) = first_of(&mut self.attempts) => self.apply(id, &vm, result),
            () = wait_for_silence(silent_at), if asks_beside => {
                if let Some((id, vm, _)) = self.latest.take() {
                    self.call.record.log_step("server silent", &vm, "another server is asked");
                    self.call.state.record_outcome(&vm, true);
                    self.search.silent(id);
                }
                None
            }
            () = tokio::time::sleep(time) => None,
            () = self.call.state.wait_until_last_answers(), if !self.call.time_left().is_zero() => None,
        }
    }

    /// Sends the request to the next server; returns the answer of an earlier attempt if it comes
    /// before.
    async fn send(&mut self) -> Option<Response<AnswerBody>> {
        let call = self.call;
        let chosen_at = call.state.now();
        let is_paid = self.search.needs_retry();
        let chosen = match is_paid && !call.state.may_retry(&call.service) {
            true => Err(Obstacle::NoRetryLeft),
            false => choose_server(call, &self.search),
        };
        let server = match chosen {
            Ok(it) => it,
            Err(obstacle) => {
                self.search.cannot_send(obstacle, chosen_at);
                return None;
            }
        };
        call.state.spend_limit(&server.vm);
        let connection = match self.connect(&server).await {
            Connected::To(it) => it,
            Connected::Answered(it) => return Some(*it),
            Connected::Failed(error) => {
                record_connect_failure(call, &server.vm, error);
                self.search.connect_failed(server.vm);
                return None;
            }
            Connected::TimeOver => return None,
        };
        let now = call.state.now();
        if !self.search.may_send(now, &self.window()) {
            return None;
        }
        // The zone may have been evacuated while the connection was opened.
        if call.state.is_evacuated(&server.vm) {
            self.search.connect_failed(server.vm);
            return None;
        }
        if !call.state.try_send_to_cold(&server.vm, chosen_at) {
            self.search.cannot_send(Obstacle::NoRoom, now);
            return None;
        }
        // Another request may have spent the last retry while this one connected.
        if is_paid && !call.state.try_spend_retry(&call.service) {
            self.search.cannot_send(Obstacle::NoRetryLeft, now);
            return None;
        }
        let id = self.search.sent(server.vm.clone(), now);
        call.record.add_sent_to(&server.vm);
        call.record.log_step("request sent", &server.vm, "plain service");
        let silent_at = Instant::now() + call.route.target_latency.mul_f64(REPEAT_TARGET_RATIO);
        self.latest = Some((id, server.vm.clone(), silent_at));
        self.attempts.push(Box::pin(async move {
            let result = exchange(call, &server, connection).await;
            (id, server.vm, result)
        }));
        None
    }

    /// Connects to a server, beside the attempts in progress.
    async fn connect(&mut self, server: &BackendServer) -> Connected {
        let call = self.call;
        let failures = self.search.connect_failures();
        let has_refused = self.search.has_refused(&server.vm);
        let connecting = async {
            match call.route.retry_policy.is_retryable() && !has_refused {
                true => call.state.connection_to(server.address, failures).await,
                false => call.state.connect_to(server.address, failures).await,
            }
        };
        let connecting = tokio::time::timeout_at(call.ends_at, connecting);
        tokio::pin!(connecting);
        loop {
            tokio::select! {
                biased;
                (id, vm, result) = first_of(&mut self.attempts) => {
                    if let Some(it) = self.apply(id, &vm, result) {
                        return Connected::Answered(Box::new(it));
                    }
                }
                it = &mut connecting => return match it {
                    // A connection that fails after the deadline says nothing of the server.
                    _ if call.time_left().is_zero() => Connected::TimeOver,
                    Ok(Ok(it)) => Connected::To(it),
                    Ok(Err(error)) => Connected::Failed(error),
                    Err(_) => Connected::TimeOver,
                },
            }
        }
    }

    /// Applies the result of an attempt; returns its answer if it has one.
    fn apply(
        &mut self,
        id: AttemptId,
        vm: &VmId,
        result: AttemptResult,
    ) -> Option<Response<AnswerBody>> {
        let call = self.call;
        if self.latest.as_ref().is_some_and(|it| it.0 == id) {
            self.latest = None;
        }
        call.state.record_outcome(vm, matches!(result, AttemptResult::Failed(..)));
        match result {
            AttemptResult::Answered(response) => {
                call.record.answer_completed();
                return Some(response);
            }
            AttemptResult::NoMemory => {
                let refusal = Refusal::unknown(ResultCode::BackendBroken, NO_MEMORY_REASON);
                return Some(call.record.refuse(&refusal, NO_MEMORY_REASON));
            }
            AttemptResult::NotRun(reason) => {
                call.record.log_step("not run", vm, reason);
                self.search.refused(id, call.state.now());
            }
            AttemptResult::Failed(reason, code, response) => {
                call.record.log_step("attempt failed", vm, reason);
                let failure = match response {
                    Some(_) => AttemptFailure::Answered,
                    None => AttemptFailure::Broke,
                };
                self.search.failed(id, failure);
                self.last_failure = Some(LastFailure { reason, code, response });
            }
        }
        None
    }

    /// Ends the exchange without an answer, with a server's error if the last attempt sent one.
    fn end(self, end: SearchEnd) -> Response<AnswerBody> {
        let call = self.call;
        let obstacle = match end {
            SearchEnd::TimeOver { may_have_run } => return timeout_response(call, may_have_run),
            SearchEnd::NotRun(Obstacle::Quarantined) => {
                let refused = call.refuse_quarantined();
                return refused.unwrap_or_else(|| refuse(call, QUARANTINED_REASON));
            }
            SearchEnd::NotRun(obstacle) => return refuse(call, explain(obstacle)),
            SearchEnd::Failed(obstacle) => obstacle,
        };
        match self.last_failure {
            Some(LastFailure { reason, code, response: Some(response) }) => {
                call.record.answer_failed(code, reason);
                response
            }
            Some(LastFailure { reason, code, .. })
                if matches!(obstacle, Obstacle::AttemptsUsed | Obstacle::MayNotMove) =>
            {
                unknown_outcome_response(call, code, reason)
            }
            Some(_) | None => {
                unknown_outcome_response(call, ResultCode::BackendBroken, explain(obstacle))
            }
        }
    }
}

/// Returns the reason of a request that is not sent.
fn explain(obstacle: Obstacle) -> &'static str {
    match obstacle {
        Obstacle::NoServer | Obstacle::NoUsableServer => "no server of the service answers",
        Obstacle::NoRoom | Obstacle::NotAdmitted => "the servers take no more requests for now",
        Obstacle::NoRetryLeft => "retry budget used up",
        Obstacle::Refused => "server is full or has gone",
        Obstacle::Unreachable => "servers cannot be reached",
        Obstacle::AttemptsUsed | Obstacle::MayNotMove => "the request is sent to no other server",
        Obstacle::Quarantined => QUARANTINED_REASON,
    }
}

/// Chooses among the servers that may be asked now.
///
/// # Errors
///
/// Returns why there is none.
fn choose_server(call: &Call, search: &ServerSearch) -> Result<BackendServer, Obstacle> {
    if call.is_quarantined() {
        return Err(Obstacle::Quarantined);
    }
    let now = call.state.now();
    let excluded = search.excluded(now);
    let view = call.state.view.borrow();
    let is_candidate = |it: &&BackendServer| {
        it.service == call.service && !it.is_leaving && call.allows_server(it)
    };
    let servers = || view.servers.values().filter(is_candidate);
    let loads: Vec<ServerLoad> = servers()
        .filter(|it| {
            !excluded.contains(&it.vm) && view.is_usable(it, now) && view.has_room(it, now)
        })
        .map(|it| ServerLoad {
            vm: it.vm.clone(),
            in_flight: view.loads.load(&it.vm, now).in_flight,
            is_same_zone: it.zone == call.state.vm.zone,
        })
        .collect();
    let obstacle = view.obstacle(servers().filter(|it| !search.has_tried(&it.vm)), now);
    drop(view);
    call.choose_plain(&loads, now).ok_or(obstacle)
}

async fn exchange(
    call: &Call,
    server: &BackendServer,
    mut connection: Connection,
) -> AttemptResult {
    call.state.metrics.count_attempt();
    let left_zone = call.count_left_zone(&server.vm);
    let sent_at = call.state.now();
    let _in_flight = call.state.track_in_flight(&server.vm, false);
    let request = call.backend_request(&server.vm, None, None);
    let process = call.state.server_process(&server.vm);
    let response = match connection.send(request).await {
        Ok(it) => it,
        Err(error) => {
            call.state.pool.record_broken(&connection);
            call.record_failed_exchange(&server.vm, &error).await;
            return AttemptResult::Failed("connection broke", ResultCode::BackendBroken, None);
        }
    };
    call.state.record_notice(process.as_ref(), &response);
    call.state.record_limit(process.as_ref(), &response);
    let status = response.status();
    let attempt_id = call.caller_head.attempt_id.as_deref().unwrap_or_default();
    let answer_head =
        AnswerHead::read(status, response.headers(), attempt_id, connection.connection_use());
    match answer_head.facts.verdict() {
        AnswerVerdict::Success | AnswerVerdict::Failure => {}
        AnswerVerdict::NotRun => return AttemptResult::NotRun("server is full or has gone"),
        AnswerVerdict::Unusable(it) => {
            return AttemptResult::Failed(it.reason(), it.code(), None);
        }
    }
    let headers = AnswerHead::forwarded_headers(response.headers());
    let body = match read_answer(response.into_body(), ANSWER_BYTES_MAX, &call.client).await {
        Ok(it) => it,
        Err(BodyError::NoMemory) => return AttemptResult::NoMemory,
        Err(_) => {
            call.record_break(&server.vm, AnswerStart::default()).await;
            return AttemptResult::Failed("answer broke off", ResultCode::BackendBroken, None);
        }
    };
    if !answer_head.closes {
        call.state.recycle(connection, answer_head.idle_timeout, false);
    }
    left_zone.iter().for_each(|it| it.add(body.length()));
    let answer = complete_response(call, status, headers, body);
    if status.is_server_error() {
        return AttemptResult::Failed("server failed", ResultCode::BackendBroken, Some(answer));
    }
    call.record_whole_answer();
    call.record_answer_time(sent_at);
    AttemptResult::Answered(answer)
}

fn complete_response(
    call: &Call,
    status: StatusCode,
    headers: http::HeaderMap,
    body: BodyParts,
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
