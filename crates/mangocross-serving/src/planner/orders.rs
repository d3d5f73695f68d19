//! Sends orders and probes, with limits on how often they are repeated.

use std::time::Duration;

use mangocross_types::Rank;
use mangocross_types::VmId;

use super::GroupPlanner;
use super::PlannerAction;
use super::Probe;
use super::ProbeFailure;
use super::SentOrder;
use super::preparing::StageOrder;
use super::server_health::PAUSED_PROBE_INTERVAL;
use super::server_health::PROBE_INTERVAL;
use crate::BackendServer;
use crate::EngineOrder;
use crate::Moment;
use crate::OrderOutcome;
use crate::StopProof;

/// Time after which an accepted order without a visible effect is sent again.
const EFFECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after a refused order before the next one is sent.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(120);
/// Time after which an order without a response is sent again.
const UNANSWERED_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum rate of probes to servers that respond; a probe takes about 0.1 ms of CPU time.
const PROBES_PER_S_MAX: f64 = 400.0;

impl GroupPlanner {
    /// Sends an order, unless an earlier one is in progress or too recent, or the rate limit of
    /// weight loads is reached.
    pub(super) fn send_order(
        &mut self,
        vm: &VmId,
        order: EngineOrder,
        now: Moment,
        actions: &mut Vec<PlannerAction>,
    ) {
        let Some(tracked) = self.servers.get_mut(vm) else { return };
        if let Some(sent) = self.orders.get(vm) {
            let since = now.since(sent.updated_at);
            let is_same = sent.order == order;
            let wait = match sent.outcome {
                None => return,
                Some(OrderOutcome::Begun | OrderOutcome::Done) if is_same => EFFECT_TIMEOUT,
                Some(OrderOutcome::Begun | OrderOutcome::Done) => Duration::ZERO,
                Some(OrderOutcome::Refused | OrderOutcome::WrongServer) => REFUSED_RETRY_DELAY,
                Some(OrderOutcome::ConnectionRefused | OrderOutcome::Unknown) => {
                    UNANSWERED_RETRY_DELAY
                }
            };
            if since < wait {
                return;
            }
        }
        let Some(orders_accepted) = tracked.orders_accepted else {
            tracked.health.probe_soon();
            return;
        };
        if needs_weight_load(&tracked.server, &order) && !self.weight_load_limiter.try_acquire() {
            return;
        }
        actions.push(PlannerAction::Order {
            vm: vm.clone(),
            address: tracked.server.address,
            order: order.clone(),
            orders_accepted,
        });
        let sent = SentOrder { order, orders_accepted, updated_at: now, outcome: None };
        self.orders.insert(vm.clone(), sent);
    }

    /// Records the outcome of the latest order to a server.
    ///
    /// Unless the order was begun or the connection was refused, the number of orders that the
    /// server has accepted is unknown until the next probe.
    pub fn record_order_outcome(&mut self, vm: &VmId, outcome: OrderOutcome, now: Moment) {
        let Some(sent) = self.orders.get_mut(vm) else { return };
        sent.outcome = Some(outcome);
        sent.updated_at = now;
        let is_accepted = matches!(outcome, OrderOutcome::Begun | OrderOutcome::Done);
        let orders_accepted = sent.orders_accepted;
        let staged = match &sent.order {
            EngineOrder::Stage { model } => Some(model.clone()),
            EngineOrder::Join { .. }
            | EngineOrder::Open { .. }
            | EngineOrder::Close { .. }
            | EngineOrder::Leave { .. } => None,
        };
        if is_accepted && let EngineOrder::Leave { group, incarnation } = &sent.order {
            let key = (group.clone(), *incarnation);
            let state = self.group_states.entry(key).or_default();
            state.absent_since = state.absent_since.or(Some(now));
            let is_head = self.servers.get(vm).is_some_and(|it| {
                it.memberships().any(|(_, it)| {
                    it.group == *group && it.incarnation == *incarnation && it.rank == Rank(0)
                })
            });
            if is_head {
                state.stop_proof = Some(StopProof::Left);
            }
        }
        let staging = staged.map(|model| {
            let retry_at = self.staging_retry_at(&model, outcome, now);
            StageOrder { model, retry_at }
        });
        let (Some(tracked), Some(sent)) = (self.servers.get_mut(vm), self.orders.get(vm)) else {
            return;
        };
        if staging.is_some() {
            tracked.staging = staging;
        }
        match outcome {
            OrderOutcome::Begun => {
                tracked.orders_accepted = Some(orders_accepted + 1);
                tracked.record_begun(&sent.order);
            }
            OrderOutcome::ConnectionRefused => {
                tracked.health.record_failure(ProbeFailure::ConnectionRefused)
            }
            OrderOutcome::Done
            | OrderOutcome::Refused
            | OrderOutcome::WrongServer
            | OrderOutcome::Unknown => tracked.orders_accepted = None,
        }
    }

    /// Returns whether an order was sent so recently that its effect may not be visible yet.
    pub(super) fn has_recent_order(&self, vm: &VmId, now: Moment) -> bool {
        self.orders
            .get(vm)
            .is_some_and(|it| it.outcome.is_none() || now.since(it.updated_at) < EFFECT_TIMEOUT)
    }

    /// Adds probes of all servers that are due.
    pub(super) fn probe_due_servers(&mut self, now: Moment, actions: &mut Vec<PlannerAction>) {
        let interval_min = Duration::from_secs_f64(self.servers.len() as f64 / PROBES_PER_S_MAX);
        let interval = PROBE_INTERVAL.max(interval_min);
        for (vm, tracked) in &mut self.servers {
            if tracked.server.engine.domain.is_none() {
                continue;
            }
            let is_paused = self.paused.contains(vm);
            let interval = if is_paused { interval.max(PAUSED_PROBE_INTERVAL) } else { interval };
            if tracked.health.try_begin_probe(now, interval) {
                let address = tracked.server.address;
                actions.push(PlannerAction::Probe(Probe { vm: vm.clone(), address }));
            }
        }
    }
}

/// Returns whether an order causes a server to load weights from the weight store.
fn needs_weight_load(server: &BackendServer, order: &EngineOrder) -> bool {
    let model = match order {
        EngineOrder::Join { model, .. } | EngineOrder::Stage { model } => model,
        EngineOrder::Open { .. } | EngineOrder::Close { .. } | EngineOrder::Leave { .. } => {
            return false;
        }
    };
    !server.engine.staged.contains(model) && !server.engine.loaded.contains(model)
}
