//! Event streams from model groups.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use mangocross_platform::AnswerHead;
use mangocross_serving::Admission;
use mangocross_serving::Comparison;
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

use crate::dispatch::Call;
use crate::front::NOT_RUN_PAUSE;
use crate::front::Sent;
use crate::outcome::RequestRecord;
use crate::plain;
use crate::plain::SENDS_MAX;
use crate::pool;
use crate::pool::Connection;
use crate::stream_body::AnswerBody;
use crate::stream_body::Piece;

/// Pieces that wait for a caller who reads slowly.
const PIECES_MAX: usize = 8;
/// Heads that may be unreachable before a stream is refused.
const CONNECT_FAILURES_MAX: u32 = 4;
/// Silence of one stream, while its group goes on, after which it is resumed elsewhere.
///
/// Callers abandon a stream after two seconds.
const STREAM_SILENCE_MAX: Duration = Duration::from_millis(1500);
/// Time for which a broken stream looks for a group with room.
const RESUME_PATIENCE: Duration = Duration::from_millis(500);
/// Part of its aim that a stream waits for a group with room.
const WAIT_PART: u32 = 8;
/// Pause between looks for a group with room.
const WAIT_PAUSE: Duration = Duration::from_millis(12);
/// The same for a stream that is resumed.
const RESUME_PAUSE: Duration = Duration::from_millis(50);
/// Gap after which callers have given a stream up.
const GAP_MAX: Duration = Duration::from_millis(1900);
/// Places beyond a group's slots that streams past their aim may take.
const LATE_QUEUE: u32 = 0;
/// Places beyond a group's slots that resumed streams may take.
const RESUME_QUEUE: u32 = 4;
/// Places beyond a group's slots that a resumed stream takes when it has no time left.
const LAST_RESORT_QUEUE: u32 = 16;
/// Rank of resumed streams at engines.
const RESUMED_PRIORITY: u8 = 0;
/// Shortest and longest time after which refused callers may come back.
const RETURN_MIN: Duration = Duration::from_millis(400);
const RETURN_SPREAD: Duration = Duration::from_millis(1400);

/// Reasons for which a stream is refused.
const NO_GROUP: (ResultCode, &str) = (ResultCode::NoCompleteGroup, "no group serves the model");
const NO_ROOM: (ResultCode, &str) = (ResultCode::Overloaded, "no group has room");
const NO_BUDGET: (ResultCode, &str) = (ResultCode::RetryBudget, "retry budget used up");
const UNREACHABLE: (ResultCode, &str) = (ResultCode::NoCompleteGroup, "heads cannot be reached");

/// A stream that a server has begun.
struct Begun {
    vm: VmId,
    connection: Connection,
    sent: Sent,
    response: Response<Incoming>,
    head: AnswerHead,
}

/// Why an attempt did not begin.
enum NotBegun {
    /// The server did not run it.
    NotRun(&'static str),
    /// It may have run.
    MayHaveRun(&'static str, ResultCode),
    /// The server answered with a failure.
    Failure(Box<Begun>),
    /// The time is over.
    TimeOver,
}

/// Serves an event stream.
pub(crate) async fn serve(mut call: Call) -> (Response<AnswerBody>, Option<RequestRecord>) {
    let is_repeatable = call.route.repeat.is_repeatable();
    let mut tried: Vec<VmId> = Vec::new();
    let mut sent = 0;
    // Attempts that may have run; a server that turns a stream away is none.
    let mut runs = 0;
    let mut connect_failures = 0;
    let response = loop {
        let Some(heads) = find(&call, &tried) else {
            break ended(&call, runs > 0, NO_GROUP, RETURN_MIN);
        };
        let vm = match choose(&call, &heads, LATE_QUEUE) {
            Admission::Send(vm) => vm,
            // Places come free, and prompts are read, within a few passes.
            Admission::Refuse { .. } if call.record.age() < call.route.aim / WAIT_PART => {
                tokio::time::sleep(WAIT_PAUSE).await;
                continue;
            }
            Admission::Refuse { room_in, best, first_event_in } => {
                note_refused(&call, &best, first_event_in, heads.len());
                break ended(&call, runs > 0, NO_ROOM, room_in);
            }
            Admission::NoGroup => {
                break ended(&call, runs > 0, NO_GROUP, RETURN_MIN);
            }
        };
        if sent > 0 && !call.front.try_repeat(&call.service) {
            break ended(&call, runs > 0, NO_BUDGET, RETURN_MIN);
        }
        let Some(connection) = connect(&call, &vm, is_repeatable).await else {
            tried.push(vm);
            connect_failures += 1;
            if connect_failures > CONNECT_FAILURES_MAX {
                break ended(&call, runs > 0, UNREACHABLE, RETURN_MIN);
            }
            continue;
        };
        sent += 1;
        tried.push(vm.clone());
        call.record.sent_to.push(vm.clone());
        note_sent(&call, &vm, &heads);
        let last_id = call.head.last_event_id;
        let may_repeat = is_repeatable && runs + 1 < call.route.attempts_max;
        match begin(&call, &vm, connection, last_id, call.priority()).await {
            Ok(begun) => return relay(call, begun, runs + 1),
            Err(NotBegun::NotRun(reason)) => {
                call.record.step("not run", &vm, reason);
                if sent >= SENDS_MAX {
                    let why = (ResultCode::BackendRefused, reason);
                    break ended(&call, runs > 0, why, RETURN_MIN);
                }
            }
            Err(NotBegun::MayHaveRun(reason, code)) => {
                call.record.step("attempt failed", &vm, reason);
                runs += 1;
                if !may_repeat {
                    break call.record.refuse(&Refusal::unknown(code, reason), reason);
                }
            }
            Err(NotBegun::Failure(begun)) => {
                call.record.step("attempt failed", &vm, "server answered with a failure");
                runs += 1;
                if !may_repeat {
                    break failure(&call, *begun).await;
                }
            }
            Err(NotBegun::TimeOver) => break plain::timed_out(&call, true),
        }
    };
    (response, Some(call.record))
}

/// Returns the heads that take the model, or `None` if there are none.
fn find(call: &Call, tried: &[VmId]) -> Option<Vec<HeadLoad>> {
    let heads = call.front.heads(&call.service, call.head.model.as_ref(), tried);
    (!heads.is_empty()).then_some(heads)
}

fn choose(call: &Call, heads: &[HeadLoad], queue: u32) -> Admission {
    let engine = call.configuration.services.get(&call.service).and_then(|it| it.engine.as_ref());
    let model = engine.and_then(|engine| {
        let named = call.head.model.as_ref().and_then(|it| engine.model(it));
        named.or(engine.models.first()).map(|it| (engine, it))
    });
    let Some((engine, model)) = model else {
        let least = heads.iter().min_by_key(|it| it.in_flight);
        return least.map_or(Admission::NoGroup, |it| Admission::Send(it.vm.clone()));
    };
    let demand = StreamDemand {
        aim: call.route.aim,
        waited: call.waited_before + call.record.age(),
        prompt_tokens: call.head.prompt_tokens,
    };
    let comparison = match call.front.has_old_counts() {
        true => Comparison::Two(fastrand::f64(), fastrand::f64()),
        false => Comparison::All,
    };
    admit(&GroupTimes::new(engine, model), heads, &demand, queue, comparison)
}

async fn connect(call: &Call, vm: &VmId, may_reuse: bool) -> Option<Connection> {
    let address = call.front.beliefs.borrow().servers.get(vm).map(|it| it.address)?;
    let connection =
        if may_reuse { call.front.pool.get(address).await } else { pool::connect(address).await };
    match connection {
        Ok(it) => Some(it),
        Err(error) => {
            plain::failed_to_connect(call, vm, error);
            call.front.recheck(vm);
            None
        }
    }
}

fn note_sent(call: &Call, vm: &VmId, heads: &[HeadLoad]) {
    let load = heads.iter().find(|it| it.vm == *vm);
    let (in_flight, waiting) = load.map_or((0, 0), |it| (it.in_flight, it.waiting));
    let detail = format!("{in_flight} in flight, {waiting} waiting, {} groups", heads.len());
    call.record.step("stream sent", vm, &detail);
}

fn note_refused(call: &Call, best: &HeadLoad, first_event_in: Duration, groups: usize) {
    let HeadLoad { vm, in_flight, waiting, pace } = best;
    let (first_ms, aim_ms) = (first_event_in.as_millis(), call.route.aim.as_millis());
    let detail = format!(
        "{in_flight} in flight, {waiting} waiting, slowness {pace:.1}, first event in {first_ms} ms, \
         aim {aim_ms} ms, {groups} groups"
    );
    call.record.step("stream refused", vm, &detail);
}

/// Sends the request and waits for the head of its answer.
async fn begin(
    call: &Call,
    vm: &VmId,
    mut connection: Connection,
    last_event_id: Option<u64>,
    priority: u8,
) -> Result<Begun, NotBegun> {
    call.front.metrics.attempt();
    let sent = call.front.sent(vm, true);
    let request = call.forward(vm, last_event_id, Some(priority));
    let is_reused = connection.is_reused();
    let response = {
        let sending = connection.send(request);
        tokio::pin!(sending);
        loop {
            tokio::select! {
                it = &mut sending => break it,
                () = call.front.suspected.notified() => {
                    if call.front.is_suspect(vm) {
                        let reason = "group is stalled before the first event";
                        return Err(NotBegun::MayHaveRun(reason, ResultCode::BackendSilent));
                    }
                }
                () = tokio::time::sleep_until(call.ends_at) => return Err(NotBegun::TimeOver),
            }
        }
    };
    let response = match response {
        Ok(it) => it,
        Err(_) => {
            if !is_reused {
                call.front.recheck(vm);
            }
            return Err(NotBegun::MayHaveRun("connection broke", ResultCode::BackendBroken));
        }
    };
    sent.progressed();
    let attempt_id = call.head.attempt_id.as_deref().unwrap_or_default();
    let head = AnswerHead::read(response.status(), response.headers(), attempt_id);
    if !head.matches_attempt {
        let reason = "answer to another request";
        return Err(NotBegun::MayHaveRun(reason, ResultCode::BackendMismatch));
    }
    if head.is_not_run {
        call.front.avoid(vm, NOT_RUN_PAUSE);
        return Err(NotBegun::NotRun("group is full, broken or no longer there"));
    }
    let begun = Begun { vm: vm.clone(), connection, sent, response, head };
    if begun.response.status() == StatusCode::OK && begun.head.is_signed {
        Ok(begun)
    } else {
        Err(NotBegun::Failure(Box::new(begun)))
    }
}

/// Hands a server's failure to the caller.
async fn failure(call: &Call, begun: Begun) -> Response<AnswerBody> {
    let status = begun.response.status();
    let headers = AnswerHead::forwarded(begun.response.headers());
    match begun.response.into_body().collect().await {
        Ok(body) => {
            call.record.began(status);
            call.record.broke(ResultCode::BackendBroken, "server failed");
            let mut response = Response::new(AnswerBody::whole(body.to_bytes()));
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            response
        }
        Err(_) => {
            let reason = "answer broke off";
            call.record.refuse(&Refusal::unknown(ResultCode::BackendBroken, reason), reason)
        }
    }
}

/// Ends a stream that no group takes: refused if it has not run, failed otherwise.
fn ended(
    call: &Call,
    may_have_run: bool,
    (code, reason): (ResultCode, &'static str),
    room_in: Duration,
) -> Response<AnswerBody> {
    let spread = RETURN_SPREAD.mul_f64(fastrand::f64());
    let after = (room_in.max(RETURN_MIN) + spread).min(call.time_left() / 3);
    let refusal = if may_have_run {
        Refusal::unknown(ResultCode::BackendBroken, reason)
    } else {
        Refusal::not_run(code, reason)
    };
    call.record.refuse(&refusal.retry_after(after), reason)
}

/// Starts the task that forwards events, and returns the head of the answer.
fn relay(call: Call, begun: Begun, runs: u32) -> (Response<AnswerBody>, Option<RequestRecord>) {
    let status = begun.response.status();
    let headers = AnswerHead::forwarded(begun.response.headers());
    call.record.began(status);
    let (pieces, received) = mpsc::channel(PIECES_MAX);
    let splitter = EventSplitter::after(call.head.last_event_id);
    let task = tokio::task::spawn_local(async move {
        let mut relay = Relay { call, pieces, splitter, runs, last_event_at: Instant::now() };
        relay.run(begun).await;
    });
    let mut response = Response::new(AnswerBody::pieces(received, task.abort_handle()));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    (response, None)
}

/// Why forwarding from one server ended.
enum RelayEnd {
    /// The answer is complete.
    Complete,
    /// The server, or the way to it, failed.
    Broken(&'static str),
    /// The caller's time is over.
    TimeOver,
    /// The caller left.
    Left,
}

/// Forwards one stream, over several servers if need be.
struct Relay {
    call: Call,
    pieces: Sender<Piece>,
    splitter: EventSplitter,
    /// Attempts that may have run.
    runs: u32,
    last_event_at: Instant,
}

impl Relay {
    async fn run(&mut self, begun: Begun) {
        let mut begun = begun;
        loop {
            let vm = begun.vm.clone();
            match self.forward(begun).await {
                RelayEnd::Complete => {
                    self.call.record.completed();
                    let _ = self.pieces.send(Piece::End).await;
                    return;
                }
                RelayEnd::Left => return,
                RelayEnd::TimeOver => {
                    self.call.record.broke(ResultCode::DeadlineExceeded, "time is over");
                    return;
                }
                RelayEnd::Broken(reason) => {
                    self.call.record.step("stream broke", &vm, reason);
                    match self.resume(&vm).await {
                        Some(it) => begun = it,
                        None => {
                            self.call.record.broke(ResultCode::BackendBroken, reason);
                            return;
                        }
                    }
                }
            }
        }
    }

    async fn forward(&mut self, begun: Begun) -> RelayEnd {
        let Begun { vm, connection, sent, response, head } = begun;
        let mut body = response.into_body();
        let mut silent_until = Instant::now() + STREAM_SILENCE_MAX;
        loop {
            let frame = tokio::select! {
                it = body.frame() => it,
                () = self.call.front.suspected.notified() => {
                    if self.call.front.is_suspect(&vm) {
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
                () = self.pieces.closed() => return RelayEnd::Left,
            };
            let data = match frame {
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
                Some(Err(_)) => return RelayEnd::Broken("answer broke off"),
                None if self.splitter.is_inside_event() => {
                    return RelayEnd::Broken("answer stopped inside an event");
                }
                None => {
                    if !head.closes {
                        self.call.front.pool.put(connection, head.idle_timeout).await;
                    }
                    return RelayEnd::Complete;
                }
            };
            sent.progressed();
            silent_until = Instant::now() + STREAM_SILENCE_MAX;
            let whole = match self.splitter.push(&data) {
                Ok(it) => it,
                Err(_) => return RelayEnd::Broken("event too long"),
            };
            if !whole.is_empty() && !self.deliver(whole).await {
                return RelayEnd::Left;
            }
        }
    }

    async fn deliver(&mut self, events: Bytes) -> bool {
        let now = Instant::now();
        self.call.front.metrics.gap(now.duration_since(self.last_event_at));
        self.last_event_at = now;
        self.pieces.send(Piece::Data(events)).await.is_ok()
    }

    /// Looks for a group that goes on after the last whole event.
    async fn resume(&mut self, failed: &VmId) -> Option<Begun> {
        let is_allowed =
            self.call.route.repeat.is_repeatable() && self.runs < self.call.route.attempts_max;
        if !is_allowed || !self.call.front.try_repeat(&self.call.service) {
            return None;
        }
        self.splitter.drop_partial();
        let began_at = Instant::now();
        let mut tried = vec![failed.clone()];
        let mut sent = 0;
        while self.last_event_at.elapsed() < GAP_MAX && !self.call.time_left().is_zero() {
            let queue = match began_at.elapsed() < RESUME_PATIENCE {
                true => RESUME_QUEUE,
                false => LAST_RESORT_QUEUE,
            };
            let heads = find(&self.call, &tried).unwrap_or_default();
            let Admission::Send(vm) = choose(&self.call, &heads, queue) else {
                tokio::select! {
                    () = tokio::time::sleep(RESUME_PAUSE) => continue,
                    () = self.pieces.closed() => return None,
                }
            };
            let Some(connection) = connect(&self.call, &vm, true).await else {
                tried.push(vm);
                continue;
            };
            sent += 1;
            self.call.record.sent_to.push(vm.clone());
            self.call.front.metrics.resume();
            self.call.record.step("stream resumed", &vm, "after the last whole event");
            let last_id = self.splitter.last_id().or(self.call.head.last_event_id);
            let begun = tokio::select! {
                it = begin(&self.call, &vm, connection, last_id, RESUMED_PRIORITY) => it,
                () = self.pieces.closed() => return None,
            };
            match begun {
                Ok(it) => {
                    self.runs += 1;
                    return Some(it);
                }
                Err(NotBegun::NotRun(reason)) if sent < SENDS_MAX => {
                    self.call.record.step("not run", &vm, reason);
                    tried.push(vm);
                    if !self.call.front.try_repeat(&self.call.service) {
                        return None;
                    }
                }
                Err(_) => return None,
            }
        }
        None
    }
}
