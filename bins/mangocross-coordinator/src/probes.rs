//! Probes the engines of the fabric domains that this coordinator should own.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use mangocross_coordination::ProbeInterval;
use mangocross_http::HttpTimeouts;
use mangocross_types::BackendReport;
use mangocross_types::EngineRole;
use mangocross_types::EngineState;
use mangocross_types::GroupId;
use mangocross_types::Incarnation;
use mangocross_types::VmId;
use peer_engine::EngineError;
use peer_engine::EngineErrorKind;
use peer_engine::ProbeAnswer;

use crate::domains::preferred_domains;
use crate::state::CoordinatorState;
use crate::state::lock;

/// Time between updates of the set of probed VMs.
const SCAN_INTERVAL: Duration = Duration::from_millis(300);

/// Runs one probing thread for each VM of the preferred domains.
///
/// Separate threads keep an unresponsive engine from delaying other probes.
pub(crate) fn run(state: &Arc<CoordinatorState>) {
    let mut running: HashMap<VmId, (SocketAddr, Arc<AtomicBool>)> = HashMap::new();
    loop {
        let wanted = wanted_engines(state);
        running.retain(|vm, (address, stop)| {
            let keep = wanted.get(vm) == Some(address);
            if !keep {
                stop.store(true, Ordering::Relaxed);
                lock(&state.probers).remove(vm);
            }
            keep
        });
        let known: HashSet<VmId> = running.keys().cloned().collect();
        for (vm, address) in wanted.into_iter().filter(|(vm, _)| !known.contains(vm)) {
            let stop = Arc::new(AtomicBool::new(false));
            running.insert(vm.clone(), (address, Arc::clone(&stop)));
            let (probing, probed) = (Arc::clone(state), vm.clone());
            let prober = thread::spawn(move || probe(&probing, &probed, address, &stop));
            lock(&state.probers).insert(vm, prober.thread().clone());
        }
        thread::sleep(SCAN_INTERVAL);
    }
}

/// Probes a VM immediately, after it has answered an order.
pub(crate) fn probe_now(state: &CoordinatorState, vm: &VmId) {
    if let Some(prober) = lock(&state.probers).get(vm) {
        prober.unpark();
    }
}

fn wanted_engines(state: &CoordinatorState) -> HashMap<VmId, SocketAddr> {
    let preferred = preferred_domains(state);
    let engines = lock(&state.engines_by_domain);
    let wanted = preferred.iter().filter_map(|it| engines.get(it)).flatten();
    wanted.map(|it| (it.vm.clone(), it.address)).collect()
}

fn probe(state: &CoordinatorState, vm: &VmId, address: SocketAddr, stop: &AtomicBool) {
    let limit = Duration::from_millis(state.settings.probe_timeout_ms);
    let timeouts = HttpTimeouts::default().connect(limit).idle(limit).total(limit);
    let mut interval = ProbeInterval::new(Duration::from_millis(state.settings.probe_interval_ms));
    lock(&state.probes).remove(vm);
    let mut last: Option<ProbeOutcome> = None;
    while !stop.load(Ordering::Relaxed) {
        let (started, sent_at) = (state.clock.wall(), state.clock.now());
        let answer = request_report(state, vm, address, timeouts);
        let answered_at = state.clock.now();
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let result = answer.map(|it| record_cache_events(state, vm, sent_at, it));
        let outcome = ProbeOutcome::of(&result);
        let time = answered_at.duration_since(sent_at);
        state.metrics.record_probe(outcome.result(), result.is_ok().then_some(time));
        if last.as_ref() != Some(&outcome) {
            trace(state, vm, started, &outcome);
            last = Some(outcome);
        }
        let pause = match &result {
            Ok(report) => interval.after_answer(report.state, answered_at),
            Err(_) => interval.after_failure(answered_at),
        };
        record(state, vm, sent_at, answered_at, result);
        thread::park_timeout(pause);
    }
    lock(&state.cache_relay).remove(vm);
}

/// Requests an engine's report, and its cache events if it is the head of a group.
fn request_report(
    state: &CoordinatorState,
    vm: &VmId,
    address: SocketAddr,
    timeouts: HttpTimeouts,
) -> Result<ProbeAnswer, EngineError> {
    if is_head(state, vm) {
        let position = lock(&state.cache_relay).position(vm);
        return state.engines.probe(address, position, timeouts);
    }
    let report = state.engines.report(address, timeouts)?;
    Ok(ProbeAnswer { report, cache: None })
}

/// Returns whether a VM is the head of a group, the member that receives its requests.
fn is_head(state: &CoordinatorState, vm: &VmId) -> bool {
    let assignments = lock(&state.assignments);
    let mut groups = assignments.values().flat_map(|it| &it.assignment.groups);
    groups.any(|it| it.members.first() == Some(vm))
}

/// Records the cache events of an answer and returns its report.
fn record_cache_events(
    state: &CoordinatorState,
    vm: &VmId,
    sent_at: Instant,
    answer: ProbeAnswer,
) -> BackendReport {
    if let Some(cache) = &answer.cache {
        lock(&state.cache_relay).record_probe(vm, cache, sent_at);
    }
    answer.report
}

/// The part of a probe's result whose change is traced with a span.
#[derive(Debug, PartialEq)]
enum ProbeOutcome {
    Answered {
        state: EngineState,
        role: EngineRole,
        group: Option<GroupId>,
        incarnation: Incarnation,
    },
    Failed(EngineErrorKind),
}

impl ProbeOutcome {
    fn of(result: &Result<BackendReport, EngineError>) -> Self {
        match result {
            Ok(report) => Self::Answered {
                state: report.state,
                role: report.role,
                group: report.group.clone(),
                incarnation: report.incarnation,
            },
            Err(error) => Self::Failed(error.kind),
        }
    }

    /// Returns the name of the result in metrics.
    fn result(&self) -> &'static str {
        match self {
            Self::Answered { .. } => "answered",
            Self::Failed(kind) => kind.as_str(),
        }
    }
}

/// Writes the span of a probe whose outcome differs from the last one.
fn trace(state: &CoordinatorState, vm: &VmId, started: SystemTime, outcome: &ProbeOutcome) {
    let span = state.tracing.span_since("probe", started);
    span.set("vm", vm.to_string());
    match outcome {
        ProbeOutcome::Failed(kind) => span.set_error(kind.as_str().to_owned()),
        ProbeOutcome::Answered { state, role, group, incarnation } => {
            span.set("state", format!("{state:?}").to_lowercase());
            span.set("role", format!("{role:?}").to_lowercase());
            if let Some(group) = group {
                span.set("group", group.to_string());
                span.set("incarnation", incarnation.to_string());
            }
        }
    }
}

fn record(
    state: &CoordinatorState,
    vm: &VmId,
    sent_at: Instant,
    answered_at: Instant,
    result: Result<BackendReport, EngineError>,
) {
    match result {
        Ok(report) => {
            if report.state == EngineState::Leaving {
                lock(&state.leaving).record(vm, sent_at);
            }
            lock(&state.probes).record_answer(vm, sent_at, answered_at, report);
        }
        Err(error) => lock(&state.probes).record_failure(vm, sent_at, error.to_string()),
    }
}
