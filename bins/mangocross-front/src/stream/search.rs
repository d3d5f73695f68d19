//! Carries out the search for a server that starts or continues a stream.

use std::future::Future;
use std::future::pending;
use std::pin::Pin;
use std::time::Duration;

use mangocross_serving::AttemptFailure;
use mangocross_serving::AttemptId;
use mangocross_serving::Obstacle;
use mangocross_serving::SearchEnd;
use mangocross_serving::SearchStep;
use mangocross_serving::ServerSearch;
use mangocross_types::ResultCode;
use mangocross_types::VmId;

use super::attempt::StartError;
use super::attempt::StartedStream;
use super::attempt::start_attempt;
use super::goal::Goal;
use super::heads;
use super::source::Received;
use super::source::Source;
use crate::blame::AnswerStart;
use crate::dispatch::Call;
use crate::first_answer::first_of;
use crate::pool::Connection;

/// A future that is kept while other things are waited for.
type Boxed<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// What an attempt has come to.
enum Progress {
    /// The head of its answer.
    Head(Box<StartedStream>),
    /// The first new event, or the end of the answer.
    Begun(Box<(Source, Received)>),
    /// Its failure.
    Failed(StartError),
}

/// An answer that has begun, with what its server sent first unless only the head has come.
pub(super) type Answer = (Source, Option<Received>);

/// What came first while a connection was opened.
enum Connected {
    /// The connection.
    To(Connection),
    /// The answer of an earlier attempt.
    Answered(Box<Answer>),
    /// The connection failed.
    Failed,
    /// The deadline has passed.
    TimeOver,
}

/// The search for a server, with the attempts in progress.
pub(super) struct StreamSearch<'a> {
    call: &'a Call,
    goal: Goal<'a>,
    search: ServerSearch,
    attempts: Vec<Boxed<'a, (AttemptId, VmId, Progress)>>,
    /// The attempt that is not silent, and what ends with its silence.
    latest: Option<(AttemptId, VmId, Boxed<'a, ()>)>,
    last_failure: Option<StartError>,
}

impl<'a> StreamSearch<'a> {
    pub(super) fn new(call: &'a Call, goal: Goal<'a>, search: ServerSearch) -> Self {
        Self { call, goal, search, attempts: Vec::new(), latest: None, last_failure: None }
    }

    /// Returns the number of attempts that may have run.
    pub(super) fn runs(&self) -> u32 {
        self.search.runs()
    }

    /// Returns why the last attempt failed.
    pub(super) fn take_failure(&mut self) -> Option<StartError> {
        self.last_failure.take()
    }

    /// Searches until a server has begun its answer.
    ///
    /// # Errors
    ///
    /// Returns how the search ended.
    pub(super) async fn run(&mut self) -> Result<Answer, SearchEnd> {
        loop {
            // The time now is read after the window, so that a deadline that has passed is not later.
            let window = self.goal.window();
            let begun = match self.search.next(self.call.state.now(), &window) {
                SearchStep::Send => self.send().await,
                SearchStep::Wait(until) => self.wait(until.since(self.call.state.now())).await,
                SearchStep::End(end) => return Err(end),
            };
            if let Some(it) = begun {
                return Ok(it);
            }
        }
    }

    /// Waits for the attempts in progress, and for the silence of the latest one.
    async fn wait(&mut self, time: Duration) -> Option<Answer> {
        let asks_beside = self.search.may_ask_beside(&self.goal.window());
        let silence = async {
            match &mut self.latest {
                Some((_, _, silence)) => silence.await,
                None => pending().await,
            }
        };
        tokio::select! {
            biased;
            (id, vm, progress) = first_of(&mut self.attempts) => self.apply(id, vm, progress),
            () = silence, if asks_beside => {
                if let Some((id, vm, _)) = self.latest.take() {
                    self.goal.record_silence(&vm);
                    self.search.silent(id);
                }
                None
            }
            () = tokio::time::sleep(time) => None,
            () = self.call.state.wait_until_last_answers(), if !self.call.time_left().is_zero() => None,
        }
    }

    /// Sends the stream to the next server; returns the answer of an earlier attempt if it comes before.
    async fn send(&mut self) -> Option<Answer> {
        let (call, goal) = (self.call, self.goal);
        let chosen_at = call.state.now();
        let is_paid = self.search.needs_retry();
        let chosen = match is_paid && !call.state.may_retry(&call.service) {
            true => Err(Obstacle::NoRetryLeft),
            false => goal.choose(&self.search, chosen_at),
        };
        let vm = match chosen {
            Ok(it) => it,
            Err(obstacle) => {
                self.search.cannot_send(obstacle, chosen_at);
                return None;
            }
        };
        call.state.spend_limit(&vm);
        let connection = match self.connect(&vm).await {
            Connected::To(it) => it,
            Connected::Answered(it) => return Some(*it),
            Connected::Failed => {
                self.search.connect_failed(vm);
                return None;
            }
            Connected::TimeOver => return None,
        };
        let now = call.state.now();
        if !self.search.may_send(now, &goal.window()) {
            return None;
        }
        // The zone may have been evacuated while the connection was opened.
        if call.state.is_evacuated(&vm) {
            self.search.connect_failed(vm);
            return None;
        }
        if !call.state.try_send_to_cold(&vm, chosen_at) {
            self.search.cannot_send(Obstacle::NoRoom, now);
            return None;
        }
        // Another request may have spent the last retry while this one connected.
        if is_paid && !call.state.try_spend_retry(&call.service) {
            self.search.cannot_send(Obstacle::NoRetryLeft, now);
            return None;
        }
        let id = self.search.sent(vm.clone(), now);
        call.record.add_sent_to(&vm);
        goal.record_sent(&vm, self.search.runs());
        let asked = vm.clone();
        let silence = Box::pin(async move { goal.wait_until_silent(&asked).await });
        self.latest = Some((id, vm.clone(), silence));
        let (last_id, priority) = goal.resumption();
        self.attempts.push(Box::pin(async move {
            let progress = match start_attempt(call, &vm, connection, last_id, priority).await {
                Ok(it) if goal.accepts(&it) => Progress::Head(Box::new(it)),
                Ok(it) => {
                    let error = StartError::Failure(Box::new(it));
                    record_failure(call, &vm, error, AnswerStart::default()).await
                }
                Err(error) => record_failure(call, &vm, error, AnswerStart::default()).await,
            };
            (id, vm, progress)
        }));
        None
    }

    /// Connects to a server, beside the attempts in progress.
    async fn connect(&mut self, vm: &VmId) -> Connected {
        let call = self.call;
        let may_reuse = call.route.retry_policy.is_retryable() && !self.search.has_refused(vm);
        let connecting = heads::connect(call, vm, may_reuse, self.search.connect_failures());
        let connecting = tokio::time::timeout_at(call.ends_at, connecting);
        tokio::pin!(connecting);
        loop {
            tokio::select! {
                biased;
                (id, vm, progress) = first_of(&mut self.attempts) => {
                    if let Some(it) = self.apply(id, vm, progress) {
                        return Connected::Answered(Box::new(it));
                    }
                }
                it = &mut connecting => return match it {
                    // A connection that fails after the deadline says nothing of the server.
                    _ if call.time_left().is_zero() => Connected::TimeOver,
                    Ok(Some(it)) => Connected::To(it),
                    Ok(None) => Connected::Failed,
                    Err(_) => Connected::TimeOver,
                },
            }
        }
    }

    /// Applies what an attempt has come to; returns its answer if it has begun.
    fn apply(&mut self, id: AttemptId, vm: VmId, progress: Progress) -> Option<Answer> {
        let (call, goal) = (self.call, self.goal);
        let is_latest = self.latest.as_ref().is_some_and(|it| it.0 == id);
        let error = match progress {
            Progress::Begun(it) => return Some((it.0, Some(it.1))),
            Progress::Head(started) => {
                goal.record_head();
                let last_id = goal.resumption().0;
                let source = Source::new(*started, last_id);
                if self.search.takes_head() {
                    return Some((source, None));
                }
                if is_latest {
                    let asked = vm.clone();
                    let silence = Box::pin(async move { goal.wait_until_stalled(&asked).await });
                    self.latest = Some((id, vm.clone(), silence));
                }
                self.attempts.push(Box::pin(async move {
                    let progress = match first_progress(source).await {
                        Ok(it) => Progress::Begun(Box::new(it)),
                        Err((error, start)) => record_failure(call, &vm, error, start).await,
                    };
                    (id, vm, progress)
                }));
                return None;
            }
            Progress::Failed(it) => it,
        };
        if is_latest {
            self.latest = None;
        }
        match &error {
            StartError::NotRun(_) => self.search.refused(id, call.state.now()),
            StartError::MayHaveRun(..) | StartError::Unusable(_) | StartError::TimeOver => {
                self.search.failed(id, AttemptFailure::Broke);
            }
            StartError::Failure(_) => self.search.failed(id, AttemptFailure::Answered),
        }
        goal.record_runs(self.search.runs());
        // A refusal says nothing of an attempt that has run.
        if !matches!(error, StartError::NotRun(_)) || self.last_failure.is_none() {
            self.last_failure = Some(error);
        }
        None
    }
}

/// Records why an attempt failed.
async fn record_failure(call: &Call, vm: &VmId, error: StartError, start: AnswerStart) -> Progress {
    match &error {
        StartError::NotRun(reason) => call.record.log_step("not run", vm, reason),
        StartError::MayHaveRun(reason, _) => {
            let detail = call.break_detail(reason, start.events);
            call.record.log_step("attempt failed", vm, &detail);
            call.record_break(vm, start).await;
        }
        // A server that answers has not crashed.
        StartError::Failure(_) | StartError::Unusable(_) | StartError::TimeOver => {
            call.record.log_step("attempt failed", vm, error.reason());
        }
    }
    Progress::Failed(error)
}

/// Reads until the first event that the caller has not received, or the end of the answer.
///
/// # Errors
///
/// Returns why the answer broke, and how far it had come.
async fn first_progress(
    mut source: Source,
) -> Result<(Source, Received), (StartError, AnswerStart)> {
    let resumed_after = source.last_id();
    loop {
        match source.receive().await {
            Received::Events(it) if !it.has_content && source.last_id() == resumed_after => {}
            Received::Broken(reason) => {
                let error = StartError::MayHaveRun(reason, ResultCode::BackendBroken);
                return Err((error, source.start));
            }
            received @ (Received::Events(_) | Received::End) => return Ok((source, received)),
        }
    }
}
