//! Gives orders and asks questions, each no more often than it helps.

use std::time::Duration;

use mangocross_types::VmId;

use super::GroupPlanner;
use super::PlannerAction;
use super::Probe;
use super::SentOrder;
use super::server_health::PROBE_INTERVAL;
use crate::BackendServer;
use crate::EngineOrder;
use crate::Moment;
use crate::OrderOutcome;

/// Time after which an accepted order that shows no effect is given again.
const EFFECT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time after which a refused order is decided anew.
const REFUSED_RETRY: Duration = Duration::from_millis(120);
/// Time after which an order without an answer is given again.
const UNANSWERED_RETRY: Duration = Duration::from_millis(300);
/// Questions a second to servers that answer; a question takes about 0.1 ms of a core.
const PROBES_PER_S_MAX: f64 = 400.0;

impl GroupPlanner {
    /// Gives an order unless the same one is under way.
    pub(super) fn order(
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
                Some(OrderOutcome::Refused | OrderOutcome::WrongServer) => REFUSED_RETRY,
                Some(OrderOutcome::NoProcess | OrderOutcome::Unknown) => UNANSWERED_RETRY,
            };
            if since < wait {
                return;
            }
        }
        let Some(orders_accepted) = tracked.orders_accepted else {
            tracked.health.suspect();
            return;
        };
        if needs_load(&tracked.server, &order) && !self.load_limiter.try_acquire() {
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

    /// Returns whether an order was given so lately that its effect may not be seen yet.
    pub(super) fn has_recent_order(&self, vm: &VmId, now: Moment) -> bool {
        self.orders
            .get(vm)
            .is_some_and(|it| it.outcome.is_none() || now.since(it.updated_at) < EFFECT_TIMEOUT)
    }

    pub(super) fn probe_due_servers(&mut self, now: Moment, actions: &mut Vec<PlannerAction>) {
        let interval_min = Duration::from_secs_f64(self.servers.len() as f64 / PROBES_PER_S_MAX);
        let interval = PROBE_INTERVAL.max(interval_min);
        for (vm, tracked) in &mut self.servers {
            if tracked.server.engine.domain.is_none() {
                continue;
            }
            if tracked.health.try_begin_probe(now, interval) {
                let address = tracked.server.address;
                actions.push(PlannerAction::Probe(Probe { vm: vm.clone(), address }));
            }
        }
    }
}

/// Returns whether an order makes a server fetch weights from the weight store.
fn needs_load(server: &BackendServer, order: &EngineOrder) -> bool {
    let model = match order {
        EngineOrder::Join { model, .. } | EngineOrder::Stage { model } => model,
        EngineOrder::Open { .. } | EngineOrder::Close { .. } | EngineOrder::Leave { .. } => {
            return false;
        }
    };
    !server.engine.staged.contains(model) && !server.engine.loaded.contains(model)
}
