//! Gives engines their orders.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use mangocross_coordination::OrderAuthority;
use mangocross_http::HttpTimeouts;
use mangocross_policy::PendingLoad;
use mangocross_policy::choose_loads;
use mangocross_types::CommandId;
use mangocross_types::EngineState;
use mangocross_types::FencingNumber;
use mangocross_types::GroupId;
use mangocross_types::Order;
use mangocross_types::OrderAnswer;
use mangocross_types::OrderKind;
use mangocross_types::VmId;

use crate::domain_view::DomainView;
use crate::probes::probe_now;
use crate::state::CoordinatorState;

/// Time before the same order is given again.
const ORDER_REPEAT: Duration = Duration::from_millis(1_000);
/// Time for an engine to take an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Name of the result of an order that was taken.
const TAKEN: &str = "taken";

/// An order given lately.
#[derive(Debug)]
struct Given {
    kind: OrderKind,
    at: Instant,
}

/// A load that fetches weights, and waits for its turn at the weight store.
struct WaitingLoad {
    load: PendingLoad,
    address: SocketAddr,
    deadline_unix_ms: u64,
    fencing_number: FencingNumber,
    kind: OrderKind,
}

/// Places at the weight store.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FetchPlaces {
    /// Fetches served at once at the most.
    pub(crate) max: u32,
    /// Places that are free.
    pub(crate) free: u32,
}

/// Gives orders, each on a thread of its own, and not the same one at each tick.
///
/// Whether an order was carried out is seen in the reports; an answer that is
/// lost or late changes nothing.
pub(crate) struct OrderGiver {
    state: Arc<CoordinatorState>,
    given: HashMap<VmId, Given>,
    waiting: Vec<WaitingLoad>,
    /// Since when each group waits for loads.
    waiting_since: HashMap<GroupId, Instant>,
}

impl OrderGiver {
    pub(crate) fn new(state: Arc<CoordinatorState>) -> Self {
        let (given, waiting_since) = (HashMap::new(), HashMap::new());
        Self { state, given, waiting: Vec::new(), waiting_since }
    }

    /// Begins a round over all domains.
    pub(crate) fn begin(&mut self) {
        let now = self.state.clock.now();
        self.given.retain(|_, it| now.saturating_duration_since(it.at) < ORDER_REPEAT);
        self.waiting.clear();
    }

    /// Gives an order, unless the same one was given lately or its load waits for the round's end.
    pub(crate) fn give(
        &mut self,
        view: &DomainView<'_>,
        authority: OrderAuthority,
        vm: VmId,
        kind: OrderKind,
    ) {
        // The wall clock comes first, so that a pause after it shortens the order's life.
        let wall = self.state.clock.wall();
        let now = self.state.clock.now();
        let lifetime = match authority {
            OrderAuthority::None => return,
            OrderAuthority::IdleOnly => self.state.order_lifetime(),
            OrderAuthority::Full { deadline } => deadline.saturating_duration_since(now),
        };
        let deadline_unix_ms = unix_ms(wall + lifetime);
        let address = view.engines.iter().find(|it| it.vm == vm).map(|it| it.address);
        let (Some(address), false) = (address, lifetime.is_zero()) else { return };
        if self.given.get(&vm).is_some_and(|it| it.kind == kind) {
            return;
        }
        let fencing_number = view.held.assignment.fencing_number;
        match fetching_group(view, &vm, &kind) {
            None => self.send(vm, address, deadline_unix_ms, fencing_number, kind),
            Some(group) => {
                let down_since = *self.waiting_since.entry(group.clone()).or_insert(now);
                let load = PendingLoad {
                    vm,
                    domain: view.held.assignment.domain.clone(),
                    group: group.clone(),
                    group_lacks: 0,
                    group_blocked: view.is_stuck(group),
                    down_since,
                };
                let waiting = WaitingLoad { load, address, deadline_unix_ms, fencing_number, kind };
                self.waiting.push(waiting);
            }
        }
    }

    /// Gives the loads for which the weight store has room, in the policy's order.
    ///
    /// Returns the VMs whose loads still wait.
    pub(crate) fn end(&mut self) -> Vec<VmId> {
        let waits =
            |group: &GroupId| self.waiting.iter().filter(|it| it.load.group == *group).count();
        self.waiting_since.retain(|group, _| waits(group) > 0);
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let pending: Vec<PendingLoad> = self
            .waiting
            .iter()
            .map(|it| {
                let group_lacks = waits(&it.load.group);
                let group_lacks = u16::try_from(group_lacks).unwrap_or(u16::MAX);
                PendingLoad { group_lacks, ..it.load.clone() }
            })
            .collect();
        let chosen = choose_loads(&pending, &[], self.fetch_places().free);
        let mut left = Vec::new();
        for it in std::mem::take(&mut self.waiting) {
            if chosen.contains(&it.load.vm) {
                self.send(it.load.vm, it.address, it.deadline_unix_ms, it.fencing_number, it.kind);
            } else {
                left.push(it.load.vm);
            }
        }
        left
    }

    fn send(
        &mut self,
        vm: VmId,
        address: SocketAddr,
        deadline_unix_ms: u64,
        fencing_number: FencingNumber,
        kind: OrderKind,
    ) {
        let order = Order {
            order_id: new_order_id(),
            fencing_number,
            deadline_unix_ms,
            kind: kind.clone(),
        };
        self.given.insert(vm.clone(), Given { kind, at: self.state.clock.now() });
        let state = Arc::clone(&self.state);
        thread::spawn(move || {
            give(&state, &vm, address, &order);
        });
    }

    /// Asks the weight store for its places.
    ///
    /// Fetches ordered lately may not have reached it, and count as well.
    pub(crate) fn fetch_places(&self) -> FetchPlaces {
        let max = self.state.configuration().policy.concurrent_loads;
        let fetches =
            |it: &&Given| matches!(it.kind, OrderKind::Load { .. } | OrderKind::Preload { .. });
        let lately = self.given.values().filter(fetches).count();
        let lately = u32::try_from(lately).unwrap_or(u32::MAX);
        match self.state.platform.weight_store_load() {
            Ok(load) => {
                let max = max.min(load.loads_max);
                FetchPlaces { max, free: max.saturating_sub(load.loads_running.max(lately)) }
            }
            Err(error) => {
                log::warn!("the weight store's load could not be read: {error}");
                FetchPlaces { max, free: max.saturating_sub(lately) }
            }
        }
    }
}

/// Gives one order, within a span that the engine may go on with.
fn give(state: &CoordinatorState, vm: &VmId, address: SocketAddr, order: &Order) {
    let (kind, name) = (&order.kind, kind_name(&order.kind));
    let span = state.tracing.span_since("order", state.clock.wall());
    span.set("vm", vm.to_string());
    span.set("order_id", order.order_id.to_string());
    span.set("kind", name.clone());
    span.set("fencing_number", order.fencing_number.to_string());
    let timeouts = HttpTimeouts::default().idle(ORDER_TIMEOUT).total(ORDER_TIMEOUT);
    let traceparent = span.traceparent();
    let result = match state.engines.order(address, order, traceparent.as_deref(), timeouts) {
        Ok(answer) => {
            log::info!(vm = vm.as_str(); "order {kind:?}: {answer:?}");
            probe_now(state, vm);
            answer_name(&answer)
        }
        Err(error) => {
            log::warn!(vm = vm.as_str(); "order {kind:?} failed: {error}");
            error.kind.as_str()
        }
    };
    if result != TAKEN {
        span.set_error(result.to_owned());
    }
    state.metrics.ordered(&name, result);
}

/// Returns the name of an order's kind, which is the one on the wire.
fn kind_name(kind: &OrderKind) -> String {
    let value = serde_json::to_value(kind).unwrap_or_default();
    value["type"].as_str().unwrap_or_default().to_owned()
}

fn answer_name(answer: &OrderAnswer) -> &'static str {
    match answer {
        OrderAnswer::Taken => TAKEN,
        OrderAnswer::StaleFence { .. } => "stale_fence",
        OrderAnswer::Late => "late",
    }
}

/// Returns the group for which an order makes its engine take a place at the weight store.
///
/// A VM that preloads has one already, which the load takes over.
fn fetching_group<'a>(
    view: &DomainView<'_>,
    vm: &VmId,
    kind: &'a OrderKind,
) -> Option<&'a GroupId> {
    let OrderKind::Load { group, model_version, .. } = kind else { return None };
    let report = view.report(vm);
    let has_place = report.is_some_and(|it| {
        it.state == EngineState::Preloading || it.cached_versions.contains(model_version)
    });
    (!has_place).then_some(group)
}

fn new_order_id() -> CommandId {
    format!("o-{:032x}", fastrand::u128(..)).parse().expect("hexadecimal digits are a valid id")
}

fn unix_ms(wall: SystemTime) -> u64 {
    let since = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
