//! Finds a server that continues a stream whose server failed or is silent.

use std::time::Duration;

use http::HeaderMap;
use http::header;
use mangocross_serving::Admission;
use mangocross_serving::Moment;
use mangocross_serving::Obstacle;
use mangocross_serving::SearchEnd;
use mangocross_serving::SearchLimits;
use mangocross_serving::SearchPolicy;
use mangocross_serving::SearchWindow;
use mangocross_serving::ServerSearch;
use mangocross_types::VmId;
use tokio::time::Instant;

use super::attempt::StartedStream;
use super::forwarder::Forwarder;
use super::goal::Goal;
use super::heads;
use super::search::Answer;
use super::search::StreamSearch;
use crate::plain::REFUSALS_MAX;
use crate::plain::TIME_OVER;
use crate::silence::wait_for_silence;
use crate::state::NOT_RUN_PAUSE;

/// Time after which a resumed stream may use LAST_RESORT_QUEUE_SLOTS instead of RESUME_QUEUE_SLOTS.
const RESUME_QUEUE_TIME: Duration = Duration::from_millis(500);
/// Delay between a resumed stream's attempts to find a group with room.
const RESUME_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time since the last event after which a stream is no longer resumed, as a share of the time
/// after which its caller abandons it.
const RESUME_GAP_SHARE: f64 = 0.95;
/// Queue places beyond a group's slots for resumed streams.
const RESUME_QUEUE_SLOTS: u32 = 4;
/// Queue places beyond a group's slots for resumed streams that found no room within
/// RESUME_QUEUE_TIME.
const LAST_RESORT_QUEUE_SLOTS: u32 = 16;
/// Time for which a server that is to continue a stream may send nothing new before another one is
/// asked, as a share of the time after which the caller abandons the stream.
const SUCCESSOR_SILENCE_SHARE: f64 = 0.35;
/// Media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";
/// Priority of resumed streams at engines.
pub(super) const RESUMED_PRIORITY: u8 = 0;

/// The continuation of a stream.
pub(super) struct Continuation<'a> {
    forwarder: &'a Forwarder,
    began_at: Instant,
}

impl Forwarder {
    /// Resumes the stream after the last complete event at another server, and waits until that
    /// server has sent something new.
    ///
    /// # Errors
    ///
    /// Returns what prevented the resumption.
    pub(super) async fn find_successor(&self, failed: &VmId) -> Result<Answer, &'static str> {
        let goal = Continuation { forwarder: self, began_at: Instant::now() };
        let search = ServerSearch::continuing(goal.limits(), failed.clone(), self.runs.get());
        let ended = StreamSearch::new(&self.call, Goal::Continuation(&goal), search).run().await;
        ended.map_err(|end| match end {
            SearchEnd::TimeOver { .. } => TIME_OVER,
            SearchEnd::NotRun(it) | SearchEnd::Failed(it) => self.explain(it),
        })
    }

    /// Returns what prevents a resumption.
    fn explain(&self, obstacle: Obstacle) -> &'static str {
        if !self.call.route.retry_policy.is_retryable() {
            return "the stream may run only once";
        }
        match obstacle {
            Obstacle::NoServer
            | Obstacle::NoUsableServer
            | Obstacle::NoRoom
            | Obstacle::NotAdmitted
            | Obstacle::Unreachable => "no group had room in time",
            Obstacle::NoRetryLeft => "retry budget used up",
            Obstacle::Refused => "too many servers refused the stream",
            Obstacle::AttemptsUsed => "all attempts are used up",
            Obstacle::MayNotMove | Obstacle::Quarantined => "the request may crash servers",
        }
    }

    /// Returns the time since the last event for which the stream may be sent to another server.
    fn resume_time(&self) -> Duration {
        self.call.route.event_gap_max.mul_f64(RESUME_GAP_SHARE)
    }

    /// Returns whether another server may still be asked to continue the stream.
    pub(super) fn may_be_continued(&self) -> bool {
        let route = &self.call.route;
        route.retry_policy.is_retryable()
            && self.runs.get() < route.attempts_max
            && self.call.may_move()
            && self.last_event_at.get().elapsed() < self.resume_time()
            && !self.call.time_left().is_zero()
    }
}

/// Returns the queue places that a stream may use which has been looking for another server since a
/// moment.
pub(super) fn resume_queue_slots(since: Instant) -> u32 {
    match since.elapsed() < RESUME_QUEUE_TIME {
        true => RESUME_QUEUE_SLOTS,
        false => LAST_RESORT_QUEUE_SLOTS,
    }
}

/// Returns the type of an answer without its parameters.
pub(super) fn media_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
    Some(value.split(';').next()?.trim().to_ascii_lowercase())
}

impl Continuation<'_> {
    fn limits(&self) -> SearchLimits {
        let route = &self.forwarder.call.route;
        SearchLimits {
            policy: SearchPolicy::StreamContinuation,
            attempts_max: if route.retry_policy.is_retryable() { route.attempts_max } else { 0 },
            refusals_max: REFUSALS_MAX,
            connect_failures_max: u32::MAX,
            refusal_pause: NOT_RUN_PAUSE,
            admission_until: Moment::default(),
            admission_delay: RESUME_RETRY_DELAY,
            ask_again_delay: RESUME_RETRY_DELAY,
        }
    }

    pub(super) fn window(&self) -> SearchWindow {
        let (call, now) = (&self.forwarder.call, self.forwarder.call.state.now());
        let since_event = self.forwarder.last_event_at.get().elapsed();
        SearchWindow {
            deadline: now + call.time_left(),
            send_until: now + self.forwarder.resume_time().saturating_sub(since_event),
            may_move: call.may_move(),
        }
    }

    pub(super) fn choose(&self, search: &ServerSearch, now: Moment) -> Result<VmId, Obstacle> {
        let call = &self.forwarder.call;
        let queue_slots = resume_queue_slots(self.began_at);
        let heads = heads::find_heads(call, &search.excluded(now)).unwrap_or_default();
        match heads::choose_head(call, &heads, queue_slots) {
            Admission::Send(vm) => Ok(vm),
            Admission::Refuse { .. } | Admission::NoGroup => Err(Obstacle::NoRoom),
        }
    }

    pub(super) fn accepts(&self, started: &StartedStream) -> bool {
        let media_type = media_type(started.response.headers());
        match &self.forwarder.media_type {
            Some(it) => media_type.as_ref() == Some(it),
            None => media_type.is_none_or(|it| it == EVENT_STREAM),
        }
    }

    pub(super) fn resumption(&self) -> (Option<u64>, u8) {
        (self.forwarder.last_id.get(), RESUMED_PRIORITY)
    }

    pub(super) fn record_sent(&self, vm: &VmId, runs: u32) {
        let call = &self.forwarder.call;
        call.state.metrics.count_resume();
        call.record.log_step("stream resumed", vm, "after the last whole event");
        // Counted before the answer, since the search may be dropped while it waits for it.
        self.record_runs(runs);
    }

    pub(super) fn record_runs(&self, runs: u32) {
        self.forwarder.runs.set(runs);
    }

    pub(super) fn record_silence(&self, vm: &VmId) {
        self.forwarder.call.record.log_step("successor silent", vm, "");
    }

    pub(super) async fn wait_until_silent(&self, vm: &VmId) {
        let call = &self.forwarder.call;
        let silence_max = call.route.event_gap_max.mul_f64(SUCCESSOR_SILENCE_SHARE);
        let asked_at = call.state.now();
        tokio::select! {
            () = call.state.wait_until_suspect(vm, asked_at) => {}
            () = wait_for_silence(Instant::now() + silence_max) => {}
        }
    }
}
