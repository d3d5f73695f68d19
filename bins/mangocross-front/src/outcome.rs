//! Outcomes of callers' requests and the log lines that record them.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use log::kv::Value;
use mangocross_platform::refusal_headers;
use mangocross_serving::Moment;
use mangocross_serving::RequestIdentity;
use mangocross_serving::ServerProcess;
use mangocross_types::CustomerId;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::RunOutcome;
use mangocross_types::VmId;

use crate::answer_body::AnswerBody;
use crate::state::AppState;

/// Reason logged if the caller disconnected before the answer was complete or had failed.
const CALLER_LEFT: &str = "caller left";

/// Marks an answer of this VM's own, with what became of the request; an answer without it is a server's.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OwnAnswer(pub(crate) RunOutcome);

/// Tracks one request from its HTTP head to the end of its answer.
///
/// Dropping it writes the request's last log line, also if the caller disconnected.
#[derive(Debug)]
pub(crate) struct RequestRecord {
    state: Rc<AppState>,
    pub(crate) id: Option<Arc<str>>,
    pub(crate) received_at: Moment,
    pub(crate) route: Option<Arc<str>>,
    pub(crate) customer: Option<CustomerId>,
    pub(crate) configuration_version: u64,
    /// What the request shares with its repeats; known once the body has been read.
    pub(crate) identity: Option<RequestIdentity>,
    sent_to: RefCell<Vec<SentTo>>,
    first_byte_after: Cell<Option<Duration>>,
    status: Cell<Option<u16>>,
    code: Cell<Option<ResultCode>>,
    reason: Cell<&'static str>,
    /// Steps whose log lines exceeded the rate limit; written if the request fails.
    suppressed_steps: RefCell<Vec<RequestStep>>,
}

/// One sending of a request to a server.
#[derive(Debug, Clone)]
pub(crate) struct SentTo {
    pub(crate) vm: VmId,
    /// The process that its entry named then, and where it listens.
    pub(crate) process: Option<(ServerProcess, SocketAddr)>,
    pub(crate) at: Moment,
}

/// A step of a request, with the fields of its log line.
#[derive(Debug)]
struct RequestStep {
    kind: &'static str,
    vm: VmId,
    detail: String,
    age: Duration,
}

impl RequestRecord {
    pub(crate) fn new(state: &Rc<AppState>, received_at: Moment) -> Self {
        state.requests_in_progress.set(state.requests_in_progress.get() + 1);
        Self {
            state: Rc::clone(state),
            id: None,
            received_at,
            route: None,
            customer: None,
            configuration_version: 0,
            identity: None,
            sent_to: RefCell::default(),
            first_byte_after: Cell::new(None),
            status: Cell::new(None),
            code: Cell::new(None),
            reason: Cell::new(CALLER_LEFT),
            suppressed_steps: RefCell::default(),
        }
    }

    /// Records that the request was sent to a server.
    pub(crate) fn add_sent_to(&self, vm: &VmId) {
        let process = self.state.view.borrow().servers.get(vm).map(|it| {
            let born_unix_ms = it.engine.born_unix_ms;
            (ServerProcess { vm: vm.clone(), born_unix_ms }, it.address)
        });
        let sent_to = SentTo { vm: vm.clone(), process, at: self.state.now() };
        self.sent_to.borrow_mut().push(sent_to);
    }

    /// Returns how the request was last sent to a server.
    pub(crate) fn last_sent_to(&self, vm: &VmId) -> Option<SentTo> {
        self.sent_to.borrow().iter().rev().find(|it| it.vm == *vm).cloned()
    }

    fn shown_identity(&self) -> Value<'_> {
        self.identity.as_ref().map_or(Value::null(), Value::from_display)
    }

    pub(crate) fn age(&self) -> Duration {
        self.state.now().since(self.received_at)
    }

    /// Records the start of the answer.
    pub(crate) fn answer_started(&self, status: StatusCode) {
        self.status.set(Some(status.as_u16()));
        self.first_byte_after.set(Some(self.age()));
        self.state.metrics.record_first_byte(self.age());
    }

    pub(crate) fn answer_completed(&self) {
        self.reason.set("answered");
    }

    /// Records the end of an answer that another entry VM gave.
    pub(crate) fn answered_by_peer(&self, reason: &'static str) {
        self.reason.set(reason);
    }

    /// Records why the answer failed.
    pub(crate) fn answer_failed(&self, code: ResultCode, reason: &'static str) {
        self.code.set(Some(code));
        self.reason.set(reason);
    }

    /// Logs a step of this request, limited in rate.
    ///
    /// Steps above the rate limit are logged at the end if the request fails.
    pub(crate) fn log_step(&self, kind: &'static str, vm: &VmId, detail: &str) {
        let step = RequestStep { kind, vm: vm.clone(), detail: detail.to_owned(), age: self.age() };
        match self.state.log_rate.allow(kind, self.state.now()) {
            Some(left_out) => self.write_step(&step, left_out),
            None => self.suppressed_steps.borrow_mut().push(step),
        }
    }

    fn write_step(&self, step: &RequestStep, left_out: u64) {
        let RequestStep { kind, vm, detail, age } = step;
        let request = self.id.as_deref().unwrap_or_default();
        log::info!(
            request, identity = self.shown_identity(), server:% = vm, detail = detail.as_str(), age_ms = age.as_millis() as u64,
            left_out;
            "{kind}"
        );
    }

    /// Records a refusal and returns the answer to the caller.
    pub(crate) fn refuse(&self, refusal: &Refusal, reason: &'static str) -> Response<AnswerBody> {
        let status = refusal.code.http_status();
        let outcome = match refusal.outcome {
            RunOutcome::NotRun => "not run",
            RunOutcome::Ran => "ran",
            RunOutcome::Unknown => "unknown",
        };
        let body = format!(
            "{{\"code\":{},\"name\":\"{}\",\"outcome\":\"{outcome}\",\"message\":\"{}\"}}\n",
            refusal.code.number(),
            refusal.code.name(),
            refusal.message,
        );
        self.status.set(Some(status));
        self.code.set(Some(refusal.code));
        self.reason.set(reason);
        let mut response = Response::new(AnswerBody::whole(Bytes::from(body)));
        *response.status_mut() =
            StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        *response.headers_mut() = refusal_headers(self.id.as_deref(), refusal.retry_after);
        response.extensions_mut().insert(OwnAnswer(refusal.outcome));
        response
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        let state = &self.state;
        state.requests_in_progress.set(state.requests_in_progress.get().saturating_sub(1));
        let status = self.status.get().unwrap_or_default();
        let code = self.code.get().map_or(0, ResultCode::number);
        state.metrics.record_request(status, code);
        let is_success = code == 0 && (200..300).contains(&status);
        let kind = match (self.reason.get(), is_success) {
            (CALLER_LEFT, _) => "request abandoned",
            (_, true) => "request served",
            (_, false) => "request failed",
        };
        let is_success = kind == "request served";
        let left_out = match state.log_rate.allow(kind, state.now()) {
            Some(it) => it,
            // Lines of failed requests are never suppressed.
            None if is_success => return,
            None => 0,
        };
        if !is_success {
            self.suppressed_steps.take().iter().for_each(|it| self.write_step(it, 0));
        }
        let first_byte_ms = self.first_byte_after.get().map(|it| it.as_millis() as u64);
        let sent_to = self.sent_to.take();
        let sent_to: Vec<&str> = sent_to.iter().map(|it| it.vm.as_str()).collect();
        log::info!(
            request = self.id.as_deref().unwrap_or_default(),
            identity = self.shown_identity(),
            route = self.route.as_deref().unwrap_or_default(),
            customer = self.customer.as_ref().map(CustomerId::as_str).unwrap_or_default(),
            status, code, reason = self.reason.get(),
            sent_to = sent_to.join(" "),
            first_byte_ms = first_byte_ms.map_or(Value::null(), Value::from),
            age_ms = self.age().as_millis() as u64,
            configuration = self.configuration_version, left_out;
            "{kind}"
        );
    }
}
