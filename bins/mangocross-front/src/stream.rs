//! Event streams from model groups.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use mangocross_platform::AnswerHead;
use mangocross_serving::Admission;
use mangocross_serving::Candidates;
use mangocross_serving::EventSplitter;
use mangocross_serving::GroupTimes;
use mangocross_serving::HeadLoad;
use mangocross_serving::StreamDemand;
use mangocross_serving::admit;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::VmId;
use tokio::sync::mpsc;
use tokio::sync::mpsc::Sender;
use tokio::time::Instant;

use crate::answer_body::AnswerBody;
use crate::answer_body::Chunk;
use crate::dispatch::Call;
use crate::outcome::RequestRecord;
use crate::plain;
use crate::plain::PAUSED_REASON;
use crate::plain::SENDS_MAX;
use crate::pool::Connection;
use crate::state::InFlightGuard;
use crate::state::NOT_RUN_PAUSE;

/// Chunks buffered for a caller that reads slowly.
const QUEUED_CHUNKS_MAX: usize = 8;
/// Maximum number of failed connection attempts before a stream is refused.
const CONNECT_FAILURES_MAX: u32 = 4;
/// Time without an event after which a stream is resumed elsewhere, as a share of the time after
/// which its caller abandons it; a stall of its whole group is usually detected earlier.
const STREAM_SILENCE_SHARE: f64 = 0.75;
/// Time after which a resumed stream may use LAST_RESORT_QUEUE_SLOTS instead of RESUME_QUEUE_SLOTS.
const RESUME_QUEUE_TIME: Duration = Duration::from_millis(500);
/// Divisor of a stream's target latency that gives its maximum wait for a group with room.
const ADMISSION_WAIT_DIVISOR: u32 = 8;
/// Delay between a new stream's attempts to find a group with room.
const ADMISSION_RETRY_DELAY: Duration = Duration::from_millis(12);
/// Delay between a resumed stream's attempts to find a group with room.
const RESUME_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time since the last event after which a stream is no longer resumed, as a share of the time
/// after which its caller abandons it.
const RESUME_GAP_SHARE: f64 = 0.95;
/// Maximum size of a server's error, which is buffered until it is complete.
const FAILURE_BYTES_MAX: usize = 1 << 20;
/// Queue places beyond a group's slots for streams that exceed their target latency.
const LATE_QUEUE_SLOTS: u32 = 0;
/// Queue places beyond a group's slots for resumed streams.
const RESUME_QUEUE_SLOTS: u32 = 4;
/// Queue places beyond a group's slots for resumed streams that found no room within
/// RESUME_QUEUE_TIME.
const LAST_RESORT_QUEUE_SLOTS: u32 = 16;
/// Priority of resumed streams at engines.
const RESUMED_PRIORITY: u8 = 0;
/// Minimum Retry-After of refused streams.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(400);
/// Maximum random addition to the Retry-After of refused streams.
const RETRY_AFTER_SPREAD: Duration = Duration::from_millis(1400);

// Result codes and reasons of refused streams.
const NO_GROUP_REFUSAL: (ResultCode, &str) =
    (ResultCode::NoCompleteGroup, "no group serves the model");
const NO_ROOM_REFUSAL: (ResultCode, &str) = (ResultCode::Overloaded, "no group has room");
const RETRY_BUDGET_REFUSAL: (ResultCode, &str) = (ResultCode::RetryBudget, "retry budget used up");
const UNREACHABLE_REFUSAL: (ResultCode, &str) =
    (ResultCode::NoCompleteGroup, "heads cannot be reached");

/// A stream for which a server has sent the head of its answer.
struct StartedStream {
    vm: VmId,
    connection: Connection,
    in_flight: InFlightGuard,
    response: Response<Incoming>,
    answer_head: AnswerHead,
}

/// Why a server did not start a stream.
enum StartError {
    /// The server did not run the request.
    NotRun(&'static str),
    /// The attempt failed after sending began, for this reason; the caller gets the code if the
    /// request is not repeated.
    MayHaveRun(&'static str, ResultCode),
    /// The server answered with an error.
    Failure(Box<StartedStream>),
    /// The deadline has passed.
    TimeOver,
}

/// Serves an event stream.
pub(crate) async fn serve(mut call: Call) -> (Response<AnswerBody>, Option<RequestRecord>) {
    let is_retryable = call.route.retry_policy.is_retryable();
    let mut tried: Vec<VmId> = Vec::new();
    let mut sent = 0;
    // Attempts that may have run; refused ones don't count.
    let mut runs = 0;
    let mut connect_failures = 0;
    let response = loop {
        let Some(heads) = find_heads(&call, &tried) else {
            break refuse_or_report_unknown(&call, runs > 0, NO_GROUP_REFUSAL, RETRY_AFTER_MIN);
        };
        let vm = match choose_head(&call, &heads, LATE_QUEUE_SLOTS) {
            Admission::Send(vm) => vm,
            // Slots often become free and prompts are processed within a few passes of an engine,
            // so retry for a short time.
            Admission::Refuse { .. }
                if call.record.age() < call.route.target_latency / ADMISSION_WAIT_DIVISOR =>
            {
                tokio::time::sleep(ADMISSION_RETRY_DELAY).await;
                continue;
            }
            Admission::Refuse { free_slot_in, best, first_event_in } => {
                log_refused(&call, &best, first_event_in, heads.len());
                break refuse_or_report_unknown(&call, runs > 0, NO_ROOM_REFUSAL, free_slot_in);
            }
            Admission::NoGroup => {
                break refuse_or_report_unknown(&call, runs > 0, NO_GROUP_REFUSAL, RETRY_AFTER_MIN);
            }
        };
        if sent > 0 && !call.state.try_spend_retry(&call.service) {
            break refuse_or_report_unknown(&call, runs > 0, RETRY_BUDGET_REFUSAL, RETRY_AFTER_MIN);
        }
        let Some(connection) = connect(&call, &vm, is_retryable, connect_failures).await else {
            tried.push(vm);
            connect_failures += 1;
            if connect_failures > CONNECT_FAILURES_MAX {
                break refuse_or_report_unknown(
                    &call,
                    runs > 0,
                    UNREACHABLE_REFUSAL,
                    RETRY_AFTER_MIN,
                );
            }
            continue;
        };
        sent += 1;
        tried.push(vm.clone());
        call.record.sent_to.push(vm.clone());
        log_sent(&call, &vm, &heads);
        let last_id = call.caller_head.last_event_id;
        let may_repeat = is_retryable && runs + 1 < call.route.attempts_max;
        match start_attempt(&call, &vm, connection, last_id, call.priority()).await {
            Ok(started) => return start_relay(call, started, runs + 1),
            Err(StartError::NotRun(reason)) => {
                call.record.log_step("not run", &vm, reason);
                if sent >= SENDS_MAX {
                    let why = (ResultCode::BackendRefused, reason);
                    break refuse_or_report_unknown(&call, runs > 0, why, RETRY_AFTER_MIN);
                }
            }
            Err(StartError::MayHaveRun(reason, code)) => {
                call.record.log_step("attempt failed", &vm, reason);
                runs += 1;
                if !may_repeat {
                    break call.record.refuse(&Refusal::unknown(code, reason), reason);
                }
            }
            Err(StartError::Failure(started)) => {
                call.record.log_step("attempt failed", &vm, "server answered with a failure");
                runs += 1;
                if !may_repeat {
                    break forward_failure(&call, *started).await;
                }
            }
            Err(StartError::TimeOver) => break plain::timeout_response(&call, true),
        }
    };
    (response, Some(call.record))
}

/// Returns the heads that accept requests for the model, or `None` if there are none.
fn find_heads(call: &Call, tried: &[VmId]) -> Option<Vec<HeadLoad>> {
    let heads = call.state.heads(&call.service, call.caller_head.model.as_ref(), tried);
    (!heads.is_empty()).then_some(heads)
}

fn choose_head(call: &Call, heads: &[HeadLoad], queue_slots: u32) -> Admission {
    let engine = call.configuration.services.get(&call.service).and_then(|it| it.engine.as_ref());
    let model = engine.and_then(|engine| {
        let named = call.caller_head.model.as_ref().and_then(|it| engine.model(it));
        named.or(engine.models.first()).map(|it| (engine, it))
    });
    let Some((engine, model)) = model else {
        let least = heads.iter().min_by_key(|it| it.in_flight);
        return least.map_or(Admission::NoGroup, |it| Admission::Send(it.vm.clone()));
    };
    let demand = StreamDemand {
        target_latency: call.route.target_latency,
        waited: call.waited_before + call.record.age(),
        prompt_tokens: call.caller_head.prompt_tokens,
    };
    let comparison = match call.state.may_get_counts_via_planner() {
        true => Candidates::RandomTwo(fastrand::f64(), fastrand::f64()),
        false => Candidates::All,
    };
    admit(&GroupTimes::new(engine, model), heads, &demand, queue_slots, comparison)
}

async fn connect(call: &Call, vm: &VmId, may_reuse: bool, failures: u32) -> Option<Connection> {
    let address = call.state.view.borrow().servers.get(vm).map(|it| it.address)?;
    let connection = if may_reuse {
        call.state.pool.get(address, failures).await
    } else {
        call.state.pool.open(address, failures).await
    };
    match connection {
        Ok(it) => Some(it),
        Err(error) => {
            plain::record_connect_failure(call, vm, error);
            call.state.request_recheck(vm);
            None
        }
    }
}

fn log_sent(call: &Call, vm: &VmId, heads: &[HeadLoad]) {
    let load = heads.iter().find(|it| it.vm == *vm);
    let (in_flight, waiting) = load.map_or((0, 0), |it| (it.in_flight, it.waiting));
    let detail = format!("{in_flight} in flight, {waiting} waiting, {} groups", heads.len());
    call.record.log_step("stream sent", vm, &detail);
}

fn log_refused(call: &Call, best: &HeadLoad, first_event_in: Duration, groups: usize) {
    let HeadLoad { vm, in_flight, waiting, slowdown } = best;
    let (first_ms, target_ms) = (first_event_in.as_millis(), call.route.target_latency.as_millis());
    let detail = format!(
        "{in_flight} in flight, {waiting} waiting, slowdown {slowdown:.1}, first event in {first_ms} ms, \
         target {target_ms} ms, {groups} groups"
    );
    call.record.log_step("stream refused", vm, &detail);
}

/// Sends the request and waits for the head of its answer.
async fn start_attempt(
    call: &Call,
    vm: &VmId,
    mut connection: Connection,
    last_event_id: Option<u64>,
    priority: u8,
) -> Result<StartedStream, StartError> {
    call.state.metrics.count_attempt();
    let in_flight = call.state.track_in_flight(vm, true);
    let request = call.backend_request(vm, last_event_id, Some(priority));
    let process = call.state.server_process(vm);
    let is_reused = connection.is_reused();
    let response = {
        let sending = connection.send(request);
        tokio::pin!(sending);
        loop {
            tokio::select! {
                it = &mut sending => break it,
                () = call.state.suspect_added.notified() => {
                    if call.state.is_suspect(vm) {
                        let reason = "group is stalled before the first event";
                        return Err(StartError::MayHaveRun(reason, ResultCode::BackendSilent));
                    }
                }
                () = tokio::time::sleep_until(call.ends_at) => return Err(StartError::TimeOver),
            }
        }
    };
    let response = match response {
        Ok(it) => it,
        Err(_) => {
            if !is_reused {
                call.state.request_recheck(vm);
            }
            return Err(StartError::MayHaveRun("connection broke", ResultCode::BackendBroken));
        }
    };
    in_flight.record_progress();
    call.state.record_notice(process.as_ref(), &response);
    let attempt_id = call.caller_head.attempt_id.as_deref().unwrap_or_default();
    let answer_head = AnswerHead::read(response.status(), response.headers(), attempt_id);
    if !answer_head.matches_attempt {
        let reason = "answer to another request";
        return Err(StartError::MayHaveRun(reason, ResultCode::BackendMismatch));
    }
    if answer_head.is_not_run {
        call.state.avoid(vm, NOT_RUN_PAUSE);
        return Err(StartError::NotRun("group is full, broken or no longer there"));
    }
    let started = StartedStream { vm: vm.clone(), connection, in_flight, response, answer_head };
    if started.response.status() == StatusCode::OK && started.answer_head.is_signed {
        Ok(started)
    } else {
        Err(StartError::Failure(Box::new(started)))
    }
}

/// Forwards a server's error to the caller.
async fn forward_failure(call: &Call, started: StartedStream) -> Response<AnswerBody> {
    let status = started.response.status();
    let headers = AnswerHead::forwarded_headers(started.response.headers());
    let body = Limited::new(started.response.into_body(), FAILURE_BYTES_MAX).collect();
    match tokio::time::timeout_at(call.ends_at, body).await {
        Ok(Ok(body)) => {
            call.record.answer_started(status);
            call.record.answer_failed(ResultCode::BackendBroken, "server failed");
            let mut response = Response::new(AnswerBody::whole(body.to_bytes()));
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            response
        }
        Ok(Err(_)) | Err(_) => {
            let reason = "the server's error is too long or broke off";
            call.record.refuse(&Refusal::unknown(ResultCode::BackendBroken, reason), reason)
        }
    }
}

/// Refuses a stream that no group accepts if no attempt can have run; otherwise reports an unknown
/// outcome.
fn refuse_or_report_unknown(
    call: &Call,
    may_have_run: bool,
    (code, reason): (ResultCode, &'static str),
    retry_after_min: Duration,
) -> Response<AnswerBody> {
    let spread = RETRY_AFTER_SPREAD.mul_f64(fastrand::f64());
    let after = (retry_after_min.max(RETRY_AFTER_MIN) + spread).min(call.time_left() / 3);
    if may_have_run {
        let refusal = Refusal::unknown(ResultCode::BackendBroken, reason).retry_after(after);
        return call.record.refuse(&refusal, reason);
    }
    let (code, reason, after) =
        match call.state.return_after(&call.service, call.caller_head.model.as_ref()) {
            Some(after) => (ResultCode::BackendRefused, PAUSED_REASON, after),
            None => (code, reason, after),
        };
    let refusal = Refusal::not_run(code, reason);
    call.record.refuse(&refusal.retry_after(after), reason)
}

/// Starts the task that forwards events, and returns the head of the answer.
fn start_relay(
    call: Call,
    started: StartedStream,
    runs: u32,
) -> (Response<AnswerBody>, Option<RequestRecord>) {
    let status = started.response.status();
    let headers = AnswerHead::forwarded_headers(started.response.headers());
    call.record.answer_started(status);
    let (chunks, received) = mpsc::channel(QUEUED_CHUNKS_MAX);
    let splitter = EventSplitter::resuming_after(call.caller_head.last_event_id);
    let task = tokio::task::spawn_local(async move {
        let mut relay = Relay { call, chunks, splitter, runs, last_event_at: Instant::now() };
        relay.run(started).await;
    });
    let mut response = Response::new(AnswerBody::chunks(received, task.abort_handle()));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    (response, None)
}

/// Why forwarding from one server ended.
enum RelayEnd {
    /// The answer is complete.
    Complete,
    /// The server or the connection to it failed.
    Broken(&'static str),
    /// The caller's deadline has passed.
    TimeOver,
    /// The caller disconnected.
    CallerLeft,
}

/// Forwards one stream, which may move to other servers.
struct Relay {
    call: Call,
    chunks: Sender<Chunk>,
    splitter: EventSplitter,
    /// Attempts that may have run.
    runs: u32,
    last_event_at: Instant,
}

impl Relay {
    async fn run(&mut self, started: StartedStream) {
        let mut started = started;
        loop {
            let vm = started.vm.clone();
            match self.forward(started).await {
                RelayEnd::Complete => {
                    self.call.record.answer_completed();
                    let _ = self.chunks.send(Chunk::End).await;
                    return;
                }
                RelayEnd::CallerLeft => return,
                RelayEnd::TimeOver => {
                    self.call.record.answer_failed(ResultCode::DeadlineExceeded, "time is over");
                    return;
                }
                RelayEnd::Broken(reason) => {
                    self.call.record.log_step("stream broke", &vm, reason);
                    match self.resume(&vm).await {
                        Some(it) => started = it,
                        None => {
                            self.call.record.answer_failed(ResultCode::BackendBroken, reason);
                            return;
                        }
                    }
                }
            }
        }
    }

    async fn forward(&mut self, started: StartedStream) -> RelayEnd {
        let StartedStream { vm, connection, in_flight, response, answer_head } = started;
        let mut body = response.into_body();
        let silence_max = self.call.route.event_gap_max.mul_f64(STREAM_SILENCE_SHARE);
        let mut silent_until = Instant::now() + silence_max;
        loop {
            let frame = tokio::select! {
                it = body.frame() => it,
                () = self.call.state.suspect_added.notified() => {
                    if self.call.state.is_suspect(&vm) {
                        return RelayEnd::Broken("group is stalled");
                    }
                    continue;
                }
                () = tokio::time::sleep_until(silent_until.min(self.call.ends_at)) => {
                    if self.call.ends_at <= Instant::now() {
                        return RelayEnd::TimeOver;
                    }
                    return RelayEnd::Broken("stream is silent");
                }
                () = self.chunks.closed() => return RelayEnd::CallerLeft,
            };
            let data = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(_)) => return RelayEnd::Broken("answer broke off"),
                None if self.splitter.is_inside_event() => {
                    return RelayEnd::Broken("answer stopped inside an event");
                }
                None => {
                    if !answer_head.closes {
                        self.call.state.recycle(connection, answer_head.idle_timeout);
                    }
                    return RelayEnd::Complete;
                }
            };
            let events = match self.splitter.push(&data) {
                Ok(it) => it,
                Err(_) => return RelayEnd::Broken("event too long"),
            };
            if events.has_content {
                in_flight.record_progress();
            }
            if !events.data.is_empty()
                && let Some(end) = self.deliver(events.data).await
            {
                return end;
            }
            // The time that the caller took to read does not count as silence of the server.
            if events.has_content {
                silent_until = Instant::now() + silence_max;
            }
        }
    }

    /// Passes events on; waits for a slow caller until the deadline.
    async fn deliver(&mut self, events: Bytes) -> Option<RelayEnd> {
        let now = Instant::now();
        self.call.state.metrics.record_event_gap(now.duration_since(self.last_event_at));
        self.last_event_at = now;
        let sending = self.chunks.send(Chunk::Data(events));
        match tokio::time::timeout_at(self.call.ends_at, sending).await {
            Ok(Ok(())) => None,
            Ok(Err(_)) => Some(RelayEnd::CallerLeft),
            Err(_) => Some(RelayEnd::TimeOver),
        }
    }

    /// Resumes the stream after the last complete event on another group.
    async fn resume(&mut self, failed: &VmId) -> Option<StartedStream> {
        let is_allowed =
            self.call.route.retry_policy.is_retryable() && self.runs < self.call.route.attempts_max;
        if !is_allowed || !self.call.state.try_spend_retry(&self.call.service) {
            return None;
        }
        self.splitter.drop_partial();
        let began_at = Instant::now();
        let mut tried = vec![failed.clone()];
        let mut sent = 0;
        let gap_max = self.call.route.event_gap_max.mul_f64(RESUME_GAP_SHARE);
        while self.last_event_at.elapsed() < gap_max && !self.call.time_left().is_zero() {
            let queue_slots = match began_at.elapsed() < RESUME_QUEUE_TIME {
                true => RESUME_QUEUE_SLOTS,
                false => LAST_RESORT_QUEUE_SLOTS,
            };
            let heads = find_heads(&self.call, &tried).unwrap_or_default();
            let Admission::Send(vm) = choose_head(&self.call, &heads, queue_slots) else {
                tokio::select! {
                    () = tokio::time::sleep(RESUME_RETRY_DELAY) => continue,
                    () = self.chunks.closed() => return None,
                }
            };
            let failures = tried.len() as u32 - 1;
            let Some(connection) = connect(&self.call, &vm, true, failures).await else {
                tried.push(vm);
                continue;
            };
            sent += 1;
            self.call.record.sent_to.push(vm.clone());
            self.call.state.metrics.count_resume();
            self.call.record.log_step("stream resumed", &vm, "after the last whole event");
            let last_id = self.splitter.last_id().or(self.call.caller_head.last_event_id);
            let started = tokio::select! {
                it = start_attempt(&self.call, &vm, connection, last_id, RESUMED_PRIORITY) => it,
                () = self.chunks.closed() => return None,
            };
            match started {
                Ok(it) => {
                    self.runs += 1;
                    return Some(it);
                }
                Err(StartError::NotRun(reason)) if sent < SENDS_MAX => {
                    self.call.record.log_step("not run", &vm, reason);
                    tried.push(vm);
                    if !self.call.state.try_spend_retry(&self.call.service) {
                        return None;
                    }
                }
                Err(_) => return None,
            }
        }
        None
    }
}
