//! Finds a group that starts a stream.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;

use http::Response;
use mangocross_serving::Admission;
use mangocross_serving::HeadLoad;
use mangocross_serving::Moment;
use mangocross_serving::Obstacle;
use mangocross_serving::SearchEnd;
use mangocross_serving::SearchLimits;
use mangocross_serving::SearchPolicy;
use mangocross_serving::SearchWindow;
use mangocross_serving::ServerSearch;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::VmId;
use tokio::time::Instant;

use super::attempt::StartError;
use super::attempt::forward_failure;
use super::forwarder::SILENCE_SHARE;
use super::forwarder::STALL_SILENCE_MIN;
use super::forwarder::wait_until_stalled;
use super::goal::Goal;
use super::heads;
use super::search::Answer;
use super::search::StreamSearch;
use super::successor::RESUMED_PRIORITY;
use super::successor::resume_queue_slots;
use crate::answer_body::AnswerBody;
use crate::blame::QUARANTINED_RETRY_AFTER;
use crate::dispatch::Call;
use crate::plain;
use crate::plain::ADMISSION_WAIT_DIVISOR;
use crate::plain::PAUSED_REASON;
use crate::plain::REFUSALS_MAX;
use crate::silence::wait_for_silence;
use crate::state::NOT_RUN_PAUSE;

/// Maximum number of failed connection attempts before a stream is refused.
const CONNECT_FAILURES_MAX: u32 = 4;
/// Delay between a new stream's attempts to find a group with room: slots often become free, and
/// prompts are processed within a few passes of an engine.
const ADMISSION_RETRY_DELAY: Duration = Duration::from_millis(12);
/// Delay between the attempts to send a stream again.
const ASK_AGAIN_DELAY: Duration = Duration::from_millis(50);
/// Queue places beyond a group's slots for streams that exceed their target latency.
const LATE_QUEUE_SLOTS: u32 = 0;
/// Minimum Retry-After of refused streams.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(400);
/// Maximum random addition to the Retry-After of refused streams.
const RETRY_AFTER_SPREAD: Duration = Duration::from_millis(1400);

/// The groups that were full, as the last choice found them.
struct FullGroups {
    free_slot_in: Duration,
    best: HeadLoad,
    first_event_in: Duration,
}

/// Why no server has begun a stream.
pub(super) enum NoAnswer {
    /// The answer to the caller tells why.
    Refused(Box<Response<AnswerBody>>),
    /// This VM reaches no servers; another entry VM is to serve the stream.
    NeedsPeer,
}

/// The start of a stream.
pub(super) struct StreamStart<'a> {
    call: &'a Call,
    heads: RefCell<Vec<HeadLoad>>,
    full: RefCell<Option<FullGroups>>,
    /// Whether the stream was judged against the demand of all; it is once, before its first attempt.
    is_judged: Cell<bool>,
    /// Time after which the caller is to come back if the stream is refused while capacity is short.
    return_after: Cell<Option<Duration>>,
    /// When the group of the latest attempt was chosen, and the time to its first event predicted then.
    predicted: Cell<Option<(Moment, Duration)>>,
    /// Whether a server has sent the head of its answer, so that the stream counts as resumed.
    has_head: Cell<bool>,
    /// Since when another server is looked for after that.
    resumed_since: Cell<Option<Instant>>,
}

impl<'a> StreamStart<'a> {
    pub(super) fn new(call: &'a Call) -> Self {
        Self {
            call,
            heads: RefCell::default(),
            full: RefCell::default(),
            is_judged: Cell::new(false),
            return_after: Cell::new(None),
            predicted: Cell::new(None),
            has_head: Cell::new(false),
            resumed_since: Cell::new(None),
        }
    }

    /// Returns the answer that has begun and the number of attempts that may have run, including its
    /// own, or the answer that tells why there is none.
    pub(super) async fn run(&self) -> Result<(Answer, u32), NoAnswer> {
        let search = ServerSearch::new(self.limits());
        let mut search = StreamSearch::new(self.call, Goal::Start(self), search);
        match search.run().await {
            Ok(it) => {
                // Without a first event, only the head of the answer has come.
                let is_only = it.1.is_some() && search.runs() == 1;
                self.call.state.record_begin(self.call, self.predicted.get().filter(|_| is_only));
                Ok((it, search.runs()))
            }
            Err(SearchEnd::NotRun(_)) if self.call.needs_peer() => Err(NoAnswer::NeedsPeer),
            Err(end) => {
                let refused = self.end(end, search.take_failure()).await;
                Err(NoAnswer::Refused(Box::new(refused)))
            }
        }
    }

    fn limits(&self) -> SearchLimits {
        let route = &self.call.route;
        let (policy, attempts_max) = match route.retry_policy.is_retryable() {
            true => (SearchPolicy::StreamStart, route.attempts_max.max(1)),
            false => (SearchPolicy::Once, 1),
        };
        let admission_wait = route.target_latency / ADMISSION_WAIT_DIVISOR;
        SearchLimits {
            policy,
            attempts_max,
            refusals_max: REFUSALS_MAX,
            connect_failures_max: CONNECT_FAILURES_MAX,
            refusal_pause: NOT_RUN_PAUSE,
            admission_until: self.call.record.received_at + admission_wait,
            admission_delay: ADMISSION_RETRY_DELAY,
            ask_again_delay: ASK_AGAIN_DELAY,
        }
    }

    pub(super) fn window(&self) -> SearchWindow {
        let deadline = self.call.state.now() + self.call.time_left();
        SearchWindow { deadline, send_until: deadline, may_move: self.call.may_move() }
    }

    pub(super) fn choose(&self, search: &ServerSearch, now: Moment) -> Result<VmId, Obstacle> {
        let call = self.call;
        if call.is_quarantined() {
            return Err(Obstacle::Quarantined);
        }
        let Some(heads) = heads::find_heads(call, &search.excluded(now)) else {
            return Err(heads::no_head(call, search));
        };
        if !self.is_judged.replace(true)
            && let Some(return_after) = call.state.refuse_start(call, &heads)
        {
            self.return_after.set(Some(return_after));
            return Err(Obstacle::NotAdmitted);
        }
        let chosen = match heads::choose_head(call, &heads, self.queue_slots()) {
            Admission::Send(vm) => {
                let load = heads.iter().find(|it| it.vm == vm);
                let predicted = load.and_then(|it| call.state.predict_first_event(call, it));
                self.predicted.set(predicted.map(|it| (now, it)));
                Ok(vm)
            }
            Admission::Refuse { free_slot_in, best, first_event_in } => {
                self.return_after.set(call.state.return_after_shortage(call));
                *self.full.borrow_mut() = Some(FullGroups { free_slot_in, best, first_event_in });
                Err(Obstacle::NoRoom)
            }
            Admission::NoGroup => Err(heads::no_head(call, search)),
        };
        *self.heads.borrow_mut() = heads;
        chosen
    }

    /// Returns the number of queue places that the stream may use.
    fn queue_slots(&self) -> u32 {
        if !self.has_head.get() {
            return LATE_QUEUE_SLOTS;
        }
        let since = self.resumed_since.get().unwrap_or_else(Instant::now);
        self.resumed_since.set(Some(since));
        resume_queue_slots(since)
    }

    pub(super) fn resumption(&self) -> (Option<u64>, u8) {
        let priority = if self.has_head.get() { RESUMED_PRIORITY } else { self.call.priority() };
        (self.call.caller_head.last_event_id, priority)
    }

    pub(super) fn record_head(&self) {
        self.has_head.set(true);
    }

    pub(super) fn record_sent(&self, vm: &VmId) {
        heads::log_sent(self.call, vm, &self.heads.borrow());
    }

    pub(super) fn record_silence(&self, vm: &VmId) {
        self.call.record.log_step("server silent", vm, "before the first event");
    }

    pub(super) async fn wait_until_silent(&self, vm: &VmId) {
        self.call.state.wait_until_suspect(vm, self.call.record.received_at).await;
    }

    pub(super) async fn wait_until_stalled(&self, vm: &VmId) {
        let (call, begun_at) = (self.call, Instant::now());
        let silence_max = call.route.event_gap_max.mul_f64(SILENCE_SHARE);
        tokio::select! {
            () = wait_until_stalled(call, vm, call.state.now(), begun_at + STALL_SILENCE_MIN) => {}
            () = wait_for_silence(begun_at + silence_max) => {}
        }
    }

    /// Returns the answer of a stream that no server has begun.
    async fn end(&self, end: SearchEnd, failure: Option<StartError>) -> Response<AnswerBody> {
        let call = self.call;
        match end {
            SearchEnd::TimeOver { may_have_run } => plain::timeout_response(call, may_have_run),
            SearchEnd::NotRun(obstacle) => self.refuse(obstacle, failure),
            SearchEnd::Failed(obstacle) => match (failure, obstacle) {
                (Some(StartError::Failure(started)), _) => forward_failure(call, *started).await,
                (
                    Some(StartError::MayHaveRun(reason, code)),
                    Obstacle::AttemptsUsed | Obstacle::MayNotMove,
                ) => call.record.refuse(&Refusal::unknown(code, reason), reason),
                (Some(StartError::Unusable(it)), Obstacle::AttemptsUsed | Obstacle::MayNotMove) => {
                    call.record.refuse(&Refusal::unknown(it.code(), it.reason()), it.reason())
                }
                (failure, obstacle) => {
                    let (_, reason, after_min) = self.explain(obstacle, failure);
                    let refusal = Refusal::unknown(ResultCode::BackendBroken, reason);
                    let refusal = refusal.retry_after(self.retry_after(after_min));
                    call.record.refuse(&refusal, reason)
                }
            },
        }
    }

    /// Refuses a stream that no server has run.
    fn refuse(&self, obstacle: Obstacle, failure: Option<StartError>) -> Response<AnswerBody> {
        let call = self.call;
        if matches!(obstacle, Obstacle::NoRoom | Obstacle::NotAdmitted) {
            call.state.record_refusal(call);
        }
        let (code, reason, after_min) = self.explain(obstacle, failure);
        let paused = call.state.return_after(&call.service, call.caller_head.model.as_ref());
        let (code, reason, after) = match paused {
            Some(after) => (ResultCode::BackendRefused, PAUSED_REASON, after),
            None => (code, reason, self.return_after(obstacle, after_min)),
        };
        call.record.refuse(&Refusal::not_run(code, reason).retry_after(after), reason)
    }

    /// Returns the result code and the reason of an obstacle, and the minimum Retry-After.
    fn explain(
        &self,
        obstacle: Obstacle,
        failure: Option<StartError>,
    ) -> (ResultCode, &'static str, Duration) {
        let (code, reason) = match obstacle {
            Obstacle::NoServer | Obstacle::NoUsableServer => {
                (ResultCode::NoCompleteGroup, "no group serves the model")
            }
            Obstacle::NoRoom => {
                let reason = "no group has room";
                let Some(full) = self.full.take() else {
                    return (ResultCode::Overloaded, reason, RETRY_AFTER_MIN);
                };
                let groups = self.heads.borrow().len();
                heads::log_refused(self.call, &full.best, full.first_event_in, groups);
                return (ResultCode::Overloaded, reason, full.free_slot_in);
            }
            Obstacle::NotAdmitted => {
                (ResultCode::Overloaded, "other streams need the groups' capacity")
            }
            Obstacle::NoRetryLeft => (ResultCode::RetryBudget, "retry budget used up"),
            Obstacle::Unreachable => (ResultCode::NoCompleteGroup, "heads cannot be reached"),
            Obstacle::Quarantined => {
                let (code, reason) = self.call.quarantine_refusal();
                return (code, reason, QUARANTINED_RETRY_AFTER);
            }
            Obstacle::Refused | Obstacle::AttemptsUsed | Obstacle::MayNotMove => {
                let reason = failure.map_or("no server took the stream", |it| it.reason());
                (ResultCode::BackendRefused, reason)
            }
        };
        (code, reason, RETRY_AFTER_MIN)
    }

    /// Returns the Retry-After of a stream that is refused because of an obstacle.
    fn return_after(&self, obstacle: Obstacle, min: Duration) -> Duration {
        let is_shortage = matches!(obstacle, Obstacle::NotAdmitted | Obstacle::NoRoom);
        match self.return_after.get().filter(|_| is_shortage) {
            Some(it) => it,
            None => self.retry_after(min),
        }
    }

    fn retry_after(&self, min: Duration) -> Duration {
        let spread = RETRY_AFTER_SPREAD.mul_f64(fastrand::f64());
        (min.max(RETRY_AFTER_MIN) + spread).min(self.call.time_left() / 3)
    }
}
