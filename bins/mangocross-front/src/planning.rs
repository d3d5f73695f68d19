//! Runs the group planner while this process holds the planner's key.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use mangocross_platform::ForwardHead;
use mangocross_platform::StoreCall;
use mangocross_platform::StorePut;
use mangocross_platform::WriteOutcome;
use mangocross_platform::decode_report;
use mangocross_platform::encode_order;
use mangocross_platform::order_outcome;
use mangocross_platform::report_path;
use mangocross_serving::DomainPlan;
use mangocross_serving::EngineOrder;
use mangocross_serving::EngineReport;
use mangocross_serving::GroupPlanner;
use mangocross_serving::OrderOutcome;
use mangocross_serving::Probe;
use mangocross_serving::Step;
use mangocross_types::FabricDomain;
use mangocross_types::Revision;
use mangocross_types::ServiceId;
use mangocross_types::VmId;

use crate::front::Front;
use crate::leases::PLANNER_KEY;
use crate::pool::ConnectError;
use crate::store::CALL_TIMEOUT;

/// Prefix of the fabric domains' plans.
const PLANS_PREFIX: &str = "mangocross/domain/";
/// Longest time between two decisions.
const STEP_INTERVAL: Duration = Duration::from_millis(60);
/// Least time between two decisions.
const STEP_PAUSE: Duration = Duration::from_millis(15);
/// Pause after a decision, as a multiple of the time that it took.
const PAUSE_PER_STEP_TIME: u32 = 2;
/// Age up to which a progress shows that a group goes on.
const PROGRESS_AGE_MAX: Duration = Duration::from_millis(350);
/// Time for a server's report; engines answer within a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for the answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);

type Planners = Rc<RefCell<HashMap<ServiceId, GroupPlanner>>>;

/// Starts to plan whenever this process holds the planner's key.
pub(crate) fn spawn(front: &Rc<Front>) {
    let front = Rc::clone(front);
    tokio::task::spawn_local(async move {
        let planners = Planners::default();
        let mut term = None;
        loop {
            let _ = tokio::time::timeout(STEP_INTERVAL, front.changed.notified()).await;
            let now = front.now();
            let held = front.planner_term.get().filter(|it| it.holds(now));
            if held.map(|it| it.revision) != term {
                term = held.map(|it| it.revision);
                planners.borrow_mut().clear();
                log::info!(is_planner = term.is_some(); "planner's term changed");
            }
            if let Some(revision) = term.filter(|_| front.is_caught_up.get()) {
                plan(&front, &planners, revision);
            }
            // Planning leaves the larger part of the processor to requests.
            let took = front.now().since(now);
            tokio::time::sleep(STEP_PAUSE.max(took * PAUSE_PER_STEP_TIME)).await;
        }
    });
}

/// Takes one step for each engine service.
fn plan(front: &Rc<Front>, planners: &Planners, term: Revision) {
    let Some(configuration) = front.configuration() else { return };
    let now = front.now();
    for (service, engine) in configuration.engines() {
        let mut all = planners.borrow_mut();
        let planner = all
            .entry(service.clone())
            .or_insert_with(|| GroupPlanner::new(engine.clone(), front.promises().stall));
        planner.set_engine(engine.clone());
        planner.set_loads_unlimited(front.vm.is_first_start && !front.has_traffic.get());
        let beliefs = front.beliefs.borrow();
        for (key, own) in &beliefs.own_keys {
            let Some(domain) = key.strip_prefix(PLANS_PREFIX) else { continue };
            let Ok(domain) = domain.parse::<FabricDomain>() else { continue };
            if planner.has_plan(&domain, own.revision) {
                continue;
            }
            match postcard::from_bytes::<DomainPlan>(&own.value) {
                Ok(plan) => planner.plan_read(domain, plan, own.revision),
                Err(error) => log::error!(domain:% = domain, error:% = error; "plan unreadable"),
            }
        }
        let progress = beliefs.progress.latest(now).filter(|(_, age)| *age < PROGRESS_AGE_MAX);
        planner.set_progressing(progress.map(|(vm, _)| vm.clone()).collect());
        for head in beliefs.suspects(now) {
            planner.suspect(&head, now);
        }
        for head in beliefs.to_recheck(now) {
            planner.recheck(&head);
        }
        let listed = beliefs.servers.values().filter(|it| it.service == *service);
        let steps = planner.step(listed, now);
        let paces = beliefs.servers.keys().map(|vm| (vm.clone(), planner.pace(vm)));
        let paces: HashMap<VmId, f64> = paces.filter(|(_, it)| *it > 1.0).collect();
        drop(beliefs);
        front.beliefs.borrow_mut().paces = paces;
        drop(all);
        for step in steps {
            carry_out(front, planners, service, term, step);
        }
    }
}

fn carry_out(
    front: &Rc<Front>,
    planners: &Planners,
    service: &ServiceId,
    term: Revision,
    step: Step,
) {
    let front = Rc::clone(front);
    let planners = Rc::clone(planners);
    let service = service.clone();
    tokio::task::spawn_local(async move {
        match step {
            Step::Probe(probe) => {
                let answer = ask(&front, &probe).await;
                with(&planners, &service, |it| match answer {
                    Ok(report) => it.probe_answered(&probe.vm, report),
                    Err(error) => it.probe_missed(&probe.vm, error == ConnectError::Refused),
                });
            }
            Step::Order { vm, address, order, orders_accepted } => {
                let outcome = give(&front, &vm, address, &order, orders_accepted).await;
                log::info!(
                    server:% = vm, order:? = order, orders_accepted, outcome:? = outcome;
                    "order given"
                );
                let now = front.now();
                with(&planners, &service, |it| it.order_ended(&vm, outcome, now));
            }
            Step::Write { domain, plan, expected, reasons } => {
                let revision = write(&front, &domain, &plan, expected, term).await;
                if let Some(revision) = revision {
                    log::info!(
                        domain:% = domain, expected = expected.0, reasons:? = reasons,
                        revision = revision.0;
                        "plan written"
                    );
                }
                let now = front.now();
                with(&planners, &service, |it| {
                    it.plan_written(&domain, revision.map(|it| (plan, it)), now);
                });
            }
        }
        front.changed.notify_one();
    });
}

fn with(planners: &Planners, service: &ServiceId, act: impl FnOnce(&mut GroupPlanner)) {
    if let Some(planner) = planners.borrow_mut().get_mut(service) {
        act(planner);
    }
}

/// Writes a plan if neither it nor the planner has changed.
async fn write(
    front: &Front,
    domain: &FabricDomain,
    plan: &DomainPlan,
    expected: Revision,
    term: Revision,
) -> Option<Revision> {
    let key = format!("{PLANS_PREFIX}{domain}");
    let value = match postcard::to_allocvec(plan) {
        Ok(it) => it,
        Err(error) => {
            log::error!(domain:% = domain, error:% = error; "plan cannot be encoded");
            return None;
        }
    };
    let conditions = [(PLANNER_KEY, term), (key.as_str(), expected)];
    let put = StorePut { key: key.clone(), value, lease: None };
    let call = StoreCall::write(&conditions, &[put], &[]);
    let outcome = match front.store.call(call, CALL_TIMEOUT).await {
        Ok((status, body)) => WriteOutcome::decode(status, &body),
        Err(error) => {
            log::warn!(domain:% = domain, error:% = error; "plan write unconfirmed");
            return None;
        }
    };
    match outcome {
        Ok(WriteOutcome::Written(revision)) => Some(revision),
        other => {
            log::info!(domain:% = domain, outcome:? = other; "plan not written");
            None
        }
    }
}

/// Asks a server for its state.
async fn ask(front: &Front, probe: &Probe) -> Result<EngineReport, ConnectError> {
    front.metrics.probe();
    let exchange = call(front, &probe.vm, probe.address, Method::GET, report_path(), Bytes::new());
    let (status, body) = match tokio::time::timeout(PROBE_TIMEOUT, exchange).await {
        Ok(result) => result?,
        Err(_) => return Err(ConnectError::Unreachable),
    };
    match decode_report(&body) {
        Ok(report) if status.is_success() => Ok(report),
        Ok(_) => Err(ConnectError::Unreachable),
        Err(error) => {
            log::warn!(server:% = probe.vm, error:% = error, status = status.as_u16(); "report ignored");
            Err(ConnectError::Unreachable)
        }
    }
}

/// Gives a server an order.
async fn give(
    front: &Front,
    vm: &VmId,
    address: SocketAddr,
    order: &EngineOrder,
    orders_accepted: u64,
) -> OrderOutcome {
    front.metrics.order();
    let (path, body) = encode_order(order, orders_accepted);
    let exchange = call(front, vm, address, Method::POST, path, body);
    match tokio::time::timeout(ORDER_TIMEOUT, exchange).await {
        Ok(Ok((status, _))) => order_outcome(status),
        Ok(Err(ConnectError::Refused)) => OrderOutcome::NoProcess,
        Ok(Err(ConnectError::Unreachable)) | Err(_) => OrderOutcome::Unknown,
    }
}

async fn call(
    front: &Front,
    vm: &VmId,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(http::StatusCode, Bytes), ConnectError> {
    let mut connection = front.pool.get(address).await?;
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().map_err(|_| ConnectError::Unreachable)?;
    *request.headers_mut() = ForwardHead::control_headers(vm, address);
    let response = connection.send(request).await.map_err(|_| ConnectError::Unreachable)?;
    let status = response.status();
    let body = response.into_body().collect().await.map_err(|_| ConnectError::Unreachable)?;
    front.pool.put(connection, None).await;
    Ok((status, body.to_bytes()))
}
