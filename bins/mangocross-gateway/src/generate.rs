//! Chat completions, streamed or not, resumed at another group when one fails.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::LeasedGroup;
use mangocross_coordination::ResponseProgress;
use mangocross_http::ServerRequest;
use mangocross_policy::PrefixHash;
use mangocross_types::KindTarget;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::RunOutcome;
use peer_caller::ChatRequest;
use peer_caller::respond_refusal;

use crate::attempt::Attempt;
use crate::attempt::AttemptEnd;
use crate::delivery::Delivery;
use crate::group_selection;
use crate::handler::ValidatedRequest;
use crate::handler::body_refusal;
use crate::retry_after::jittered;
use crate::routing::prefix_hash;
use crate::state::GatewayState;
use crate::state::lock;

/// Maximum number of attempts for one request, including the first.
const ATTEMPTS_MAX: u32 = 4;
/// Longest deadline that a caller can request.
const DEADLINE_MAX: Duration = Duration::from_secs(3_600);
/// Minimum retry delay for the caller after a failed answer.
const FAILED_ANSWER_RETRY: Duration = Duration::from_secs(1);
/// Interval between searches for another group once an answer has begun.
const RESUME_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Serves a chat completion.
pub(crate) fn serve_chat(
    state: &GatewayState,
    mut request: ServerRequest,
    incoming: &ValidatedRequest,
) {
    let chat = match read_chat(state, &mut request, incoming) {
        Ok(chat) => chat,
        Err(refusal) => {
            incoming.record_end(state, refusal.outcome, Some(refusal.code));
            state.record_failure(&incoming.id, &refusal);
            return respond_refusal(request, &refusal, Some(&incoming.id));
        }
    };
    let now = state.clock.now();
    let keep_alive = Duration::from_millis(state.settings.keep_alive_ms);
    let delivery = Delivery::new(request, incoming, &chat, keep_alive, now);
    let deadline = incoming.headers.deadline;
    let deadline = deadline.unwrap_or(Duration::from_millis(incoming.kind.deadline_ms));
    let deadline = deadline.min(DEADLINE_MAX);
    let prefix = prefix_hash(&chat.prompt());
    let answer = Answer { state, incoming, chat: &chat, prefix, deadline: now + deadline };
    answer.run(delivery);
}

fn read_chat(
    state: &GatewayState,
    request: &mut ServerRequest,
    incoming: &ValidatedRequest,
) -> Result<ChatRequest, Refusal> {
    let malformed = |text: String| Refusal::not_run(ResultCode::MalformedRequest, text);
    let body = request.read_body().map_err(|it| body_refusal(&it))?;
    let chat: ChatRequest =
        serde_json::from_slice(&body).map_err(|it| malformed(format!("body: {it}")))?;
    let limit = state.settings.max_tokens_max;
    if chat.max_tokens == 0 || chat.max_tokens > limit {
        return Err(malformed(format!("max_tokens must be 1 to {limit}")));
    }
    match &incoming.kind.target {
        KindTarget::Model(model) if *model == chat.model => Ok(chat),
        KindTarget::Model(model) => {
            Err(malformed(format!("request kind {} is served by model {model}", incoming.kind.id)))
        }
        KindTarget::Service(service) => {
            let text = format!("request kind {} goes to service {service}", incoming.kind.id);
            Err(Refusal::not_run(ResultCode::UnknownRoute, text))
        }
    }
}

/// One answer, across all its attempts.
struct Answer<'a> {
    state: &'a GatewayState,
    incoming: &'a ValidatedRequest,
    chat: &'a ChatRequest,
    prefix: PrefixHash,
    deadline: Instant,
}

impl Answer<'_> {
    fn run(&self, mut delivery: Delivery<'_>) {
        let mut progress = ResponseProgress::new(self.incoming.kind.idempotent, ATTEMPTS_MAX);
        let mut refusal = no_group();
        while progress.may_attempt() && self.state.clock.now() < self.ends_at() {
            let Some(group) = self.choose(&progress, &mut delivery) else { break };
            if progress.attempts() > 0 {
                self.state.metrics.record_retry();
            }
            progress.begin_attempt(&group);
            let attempt = Attempt {
                state: self.state,
                incoming: self.incoming,
                chat: self.chat,
                prefix: self.prefix,
                group: &group,
                deadline: self.ends_at(),
            };
            match attempt.run(&mut progress, &mut delivery) {
                AttemptEnd::Complete(reason) => {
                    lock(&self.state.retry_budget).record_success();
                    self.incoming.record_end(self.state, RunOutcome::Ran, None);
                    delivery.finish(progress.next_token(), reason);
                    return self
                        .log(&format!("answer completed in {} attempts", progress.attempts()));
                }
                AttemptEnd::DeliveryFailed => {
                    self.incoming.record_end(self.state, RunOutcome::Unknown, None);
                    return self
                        .log("the caller has disconnected or the answer is too large to buffer");
                }
                AttemptEnd::Abandoned(failure) => {
                    self.log(&format!(
                        "attempt at group {} was abandoned: {}",
                        group.group, failure.message
                    ));
                    progress.record_failure(failure.outcome);
                    refusal = failure;
                }
                AttemptEnd::Failed(failure) => {
                    self.log(&format!("attempt at group {} failed: {failure:?}", group.group));
                    progress.record_failure(failure.outcome);
                    let may_retry = self.try_acquire_retry(&failure);
                    refusal = failure;
                    if !may_retry {
                        break;
                    }
                }
            }
        }
        if progress.attempts() == 0 && self.state.clock.now() >= self.ends_at() {
            let text = "the deadline had passed before an attempt; allow more time";
            refusal = Refusal::not_run(ResultCode::DeadlineExceeded, text);
        }
        refusal.outcome = progress.outcome();
        self.log(&format!("failed: {} {}", refusal.code, refusal.message));
        let refusal = refusal.retry_after(jittered(FAILED_ANSWER_RETRY));
        self.incoming.record_end(self.state, refusal.outcome, Some(refusal.code));
        self.state.record_failure(&self.incoming.id, &refusal);
        delivery.fail(&refusal);
    }

    /// Returns the deadline, or the time of the last answers of a planned stop.
    fn ends_at(&self) -> Instant {
        self.state.stop_time.limit(self.deadline)
    }

    /// Acquires a retry from the budget; a retry of an attempt that certainly did not run is free.
    fn try_acquire_retry(&self, failure: &Refusal) -> bool {
        failure.outcome == RunOutcome::NotRun || lock(&self.state.retry_budget).try_retry()
    }

    /// Chooses a group; an answer that has begun waits up to `resume_wait_ms` for one.
    ///
    /// A request without a first token fails immediately, so that its caller can retry.
    fn choose(
        &self,
        progress: &ResponseProgress,
        delivery: &mut Delivery<'_>,
    ) -> Option<LeasedGroup> {
        let wait = Duration::from_millis(self.state.settings.resume_wait_ms);
        let until = self.ends_at().min(self.state.clock.now() + wait);
        loop {
            let model = &self.chat.model;
            let (state, incoming) = (self.state, self.incoming);
            let group = group_selection::choose(state, incoming, model, self.prefix, progress);
            if group.is_some() {
                return group;
            }
            let now = self.state.clock.now();
            if !progress.has_begun() || now >= until || delivery.keep_alive(now).is_err() {
                return None;
            }
            thread::sleep(RESUME_CHECK_INTERVAL);
        }
    }

    fn log(&self, message: &str) {
        log::info!(
            request = self.incoming.id.as_str(),
            customer = self.incoming.headers.customer.as_str();
            "{message}"
        );
    }
}

fn no_group() -> Refusal {
    let text = "no complete group serves this request now; come back later";
    Refusal::not_run(ResultCode::NoCompleteGroup, text)
}
