//! Sends orders to engines.

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

/// Time before the same order is sent again.
const ORDER_REPEAT: Duration = Duration::from_millis(1_000);
/// Time for an engine to acknowledge an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Value of the metric's result label for an order that the engine accepted.
const ACCEPTED_LABEL: &str = "taken";

/// The order last sent to a VM.
#[derive(Debug)]
struct SentOrder {
    kind: OrderKind,
    at: Instant,
}

/// A load that has to fetch weights and waits for a slot at the weight store.
struct WaitingLoad {
    load: PendingLoad,
    address: SocketAddr,
    deadline_unix_ms: u64,
    fencing_number: FencingNumber,
    kind: OrderKind,
}

/// Fetch slots at the weight store.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FetchSlots {
    /// Maximum number of concurrent fetches.
    pub(crate) max: u32,
    /// Number of fetches that may start now.
    pub(crate) free: u32,
}

/// Sends each order on a thread of its own, but skips one that equals the last order to its VM if
/// that was sent within `ORDER_REPEAT`.
///
/// The engines' reports show whether an order was executed; an answer that is lost
/// or late has no effect.
pub(crate) struct OrderDispatcher {
    state: Arc<CoordinatorState>,
    recent: HashMap<VmId, SentOrder>,
    waiting: Vec<WaitingLoad>,
    /// Time since which each group has waited for loads.
    waiting_since: HashMap<GroupId, Instant>,
}

impl OrderDispatcher {
    pub(crate) fn new(state: Arc<CoordinatorState>) -> Self {
        let (recent, waiting_since) = (HashMap::new(), HashMap::new());
        Self { state, recent, waiting: Vec::new(), waiting_since }
    }

    /// Begins a reconciliation round over all domains.
    pub(crate) fn begin_round(&mut self) {
        let now = self.state.clock.now();
        self.recent.retain(|_, it| now.saturating_duration_since(it.at) < ORDER_REPEAT);
        self.waiting.clear();
    }

    /// Sends an order, unless the same one was sent recently; a load that fetches weights is queued
    /// until the end of the round.
    pub(crate) fn issue(
        &mut self,
        view: &DomainView<'_>,
        authority: OrderAuthority,
        vm: VmId,
        kind: OrderKind,
    ) {
        // The wall clock is read first, so that a pause after it shortens the order's lifetime.
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
        if self.recent.get(&vm).is_some_and(|it| it.kind == kind) {
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
                    group_loads_left: 0,
                    group_blocked: view.is_stuck(group),
                    down_since,
                };
                let waiting = WaitingLoad { load, address, deadline_unix_ms, fencing_number, kind };
                self.waiting.push(waiting);
            }
        }
    }

    /// Sends the queued loads for which the weight store has free slots, in the policy's order.
    ///
    /// Returns the VMs whose loads still wait.
    pub(crate) fn end_round(&mut self) -> Vec<VmId> {
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
                let group_loads_left = waits(&it.load.group);
                let group_loads_left = u16::try_from(group_loads_left).unwrap_or(u16::MAX);
                PendingLoad { group_loads_left, ..it.load.clone() }
            })
            .collect();
        let chosen = choose_loads(&pending, &[], self.fetch_slots().free);
        let mut still_waiting = Vec::new();
        for it in std::mem::take(&mut self.waiting) {
            if chosen.contains(&it.load.vm) {
                self.send(it.load.vm, it.address, it.deadline_unix_ms, it.fencing_number, it.kind);
            } else {
                still_waiting.push(it.load.vm);
            }
        }
        still_waiting
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
        self.recent.insert(vm.clone(), SentOrder { kind, at: self.state.clock.now() });
        let state = Arc::clone(&self.state);
        thread::spawn(move || {
            send_order(&state, &vm, address, &order);
        });
    }

    /// Returns the weight store's fetch slots.
    ///
    /// Recently ordered fetches may not have reached it yet and count as running.
    pub(crate) fn fetch_slots(&self) -> FetchSlots {
        let max = self.state.configuration().policy.concurrent_loads;
        let fetches =
            |it: &&SentOrder| matches!(it.kind, OrderKind::Load { .. } | OrderKind::Preload { .. });
        let recent_fetches = self.recent.values().filter(fetches).count();
        let recent_fetches = u32::try_from(recent_fetches).unwrap_or(u32::MAX);
        match self.state.platform.weight_store_usage() {
            Ok(load) => {
                let max = max.min(load.loads_max);
                FetchSlots { max, free: max.saturating_sub(load.loads_running.max(recent_fetches)) }
            }
            Err(error) => {
                log::warn!("the weight store's load could not be read: {error}");
                FetchSlots { max, free: max.saturating_sub(recent_fetches) }
            }
        }
    }
}

/// Sends one order, within a span that the engine may continue.
fn send_order(state: &CoordinatorState, vm: &VmId, address: SocketAddr, order: &Order) {
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
    if result != ACCEPTED_LABEL {
        span.set_error(result.to_owned());
    }
    state.metrics.record_order(&name, result);
}

/// Returns the name of an order's kind as in its JSON form.
fn kind_name(kind: &OrderKind) -> String {
    let value = serde_json::to_value(kind).unwrap_or_default();
    value["type"].as_str().unwrap_or_default().to_owned()
}

fn answer_name(answer: &OrderAnswer) -> &'static str {
    match answer {
        OrderAnswer::Taken => ACCEPTED_LABEL,
        OrderAnswer::StaleFence { .. } => "stale_fence",
        OrderAnswer::Late => "late",
    }
}

/// Returns the group of an order that makes its engine occupy a new slot at the weight store.
///
/// A load needs no new slot if its weights are cached, or if the VM already preloads: the load
/// reuses that slot.
fn fetching_group<'a>(
    view: &DomainView<'_>,
    vm: &VmId,
    kind: &'a OrderKind,
) -> Option<&'a GroupId> {
    let OrderKind::Load { group, model_version, .. } = kind else { return None };
    let report = view.report(vm);
    let needs_no_slot = report.is_some_and(|it| {
        it.state == EngineState::Preloading || it.cached_versions.contains(model_version)
    });
    (!needs_no_slot).then_some(group)
}

fn new_order_id() -> CommandId {
    format!("o-{:032x}", fastrand::u128(..)).parse().expect("hexadecimal digits are a valid id")
}

fn unix_ms(wall: SystemTime) -> u64 {
    let since = wall.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
