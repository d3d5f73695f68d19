//! Observes crashes of backend servers and refuses requests that would cause more.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderMap;
use http::Response;
use http::header;
use log::kv::Value;
use mangocross_serving::AttemptSpan;
use mangocross_serving::BackendServer;
use mangocross_serving::BrokenStart;
use mangocross_serving::CrashCause;
use mangocross_serving::CrashReport;
use mangocross_serving::CrashVerdict;
use mangocross_serving::ProcessState;
use mangocross_serving::ServerProcess;
use mangocross_types::Refusal;
use mangocross_types::ResultCode;
use mangocross_types::VmId;

use crate::answer_body::AnswerBody;
use crate::dispatch::Call;
use crate::dispatch::logged_parts;
use crate::pool::ConnectError;
use crate::pool::ExchangeError;
use crate::pool::connect;
use crate::state::AppState;
use crate::state::ClusterView;

/// Number of deliveries of events from which on an answer has got past its start.
const SOUND_EVENTS: u32 = 3;
/// Time that a server has to accept a connection after it broke one; a crashed one refuses at once.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Reason of refusals of a quarantined request.
pub(crate) const QUARANTINED_REASON: &str = "the request crashes servers";
/// Minimum Retry-After of quarantined requests.
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
        self.state.view.borrow().blame.verdict(&self.crash_causes)
    }

    /// Returns whether the request must not be sent since it or a part of its prompt crashes servers.
    pub(crate) fn is_quarantined(&self) -> bool {
        let CrashVerdict::Quarantined(cause) = self.crash_verdict() else { return false };
        self.state.metrics.count_quarantined();
        if let Some(left_out) = self.state.log_rate.allow("request quarantined", self.state.now()) {
            let request = self.record.id.as_deref().unwrap_or_default();
            log::info!(request, cause:% = cause, left_out; "request quarantined");
        }
        true
    }

    /// Returns the result code and the reason of the refusal of a quarantined request.
    pub(crate) fn quarantine_refusal(&self) -> (ResultCode, &'static str) {
        match self.crash_verdict() {
            CrashVerdict::Quarantined(CrashCause::Part(_)) => {
                (ResultCode::PromptQuarantined, "a part of the prompt crashes servers")
            }
            _ => (ResultCode::RequestQuarantined, QUARANTINED_REASON),
        }
    }

    /// Returns the refusal of a request that was not run, if it is quarantined.
    pub(crate) fn refuse_quarantined(&self) -> Option<Response<AnswerBody>> {
        let CrashVerdict::Quarantined(_) = self.crash_verdict() else { return None };
        let (code, reason) = self.quarantine_refusal();
        let refusal = Refusal::not_run(code, reason).retry_after(QUARANTINED_RETRY_AFTER);
        Some(self.record.refuse(&refusal, reason))
    }

    /// Returns whether the request may be sent to another server after an answer broke.
    pub(crate) fn may_move(&self) -> bool {
        self.crash_verdict() == CrashVerdict::Sound
    }

    /// Records that a server delivered events; the third time proves the request sound.
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

    /// Records that a server answered the request completely, without a failure of its own.
    pub(crate) fn record_whole_answer(&self) {
        self.record_sound();
    }

    fn record_sound(&self) {
        let (causes, own) = (&self.crash_causes, &self.state.vm.name);
        let now = self.state.now();
        if self.state.view.borrow_mut().blame.record_sound(causes, own, now) {
            let identity = self.record.identity.as_ref().map_or(Value::null(), Value::from_display);
            let parts = logged_parts(&self.caller_head.shared_parts);
            log::info!(identity, parts; "prompt parts proved sound");
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
        let causes = &self.crash_causes;
        let may_blame = self.state.view.borrow().blame.may_blame(causes);
        if start.events >= SOUND_EVENTS || !may_blame {
            return;
        }
        let Some(sent_to) = self.record.last_sent_to(vm) else { return };
        let Some((process, address)) = sent_to.process else { return };
        let broken = BrokenStart {
            request: self.record.id.clone().unwrap_or_default(),
            events: start.events,
            causes: causes.clone(),
            span: AttemptSpan { sent_at: sent_to.at, broke_at: self.state.now() },
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
async fn has_crashed(state: &Rc<AppState>, process: &ServerProcess, address: SocketAddr) -> bool {
    let is_known = {
        let view = state.view.borrow();
        view.blame.has_crash(process, &state.vm.name) || view.is_replaced(process, address)
    };
    is_known || is_refused(state, address).await
}

/// Returns whether nothing listens at a server's address, as far as this VM can tell.
async fn is_refused(state: &Rc<AppState>, address: SocketAddr) -> bool {
    let connected = connect(address, CRASH_CHECK_TIMEOUT).await;
    state.record_reached(address, connected.is_ok());
    let is_doubtful = state.view.borrow().reach.is_doubtful();
    matches!(connected, Err(ConnectError::Refused)) && !is_doubtful
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

/// Counts a crash against a request whose answer it broke, and the parts of its prompt.
fn record_crash(state: &AppState, process: &ServerProcess, broken: &BrokenStart) {
    let BrokenStart { request, events, causes, span } = broken;
    if !state.view.borrow_mut().blame.record_crash(causes, process, &state.vm.name, *span) {
        return;
    }
    let request_identity = |it: &CrashCause| match it {
        CrashCause::Request(it) => Some(*it),
        CrashCause::Part(_) => None,
    };
    let part = |it: &CrashCause| match it {
        CrashCause::Request(_) => None,
        CrashCause::Part(it) => Some(*it),
    };
    let identity = causes.iter().find_map(request_identity);
    let identity = identity.as_ref().map_or(Value::null(), Value::from_display);
    let parts = logged_parts(&causes.iter().filter_map(part).collect::<Vec<_>>());
    let now = state.now();
    if let Some(left_out) = state.log_rate.allow("server crashed", now) {
        let found_after_ms = now.since(span.broke_at).as_millis() as u64;
        log::warn!(
            server:% = process.vm, request = &**request, identity, events, parts,
            found_after_ms, left_out;
            "server crashed at the start of an answer"
        );
    }
    log_quarantine(state);
    state.blame_changed.notify_one();
}

impl ClusterView {
    /// Returns whether a later process runs at the VM or at the address of this one.
    fn is_replaced(&self, process: &ServerProcess, address: SocketAddr) -> bool {
        let is_later = |it: &BackendServer| it.engine.born_unix_ms > process.born_unix_ms;
        self.servers.get(&process.vm).is_some_and(is_later)
            || self.servers.values().any(|it| it.address == address && is_later(it))
    }

    /// Returns the state of a process as its entry tells it, and its address if it is listed.
    fn process_state(&self, process: &ServerProcess) -> (ProcessState, Option<SocketAddr>) {
        match self.servers.get(&process.vm) {
            Some(it) if self.is_replaced(process, it.address) => (ProcessState::Ended, None),
            Some(it) if it.engine.born_unix_ms == process.born_unix_ms => {
                (ProcessState::Listed, Some(it.address))
            }
            Some(_) => (ProcessState::Unknown, None),
            None if self.has_departed(process) => (ProcessState::Ended, None),
            None => (ProcessState::Unknown, None),
        }
    }
}

/// Applies another entry VM's report of crashes.
pub(crate) fn apply_report(state: &Rc<AppState>, report: CrashReport) {
    let now = state.now();
    if state.view.borrow_mut().blame.apply(report, &state.vm.name, now) {
        log_quarantine(state);
        state.blame_changed.notify_one();
    }
    check_processes(state);
}

/// Checks whether processes have ended that other entry VMs report as crashed.
fn check_processes(state: &Rc<AppState>) {
    let checks = state.view.borrow_mut().blame.take_checks(state.now());
    for process in checks {
        let (process_state, address) = state.view.borrow().process_state(&process);
        record_process_state(state, &process, process_state);
        let Some(address) = address else { continue };
        let state = Rc::clone(state);
        tokio::task::spawn_local(async move {
            if is_refused(&state, address).await {
                record_process_state(&state, &process, ProcessState::Ended);
            }
        });
    }
}

fn record_process_state(state: &AppState, process: &ServerProcess, process_state: ProcessState) {
    let own = &state.vm.name;
    if state.view.borrow_mut().blame.record_state(process, process_state, own) {
        log_quarantine(state);
        state.blame_changed.notify_one();
    }
}

/// Returns what to tell the other entry VMs of crashes, if there is anything.
pub(crate) fn take_report(state: &Rc<AppState>) -> Option<CrashReport> {
    check_processes(state);
    let report = state.view.borrow_mut().blame.take_report(state.now());
    (!report.is_empty()).then_some(report)
}

/// Logs the quarantined requests and parts if they changed.
fn log_quarantine(state: &AppState) {
    let causes: Vec<String> =
        state.view.borrow().blame.quarantined().map(|it| it.to_string()).collect();
    let causes = causes.join(" ");
    if state.logged_quarantine.replace(causes.clone()) != causes {
        log::warn!(causes = causes.as_str(); "quarantine changed");
    }
}
