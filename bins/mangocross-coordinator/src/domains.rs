//! Owns fabric domains: writes their assignments and gives orders.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::DomainInput;
use mangocross_coordination::EngineVm;
use mangocross_coordination::Step;
use mangocross_coordination::preferred_owner;
use mangocross_coordination::reconcile;
use mangocross_coordination::take_over;
use mangocross_coordination::validate;
use mangocross_http::HttpTimeouts;
use mangocross_types::CommandId;
use mangocross_types::DomainAssignment;
use mangocross_types::FabricDomain;
use mangocross_types::FencingNumber;
use mangocross_types::Order;
use mangocross_types::OrderKind;
use mangocross_types::Revision;
use mangocross_types::VmId;
use peer_store::StoreError;
use peer_store::read_json;
use peer_store::swap_json;

use crate::state::CoordinatorState;
use crate::state::HeldAssignment;
use crate::state::lock;

/// Time between looks at the owned domains.
const TICK: Duration = Duration::from_millis(250);
/// Time between reads of all assignments.
const READ_INTERVAL: Duration = Duration::from_millis(2_000);
/// Time before the same order is given again.
const ORDER_REPEAT: Duration = Duration::from_millis(1_000);
/// Time for an engine to take an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Orders given lately, so that they are not repeated at each tick.
type GivenOrders = HashMap<VmId, (OrderKind, Instant)>;

/// Looks after the owned domains again and again.
pub(crate) fn run(state: &Arc<CoordinatorState>) {
    let mut given = GivenOrders::new();
    let mut read_at: Option<Instant> = None;
    loop {
        let now = state.clock.now();
        if read_at.is_none_or(|it| now.duration_since(it) >= READ_INTERVAL) {
            read_all(state);
            read_at = Some(now);
        }
        for domain in owned_domains(state) {
            if let Err(error) = look_after(state, &domain, &mut given) {
                log::warn!(domain = domain.as_str(); "assignment was not written: {error}");
            }
        }
        thread::sleep(TICK);
    }
}

/// Returns the domains that this coordinator should own, as it sees the others.
pub(crate) fn owned_domains(state: &CoordinatorState) -> Vec<FabricDomain> {
    let live = state.live_coordinators();
    let engines = lock(&state.engines_by_domain);
    let own = |it: &&FabricDomain| preferred_owner(it.as_str(), &live) == Some(&state.settings.vm);
    engines.keys().filter(own).cloned().collect()
}

/// Reads all assignments, so that another coordinator's can be taken over in a store outage.
fn read_all(state: &CoordinatorState) {
    let entries = match state.store.list("domains/") {
        Ok(entries) => entries,
        Err(error) => return log::warn!("assignments could not be read: {error}"),
    };
    for entry in entries {
        match serde_json::from_str::<DomainAssignment>(&entry.value) {
            Ok(assignment) => hold(state, assignment, entry.revision),
            Err(error) => log::error!("assignment {} cannot be read: {error}", entry.key),
        }
    }
}

fn hold(state: &CoordinatorState, assignment: DomainAssignment, revision: Revision) {
    let mut held = lock(&state.assignments);
    let known = held.get(&assignment.domain).map_or(Revision(0), |it| it.revision);
    if revision > known {
        held.insert(assignment.domain.clone(), HeldAssignment { assignment, revision });
    }
}

fn look_after(
    state: &Arc<CoordinatorState>,
    domain: &FabricDomain,
    given: &mut GivenOrders,
) -> Result<(), StoreError> {
    let Some(held) = own(state, domain)? else { return Ok(()) };
    let engines = lock(&state.engines_by_domain).get(domain).cloned().unwrap_or_default();
    for step in decide(state, &held.assignment, &engines) {
        match step {
            Step::Swap(next) => {
                write(state, &next, held.revision)?;
            }
            Step::Order { vm, kind } => {
                let address = engines.iter().find(|it| it.vm == vm).map(|it| it.address);
                if let Some(address) = address {
                    give(state, held.assignment.fencing_number, vm, address, kind, given);
                }
            }
        }
    }
    Ok(())
}

/// Returns the assignment if this coordinator is its owner in the store, taking it over if needed.
fn own(
    state: &CoordinatorState,
    domain: &FabricDomain,
) -> Result<Option<HeldAssignment>, StoreError> {
    let held = lock(&state.assignments).get(domain).cloned();
    if let Some(held) = &held
        && held.assignment.owner.as_ref() == Some(&state.settings.vm)
    {
        return Ok(Some(held.clone()));
    }
    let key = DomainAssignment::key(domain);
    let (read, revision) = read_json::<DomainAssignment>(state.store.as_ref(), &key)?;
    let read = read.unwrap_or_else(|| DomainAssignment::empty(domain.clone()));
    let taken = take_over(&read, &state.settings.vm);
    write(state, &taken, revision)?;
    log::info!(domain = domain.as_str(); "took over with fencing number {}", taken.fencing_number);
    Ok(None)
}

/// Writes an assignment by compare-and-swap; another one that stands is read instead.
fn write(
    state: &CoordinatorState,
    next: &DomainAssignment,
    expected: Revision,
) -> Result<(), StoreError> {
    if let Err(error) = validate(next) {
        log::error!(domain = next.domain.as_str(); "a wrong assignment was not written: {error}");
        return Ok(());
    }
    let key = DomainAssignment::key(&next.domain);
    let store = state.store.as_ref();
    if let Some(revision) = swap_json(store, &key, expected, next)? {
        hold(state, next.clone(), revision);
        return Ok(());
    }
    log::info!(domain = next.domain.as_str(); "another coordinator changed the assignment");
    if let (Some(current), revision) = read_json::<DomainAssignment>(store, &key)? {
        hold(state, current, revision);
    }
    Ok(())
}

fn decide(
    state: &CoordinatorState,
    assignment: &DomainAssignment,
    engines: &[EngineVm],
) -> Vec<Step> {
    let configuration = state.configuration();
    let placements = lock(&state.placements).0.clone();
    let probes = lock(&state.probes).clone();
    reconcile(&DomainInput {
        assignment,
        configuration: &configuration,
        placements: &placements,
        engines,
        probes: &probes,
        now: state.clock.now(),
        probe_ttl: state.probe_ttl(),
        stall_limit: state.stall_limit(),
    })
}

/// Gives an order on a thread of its own, unless the same one was given lately.
fn give(
    state: &Arc<CoordinatorState>,
    fencing_number: FencingNumber,
    vm: VmId,
    address: SocketAddr,
    kind: OrderKind,
    given: &mut GivenOrders,
) {
    let now = state.clock.now();
    let lately = given
        .get(&vm)
        .is_some_and(|(last, at)| *last == kind && now.duration_since(*at) < ORDER_REPEAT);
    if lately {
        return;
    }
    given.insert(vm.clone(), (kind.clone(), now));
    let deadline = Duration::from_millis(state.settings.order_deadline_ms);
    let order = Order {
        order_id: new_order_id(),
        fencing_number,
        deadline_unix_ms: unix_ms(state, deadline),
        kind,
    };
    let state = Arc::clone(state);
    thread::spawn(move || {
        let timeouts = HttpTimeouts::default().total(ORDER_TIMEOUT);
        match state.engines.order(address, &order, timeouts) {
            Ok(answer) => log::info!(vm = vm.as_str(); "order {:?}: {answer:?}", order.kind),
            Err(error) => log::warn!(vm = vm.as_str(); "order {:?} failed: {error}", order.kind),
        }
    });
}

fn new_order_id() -> CommandId {
    format!("o-{:032x}", fastrand::u128(..)).parse().expect("hexadecimal digits are a valid id")
}

fn unix_ms(state: &CoordinatorState, from_now: Duration) -> u64 {
    let wall = state.clock.wall() + from_now;
    let since = wall.duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
