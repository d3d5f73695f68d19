//! Finds a server that continues a stream whose server failed or is silent.

use std::time::Duration;

use mangocross_serving::Admission;
use mangocross_types::VmId;
use tokio::time::Instant;

use super::attempt::StartError;
use super::attempt::start_attempt;
use super::forwarder::Forwarder;
use super::heads;
use super::source::Received;
use super::source::Source;
use crate::blame::AnswerStart;
use crate::plain::SENDS_MAX;

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
/// Priority of resumed streams at engines.
const RESUMED_PRIORITY: u8 = 0;

impl Forwarder {
    /// Resumes the stream after the last complete event at another server, and waits until that
    /// server has sent something new.
    ///
    /// # Errors
    ///
    /// Returns what prevented the resumption.
    pub(super) async fn find_successor(
        &self,
        failed: &VmId,
    ) -> Result<(Source, Received), &'static str> {
        let began_at = Instant::now();
        let mut tried = vec![failed.clone()];
        let mut sent = 0;
        while self.may_search()? {
            let queue_slots = match began_at.elapsed() < RESUME_QUEUE_TIME {
                true => RESUME_QUEUE_SLOTS,
                false => LAST_RESORT_QUEUE_SLOTS,
            };
            let heads = heads::find_heads(&self.call, &tried).unwrap_or_default();
            let Admission::Send(vm) = heads::choose_head(&self.call, &heads, queue_slots) else {
                tokio::time::sleep(RESUME_RETRY_DELAY).await;
                continue;
            };
            let failures = tried.len() as u32 - 1;
            tried.push(vm.clone());
            let Some(connection) = heads::connect(&self.call, &vm, true, failures).await else {
                continue;
            };
            if !self.call.state.try_spend_retry(&self.call.service) {
                return Err("retry budget used up");
            }
            sent += 1;
            self.call.record.add_sent_to(&vm);
            self.call.state.metrics.count_resume();
            self.call.record.log_step("stream resumed", &vm, "after the last whole event");
            let last_id = self.last_id.get();
            // Counted before the answer, since the search may be dropped while it waits for it.
            self.runs.set(self.runs.get() + 1);
            let started =
                start_attempt(&self.call, &vm, connection, last_id, RESUMED_PRIORITY).await;
            let reason = match started {
                Ok(it) => match first_progress(Source::new(it, last_id)).await {
                    Ok(it) => return Ok(it),
                    Err((reason, start)) => {
                        self.call.record_break(&vm, start).await;
                        reason
                    }
                },
                Err(StartError::NotRun(reason)) => {
                    self.runs.set(self.runs.get() - 1);
                    self.call.record.log_step("not run", &vm, reason);
                    if sent >= SENDS_MAX {
                        return Err(reason);
                    }
                    continue;
                }
                Err(StartError::MayHaveRun(reason, _)) => {
                    self.call.record_break(&vm, AnswerStart::default()).await;
                    reason
                }
                Err(it @ (StartError::Failure(_) | StartError::TimeOver)) => it.reason(),
            };
            self.call.record.log_step("attempt failed", &vm, reason);
        }
        Err("no group had room in time")
    }

    /// Returns whether there is time to search for a server that continues the stream.
    ///
    /// # Errors
    ///
    /// Fails if none may continue it.
    fn may_search(&self) -> Result<bool, &'static str> {
        let route = &self.call.route;
        if !route.retry_policy.is_retryable() {
            return Err("the stream may run only once");
        }
        if self.runs.get() >= route.attempts_max {
            return Err("all attempts are used up");
        }
        if !self.call.may_move() {
            return Err("a part of the prompt may crash servers");
        }
        let gap_max = route.event_gap_max.mul_f64(RESUME_GAP_SHARE);
        Ok(self.last_event_at.get().elapsed() < gap_max && !self.call.time_left().is_zero())
    }

    /// Returns whether another server may still be asked to continue the stream.
    pub(super) fn may_be_continued(&self) -> bool {
        self.may_search().unwrap_or(false)
    }
}

/// Reads until the first event that the caller has not received, or the end of the answer.
///
/// # Errors
///
/// Returns why the answer broke, and how far it had come.
async fn first_progress(
    mut source: Source,
) -> Result<(Source, Received), (&'static str, AnswerStart)> {
    let resumed_after = source.last_id();
    loop {
        match source.receive().await {
            Received::Events(it) if !it.has_content && source.last_id() == resumed_after => {}
            Received::Broken(reason) => return Err((reason, source.start)),
            received @ (Received::Events(_) | Received::End) => return Ok((source, received)),
        }
    }
}
