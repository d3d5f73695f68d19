//! Gives engines their orders.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use mangocross_coordination::OrderAuthority;
use mangocross_http::HttpTimeouts;
use mangocross_types::CommandId;
use mangocross_types::ModelVersion;
use mangocross_types::Order;
use mangocross_types::OrderKind;
use mangocross_types::VmId;

use crate::domain_view::DomainView;
use crate::state::CoordinatorState;
use crate::state::lock;

/// Time before the same order is given again.
const ORDER_REPEAT: Duration = Duration::from_millis(1_000);
/// Time for an engine to take an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// An order given lately.
#[derive(Debug)]
struct Given {
    kind: OrderKind,
    at: Instant,
}

/// Gives orders, each on a thread of its own, and not the same one at each tick.
///
/// Whether an order was carried out is seen in the reports; an answer that is
/// lost or late changes nothing.
pub(crate) struct OrderGiver {
    state: Arc<CoordinatorState>,
    given: HashMap<VmId, Given>,
    /// Fetches of weights that may still be started in this round; unknown until asked.
    fetches_left: Option<u32>,
}

impl OrderGiver {
    pub(crate) fn new(state: Arc<CoordinatorState>) -> Self {
        Self { state, given: HashMap::new(), fetches_left: None }
    }

    /// Begins a round over all domains.
    pub(crate) fn begin(&mut self) {
        let now = self.state.clock.now();
        self.given.retain(|_, it| now.saturating_duration_since(it.at) < ORDER_REPEAT);
        self.fetches_left = None;
    }

    /// Gives an order, unless the same one was given lately or its load has to wait.
    pub(crate) fn give(
        &mut self,
        view: &DomainView<'_>,
        authority: OrderAuthority,
        vm: VmId,
        kind: OrderKind,
    ) {
        let now = self.state.clock.now();
        let lifetime = match authority {
            OrderAuthority::None => return,
            OrderAuthority::IdleOnly => self.state.order_lifetime(),
            OrderAuthority::Full { deadline } => deadline.saturating_duration_since(now),
        };
        let address = view.engines.iter().find(|it| it.vm == vm).map(|it| it.address);
        let (Some(address), false) = (address, lifetime.is_zero()) else { return };
        if self.given.get(&vm).is_some_and(|it| it.kind == kind) {
            return;
        }
        if self.must_fetch(&vm, &kind) && !self.take_fetch() {
            return;
        }
        let order = Order {
            order_id: new_order_id(),
            fencing_number: view.held.assignment.fencing_number,
            deadline_unix_ms: unix_ms(&self.state, lifetime),
            kind: kind.clone(),
        };
        self.given.insert(vm.clone(), Given { kind, at: now });
        self.send(vm, address, order);
    }

    fn send(&self, vm: VmId, address: SocketAddr, order: Order) {
        let state = Arc::clone(&self.state);
        thread::spawn(move || {
            let timeouts = HttpTimeouts::default().idle(ORDER_TIMEOUT).total(ORDER_TIMEOUT);
            let kind = &order.kind;
            match state.engines.order(address, &order, timeouts) {
                Ok(answer) => log::info!(vm = vm.as_str(); "order {kind:?}: {answer:?}"),
                Err(error) => log::warn!(vm = vm.as_str(); "order {kind:?} failed: {error}"),
            }
        });
    }

    /// Returns whether an order makes its engine fetch weights.
    fn must_fetch(&self, vm: &VmId, kind: &OrderKind) -> bool {
        let OrderKind::Load { model_version, .. } = kind else { return false };
        let probes = lock(&self.state.probes);
        let has = |it: &[ModelVersion]| it.contains(model_version);
        !probes.newest(vm).is_some_and(|(_, report)| has(&report.cached_versions))
    }

    /// Takes one of the weight store's free places, if there is one.
    fn take_fetch(&mut self) -> bool {
        let left = self.fetches_left.unwrap_or_else(|| self.free_fetches());
        self.fetches_left = Some(left.saturating_sub(1));
        left > 0
    }

    /// Asks the weight store for its free places.
    ///
    /// Loads ordered lately may not have reached it, and count as well.
    fn free_fetches(&self) -> u32 {
        let max = self.state.configuration().policy.concurrent_loads;
        let loads = self.given.values().filter(|it| matches!(it.kind, OrderKind::Load { .. }));
        let lately = u32::try_from(loads.count()).unwrap_or(u32::MAX);
        match self.state.platform.weight_store_load() {
            Ok(load) => max.min(load.loads_max).saturating_sub(load.loads_running.max(lately)),
            Err(error) => {
                log::warn!("the weight store's load could not be read: {error}");
                max.saturating_sub(lately)
            }
        }
    }
}

fn new_order_id() -> CommandId {
    format!("o-{:032x}", fastrand::u128(..)).parse().expect("hexadecimal digits are a valid id")
}

fn unix_ms(state: &CoordinatorState, from_now: Duration) -> u64 {
    let wall = state.clock.wall() + from_now;
    let since = wall.duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
