//! Gives orders and asks questions, each no more often than it helps.

use std::time::Duration;

use mangocross_types::VmId;

use super::GivenOrder;
use super::GroupPlanner;
use super::Probe;
use super::Step;
use super::contact::PROBE_INTERVAL;
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
        steps: &mut Vec<Step>,
    ) {
        let Some(known) = self.known.get_mut(vm) else { return };
        if let Some(given) = self.orders.get(vm) {
            let since = now.since(given.given_at);
            let is_same = given.order == order;
            let wait = match given.outcome {
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
        let Some(orders_accepted) = known.orders_accepted else {
            known.contact.suspect();
            return;
        };
        if needs_load(&known.server, &order) && !self.loads.try_begin() {
            return;
        }
        steps.push(Step::Order {
            vm: vm.clone(),
            address: known.server.address,
            order: order.clone(),
            orders_accepted,
        });
        let given = GivenOrder { order, orders_accepted, given_at: now, outcome: None };
        self.orders.insert(vm.clone(), given);
    }

    /// Returns whether an order was given so lately that its effect may not be seen yet.
    pub(super) fn has_fresh_order(&self, vm: &VmId, now: Moment) -> bool {
        self.orders
            .get(vm)
            .is_some_and(|it| it.outcome.is_none() || now.since(it.given_at) < EFFECT_TIMEOUT)
    }

    pub(super) fn probe(&mut self, now: Moment, steps: &mut Vec<Step>) {
        let least = Duration::from_secs_f64(self.known.len() as f64 / PROBES_PER_S_MAX);
        let interval = PROBE_INTERVAL.max(least);
        for (vm, known) in &mut self.known {
            if known.server.engine.domain.is_none() {
                continue;
            }
            if known.contact.ask(now, interval) {
                let address = known.server.address;
                steps.push(Step::Probe(Probe { vm: vm.clone(), address }));
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
