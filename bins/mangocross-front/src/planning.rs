//! Runs the group planner while this process holds the planner's key.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Limited;
use log::kv::Value;
use mangocross_http::BodyParts;
use mangocross_platform::ForwardHead;
use mangocross_platform::StoreCall;
use mangocross_platform::StorePut;
use mangocross_platform::WriteOutcome;
use mangocross_platform::decode_report;
use mangocross_platform::encode_order;
use mangocross_platform::names_attempt;
use mangocross_platform::order_outcome;
use mangocross_platform::report_path;
use mangocross_platform::server_notice;
use mangocross_serving::BackendServer;
use mangocross_serving::CompleteView;
use mangocross_serving::DomainPlan;
use mangocross_serving::EngineOrder;
use mangocross_serving::EngineReport;
use mangocross_serving::GroupPlanner;
use mangocross_serving::OrderOutcome;
use mangocross_serving::PlannerAction;
use mangocross_serving::Probe;
use mangocross_serving::ProbeFailure;
use mangocross_serving::ViewExtent;
use mangocross_types::FabricDomain;
use mangocross_types::ServiceId;
use mangocross_types::StoreRevision;
use mangocross_types::VmId;
use tokio::time::Instant;

use crate::leases::PLANNER_KEY;
use crate::pool::ConnectError;
use crate::pool::Connection;
use crate::state::AppState;
use crate::store::CALL_TIMEOUT;

/// Key prefix of the fabric domains' plans.
const PLANS_PREFIX: &str = "mangocross/domain/";
/// Maximum time between two planning rounds.
const PLAN_INTERVAL_MAX: Duration = Duration::from_millis(60);
/// Minimum pause between two planning rounds.
const PLAN_PAUSE_MIN: Duration = Duration::from_millis(15);
/// Pause after a planning round, as a multiple of the round's duration.
const PAUSE_PER_PLAN_TIME: u32 = 2;
/// Maximum age of stream progress that shows that a group is healthy.
const PROGRESS_AGE_MAX: Duration = Duration::from_millis(350);
/// Timeout of a probe; engines answer within a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Probes and orders have the longest limit for connections.
const PROBE_CONNECT_FAILURES: u32 = 1;
/// Maximum size of a report or of the answer to an order.
const REPORT_BYTES_MAX: usize = 1 << 20;
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);

type Planners = Rc<RefCell<HashMap<ServiceId, GroupPlanner>>>;

/// Starts the task that plans whenever this process holds the planner's key.
pub(crate) fn spawn(state: &Rc<AppState>) {
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        let planners = Planners::default();
        let mut term = None;
        let mut logged = None;
        loop {
            let _ =
                tokio::time::timeout(PLAN_INTERVAL_MAX, state.planner_inputs_changed.notified())
                    .await;
            let now = state.now();
            let valid_term = state.term().filter(|it| it.is_valid(now));
            if valid_term.map(|it| it.revision) != term {
                term = valid_term.map(|it| it.revision);
                planners.borrow_mut().clear();
                log::info!(is_planner = term.is_some(); "planner's term changed");
            }
            let view = state.complete_view();
            log_view(&state, &mut logged, view);
            // What cannot be reached is not planned for.
            let is_doubtful = state.view.borrow().reach.is_doubtful();
            if let (Some(revision), Some(view), false) = (term, view, is_doubtful) {
                plan(&state, &planners, revision, view);
            }
            // Leaves most of the processor to requests.
            let elapsed = state.now().since(now);
            tokio::time::sleep(PLAN_PAUSE_MIN.max(elapsed * PAUSE_PER_PLAN_TIME)).await;
        }
    });
}

/// What the last line on the planner's view said: its extent, whether it is planned from, the term.
type LoggedView = (ViewExtent, bool, Option<StoreRevision>);

/// Logs what this VM, which holds or has just lost the planner's key, knows of the store.
fn log_view(state: &AppState, logged: &mut Option<LoggedView>, complete: Option<CompleteView>) {
    let now = state.now();
    let term = state.term().map(|it| it.revision);
    let view = state.store_view.borrow();
    let new = (view.extent(), complete.is_some(), term);
    let was_in_term = logged.is_some_and(|(_, _, term)| term.is_some());
    if *logged == Some(new) || (term.is_none() && !was_in_term) {
        return;
    }
    *logged = Some(new);
    if let Some(left_out) = state.log_rate.allow("planner's view changed", now) {
        let source = if state.relay.is_recording() { "store" } else { "relay" };
        let age_ms = view.age(now).map_or(Value::null(), |it| Value::from(it.as_millis() as u64));
        let term = term.map_or(Value::null(), |it| Value::from(it.revision.0));
        log::info!(
            source, extent = view.extent().name(), is_complete = complete.is_some(), age_ms, term,
            left_out;
            "planner's view changed"
        );
    }
}

/// Runs one planning round for each engine service.
fn plan(state: &Rc<AppState>, planners: &Planners, term: StoreRevision, complete: CompleteView) {
    let Some(configuration) = state.configuration() else { return };
    let now = state.now();
    let mut slowdowns = HashMap::new();
    let mut closed_heads = Vec::new();
    for (service, engine) in configuration.engines() {
        let mut all = planners.borrow_mut();
        let planner = all
            .entry(service.clone())
            .or_insert_with(|| GroupPlanner::new(engine.clone(), state.bounds().stall));
        planner.set_engine_spec(engine.clone());
        planner.set_era(term.era);
        planner.set_weight_loads_unlimited(state.vm.is_first_start && !state.has_traffic.get());
        let view = state.view.borrow();
        for (key, stored) in &view.entry_vm_keys {
            let Some(domain) = key.strip_prefix(PLANS_PREFIX) else { continue };
            let Ok(domain) = domain.parse::<FabricDomain>() else { continue };
            if planner.has_plan(&domain, stored.revision) {
                continue;
            }
            match postcard::from_bytes::<DomainPlan>(&stored.value) {
                Ok(plan) => planner.apply_stored_plan(domain, plan, stored.revision),
                Err(error) => log::error!(domain:% = domain, error:% = error; "plan unreadable"),
            }
        }
        let progress = view.progress.latest(now).filter(|(_, age)| *age < PROGRESS_AGE_MAX);
        planner.set_progressing_heads(progress.map(|(vm, _)| vm.clone()).collect());
        planner.set_paused_servers(view.paused_servers(now).cloned().collect());
        planner.set_evacuated_zones(view.evacuations.evacuated().map(|it| it.0.clone()).collect());
        for (head, at) in view.suspects(now) {
            planner.mark_suspect(head, at);
        }
        for head in view.to_recheck(now) {
            planner.probe_group_soon(&head);
        }
        let listed = view.servers.values().filter(|it| it.service == *service);
        let (leaving, staying): (Vec<_>, Vec<_>) =
            listed.partition(|it| view.notices.is_leaving(it));
        let leaving_heads = leaving.iter().filter(|it| it.accepts_requests());
        closed_heads.extend(leaving_heads.map(|it| it.vm.clone()));
        let leaving: Vec<BackendServer> = leaving
            .into_iter()
            .map(|it| BackendServer { is_leaving: true, ..it.clone() })
            .collect();
        let actions = planner.next_actions(staying.into_iter().chain(&leaving), now);
        let slow = view.servers.keys().map(|vm| (vm.clone(), planner.slowdown(vm)));
        slowdowns.extend(slow.filter(|(_, it)| *it > 1.0));
        closed_heads.extend(planner.closed_heads());
        drop(view);
        drop(all);
        for action in actions {
            execute_action(state, planners, service, term, complete, action);
        }
    }
    let mut view = state.view.borrow_mut();
    view.slowdowns = slowdowns;
    if view.closed_heads.replace(closed_heads, now) {
        let heads: Vec<&str> = view.closed_heads.iter().map(VmId::as_str).collect();
        log::info!(heads:? = heads; "closed heads changed");
        state.peer_updates.notify_one();
    }
}

fn execute_action(
    state: &Rc<AppState>,
    planners: &Planners,
    service: &ServiceId,
    term: StoreRevision,
    complete: CompleteView,
    action: PlannerAction,
) {
    let state = Rc::clone(state);
    let planners = Rc::clone(planners);
    let service = service.clone();
    tokio::task::spawn_local(async move {
        if state.term().is_none_or(|it| it.revision != term) {
            return;
        }
        match action {
            PlannerAction::Probe(probe) => {
                let answer = probe_server(&state, &probe).await;
                let answer = match answer {
                    // The fault may be on this side, so the group is left as it is.
                    Err(_) if state.view.borrow().reach.is_doubtful() => {
                        Err(ProbeFailure::NoVerdict)
                    }
                    it => it,
                };
                with_planner(&planners, &service, |it| match answer {
                    Ok(report) => it.record_probe_answer(&probe.vm, report),
                    Err(failure) => it.record_probe_failure(&probe.vm, failure),
                });
            }
            PlannerAction::Order { vm, address, order, orders_accepted } => {
                let view_age_ms = complete.age(state.now()).as_millis() as u64;
                let outcome = send_order(&state, &vm, address, &order, orders_accepted).await;
                log::info!(
                    server:% = vm, order:? = order, orders_accepted, outcome:? = outcome,
                    term = term.revision.0, view_age_ms;
                    "order given"
                );
                let now = state.now();
                with_planner(&planners, &service, |it| it.record_order_outcome(&vm, outcome, now));
            }
            PlannerAction::Write { domain, plan, expected, reasons } => {
                let view_age_ms = complete.age(state.now()).as_millis() as u64;
                let revision = write_plan(&state, &domain, &plan, expected, term).await;
                if let Some(revision) = revision {
                    log::info!(
                        domain:% = domain, expected = expected.revision.0, reasons:? = reasons,
                        revision = revision.revision.0, view_age_ms;
                        "plan written"
                    );
                }
                let now = state.now();
                with_planner(&planners, &service, |it| {
                    it.record_write_result(&domain, revision.map(|it| (plan, it)), now);
                });
            }
        }
        state.planner_inputs_changed.notify_one();
    });
}

fn with_planner(planners: &Planners, service: &ServiceId, act: impl FnOnce(&mut GroupPlanner)) {
    if let Some(planner) = planners.borrow_mut().get_mut(service) {
        act(planner);
    }
}

/// Writes a plan on condition that neither the stored plan nor the planner has changed.
async fn write_plan(
    state: &AppState,
    domain: &FabricDomain,
    plan: &DomainPlan,
    expected: StoreRevision,
    term: StoreRevision,
) -> Option<StoreRevision> {
    let key = format!("{PLANS_PREFIX}{domain}");
    let value = match postcard::to_allocvec(plan) {
        Ok(it) => it,
        Err(error) => {
            log::error!(domain:% = domain, error:% = error; "plan cannot be encoded");
            return None;
        }
    };
    let conditions = [(PLANNER_KEY, term.revision), (key.as_str(), expected.revision)];
    let put = StorePut { key: key.clone(), value, lease: None };
    let call = StoreCall::write(&conditions, &[put], &[]);
    let outcome = match state.store.call(call, CALL_TIMEOUT).await {
        Ok(it) => WriteOutcome::decode(it.status, &it.body, it.era),
        Err(error) => {
            log::warn!(domain:% = domain, error:% = error; "plan write unconfirmed");
            return None;
        }
    };
    match outcome {
        // In a later era the conditions were met by chance.
        Ok(WriteOutcome::Written(revision)) if revision.era == term.era => Some(revision),
        other => {
            log::info!(domain:% = domain, outcome:? = other; "plan not written");
            None
        }
    }
}

async fn probe_server(state: &Rc<AppState>, probe: &Probe) -> Result<EngineReport, ProbeFailure> {
    state.metrics.count_probe();
    let began_at = Instant::now();
    let connecting = state.connection_to(probe.address, PROBE_CONNECT_FAILURES);
    let connection = match tokio::time::timeout(PROBE_TIMEOUT, connecting).await {
        Ok(Ok(it)) => it,
        Ok(Err(ConnectError::Refused)) => return Err(ProbeFailure::ConnectionRefused),
        Ok(Err(ConnectError::Unreachable)) => return Err(ProbeFailure::NoConnection),
        Err(_) => {
            state.record_not_reached(probe.address);
            return Err(ProbeFailure::NoConnection);
        }
    };
    let vm = &probe.vm;
    let address = probe.address;
    let no_answer = match connection.is_reused() {
        true => ProbeFailure::NoAnswerOnKeptConnection,
        false => ProbeFailure::NoAnswer,
    };
    let exchange =
        exchange(state, vm, address, connection, Method::GET, report_path(), Bytes::new());
    let answer = tokio::time::timeout_at(began_at + PROBE_TIMEOUT, exchange).await;
    let Ok(Some(Answer { status, pause, body })) = answer else {
        // Only a new connection shows whether the machine can still be reached.
        state.pool.close_idle(address);
        return Err(no_answer);
    };
    if pause.is_some() {
        return Err(ProbeFailure::TurnedAway);
    }
    match decode_report(&body) {
        Ok(report) if status.is_success() => Ok(report),
        Ok(_) => Err(ProbeFailure::NoAnswer),
        Err(error) => {
            log::warn!(server:% = vm, error:% = error, status = status.as_u16(); "report ignored");
            Err(ProbeFailure::NoAnswer)
        }
    }
}

async fn send_order(
    state: &Rc<AppState>,
    vm: &VmId,
    address: SocketAddr,
    order: &EngineOrder,
    orders_accepted: u64,
) -> OrderOutcome {
    state.metrics.count_order();
    let (path, body) = encode_order(order, orders_accepted);
    let exchange = call_server(state, vm, address, Method::POST, path, body);
    match tokio::time::timeout(ORDER_TIMEOUT, exchange).await {
        Ok(Ok(answer)) => order_outcome(answer.status),
        Ok(Err(ConnectError::Refused)) => OrderOutcome::ConnectionRefused,
        Ok(Err(ConnectError::Unreachable)) | Err(_) => OrderOutcome::Unknown,
    }
}

async fn call_server(
    state: &Rc<AppState>,
    vm: &VmId,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Answer, ConnectError> {
    // No answer names its order, so a late copy of an earlier answer must not be possible.
    let connection = state.connect_to(address, PROBE_CONNECT_FAILURES).await?;
    let answer = exchange(state, vm, address, connection, method, path, body).await;
    answer.ok_or(ConnectError::Unreachable)
}

/// An engine's answer to a question or an order.
struct Answer {
    status: StatusCode,
    /// Time for which the engine wants nothing, if it turned the request away.
    pause: Option<Duration>,
    body: Bytes,
}

/// Sends a request to an engine; returns `None` without a complete answer.
async fn exchange(
    state: &AppState,
    vm: &VmId,
    address: SocketAddr,
    mut connection: Connection,
    method: Method,
    path: &str,
    body: Bytes,
) -> Option<Answer> {
    let mut request = Request::new(BodyParts::from(body));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().ok()?;
    *request.headers_mut() = ForwardHead::control_headers(vm, address);
    let process = state.server_process(vm);
    let response = connection.send(request).await.ok()?;
    if connection.is_reused() && names_attempt(response.headers()) {
        return None;
    }
    state.record_notice(process.as_ref(), &response);
    let status = response.status();
    let pause = server_notice(status, response.headers()).pause.filter(|it| !it.is_zero());
    let body = Limited::new(response.into_body(), REPORT_BYTES_MAX).collect().await.ok()?;
    state.pool.put(connection, None, false).await;
    Some(Answer { status, pause, body: body.to_bytes() })
}
