//! Finds a group that starts a stream.

use std::time::Duration;

use http::Response;
use mangocross_serving::Admission;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::VmId;

use super::attempt::AttemptResult;
use super::attempt::PendingAttempt;
use super::attempt::StartError;
use super::attempt::StartedStream;
use super::attempt::forward_failure;
use super::attempt::start_attempt;
use super::heads;
use crate::answer_body::AnswerBody;
use crate::blame::AnswerStart;
use crate::blame::QUARANTINED_RETRY_AFTER;
use crate::dispatch::Call;
use crate::first_answer::FirstAnswer;
use crate::first_answer::first_answer;
use crate::plain;
use crate::plain::PAUSED_REASON;
use crate::plain::SENDS_MAX;
use crate::plain::TIME_OVER;

/// Maximum number of failed connection attempts before a stream is refused.
const CONNECT_FAILURES_MAX: u32 = 4;
/// Divisor of a stream's target latency that gives its maximum wait for a group with room.
const ADMISSION_WAIT_DIVISOR: u32 = 8;
/// Delay between a new stream's attempts to find a group with room.
const ADMISSION_RETRY_DELAY: Duration = Duration::from_millis(12);
/// Queue places beyond a group's slots for streams that exceed their target latency.
const LATE_QUEUE_SLOTS: u32 = 0;
/// Minimum Retry-After of refused streams.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(400);
/// Maximum random addition to the Retry-After of refused streams.
const RETRY_AFTER_SPREAD: Duration = Duration::from_millis(1400);

/// Why no attempt could be sent.
struct NotSent {
    code: ResultCode,
    reason: &'static str,
    retry_after_min: Duration,
}

impl NotSent {
    fn new(code: ResultCode, reason: &'static str) -> Self {
        Self { code, reason, retry_after_min: RETRY_AFTER_MIN }
    }
}

/// A started stream and the number of attempts that may have run, including its own.
pub(super) type Start = Result<(StartedStream, u32), Response<AnswerBody>>;

/// Server and pending result of an attempt that was sent.
type SentAttempt<'a> = (VmId, PendingAttempt<'a>);

/// The search for a group that starts a stream.
pub(super) struct StreamStart<'a> {
    call: &'a Call,
    tried: Vec<VmId>,
    sent: u32,
    /// Attempts that may have run; refused ones don't count.
    runs: u32,
    connect_failures: u32,
    /// An attempt whose server is silent.
    silent: Option<PendingAttempt<'a>>,
}

impl<'a> StreamStart<'a> {
    pub(super) fn new(call: &'a Call) -> Self {
        Self { call, tried: Vec::new(), sent: 0, runs: 0, connect_failures: 0, silent: None }
    }

    /// Returns a started stream, or the answer that tells why there is none.
    pub(super) async fn run(mut self) -> Start {
        loop {
            match self.send_beside_silent().await {
                FirstAnswer::Latest(Ok((vm, attempt))) => {
                    if let Some(start) = self.wait(vm, attempt).await {
                        return start;
                    }
                }
                FirstAnswer::Latest(Err(not_sent)) => return self.end_not_sent(not_sent).await,
                FirstAnswer::Earlier(started) => return Ok((*started, self.runs)),
            }
        }
    }

    /// Sends the request to the next head; returns the silent attempt's stream if it starts before.
    async fn send_beside_silent(
        &mut self,
    ) -> FirstAnswer<Result<SentAttempt<'a>, NotSent>, Box<StartedStream>> {
        let mut silent = self.silent.take();
        let mut failed = None;
        let sent = {
            let sending = self.send_next();
            tokio::pin!(sending);
            loop {
                match first_answer(&mut sending, &mut silent).await {
                    FirstAnswer::Latest(it) => break it,
                    FirstAnswer::Earlier((_, Ok(it))) => return FirstAnswer::Earlier(Box::new(it)),
                    FirstAnswer::Earlier((vm, Err(error))) => failed = Some((vm, error)),
                }
            }
        };
        self.silent = silent;
        if let Some((vm, error)) = failed {
            self.record_silent_failure(&vm, &error).await;
        }
        FirstAnswer::Latest(sent)
    }

    /// Sends the request to the best head that has not been tried.
    async fn send_next(&mut self) -> Result<SentAttempt<'a>, NotSent> {
        let call = self.call;
        if call.is_quarantined() {
            let (code, reason) = call.quarantine_refusal();
            return Err(NotSent { code, reason, retry_after_min: QUARANTINED_RETRY_AFTER });
        }
        let no_group = || NotSent::new(ResultCode::NoCompleteGroup, "no group serves the model");
        let time_over = || NotSent::new(ResultCode::Overloaded, TIME_OVER);
        loop {
            let heads = heads::find_heads(call, &self.tried).ok_or_else(no_group)?;
            let vm = match heads::choose_head(call, &heads, LATE_QUEUE_SLOTS) {
                Admission::Send(vm) => vm,
                // Slots often become free and prompts are processed within a few passes of an
                // engine, so retry for a short time.
                Admission::Refuse { .. }
                    if call.record.age() < call.route.target_latency / ADMISSION_WAIT_DIVISOR =>
                {
                    tokio::time::sleep(ADMISSION_RETRY_DELAY).await;
                    continue;
                }
                Admission::Refuse { free_slot_in, best, first_event_in } => {
                    heads::log_refused(call, &best, first_event_in, heads.len());
                    let not_sent = NotSent::new(ResultCode::Overloaded, "no group has room");
                    return Err(NotSent { retry_after_min: free_slot_in, ..not_sent });
                }
                Admission::NoGroup => return Err(no_group()),
            };
            if self.sent > 0 && !call.state.try_spend_retry(&call.service) {
                return Err(NotSent::new(ResultCode::RetryBudget, "retry budget used up"));
            }
            let may_reuse = call.route.retry_policy.is_retryable();
            let connecting = heads::connect(call, &vm, may_reuse, self.connect_failures);
            let connected = tokio::time::timeout_at(call.ends_at, connecting).await;
            if call.time_left().is_zero() {
                return Err(time_over());
            }
            let connection = connected.map_err(|_| time_over())?;
            self.tried.push(vm.clone());
            let Some(connection) = connection else {
                self.connect_failures += 1;
                if self.connect_failures > CONNECT_FAILURES_MAX {
                    let reason = "heads cannot be reached";
                    return Err(NotSent::new(ResultCode::NoCompleteGroup, reason));
                }
                continue;
            };
            self.sent += 1;
            call.record.add_sent_to(&vm);
            heads::log_sent(call, &vm, &heads);
            let last_id = call.caller_head.last_event_id;
            let sent_to = vm.clone();
            let attempt = async move {
                let started = start_attempt(call, &vm, connection, last_id, call.priority()).await;
                (vm, started)
            };
            return Ok((sent_to, Box::pin(attempt)));
        }
    }

    /// Waits for the latest attempt and a silent one; returns `None` if another is to be sent.
    async fn wait(&mut self, vm: VmId, mut latest: PendingAttempt<'a>) -> Option<Start> {
        let call = self.call;
        let is_retryable = call.route.retry_policy.is_retryable();
        let may_run_after = |runs: u32| is_retryable && runs < call.route.attempts_max;
        loop {
            let may_send_beside =
                may_run_after(self.runs + 1) && self.silent.is_none() && call.may_move();
            let first = tokio::select! {
                it = first_answer(&mut latest, &mut self.silent) => it,
                () = call.state.wait_until_suspect(&vm, call.record.received_at), if may_send_beside => {
                    call.record.log_step("server silent", &vm, "before the first event");
                    self.runs += 1;
                    self.silent = Some(latest);
                    return None;
                }
            };
            let (vm, error) = match first {
                FirstAnswer::Latest((_, Ok(it))) | FirstAnswer::Earlier((_, Ok(it))) => {
                    return Some(Ok((it, self.runs + 1)));
                }
                FirstAnswer::Earlier((vm, Err(error))) => {
                    self.record_silent_failure(&vm, &error).await;
                    continue;
                }
                FirstAnswer::Latest((vm, Err(error))) => (vm, error),
            };
            match &error {
                StartError::NotRun(reason) => {
                    call.record.log_step("not run", &vm, reason);
                    if self.sent < SENDS_MAX {
                        return None;
                    }
                    let not_sent = NotSent::new(ResultCode::BackendRefused, reason);
                    return Some(self.end_not_sent(not_sent).await);
                }
                StartError::MayHaveRun(reason, _) => {
                    call.record.log_step("attempt failed", &vm, &call.break_detail(reason, 0));
                    self.runs += 1;
                    call.record_break(&vm, AnswerStart::default()).await;
                    if may_run_after(self.runs) && call.may_move() {
                        return None;
                    }
                }
                StartError::Failure(_) => {
                    call.record.log_step("attempt failed", &vm, error.reason());
                    self.runs += 1;
                    if may_run_after(self.runs) {
                        return None;
                    }
                }
                StartError::TimeOver => {}
            }
            return Some(self.end_failed(error).await);
        }
    }

    /// Records the failure of the silent attempt, which has been counted as one that may have run.
    async fn record_silent_failure(&mut self, vm: &VmId, error: &StartError) {
        let call = self.call;
        match error {
            StartError::NotRun(reason) => {
                self.runs = self.runs.saturating_sub(1);
                call.record.log_step("not run", vm, reason);
            }
            StartError::MayHaveRun(reason, _) => {
                call.record.log_step("attempt failed", vm, &call.break_detail(reason, 0));
                call.record_break(vm, AnswerStart::default()).await;
            }
            StartError::Failure(_) | StartError::TimeOver => {
                call.record.log_step("attempt failed", vm, error.reason());
            }
        }
    }

    /// Waits for the silent attempt; returns its stream, or `None` if there is none.
    async fn wait_for_silent(&mut self) -> Option<StartedStream> {
        let (vm, started): AttemptResult = self.silent.take()?.await;
        if let Err(error) = &started {
            self.record_silent_failure(&vm, error).await;
        }
        started.ok()
    }

    /// Ends the search if no other attempt can be sent.
    async fn end_not_sent(&mut self, not_sent: NotSent) -> Start {
        if let Some(it) = self.wait_for_silent().await {
            return Ok((it, self.runs));
        }
        let NotSent { code, reason, retry_after_min } = not_sent;
        let call = self.call;
        if call.time_left().is_zero() {
            return Err(plain::timeout_response(call, self.runs > 0));
        }
        let spread = RETRY_AFTER_SPREAD.mul_f64(fastrand::f64());
        let after = (retry_after_min.max(RETRY_AFTER_MIN) + spread).min(call.time_left() / 3);
        if self.runs > 0 {
            let refusal = Refusal::unknown(ResultCode::BackendBroken, reason).retry_after(after);
            return Err(call.record.refuse(&refusal, reason));
        }
        let paused = call.state.return_after(&call.service, call.caller_head.model.as_ref());
        let (code, reason, after) = match paused {
            Some(after) => (ResultCode::BackendRefused, PAUSED_REASON, after),
            None => (code, reason, after),
        };
        Err(call.record.refuse(&Refusal::not_run(code, reason).retry_after(after), reason))
    }

    /// Ends the search after the last attempt failed.
    async fn end_failed(&mut self, error: StartError) -> Start {
        if let Some(it) = self.wait_for_silent().await {
            return Ok((it, self.runs));
        }
        let call = self.call;
        Err(match error {
            StartError::NotRun(reason) => {
                call.record.refuse(&Refusal::not_run(ResultCode::BackendRefused, reason), reason)
            }
            StartError::MayHaveRun(reason, code) => {
                call.record.refuse(&Refusal::unknown(code, reason), reason)
            }
            StartError::Failure(started) => forward_failure(call, *started).await,
            StartError::TimeOver => plain::timeout_response(call, true),
        })
    }
}
