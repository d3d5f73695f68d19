//! Finds a server that continues a stream whose server failed or is silent.

use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
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
use crate::first_answer::first_of;
use crate::plain::SENDS_MAX;
use crate::pool::Connection;
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
/// What prevents a resumption while no group has room.
const NO_ROOM: &str = "no group had room in time";
/// Priority of resumed streams at engines.
const RESUMED_PRIORITY: u8 = 0;

/// An attempt at a server that is to continue a stream: its answer from the first new event on, or
/// `None` if it failed. Dropping it closes its connection.
type PendingSuccessor<'a> = Pin<Box<dyn Future<Output = Option<(Source, Received)>> + 'a>>;

/// An attempt that was sent.
struct SentAttempt<'a> {
    vm: VmId,
    result: PendingSuccessor<'a>,
}

/// What came first while the stream was to be sent to another server.
enum Sent<'a> {
    /// It was sent.
    Attempt(SentAttempt<'a>),
    /// A silent server continued it.
    Resumed(Box<(Source, Received)>),
    /// It cannot be sent, for this reason.
    Nothing(&'static str),
}

/// State of a search for a server that continues a stream.
struct Search {
    began_at: Instant,
    /// Servers that are not asked again: they may have run the stream, or could not be reached.
    tried: Rc<RefCell<Vec<VmId>>>,
    connect_failures: u32,
    sent: u32,
    last_sent_at: Instant,
}

impl Search {
    fn new(failed: &VmId) -> Self {
        let now = Instant::now();
        let tried = Rc::new(RefCell::new(vec![failed.clone()]));
        Self { began_at: now, tried, connect_failures: 0, sent: 0, last_sent_at: now }
    }

    /// Returns whether the stream is to be held back, since many servers have refused it.
    fn is_paused(&self, attempts_max: u32) -> bool {
        self.sent >= SENDS_MAX.max(attempts_max) && self.last_sent_at.elapsed() < NOT_RUN_PAUSE
    }
}

impl Forwarder {
    /// Resumes the stream after the last complete event at another server, and waits until that
    /// server has sent something new.
    ///
    /// A server that stays silent is not given up while others are asked.
    ///
    /// # Errors
    ///
    /// Returns what prevented the resumption.
    pub(super) async fn find_successor(
        &self,
        failed: &VmId,
    ) -> Result<(Source, Received), &'static str> {
        let mut search = Search::new(failed);
        let mut silent = Vec::new();
        loop {
            let mut latest = match self.send_beside(&mut search, &mut silent).await {
                Sent::Attempt(it) => it,
                Sent::Resumed(it) => return Ok(*it),
                Sent::Nothing(reason) if silent.is_empty() => return Err(reason),
                Sent::Nothing(_) => {
                    if let Some(it) = first_of(&mut silent).await {
                        return Ok(it);
                    }
                    continue;
                }
            };
            let vm = latest.vm.clone();
            let is_silent = self.wait_until_silent(&vm);
            tokio::pin!(is_silent);
            let resumed = loop {
                tokio::select! {
                    biased;
                    it = first_of(&mut silent) => if it.is_some() {
                        break it;
                    },
                    it = &mut latest.result => break it,
                    () = &mut is_silent => {
                        self.call.record.log_step("successor silent", &vm, "");
                        silent.push(latest.result);
                        break None;
                    }
                }
            };
            if let Some(it) = resumed {
                return Ok(it);
            }
        }
    }

    /// Sends the stream to the next server, beside attempts whose servers are silent.
    async fn send_beside<'a>(
        &'a self,
        search: &mut Search,
        silent: &mut Vec<PendingSuccessor<'a>>,
    ) -> Sent<'a> {
        let sending = self.send_next(search);
        tokio::pin!(sending);
        loop {
            tokio::select! {
                biased;
                it = first_of(silent) => if let Some(it) = it {
                    return Sent::Resumed(Box::new(it));
                },
                it = &mut sending => return match it {
                    Ok(it) => Sent::Attempt(it),
                    Err(reason) => Sent::Nothing(reason),
                },
            }
        }
    }

    /// Sends the stream to the best server that has not been tried.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    async fn send_next(&self, search: &mut Search) -> Result<SentAttempt<'_>, &'static str> {
        let mut reason = NO_ROOM;
        while self.may_search()? {
            let queue_slots = match search.began_at.elapsed() < RESUME_QUEUE_TIME {
                true => RESUME_QUEUE_SLOTS,
                false => LAST_RESORT_QUEUE_SLOTS,
            };
            // Groups that are full or refuse the stream, and a budget that is used up, may change.
            let chosen = if search.is_paused(self.call.route.attempts_max) {
                reason = "too many servers refused the stream";
                None
            } else if !self.call.state.may_retry(&self.call.service) {
                reason = "retry budget used up";
                None
            } else {
                reason = NO_ROOM;
                let heads = heads::find_heads(&self.call, &search.tried.borrow());
                match heads::choose_head(&self.call, &heads.unwrap_or_default(), queue_slots) {
                    Admission::Send(vm) => Some(vm),
                    Admission::Refuse { .. } | Admission::NoGroup => None,
                }
            };
            let Some(vm) = chosen else {
                tokio::time::sleep(RESUME_RETRY_DELAY).await;
                continue;
            };
            let failures = search.connect_failures;
            let Some(connection) = heads::connect(&self.call, &vm, true, failures).await else {
                search.connect_failures += 1;
                search.tried.borrow_mut().push(vm);
                continue;
            };
            // Another request may have spent the last retry while this one connected.
            if !self.call.state.try_spend_retry(&self.call.service) {
                continue;
            }
            search.tried.borrow_mut().push(vm.clone());
            search.sent += 1;
            search.last_sent_at = Instant::now();
            self.call.record.add_sent_to(&vm);
            self.call.state.metrics.count_resume();
            self.call.record.log_step("stream resumed", &vm, "after the last whole event");
            // Counted before the answer, since the search may be dropped while it waits for it.
            self.runs.set(self.runs.get() + 1);
            let tried = Rc::clone(&search.tried);
            let result = Box::pin(self.resume_at(vm.clone(), connection, tried));
            return Ok(SentAttempt { vm, result });
        }
        Err(reason)
    }

    /// Resumes the stream on a connection to a server; returns `None` if the attempt failed. A server
    /// that refuses the stream is taken out of `tried`.
    async fn resume_at(
        &self,
        vm: VmId,
        connection: Connection,
        tried: Rc<RefCell<Vec<VmId>>>,
    ) -> Option<(Source, Received)> {
        let last_id = self.last_id.get();
        let started = start_attempt(&self.call, &vm, connection, last_id, RESUMED_PRIORITY).await;
        let reason = match started {
            Ok(it) => match first_progress(Source::new(it, last_id)).await {
                Ok(it) => return Some(it),
                Err((reason, start)) => {
                    self.call.record_break(&vm, start).await;
                    reason
                }
            },
            Err(StartError::NotRun(reason)) => {
                self.runs.set(self.runs.get() - 1);
                tried.borrow_mut().retain(|it| *it != vm);
                self.call.record.log_step("not run", &vm, reason);
                return None;
            }
            Err(StartError::MayHaveRun(reason, _)) => {
                self.call.record_break(&vm, AnswerStart::default()).await;
                reason
            }
            Err(it @ (StartError::Failure(_) | StartError::TimeOver)) => it.reason(),
        };
        self.call.record.log_step("attempt failed", &vm, reason);
        None
    }

    /// Waits until a server that was asked to continue the stream has been silent for too long.
    async fn wait_until_silent(&self, vm: &VmId) {
        let silence_max = self.call.route.event_gap_max.mul_f64(SUCCESSOR_SILENCE_SHARE);
        let asked_at = self.call.state.now();
        tokio::select! {
            () = self.call.state.wait_until_suspect(vm, asked_at) => {}
            () = wait_for_silence(Instant::now() + silence_max) => {}
        }
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
            return Err("the request may crash servers");
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
