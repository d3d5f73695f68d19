//! Chat completions: streamed or whole, resumed elsewhere when a group fails.

use std::io;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::ProvenGroup;
use mangocross_http::HttpTimeouts;
use mangocross_http::ServerRequest;
use mangocross_policy::Candidate;
use mangocross_policy::choose_group;
use mangocross_types::AttemptId;
use mangocross_types::DesiredState;
use mangocross_types::GroupId;
use mangocross_types::KindTarget;
use mangocross_types::Priority;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::RunOutcome;
use mangocross_types::TokenIndex;
use peer_caller::ChatRequest;
use peer_caller::EventStream;
use peer_caller::respond_refusal;
use peer_engine::EngineError;
use peer_engine::FinishReason;
use peer_engine::GenerateEvent;
use peer_engine::GenerateRequest;

use crate::handler::Incoming;
use crate::handler::body_refusal;
use crate::state::GatewayState;
use crate::state::lock;

/// Attempts for one request, the first one included.
const ATTEMPTS_MAX: usize = 3;
/// When to come back after a refusal because no group is complete.
const NO_GROUP_RETRY: Duration = Duration::from_secs(1);
/// Time to open a connection to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Where the answer goes.
enum Sink {
    /// Not started, or collected until it is whole.
    Collected { request: Box<ServerRequest>, text: String },
    /// Streamed.
    Stream(EventStream),
}

/// How an attempt ended.
enum AttemptEnd {
    /// The answer is whole.
    Whole(FinishReason),
    /// The group failed.
    Failed(EngineError),
    /// The caller is gone.
    CallerGone,
}

/// Serves a chat completion.
pub(crate) fn handle(state: &GatewayState, mut request: ServerRequest, incoming: &Incoming) {
    let chat = match read_chat(&mut request, incoming) {
        Ok(chat) => chat,
        Err(refusal) => return respond_refusal(request, &refusal, Some(&incoming.id)),
    };
    let deadline = incoming.headers.deadline;
    let deadline = deadline.unwrap_or(Duration::from_millis(incoming.kind.deadline_ms));
    let mut answer = Answer {
        state,
        incoming,
        chat: &chat,
        deadline: state.clock.now() + deadline,
        next: TokenIndex(0),
        tried: Vec::new(),
    };
    answer.run(request);
}

fn read_chat(request: &mut ServerRequest, incoming: &Incoming) -> Result<ChatRequest, Refusal> {
    let body = request.read_body().map_err(|it| body_refusal(&it))?;
    let chat: ChatRequest = serde_json::from_slice(&body)
        .map_err(|it| Refusal::not_run(ResultCode::MalformedRequest, format!("body: {it}")))?;
    match &incoming.kind.target {
        KindTarget::Model(model) if *model == chat.model => Ok(chat),
        KindTarget::Model(model) => {
            let text = format!("request kind {} is served by model {model}", incoming.kind.id);
            Err(Refusal::not_run(ResultCode::MalformedRequest, text))
        }
        KindTarget::Service(service) => {
            let text = format!("request kind {} goes to service {service}", incoming.kind.id);
            Err(Refusal::not_run(ResultCode::UnknownRoute, text))
        }
    }
}

/// One answer over all its attempts.
struct Answer<'a> {
    state: &'a GatewayState,
    incoming: &'a Incoming,
    chat: &'a ChatRequest,
    deadline: Instant,
    next: TokenIndex,
    tried: Vec<GroupId>,
}

impl Answer<'_> {
    fn run(&mut self, request: ServerRequest) {
        let mut sink = Some(Sink::Collected { request: Box::new(request), text: String::new() });
        let mut outcome = RunOutcome::NotRun;
        let mut refusal = no_group();
        for _ in 0..ATTEMPTS_MAX {
            let Some(group) = self.choose() else { break };
            self.tried.push(group.group.clone());
            let end = self.attempt(&group, &mut sink);
            let error = match end {
                AttemptEnd::Whole(reason) => return self.finish(sink, reason),
                AttemptEnd::CallerGone => return self.log("caller is gone"),
                AttemptEnd::Failed(error) => error,
            };
            self.log(&format!("attempt at group {} failed: {error}", group.group));
            if error.outcome != RunOutcome::NotRun {
                outcome = RunOutcome::Unknown;
            }
            refusal = Refusal::not_run(error.kind.result_code(), error.message);
            let may_repeat = self.incoming.kind.idempotent || outcome == RunOutcome::NotRun;
            if !may_repeat || self.state.clock.now() >= self.deadline {
                break;
            }
        }
        refusal.outcome = outcome;
        self.fail(sink, &refusal.retry_after(NO_GROUP_RETRY));
    }

    fn choose(&self) -> Option<ProvenGroup> {
        let now = self.state.clock.now();
        let proofs = lock(&self.state.proofs);
        let proven: Vec<ProvenGroup> =
            proofs.proven(now).filter(|it| self.may_serve(it)).cloned().collect();
        drop(proofs);
        let candidates: Vec<Candidate> = proven
            .iter()
            .map(|it| Candidate::new(it.group.clone(), self.state.in_flight_at(&it.group), it.load))
            .collect();
        let chosen = choose_group(&candidates, None, fastrand::u64(..))?;
        proven.iter().find(|it| it.group == chosen.group).cloned()
    }

    fn may_serve(&self, group: &ProvenGroup) -> bool {
        let Some(spec) = self.incoming.configuration.group(&group.group) else { return false };
        let for_customer =
            spec.customers.is_empty() || spec.customers.contains(&self.incoming.headers.customer);
        let for_kind = spec.kinds.is_empty() || spec.kinds.contains(&self.incoming.kind.id);
        group.accepts_new
            && group.model == self.chat.model
            && spec.model_version == group.model_version
            && spec.desired == DesiredState::Serving
            && for_customer
            && for_kind
            && !self.tried.contains(&group.group)
    }

    fn attempt(&mut self, group: &ProvenGroup, sink: &mut Option<Sink>) -> AttemptEnd {
        let _counted = self.state.enter_group(&group.group);
        let settings = &self.state.settings;
        let left = self.deadline.saturating_duration_since(self.state.clock.now());
        let gap = settings.first_token_ms.max(settings.token_gap_ms);
        let timeouts = HttpTimeouts::default()
            .connect(CONNECT_TIMEOUT)
            .idle(Duration::from_millis(gap))
            .total(left.max(Duration::from_millis(1)));
        let request = self.generate_request(group);
        let mut stream = match self.state.engines.generate(group.address, &request, timeouts) {
            Ok(stream) => stream,
            Err(error) => return AttemptEnd::Failed(error),
        };
        loop {
            match stream.next_event() {
                Ok(GenerateEvent::Token { token_index, text }) => {
                    if self.deliver(group, sink, token_index, &text).is_err() {
                        drop(stream);
                        let _ = self.state.engines.cancel(
                            group.address,
                            &request.attempt_id,
                            HttpTimeouts::default(),
                        );
                        return AttemptEnd::CallerGone;
                    }
                    self.next = TokenIndex(token_index.0 + 1);
                }
                Ok(GenerateEvent::End(reason)) => return AttemptEnd::Whole(reason),
                Err(error) => return AttemptEnd::Failed(error),
            }
        }
    }

    fn generate_request(&self, group: &ProvenGroup) -> GenerateRequest {
        GenerateRequest {
            request_id: self.incoming.id.clone(),
            attempt_id: new_attempt_id(),
            group: group.group.clone(),
            incarnation: group.incarnation,
            model_version: group.model_version.clone(),
            prompt: self.chat.prompt(),
            max_tokens: self.chat.max_tokens,
            resume_from: self.next,
            priority: self.incoming.headers.priority.unwrap_or(Priority(0)),
        }
    }

    fn deliver(
        &self,
        group: &ProvenGroup,
        sink: &mut Option<Sink>,
        token_index: TokenIndex,
        text: &str,
    ) -> io::Result<()> {
        if self.chat.stream {
            self.start(group, sink)?;
        }
        match sink {
            None => Err(io::Error::other("the answer could not be started")),
            Some(Sink::Stream(stream)) => {
                stream.send(&self.chat.chunk(&self.incoming.id, token_index, text, None))
            }
            Some(Sink::Collected { text: collected, .. }) => {
                collected.push_str(text);
                Ok(())
            }
        }
    }

    /// Starts the stream unless it was started before.
    fn start(&self, group: &ProvenGroup, sink: &mut Option<Sink>) -> io::Result<()> {
        let request = match sink.take() {
            Some(Sink::Collected { request, .. }) => request,
            started => {
                *sink = started;
                return Ok(());
            }
        };
        let incarnation = group.incarnation.to_string();
        let headers = [
            ("x-request-id", self.incoming.id.as_str()),
            ("x-group", group.group.as_str()),
            ("x-incarnation", incarnation.as_str()),
            ("x-run-outcome", RunOutcome::Ran.as_str()),
        ];
        *sink = Some(Sink::Stream(EventStream::open(*request, &headers)?));
        Ok(())
    }

    fn finish(&self, sink: Option<Sink>, reason: FinishReason) {
        let reason = match reason {
            FinishReason::Stop => "stop",
            FinishReason::Length => "length",
        };
        let id = &self.incoming.id;
        match sink {
            Some(Sink::Stream(mut stream)) => {
                let last = self.chat.chunk(id, self.next, "", Some(reason));
                let _ = stream.send(&last).and_then(|()| stream.finish());
            }
            Some(Sink::Collected { request, text }) => self.respond_whole(*request, &text, reason),
            None => {}
        }
        self.log("answered");
    }

    fn respond_whole(&self, request: ServerRequest, text: &str, reason: &str) {
        let id = &self.incoming.id;
        let body = self.chat.completion(id, text, self.next.0, reason);
        let headers = [
            ("content-type", "application/json"),
            ("x-request-id", id.as_str()),
            ("x-run-outcome", RunOutcome::Ran.as_str()),
        ];
        request.respond(200, &headers, body.into_bytes());
    }

    fn fail(&self, sink: Option<Sink>, refusal: &Refusal) {
        self.log(&format!("failed: {} {}", refusal.code, refusal.message));
        self.state.record_failure(&self.incoming.id, refusal);
        match sink {
            Some(Sink::Collected { request, .. }) => {
                respond_refusal(*request, refusal, Some(&self.incoming.id));
            }
            Some(Sink::Stream(stream)) => {
                let _ = stream.fail(refusal, &self.incoming.id);
            }
            None => {}
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

fn new_attempt_id() -> AttemptId {
    format!("a-{:032x}", fastrand::u128(..)).parse().expect("hexadecimal digits are a valid id")
}
