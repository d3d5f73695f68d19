//! Observes crashes of backend servers and refuses requests that would cause more.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderMap;
use http::header;
use log::kv::Value;
use mangocross_serving::BrokenStart;
use mangocross_serving::CrashReport;
use mangocross_serving::CrashVerdict;
use mangocross_serving::ServerProcess;
use mangocross_types::ResultCode;
use mangocross_types::VmId;

use crate::dispatch::Call;
use crate::dispatch::logged_parts;
use crate::pool::ConnectError;
use crate::pool::ExchangeError;
use crate::pool::connect;
use crate::state::AppState;

/// Number of deliveries of events from which on an answer has got past its start.
const SOUND_EVENTS: u32 = 3;
/// Time that a server has to accept a connection after it broke one; a crashed one refuses at once.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Result code and reason of requests with a quarantined part.
pub(crate) const QUARANTINED_REFUSAL: (ResultCode, &str) =
    (ResultCode::PromptQuarantined, "a part of the prompt crashes servers");
/// Minimum Retry-After of requests with a quarantined part.
pub(crate) const QUARANTINED_RETRY_AFTER: Duration = Duration::from_secs(60);

/// How far a server has come with an answer.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct AnswerStart {
    /// Deliveries of events by this server.
    pub(crate) events: u32,
    /// Whether the end of the answer can be told from the end of its connection.
    pub(crate) is_delimited: bool,
}

impl AnswerStart {
    /// Creates the state of an answer that has begun with these headers.
    pub(crate) fn new(headers: &HeaderMap) -> Self {
        let is_delimited = headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING);
        Self { events: 0, is_delimited }
    }
}

impl Call {
    fn crash_verdict(&self) -> CrashVerdict {
        self.state.view.borrow().blame.verdict(&self.caller_head.shared_parts)
    }

    /// Returns whether the request must not be sent since a part of its prompt crashes servers.
    pub(crate) fn is_quarantined(&self) -> bool {
        let CrashVerdict::Quarantined(part) = self.crash_verdict() else { return false };
        self.state.metrics.count_quarantined();
        if let Some(left_out) = self.state.log_rate.allow("request quarantined", self.state.now()) {
            let request = self.record.id.as_deref().unwrap_or_default();
            log::info!(request, part:% = part, left_out; "request quarantined");
        }
        true
    }

    /// Returns whether the request may be sent to another server after an answer broke.
    pub(crate) fn may_move(&self) -> bool {
        self.crash_verdict() == CrashVerdict::Sound
    }

    /// Records that a server delivered events; the third time proves the prompt's parts sound.
    pub(crate) fn record_events(&self, start: &mut AnswerStart) {
        start.events += 1;
        if start.events == SOUND_EVENTS {
            self.record_sound();
        }
    }

    /// Records the end of an answer: a short one is sound if it is certain to be whole.
    pub(crate) async fn record_answer_end(&self, vm: &VmId, start: AnswerStart) {
        match start.is_delimited {
            true if start.events < SOUND_EVENTS => self.record_sound(),
            true => {}
            false => self.record_break(vm, start).await,
        }
    }

    fn record_sound(&self) {
        let (parts, own) = (&self.caller_head.shared_parts, &self.state.vm.name);
        let now = self.state.now();
        if self.state.view.borrow_mut().blame.record_sound(parts, own, now) {
            log::info!(parts = logged_parts(parts); "prompt parts proved sound");
            self.state.blame_changed.notify_one();
        }
    }

    /// Records that a request was not answered, unless none of it was sent.
    pub(crate) async fn record_failed_exchange(&self, vm: &VmId, error: &ExchangeError) {
        if !error.is_unsent {
            self.record_break(vm, AnswerStart::default()).await;
        }
    }

    /// Records the break of an answer that had hardly begun, if its server has crashed; if that is
    /// not certain yet, it is found out in the background.
    pub(crate) async fn record_break(&self, vm: &VmId, start: AnswerStart) {
        let parts = &self.caller_head.shared_parts;
        let may_blame = parts.is_empty() || self.state.view.borrow().blame.may_blame(parts);
        if start.events >= SOUND_EVENTS || !may_blame {
            return;
        }
        let Some(sent_to) = self.record.last_sent_to(vm) else { return };
        let Some((process, address)) = sent_to.process else { return };
        let broken = BrokenStart {
            request: self.record.id.clone().unwrap_or_default(),
            identity: self.record.identity,
            events: start.events,
            parts: parts.clone(),
            at: self.state.now(),
        };
        if has_crashed(&self.state, &process, address).await {
            record_crash(&self.state, &process, &broken);
        } else if self.state.view.borrow_mut().unexplained_breaks.record(&process, broken) {
            watch_process(Rc::clone(&self.state), process, address);
        }
    }
}

/// Returns whether a process has ended: it is known to have crashed, the server has started
/// again, or nothing listens at its address.
async fn has_crashed(state: &AppState, process: &ServerProcess, address: SocketAddr) -> bool {
    let is_known = {
        let view = state.view.borrow();
        let now_runs = view.servers.get(&process.vm).map(|it| it.engine.born_unix_ms);
        view.blame.has_crash(process, &state.vm.name)
            || now_runs.is_some_and(|it| it > process.born_unix_ms)
    };
    is_known || matches!(connect(address, CRASH_CHECK_TIMEOUT).await, Err(ConnectError::Refused))
}

/// Looks in the background whether a process at which answers broke has crashed.
fn watch_process(state: Rc<AppState>, process: ServerProcess, address: SocketAddr) {
    tokio::task::spawn_local(async move {
        let next_check = |now| state.view.borrow().unexplained_breaks.next_check(&process, now);
        let mut is_crashed = false;
        while !is_crashed && let Some(at) = next_check(state.now()) {
            tokio::time::sleep(at.since(state.now())).await;
            is_crashed = has_crashed(&state, &process, address).await;
        }
        let now = state.now();
        let breaks = state.view.borrow_mut().unexplained_breaks.take(&process, now);
        if is_crashed {
            breaks.iter().for_each(|it| record_crash(&state, &process, it));
        }
    });
}

/// Counts a crash against the parts of a prompt whose answer it broke.
fn record_crash(state: &AppState, process: &ServerProcess, broken: &BrokenStart) {
    let BrokenStart { request, identity, events, parts, at } = broken;
    let is_news = state.view.borrow_mut().blame.record_crash(parts, process, &state.vm.name, *at);
    if !is_news && !parts.is_empty() {
        return;
    }
    let identity = identity.as_ref().map_or(Value::null(), Value::from_display);
    let now = state.now();
    if let Some(left_out) = state.log_rate.allow("server crashed", now) {
        let found_after_ms = now.since(*at).as_millis() as u64;
        log::warn!(
            server:% = process.vm, request = &**request, identity, events, parts = logged_parts(parts),
            found_after_ms, left_out;
            "server crashed at the start of an answer"
        );
    }
    log_quarantine(state);
    state.blame_changed.notify_one();
}

/// Applies another entry VM's report of crashes.
pub(crate) fn apply_report(state: &AppState, report: CrashReport) {
    let now = state.now();
    if state.view.borrow_mut().blame.apply(report, &state.vm.name, now) {
        log_quarantine(state);
        state.blame_changed.notify_one();
    }
}

/// Returns what to tell the other entry VMs of crashes, if there is anything.
pub(crate) fn take_report(state: &AppState) -> Option<CrashReport> {
    let report = state.view.borrow_mut().blame.take_report(state.now());
    (!report.is_empty()).then_some(report)
}

/// Logs the quarantined parts if they changed.
fn log_quarantine(state: &AppState) {
    let parts: Vec<String> =
        state.view.borrow().blame.quarantined().map(|it| it.to_string()).collect();
    let parts = parts.join(" ");
    if state.logged_quarantine.replace(parts.clone()) != parts {
        log::warn!(parts = parts.as_str(); "quarantine changed");
    }
}
